#!/usr/bin/env bash
# Builds the system and runs it once from end to end: a stand-in for the platform, two backend
# servers, two entry VMs, a look-up, keyed requests, an upload, a withdrawn key and the time line.
# Everything that was started is ended by its process id.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --workspace --bins --locked
bin=target/debug
example=examples/cooperative
. scripts/lib.sh

call() {
  "$bin/waxwing-stand-in-caller" --lookup 127.0.10.1:7004 "$@"
}

# Tries a command every tenth of a second, for twenty seconds at most.
wait_for() {
  for _ in $(seq 200); do
    if "$@" >/dev/null 2>&1; then return; fi
    sleep 0.1
  done
  echo "waited in vain for: $*" >&2
  exit 1
}

is_told() {
  local wanted=$1
  shift
  call "$@" | grep -q "$wanted"
}

say() {
  printf '\n== %s\n' "$*"
}

say "starting the platform, two backend servers and two entry VMs"
start_backends
start_example

say "writing records"
wait_for operate get
operate apply --dry-run "$example/records.yaml"
operate apply "$example/records.yaml"
key=$(operate key issue kiln-1 --organisation kiln | grep '^wx-')
echo "the key was issued; only its digest is stored"
wait_for is_told " 200 " --key "$key" --path /ledger/ready

say "a look-up"
call

say "a keyed request, an upload, a request without a key"
call --key "$key" --path /ledger/batch/7 --request demo-lookup
call --key "$key" --method POST --path /ledger/photos --body-bytes 500000 --request demo-upload
call --path /ledger/batch/7

say "the state of all machines"
operate status

say "the key is withdrawn"
operate key withdraw kiln-1
wait_for is_told " 403 " --key "$key" --path /ledger/batch/7
call --key "$key" --path /ledger/batch/7 --request demo-refused

say "the time line of the three requests, over all processes"
for request in demo-lookup demo-upload demo-refused; do
  operate timeline --request "$request"
done

say "stopping everything"
