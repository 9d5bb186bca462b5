"""Connections to caches: connect failures, process stalls, attempt timeouts, and connections per member."""

from __future__ import annotations

import asyncio
import errno
import socket
import time
from functools import partial

import pytest

from onyxwick.core.endpoints import EndpointTable
from onyxwick.counters import Counters
from onyxwick.interface import AttemptEnded, AttemptStatus, SetTimer, TimerFired
from onyxwick.net import resp
from onyxwick.net.cache_pool import MIN_CONNECTIONS_PER_MEMBER, CacheConnectionPool
from tests.failing_sockets import FailingSocket, sent_timeout_ms
from tests.ground import FOUND, Ground, ask, played


def test_a_cache_gets_no_longer_timeout_than_is_left_once_its_connection_is_up() -> None:
    async def play(ground: Ground) -> None:
        (establish,) = ground.held("c0")
        ground.script.arrived = lambda request: ask(request, "c0")
        lifecycle = ground.start(timeout_us=1_500_000)
        await ground.until(lambda: ground.caches.connections.get("c0"))
        await asyncio.sleep(0.6)
        conn = await establish()
        timeout_ms = sent_timeout_ms(await ground.read(conn, lifecycle.request.request_id.encode()))
        left_ms = (lifecycle.request.arrived_us + 1_500_000 - ground.core.now()) / 1000
        assert timeout_ms <= left_ms + 150

    played(play)


def test_a_local_connect_error_is_retried_and_not_blamed_on_the_cache(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def play(ground: Ground, number: int) -> None:
        cache = ground.cache("c0")
        monkeypatch.setattr(FailingSocket, "address", cache.getsockname())
        monkeypatch.setattr(FailingSocket, "error_number", number)
        monkeypatch.setattr(FailingSocket, "fail_until_s", time.monotonic() + 0.3)
        monkeypatch.setattr(socket, "socket", FailingSocket)
        ground.script.arrived = lambda request: ask(request, "c0")
        lifecycle = ground.start()
        conn = await ground.accepted(cache)
        await ground.read(conn, lifecycle.request.request_id.encode())
        await asyncio.get_running_loop().sock_sendall(
            conn, resp.encode_command(lifecycle.request.request_id.encode(), b"data", FOUND, b"walk")
        )
        await ground.until(lambda: ground.answers)
        assert ground.script.ends() == [AttemptStatus.OK]

    for number in (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS):
        played(partial(play, number=number))


def test_a_second_attempt_gets_the_timeout_that_is_left() -> None:
    """Covers a retry after an error, and a hedged request while the first attempt is in flight."""

    async def play(ground: Ground, hedge: bool) -> None:
        first, second, loop = ground.cache("c0"), ground.cache("c1"), asyncio.get_running_loop()
        ground.script.arrived = lambda request: ask(request, "c0")
        lifecycle = ground.start(timeout_us=1_000_000)
        name = lifecycle.request.request_id
        conn = await ground.accepted(first)
        await ground.read(conn, name.encode())
        await asyncio.sleep(0.4)
        if hedge:
            ground.script.timer = lambda: ask(name, "c1")
            ground.core.handle(TimerFired("hedge"))
        else:
            ground.script.ended = lambda request, status: (
                ask(request, "c1") if status is AttemptStatus.ERROR else []
            )
            await loop.sock_sendall(conn, resp.encode_command(name.encode(), b"failed", b"-", b""))
        timeout_ms = sent_timeout_ms(await ground.read(await ground.accepted(second), name.encode()))
        assert timeout_ms <= 600 + 150

    for hedge in (False, True):
        played(partial(play, hedge=hedge))


def test_after_a_stall_an_answer_received_in_time_precedes_timers() -> None:
    """If timers ran first, each cache with an attempt in flight would seem unresponsive after a stall."""

    async def play(ground: Ground) -> None:
        cache, loop = ground.cache("c0"), asyncio.get_running_loop()
        due = ground.core.now() + 300_000
        ground.script.arrived = lambda request: [*ask(request, "c0"), SetTimer(due, "hedge")]
        lifecycle = ground.start()
        conn, name = await ground.accepted(cache), lifecycle.request.request_id.encode()
        await ground.read(conn, name)
        await loop.sock_sendall(conn, resp.encode_command(name, b"data", FOUND, b"x"))
        time.sleep(0.6)
        await ground.until(lambda: TimerFired("hedge") in ground.script.events)
        fired = ground.script.events.index(TimerFired("hedge"))
        assert any(isinstance(event, AttemptEnded) for event in ground.script.events[:fired])

    played(play)


def test_a_connection_established_during_a_stall_is_used() -> None:
    """The connect limit expires during the stall, which is not a fault of the cache."""

    async def play(ground: Ground) -> None:
        list(ground.held("c0"))
        ground.caches.connect_timeout_s = 0.3
        ground.script.arrived = lambda request: ask(request, "c0")
        lifecycle = ground.start()
        await ground.until(lambda: ground.caches.connections.get("c0"))
        # Makes room in the backlog: the pending connection is established when its SYN is retransmitted.
        ground.opened[0].accept()[0].close()
        time.sleep(1.3)
        conn = await ground.accepted(ground.opened[0])
        await ground.read(conn, lifecycle.request.request_id.encode())

    played(play)


def test_connections_per_member_grow_with_the_warm_up_share() -> None:
    members, counters, share = EndpointTable(), Counters(), [0.2]
    caches = CacheConnectionPool(members, counters, 0, max_connections=256, warm_up_share=lambda: share[0])
    assert caches._max_per_member() == MIN_CONNECTIONS_PER_MEMBER
    share[0] = 1.0
    assert (
        caches._max_per_member() == 8
        and CacheConnectionPool(members, counters, 0, max_connections=256)._max_per_member() == 8
    )
