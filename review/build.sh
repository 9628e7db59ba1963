#!/bin/sh
# Builds the stand-ins of the scripts. They are Python modules without dependencies.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q lib [0-9]*
