"""Requests and attempts that wait for the feed: nothing goes out meanwhile, and each keeps its own time."""

from __future__ import annotations

import asyncio

from onyxwick.core import AnswerStatus
from onyxwick.core.clock import steady_us
from onyxwick.interface import AttemptStatus, CancelAttempt, ClientDisconnected, MemberState, RequestArrived
from tests.director_harness import (
    DirectorHarness,
    encode_reply,
    forward_arrivals_to,
    forward_to,
    on_attempt_error,
    run_scenario,
)


def _lose_feed(harness: DirectorHarness) -> None:
    """Let the list be older than its lease."""
    harness.core.freshness.on_started(steady_us())


def _confirm_feed(harness: DirectorHarness) -> None:
    harness.core.freshness.on_joined(steady_us())
    harness.core.freshness.on_announced(1, 1, steady_us())


def _arrivals(harness: DirectorHarness) -> int:
    return sum(isinstance(event, RequestArrived) for event in harness.router.events)


# Guards against: a request is decided on a list of unknown age.
def test_an_arrival_is_decided_once_the_feed_has_confirmed_the_list() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        cache = harness.add_cache("c0")
        forward_arrivals_to(harness, "c0")
        _lose_feed(harness)
        lifecycle = harness.start()
        await asyncio.sleep(0.05)
        assert not _arrivals(harness)
        _confirm_feed(harness)
        conn = await harness.accept(cache)
        await harness.read_until(conn, lifecycle.request.request_id.encode())
        conn.send(encode_reply(lifecycle.request.request_id))
        await harness.wait_until(lambda: harness.answers)
        assert harness.answers[0].status is AnswerStatus.SERVED and _arrivals(harness) == 1

    run_scenario(scenario)


# Guards against: a request that waits for the feed is answered late, or as if it might have been executed.
def test_a_request_that_waits_for_the_feed_is_rejected_in_its_time() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        _lose_feed(harness)
        lifecycle = harness.start(timeout_us=300_000)
        await harness.wait_until(lambda: harness.answers)
        assert steady_us() < lifecycle.request.arrived_us + 300_000
        assert harness.answers[0].status is AnswerStatus.REJECTED
        assert harness.counters.counts["refused.feed"] == 1 and not _arrivals(harness)

    run_scenario(scenario)


# Guards against: a client that leaves while its request waits is served later, or keeps the request open.
def test_a_client_that_leaves_while_its_request_waits_for_the_feed_is_sent_nothing() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        _lose_feed(harness)
        lifecycle = harness.start()
        await asyncio.sleep(0.02)
        harness.core.client_departed(lifecycle)
        await harness.wait_until(lambda: not harness.core.lifecycles)
        _confirm_feed(harness)
        await asyncio.sleep(0.05)
        assert not _arrivals(harness) and not harness.answers
        assert harness.router.events == [ClientDisconnected(lifecycle.request.request_id)]

    run_scenario(scenario)


# Guards against: a retry goes out on an old list, or is sent to a cache that was drained while it waited.
def test_a_retry_waits_for_the_feed_and_is_not_sent_to_a_cache_drained_meanwhile() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        first, second, third = (harness.add_cache(name) for name in ("c0", "c1", "c2"))
        forward_arrivals_to(harness, "c0")
        on_attempt_error(harness, lambda request: forward_to(request, "c1", "c2"))
        lifecycle = harness.start()
        conn = await harness.accept(first)
        await harness.read_until(conn, lifecycle.request.request_id.encode())
        _lose_feed(harness)
        conn.send(encode_reply(lifecycle.request.request_id, b"failed"))
        await harness.wait_until(lambda: lifecycle.held_attempts)
        harness.list_member(MemberState.DRAINING, "c1", second.getsockname())
        _confirm_feed(harness)
        conn = await harness.accept(third)
        await harness.read_until(conn, lifecycle.request.request_id.encode())
        conn.send(encode_reply(lifecycle.request.request_id))
        await harness.wait_until(lambda: harness.answers)
        assert harness.router.attempt_statuses() == [
            AttemptStatus.ERROR,
            AttemptStatus.NOT_SENT,
            AttemptStatus.OK,
        ]

    run_scenario(scenario)


# Guards against: an attempt that is cancelled while it waits is sent, or shifts the indices of the others.
def test_attempts_cancelled_while_they_wait_for_the_feed_are_withdrawn_in_order() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        cache = harness.add_cache("c0")
        forward_arrivals_to(harness, "c0")
        on_attempt_error(
            harness, lambda request: [*forward_to(request, "c0", "c0"), CancelAttempt(request, 1)]
        )
        lifecycle = harness.start()
        conn = await harness.accept(cache)
        await harness.read_until(conn, lifecycle.request.request_id.encode())
        _lose_feed(harness)
        conn.send(encode_reply(lifecycle.request.request_id, b"failed"))
        await harness.wait_until(lambda: len(harness.router.attempt_statuses()) == 2)
        assert harness.router.attempt_statuses()[1] is AttemptStatus.NOT_SENT
        _confirm_feed(harness)
        conn = await harness.accept(cache)  # a connection never carries two attempts of one request
        await harness.read_until(conn, lifecycle.request.request_id.encode())
        conn.send(encode_reply(lifecycle.request.request_id))
        await harness.wait_until(lambda: harness.answers)
        assert harness.answers[0].status is AnswerStatus.SERVED

    run_scenario(scenario)


# Guards against: requests that waited go on all at once and are rejected by the limits of caches.
def test_requests_that_waited_go_on_spread_over_time_in_order() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        _lose_feed(harness)
        loop = asyncio.get_running_loop()
        went_on = list[tuple[int, float]]()
        gate = harness.core.context.feed_gate
        for number in range(10):
            gate.call_when_open(lambda number=number: went_on.append((number, loop.time())))  # type: ignore[misc]
        await asyncio.sleep(0.4)
        _confirm_feed(harness)
        await harness.wait_until(lambda: len(went_on) == 10)
        assert [number for number, _ in went_on] == list(range(10))
        assert 0.1 < went_on[-1][1] - went_on[0][1] < 0.4

    run_scenario(scenario)
