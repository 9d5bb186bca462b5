"""Real directors whose coordinator is late, silent, away or back: nothing goes to a server past its drain."""

from __future__ import annotations

import http.client
import signal
import socket
import struct
import time
from collections.abc import Callable
from contextlib import ExitStack
from pathlib import Path
from threading import Thread, Timer

import pytest

from onyxwick.config.address import format_address
from onyxwick.store.encryption import generate_key
from tests.freshness_director import (
    Coordinator,
    FreshnessDirector,
    freshness_director,
    last_index_line,
    read_follow,
)
from tests.limited_director import free_address

Script = Callable[[Coordinator, socket.socket, int], None]
DRAINED = ("c0", "c1", "c2", "p0")
CUT_OFF = "c0"
READY_LIMIT_S = 3.0
SEED_OF_LATE_CONNECTION = 5  # of 200 directors with a store, this one connects among the last
STORE_SERVICE = """
store {{
  folder       = "{folder}"
  key_file     = "store.keys"
  installation = "freshness-test"
}}
"""
RESET = struct.pack("ii", 1, 0)  # value of SO_LINGER with which a close sends a reset


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


def _send_in_pieces(connection: socket.socket, data: bytes, pause_s: float) -> None:
    """Send in ten pieces with a pause after each."""
    size = len(data) // 10
    for at in range(0, len(data), size):
        connection.sendall(data[at : at + size])
        time.sleep(pause_s)


def _reset_first(coordinator: Coordinator, connection: socket.socket, number: int) -> None:
    if number < 3:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        connection.close()


def _silent_first(coordinator: Coordinator, connection: socket.socket, number: int) -> None:
    if number == 0:
        time.sleep(10.0)


def _first_line_in_pieces(coordinator: Coordinator, connection: socket.socket, number: int) -> None:
    index = read_follow(connection)
    _send_in_pieces(connection, coordinator.lines_after(index), 0.1)
    coordinator.follow(connection, 1 + len(coordinator.events))


# Guards against: a first connection to the feed that fails, says nothing or is slow lets a start serve on its
# configuration's list past the grace of a drain, or keeps it from being ready.
@pytest.mark.parametrize("script", [_reset_first, _silent_first, _first_line_in_pieces])
def test_a_start_whose_first_connection_to_the_feed_is_faulty_keeps_the_grace(
    script: Script, tmp_path: Path
) -> None:
    coordinator = Coordinator(script)
    coordinator.listen()
    with freshness_director(tmp_path, coordinator) as director:
        coordinator.drain(*DRAINED)
        director.start()
        assert director.wait_ready() < READY_LIMIT_S
        director.client.send_for(1.5)
        assert director.late_sends() == []
        assert director.client.served == director.client.sent


# Guards against: a start serves on an old list while its connection to the coordinator is not established.
def test_a_start_beside_a_coordinator_with_a_full_queue_keeps_the_grace(tmp_path: Path) -> None:
    coordinator = Coordinator()
    coordinator.listen_with_full_queue()
    with freshness_director(tmp_path, coordinator) as director:
        coordinator.drain(*DRAINED)
        director.start()
        Timer(1.6, coordinator.listen_again).start()
        assert director.wait_ready() < READY_LIMIT_S
        director.client.send_for(1.5)
        assert director.late_sends() == []
        assert director.client.served == director.client.sent


# Guards against: a director without a coordinator is not ready in time, or refuses what it could serve.
@pytest.mark.parametrize("is_refused", [True, False])
def test_a_start_without_a_coordinator_is_ready_in_time_and_serves(is_refused: bool, tmp_path: Path) -> None:
    coordinator = Coordinator()
    if not is_refused:
        coordinator.listen_with_full_queue()
    with freshness_director(tmp_path, coordinator) as director:
        director.start()
        assert director.wait_ready() < READY_LIMIT_S
        director.client.send_for(3.0)
        assert director.client.served == director.client.sent


# Guards against: a director that stood still while its feed was lost sends on its old list as it wakes.
def test_a_director_stopped_while_its_feed_is_lost_keeps_the_grace(tmp_path: Path) -> None:
    coordinator = Coordinator()
    coordinator.listen()
    with freshness_director(tmp_path, coordinator) as director:
        director.start()
        director.wait_ready()
        director.client.send_for(0.3)
        director.signal(signal.SIGSTOP)
        coordinator.stop_listening()
        coordinator.drain(*DRAINED)
        for _ in range(20):  # these stand in the sockets when the director wakes
            director.client.send()
        time.sleep(1.0)
        coordinator.listen()
        director.signal(signal.SIGCONT)
        director.client.send_for(1.0)
        assert director.late_sends() == []
        assert director.client.served == director.client.sent


