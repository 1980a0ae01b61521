#!/usr/bin/env bash
# Runs every bench, one after another, and keeps what they print and how long
# each took. The long rows, which take minutes each, run with LONG=1 only.
set -euo pipefail
build=${1:-build}
out=$build/bench-results
mkdir -p "$out"

# What leaves a bench's long rows out.
declare -A short=(
  [placement_bench]=--growth
  [planning_bench]=--small
)

run() { # run NAME COMMAND...
  local name=$1 begun=$SECONDS
  shift
  echo "== $name"
  "$@" | tee "$out/$name.txt"
  echo "$name: $((SECONDS - begun)) s" | tee -a "$out/times.txt"
}

: > "$out/times.txt"
for bench in "$build"/bench/*_bench; do
  [ -x "$bench" ] || continue
  name=$(basename "$bench")
  arguments=()
  if [ -z "${LONG:-}" ] && [ -n "${short[$name]:-}" ]; then
    arguments=("${short[$name]}")
  fi
  run "$name" "$bench" "${arguments[@]}"
done
run path scripts/bench_path.sh "$build"
echo "in all: $SECONDS s"
