"""Tests that an attempt that waits for its connection is checked again before it is sent.

While it waits, the request may be answered, its retry window may end, and its cache may drain, move or
restart. A cache with a full backlog keeps the attempts waiting for as long as the test requires.
See docs/design/endings.md.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from dataclasses import replace

import pytest

from onyxwick.core import AnswerStatus
from onyxwick.core.memory_account import HeldBytes
from onyxwick.interface import (
    AttemptStatus,
    EndpointListKind,
    EndpointsChanged,
    FillOption,
    ForwardWithFill,
    Member,
    MemberState,
)
from onyxwick.net.write_queue import PendingWrite, WriteQueue
from tests.director_harness import (
    DirectorHarness,
    encode_reply,
    forward_arrivals_to,
    forward_to,
    on_attempt_error,
    run_scenario,
)
from tests.router_harness import SETTINGS


def test_a_hedged_request_that_waits_as_the_first_is_answered_is_not_sent() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        sock, (accept_next,) = harness.add_cache("c0"), harness.cache_with_full_backlog("c1")
        forward_arrivals_to(harness, "c0", "c1")
        lifecycle = harness.start()
        first = await harness.accept(sock)
        await harness.read_until(first, lifecycle.request.request_id.encode())
        first.send(encode_reply(lifecycle.request.request_id))
        await harness.wait_until(lambda: harness.answers)
        await accept_next()
        await harness.wait_until(
            lambda: harness.router.attempt_statuses() == [AttemptStatus.OK, AttemptStatus.NOT_SENT]
        )
        assert harness.answers[0].status is AnswerStatus.SERVED

    run_scenario(scenario)


def test_a_keyed_retry_that_waits_beyond_its_window_is_not_sent() -> None:
    kinds = tuple(replace(c, key_window_us=300_000) if c.name == "hold" else c for c in SETTINGS.classes)

    async def scenario(harness: DirectorHarness) -> None:
        sock, (accept_next,) = harness.add_cache("c0"), harness.cache_with_full_backlog("c1")

        forward_arrivals_to(harness, "c0")
        # The retry is forwarded at once; c1's connection is established too late.
        on_attempt_error(harness, lambda request: forward_to(request, "c1"))
        lifecycle = harness.start("hold")
        first = await harness.accept(sock)
        await harness.read_until(first, lifecycle.request.request_id.encode())
        first.send(encode_reply(lifecycle.request.request_id, b"failed", b"-", b""))
        await harness.wait_until(lambda: harness.caches.connections.get("c1"))
        await asyncio.sleep(0.35)  # longer than the key window
        second = await accept_next()
        await harness.wait_until(
            lambda: harness.router.attempt_statuses() == [AttemptStatus.ERROR, AttemptStatus.NOT_SENT]
        )
        second.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            assert not second.recv(65_536)

    run_scenario(scenario, replace(SETTINGS, classes=kinds))


def test_a_non_idempotent_request_is_not_sent_again_even_if_the_router_forwards_it() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        sock = harness.add_cache("c0")
        forward_arrivals_to(harness, "c0", "c0")
        lifecycle = harness.start("save")
        conn = await harness.accept(sock)
        await harness.read_until(conn, lifecycle.request.request_id.encode())
        await harness.wait_until(lambda: harness.router.attempt_statuses())
        assert harness.router.attempt_statuses() == [AttemptStatus.NOT_SENT]
        conn.send(encode_reply(lifecycle.request.request_id))
        await harness.wait_until(lambda: harness.answers)

    run_scenario(scenario)


def test_a_write_queued_behind_a_blocked_one_is_checked_before_it_is_sent() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        near, far = socket.socketpair(socket.AF_UNIX, socket.SOCK_STREAM)
        harness.open_sockets += [near, far]
        for sock in (near, far):
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        queue, valid, dropped = WriteQueue(near, HeldBytes()), [True], list[str]()
        first = queue.post(PendingWrite(b"a" * 40_000))
        second = queue.post(PendingWrite(b"late", lambda: valid[0], lambda: dropped.append("late")))
        third = queue.post(PendingWrite(b"END"))
        harness.tasks.append(asyncio.get_running_loop().create_task(queue.run()))
        # The peer does not read: the first write is partly sent, and no byte of the second.
        await asyncio.sleep(0.02)
        assert queue.is_stalled(asyncio.get_running_loop().time() + 60, 3.0)
        valid[0] = False
        got = await harness.read_until(far, b"END")
        assert got == b"a" * 40_000 + b"END" and dropped == ["late"]
        assert queue.pending_bytes == 0 and queue.drained.is_set()
        words = [p.progress.value for p in (first, second, third)]
        assert words == ["written", "dropped", "written"]

    run_scenario(scenario)


def test_a_waiting_attempt_is_not_sent_to_the_former_address_of_its_cache() -> None:
    """Another cache may have the former address by then."""

    async def scenario(harness: DirectorHarness) -> None:
        (accept_next,) = harness.cache_with_full_backlog("c0")
        forward_arrivals_to(harness, "c0")
        harness.start()
        await harness.wait_until(lambda: harness.caches.connections.get("c0"))
        harness.list_member(MemberState.READY, "c0", ("127.0.0.1", 1))
        await accept_next()
        await harness.wait_until(lambda: harness.router.attempt_statuses() == [AttemptStatus.NOT_SENT])

    run_scenario(scenario)


@pytest.mark.parametrize("restarted", ["member", "source"])
def test_a_waiting_attempt_is_not_sent_after_its_cache_or_fill_source_restarted(restarted: str) -> None:
    """The attempt is decided again, since a load that a warm cache can serve is too high for a cold one."""

    async def scenario(harness: DirectorHarness) -> None:
        (accept_next,) = harness.cache_with_full_backlog("c0")
        source = harness.add_cache("p0").getsockname()
        address = harness.members.addresses["c0"]
        fetch = ForwardWithFill(f"{1:016x}", "c0", "p0", 0, 0, 0, FillOption.NONE)
        harness.router.on_arrival = lambda request: [fetch]
        harness.start()
        await harness.wait_until(lambda: harness.caches.connections.get("c0"))
        name, at = ("c0", address) if restarted == "member" else ("p0", source)
        row = Member(name, "edge-1", "box", 0, MemberState.READY, 6.0, harness.core.now())
        harness.core.feed.apply_endpoints(EndpointsChanged(EndpointListKind.CHANGE, (row,)), {name: at})
        await accept_next()
        await harness.wait_until(lambda: harness.router.attempt_statuses() == [AttemptStatus.NOT_SENT])

    run_scenario(scenario)
