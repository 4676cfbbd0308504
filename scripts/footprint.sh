#!/usr/bin/env bash
# Prints the memory and the idle processor time of the processes of one entry VM for each given
# number of client blocks, with release builds on loopback. Stops all processes by process id on
# exit.
#
# Usage: scripts/footprint.sh BLOCKS [BLOCKS ...]
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --release --workspace --bins --locked
bin=target/release
example=examples/cooperative
. scripts/lib.sh

# Prints the resident memory of a process in MB and its processor time in clock ticks.
resource_usage() {
  local pid
  pid=$(cat "$work/$1.pid")
  awk '/VmRSS/ { printf "%.1f MB ", $2 / 1000 }' "/proc/$pid/status"
  awk '{ print $14 + $15 }' "/proc/$pid/stat"
}

# Prints the resident memory of a process and the clock ticks it uses in 10 s without requests.
report_idle_usage() {
  local name=$1 before after
  before=$(resource_usage "$name" | awk '{ print $3 }')
  sleep 10
  after=$(resource_usage "$name" | awk '{ print $3 }')
  echo "$name: $(resource_usage "$name" | awk '{ print $1, $2 }'), idle $(( after - before )) ticks in 10 s"
}

start_example
sleep 2
run_waxwing apply "$example/records.yaml" >"$work/applied"
for blocks in "$@"; do
  "$bin/waxwing-measure" write-blocks "$blocks" lautoka >"$work/blocks.yaml"
  run_waxwing apply "$work/blocks.yaml" >"$work/applied"
  sleep 20
  echo "$blocks blocks, $(getconf CLK_TCK) clock ticks per second:"
  for process in keeper lookup entry; do report_idle_usage "lautoka-1-$process"; done
done
