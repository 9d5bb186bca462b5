"""Each path that ends something, at the instant in which something is unanswered (docs/design/endings.md).

Real sockets; each race is forced: a member that accepts when the test says so, a peer that stops reading, a
hook at the point of the race.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections.abc import Callable
from dataclasses import replace

import pytest

from onyxwick.config import director as director_config
from onyxwick.core import AnswerStatus, FinalAnswer
from onyxwick.core.clock import steady_us
from onyxwick.core.model import AttemptOutcome, AttemptSpec
from onyxwick.core.reasons import ConnectionCloseReason
from onyxwick.core.shutdown import drain_schedule, termination_schedule
from onyxwick.interface import (
    Action,
    AttemptStatus,
    EndpointListKind,
    EndpointsChanged,
    FailRequest,
    FillOption,
    ForwardWithFill,
    Member,
    MemberState,
    RejectRequest,
)
from onyxwick.net import (
    cache_connection,
    connection_slots,
    coordinator_feed,
    fastcgi,
    front,
    front_connection,
    resp,
)
from onyxwick.net.cache_wire import decode_reply
from onyxwick.net.coordinator_feed import CoordinatorFeed
from onyxwick.net.front_connection import LINGER_S
from onyxwick.net.write_queue import ByteBudget, PendingWrite, WriteQueue
from tests.ground import FOUND, PATIENCE_S, Ground, ask, call, played
from tests.router_harness import SETTINGS


def _answer(life_id: str, word: bytes = b"data", fields: bytes = FOUND, body: bytes = b"walk") -> bytes:
    return resp.encode_command(life_id.encode(), word, fields, body)


# ---- nothing is sent for a client that has left ------------------


def _on_arrival(ground: Ground, *members: str) -> None:
    ground.script.arrived = lambda request: ask(request, *members)


def _on_error(ground: Ground, deed: Callable[[str], list[Action]]) -> None:
    ground.script.ended = lambda request, status: deed(request) if status is AttemptStatus.ERROR else []


def test_nothing_is_sent_for_a_client_that_left_while_its_attempt_waited_for_a_connection() -> None:
    async def play(ground: Ground) -> None:
        (accept_next,) = ground.held("c0")
        _on_arrival(ground, "c0")
        gone = ground.start()
        await ground.until(lambda: ground.caches.connections.get("c0"))
        ground.core.client_departed(gone)
        await accept_next()
        await ground.until(lambda: not ground.core.lifecycles)
        assert ground.script.ends() == [AttemptStatus.NOT_SENT] and not ground.answers

    played(play)


def test_nothing_is_sent_for_a_client_that_leaves_as_its_attempt_starts() -> None:
    async def play(ground: Ground) -> None:
        sock = ground.cache("c0")
        _on_arrival(ground, "c0")
        lifecycle = ground.start()
        while not lifecycle.attempts:
            await asyncio.sleep(0)  # the attempt's task is there, and has not taken its first step
        ground.core.client_departed(lifecycle)
        await ground.until(lambda: ground.script.ends())
        assert ground.script.ends() == [AttemptStatus.NOT_SENT] and not ground.caches.connections
        sock.close()

    played(play)


def test_a_hedged_request_that_waits_as_the_first_is_answered_is_not_sent() -> None:
    async def play(ground: Ground) -> None:
        sock, (accept_next,) = ground.cache("c0"), ground.held("c1")
        _on_arrival(ground, "c0", "c1")
        lifecycle = ground.start()
        first = await ground.accepted(sock)
        await ground.read(first, lifecycle.request.request_id.encode())
        first.send(_answer(lifecycle.request.request_id))
        await ground.until(lambda: ground.answers)
        await accept_next()
        await ground.until(lambda: ground.script.ends() == [AttemptStatus.OK, AttemptStatus.NOT_SENT])
        assert ground.answers[0].status is AnswerStatus.SERVED

    played(play)


def test_a_keyed_retry_that_waits_beyond_its_window_is_not_sent() -> None:
    kinds = tuple(replace(c, key_window_us=300_000) if c.name == "hold" else c for c in SETTINGS.classes)

    async def play(ground: Ground) -> None:
        sock, (accept_next,) = ground.cache("c0"), ground.held("c1")

        _on_arrival(ground, "c0")
        _on_error(ground, lambda request: ask(request, "c1"))  # at once, and the way is not up in time
        lifecycle = ground.start("hold")
        first = await ground.accepted(sock)
        await ground.read(first, lifecycle.request.request_id.encode())
        first.send(_answer(lifecycle.request.request_id, b"failed", b"-", b""))
        await ground.until(lambda: ground.caches.connections.get("c1"))
        await asyncio.sleep(0.35)  # the window passes
        second = await accept_next()
        await ground.until(lambda: ground.script.ends() == [AttemptStatus.ERROR, AttemptStatus.NOT_SENT])
        second.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            assert not second.recv(65_536)

    played(play, replace(SETTINGS, classes=kinds))


def test_a_non_idempotent_request_is_not_sent_again_whatever_was_decided() -> None:
    async def play(ground: Ground) -> None:
        sock = ground.cache("c0")
        _on_arrival(ground, "c0", "c0")
        lifecycle = ground.start("save")
        conn = await ground.accepted(sock)
        await ground.read(conn, lifecycle.request.request_id.encode())
        await ground.until(lambda: ground.script.ends())
        assert ground.script.ends() == [AttemptStatus.NOT_SENT]
        conn.send(_answer(lifecycle.request.request_id))
        await ground.until(lambda: ground.answers)

    played(play)


def test_a_drain_from_a_feed_that_had_fallen_silent_applies_to_waiting_attempts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(coordinator_feed, "SILENCE_LIMIT_S", 0.2)

    async def play(ground: Ground) -> None:
        (accept_next,) = ground.held("c0")
        _on_arrival(ground, "c0")
        feed = socket.create_server(("127.0.0.1", 0))
        feed.setblocking(False)
        ground.opened.append(feed)
        follower = CoordinatorFeed(ground.core, ground.counters)
        follower.set_address(feed.getsockname())
        ground.tasks.append(asyncio.get_running_loop().create_task(follower.follow()))
        silent = await ground.accepted(feed)
        await ground.read(silent, b"follow 0\n")
        lifecycle = ground.start()
        await ground.until(lambda: ground.caches.connections.get("c0"))
        again = await ground.accepted(feed)  # after a silence, on a new connection
        await ground.read(again, b"follow 0\n")
        row = (
            '{"id":"c0","addr":"127.0.0.1:1","zone":"edge-1","kind":"box","state":"DRAINING","started_ms":0}'
        )
        told = '{"index":1,"endpoints":{"version":2,"full":false,"servers":[' + row + "]}}\n"
        again.send(told[:40].encode())  # half a line, and the rest
        await asyncio.sleep(0.02)
        again.send(told[40:].encode())
        await ground.until(lambda: not ground.members.is_ready("c0"))
        await accept_next()
        await ground.until(lambda: ground.script.ends() == [AttemptStatus.NOT_SENT])
        assert not lifecycle.client_departed

    played(play)


def test_a_write_queued_behind_a_blocked_one_is_checked_before_it_is_sent() -> None:
    async def play(ground: Ground) -> None:
        near, far = socket.socketpair(socket.AF_UNIX, socket.SOCK_STREAM)
        ground.opened += [near, far]
        for sock in (near, far):
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        box, good, dropped = WriteQueue(near, ByteBudget()), [True], list[str]()
        first = box.post(PendingWrite(b"a" * 40_000))
        second = box.post(PendingWrite(b"late", lambda: good[0], lambda: dropped.append("late")))
        third = box.post(PendingWrite(b"END"))
        ground.tasks.append(asyncio.get_running_loop().create_task(box.run()))
        await asyncio.sleep(
            0.02
        )  # the peer has stopped: the first is under way, of the second no byte is out
        assert box.is_stalled(asyncio.get_running_loop().time() + 60, 3.0)
        good[0] = False
        got = await ground.read(far, b"END")
        assert got == b"a" * 40_000 + b"END" and dropped == ["late"]
        assert box.pending_bytes == 0 and box.drained.is_set()
        words = [p.progress.value for p in (first, second, third)]
        assert words == ["written", "dropped", "written"]

    played(play)


# ---- clients that have gone ------------------------------------------------------------------------------

ENDS = ("abort", "half-close", "close", "reset")


def _leave(sock: socket.socket, end: str, number: int = 1) -> None:
    if end == "abort":
        sock.send(fastcgi.encode_record(fastcgi.RecordType.ABORT, number, b""))
    elif end == "half-close":
        sock.shutdown(socket.SHUT_WR)
    else:
        if end == "reset":
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        sock.close()


@pytest.mark.parametrize("end", ENDS)
def test_nothing_is_sent_for_a_client_that_closes_as_its_call_arrives(end: str) -> None:
    async def play(ground: Ground) -> None:
        (accept_next,) = ground.held("c0")
        _on_arrival(ground, "c0")
        sock = await ground.client()
        await ground.until(lambda: ground.front.connections)
        sock.send(call(1))
        _leave(sock, end)  # both are there before the director looks
        await asyncio.sleep(0.1)
        assert all(lifecycle.client_departed for lifecycle in ground.core.lifecycles.values())
        if ground.caches.connections:
            await accept_next()
        await ground.until(lambda: not ground.core.lifecycles)
        assert set(ground.script.ends()) <= {AttemptStatus.NOT_SENT}

    played(play)


@pytest.mark.parametrize("end", ENDS)
def test_nothing_is_sent_for_a_client_that_closes_while_its_attempt_connects(end: str) -> None:
    async def play(ground: Ground) -> None:
        (accept_next,) = ground.held("c0")
        _on_arrival(ground, "c0")
        sock = await ground.client()
        sock.send(call(1))
        await ground.until(lambda: ground.caches.connections.get("c0"))
        _leave(sock, end)
        await asyncio.sleep(0.1)
        await accept_next()
        await ground.until(lambda: ground.script.ends() == [AttemptStatus.NOT_SENT])

    played(play)


@pytest.mark.parametrize("end", ENDS)
def test_no_second_attempt_is_sent_for_a_client_that_closed_after_the_first(end: str) -> None:
    async def play(ground: Ground) -> None:
        cache, (accept_next,) = ground.cache("c0"), ground.held("c1")
        _on_arrival(ground, "c0")
        _on_error(ground, lambda request: ask(request, "c1"))
        sock = await ground.client()
        sock.send(call(1))
        conn = await ground.accepted(cache)
        await ground.read(conn, f"{1:016x}".encode())
        conn.send(_answer(f"{1:016x}", b"failed", b"-", b""))
        await ground.until(lambda: ground.caches.connections.get("c1"))  # the second waits to be sent
        _leave(sock, end)
        await asyncio.sleep(0.1)
        await accept_next()
        await ground.until(lambda: ground.script.ends() == [AttemptStatus.ERROR, AttemptStatus.NOT_SENT])

    played(play)


def _queued(ground: Ground) -> int:
    return sum(len(link.attempts) for links in ground.caches.connections.values() for link in links)


def test_nothing_is_sent_for_a_burst_of_clients_that_leave() -> None:
    most = 320

    async def play(ground: Ground) -> None:
        (accept_next,) = ground.held("c0")
        _on_arrival(ground, "c0")
        socks = [await ground.client() for _ in range(most // fastcgi.MAX_OPEN_REQUESTS)]
        for number, sock in enumerate(socks):
            first = number * fastcgi.MAX_OPEN_REQUESTS
            sock.send(b"".join(call(n + 1, f"{first + n:016x}") for n in range(fastcgi.MAX_OPEN_REQUESTS)))
        await ground.until(lambda: _queued(ground) == most)  # all wait for connections that do not come up
        for number, sock in enumerate(socks):
            _leave(sock, ("half-close", "close", "reset")[number % 3])
        await asyncio.sleep(0.1)
        await accept_next()
        await ground.until(lambda: not ground.core.lifecycles)
        assert set(ground.script.ends()) <= {AttemptStatus.NOT_SENT, AttemptStatus.CONNECT_FAILED}

    played(play)


def test_a_client_that_sends_much_and_closes_leaves_nothing_behind() -> None:
    async def play(ground: Ground) -> None:
        ground.script.arrived = lambda request: [RejectRequest(request)]
        loop = asyncio.get_running_loop()
        sock = await ground.client()
        flood = b"".join(call(1 + n % 30, f"{n:016x}") for n in range(4000))
        with contextlib.suppress(OSError):
            async with asyncio.timeout(PATIENCE_S):
                await loop.sock_sendall(sock, flood + b"\x01" * 100_000)
        (sizes,) = [len(c.parser.buffer.data) for c in ground.front.connections] or [0]
        assert sizes < 500_000
        sock.close()
        await ground.until(lambda: not ground.front.connections and not ground.core.lifecycles)
        other = await ground.client()
        other.send(call(1, path="/ping"))
        await ground.read(other, b"200 OK")

    played(play)


# ---- answers ----------------------------------------------------------------------------------------------


def test_a_copy_is_not_modified_only_under_the_etag_that_the_client_holds() -> None:
    async def play(ground: Ground) -> None:
        sock = ground.cache("c0")

        _on_arrival(ground, "c0")
        _on_error(ground, lambda request: [FailRequest(request)])
        lifecycle = ground.start(client_etag="4be0c1927d55a6f3")
        conn = await ground.accepted(sock)
        await ground.read(conn, lifecycle.request.request_id.encode())
        conn.send(
            _answer(lifecycle.request.request_id, b"unchanged", b"digest=0000000000000000,note=HIT", b"")
        )
        await ground.until(lambda: ground.answers)
        assert ground.answers[0].status is AnswerStatus.FAILED and ground.counters.counts["bad.tag"] == 1
        lifecycle = ground.start(client_etag="4be0c1927d55a6f3")  # and that connection goes on
        await ground.read(conn, lifecycle.request.request_id.encode())
        conn.send(_answer(lifecycle.request.request_id, b"unchanged", FOUND, b""))
        await ground.until(lambda: len(ground.answers) == 2)
        assert ground.answers[1].not_modified

    played(play)


def test_an_endless_answer_delays_no_later_attempt() -> None:
    async def play(ground: Ground) -> None:
        sock = ground.cache("c0")
        _on_arrival(ground, "c0")
        lifecycle = ground.start(timeout_us=800_000)
        conn = await ground.accepted(sock)
        await ground.read(conn, lifecycle.request.request_id.encode())
        conn.send(_answer(lifecycle.request.request_id, body=b"x" * 9000)[:-9000])

        async def drip() -> None:
            while True:
                await asyncio.sleep(0.02)
                conn.send(b"x")

        ground.tasks.append(asyncio.get_running_loop().create_task(drip()))
        await ground.until(lambda: ground.script.ends() == [AttemptStatus.TIMEOUT])
        later = ground.start()
        other = await ground.accepted(sock)  # not behind the one that never ends
        await ground.read(other, later.request.request_id.encode())

    played(play)


@pytest.mark.parametrize("first", ["answer", "time-out"])
def test_an_answer_and_the_timeout_in_one_turn_are_one_outcome(first: str) -> None:
    async def play(ground: Ground) -> None:
        sock = ground.cache("c0")
        _on_arrival(ground, "c0")
        lifecycle = ground.start()
        conn = await ground.accepted(sock)
        await ground.read(conn, lifecycle.request.request_id.encode())
        (link,) = ground.caches.connections["c0"]
        (only,) = link.attempts.values()
        words = [lifecycle.request.request_id.encode(), b"data", FOUND, b"walk"]
        reply = decode_reply(words, ())
        deeds: list[Callable[[], None]] = [lambda: link._on_reply(reply), lambda: link.expire(only)]
        for deed in deeds if first == "answer" else reversed(deeds):
            deed()  # both before the lifecycle hears of either
        await ground.until(lambda: ground.script.ends())
        wanted = AttemptStatus.OK if first == "answer" else AttemptStatus.TIMEOUT
        assert ground.script.ends() == [wanted] and len(ground.answers) == (first == "answer")

    played(play)


def test_a_partial_answer_of_a_cache_that_closes_is_no_answer() -> None:
    async def play(ground: Ground) -> None:
        sock = ground.cache("c0")
        _on_arrival(ground, "c0")
        lifecycle = ground.start()
        conn = await ground.accepted(sock)
        await ground.read(conn, lifecycle.request.request_id.encode())
        conn.send(_answer(lifecycle.request.request_id)[:-3])
        conn.close()
        await ground.until(lambda: ground.script.ends() == [AttemptStatus.RESET])
        assert not ground.answers and not ground.caches.connections

    played(play)


# ---- the front --------------------------------------------------------------------------------------------


def test_a_client_closed_a_moment_ago_stops_neither_accepts_nor_the_sweep() -> None:
    """Its socket is closed, and its task's end not yet told: whoever looks through all clients meets it."""

    async def play(ground: Ground) -> None:
        sock = await ground.client()
        await ground.until(lambda: ground.front.connections)
        ((client, _),) = ground.front.connections.items()
        met, close = list[object](), client.writes.close

        def crossing() -> None:
            client.opened_at_s = client.last_active_at_s = 0.0
            try:
                client.exceeds_deadline(9.0)
                ground.front._evict_one()
                ground.front.begin_shutdown(drain_schedule(time.monotonic()))
            except ValueError as error:
                met.append(error)
            met.append("closed" if client.sock.fileno() < 0 else "open")
            close()

        client.writes.close = crossing  # type: ignore[method-assign]
        sock.close()
        await ground.until(lambda: not ground.front.connections)
        assert met == ["closed"]
        other = await ground.client()
        other.send(call(1, path="/ping"))
        await ground.read(other, b"200 OK")

    played(play)


