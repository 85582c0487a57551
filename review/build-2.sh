#!/bin/bash
# Builds the stand-ins of the cases 6 to 10: one program, of the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/day review/standins-2/main.rs
