# Sourced by scripts that need a cluster of their own on loopback.
# With trace_files set, each daemon records into FOLDER/trace-N.jsonl.
# Sets cli, daemons, entries; call start_cluster BASE_PORT FOLDER, stop_cluster.
build=${build:-build}
daemons=()
endpoints=()

start_cluster() { # start_cluster BASE_PORT FOLDER
  local base=$1 folder=$2 n trace=
  mkdir -p "$folder"
  entries=
  for n in 1 2 3 4 5 6 7; do
    [ -z "${trace_files:-}" ] || trace=$folder/trace-$n.jsonl
    sed -e "s/127.0.0.1:71\(0[0-9]\)/127.0.0.1:$((base / 100))\1/" \
      -e "s/127.0.0.1:81\(0[0-9]\)/127.0.0.1:$((base / 100 + 1))\1/" \
      -e "s/127.0.0.1:91\(0[0-9]\)/127.0.0.1:$((base / 100 + 2))\1/" \
      -e "s#data/entry#$folder/data-entry#" -e 's/"level": "info"/"level": "warning"/' \
      -e "s#\"trace_file\": \"\"#\"trace_file\": \"$trace\"#" \
      "examples/montevideo/entry-$n.json" > "$folder/entry-$n.json"
    "$build/packages/daemon/laurelhalld" --settings "$folder/entry-$n.json" 2> "$folder/entry-$n.log" &
    daemons+=($!)
    entries+=${entries:+,}127.0.0.1:$((base + 100 + n))
  done
  cli="$build/packages/cli/laurelhall --server 127.0.0.1:$((base + 201)) --operator bench"
  wait_for '"leader":"entry-' $cli status --output json
  $cli settings load examples/montevideo/settings.json > /dev/null
  $cli settings wait 1 > /dev/null
}

start_endpoint() { # start_endpoint NUMBER PORT SERVICE DELAY_MS FOLDER
  "$build/tools/standin_endpoint" --listen "127.0.0.1:$2" --announce "$entries" \
    --id "runner-$1" --service "$3" --host "host-$1" --zone "mvd-$((($1 - 1) % 4 + 1))" \
    --vendor flat --vendor-name flat-vendor --delay "$4" --journal "$5/runs-$1.txt" \
    > /dev/null 2> "$5/endpoint-$1.log" &
  endpoints+=($!)
}

stop_cluster() {
  local pid
  for pid in "${endpoints[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${endpoints[@]}"; do wait "$pid" 2>/dev/null || true; done
  for pid in "${daemons[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${daemons[@]}"; do wait "$pid" 2>/dev/null || true; done
  endpoints=()
  daemons=()
}

wait_for() { # wait_for TEXT COMMAND...: until the command's output has the text
  local text=$1
  shift
  for _ in $(seq 300); do
    if "$@" 2>/dev/null | grep -q -- "$text"; then return 0; fi
    sleep 0.1
  done
  echo "no $text from: $*" >&2
  return 1
}

cpu_ms() { # processor time of the daemons so far, in milliseconds
  local pid total=0 ticks
  for pid in "${daemons[@]}"; do
    ticks=$(awk '{print $14 + $15}' "/proc/$pid/stat")
    total=$((total + ticks * 10))
  done
  echo "$total"
}
