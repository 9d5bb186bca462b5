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
from tests.director_harness import HIT_REPLY_FIELDS, DirectorHarness, forward_to, run_scenario
from tests.failing_sockets import FailingSocket, sent_timeout_ms


def test_a_cache_gets_no_longer_timeout_than_is_left_once_its_connection_is_up() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        (establish,) = harness.cache_with_full_backlog("c0")
        harness.router.on_arrival = lambda request: forward_to(request, "c0")
        lifecycle = harness.start(timeout_us=1_500_000)
        await harness.wait_until(lambda: harness.caches.connections.get("c0"))
        await asyncio.sleep(0.6)
        conn = await establish()
        timeout_ms = sent_timeout_ms(await harness.read_until(conn, lifecycle.request.request_id.encode()))
        left_ms = (lifecycle.request.arrived_us + 1_500_000 - harness.core.now()) / 1000
        assert timeout_ms <= left_ms + 150

    run_scenario(scenario)


def test_a_local_connect_error_is_retried_and_not_blamed_on_the_cache(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(harness: DirectorHarness, number: int) -> None:
        cache = harness.add_cache("c0")
        monkeypatch.setattr(FailingSocket, "address", cache.getsockname())
        monkeypatch.setattr(FailingSocket, "error_number", number)
        monkeypatch.setattr(FailingSocket, "fail_until_s", time.monotonic() + 0.3)
        monkeypatch.setattr(socket, "socket", FailingSocket)
        harness.router.on_arrival = lambda request: forward_to(request, "c0")
        lifecycle = harness.start()
        conn = await harness.accept(cache)
        await harness.read_until(conn, lifecycle.request.request_id.encode())
        await asyncio.get_running_loop().sock_sendall(
            conn,
            resp.encode_command(lifecycle.request.request_id.encode(), b"data", HIT_REPLY_FIELDS, b"walk"),
        )
        await harness.wait_until(lambda: harness.answers)
        assert harness.router.attempt_statuses() == [AttemptStatus.OK]

    for number in (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS):
        run_scenario(partial(scenario, number=number))


def test_a_second_attempt_gets_the_timeout_that_is_left() -> None:
    """Covers a retry after an error, and a hedged request while the first attempt is in flight."""

    async def scenario(harness: DirectorHarness, hedge: bool) -> None:
        first, second, loop = harness.add_cache("c0"), harness.add_cache("c1"), asyncio.get_running_loop()
        harness.router.on_arrival = lambda request: forward_to(request, "c0")
        lifecycle = harness.start(timeout_us=1_000_000)
        name = lifecycle.request.request_id
        conn = await harness.accept(first)
        await harness.read_until(conn, name.encode())
        await asyncio.sleep(0.4)
        if hedge:
            harness.router.on_timer = lambda: forward_to(name, "c1")
            harness.core.handle(TimerFired("hedge"))
        else:
            harness.router.on_attempt_ended = lambda request, status: (
                forward_to(request, "c1") if status is AttemptStatus.ERROR else []
            )
            await loop.sock_sendall(conn, resp.encode_command(name.encode(), b"failed", b"-", b""))
        timeout_ms = sent_timeout_ms(await harness.read_until(await harness.accept(second), name.encode()))
        assert timeout_ms <= 600 + 150

    for hedge in (False, True):
        run_scenario(partial(scenario, hedge=hedge))


def test_after_a_stall_an_answer_received_in_time_precedes_timers() -> None:
    """If timers ran first, each cache with an attempt in flight would seem unresponsive after a stall."""

    async def scenario(harness: DirectorHarness) -> None:
        cache, loop = harness.add_cache("c0"), asyncio.get_running_loop()
        due = harness.core.now() + 300_000
        harness.router.on_arrival = lambda request: [*forward_to(request, "c0"), SetTimer(due, "hedge")]
        lifecycle = harness.start()
        conn, name = await harness.accept(cache), lifecycle.request.request_id.encode()
        await harness.read_until(conn, name)
        await loop.sock_sendall(conn, resp.encode_command(name, b"data", HIT_REPLY_FIELDS, b"x"))
        time.sleep(0.6)
        await harness.wait_until(lambda: TimerFired("hedge") in harness.router.events)
        fired = harness.router.events.index(TimerFired("hedge"))
        assert any(isinstance(event, AttemptEnded) for event in harness.router.events[:fired])

    run_scenario(scenario)


def test_a_connection_established_during_a_stall_is_used() -> None:
    """The connect limit expires during the stall, which is not a fault of the cache."""

    async def scenario(harness: DirectorHarness) -> None:
        list(harness.cache_with_full_backlog("c0"))
        harness.caches.connect_timeout_s = 0.3
        harness.router.on_arrival = lambda request: forward_to(request, "c0")
        lifecycle = harness.start()
        await harness.wait_until(lambda: harness.caches.connections.get("c0"))
        # Makes room in the backlog: the pending connection is established when its SYN is retransmitted.
        harness.open_sockets[0].accept()[0].close()
        time.sleep(1.3)
        conn = await harness.accept(harness.open_sockets[0])
        await harness.read_until(conn, lifecycle.request.request_id.encode())

    run_scenario(scenario)


def test_connections_per_member_grow_with_the_warm_up_share() -> None:
    members, counters, share = EndpointTable(), Counters(), [0.2]
    caches = CacheConnectionPool(members, counters, 0, max_connections=256, warm_up_share=lambda: share[0])
    assert caches._max_per_member() == MIN_CONNECTIONS_PER_MEMBER
    share[0] = 1.0
    assert (
        caches._max_per_member() == 8
        and CacheConnectionPool(members, counters, 0, max_connections=256)._max_per_member() == 8
    )
