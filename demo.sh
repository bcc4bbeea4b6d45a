#!/usr/bin/env bash
# Builds everything, brings up a small deployment on loopback, runs the main job and ends it all.
set -euo pipefail
cd "$(dirname "$0")"
cargo build --locked --workspace --bins
exec target/debug/lentildemo