def test_a_client_connected_as_the_listening_socket_closes_is_accepted() -> None:
    async def play(ground: Ground) -> None:
        await ground.client()
        await ground.until(lambda: ground.front.connections)
        late = socket.create_connection(ground.listener.getsockname())
        late.setblocking(False)
        ground.opened.append(late)
        late.send(call(1, path="/ping"))
        ground.tasks[0].cancel()  # before the loop has seen that there is somebody
        await asyncio.gather(ground.tasks[0], return_exceptions=True)
        await ground.front.accept_remaining(ground.listener)
        ground.listener.close()
        await ground.read(late, b"200 OK")

    played(play)


def test_a_connection_gone_as_it_is_accepted_does_not_stop_accepts() -> None:
    async def play(ground: Ground) -> None:
        class Gone(socket.socket):
            def setsockopt(self, *told: object) -> None:
                raise OSError(22, "Invalid argument")

        near, far = socket.socketpair()
        ground.front._admit(Gone(fileno=near.detach()))
        far.close()
        assert not ground.front.connections
        other = await ground.client()
        other.send(call(1, path="/ping"))
        await ground.read(other, b"200 OK")

    played(play)


class Slow:
    """A transport whose first answer is far more than a socket takes; the second never comes."""

    def __init__(self) -> None:
        self.runs = 0

    async def run(self, order: AttemptSpec) -> AttemptOutcome:
        self.runs += 1
        if self.runs > 1:
            await asyncio.sleep(PATIENCE_S)
        return AttemptOutcome(AttemptStatus.OK, body=b"x" * 240_000)


