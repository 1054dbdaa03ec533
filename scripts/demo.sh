#!/usr/bin/env bash
# Builds the project and serves one request through separate processes on loopback.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/build.sh
exec python3 examples/demo.py
