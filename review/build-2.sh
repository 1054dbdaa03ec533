#!/usr/bin/env bash
# The stand-ins of the cases 6 to 9 are Python in the folder of each: nothing is compiled. Checks that they can run.
set -euo pipefail
cd "$(dirname "$0")"
for file in [6-9]/standins2.py [6-9]/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
python3 -c 'import asyncio, tomllib'
