#!/bin/sh
# Sets up the program and runs one director on examples/config.json, with a toy depot beside it, until interrupted.
set -eu
cd "$(dirname "$0")/.."
test -d .venv || python3 -m venv .venv
.venv/bin/pip -q install -r requirements.txt
PYTHONPATH=. .venv/bin/python examples/toy.py serve &
toy=$!
trap 'kill "$toy"' EXIT
trap 'exit 130' INT
trap 'exit 143' TERM
RELAY_CONFIG=examples/config.json .venv/bin/python -m onyxwick
