#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10; they need the standard library alone, and no network.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
cargo build --release --offline --locked
