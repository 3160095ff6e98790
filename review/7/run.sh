#!/bin/sh
# Starts the case; see claim.txt.
exec python3 "$(dirname "$0")/case.py"
