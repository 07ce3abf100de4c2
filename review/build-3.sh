#!/bin/sh
# Builds the stand-ins of cases 11 to 15. They need nothing but the compiler.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O review/standins-3/main.rs -o target/review/standins-3
