#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases, from the crates that the project's build has fetched.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/tool/Cargo.toml --target-dir target/review
