"""A reload of the configuration while its file is temporarily unreadable."""

from __future__ import annotations

import asyncio
import errno
import os
from dataclasses import replace
from pathlib import Path

import pytest
import uvloop

from onyxwick import lifecycle
from onyxwick.config import director as director_config
from tests.director_harness import TIMEOUT_S
from tests.exchange import FOLDER


def test_a_reload_is_retried_while_its_file_cannot_be_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    config = director_config.load({"RELAY_CONFIG": str(FOLDER / "config.json")})
    moved, failures_left = replace(config, coordinator=("127.77.200.2", 17070)), [3]
    real_read_text = Path.read_text

    def read_text(path: Path) -> str:
        if failures_left[0]:
            failures_left[0] -= 1
            raise OSError(errno.ENFILE, os.strerror(errno.ENFILE))
        return real_read_text(path).replace("127.77.200.1:17070", "127.77.200.2:17070")

    async def run() -> None:
        director = lifecycle.Director(config)
        monkeypatch.setattr(Path, "read_text", read_text)
        monkeypatch.setenv("RELAY_CONFIG", str(FOLDER / "config.json"))
        director.reload()
        async with asyncio.timeout(TIMEOUT_S / 2):
            while director.coordinator.address != moved.coordinator:
                await asyncio.sleep(0.01)

    uvloop.run(run())
