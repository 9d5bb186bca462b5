"""Tests of the closing of client connections: no answer is lost, and other clients are not affected.

See docs/design/endings.md.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time

import pytest

from onyxwick.config import director as director_config
from onyxwick.core.reasons import ConnectionCloseReason
from onyxwick.core.shutdown import drain_schedule
from onyxwick.interface import RejectRequest
from onyxwick.net import connection_slots, fastcgi, front
from onyxwick.net.front_connection import LINGER_S
from tests.director_harness import (
    DirectorHarness,
    LargeAnswerTransport,
    encode_call,
    forward_arrivals_to,
    run_scenario,
)


def test_a_just_closed_client_stops_neither_accepts_nor_the_sweep() -> None:
    """A client with a closed socket stays in the table until its task ends; loops over clients reach it."""

    async def scenario(harness: DirectorHarness) -> None:
        sock = await harness.connect_client()
        await harness.wait_until(lambda: harness.front.connections)
        ((client, _),) = harness.front.connections.items()
        observed, close = list[object](), client.writes.close

        def inspect_then_close() -> None:
            client.opened_at_s = client.last_active_at_s = 0.0
            try:
                client.exceeds_deadline(9.0)
                harness.front._evict_one()
                harness.front.begin_shutdown(drain_schedule(time.monotonic()))
            except ValueError as error:
                observed.append(error)
            observed.append("closed" if client.sock.fileno() < 0 else "open")
            close()

        client.writes.close = inspect_then_close  # type: ignore[method-assign]
        sock.close()
        await harness.wait_until(lambda: not harness.front.connections)
        assert observed == ["closed"]
        other = await harness.connect_client()
        other.send(encode_call(1, path="/ping"))
        await harness.read_until(other, b"200 OK")

    run_scenario(scenario)


def test_a_connection_reset_before_it_is_admitted_does_not_stop_accepts() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        class ClosedSocket(socket.socket):
            def setsockopt(self, *args: object) -> None:
                raise OSError(22, "Invalid argument")

        near, far = socket.socketpair()
        harness.front._admit(ClosedSocket(fileno=near.detach()))
        far.close()
        assert not harness.front.connections
        other = await harness.connect_client()
        other.send(encode_call(1, path="/ping"))
        await harness.read_until(other, b"200 OK")

    run_scenario(scenario)


def test_a_call_that_arrives_while_its_connection_waits_to_close_is_rejected_and_not_lost() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        slow = harness.core.context.transport = LargeAnswerTransport()
        slow.runs = 1
        forward_arrivals_to(harness, "c0")
        sock = await harness.connect_client()
        sock.send(encode_call(1, keep_connection=False) + encode_call(2))  # both arrive in one read
        await harness.read_until(sock, fastcgi.encode_end_request(2, fastcgi.ProtocolStatus.OVERLOADED))
        sock.send(encode_call(3))  # in a separate read, while the first call is unanswered
        await harness.read_until(sock, fastcgi.encode_end_request(3, fastcgi.ProtocolStatus.OVERLOADED))
        assert len(harness.core.lifecycles) == 1

    run_scenario(scenario)


def test_a_client_that_goes_on_calling_does_not_delay_the_close_of_its_connection() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        harness.router.on_arrival = lambda request: [RejectRequest(request)]
        sock, loop = await harness.connect_client(), asyncio.get_running_loop()
        harness.tasks.append(loop.create_task(harness.front.sweep()))
        sock.send(encode_call(1, keep_connection=False))

        async def flood() -> None:
            for n in range(1_000_000):
                with contextlib.suppress(BlockingIOError):
                    sock.send(encode_call(2 + n % 30, f"{n:016x}"))
                await asyncio.sleep(0)

        flooding = loop.create_task(flood())
        harness.tasks.append(flooding)
        with contextlib.suppress(OSError):  # the connection is reset at last, since the client never stops
            async with asyncio.timeout(3.0):
                while await loop.sock_recv(sock, 65_536):
                    pass
        await harness.wait_until(lambda: not harness.front.connections)

    run_scenario(scenario)


def test_input_after_the_last_answer_does_not_reset_the_connection() -> None:
    """Closing a socket that has unread input resets the connection, and the client loses its answer."""

    async def scenario(harness: DirectorHarness) -> None:
        sock = await harness.connect_client()
        sock.send(encode_call(1, path="/ping", keep_connection=False))
        await harness.read_until(sock, b"200 OK")
        await asyncio.sleep(0.05)
        for _ in range(3):
            sock.send(b"what still comes")
            await asyncio.sleep(0.02)
        assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0

    run_scenario(scenario)


def test_a_slow_reader_receives_the_complete_last_answer() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        harness.core.context.transport = LargeAnswerTransport()
        forward_arrivals_to(harness, "c0")
        sock = await harness.connect_client()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        await harness.wait_until(lambda: harness.front.connections)
        ((client, _),) = harness.front.connections.items()
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        sock.send(encode_call(1, keep_connection=False))
        await harness.wait_until(lambda: client.writes.pending_bytes)
        await asyncio.sleep(LINGER_S + 0.2)
        got = await harness.read_until(sock, fastcgi.encode_end_request(1))
        assert got.count(b"x") >= 240_000

    run_scenario(scenario)


def test_a_call_read_after_the_half_close_is_not_forwarded() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        forward_arrivals_to(harness, "c0")
        sock = await harness.connect_client()
        sock.send(encode_call(1, path="/ping"))
        await harness.read_until(sock, b"200 OK")
        ((client, _),) = harness.front.connections.items()
        sock.send(encode_call(2))
        # In the same loop iteration: the call is in the socket buffer and not read.
        client.half_close(1.0, ConnectionCloseReason.IDLE)
        await harness.wait_until(lambda: harness.counters.counts["client.crossed"])
        assert not harness.core.lifecycles and not harness.router.events

    run_scenario(scenario)


def test_all_connections_set_tcp_nodelay() -> None:
    """Without TCP_NODELAY the kernel delays small writes, and a reset discards them."""

    async def scenario(harness: DirectorHarness) -> None:
        sock = harness.add_cache("c0")
        forward_arrivals_to(harness, "c0")
        harness.start()
        await harness.accept(sock)
        (link,) = harness.caches.connections["c0"]
        await harness.connect_client()
        await harness.wait_until(lambda: harness.front.connections)
        ((client, _),) = harness.front.connections.items()
        for each in (link.sock, client.sock):
            assert each is not None and each.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    run_scenario(scenario)


@pytest.mark.parametrize("at_the_end", [False, True])
def test_a_burst_of_connections_opens_no_more_descriptors_than_the_limit(
    at_the_end: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    taken, peak = list[socket.socket](), 0
    admit = front.FastCgiFront._admit

    def counting(self: front.FastCgiFront, conn: socket.socket) -> None:
        nonlocal peak
        taken.append(conn)
        admit(self, conn)
        peak = max(peak, sum(sock.fileno() >= 0 for sock in taken))

    async def scenario(harness: DirectorHarness) -> None:
        nonlocal peak
        max_clients = harness.front.max_clients
        first = [await harness.connect_client() for _ in range(max_clients)]
        await harness.wait_until(lambda: len(harness.front.connections) == max_clients)
        await asyncio.sleep(connection_slots.SILENT_GRACE_S * 1.5)  # each of them may be displaced now
        accepting = harness.tasks[0]
        if at_the_end:
            accepting.cancel()
        for _ in range(3 * max_clients):  # all are in the backlog before the loop polls again
            await harness.connect_client()
        if at_the_end:
            await asyncio.gather(accepting, return_exceptions=True)
            await harness.front.accept_remaining(harness.listener)
        await harness.wait_until(lambda: len(taken) == 4 * max_clients)
        assert harness.front.counters.counts["client.displaced"] >= max_clients
        lingering = max(
            director_config.MIN_HALF_CLOSED, max_clients // director_config.CLIENTS_PER_HALF_CLOSED
        )
        assert peak <= max_clients + lingering + front.MAX_PENDING_CLOSES
        assert first

    monkeypatch.setattr(front.FastCgiFront, "_admit", counting)
    run_scenario(scenario)
