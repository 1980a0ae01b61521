#!/usr/bin/env bash
# Runs the seeded schedules of the tests over many seeds: make soak SEEDS=2000
set -euo pipefail
build=${1:-build}
export LAURELHALL_SEEDS=${2:-200}
for test in consensus storage routing state planning placement; do
  binary=$build/packages/$test/${test}_test
  [ -x "$binary" ] || continue
  echo "== $test, $LAURELHALL_SEEDS seeds"
  "$binary"
done
