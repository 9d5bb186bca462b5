#!/bin/sh
# Sets up the pinned tools in a virtual environment (VENV, else .venv-test) and runs format check, lint, types and tests.
set -eu
cd "$(dirname "$0")/.."
venv=${VENV:-.venv-test}
test -d "$venv" || python3 -m venv "$venv"
"$venv/bin/pip" -q install -r requirements.txt -r requirements-dev.txt
PATH="$PWD/$venv/bin:$PATH"
export PATH
ruff format --check onyxwick tests examples
ruff check onyxwick tests examples
mypy
python -m pytest "$@"
