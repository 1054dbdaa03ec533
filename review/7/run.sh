#!/usr/bin/env bash
# The store returns from a copy of 4 s before; a zone is evacuated later. See claim.txt. TROUBLE=0: without the drill.
cd "$(dirname "$0")" && exec python3 case.py
