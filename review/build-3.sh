#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/11 to review/15, from sources in review/tool-3 alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O review/tool-3/main.rs -o target/review-3/review-3
