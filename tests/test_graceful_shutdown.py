"""Tests that a shutdown of the front answers the calls that have arrived and resets no client.

See docs/design/endings.md.
"""

from __future__ import annotations

import asyncio
import socket
import time

from onyxwick.core.shutdown import drain_schedule, termination_schedule
from tests.director_harness import DirectorHarness, encode_call, run_scenario


def test_a_client_connected_as_the_listening_socket_closes_is_accepted() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        await harness.connect_client()
        await harness.wait_until(lambda: harness.front.connections)
        late = socket.create_connection(harness.listener.getsockname())
        late.setblocking(False)
        harness.open_sockets.append(late)
        late.send(encode_call(1, path="/ping"))
        harness.tasks[0].cancel()  # before the loop has polled the new connection
        await asyncio.gather(harness.tasks[0], return_exceptions=True)
        await harness.front.accept_remaining(harness.listener)
        harness.listener.close()
        await harness.read_until(late, b"200 OK")

    run_scenario(scenario)


def test_a_partial_call_at_the_half_close_keeps_its_connection_until_it_is_complete() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        sock, text = await harness.connect_client(), encode_call(1, path="/ping")
        sock.send(text[:30])
        await harness.wait_until(lambda: any(c.parser.has_partial_call for c in harness.front.connections))
        harness.front.begin_shutdown(drain_schedule(time.monotonic()))
        sock.send(text[30:])
        await harness.read_until(sock, b"200 OK")

    run_scenario(scenario)


def test_a_call_received_as_the_shutdown_begins_is_answered() -> None:
    """The call has been received but its reader has not run when the shutdown closes the idle connections."""

    async def scenario(harness: DirectorHarness) -> None:
        loop = asyncio.get_running_loop()
        sock, (near, far) = await harness.connect_client(), socket.socketpair()
        harness.open_sockets += [near, far]
        sock.send(encode_call(1, path="/ping"))
        await harness.read_until(sock, b"200 OK")
        await asyncio.sleep(0.02)
        loop.add_reader(far.fileno(), lambda: harness.front.begin_shutdown(drain_schedule(time.monotonic())))
        sock.send(encode_call(2, path="/ping"))
        near.send(b"x")  # one poll returns both events, the call first
        await harness.read_until(sock, b"200 OK")
        loop.remove_reader(far.fileno())
        assert not harness.counters.counts["client.crossed"]

    run_scenario(scenario)


def test_a_shutdown_resets_no_client_that_still_writes() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        sock = await harness.connect_client()
        # The second call stays incomplete.
        sock.send(encode_call(1, path="/ping") + encode_call(2, path="/ping")[:20])
        await harness.read_until(sock, b"200 OK")
        harness.tasks.append(asyncio.get_running_loop().create_task(harness.front.sweep()))
        now = time.monotonic()
        schedule = termination_schedule(now, now, 0.8, False)
        finishing = asyncio.get_running_loop().create_task(harness.front.finish_shutdown(schedule))
        ((client, _),) = harness.front.connections.items()
        await harness.wait_until(lambda: client.half_closed_at_s)
        for _ in range(3):
            sock.send(b"x")
            await asyncio.sleep(0.02)
        assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
        await finishing
        assert not harness.front.connections

    run_scenario(scenario)
