"""Accepting clients while accept(2) fails, when the backlog is full, and when connections are aborted."""

from __future__ import annotations

import asyncio
import errno
import socket
from typing import Any

from onyxwick.net.front import FastCgiFront
from onyxwick.net.listening import listen
from tests.director_harness import DirectorHarness, run_scenario
from tests.failing_sockets import FailingListener


def test_connected_clients_are_accepted_at_the_end_although_accept_fails_briefly() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        listener = listen(("127.0.0.1", 0))
        harness.open_sockets.append(listener)
        clients = [socket.create_connection(listener.getsockname()) for _ in range(3)]
        harness.open_sockets += clients
        errors = (errno.ENFILE, errno.ECONNABORTED, errno.EMFILE, errno.ENOBUFS, errno.EPROTO, errno.ENOMEM)
        await harness.front.accept_remaining(FailingListener(listener, *errors))  # type: ignore[arg-type]
        assert len(harness.front.connections) == 3

    run_scenario(scenario)


def test_the_full_backlog_is_accepted_at_the_end() -> None:
    """Linux lets one more connection wait than the backlog of 1024 says."""

    class FullBacklogListener:
        remaining = 1025

        def accept(self) -> tuple[Any, Any]:
            if not self.remaining:
                raise BlockingIOError
            self.remaining -= 1
            return self, None

        def close(self) -> None:
            pass

    async def scenario(harness: DirectorHarness) -> None:
        front = FastCgiFront(harness.core, harness.counters, lambda: True, 0, 10_000_000)
        await front.accept_remaining(FullBacklogListener())  # type: ignore[arg-type]
        assert harness.counters.counts["client.refused"] == 1025

    run_scenario(scenario)


def test_a_connection_aborted_before_its_accept_delays_no_other() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        listener = listen(("127.0.0.1", 0))
        harness.open_sockets += [listener, socket.create_connection(listener.getsockname())]
        failing = FailingListener(listener, *[errno.ECONNABORTED] * 40)
        harness.tasks.append(asyncio.get_running_loop().create_task(harness.front.accept(failing)))  # type: ignore[arg-type]
        started_at_s = asyncio.get_running_loop().time()
        await harness.wait_until(lambda: harness.front.connections)
        assert asyncio.get_running_loop().time() - started_at_s < 0.5

    run_scenario(scenario)
