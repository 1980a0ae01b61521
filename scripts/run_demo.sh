#!/usr/bin/env bash
# Starts seven daemons and three stand-in endpoints on loopback, sends requests
# through different entry hosts, shows the fleet and the burn, and stops all.
# KEEP=1 (second argument) leaves everything up until Enter is pressed, and
# names each process in build/demo/pids, for those who want to end one.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
keep=${2:-}
daemon=${LAURELHALLD:-$build/packages/daemon/laurelhalld}
cli="$build/packages/cli/laurelhall --operator demo"
logs=$build/demo
entries=127.0.0.1:8101,127.0.0.1:8102,127.0.0.1:8103,127.0.0.1:8104,127.0.0.1:8105,127.0.0.1:8106,127.0.0.1:8107
source scripts/cluster.sh

forget_daemon() { # forget_daemon PID: its exit code does not count
  local kept=() pid
  for pid in "${daemons[@]}"; do
    [ "$pid" = "$1" ] || kept+=("$pid")
  done
  daemons=("${kept[@]}")
  wait "$1" || true
}

stop_all() {
  # Endpoints first: they announce that they leave, then the daemons drain.
  for pid in "${endpoints[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${endpoints[@]}"; do wait "$pid" 2>/dev/null || true; done
  local code=0
  for pid in "${daemons[@]}"; do
    if kill -TERM "$pid" 2> /dev/null; then continue; fi
    [ -n "$keep" ] && echo "process $pid was ended before" && forget_daemon "$pid"
  done
  for pid in "${daemons[@]}"; do wait "$pid" || code=$?; done
  endpoints=()
  daemons=()
  return $code
}
trap 'stop_all || true' EXIT

step() { printf '\n== %s\n' "$*"; }

rm -rf data "$logs"
mkdir -p data "$logs"

step "Seven daemons, five of them control hosts, in four availability zones"
for n in 1 2 3 4 5 6 7; do
  $daemon --settings "examples/montevideo/entry-$n.json" 2> "$logs/entry-$n.log" &
  daemons+=($!)
  echo "entry-$n $!" >> "$logs/pids"
done
wait_for '"leader":"entry-' $cli status --output json
$cli settings load examples/montevideo/settings.json
# Budgets that fit three hosts in place of thirty-four.
$cli settings set pools.base.warm_up='"2s"' services.estimates.min_available=1 \
  services.estimates.max_away_share=0.5 > /dev/null
$cli settings wait 2

step "Hosts, and three stand-in endpoints that announce themselves"
for n in 1 2 3; do
  $cli host add "host-$n" --pool counter --rack "rack-$n" --zone "mvd-$n" \
    --processors 32 --memory-gb 128 > /dev/null
  $cli host join "host-$n" > /dev/null
  vendor=flat
  words=(--ready-word UP --leaving-word DRAIN)
  [ "$n" = 2 ] && vendor=nested && words=(--ready-word serving --leaving-word stopping)
  "$build/tools/standin_endpoint" --listen "127.0.0.1:850$n" --announce $entries \
    --id "runner-$n" --service estimates-a --host "host-$n" --zone "mvd-$n" \
    --vendor $vendor --vendor-name $vendor-vendor "${words[@]}" --delay 20 \
    --journal "$logs/runs-$n.txt" > /dev/null 2> "$logs/endpoint-$n.log" &
  endpoints+=($!)
  echo "runner-$n $!" >> "$logs/pids"
done
all_open() {
  $cli endpoint list --output json | grep -o '"is_host_away":false' | wc -l
}
wait_for 3 all_open
$cli endpoint list
sleep 1 # Within this time every entry host has its slots.

step "Requests through all entry hosts, a few of them sent twice with one key"
"$build/tools/load" --targets $entries --organisations insurer-a --service estimates-a \
  --rate 50 --count 20 --keyed 0.5 --resend 0.5 --key-prefix "demo-$$" --verbose --strict
runs=$(grep -h "^start" "$logs"/runs-*.txt | awk '$3 != "-" {print $3}' | sort | uniq -d | wc -l)
echo "keys that ran more than once: $runs"
[ "$runs" = 0 ]

step "The fleet"
$cli status
$cli host list
$cli budget list

step "Service-level burn"
$cli report burn
$cli report burn --html "$logs/burn.html"

if [ -n "$keep" ]; then
  cat <<EOF

All of it is up. Entry hosts: $entries
Logs: $logs, one file for each process. Processes:
$(sed 's/^/  /' "$logs/pids")
README.md goes on from here, in another shell. Enter stops all of it.
EOF
  read -r _ || true
fi

step "Graceful stop"
stop_all
echo "all stopped, exit codes 0"
