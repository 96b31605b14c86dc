#!/usr/bin/env bash
# Build the stand-ins of the scripts in review/6 and later. They are Python without
# dependencies, so that this only checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib

for path in sorted(pathlib.Path("stage2").glob("*.py")):
    compile(path.read_text(), str(path), "exec")
PYTHON
