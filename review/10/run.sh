#!/bin/sh
# Plays the case of claim.txt. Exit 1: the rule was broken; 0: it held; 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x .venv/bin/python ] || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
exec .venv/bin/python review/10/case.py
