#!/usr/bin/env bash
# A few control and entry hosts and a stand-in for workers, callers and
# operator, on loopback: jobs as graphs from a caller's request to their last
# task. Fails on anything that must not be; prints what the daemons spent.
# run_fleet.sh [BUILD [BASE_PORT [STANDIN_OPTION...]]]; CONTROLS and ENTRIES say how
# many hosts there are of each kind.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
base=${2:-26700}
shift $(($# < 2 ? $# : 2))
controls=${CONTROLS:-3}
entries=${ENTRIES:-2}
source scripts/cluster.sh
folder=$(mktemp -d)
roles=()
trap 'stop_cluster; rm -rf "$folder"' EXIT

start_daemon() { # start_daemon ROLE NUMBER SETTINGS
  echo "$3" > "$folder/$1-$2.json"
  "$build/packages/daemon/laurelhalld" --settings "$folder/$1-$2.json" \
    > "$folder/$1-$2.log" 2>&1 &
  daemons+=($!)
  roles+=("$1-$2")
}

# Hosts differ by address alone, as on a platform: 127.0.1.N.
seeds="\"127.0.1.1:$base\", \"127.0.1.2:$base\", \"127.0.1.3:$base\""
shared='"cluster": "fleet", "region": "region", "io_threads": 1,
  "trusted_network": {"inner": true, "scheduling": true},
  "log": {"level": "info", "format": "json"}'
standin=127.0.0.1:$base
control=
for n in $(seq "$controls"); do
  start_daemon control "$n" '{'"$shared"', "name": "127.0.1.'$n:$base'",
    "availability_zone": "zone-'$n'", "roles": ["control"],
    "addresses": {"inner": "127.0.1.'$n:$base'", "hosts": "'$standin'",
      "scheduling": "127.0.1.'$n:$((base + 1))'", "metrics": "127.0.1.'$n:$((base + 2))'"},
    "control": {"data_folder": "'"$folder/data-$n"'", "may_bootstrap": true,
      "seeds": ['"$seeds"'], "admits_newcomers": true, "guards_zones": false}}'
  control+=${control:+,}127.0.1.$n:$((base + 1))
done
entry=
for n in $(seq $((controls + 1)) $((controls + entries))); do
  start_daemon entry "$n" '{'"$shared"', "name": "entry-'$n'",
    "availability_zone": "zone-1", "roles": ["entry"],
    "addresses": {"inner": "127.0.1.'$n:$base'", "jobs": "127.0.1.'$n:$((base + 1))'",
      "readiness": "127.0.1.'$n:$((base + 3))'", "metrics": "127.0.1.'$n:$((base + 2))'"},
    "control": {"seeds": ['"$seeds"']}}'
  entry+=${entry:+,}127.0.1.$n:$((base + 1))
done

result=0
"$build/platform/standin_fleet" --control "$control" --entry "$entry" --listen "$standin" "$@" ||
  result=$?
for n in "${!daemons[@]}"; do
  awk -v name="${roles[$n]}" '{printf "%s: %d ms of processor time\n", name, ($14 + $15) * 10}' \
    "/proc/${daemons[$n]}/stat" || echo "${roles[$n]}: ended"
done
if [ "$result" -ne 0 ]; then
  tail -n 20 "$folder"/*.log >&2
fi
exit "$result"
