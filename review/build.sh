#!/bin/sh
# Builds what the scripts of the review start, besides the project's own build.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/stand/Cargo.toml --target-dir target/review