@pytest.mark.parametrize("end", ["half-close", "close", "reset"])
def test_a_client_that_leaves_while_it_is_not_read_from_is_noticed(
    end: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(front_connection, "PAUSE_READING_ABOVE_BYTES", 100_000)

    async def play(ground: Ground) -> None:
        ground.core.context.transport = Slow()
        _on_arrival(ground, "c0")
        sock = await ground.client()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        await ground.until(lambda: ground.front.connections)
        ((client, _),) = ground.front.connections.items()
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        sock.send(call(1) + call(2))
        await ground.until(lambda: client.writes.pending_bytes > 100_000 and client.open_calls)
        await asyncio.sleep(0.02)  # from here on it is not read from
        (lifecycle,) = client.open_calls.values()
        assert lifecycle is not None and not lifecycle.client_departed
        sock.send(b"\x01")  # what comes unread before its end hides it from a read
        if end == "half-close":
            sock.shutdown(socket.SHUT_WR)
        elif end == "reset":
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            sock.close()
        else:
            sock.close()
        loop = asyncio.get_running_loop()
        began = loop.time()
        await ground.until(lambda: lifecycle.client_departed)
        assert loop.time() - began < 1.0  # a tenth of a second, with room for a slow machine

    played(play)


def test_a_call_cancelled_while_its_connection_closes_is_cancelled() -> None:
    async def play(ground: Ground) -> None:
        ground.core.context.transport = Slow()
        ground.core.context.transport.runs = 1
        _on_arrival(ground, "c0")
        sock = await ground.client()
        sock.send(call(1, keep=False))
        await ground.until(lambda: ground.core.lifecycles)
        (lifecycle,) = ground.core.lifecycles.values()
        sock.send(fastcgi.encode_record(fastcgi.RecordType.ABORT, 1, b""))
        await ground.until(lambda: lifecycle.client_departed)
        await ground.read(sock, fastcgi.encode_end_request(1))

    played(play)


def test_a_call_that_arrives_while_its_connection_waits_to_close_is_rejected_and_not_lost() -> None:
    async def play(ground: Ground) -> None:
        slow = ground.core.context.transport = Slow()
        slow.runs = 1
        _on_arrival(ground, "c0")
        sock = await ground.client()
        sock.send(call(1, keep=False) + call(2))  # in one read
        await ground.read(sock, fastcgi.encode_end_request(2, fastcgi.ProtocolStatus.OVERLOADED))
        sock.send(call(3))  # and in one of its own, the first still owed
        await ground.read(sock, fastcgi.encode_end_request(3, fastcgi.ProtocolStatus.OVERLOADED))
        assert len(ground.core.lifecycles) == 1

    played(play)


def test_a_client_that_goes_on_calling_does_not_delay_the_close_of_its_connection() -> None:
    async def play(ground: Ground) -> None:
        ground.script.arrived = lambda request: [RejectRequest(request)]
        sock, loop = await ground.client(), asyncio.get_running_loop()
        ground.tasks.append(loop.create_task(ground.front.sweep()))
        sock.send(call(1, keep=False))

        async def flood() -> None:
            for n in range(1_000_000):
                with contextlib.suppress(BlockingIOError):
                    sock.send(call(2 + n % 30, f"{n:016x}"))
                await asyncio.sleep(0)

        flooding = loop.create_task(flood())
        ground.tasks.append(flooding)
        with contextlib.suppress(OSError):  # reset in the end, as it never stops
            async with asyncio.timeout(3.0):
                while await loop.sock_recv(sock, 65_536):
                    pass
        await ground.until(lambda: not ground.front.connections)

    played(play)


def test_the_end_is_written_behind_the_answer_and_later_input_is_read() -> None:
    """A close over unread bytes would reset the connection and take the answer along."""

    async def play(ground: Ground) -> None:
        sock = await ground.client()
        sock.send(call(1, path="/ping", keep=False))
        await ground.read(sock, b"200 OK")
        await asyncio.sleep(0.05)
        for _ in range(3):
            sock.send(b"what still comes")
            await asyncio.sleep(0.02)
        assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0

    played(play)


def test_a_slow_reader_of_a_last_answer_gets_all_of_it() -> None:
    async def play(ground: Ground) -> None:
        ground.core.context.transport = Slow()
        _on_arrival(ground, "c0")
        sock = await ground.client()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        await ground.until(lambda: ground.front.connections)
        ((client, _),) = ground.front.connections.items()
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        sock.send(call(1, keep=False))
        await ground.until(lambda: client.writes.pending_bytes)
        await asyncio.sleep(LINGER_S + 0.2)
        got = await ground.read(sock, fastcgi.encode_end_request(1))
        assert got.count(b"x") >= 240_000

    played(play)


def test_a_partial_call_at_the_half_close_keeps_its_connection_until_it_is_complete() -> None:
    async def play(ground: Ground) -> None:
        sock, whole = await ground.client(), call(1, path="/ping")
        sock.send(whole[:30])
        await ground.until(lambda: any(c.parser.has_partial_call for c in ground.front.connections))
        ground.front.begin_shutdown(drain_schedule(time.monotonic()))
        sock.send(whole[30:])
        await ground.read(sock, b"200 OK")

    played(play)


def test_a_call_read_after_the_end_was_written_is_not_forwarded() -> None:
    async def play(ground: Ground) -> None:
        _on_arrival(ground, "c0")
        sock = await ground.client()
        sock.send(call(1, path="/ping"))
        await ground.read(sock, b"200 OK")
        ((client, _),) = ground.front.connections.items()
        sock.send(call(2))
        client.half_close(
            1.0, ConnectionCloseReason.IDLE
        )  # in the same turn: the call is in the socket and not read
        await ground.until(lambda: ground.counters.counts["client.crossed"])
        assert not ground.core.lifecycles and not ground.script.events

    played(play)


def test_a_call_that_was_just_read_is_answered() -> None:
    """Its bytes have come, its reader has not had its turn, and in that turn the resting ones are ended."""

    async def play(ground: Ground) -> None:
        loop = asyncio.get_running_loop()
        sock, (near, far) = await ground.client(), socket.socketpair()
        ground.opened += [near, far]
        sock.send(call(1, path="/ping"))
        await ground.read(sock, b"200 OK")
        await asyncio.sleep(0.02)
        loop.add_reader(far.fileno(), lambda: ground.front.begin_shutdown(drain_schedule(time.monotonic())))
        sock.send(call(2, path="/ping"))
        near.send(b"x")  # both are seen in the same look, the call first
        await ground.read(sock, b"200 OK")
        loop.remove_reader(far.fileno())
        assert not ground.counters.counts["client.crossed"]

    played(play)


def test_a_shutdown_resets_no_client_that_still_writes() -> None:
    async def play(ground: Ground) -> None:
        sock = await ground.client()
        sock.send(call(1, path="/ping") + call(2, path="/ping")[:20])  # never whole
        await ground.read(sock, b"200 OK")
        ground.tasks.append(asyncio.get_running_loop().create_task(ground.front.sweep()))
        now = time.monotonic()
        schedule = termination_schedule(now, now, 0.8, False)
        finishing = asyncio.get_running_loop().create_task(ground.front.finish_shutdown(schedule))
        ((client, _),) = ground.front.connections.items()
        await ground.until(lambda: client.half_closed_at_s)
        for _ in range(3):
            sock.send(b"x")
            await asyncio.sleep(0.02)
        assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
        await finishing
        assert not ground.front.connections

    played(play)


# ---- the feed ---------------------------------------------------------------------------------------------


def test_a_reload_in_the_turn_in_which_the_feeds_silence_is_over_is_no_error() -> None:
    async def play(ground: Ground) -> None:
        follower = CoordinatorFeed(ground.core, ground.counters)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(10) as follower._silence_limit:
                follower._silence_limit.reschedule(asyncio.get_running_loop().time())
                asyncio.get_running_loop().call_soon(follower.set_address, ("127.0.0.1", 2))
                await asyncio.sleep(1)
        assert follower.address == ("127.0.0.1", 2)

    failed = list[object]()

    async def watched(ground: Ground) -> None:
        asyncio.get_running_loop().set_exception_handler(lambda _, told: failed.append(told))
        await play(ground)

    played(watched)
    assert not failed


def test_all_sockets_write_at_once() -> None:
    """Small writes that the system holds back go with a reset."""

    async def play(ground: Ground) -> None:
        sock = ground.cache("c0")
        _on_arrival(ground, "c0")
        ground.start()
        await ground.accepted(sock)
        (link,) = ground.caches.connections["c0"]
        await ground.client()
        await ground.until(lambda: ground.front.connections)
        ((client, _),) = ground.front.connections.items()
        for each in (link.sock, client.sock):
            assert each is not None and each.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    played(play)


def test_one_final_answer_though_time_and_answer_come_together() -> None:
    """The request's own time is over in the turn in which its answer comes."""

    async def play(ground: Ground) -> None:
        sock = ground.cache("c0")
        _on_arrival(ground, "c0")
        lifecycle = ground.start(arrived_us=steady_us())
        conn = await ground.accepted(sock)
        await ground.read(conn, lifecycle.request.request_id.encode())
        (link,) = ground.caches.connections["c0"]
        from onyxwick.core.request_lifecycle import ClientDeparted

        lifecycle.mailbox.put(ClientDeparted(deadline_exceeded=True))
        words = [lifecycle.request.request_id.encode(), b"data", FOUND, b"walk"]
        link._on_reply(decode_reply(words, ()))
        await ground.until(lambda: not ground.core.lifecycles)
        assert [a.status for a in ground.answers] == [AnswerStatus.FAILED]
        assert isinstance(ground.answers[0], FinalAnswer) and cache_connection.PARTIAL_ANSWER_LIMIT_S > 0

    played(play)


@pytest.mark.parametrize("at_the_end", [False, True])
def test_a_burst_of_connections_holds_no_more_descriptors_than_its_bound(
    at_the_end: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    taken, most = list[socket.socket](), 0
    admit = front.FastCgiFront._admit

    def counting(self: front.FastCgiFront, conn: socket.socket) -> None:
        nonlocal most
        taken.append(conn)
        admit(self, conn)
        most = max(most, sum(sock.fileno() >= 0 for sock in taken))

    async def play(ground: Ground) -> None:
        nonlocal most
        places = ground.front.max_clients
        first = [await ground.client() for _ in range(places)]
        await ground.until(lambda: len(ground.front.connections) == places)
        await asyncio.sleep(connection_slots.SILENT_GRACE_S * 1.5)  # all of them may be displaced now
        accepting = ground.tasks[0]
        if at_the_end:
            accepting.cancel()
        for _ in range(3 * places):  # all are in the backlog before the loop turns again
            await ground.client()
        if at_the_end:
            await asyncio.gather(accepting, return_exceptions=True)
            await ground.front.accept_remaining(ground.listener)
        await ground.until(lambda: len(taken) == 4 * places)
        assert ground.front.counters.counts["client.displaced"] >= places
        lingering = max(director_config.MIN_HALF_CLOSED, places // director_config.CLIENTS_PER_HALF_CLOSED)
        assert most <= places + lingering + front.MAX_PENDING_CLOSES
        assert first

    monkeypatch.setattr(front.FastCgiFront, "_admit", counting)
    played(play)


# ---- caches that move or start anew while an attempt waits ------------------------------------------------


def test_an_attempt_that_waits_for_a_connection_is_not_sent_to_the_address_that_its_cache_had() -> None:
    """The address may be another cache's by now."""

    async def play(ground: Ground) -> None:
        (accept_next,) = ground.held("c0")
        _on_arrival(ground, "c0")
        ground.start()
        await ground.until(lambda: ground.caches.connections.get("c0"))
        ground.list(MemberState.READY, "c0", ("127.0.0.1", 1))
        await accept_next()
        await ground.until(lambda: ground.script.ends() == [AttemptStatus.NOT_SENT])

    played(play)


@pytest.mark.parametrize("restarted", ["member", "source"])
def test_an_attempt_decided_before_a_cache_restarted_is_decided_again(restarted: str) -> None:
    """What a warm cache could take is too much for a cold one."""

    async def play(ground: Ground) -> None:
        (accept_next,) = ground.held("c0")
        source = ground.cache("p0").getsockname()
        address = ground.members.addresses["c0"]
        fetch = ForwardWithFill(f"{1:016x}", "c0", "p0", 0, 0, 0, FillOption.NONE)
        ground.script.arrived = lambda request: [fetch]
        ground.start()
        await ground.until(lambda: ground.caches.connections.get("c0"))
        name, at = ("c0", address) if restarted == "member" else ("p0", source)
        row = Member(name, "edge-1", "box", 0, MemberState.READY, 6.0, ground.core.now())
        ground.core.feed.apply_endpoints(EndpointsChanged(EndpointListKind.CHANGE, (row,)), {name: at})
        await accept_next()
        await ground.until(lambda: ground.script.ends() == [AttemptStatus.NOT_SENT])

    played(play)
