"""The front: clients that leave, write slowly or connect during a shutdown; what it forwards and logs."""

from __future__ import annotations

import asyncio
import socket
import time
from functools import partial

import pytest

from onyxwick.core.context import EngineContext
from onyxwick.core.shutdown import drain_schedule, termination_schedule
from onyxwick.interface import FailRequest, RejectRequest, TimerFired
from onyxwick.net import fastcgi, resp
from tests.director_harness import HIT_REPLY_FIELDS, DirectorHarness, encode_call, forward_to, run_scenario


def test_a_client_that_connects_during_shutdown_is_answered() -> None:
    async def scenario(harness: DirectorHarness, call_after_s: float) -> None:
        harness.router.on_arrival = lambda request: [FailRequest(request)]
        client = await harness.connect_client()
        await harness.wait_until(lambda: harness.front.connections)
        harness.tasks.append(asyncio.get_running_loop().create_task(harness.front.sweep()))
        harness.front.begin_shutdown(drain_schedule(time.monotonic()))
        await asyncio.sleep(call_after_s)
        await asyncio.get_running_loop().sock_sendall(client, encode_call(1))
        assert b"502 Bad Gateway" in await harness.read_until(client, b"Gateway")

    for call_after_s in (0.02, 0.1, 0.6):
        run_scenario(partial(scenario, call_after_s=call_after_s))


async def _start_second_call(
    harness: DirectorHarness, cache: socket.socket
) -> tuple[socket.socket, socket.socket]:
    """Return a client with an open call, and the idle connection to the cache that served its first call."""
    harness.router.on_arrival = lambda request: forward_to(request, "c0")
    client = await harness.connect_client()
    await asyncio.get_running_loop().sock_sendall(client, encode_call(1))
    conn = await harness.accept(cache)
    first = f"{1:016x}".encode()
    await harness.read_until(conn, first)
    await asyncio.get_running_loop().sock_sendall(
        conn, resp.encode_command(first, b"data", HIT_REPLY_FIELDS, b"walk")
    )
    await harness.read_until(client, b"walk")
    harness.router.on_arrival = lambda request: []
    await asyncio.get_running_loop().sock_sendall(client, encode_call(2))
    await harness.wait_until(lambda: len(harness.core.lifecycles) == 1)
    return client, conn


@pytest.mark.parametrize("closing", [False, True])
def test_no_attempt_starts_after_a_stall_for_a_client_that_left_during_it(closing: bool) -> None:
    """This also holds while the front shuts down for a drain or a termination; `closing` tests a drain."""

    async def scenario(harness: DirectorHarness, end: str) -> None:
        cache = harness.add_cache("c0")
        client, conn = await _start_second_call(harness, cache)
        second = f"{2:016x}"
        harness.router.on_timer = lambda: forward_to(second, "c0")
        if closing:
            harness.front.begin_shutdown(drain_schedule(time.monotonic()))
        if end == "close":
            client.close()
        else:
            client.send(fastcgi.encode_record(fastcgi.RecordType.ABORT, 2, b""))
        time.sleep(0.15)  # a long event loop iteration, in which nothing is read
        harness.core.handle(TimerFired("hedge"))
        await harness.wait_until(lambda: not harness.core.lifecycles)
        await asyncio.sleep(0.05)
        with pytest.raises(BlockingIOError):
            conn.recv(65_536)

    for end in ("close", "abort"):
        run_scenario(partial(scenario, end=end))


def test_a_slowly_written_call_is_read_to_its_end() -> None:
    """The call takes 3 s from its first byte to its last, without a long pause between the pieces."""

    async def scenario(harness: DirectorHarness) -> None:
        client, loop = await harness.connect_client(), asyncio.get_running_loop()
        harness.tasks.append(loop.create_task(harness.front.sweep()))
        text, pieces = encode_call(1, path="/ping"), 17
        for index in range(pieces):
            await asyncio.sleep(0.18)  # not aligned with the sweep, which skips connections with unread bytes
            client.send(text[index * len(text) // pieces : (index + 1) * len(text) // pieces])
        await harness.read_until(client, b"200 OK")

    run_scenario(scenario)


def test_a_call_being_written_during_shutdown_is_answered() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        client, loop = await harness.connect_client(), asyncio.get_running_loop()
        await harness.wait_until(lambda: harness.front.connections)
        text, pieces = encode_call(1, path="/ping"), 8
        client.send(text[: len(text) // pieces])
        await asyncio.sleep(0.05)
        now = time.monotonic()
        ending = loop.create_task(harness.front.finish_shutdown(termination_schedule(now, now, 3.0, False)))
        for index in range(1, pieces):
            await asyncio.sleep(0.1)
            client.send(text[index * len(text) // pieces : (index + 1) * len(text) // pieces])
        await harness.read_until(client, b"200 OK")
        await ending

    run_scenario(scenario)


def test_an_idempotency_key_reaches_the_cache_and_an_invalid_one_is_rejected() -> None:
    """A cache recognises a repeated request by this key; without it, it is not the request that was sent."""

    async def scenario(harness: DirectorHarness) -> None:
        cache = harness.add_cache("c0")
        harness.router.on_arrival = lambda request: forward_to(request, "c0")
        sock = await harness.connect_client()
        valid_params = {"HTTP_X_TIMEOUT_MS": "3000", "HTTP_IDEMPOTENCY_KEY": "695b5a21afb805f3"}
        sock.send(encode_call(1, path="/call/hold", extra_params=valid_params))
        command = await harness.read_until(await harness.accept(cache), b"$0\r\n\r\n")
        assert b",i=695b5a21afb805f3" in command
        sock.send(
            encode_call(2, path="/call/hold", extra_params={**valid_params, "HTTP_IDEMPOTENCY_KEY": "a,k=b"})
        )
        await harness.read_until(sock, b"400 Bad Request")
        assert harness.counters.counts["bad.client"] == 1

    run_scenario(scenario)


def test_a_rejection_is_logged_with_its_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    logged_numbers = list[int]()

    async def scenario(harness: DirectorHarness) -> None:
        harness.router.on_arrival = lambda request: [RejectRequest(request)]
        monkeypatch.setattr(EngineContext, "record_unserved", lambda _, *line: logged_numbers.append(line[2]))
        sock = await harness.connect_client()
        sock.send(encode_call(1))
        await harness.read_until(sock, b"503")
        assert logged_numbers == [client.number for client in harness.front.connections] != [-1]

    run_scenario(scenario)
