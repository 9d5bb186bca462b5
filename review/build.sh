#!/bin/sh
# Builds the stand-ins of all cases: bytecode of the scripts. They use the standard library alone.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
