#!/usr/bin/env bash
# The stand-ins of the cases 6 and later are Python in review/common-2: nothing is compiled. Checks that they can run.
set -euo pipefail
cd "$(dirname "$0")"
for file in common-2/standins2.py [0-9]*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
python3 -c 'import asyncio, tomllib'
