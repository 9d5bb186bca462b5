"""Tests of a silent feed: the connection is replaced, and later events apply to waiting attempts.

See docs/design/endings.md.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest

from onyxwick.interface import AttemptStatus
from onyxwick.net import coordinator_feed
from onyxwick.net.coordinator_feed import CoordinatorFeed
from tests.director_harness import DirectorHarness, forward_arrivals_to, run_scenario


def test_a_drain_received_after_a_feed_reconnect_applies_to_waiting_attempts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(coordinator_feed, "SILENCE_LIMIT_S", 0.2)

    async def scenario(harness: DirectorHarness) -> None:
        (accept_next,) = harness.cache_with_full_backlog("c0")
        forward_arrivals_to(harness, "c0")
        feed = socket.create_server(("127.0.0.1", 0))
        feed.setblocking(False)
        harness.open_sockets.append(feed)
        follower = CoordinatorFeed(harness.core, harness.counters)
        follower.set_address(feed.getsockname())
        harness.tasks.append(asyncio.get_running_loop().create_task(follower.follow()))
        silent = await harness.accept(feed)
        await harness.read_until(silent, b"follow 0\n")
        lifecycle = harness.start()
        await harness.wait_until(lambda: harness.caches.connections.get("c0"))
        again = await harness.accept(feed)  # the director reconnects after the silence limit
        await harness.read_until(again, b"follow 0\n")
        row = (
            '{"id":"c0","addr":"127.0.0.1:1","zone":"edge-1","kind":"box","state":"DRAINING","started_ms":0}'
        )
        event_line = '{"index":1,"endpoints":{"version":2,"full":false,"servers":[' + row + "]}}\n"
        again.send(event_line[:40].encode())  # the line arrives in two reads
        await asyncio.sleep(0.02)
        again.send(event_line[40:].encode())
        await harness.wait_until(lambda: not harness.members.is_ready("c0"))
        await accept_next()
        await harness.wait_until(lambda: harness.router.attempt_statuses() == [AttemptStatus.NOT_SENT])
        assert not lifecycle.client_departed

    run_scenario(scenario)


def test_a_reload_as_the_feed_silence_limit_expires_is_no_error() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        follower = CoordinatorFeed(harness.core, harness.counters)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(10) as follower._silence_limit:
                follower._silence_limit.reschedule(asyncio.get_running_loop().time())
                asyncio.get_running_loop().call_soon(follower.set_address, ("127.0.0.1", 2))
                await asyncio.sleep(1)
        assert follower.address == ("127.0.0.1", 2)

    failed = list[object]()

    async def watched(harness: DirectorHarness) -> None:
        asyncio.get_running_loop().set_exception_handler(lambda _, context: failed.append(context))
        await scenario(harness)

    run_scenario(watched)
    assert not failed
