#!/usr/bin/env bash
# Builds what the scripts of the review cases start beside the gateway: the stand-ins, which need no other crate.
set -euo pipefail
cd "$(dirname "$0")"
cargo build --release --locked --offline --manifest-path stand-ins/Cargo.toml
