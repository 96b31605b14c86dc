#!/bin/sh
# Plays the case of claim.txt; with TROUBLE=0 the disruption is left out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
PYTHONPATH=review PYTHONDONTWRITEBYTECODE=1 exec python3 "$here/case.py"
