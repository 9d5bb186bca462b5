"""Replays every recorded exchange against the running program, and checks that invalid starts fail."""

from __future__ import annotations

import json
import os
import re
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from tests.exchange import FOLDER, PATIENCE_S, ROOT, Exchange

NAMES = sorted(path.name for path in FOLDER.glob("*.txt"))


@pytest.mark.parametrize("name", NAMES)
def test_exchange(name: str, tmp_path: Path) -> None:
    services = {"dns": "service.hcl", "admin": "service.hcl", "cells": "cells.hcl"}
    kind = re.split("[_.]", name)[0]
    exchange = Exchange(
        tmp_path, services.get(kind, ""), inherits_listener=kind == "handed", operations=kind == "operations"
    )
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
def test_an_invalid_configuration_names_its_field(
    change: dict[str, object], field: str, tmp_path: Path
) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**json.loads((FOLDER / "config.json").read_text()), **change}))
    done = subprocess.run(
        [sys.executable, "-m", "onyxwick"],
        cwd=ROOT,
        env={**os.environ, "RELAY_CONFIG": str(path)},
        capture_output=True,
        text=True,
        check=False,
        timeout=PATIENCE_S,
    )
    assert done.returncode == 2 and field in done.stderr and done.stderr.count("\n") == 1, done.stderr


@pytest.mark.parametrize("handed", ["seven", "unbound", "file"])
def test_an_inherited_descriptor_that_is_no_listening_socket_is_rejected(handed: str, tmp_path: Path) -> None:
    """The program exits with code 2 unless the descriptor is a listening socket of the platform."""
    config = tmp_path / "config.json"
    config.write_text((FOLDER / "config.json").read_text())
    with socket.socket() as unbound, config.open() as file:
        fd = {"seven": "seven", "unbound": str(unbound.fileno()), "file": str(file.fileno())}[handed]
        done = subprocess.run(
            [sys.executable, "-m", "onyxwick"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=False,
            env={**os.environ, "RELAY_CONFIG": str(config), "RELAY_LISTEN_FD": fd},
            pass_fds=() if handed == "seven" else (int(fd),),
            timeout=PATIENCE_S,
        )
    message = done.stderr
    assert done.returncode == 2, message
    assert "RELAY_LISTEN_FD" in message and "likely intent" in message, message
