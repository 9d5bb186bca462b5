"""Tests that nothing is sent to a cache, and nothing is left behind, for a client that has departed.

Sockets are real. A test forces a race by a cache with a full backlog, which keeps attempts waiting for their
connection, or by a client that is not read from.
See docs/design/endings.md.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest

from onyxwick.interface import AttemptStatus, RejectRequest
from onyxwick.net import fastcgi, front_connection
from tests.director_harness import (
    CLIENT_DEPARTURES,
    TIMEOUT_S,
    DirectorHarness,
    LargeAnswerTransport,
    encode_call,
    encode_reply,
    end_client,
    forward_arrivals_to,
    forward_to,
    on_attempt_error,
    run_scenario,
)


def test_nothing_is_sent_for_a_client_that_left_while_its_attempt_waited_for_a_connection() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        (accept_next,) = harness.cache_with_full_backlog("c0")
        forward_arrivals_to(harness, "c0")
        gone = harness.start()
        await harness.wait_until(lambda: harness.caches.connections.get("c0"))
        harness.core.client_departed(gone)
        await accept_next()
        await harness.wait_until(lambda: not harness.core.lifecycles)
        assert harness.router.attempt_statuses() == [AttemptStatus.NOT_SENT] and not harness.answers

    run_scenario(scenario)


def test_nothing_is_sent_for_a_client_that_leaves_as_its_attempt_starts() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        sock = harness.add_cache("c0")
        forward_arrivals_to(harness, "c0")
        lifecycle = harness.start()
        while not lifecycle.attempts:
            await asyncio.sleep(0)  # the task of the attempt exists and has not run yet
        harness.core.client_departed(lifecycle)
        await harness.wait_until(lambda: harness.router.attempt_statuses())
        assert (
            harness.router.attempt_statuses() == [AttemptStatus.NOT_SENT] and not harness.caches.connections
        )
        sock.close()

    run_scenario(scenario)


@pytest.mark.parametrize("end", CLIENT_DEPARTURES)
def test_nothing_is_sent_for_a_client_that_closes_as_its_call_arrives(end: str) -> None:
    async def scenario(harness: DirectorHarness) -> None:
        (accept_next,) = harness.cache_with_full_backlog("c0")
        forward_arrivals_to(harness, "c0")
        sock = await harness.connect_client()
        await harness.wait_until(lambda: harness.front.connections)
        sock.send(encode_call(1))
        end_client(sock, end)  # both have been received before the director reads
        await asyncio.sleep(0.1)
        assert all(lifecycle.client_departed for lifecycle in harness.core.lifecycles.values())
        if harness.caches.connections:
            await accept_next()
        await harness.wait_until(lambda: not harness.core.lifecycles)
        assert set(harness.router.attempt_statuses()) <= {AttemptStatus.NOT_SENT}

    run_scenario(scenario)


@pytest.mark.parametrize("end", CLIENT_DEPARTURES)
def test_nothing_is_sent_for_a_client_that_closes_while_its_attempt_connects(end: str) -> None:
    async def scenario(harness: DirectorHarness) -> None:
        (accept_next,) = harness.cache_with_full_backlog("c0")
        forward_arrivals_to(harness, "c0")
        sock = await harness.connect_client()
        sock.send(encode_call(1))
        await harness.wait_until(lambda: harness.caches.connections.get("c0"))
        end_client(sock, end)
        await asyncio.sleep(0.1)
        await accept_next()
        await harness.wait_until(lambda: harness.router.attempt_statuses() == [AttemptStatus.NOT_SENT])

    run_scenario(scenario)


@pytest.mark.parametrize("end", CLIENT_DEPARTURES)
def test_no_second_attempt_is_sent_for_a_client_that_closed_after_the_first(end: str) -> None:
    async def scenario(harness: DirectorHarness) -> None:
        cache, (accept_next,) = harness.add_cache("c0"), harness.cache_with_full_backlog("c1")
        forward_arrivals_to(harness, "c0")
        on_attempt_error(harness, lambda request: forward_to(request, "c1"))
        sock = await harness.connect_client()
        sock.send(encode_call(1))
        conn = await harness.accept(cache)
        await harness.read_until(conn, f"{1:016x}".encode())
        conn.send(encode_reply(f"{1:016x}", b"failed", b"-", b""))
        # The second attempt waits for its connection.
        await harness.wait_until(lambda: harness.caches.connections.get("c1"))
        end_client(sock, end)
        await asyncio.sleep(0.1)
        await accept_next()
        await harness.wait_until(
            lambda: harness.router.attempt_statuses() == [AttemptStatus.ERROR, AttemptStatus.NOT_SENT]
        )

    run_scenario(scenario)


def _waiting_attempt_count(harness: DirectorHarness) -> int:
    return sum(len(link.attempts) for links in harness.caches.connections.values() for link in links)


def test_nothing_is_sent_for_a_burst_of_clients_that_leave() -> None:
    call_count = 320

    async def scenario(harness: DirectorHarness) -> None:
        (accept_next,) = harness.cache_with_full_backlog("c0")
        forward_arrivals_to(harness, "c0")
        socks = [await harness.connect_client() for _ in range(call_count // fastcgi.MAX_OPEN_REQUESTS)]
        for number, sock in enumerate(socks):
            first = number * fastcgi.MAX_OPEN_REQUESTS
            sock.send(
                b"".join(encode_call(n + 1, f"{first + n:016x}") for n in range(fastcgi.MAX_OPEN_REQUESTS))
            )
        # All attempts wait for connections that are not established.
        await harness.wait_until(lambda: _waiting_attempt_count(harness) == call_count)
        for number, sock in enumerate(socks):
            end_client(sock, ("half-close", "close", "reset")[number % 3])
        await asyncio.sleep(0.1)
        await accept_next()
        await harness.wait_until(lambda: not harness.core.lifecycles)
        assert set(harness.router.attempt_statuses()) <= {
            AttemptStatus.NOT_SENT,
            AttemptStatus.CONNECT_FAILED,
        }

    run_scenario(scenario)


def test_a_client_that_floods_and_closes_leaves_no_state_behind() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        harness.router.on_arrival = lambda request: [RejectRequest(request)]
        loop = asyncio.get_running_loop()
        sock = await harness.connect_client()
        flood = b"".join(encode_call(1 + n % 30, f"{n:016x}") for n in range(4000))
        with contextlib.suppress(OSError):
            async with asyncio.timeout(TIMEOUT_S):
                await loop.sock_sendall(sock, flood + b"\x01" * 100_000)
        (sizes,) = [len(c.parser.buffer.data) for c in harness.front.connections] or [0]
        assert sizes < 500_000
        sock.close()
        await harness.wait_until(lambda: not harness.front.connections and not harness.core.lifecycles)
        other = await harness.connect_client()
        other.send(encode_call(1, path="/ping"))
        await harness.read_until(other, b"200 OK")

    run_scenario(scenario)


@pytest.mark.parametrize("end", ["half-close", "close", "reset"])
def test_a_client_that_leaves_while_reading_is_paused_is_detected(
    end: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(front_connection, "PAUSE_READING_ABOVE_BYTES", 100_000)

    async def scenario(harness: DirectorHarness) -> None:
        harness.core.context.transport = LargeAnswerTransport()
        forward_arrivals_to(harness, "c0")
        sock = await harness.connect_client()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        await harness.wait_until(lambda: harness.front.connections)
        ((client, _),) = harness.front.connections.items()
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        sock.send(encode_call(1) + encode_call(2))
        await harness.wait_until(lambda: client.writes.pending_bytes > 100_000 and client.open_calls)
        await asyncio.sleep(0.02)  # reading from the client is paused from here on
        (lifecycle,) = client.open_calls.values()
        assert lifecycle is not None and not lifecycle.client_departed
        sock.send(b"\x01")  # unread input before the end: a read would not return the end
        if end == "half-close":
            sock.shutdown(socket.SHUT_WR)
        elif end == "reset":
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            sock.close()
        else:
            sock.close()
        loop = asyncio.get_running_loop()
        began = loop.time()
        await harness.wait_until(lambda: lifecycle.client_departed)
        assert loop.time() - began < 1.0  # 0.1 s is expected; the rest allows for a slow machine

    run_scenario(scenario)


def test_a_call_cancelled_while_its_connection_closes_is_cancelled() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        harness.core.context.transport = LargeAnswerTransport()
        harness.core.context.transport.runs = 1
        forward_arrivals_to(harness, "c0")
        sock = await harness.connect_client()
        sock.send(encode_call(1, keep_connection=False))
        await harness.wait_until(lambda: harness.core.lifecycles)
        (lifecycle,) = harness.core.lifecycles.values()
        sock.send(fastcgi.encode_record(fastcgi.RecordType.ABORT, 1, b""))
        await harness.wait_until(lambda: lifecycle.client_departed)
        await harness.read_until(sock, fastcgi.encode_end_request(1))

    run_scenario(scenario)
