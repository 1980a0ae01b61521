#!/usr/bin/env bash
# A maintenance wave and a roll-out over twelve hosts, and two jobs, on daemons
# of its own, under light load. Fails if a host was stopped with something in
# flight, a request failed, or anything did not finish.
# run_wave.sh [BUILD [BASE_PORT]]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
base=${2:-26100}
source scripts/cluster.sh
folder=$build/wave
platform=

stop_all() {
  if [ -n "$platform" ]; then kill -TERM "$platform" 2>/dev/null || true; fi
  stop_cluster
}
trap stop_all EXIT

step() { printf '\n== %s\n' "$*"; }

state_of() { # state_of wave|rollout|job ID
  $cli "$1" show "$2" --output json 2>/dev/null | grep -o '"state":"k[A-Za-z]*"' | head -1 | cut -d'"' -f4
}

# Sends requests until the act has ended; every answer must be whole.
load_until() { # load_until STATE wave|rollout ID SECONDS
  local want=$1 kind=$2 id=$3 end=$((SECONDS + $4)) round=0
  until [ "$(state_of "$kind" "$id")" = "$want" ]; do
    if [ $SECONDS -ge $end ]; then
      echo "$kind $id is $(state_of "$kind" "$id") after $4 s" >&2
      $cli "$kind" show "$id" >&2
      return 1
    fi
    kill -0 "$platform" || return 1
    round=$((round + 1))
    "$build/tools/load" --targets "$entries" --organisations insurer-a \
      --service estimates-a --rate 40 --count 200 --keyed 0.2 --resend 0.5 \
      --key-prefix "$id-$round-$$" --deadline 8000 --strict >> "$folder/load.jsonl"
  done
}

rm -rf "$folder"
step "Seven daemons"
start_cluster "$base" "$folder"
servers=127.0.0.1:$((base + 201)),127.0.0.1:$((base + 202)),127.0.0.1:$((base + 203))
$cli settings set pools.base.warm_up='"2s"' pools.counter.target_hosts=10 \
  pools.annex.target_hosts=0 pools.overnight.target_hosts=0 \
  services.estimates.min_available=8 services.estimates.max_away_share=0.25 > /dev/null

step "Twelve hosts of the stand-in platform, an endpoint on each"
"$build/tools/standin_platform" --server "$servers" --register counter --hosts 12 \
  --racks 6 --reboot 2s --journals "$folder" > "$folder/platform.txt" 2> "$folder/platform.log" &
platform=$!
for n in $(seq 12); do
  start_endpoint "$n" "$((base + 400 + n))" estimates-a 50 "$folder"
done
wait_for ready cat "$folder/platform.txt"
in_pool() { $cli host list --output json | grep -o '"state":"kInPool"' | wc -l; }
open_endpoints() { $cli endpoint list --output json | grep -o '"is_host_away":false' | wc -l; }
wait_for 12 in_pool
wait_for 12 open_endpoints
sleep 2 # Within this time every entry host has its slots.
$cli pool plan

step "A job that can never run is told so"
if $cli job submit examples/jobs/never.json; then exit 1; fi

step "Two jobs, and a wave over all hosts under load"
$cli job submit examples/jobs/valuation.json > /dev/null
$cli job submit examples/jobs/reconciliation.json > /dev/null
$cli wave start may counter --time-per-host 30s --dry-run
$cli wave start may counter > /dev/null
began=$SECONDS
load_until kDone wave may 300
echo "wave: $((SECONDS - began)) s"
$cli wave show may

step "A roll-out under load"
$cli rollout start q7 estimates-a --version 2.4 --previous 2.3 --time-per-host 30s --dry-run
$cli rollout start q7 estimates-a --version 2.4 --previous 2.3 --bake 5s > /dev/null
began=$SECONDS
load_until kDone rollout q7 300
echo "roll-out: $((SECONDS - began)) s"
[ "$($cli host list --output json | grep -o '"version":"2.4"' | wc -l)" = 12 ]

step "Jobs"
$cli job list
for job in valuation-1 reconciliation-1; do
  wait_for kSucceeded state_of job "$job"
done

step "Figures"
echo "load rounds: $(wc -l < "$folder/load.jsonl"), all answers whole"
kill -TERM "$platform"
code=0
wait "$platform" || code=$?
platform=
tail -1 "$folder/platform.txt"
exit $code
