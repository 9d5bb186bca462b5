"""The time for which a call waits before it is read counts against its time limit."""

from __future__ import annotations

import asyncio
import errno
import socket
import time
from functools import partialmethod

import pytest

from onyxwick.core.clock import steady_us
from onyxwick.core.stall_detector import StallDetector
from onyxwick.interface import RejectRequest
from onyxwick.net.buffer import ReceiveBuffer
from onyxwick.net.listening import listen
from tests.director_harness import DirectorHarness, encode_call, forward_to, run_scenario
from tests.failing_sockets import FailingListener, receive_piece, sent_timeout_ms


def test_time_in_an_unread_socket_counts() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        cache, loop = harness.add_cache("c0"), asyncio.get_running_loop()
        harness.router.on_arrival = lambda request: forward_to(request, "c0")
        client = await harness.connect_client()
        await loop.sock_sendall(client, b"".join(encode_call(n, path="/nowhere") for n in range(1, 16)))
        await harness.wait_until(lambda: harness.counters.counts["bad.client"] == 15)
        sent_at_s = time.monotonic()  # after 15 protocol errors reading pauses for 0.3 s
        await loop.sock_sendall(client, encode_call(20, extra_params={"HTTP_X_TIMEOUT_MS": "1000"}))
        conn = await harness.accept(cache)
        timeout_ms = sent_timeout_ms(await harness.read_until(conn, f"{20:016x}".encode()))
        assert timeout_ms <= 1000 - 1000 * (time.monotonic() - sent_at_s) + 150

    run_scenario(scenario)


def test_idle_time_after_a_read_pause_does_not_count() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        cache, loop = harness.add_cache("c0"), asyncio.get_running_loop()
        harness.router.on_arrival = lambda request: forward_to(request, "c0")
        client = await harness.connect_client()
        await loop.sock_sendall(client, encode_call(1, path="/nowhere"))
        await harness.read_until(client, b"404")
        await asyncio.sleep(0.4)  # the read pause has ended, and nothing was received since
        short_limit = {"HTTP_X_TIMEOUT_MS": "300"}
        await loop.sock_sendall(
            client, encode_call(2, extra_params=short_limit) + encode_call(3, path="/ping")
        )
        conn = await harness.accept(cache)
        assert sent_timeout_ms(await harness.read_until(conn, f"{2:016x}".encode())) > 200

    run_scenario(scenario)


