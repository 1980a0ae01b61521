#!/usr/bin/env bash
# Plays the case of claim.txt: exit code 1 if the rule was broken, 0 if it held,
# 2 if the case couldn't run. TROUBLE=0: without the disruption. Needs the build
# of the deploy file and review/build-2.sh.
set -uo pipefail
cd "$(dirname "$0")/../.."
standin=target/review-2/review_standin
daemon=target/packages/daemon/laurelhalld
if [ ! -x "$standin" ] || [ ! -x "$daemon" ]; then
  echo "build first: the command of deploy/system.toml, then review/build-2.sh"
  exit 2
fi
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
group=
# All that the run starts is in the process group of timeout, also where the
# stand-in itself was killed.
clean_up() {
  [ -z "$group" ] || kill -KILL -- "-$group" 2> /dev/null
  rm -rf "$TMPDIR"
}
trap clean_up EXIT
trap 'exit 2' INT TERM HUP
timeout --kill-after=2 115 "$standin" dropped-queue "$daemon" review/7/record.txt &
group=$!
wait "$group"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
