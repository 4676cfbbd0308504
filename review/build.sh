#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. It needs the compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O review/stand-ins/main.rs -o target/review/stand-ins
