#!/usr/bin/env bash
# Builds the stand-ins of the cases. It needs the Rust compiler and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/foxtail-review review/standin/main.rs
