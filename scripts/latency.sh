#!/usr/bin/env bash
# Measures the latency of a GET request with a key through each of two entry VMs, and of the same
# request sent directly to the backend server, with release builds on loopback. Stops all processes
# by process id on exit.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --release --workspace --bins --locked
bin=target/release
example=examples/cooperative
. scripts/lib.sh

start_backends
start_example
sleep 3
# Raises the rate limit of the example, so that it does not refuse the measured requests.
sed 's/50\/s/5000\/s/; s/50 tokens/5000 tokens/' "$example/records.yaml" >"$work/records.yaml"
run_waxwing apply "$work/records.yaml"
key=$(run_waxwing key issue k --organisation kiln | grep '^wx-')
sleep 8
for round in 1 2 3; do
  for address in 127.0.11.1:8000 127.0.10.1:7006 127.0.10.2:7006; do
    echo -n "round $round, $address: "
    "$bin/waxwing-stand-in-caller" --lookup 127.0.10.1:7004 --key "$key" --path /ledger/a \
      --repeat 2000 --direct "$address"
  done
done
