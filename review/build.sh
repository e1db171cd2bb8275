#!/usr/bin/env bash
# Builds the stand-ins and scripts of the review; run after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/harness/Cargo.toml --target-dir target
