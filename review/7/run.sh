#!/bin/sh
# Starts the case; see claim.txt.
exec python3 -B "$(dirname "$0")/case.py"
