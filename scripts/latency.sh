#!/usr/bin/env bash
# Measures how long a keyed look-up takes through one entry VM, beside one that goes straight to
# the backend server, with release builds on loopback. Ends what it started by process id.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --release --workspace --bins --locked
bin=target/release
example=examples/cooperative
. scripts/lib.sh

start_backends
start_example
sleep 3
sed 's/50\/s/5000\/s/; s/50 tokens/5000 tokens/' "$example/records.yaml" >"$work/records.yaml"
operate apply "$work/records.yaml"
key=$(operate key issue k --organisation kiln | grep '^wx-')
sleep 8
for round in 1 2 3; do
  for address in 127.0.11.1:8000 127.0.10.1:7006 127.0.10.2:7006; do
    echo -n "round $round, $address: "
    "$bin/waxwing-stand-in-caller" --lookup 127.0.10.1:7004 --key "$key" --path /ledger/a \
      --repeat 2000 --direct "$address"
  done
done
