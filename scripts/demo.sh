#!/usr/bin/env bash
# Builds the binaries and demonstrates the system end to end: starts the test doubles of the
# platform and of two backend servers and the processes of two entry VMs, looks up an entry VM,
# sends requests with a key and an upload, withdraws the key and prints the time line of three
# requests. Stops all processes by process id on exit.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --workspace --bins --locked
bin=target/debug
example=examples/cooperative
. scripts/lib.sh

call() {
  "$bin/waxwing-stand-in-caller" --lookup 127.0.10.1:7004 "$@"
}

# Retries a command every 0.1 s until it succeeds; fails after 200 attempts, about 20 s.
wait_for() {
  for _ in $(seq 200); do
    if "$@" >/dev/null 2>&1; then return; fi
    sleep 0.1
  done
  echo "timed out waiting for: $*" >&2
  exit 1
}

has_response() {
  local pattern=$1
  shift
  call "$@" | grep -q "$pattern"
}

heading() {
  printf '\n== %s\n' "$*"
}

heading "starting the platform, two backend servers and two entry VMs"
start_backends
start_example

heading "writing records"
wait_for run_waxwing get
run_waxwing apply --dry-run "$example/records.yaml"
run_waxwing apply "$example/records.yaml"
key=$(run_waxwing key issue kiln-1 --organisation kiln | grep '^wx-')
echo "the key was issued; only its digest is stored"
wait_for has_response " 200 " --key "$key" --path /ledger/ready

heading "looking up an entry VM"
call

heading "sending a request with a key, an upload and a request without a key"
call --key "$key" --path /ledger/batch/7 --request demo-lookup
call --key "$key" --method POST --path /ledger/photos --body-bytes 500000 --request demo-upload
call --path /ledger/batch/7

heading "status of all entry VMs"
run_waxwing status

heading "withdrawing the key"
run_waxwing key withdraw kiln-1
wait_for has_response " 403 " --key "$key" --path /ledger/batch/7
call --key "$key" --path /ledger/batch/7 --request demo-refused

heading "time line of the three requests across all processes"
for request in demo-lookup demo-upload demo-refused; do
  run_waxwing timeline --request "$request"
done

heading "stopping all processes"