# Guards against: an event that comes to a running director in pieces counts as nothing new until it is whole.
def test_an_event_in_pieces_on_a_running_feed_keeps_the_grace(tmp_path: Path) -> None:
    def in_pieces(coordinator: Coordinator, connection: socket.socket, number: int) -> None:
        read_follow(connection)
        connection.sendall(last_index_line(1))
        with coordinator.changed:
            coordinator.changed.wait(10.0)
        _send_in_pieces(connection, coordinator.lines_after(1), 0.1)
        coordinator.follow(connection, 1 + len(coordinator.events))

    coordinator = Coordinator(in_pieces)
    coordinator.listen()
    with freshness_director(tmp_path, coordinator) as director:
        director.start()
        director.wait_ready()
        director.client.send_for(0.3)
        coordinator.drain(*DRAINED)
        director.client.send_for(2.0)
        assert director.late_sends() == []
        assert director.client.served == director.client.sent


# Guards against: a reload that moves the feed to another coordinator sends on while that one is late.
def test_a_reload_to_a_late_coordinator_keeps_the_grace(tmp_path: Path) -> None:
    coordinator = Coordinator()
    coordinator.listen()
    late = Coordinator(_first_line_late)
    late.listen()
    with freshness_director(tmp_path, coordinator) as director:
        director.start()
        director.wait_ready()
        director.client.send_for(0.3)
        director.move_to(late)
        late.drain(*DRAINED)
        director.client.send_for(2.0)
        assert director.late_sends() == []
        assert director.client.served == director.client.sent


# Guards against: a director with a store serves on an old list while it delays its connection to the feed.
def test_a_start_from_a_store_keeps_the_grace_and_is_ready_in_time(tmp_path: Path) -> None:
    (tmp_path / "store.keys").write_text(generate_key() + "\n")
    service = tmp_path / "service.hcl"
    service.write_text(STORE_SERVICE.format(folder=tmp_path / "store"))
    coordinator = Coordinator()
    coordinator.listen()
    environment = {"ONYXWICK_SERVICE": str(service)}
    with freshness_director(tmp_path, coordinator, SEED_OF_LATE_CONNECTION, environment) as director:
        director.instances = 200
        _start_beside_drains(director, ask_for_ready=False)
        assert director.late_sends() == []
        assert director.client.served == director.client.sent
        director.restart()
        coordinator.drain("c3")
        assert director.wait_ready() < READY_LIMIT_S
        director.client.send_for(1.0)
        assert director.late_sends() == []
        assert director.client.served == director.client.sent


# Guards against: a successor is called ready, and its predecessor ended, before its list is confirmed.
def test_a_successor_is_not_ready_before_its_feed_has_confirmed_the_list(tmp_path: Path) -> None:
    operations = free_address()
    coordinator = Coordinator(_first_line_late)
    coordinator.listen()
    environment = {"RELAY_ADMIN": format_address(operations)}
    with freshness_director(tmp_path, coordinator, environment=environment) as director:
        director.start()
        director.wait_listening()
        assert _readiness(operations) == 503
        director.wait_ready()
        assert _readiness(operations) == 200
        assert [line["now"] for line in director.events("feed state changed")] == [
            "starting",
            "joined",
            "current",
        ]


def _readiness(operations: tuple[str, int]) -> int:
    """Return the status of the readiness call."""
    deadline_s = time.monotonic() + 5.0
    while True:
        connection = http.client.HTTPConnection(*operations, timeout=5.0)
        try:
            connection.request("GET", "/ready")
            return connection.getresponse().status
        except ConnectionRefusedError:  # it listens a moment after the front
            assert time.monotonic() < deadline_s
            time.sleep(0.005)
        finally:
            connection.close()


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


def _break_off_in_drain(coordinator: Coordinator) -> None:
    """End the coordinator in the middle of an event that drains a server, past the server's name."""
    coordinator.is_silent = True
    coordinator.drain(CUT_OFF)
    line = coordinator.events[-1]
    for connection in coordinator.connections:
        connection.sendall(line[: line.index(b'"state"')])
    time.sleep(0.1)
    coordinator.stop_listening()


# Guards against: a server goes on getting requests for as long as a coordinator is gone that broke off in the
# event of its drain, though the part of the event that arrived names the server.
def test_a_server_whose_drain_was_cut_off_gets_nothing_while_the_coordinator_is_gone(tmp_path: Path) -> None:
    coordinator = Coordinator()
    coordinator.listen()
    with freshness_director(tmp_path, coordinator) as director:
        director.start()
        director.wait_ready()
        director.client.send_for(0.5)
        _break_off_in_drain(coordinator)
        director.client.send_for(4.0)
        assert director.late_sends() == []
        assert director.client.served > director.client.sent * 0.8
        assert len(director.events("suspected members")) == 1
        coordinator.is_silent = False
        coordinator.events.clear()  # it returns without the event: the server serves
        coordinator.told_at_s.clear()
        coordinator.listen()
        time.sleep(0.5)
        returned_s = time.monotonic()
        director.client.send_for(1.0)
        assert any(each.server == CUT_OFF for each in director.received if each.at_s > returned_s)
