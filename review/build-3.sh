#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They use the standard library only. The program itself is
# built by the command in deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/review-3 review/standins-3/main.rs
