#!/usr/bin/env bash
# Measures how long a keyed look-up takes through one entry VM, beside one that goes straight to
# the backend server, with release builds on loopback. Ends what it started by process id.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --release --workspace --bins --locked
bin=target/release
example=examples/cooperative
work=$(mktemp -d)
pids=()

stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop_all EXIT

start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=("$!")
}

start platform "$bin/waxwing-stand-in-platform" --listen 127.0.0.1:7300 \
  --vms "$example/vms.json"
start ledger-1 "$bin/waxwing-stand-in-backend" --listen 127.0.11.1:8000 --name ledger-1
start ledger-2 "$bin/waxwing-stand-in-backend" --listen 127.0.11.2:8000 --name ledger-2
for vm in lautoka-1 nausori-1; do
  for process in keeper lookup entry; do
    start "$vm-$process" "$bin/waxwing-$process" --settings "$example/$vm/$process.yaml"
  done
done
sleep 3
sed 's/50\/s/5000\/s/; s/50 tokens/5000 tokens/' "$example/records.yaml" >"$work/records.yaml"
"$bin/waxwing" --settings "$example/waxwing.yaml" apply "$work/records.yaml"
key=$("$bin/waxwing" --settings "$example/waxwing.yaml" key issue k --organisation kiln | grep '^wx-')
sleep 8
for round in 1 2 3; do
  for address in 127.0.11.1:8000 127.0.10.1:7006 127.0.10.2:7006; do
    echo -n "round $round, $address: "
    "$bin/waxwing-stand-in-caller" --lookup 127.0.10.1:7004 --key "$key" --path /ledger/a \
      --repeat 2000 --direct "$address"
  done
done
