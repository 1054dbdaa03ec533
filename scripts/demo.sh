#!/usr/bin/env bash
# Builds the project and proxies one request between separate processes on loopback.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/build.sh
exec python3 examples/demo.py
