# Sourced by the other scripts: starts processes, and stops them by process id on exit. Expects the
# variables `bin`, the directory of the binaries, and `example`, the directory of the example
# settings.

work=$(mktemp -d)
pids=()

stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop_all EXIT

# Starts a command in the background under a name, with its output in a log file, and records its
# process id.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=("$!")
  echo "$!" >"$work/$name.pid"
}

# Starts the test double of the platform and the processes of the two example entry VMs.
start_example() {
  local vm process
  start platform "$bin/waxwing-stand-in-platform" --listen 127.0.0.1:7300 \
    --vms "$example/vms.json"
  for vm in lautoka-1 nausori-1; do
    for process in keeper lookup entry; do
      start "$vm-$process" "$bin/waxwing-$process" --settings "$example/$vm/$process.yaml"
    done
  done
}

# Starts the test doubles of the two example backend servers.
start_backends() {
  start ledger-1 "$bin/waxwing-stand-in-backend" --listen 127.0.11.1:8000 --name ledger-1
  start ledger-2 "$bin/waxwing-stand-in-backend" --listen 127.0.11.2:8000 --name ledger-2
}

# Runs the `waxwing` command with the example settings.
run_waxwing() {
  "$bin/waxwing" --settings "$example/waxwing.yaml" "$@"
}
