#!/usr/bin/env bash
# Builds what the scripts start besides the build of the deploy file. Needs no network: the package
# has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --locked --offline --release --manifest-path review/rig/Cargo.toml --target-dir target/review
