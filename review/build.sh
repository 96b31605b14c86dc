#!/bin/sh
# Builds what the scripts of the review start: the programs as the deploy file says, and
# the stand-ins, which need the standard library only.
set -e
cd "$(dirname "$0")/.."
sh -c "$(python3 -c 'import tomllib
print(tomllib.load(open("deploy/system.toml", "rb"))["build"])')"
python3 -m compileall -q review/stage
