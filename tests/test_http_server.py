"""The HTTP server: clients that never complete a request do not occupy a connection for long."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
import time
from pathlib import Path

import pytest

from onyxwick.admin.http_messages import HttpError, HttpRequest, RequestParser
from onyxwick.admin.http_server import HttpServer
from onyxwick.config.address import format_address
from onyxwick.counters import Counters
from tests.limited_director import BYTES_PER_MB, count_served, free_address, limited_director

ADDRESS = ("127.77.9.1", 18090)


def _answer(request: HttpRequest) -> tuple[int, object]:
    return 200, {"path": request.path}


async def _call(text: bytes) -> bytes:
    loop = asyncio.get_running_loop()
    with socket.create_connection(ADDRESS) as sock:
        sock.setblocking(False)
        await loop.sock_sendall(sock, text)
        response = b""
        while data := await loop.sock_recv(sock, 65_536):
            response += data
        return response


def test_a_new_caller_displaces_the_oldest_idle_one_and_one_call_ends_its_connection() -> None:
    async def scenario() -> tuple[bytes, bytes, bytes]:
        counters = Counters()
        server = HttpServer(
            ADDRESS,
            _answer,
            counters,
            max_connections=3,
            call_timeout_s=5.0,
            one_call_per_connection=True,
            name="door",
        )
        task = asyncio.get_running_loop().create_task(server.run())
        await asyncio.sleep(0)
        silent = [socket.create_connection(ADDRESS) for _ in range(3)]
        while len(server.connections) < 3:
            await asyncio.sleep(0.01)
        # Of two calls on one connection the first is answered; the connection is then closed, so that the
        # second is not read.
        answer = await _call(b"GET /ready HTTP/1.1\r\nHost: d\r\n\r\nGET /other HTTP/1.1\r\nHost: d\r\n\r\n")
        silent[0].settimeout(5.0)
        first = silent[0].recv(1)  # end of stream, as the oldest silent client was displaced
        for sock in silent:
            sock.close()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return answer, first, str(counters.counts["admin.displaced"]).encode()

    answer, first, displaced = asyncio.run(scenario())
    assert answer.startswith(b"HTTP/1.1 200 OK\r\n") and b"Connection: close" in answer, answer
    assert b'{"path":"/ready"}' in answer and b"/other" not in answer
    assert first == b"" and displaced == b"1"


class AbortedConnectionsListener(socket.socket):
    """A listening socket whose first accepts report connections that were aborted before the accept."""

    remaining_failures = 40

    def accept(self) -> tuple[socket.socket, object]:
        if AbortedConnectionsListener.remaining_failures:
            AbortedConnectionsListener.remaining_failures -= 1
            raise ConnectionAbortedError(errno.ECONNABORTED, "Software caused connection abort")
        return super().accept()


def test_connections_that_ended_before_they_were_accepted_delay_no_caller() -> None:
    """The clients of this server wait for one second, and 40 pauses of 50 ms would take two."""

    async def scenario() -> float:
        counters, listener = Counters(), AbortedConnectionsListener()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(ADDRESS)
        listener.listen()
        listener.setblocking(False)
        server = HttpServer(
            ADDRESS,
            _answer,
            counters,
            max_connections=3,
            call_timeout_s=5.0,
            one_call_per_connection=True,
            name="door",
        )
        task = asyncio.get_running_loop().create_task(server.run(listener))
        started_at_s = time.monotonic()
        assert b"200 OK" in await _call(b"GET /ready HTTP/1.1\r\nHost: d\r\n\r\n")
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return time.monotonic() - started_at_s

    assert asyncio.run(scenario()) < 0.5


# Guards against: bodies that callers of the operations endpoint send, though no call has one.
def test_a_body_over_the_limit_is_rejected_as_it_grows_and_further_calls_are_not_kept() -> None:
    parser = RequestParser(max_body_bytes=1024, max_requests=1)
    parser.feed(b"POST /drain HTTP/1.1\r\nContent-Length: 500000\r\n\r\n" + bytes(1024))
    with pytest.raises(HttpError) as rejected:
        parser.feed(b"x")
    assert rejected.value.status == 413
    pipelined = RequestParser(max_requests=1)
    pipelined.feed(b"GET /ready HTTP/1.1\r\n\r\n" * 100)
    assert len(pipelined.complete) == 1


# Guards against: operators' callers that fill the memory of a director.
def test_callers_that_send_bodies_and_do_not_end_them_are_bounded(tmp_path: Path) -> None:
    address = free_address()
    environment = {"RELAY_ADMIN": format_address(address)}
    head = b"POST /drain HTTP/1.1\r\nHost: operations\r\nContent-Length: 500000\r\n\r\n"
    with limited_director(tmp_path, environment=environment) as director, contextlib.ExitStack() as stack:
        for _ in range(3):
            for _ in range(32):
                caller = stack.enter_context(socket.create_connection(address, 1.0))
                with contextlib.suppress(OSError):
                    caller.sendall(head + bytes(499_000))
            time.sleep(0.3)
        assert count_served(director, 5) == 5
        assert director.peak_over_idle_bytes() < director.memory_mb * BYTES_PER_MB / 2
