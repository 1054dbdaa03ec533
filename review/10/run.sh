#!/usr/bin/env bash
# A machine is removed for good by SIGKILL; the directory goes on naming it. See claim.txt. TROUBLE=0: nothing is killed.
cd "$(dirname "$0")" && exec python3 case.py
