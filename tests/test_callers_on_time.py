"""Clients of the DNS front or the operators' HTTP server that never complete a message are cut off."""

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

CALL_TIMEOUT_S, WRITE_INTERVAL_S = 0.5, 0.05
ADDRESS = ("127.77.9.1", 18091)


def _answer(request: HttpRequest) -> tuple[int, object]:
    return 200, {}


async def _seconds_until_ended(sock: socket.socket, text: bytes) -> float:
    """Send a text byte by byte, and return the seconds until the connection was closed or all was sent."""
    sock.setblocking(False)
    started_at_s = time.monotonic()
    with contextlib.suppress(OSError):
        for index in range(len(text)):
            sock.send(text[index : index + 1])
            await asyncio.sleep(WRITE_INTERVAL_S)
            with contextlib.suppress(BlockingIOError):
                if not sock.recv(1000):
                    break
    return time.monotonic() - started_at_s


def test_a_caller_that_writes_a_call_without_end_is_ended_when_its_patience_is_over() -> None:
    async def scenario() -> float:
        server = HttpServer(ADDRESS, _answer, Counters(), call_timeout_s=CALL_TIMEOUT_S)
        task = asyncio.get_running_loop().create_task(server.run())
        await asyncio.sleep(0)
        with socket.create_connection(ADDRESS) as sock:
            duration_s = await _seconds_until_ended(sock, b"GET /ready HTTP/1.1\r\nX-More: " + b"x" * 60)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return duration_s

    assert asyncio.run(scenario()) < 3 * CALL_TIMEOUT_S


def test_a_call_that_comes_in_pieces_is_answered() -> None:
    async def scenario() -> bytes:
        server = HttpServer(
            ADDRESS, _answer, Counters(), call_timeout_s=10 * CALL_TIMEOUT_S, one_call_per_connection=True
        )
        loop = asyncio.get_running_loop()
        task = loop.create_task(server.run())
        await asyncio.sleep(0)
        response = b""
        with socket.create_connection(ADDRESS) as sock, contextlib.suppress(OSError):
            sock.setblocking(False)
            text = b"GET /ready HTTP/1.1\r\nHost: d\r\n\r\n"
            for index in range(len(text)):
                await loop.sock_sendall(sock, text[index : index + 1])
                await asyncio.sleep(0.005)
            response = await loop.sock_recv(sock, 1000)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return response

    assert asyncio.run(scenario()).startswith(b"HTTP/1.1 200 OK")


def test_an_incomplete_message_over_tcp_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(dns_server, "TCP_TIMEOUT_S", CALL_TIMEOUT_S)

    async def scenario() -> float:
        server_sock, client_sock = socket.socketpair()
        server_sock.setblocking(False)
        serve: Callable[[Any, socket.socket], Awaitable[None]] = dns_server.DnsFront._serve_tcp
        task = asyncio.ensure_future(serve(None, server_sock))
        with client_sock:
            duration_s = await _seconds_until_ended(client_sock, b"\xff\xff" + b"x" * 60)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return duration_s

    assert asyncio.run(scenario()) < 3 * CALL_TIMEOUT_S


def test_a_drain_called_for_before_the_first_state_is_entered_is_no_error() -> None:
    """The event loop may reach the drain command only after the director has started in the drained phase."""

    async def scenario() -> None:
        director = Director(director_config.read(json.loads((FOLDER / "config.json").read_text())))
        director.phase = DirectorPhase.DRAINED
        director._on_drain_changed(OperatorCommands(1, True, drain_requested_at_s=time.monotonic()))
        assert director.phase is DirectorPhase.DRAINED and director.front.shutdown is not None

    asyncio.run(scenario())
