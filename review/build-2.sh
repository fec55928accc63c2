#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10; run after the build of the deploy file, from
# the root of the repository.
set -e
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/drill review/standin-2/main.rs
