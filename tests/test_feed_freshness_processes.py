"""Real directors whose coordinator is late, silent, away or back: nothing goes to a server past its drain."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from contextlib import ExitStack
from pathlib import Path
from threading import Thread

from tests.freshness_director import (
    Coordinator,
    FreshnessDirector,
    freshness_director,
    last_index_line,
    read_follow,
)

Script = Callable[[Coordinator, socket.socket, int], None]
DRAINED = ("c0", "c1", "c2", "p0")


def _first_line_late(coordinator: Coordinator, connection: socket.socket, number: int) -> None:
    time.sleep(1.0)


def _start_beside_drains(director: FreshnessDirector, ask_for_ready: bool) -> None:
    """Start a director as servers drain, and send requests once it is ready, or as soon as it listens."""
    director.coordinator.drain(*DRAINED)
    director.start()
    if ask_for_ready:
        director.wait_ready()
    else:
        director.wait_listening()
    director.client.send_for(2.0)


# Guards against: a start serves on its configuration's list while the feed's first line is still to come.
def test_a_start_sends_nothing_to_drained_servers_while_the_first_line_is_late(tmp_path: Path) -> None:
    for ask_for_ready in (True, False):
        coordinator = Coordinator(_first_line_late)
        coordinator.listen()
        folder = tmp_path / str(ask_for_ready)
        folder.mkdir()
        with freshness_director(folder, coordinator) as director:
            _start_beside_drains(director, ask_for_ready)
            assert director.late_sends() == []
            assert director.client.served == director.client.sent


# Guards against: the feed's last index alone is taken for the event of that index, which is never applied.
def test_the_last_index_alone_is_not_taken_for_its_event(tmp_path: Path) -> None:
    def index_before_event(coordinator: Coordinator, connection: socket.socket, number: int) -> None:
        index = read_follow(connection)
        connection.sendall(last_index_line(1 + len(coordinator.events)))
        time.sleep(0.3)
        coordinator.follow(connection, index)

    coordinator = Coordinator(index_before_event)
    coordinator.listen()
    with freshness_director(tmp_path, coordinator) as director:
        _start_beside_drains(director, ask_for_ready=True)
        assert director.late_sends() == []
        assert director.client.served == director.client.sent


def _send_at_once(directors: list[FreshnessDirector], seconds: float) -> None:
    """Send requests to several directors at the same time."""
    threads = [Thread(target=director.client.send_for, args=(seconds,)) for director in directors]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


# Guards against: a director that retries a lost feed for up to 1 s sends on, though the coordinator is back
# and was told of a drain in that instant.
def test_a_coordinator_that_returns_with_a_drain_is_rejoined_within_its_grace(tmp_path: Path) -> None:
    coordinator = Coordinator()
    coordinator.listen()
    with ExitStack() as stack:
        directors = [
            stack.enter_context(freshness_director(tmp_path / str(seed), coordinator, seed))
            for seed in range(5)
        ]
        for director in directors:
            director.start()
        for director in directors:
            director.wait_ready()
        for server in ("c0", "c1", "p0"):
            coordinator.stop_listening()
            _send_at_once(directors, 2.0)  # long enough for the retries to reach their longest wait
            coordinator.drain(server)
            coordinator.listen()
            _send_at_once(directors, 1.2)
        assert [late for director in directors for late in director.late_sends()] == []
        assert all(director.client.served == director.client.sent for director in directors)
