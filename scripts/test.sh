#!/usr/bin/env bash
# Builds all binaries and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --workspace --bins --locked
cargo test --workspace --locked "$@"
