"""Every recorded exchange, played against the running program."""

from __future__ import annotations

import json
import os
import re
import subprocess
import sys
from pathlib import Path

import pytest

from tests.exchange import FOLDER, PATIENCE_S, ROOT, Exchange

NAMES = sorted(path.name for path in FOLDER.glob("*.txt"))


@pytest.mark.parametrize("name", NAMES)
def test_exchange(name: str, tmp_path: Path) -> None:
    services = {"dns": "service.hcl", "admin": "service.hcl", "cells": "cells.hcl"}
    exchange = Exchange(tmp_path, services.get(re.split("[_.]", name)[0], ""))
    try:
        exchange.play(name)
    finally:
        exchange.stop()


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"listen": "nowhere"}, "listen"),
        ({"coordinator": 7}, "coordinator"),
        ({"settings": {}}, "az"),
        ({"seed": "no hex"}, "seed"),
        ({"known": []}, "known"),
    ],
)
def test_a_bad_configuration_names_its_field(change: dict[str, object], field: str, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**json.loads((FOLDER / "config.json").read_text()), **change}))
    done = subprocess.run(
        [sys.executable, "-m", "onyxwick"], cwd=ROOT, env={**os.environ, "RELAY_CONFIG": str(path)},
        capture_output=True, text=True, check=False, timeout=PATIENCE_S,
    )  # fmt: skip
    assert done.returncode == 2 and field in done.stderr and done.stderr.count("\n") == 1, done.stderr
