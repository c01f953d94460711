#!/bin/sh
# Builds the stand-ins of the second review's cases. They have no dependencies, so no network is needed.
set -e
cd "$(dirname "$0")/stand-ins-2"
exec cargo build --release --locked --offline
