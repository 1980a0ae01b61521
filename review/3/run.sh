#!/usr/bin/env bash
# Plays the case on loopback and writes record.txt beside this file. Exits with
# 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption; KEEP=1 keeps settings and logs.
folder=$(cd "$(dirname "$0")" && pwd)
if ! python3 -c 'import asyncio, tomllib; asyncio.timeout' 2> /dev/null; then
  echo "python3 from 3.11 on is needed" | tee "$folder/record.txt"
  exit 2
fi
timeout -k 5 112 python3 "$folder/long_cut.py" "$folder"
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
