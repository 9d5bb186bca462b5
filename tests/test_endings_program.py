"""Endings of the whole program: signals that cross its start, its reload, each other and the door's close."""

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

from onyxwick.net import resp
from tests.exchange import COORDINATOR, FOLDER, MOVED, PATIENCE_S, ROOT, Exchange
from tests.ground import FOUND, call

CONFIG = (FOLDER / "config.json").read_text()


def _write(pipe: Path, program: subprocess.Popen[str], text: str, before: int = 0) -> None:
    """Give the configuration to a program that is reading it, once it is: it can go no further meanwhile.
    `before`: a signal that reaches it at that point."""
    end = time.monotonic() + PATIENCE_S
    while True:
        try:
            fd = os.open(pipe, os.O_WRONLY | os.O_NONBLOCK)  # fails while nobody reads
            break
        except OSError:
            assert program.poll() is None and time.monotonic() < end, program.returncode
            time.sleep(0.005)
    if before:
        program.send_signal(before)
        time.sleep(0.1)
    with os.fdopen(fd, "w") as file:
        file.write(text)


def _starting(tmp_path: Path) -> tuple[Path, subprocess.Popen[str]]:
    pipe = tmp_path / "config.json"
    os.mkfifo(pipe)
    environment = {**os.environ, "RELAY_CONFIG": str(pipe), "ONYXWICK_SERVICE": str(tmp_path / "none")}
    program = subprocess.Popen(
        [sys.executable, "-m", "onyxwick"], cwd=ROOT, env=environment, stderr=subprocess.PIPE, text=True
    )
    return pipe, program


def test_a_reload_told_while_the_program_starts_is_done_once_it_has_started(tmp_path: Path) -> None:
    pipe, program = _starting(tmp_path)
    with socket.create_server(COORDINATOR) as old, socket.create_server(MOVED) as new:
        old.settimeout(PATIENCE_S)
        new.settimeout(PATIENCE_S)
        try:
            _write(pipe, program, CONFIG, before=signal.SIGHUP)
            moved = {**json.loads(CONFIG), "coordinator": f"{MOVED[0]}:{MOVED[1]}"}
            _write(pipe, program, json.dumps(moved))
            feed = new.accept()[0]
            feed.settimeout(PATIENCE_S)
            assert feed.recv(100) == b"follow 1\n"
            feed.close()
        finally:
            program.send_signal(signal.SIGTERM)
            _, logged = program.communicate(timeout=PATIENCE_S)
    assert program.returncode == 0 and "Traceback" not in logged, logged


def test_an_end_told_while_the_program_starts_leaves_nothing_behind(tmp_path: Path) -> None:
    pipe, program = _starting(tmp_path)
    with contextlib.suppress(BrokenPipeError):  # it has ended in the middle of reading
        _write(pipe, program, CONFIG, before=signal.SIGTERM)
    _, logged = program.communicate(timeout=PATIENCE_S)
    assert program.returncode in (0, -signal.SIGTERM) and "Traceback" not in logged, logged


def test_an_end_told_twice_and_in_a_reload_answers_what_is_owed(tmp_path: Path) -> None:
    exchange = Exchange(tmp_path)
    try:
        client, request = exchange._peer("client"), f"{7:016x}"
        client.sendall(call(1, request, path="/call/site-video"))
        cache = exchange._peer("c0")
        assert request.encode() in cache.recv(65_536)
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            exchange.program.send_signal(number)
        exchange._until("draining")
        exchange.program.send_signal(signal.SIGTERM)
        cache.sendall(resp.command(request.encode(), b"data", FOUND, b"walk"))
        got = b""
        while b"walk" not in got:
            more = client.recv(65_536)
            assert more, got
            got += more
        assert b"200 OK" in got
    finally:
        exchange.stop()


def test_whoever_connects_in_the_moment_in_which_the_door_closes_is_answered(tmp_path: Path) -> None:
    """The program stands still as its door is due to close; meanwhile a client connects and asks."""
    exchange = Exchange(tmp_path)
    try:
        exchange.program.send_signal(signal.SIGTERM)
        exchange._until("draining")
        time.sleep(0.3)
        exchange.program.send_signal(signal.SIGSTOP)
        client = exchange._peer("client")
        client.sendall(call(1, path="/ping"))
        time.sleep(0.8)
        exchange.program.send_signal(signal.SIGCONT)
        got = client.recv(65_536)
        assert b"Status: " in got, got
    finally:
        exchange.program.send_signal(signal.SIGCONT)
        exchange.stop()


def test_classes_under_any_names_are_served(tmp_path: Path) -> None:
    """Names come from the settings alone: a whole exchange under names that nothing else knows."""
    names = ((b"site-video", b"corto-film"), (b"booking", b"pedidos"))
    text = (FOLDER / "served.txt").read_bytes()
    config = CONFIG.encode()
    for old, new in names:
        assert old in config
        text, config = text.replace(old, new), config.replace(old, new)
    (tmp_path / "served.txt").write_bytes(text)
    exchange = Exchange(tmp_path, config=config.decode())
    try:
        exchange.play(str(tmp_path / "served.txt"))
    finally:
        exchange.stop()
