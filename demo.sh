#!/usr/bin/env bash
# Builds everything, runs the main job on two small deployments on loopback, and ends them: the
# product's own, and one on the users' platform through its adapter.
set -euo pipefail
cd "$(dirname "$0")"
cargo build --locked --workspace --bins
programs="${CARGO_TARGET_DIR:-target}/debug"
"$programs/lentildemo"
"$programs/platformdemo"
