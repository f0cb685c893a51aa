#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
CARGO_TARGET_DIR=../../target/review-2 cargo build --release --locked --offline
