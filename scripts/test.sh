#!/usr/bin/env bash
# Builds, checks format and lint, and runs all tests. Tests listed in KNOWN-RED.txt are run
# and printed, but may fail.
set -uo pipefail
cd "$(dirname "$0")/.."

bash scripts/build.sh || exit 1
bash scripts/lint.sh || exit 1

known_red=$(sed -n 's/^test: //p' KNOWN-RED.txt)
exclude=$(printf '%s' "$known_red" | paste -sd'|' -)
if [ -n "$exclude" ]; then
    echo "known red, not part of the verdict:"
    cat KNOWN-RED.txt
    ctest --test-dir build --output-on-failure -R "^($exclude)\$" || true
    ctest --test-dir build --output-on-failure -j 3 -E "^($exclude)\$"
else
    ctest --test-dir build --output-on-failure -j 3
fi
