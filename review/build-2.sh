#!/bin/sh
# Builds the stand-ins and drivers of the cases of the second review, without any package.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/review-2 review/tool-2/main.rs
