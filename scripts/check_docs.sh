#!/usr/bin/env bash
# Runs the ```sh blocks of the pages against the cluster of run_demo.sh, in one
# shell after another as a reader would, and fails on the first that fails.
# Blocks marked ```sh no-check are left out. Waits while another cluster has
# the example's ports.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
pages=(README.md docs/OPERATIONS.md)
ports=':(71|81|85|91)0[1-7]$'
folder=$(mktemp -d)
demo=
mkfifo "$folder/enter"

stop_demo() { # The demo ends as if somebody pressed Enter, and says how.
  [ -n "$demo" ] || return 0
  echo >&9
  exec 9>&-
  local code=0
  wait "$demo" || code=$?
  demo=
  return $code
}
trap 'stop_demo || true; rm -rf "$folder"' EXIT

wait_for_ports() {
  local _
  for _ in $(seq 300); do
    ss -ltn | awk '{print $4}' | grep -qE "$ports" || return 0
    sleep 1
  done
  echo "the example's ports are not free" >&2
  return 1
}

start_demo() {
  wait_for_ports
  # What the pages show is the daemons, not what else the disk does meanwhile.
  LAURELHALLD=$build/packages/daemon/laurelhalld_standin_disk \
    scripts/run_demo.sh "$build" 1 < "$folder/enter" > "$folder/demo.log" 2>&1 &
  demo=$!
  exec 9> "$folder/enter"
  until grep -q 'Enter stops all' "$folder/demo.log"; do
    if ! kill -0 "$demo" 2> /dev/null; then
      cat "$folder/demo.log" >&2
      return 1
    fi
    sleep 0.2
  done
}

blocks_of() { # blocks_of PAGE: its ```sh blocks, each command line traced
  awk '/^```sh$/ {is_block = 1; print "# line " NR; next}
       /^```/ {is_block = 0}
       is_block' "$1"
}

for page in "${pages[@]}"; do
  [ -f "$page" ] || continue
  blocks_of "$page" > "$folder/blocks.sh"
  grep -q '[^ ]' "$folder/blocks.sh" || continue
  start_demo
  code=0
  bash -euo pipefail -v "$folder/blocks.sh" \
    > "$folder/out.log" 2>&1 < /dev/null || code=$?
  if [ "$code" != 0 ]; then
    cat "$folder/out.log" >&2
    echo "$page: a command of the page ended with $code" >&2
    exit 1
  fi
  stop_demo || { tail -5 "$folder/demo.log" >&2; exit 1; }
  echo "$page: $(grep -c '^# line' "$folder/blocks.sh") blocks run"
done
