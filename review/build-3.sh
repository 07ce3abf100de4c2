#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review/, with the compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/lab-4 review/standins-4/main.rs
