#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts; they use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -D warnings -o target/review-2/world review/standins-2/world.rs
