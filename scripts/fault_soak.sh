#!/usr/bin/env bash
# Seeds of faults against the real daemons on loopback (platform/tests/soak).
# fault_soak.sh [BUILD [SEEDS [FIRST [JOBS]]]]: SEEDS seeds from FIRST on, JOBS
# at a time; "cases" or "open" for SEEDS plays those of that list. Settings,
# data and logs of a failed seed stay in FOLDER/seed-N.
# SECONDS_OF_FAULTS, BASE_PORT, FOLDER, CONTROLS and ENTRIES may be set;
# OUTAGES=1 adds disks that refuse writes and long cuts of workers.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
seeds=${2:-50}
first=${3:-1}
jobs=${4:-3}
folder=${FOLDER:-$(mktemp -d -t fault_soak.XXXXXX)}
ports=4 # Of one seed.

is_taken() { # is_taken BASE: whether anything listens on the ports from there
  local port
  for ((port = $1; port < $1 + ports * jobs; ++port)); do
    ! ss -ltnH "sport = :$port" | grep -q . || return 0
  done
  return 1
}

# Below the ports that the kernel picks; another run on the machine has others.
base=${BASE_PORT:-$((30000 + $$ % 150 * 16))}
while [ -z "${BASE_PORT:-}" ] && is_taken "$base"; do
  base=$((30000 + (base - 30000 + 16) % 2400))
done

if [ "$(id -u)" -eq 0 ]; then
  echo "Not played: a folder that takes no writes (the user here may write all)."
fi
echo "Not played: wall clocks that jump (they are the machine's)."

play() { # play SEED SLOT
  local seed=$1 home=$folder/seed-$1 controls=${CONTROLS:-3} result=0
  # Every fourth seed has more hosts.
  [ -n "${CONTROLS:-}" ] || [ $((seed % 4)) -ne 0 ] || controls=5
  local daemon=laurelhalld options=()
  if [ -n "${OUTAGES:-}" ]; then
    daemon=laurelhalld_refusing_disk options=(--outages)
  fi
  rm -rf "$home" && mkdir -p "$home"
  "$build/platform/fault_soak" --daemon "$build/packages/daemon/$daemon" \
    --folder "$home" --seed "$seed" --base-port $((base + ports * $2)) \
    --controls "$controls" --entries "${ENTRIES:-2}" \
    --seconds "${SECONDS_OF_FAULTS:-20}" "${options[@]}" > "$home/soak.log" 2>&1 || result=$?
  if [ "$result" -eq 0 ]; then
    echo "seed $seed: all held; $(tail -n 1 "$home/soak.log" | cut -d' ' -f3-)"
    rm -rf "$home"
    return 0
  fi
  echo "seed $seed: FAILED ($result), see $home"
  grep FINDING "$home/soak.log" || tail -n 5 "$home/soak.log"
  return 1
}

if [ -f "platform/tests/soak/$seeds.txt" ]; then
  mapfile -t list < <(grep -o '^[0-9]*' "platform/tests/soak/$seeds.txt")
else
  mapfile -t list < <(seq "$first" $((first + seeds - 1)))
fi

run_slot() { # run_slot SLOT: each JOBS-th seed, one after another
  local at result=0
  for ((at = $1; at < ${#list[@]}; at += jobs)); do
    play "${list[at]}" "$1" || result=1
  done
  return "$result"
}

slots=()
for ((slot = 0; slot < jobs; ++slot)); do
  run_slot "$slot" &
  slots+=($!)
done
failed=0
for slot in "${slots[@]}"; do
  wait "$slot" || failed=1
done
exit "$failed"
