#!/usr/bin/env bash
# Prints memory and processor time of one entry VM's processes, with release builds on loopback,
# against the number of client blocks. Ends what it started by process id.
#
# Usage: scripts/footprint.sh BLOCKS [BLOCKS ...]
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --release --workspace --bins --locked
bin=target/release
example=examples/cooperative
. scripts/lib.sh

# Prints a process's memory in MB and its processor time in clock ticks.
usage() {
  local pid
  pid=$(cat "$work/$1.pid")
  awk '/VmRSS/ { printf "%.1f MB ", $2 / 1000 }' "/proc/$pid/status"
  awk '{ print $14 + $15 }' "/proc/$pid/stat"
}

# Prints memory, and the share of a core over ten seconds without any request.
idle() {
  local name=$1 before after
  before=$(usage "$name" | awk '{ print $3 }')
  sleep 10
  after=$(usage "$name" | awk '{ print $3 }')
  echo "$name: $(usage "$name" | awk '{ print $1, $2 }'), idle $(( after - before )) ticks in 10 s"
}

start_example
sleep 2
operate apply "$example/records.yaml" >"$work/applied"
for blocks in "$@"; do
  "$bin/waxwing-measure" write-blocks "$blocks" lautoka >"$work/blocks.yaml"
  operate apply "$work/blocks.yaml" >"$work/applied"
  sleep 20
  echo "$blocks blocks, $(getconf CLK_TCK) ticks a second:"
  for process in keeper lookup entry; do idle "lautoka-1-$process"; done
done
