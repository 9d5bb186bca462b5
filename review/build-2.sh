#!/bin/sh
# Builds what the cases 6 to 10 start. Run it after the build of deploy/balancer.toml.
# The stand-ins (peers_2.py and case.py of each case) need the standard library alone. A director with a store
# needs the libraries of requirements-lab.txt that docs/operate/store.md names; they go to review/build/lab.
set -e
cd "$(dirname "$0")/.."
python=.venv/bin/python
libraries=$(grep -E '^(cffi|crc32c|cryptography|msgspec|pycparser|sortedcontainers)==' requirements-lab.txt)
PYTHONPATH=review/build/lab $python -c "import crc32c, cryptography.fernet, msgspec, sortedcontainers" 2>/dev/null || {
    rm -rf review/build/lab
    $python -m pip install -q --target review/build/lab $libraries
}
$python -c "import ast, pathlib; [ast.parse(p.read_text()) for p in pathlib.Path('review').glob('*/case.py')]"
