#!/usr/bin/env bash
# Records what the leader of a small cluster of its own decides: a wave over
# two hosts, jobs of all priorities, one that its worker ended, a failed host.
# scripts/record_trace.sh BUILD FILE [BASE_PORT]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
file=$2
source scripts/cluster.sh
folder=$(mktemp -d)
trap 'stop_cluster; rm -rf "$folder"' EXIT
trace_files=1
start_cluster "${3:-25000}" "$folder"
$cli settings set pools.base.warm_up='"1s"' services.estimates.min_available=2 \
  services.estimates.max_away_share=0.5 > /dev/null
for n in 1 2 3 4; do
  $cli host add "host-$n" --pool counter --rack "rack-$n" --zone "mvd-$n" \
    --processors 32 --memory-gb 128 > /dev/null
  $cli host join "host-$n" > /dev/null
done
in_pool() { $cli pool list --output json | grep -o '"name":"counter"[^}]*'; }
wait_for '"kInPool":4' in_pool

submit() { # submit ID PRIORITY PROCESSORS
  cat > "$folder/job.json" <<J
{"id": "$1", "team": "valuations", "pool": "counter", "kind": "valuation",
 "priority": "$2", "processors": $3, "memory_gb": 16, "run_time_ms": 600000,
 "deadline_in_ms": 3600000, "can_checkpoint": true}
J
  $cli job submit "$folder/job.json" > /dev/null
}
job() { # job ID MEMBER
  $cli job list --output json | python3 -c 'import json, sys
id, member = sys.argv[1:]
print(*[job[member] for job in json.load(sys.stdin) if job["id"] == id])' "$1" "$2"
}
for n in 1 2 3 4 5 6; do submit "night-$n" kBatch 20; done
wait_for kRunning job night-1 state
submit counter-1 kUrgent 24
wait_for kRunning job counter-1 state

host=$(job counter-1 host)
lease=$(job counter-1 lease)
server=${cli#*--server }
curl -sS --fail-with-body -X POST "http://${server%% *}/v1/jobs/counter-1/report" -d "{
  \"operator\": \"$host\", \"request_id\": \"counter-1-ended\", \"report\":
  {\"job\": \"counter-1\", \"lease\": $lease, \"host\": \"$host\",
   \"kind\": \"kSucceeded\", \"work_done\": 2000, \"text\": \"\",
   \"peak\": {\"processors\": 11, \"memory_gb\": 4, \"accelerators\": 0}}}" > /dev/null
$cli job cancel night-6 > /dev/null
$cli host fail host-4 > /dev/null
sleep 3
$cli wave start spring counter > /dev/null
sleep 4
leader=$($cli status --output json | grep -o '"leader":"entry-[0-9]"' | grep -o '[0-9]')
{
  echo "# Recorded from a running leader by scripts/record_trace.sh: jobs, one that"
  echo "# its worker ended, one cancelled, a failed host, a wave over a pool."
  cat "$folder/trace-$leader.jsonl"
} > "$file"
echo "$file: $(wc -l < "$file") lines"
