#!/usr/bin/env bash
# Builds the stand-ins and checks of the second review from the standard library alone, without a network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/stand-ins review/stand-ins-2/main.rs
