#!/usr/bin/env bash
# Builds everything and runs the demo: platform, two data centres of 3 instances,
# auction desk and lot intake, and a load of callers for some seconds on loopback.
set -euo pipefail
cd "$(dirname "$0")"
cargo build --release --workspace
exec "${CARGO_TARGET_DIR:-target}/release/foxledge-fake" demo "$@"
