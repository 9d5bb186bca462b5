"""Callers of the hosted fronts and the operators that go on and never end: each wait is over by its time."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import time
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from onyxwick.admin.http_messages import HttpRequest
from onyxwick.admin.http_server import HttpServer
from onyxwick.config import director as director_config
from onyxwick.core.phase import DirectorPhase
from onyxwick.counters import Counters
from onyxwick.dns import server as dns_server
from onyxwick.lifecycle import Director
from onyxwick.operations.operator_commands import OperatorCommands
from tests.exchange import FOLDER

PATIENCE_S, EVERY_S = 0.5, 0.05
ADDRESS = ("127.77.9.1", 18091)


def _answer(request: HttpRequest) -> tuple[int, object]:
    return 200, {}


async def _seconds_until_ended(sock: socket.socket, text: bytes) -> float:
    """How long a caller that writes a byte now and then is listened to."""
    sock.setblocking(False)
    began = time.monotonic()
    with contextlib.suppress(OSError):
        for n in range(len(text)):
            sock.send(text[n : n + 1])
            await asyncio.sleep(EVERY_S)
            with contextlib.suppress(BlockingIOError):
                if not sock.recv(1000):
                    break
    return time.monotonic() - began


def test_a_caller_that_writes_a_call_without_end_is_ended_when_its_patience_is_over() -> None:
    async def play() -> float:
        server = HttpServer(ADDRESS, _answer, Counters(), call_timeout_s=PATIENCE_S)
        task = asyncio.get_running_loop().create_task(server.run())
        await asyncio.sleep(0)
        with socket.create_connection(ADDRESS) as sock:
            took = await _seconds_until_ended(sock, b"GET /ready HTTP/1.1\r\nX-More: " + b"x" * 60)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return took

    assert asyncio.run(play()) < 3 * PATIENCE_S


def test_a_call_that_comes_in_pieces_is_answered() -> None:
    async def play() -> bytes:
        server = HttpServer(
            ADDRESS, _answer, Counters(), call_timeout_s=10 * PATIENCE_S, one_call_per_connection=True
        )
        loop = asyncio.get_running_loop()
        task = loop.create_task(server.run())
        await asyncio.sleep(0)
        got = b""
        with socket.create_connection(ADDRESS) as sock, contextlib.suppress(OSError):
            sock.setblocking(False)
            text = b"GET /ready HTTP/1.1\r\nHost: d\r\n\r\n"
            for n in range(len(text)):
                await loop.sock_sendall(sock, text[n : n + 1])
                await asyncio.sleep(0.005)
            got = await loop.sock_recv(sock, 1000)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return got

    assert asyncio.run(play()).startswith(b"HTTP/1.1 200 OK")


def test_an_incomplete_message_over_tcp_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(dns_server, "TCP_TIMEOUT_S", PATIENCE_S)

    async def play() -> float:
        near, far = socket.socketpair()
        near.setblocking(False)
        serve: Callable[[Any, socket.socket], Awaitable[None]] = dns_server.DnsFront._serve_tcp
        task = asyncio.ensure_future(serve(None, near))
        with far:
            took = await _seconds_until_ended(far, b"\xff\xff" + b"x" * 60)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return took

    assert asyncio.run(play()) < 3 * PATIENCE_S


def test_a_drain_called_for_before_the_first_state_is_entered_is_no_error() -> None:
    """The loop comes round to it once the director has started drained already."""

    async def play() -> None:
        director = Director(director_config.read(json.loads((FOLDER / "config.json").read_text())))
        director.phase = DirectorPhase.DRAINED
        director._on_drain_changed(OperatorCommands(1, True, drain_requested_at_s=time.monotonic()))
        assert director.phase is DirectorPhase.DRAINED and director.front.shutdown is not None

    asyncio.run(play())
