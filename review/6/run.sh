#!/usr/bin/env bash
# The store returns from a copy of 4 s before. See claim.txt. TROUBLE=0: the same without that.
cd "$(dirname "$0")" && exec python3 case.py
