"""New configurations and lists that meet a fault for a moment are taken in all the same."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import json
import os
import socket
from dataclasses import replace
from pathlib import Path

import pytest
import uvloop

from onyxwick import lifecycle
from onyxwick.config import director as relay
from onyxwick.net.coordinator_feed import CoordinatorFeed
from tests.exchange import FOLDER
from tests.ground import PATIENCE_S, Ground, played

ROW = {"addr": "127.0.0.1:1", "zone": "edge-1", "kind": "box", "state": "SERVING", "weight": 6}


def test_a_reload_whose_file_cannot_be_read_for_a_moment_is_done_all_the_same(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    config = relay.load({"RELAY_CONFIG": str(FOLDER / "config.json")})
    moved, left = replace(config, coordinator=("127.77.200.2", 17070)), [3]
    real = Path.read_text

    def read_text(path: Path) -> str:
        if left[0]:
            left[0] -= 1
            raise OSError(errno.ENFILE, os.strerror(errno.ENFILE))
        return real(path).replace("127.77.200.1:17070", "127.77.200.2:17070")

    async def run() -> None:
        director = lifecycle.Director(config)
        monkeypatch.setattr(Path, "read_text", read_text)
        monkeypatch.setenv("RELAY_CONFIG", str(FOLDER / "config.json"))
        director.reload()
        async with asyncio.timeout(PATIENCE_S / 2):
            while director.coordinator.address != moved.coordinator:
                await asyncio.sleep(0.01)

    uvloop.run(run())


def test_a_row_that_cannot_be_read_takes_no_other_of_its_list_along() -> None:
    async def play(ground: Ground) -> None:
        feed = CoordinatorFeed(ground.core, ground.counters)
        rows = [{"id": "c0", **ROW}, {"id": "c1", **ROW, "state": "UNHEARD-OF"}, {"id": "c2", **ROW}]
        event = {"index": 1, "endpoints": {"version": 2, "full": True, "servers": rows}}
        feed.handle_line(json.dumps(event).encode())
        assert set(ground.members.listed) == {"c0", "c2"} and ground.counters.counts["bad.coordinator"] == 1

    played(play)


def test_a_feed_that_moves_in_the_turn_in_which_bytes_of_the_old_one_come_is_followed_there() -> None:
    async def play(ground: Ground) -> None:
        old, new = socket.create_server(("127.0.0.1", 0)), socket.create_server(("127.0.0.1", 0))
        for feed in (old, new):
            feed.setblocking(False)
            ground.opened.append(feed)
        follower = CoordinatorFeed(ground.core, ground.counters)
        follower.set_address(old.getsockname())
        follower.on_line = lambda: follower.set_address(new.getsockname())  # while a line is taken in
        ground.tasks.append(asyncio.get_running_loop().create_task(follower.follow()))
        conn = await ground.accepted(old)
        await ground.read(conn, b"follow 0\n")
        while True:  # lines go on coming, faster than the silence allowed
            with contextlib.suppress(OSError):  # it has been left already
                await asyncio.get_running_loop().sock_sendall(conn, b"0\n")
            try:
                moved, _ = new.accept()
                break
            except BlockingIOError:
                await asyncio.sleep(0.05)
        ground.opened.append(moved)
        assert not ground.counters.counts["error.coordinator"]

    async def bounded(ground: Ground) -> None:
        async with asyncio.timeout(PATIENCE_S / 4):
            await play(ground)

    played(bounded)
