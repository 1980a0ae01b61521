#!/usr/bin/env bash
# Runs every bench, one after another, and keeps what they print.
set -euo pipefail
build=${1:-build}
out=$build/bench-results
mkdir -p "$out"
for bench in "$build"/bench/*_bench; do
  [ -x "$bench" ] || continue
  name=$(basename "$bench")
  echo "== $name"
  "$bench" | tee "$out/$name.txt"
done
if [ -x scripts/bench_path.sh ]; then
  echo "== path"
  scripts/bench_path.sh "$build" | tee "$out/path.txt"
fi
