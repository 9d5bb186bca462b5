"""Tests that operator commands are not lost while their file cannot be read or written."""

from __future__ import annotations

import json
import os
import signal
import socket
import time
from functools import partial
from pathlib import Path
from types import SimpleNamespace

import pytest

from onyxwick.core.clock import SteadyClock, steady_us
from onyxwick.operations import operator_commands as o
from onyxwick.operations.persisted_commands import PersistedCommands
from onyxwick.operations.server import OperationsServer
from tests.exchange import OPERATIONS, PATIENCE_S, Exchange


def _post(path: str) -> str:
    with socket.create_connection(OPERATIONS, PATIENCE_S) as connection:
        connection.sendall(f"POST {path} HTTP/1.1\r\nHost: operations\r\n\r\n".encode())
        got = b""
        while more := connection.recv(4096):
            got += more
    return got.decode()


def _disabled(file: Path) -> list[str]:
    try:
        return list(json.loads(file.read_text())["held"])
    except OSError:
        return []


def test_a_disabled_cache_is_written_once_the_folder_accepts_writes(tmp_path: Path) -> None:
    exchange = Exchange(tmp_path, operations=True)
    file = tmp_path / f"onyxwick-orders-{exchange.config['name']}.json"
    try:
        file.mkdir()  # a folder in place of the file makes reads and writes fail
        (file / "x").touch()
        answer = _post("/caches/disable/c0")
        assert " 200 " in answer and '"kept":false' in answer
        time.sleep(0.3)
        (file / "x").unlink()
        file.rmdir()
        end = time.monotonic() + PATIENCE_S / 4
        while _disabled(file) != ["c0"]:
            assert time.monotonic() < end, "never written"
            time.sleep(0.02)
    finally:
        exchange.stop()


def test_a_file_that_could_not_be_read_once_is_read_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    PersistedCommands(tmp_path, "n1").write(o.disable_cache(o.OperatorCommands(), "c0", 1), o.KnownCaches())
    persisted, real = PersistedCommands(tmp_path, "n1"), Path.read_bytes

    def fails(path: Path) -> bytes:
        raise OSError(5, "Input/output error")

    monkeypatch.setattr(Path, "read_bytes", fails)
    with pytest.raises(OSError):
        persisted.read()
    monkeypatch.setattr(Path, "read_bytes", real)
    stored = persisted.read()
    assert stored is not None and stored.commands.disabled_caches == {"c0"}


def test_commands_of_two_processes_at_once_are_both_kept() -> None:
    first = o.disable_cache(o.OperatorCommands(), "c0", 1)
    second = partial(o.disable_cache, cache="c1", now_us=2)
    kept = o.rebase(first, [second])
    assert kept.disabled_caches == {"c0", "c1"} and kept.version > first.version


def test_an_enabled_cache_is_as_cold_for_a_successor_though_the_wall_clock_was_stepped(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    real, hour_ns = time.time_ns, 3_600_000_000_000
    mine = SteadyClock()
    now = mine()
    PersistedCommands(tmp_path, "n1", mine).write(
        o.enable_cache(o.disable_cache(o.OperatorCommands(), "c0", now), "c0", now), o.KnownCaches()
    )
    for step in (hour_ns, -hour_ns):
        monkeypatch.setattr(time, "time_ns", lambda step=step: real() + step)
        successor = SteadyClock()
        stored = PersistedCommands(tmp_path, "n1", successor).read()
        assert stored is not None, step
        assert 0 <= successor() - stored.commands.re_enabled_at_us("c0") < 2_000_000, step


@pytest.mark.parametrize("commanded_while_unreadable", [False, True])
def test_a_predecessor_s_commands_are_taken_over_though_its_file_cannot_be_read_at_the_start(
    commanded_while_unreadable: bool, tmp_path: Path
) -> None:
    exchange = Exchange(tmp_path, operations=True)
    file = tmp_path / f"onyxwick-orders-{exchange.config['name']}.json"
    try:
        assert " 200 " in _post("/caches/disable/c0")
        exchange.program.kill()
        exchange.program.communicate()
        file.rename(tmp_path / "away")
        file.mkdir()  # a folder in place of the file, for longer than a starting process retries
        exchange.program = exchange._start()
        exchange._until("serving")
        if commanded_while_unreadable:
            assert " 200 " in _post("/drain")
        file.rmdir()
        (tmp_path / "away").rename(file)
        exchange._until("disabled caches changed")
        end = time.monotonic() + PATIENCE_S / 4
        while commanded_while_unreadable and not json.loads(file.read_text())["drained"]:
            assert time.monotonic() < end, "never written"
            time.sleep(0.02)
        assert _disabled(file) == ["c0"]
    finally:
        exchange.stop()


def test_a_shutdown_waits_for_the_folder_with_commands_that_are_not_written_yet(tmp_path: Path) -> None:
    exchange = Exchange(tmp_path, operations=True)
    file = tmp_path / f"onyxwick-orders-{exchange.config['name']}.json"
    file.mkdir()  # a folder in place of the file for 1.5 s, longer than a shutdown takes otherwise
    assert " 200 " in _post("/caches/disable/c0")
    exchange.program.send_signal(signal.SIGTERM)
    time.sleep(1.5)
    file.rmdir()
    exchange.stop()
    assert _disabled(file) == ["c0"]


def _server(folder: Path) -> OperationsServer:
    """Return a server that does not listen. It shares its command file with other servers of the folder."""
    known = o.KnownCaches()
    known.add(["c0", "c1"])
    director = SimpleNamespace(
        apply_commands=lambda commands, names: None, commands_written=lambda issued, written: None
    )
    bound, address = socket.socket(), ("127.0.0.1", 0)
    with bound:
        return OperationsServer(
            bound, address, director, o.OperatorCommands(), known, PersistedCommands(folder, "n1"), steady_us
        )


def test_two_processes_that_write_their_file_in_the_same_moment_both_keep_their_commands(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The second process writes after the first has read the file and before the first writes it."""
    first, second, replace = _server(tmp_path), _server(tmp_path), os.replace

    def meanwhile(source: Path, target: Path) -> None:
        monkeypatch.setattr(os, "replace", replace)
        monkeypatch.setattr(os, "getpid", lambda: 1)  # acts as the other process
        second._apply("c1", partial(o.disable_cache, cache="c1", now_us=2))
        replace(source, target)

    monkeypatch.setattr(os, "replace", meanwhile)
    first._apply("c0", partial(o.disable_cache, cache="c0", now_us=1))
    for server in (second, first, second):  # each process checks the file ten times per second
        server._synchronise()
    assert first.commands.disabled_caches == second.commands.disabled_caches == {"c0", "c1"}
    assert sorted(_disabled(tmp_path / "onyxwick-orders-n1.json")) == ["c0", "c1"]
