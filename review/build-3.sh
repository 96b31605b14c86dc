#!/bin/sh
# Checks that the stand-ins of the scripts load; they need Python 3.11 and nothing else.
cd "$(dirname "$0")" || exit 1
PYTHONDONTWRITEBYTECODE=1 python3 -c "import standins3.site"
