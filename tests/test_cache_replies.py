"""Tests of invalid, endless, truncated and late replies of caches: each attempt has exactly one outcome.

See docs/design/endings.md.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from onyxwick.core import AnswerStatus, FinalAnswer
from onyxwick.core.clock import steady_us
from onyxwick.core.request_lifecycle import ClientDeparted
from onyxwick.interface import AttemptStatus, FailRequest
from onyxwick.lab.soak.hoarding import CacheHoard, hoarding_reply
from onyxwick.net import cache_connection
from onyxwick.net.cache_wire import decode_reply
from onyxwick.net.errors import RespProtocolError
from onyxwick.net.resp import CRLF, MAX_ARRAY_BYTES, RespParser
from tests.director_harness import (
    HIT_REPLY_FIELDS,
    DirectorHarness,
    encode_reply,
    forward_arrivals_to,
    on_attempt_error,
    run_scenario,
)


def test_an_unchanged_reply_is_accepted_only_for_the_etag_of_the_client() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        sock = harness.add_cache("c0")

        forward_arrivals_to(harness, "c0")
        on_attempt_error(harness, lambda request: [FailRequest(request)])
        lifecycle = harness.start(client_etag="4be0c1927d55a6f3")
        conn = await harness.accept(sock)
        await harness.read_until(conn, lifecycle.request.request_id.encode())
        conn.send(
            encode_reply(lifecycle.request.request_id, b"unchanged", b"digest=0000000000000000,note=HIT", b"")
        )
        await harness.wait_until(lambda: harness.answers)
        assert harness.answers[0].status is AnswerStatus.FAILED and harness.counters.counts["bad.tag"] == 1
        lifecycle = harness.start(client_etag="4be0c1927d55a6f3")  # the connection is still in use
        await harness.read_until(conn, lifecycle.request.request_id.encode())
        conn.send(encode_reply(lifecycle.request.request_id, b"unchanged", HIT_REPLY_FIELDS, b""))
        await harness.wait_until(lambda: len(harness.answers) == 2)
        assert harness.answers[1].not_modified

    run_scenario(scenario)


def test_an_endless_reply_delays_no_later_attempt() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        sock = harness.add_cache("c0")
        forward_arrivals_to(harness, "c0")
        lifecycle = harness.start(timeout_us=800_000)
        conn = await harness.accept(sock)
        await harness.read_until(conn, lifecycle.request.request_id.encode())
        conn.send(encode_reply(lifecycle.request.request_id, body=b"x" * 9000)[:-9000])

        async def drip() -> None:
            while True:
                await asyncio.sleep(0.02)
                conn.send(b"x")

        harness.tasks.append(asyncio.get_running_loop().create_task(drip()))
        await harness.wait_until(lambda: harness.router.attempt_statuses() == [AttemptStatus.TIMEOUT])
        later = harness.start()
        other = await harness.accept(sock)  # on a connection of its own, not behind the endless reply
        await harness.read_until(other, later.request.request_id.encode())

    run_scenario(scenario)


@pytest.mark.parametrize("first", ["answer", "time-out"])
def test_a_reply_and_the_timeout_in_one_loop_iteration_are_one_outcome(first: str) -> None:
    async def scenario(harness: DirectorHarness) -> None:
        sock = harness.add_cache("c0")
        forward_arrivals_to(harness, "c0")
        lifecycle = harness.start()
        conn = await harness.accept(sock)
        await harness.read_until(conn, lifecycle.request.request_id.encode())
        (link,) = harness.caches.connections["c0"]
        (only,) = link.attempts.values()
        words = [lifecycle.request.request_id.encode(), b"data", HIT_REPLY_FIELDS, b"walk"]
        reply = decode_reply(words, ())
        steps: list[Callable[[], None]] = [lambda: link._on_reply(reply), lambda: link.expire(only)]
        for step in steps if first == "answer" else reversed(steps):
            step()  # both before the lifecycle processes either
        await harness.wait_until(lambda: harness.router.attempt_statuses())
        wanted = AttemptStatus.OK if first == "answer" else AttemptStatus.TIMEOUT
        assert harness.router.attempt_statuses() == [wanted] and len(harness.answers) == (first == "answer")

    run_scenario(scenario)


def test_a_truncated_reply_of_a_closing_cache_is_no_answer() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        sock = harness.add_cache("c0")
        forward_arrivals_to(harness, "c0")
        lifecycle = harness.start()
        conn = await harness.accept(sock)
        await harness.read_until(conn, lifecycle.request.request_id.encode())
        conn.send(encode_reply(lifecycle.request.request_id)[:-3])
        conn.close()
        await harness.wait_until(lambda: harness.router.attempt_statuses() == [AttemptStatus.RESET])
        assert not harness.answers and not harness.caches.connections

    run_scenario(scenario)


def test_the_deadline_and_a_reply_in_one_loop_iteration_give_one_final_answer() -> None:
    """The deadline of the request passes in the loop iteration in which its reply arrives."""

    async def scenario(harness: DirectorHarness) -> None:
        sock = harness.add_cache("c0")
        forward_arrivals_to(harness, "c0")
        lifecycle = harness.start(arrived_us=steady_us())
        conn = await harness.accept(sock)
        await harness.read_until(conn, lifecycle.request.request_id.encode())
        (link,) = harness.caches.connections["c0"]
        lifecycle.mailbox.put(ClientDeparted(deadline_exceeded=True))
        words = [lifecycle.request.request_id.encode(), b"data", HIT_REPLY_FIELDS, b"walk"]
        link._on_reply(decode_reply(words, ()))
        await harness.wait_until(lambda: not harness.core.lifecycles)
        assert [a.status for a in harness.answers] == [AnswerStatus.FAILED]
        assert isinstance(harness.answers[0], FinalAnswer) and cache_connection.PARTIAL_ANSWER_LIMIT_S > 0

    run_scenario(scenario)


# Guards against: one reply that takes 4 MB before it is found invalid.
@pytest.mark.parametrize("kind", [CacheHoard.MANY_STRINGS, CacheHoard.LONG_FIELDS])
def test_a_reply_that_is_too_long_is_rejected_when_its_lengths_show_it(kind: CacheHoard) -> None:
    parser = RespParser()
    reply = hoarding_reply(kind, b"4be0c1927d55a6f3")
    held = 0
    with pytest.raises(RespProtocolError):
        for at in range(0, len(reply), 4096):
            parser.buffer.append(reply[at : at + 4096])
            for words in parser.messages():
                decode_reply(words, ())
            held = max(held, len(parser.buffer))
        missing_bytes = parser.needed_bytes - len(parser.buffer) - len(CRLF)
        parser.buffer.append(bytes(missing_bytes) + b"\r\n$0\r\n\r\n")
        decode_reply(next(parser.messages()), ())
    assert held <= MAX_ARRAY_BYTES
