# Starts processes and ends them by process id; sourced by the scripts beside it.

work=$(mktemp -d)
pids=()

stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop_all EXIT

# Starts a command with its output in a log, and notes its process id.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=("$!")
  echo "$!" >"$work/$name.pid"
}

# Starts the platform's stand-in and the processes of the example's two entry VMs.
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

# Starts the stand-ins of the example's two backend servers.
start_backends() {
  start ledger-1 "$bin/waxwing-stand-in-backend" --listen 127.0.11.1:8000 --name ledger-1
  start ledger-2 "$bin/waxwing-stand-in-backend" --listen 127.0.11.2:8000 --name ledger-2
}

operate() {
  "$bin/waxwing" --settings "$example/waxwing.yaml" "$@"
}
