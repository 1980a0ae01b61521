#!/usr/bin/env bash
# The path's added latency and requests per second of daemon processor time,
# against calling the stand-in directly, in one run.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
source scripts/cluster.sh
folder=$(mktemp -d)
trap 'stop_cluster; rm -rf "$folder"' EXIT
start_cluster 31000 "$folder"
for n in 1 2 3 4; do start_endpoint $n 3130$n estimates-a 0 "$folder"; done
wait_for runner-4 $cli endpoint list
sleep 2

run() { # run NAME ARGUMENTS...
  local name=$1 before after
  shift
  before=$(cpu_ms)
  "$build/tools/load" --organisations insurer-a --service estimates-a "$@" > "$folder/out.json"
  after=$(cpu_ms)
  python3 - "$name" "$folder/out.json" $((after - before)) <<'P'
import json, sys
name, out, cpu = sys.argv[1], json.load(open(sys.argv[2])), int(sys.argv[3])
ok = out["kinds"].get("ok", 0)
rate = ok / (cpu / 1000) if cpu else 0
print(f"{name:28} ok {ok}/{out['sent']} p50 {out['p50_ms']} ms p99 {out['p99_ms']} ms "
      f"daemons' cpu {cpu} ms, {rate:.0f} requests per second of a daemon core")
P
}

direct=127.0.0.1:31301,127.0.0.1:31302,127.0.0.1:31303,127.0.0.1:31304
run "direct, 500/s" --direct --targets $direct --rate 500 --count 5000
run "idempotent, 500/s" --targets "$entries" --rate 500 --count 5000
run "keyed, 500/s" --targets "$entries" --rate 500 --count 5000 --keyed 1 --key-prefix "a$$"
run "idempotent, 2000/s" --targets "$entries" --rate 2000 --count 20000
run "keyed, 2000/s" --targets "$entries" --rate 2000 --count 20000 --keyed 1 --key-prefix "b$$"
before=$(cpu_ms)
sleep 10
after=$(cpu_ms)
echo "idle for 10 s: $((after - before)) ms of processor time over 7 daemons"
for pid in "${daemons[@]}"; do grep VmRSS "/proc/$pid/status" | awk '{printf "%d MB ", $2 / 1024}'; done
echo "resident in each daemon"
