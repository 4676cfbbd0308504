#!/bin/sh
# Builds the stand-ins of the second review, with the compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/drill review/stand-ins-2/main.rs