@pytest.mark.parametrize("piece_bytes", [2048, 7])
def test_time_before_the_accept_counts(piece_bytes: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """This also holds if the call is read in pieces of a few bytes."""

    monkeypatch.setattr(
        ReceiveBuffer, "receive_available", partialmethod(receive_piece, piece_bytes=piece_bytes)
    )

    async def scenario(harness: DirectorHarness) -> None:
        cache, loop = harness.add_cache("c0"), asyncio.get_running_loop()
        harness.router.on_arrival = lambda request: forward_to(request, "c0")
        listener = listen(("127.0.0.1", 0))
        client = socket.create_connection(listener.getsockname())
        harness.open_sockets += [listener, client]
        client.sendall(encode_call(1, extra_params={"HTTP_X_TIMEOUT_MS": "1000"}))
        sent_at_s = time.monotonic()
        failing = FailingListener(listener, *[errno.ENOMEM] * 8)
        harness.tasks.append(loop.create_task(harness.front.accept(failing)))  # type: ignore[arg-type]
        harness.tasks.append(loop.create_task(harness.front.record_loop_ticks()))
        conn = await harness.accept(cache)
        timeout_ms = sent_timeout_ms(await harness.read_until(conn, f"{1:016x}".encode()))
        assert timeout_ms <= 1000 - 1000 * (time.monotonic() - sent_at_s) + 150

    run_scenario(scenario)


@pytest.mark.parametrize("followed", [False, True])
@pytest.mark.parametrize("piece_bytes", [2048, 64])
def test_time_before_any_process_accepts_counts(
    piece_bytes: int, followed: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The platform owns the listening socket, on which a call may wait while a killed process is replaced.

    With `followed`, another call is sent on the same connection right before it is accepted. Each read takes
    at most `piece_bytes`.
    """
    monkeypatch.setattr(
        ReceiveBuffer, "receive_available", partialmethod(receive_piece, piece_bytes=piece_bytes)
    )

    async def scenario(harness: DirectorHarness) -> None:
        cache, loop = harness.add_cache("c0"), asyncio.get_running_loop()
        harness.router.on_arrival = lambda request: forward_to(request, "c0")
        listener = listen(("127.0.0.1", 0))
        client = socket.create_connection(listener.getsockname())
        harness.open_sockets += [listener, client]
        client.sendall(encode_call(1, extra_params={"HTTP_X_TIMEOUT_MS": "1000"}))
        sent_at_s = time.monotonic()
        await asyncio.sleep(0.4)
        harness.core.stalls.observe(time.monotonic())  # as in a front that has just started
        harness.tasks.append(loop.create_task(harness.front.record_loop_ticks()))
        await asyncio.sleep(0.1)
        client.sendall(encode_call(2, path="/ping") if followed else b"")
        harness.tasks.append(loop.create_task(harness.front.accept(listener)))
        conn = await harness.accept(cache)
        timeout_ms = sent_timeout_ms(await harness.read_until(conn, f"{1:016x}".encode()))
        assert timeout_ms <= 1000 - 1000 * (time.monotonic() - sent_at_s) + 150

    run_scenario(scenario)


def test_time_during_a_long_event_loop_turn_counts() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        cache, loop = harness.add_cache("c0"), asyncio.get_running_loop()
        harness.router.on_arrival = lambda request: forward_to(request, "c0")
        client = await harness.connect_client()
        await loop.sock_sendall(client, encode_call(1, path="/ping"))
        await harness.read_until(client, b"200 OK")
        client.send(encode_call(2, extra_params={"HTTP_X_TIMEOUT_MS": "1000"}))
        # With a second call, the arrival of the last bytes does not give that of the first call.
        client.send(encode_call(3, path="/ping"))
        sent_at_s = time.monotonic()
        time.sleep(0.4)  # an iteration with a long list, or a paused process
        conn = await harness.accept(cache)
        timeout_ms = sent_timeout_ms(await harness.read_until(conn, f"{2:016x}".encode()))
        assert timeout_ms <= 1000 - 1000 * (time.monotonic() - sent_at_s) + 150

    run_scenario(scenario)


def test_time_in_sockets_during_a_stall_counts_although_the_read_is_late() -> None:
    detector, resumed_at_s = StallDetector(100.0), 102.0
    detector.tick(resumed_at_s)
    # An iteration of 90 ms is long, but not a stall by itself.
    assert detector.observe(resumed_at_s + 0.09) == 100.0
    for turn in range(1, 4):
        detector.tick(resumed_at_s + 0.09 * turn)
    assert detector.observe(resumed_at_s + 0.35) == 100.0
    later_s = resumed_at_s + 0.35
    for _ in range(20):
        later_s += 0.06
        detector.tick(later_s)
    assert detector.observe(later_s) == later_s


def test_successive_stalls_count_no_further_back_than_the_aftermath() -> None:
    detector, now = StallDetector(100.0), 100.0
    for _ in range(100):  # a process that lacks processor time for a long time
        now += 0.15
        detector.tick(now)
        assert now - detector.observe(now) < 1.0


def test_the_end_of_a_slow_call_received_in_a_stall_counts_although_another_call_follows() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        cache = harness.add_cache("c0")
        harness.router.on_arrival = lambda request: forward_to(request, "c0")
        client, text = (
            await harness.connect_client(),
            encode_call(1, extra_params={"HTTP_X_TIMEOUT_MS": "1000"}),
        )
        client.send(text[:100])
        await harness.wait_until(
            lambda: any(each.parser.has_partial_call for each in harness.front.connections)
        )
        client.send(text[100:])
        sent_at_s = time.monotonic()
        time.sleep(0.4)
        # With a second call, the arrival of the last bytes does not give that of the first call.
        client.send(encode_call(2, path="/ping"))
        time.sleep(0.02)
        conn = await harness.accept(cache)
        timeout_ms = sent_timeout_ms(await harness.read_until(conn, b"w="))
        assert timeout_ms <= 1000 - 1000 * (time.monotonic() - sent_at_s) + 150

    run_scenario(scenario)


def test_time_counts_for_a_call_read_in_pieces_over_many_turns() -> None:
    """No event loop iteration is long, and each read takes only a few bytes, as a read may."""

    async def scenario(harness: DirectorHarness) -> None:
        cache, loop = harness.add_cache("c0"), asyncio.get_running_loop()
        harness.router.on_arrival = lambda request: forward_to(request, "c0")
        client = await harness.connect_client()
        await harness.wait_until(lambda: harness.front.connections)
        ((served, _),) = harness.front.connections.items()
        buffer = served.parser.buffer

        def receive_few_bytes(sock: socket.socket) -> bool:
            more = sock.recv(16)
            buffer.append(more)
            return bool(more)

        async def keep_loop_busy() -> None:
            while True:
                time.sleep(0.02)
                await asyncio.sleep(0)

        buffer.receive_available = receive_few_bytes  # type: ignore[method-assign]
        harness.tasks.append(loop.create_task(keep_loop_busy()))
        sent_at_s = time.monotonic()
        text = encode_call(1, extra_params={"HTTP_X_TIMEOUT_MS": "3000"})
        client.send(text + encode_call(2, path="/ping")[:40])  # a part of another call follows
        conn = await harness.accept(cache)
        timeout_ms = sent_timeout_ms(await harness.read_until(conn, b"w="))
        assert timeout_ms <= 3000 - 1000 * (time.monotonic() - sent_at_s) + 150

    run_scenario(scenario)


def test_a_stall_between_read_and_estimate_makes_a_call_no_younger() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        arrivals = list[int]()
        harness.router.on_arrival = lambda request: (
            arrivals.append(harness.core.lifecycles[request].request.arrived_us) or [RejectRequest(request)]  # type: ignore[func-returns-value]
        )
        client = await harness.connect_client()
        await harness.wait_until(lambda: harness.front.connections)
        ((served, _),) = harness.front.connections.items()
        estimate = served.arrivals.waited_s

        def stall_after_estimate(now_s: float, stalled_since_s: float) -> float:
            waited_s = estimate(now_s, stalled_since_s)
            time.sleep(0.4)
            return waited_s

        served.arrivals.waited_s = stall_after_estimate  # type: ignore[method-assign]
        client.send(encode_call(1))
        sent_us = steady_us()
        await harness.read_until(client, b"503")
        assert arrivals[0] < sent_us + 150_000

    run_scenario(scenario)


# Guards against: a call that came during a stop, is read in pieces, and is told to a cache as just come.
def test_time_in_a_stall_counts_for_a_call_that_is_read_in_pieces_long_after_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def receive_slowly(buffer: ReceiveBuffer, sock: socket.socket) -> bool:
        time.sleep(0.004)  # a busy turn of the loop, far shorter than a stall
        return receive_piece(buffer, sock, 2)

    async def scenario(harness: DirectorHarness) -> None:
        cache = harness.add_cache("c0")
        harness.router.on_arrival = lambda request: forward_to(request, "c0")
        client = await harness.connect_client()
        client.send(encode_call(1, path="/ping"))
        await harness.read_until(client, b"200 OK")
        monkeypatch.setattr(ReceiveBuffer, "receive_available", receive_slowly)
        limit = {"HTTP_X_TIMEOUT_MS": "3000"}
        client.send(encode_call(2, path="/ping") * 2 + encode_call(3, extra_params=limit))
        sent_at_s = time.monotonic()
        time.sleep(0.6)  # the stall
        conn = await harness.accept(cache)
        timeout_ms = sent_timeout_ms(await harness.read_until(conn, f"{3:016x}".encode()))
        assert time.monotonic() - sent_at_s > 1.2, "the call was read too soon to show the fault"
        assert timeout_ms <= 3000 - 1000 * (time.monotonic() - sent_at_s) + 150

    run_scenario(scenario)
