"""No exit of the real program that nobody asked for: addresses in use, signals, numbers that overflow."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest

from onyxwick.config.address import format_address
from tests.limited_director import EXAMPLE, LimitedDirector, free_address, limited_director

HELD_S = 5.0
"""Longer than the program waited before it ended; a restart of 8 s was reported."""


def _start_beside_holder(tmp_path: Path, held: socket.socket, **options: Any) -> LimitedDirector:
    def change(configuration: dict[str, Any]) -> None:
        configuration["listen"] = format_address(held.getsockname())

    director = LimitedDirector(tmp_path, change=change, **options)
    director.address = held.getsockname()
    return director


# Guards against: a director that ends because its address is still held by the process before it.
def test_an_address_that_is_still_held_is_waited_for(tmp_path: Path) -> None:
    held = socket.create_server(("127.0.0.1", 0), backlog=1)
    director = _start_beside_holder(tmp_path, held)
    try:
        time.sleep(HELD_S)
        assert director.is_running(), director.log.read_text()
        held.close()
        director.wait_ready()
        assert '"event":"address in use, waiting"' in director.log.read_text()
    finally:
        held.close()
        assert director.close() == 0


def test_a_stop_while_the_address_is_held_ends_the_start_at_once(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0), backlog=1) as held:
        director = _start_beside_holder(tmp_path, held)
        while "address in use" not in director.log.read_text():
            assert director.is_running(), director.log.read_text()
            time.sleep(0.02)
        stopped_at_s = time.monotonic()
        assert director.close() == 0 and time.monotonic() - stopped_at_s < 1.0


# Guards against: a director that ends, or serves nobody, because the operations endpoint's address is held.
def test_a_held_operations_address_delays_only_the_operations_endpoint(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0), backlog=1) as held:
        address: tuple[str, int] = held.getsockname()
        environment = {"RELAY_ADMIN": f"{address[0]}:{address[1]}"}
        director = LimitedDirector(tmp_path, environment=environment)
        try:
            director.wait_ready()
            held.close()
            _wait_for_answer(address)
        finally:
            assert director.close() == 0


def _wait_for_answer(address: tuple[str, int]) -> None:
    deadline_s = time.monotonic() + 5.0
    while True:
        with contextlib.suppress(OSError), socket.create_connection(address, 1.0) as sock:
            sock.sendall(b"GET /ready HTTP/1.1\r\nHost: operations\r\n\r\n")
            if sock.recv(4096).startswith(b"HTTP/1.1 200"):
                return
        assert time.monotonic() < deadline_s
        time.sleep(0.05)


def _wait_for_first_line(pid: int) -> None:
    """Wait until the program's first lines have run: before, no program in Python can handle a signal."""
    while True:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
        ignored = next(line for line in lines if line.startswith("SigIgn:"))
        if int(ignored.split()[1], 16) & 1 << (signal.SIGUSR2 - 1):
            return
        time.sleep(0.001)


# Guards against: a signal for counters or traces that ends a director which does not handle it.
@pytest.mark.parametrize("number", [signal.SIGUSR1, signal.SIGUSR2, signal.SIGHUP])
def test_no_signal_ends_a_director_from_its_start_to_its_end(number: signal.Signals, tmp_path: Path) -> None:
    director = LimitedDirector(tmp_path)
    try:
        _wait_for_first_line(director.process.pid)
        deadline_s = time.monotonic() + 1.5
        while time.monotonic() < deadline_s:
            director.process.send_signal(number)
            time.sleep(0.01)
        director.wait_ready()
        director.process.send_signal(signal.SIGTERM)
        while director.is_running():
            director.process.send_signal(number)
            time.sleep(0.005)
    finally:
        assert director.close() == 0


# Guards against: numbers of the configuration that end the start in a traceback without the field's name.
@pytest.mark.parametrize(
    ("path", "field"),
    [
        (("limits", "memory_mb"), "memory_mb"),
        (("limits", "sockets"), "sockets"),
        (("settings", "rules", "fall_us"), "settings"),
    ],
)
def test_an_infinite_number_in_the_configuration_is_named(
    path: tuple[str, ...], field: str, tmp_path: Path
) -> None:
    configuration = json.loads(EXAMPLE.read_text())
    document = configuration
    for name in path[:-1]:
        document = document[name]
    document[path[-1]] = "INFINITE"
    file = tmp_path / "config.json"
    file.write_text(json.dumps(configuration).replace('"INFINITE"', "1e999"))
    done = subprocess.run(
        [sys.executable, "-m", "onyxwick"],
        env={**os.environ, "RELAY_CONFIG": str(file), "ONYXWICK_SERVICE": str(tmp_path / "none")},
        capture_output=True,
        text=True,
        timeout=20,
        check=False,
    )
    assert done.returncode == 2 and field in done.stderr and "Traceback" not in done.stderr


def test_a_director_whose_feed_and_caches_are_not_there_yet_serves_pings(tmp_path: Path) -> None:
    def change(configuration: dict[str, Any]) -> None:
        configuration["coordinator"] = format_address(free_address())
        configuration["known"] = {"index": 0, "updates": configuration["known"]["updates"]}

    with limited_director(tmp_path, change=change) as director:
        time.sleep(0.5)
        assert director.is_running()
