"""Shutdown of the real program: signals during the start, during a reload, sent twice, and while it stops
listening."""

from __future__ import annotations

import contextlib
import json
import os
import select
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest

from onyxwick.net import resp
from tests.director_harness import HIT_REPLY_FIELDS, encode_call
from tests.exchange import COORDINATOR, FOLDER, LISTEN, MOVED, OPERATIONS, PATIENCE_S, ROOT, Exchange

CONFIG = (FOLDER / "config.json").read_text()


def _write(pipe: Path, program: subprocess.Popen[str], text: str, before: int, after: str = "") -> None:
    """Write the configuration into a pipe from which the program is reading.

    The program is blocked until the write. `before` is a signal that is sent while the program is blocked,
    `after` the content of the file from then on (if empty, `text`).
    """
    end = time.monotonic() + PATIENCE_S
    while True:
        try:
            fd = os.open(pipe, os.O_WRONLY | os.O_NONBLOCK)  # fails until the program reads
            break
        except OSError:
            assert program.poll() is None and time.monotonic() < end, program.returncode
            time.sleep(0.005)
    pipe.rename(pipe.with_suffix(".read"))
    pipe.write_text(after or text)
    program.send_signal(before)
    time.sleep(0.1)
    with os.fdopen(fd, "w") as file:
        file.write(text)


def _start_blocked(tmp_path: Path) -> tuple[Path, subprocess.Popen[str]]:
    """Start a program whose configuration file is a pipe, so that its start blocks until `_write`."""
    pipe = tmp_path / "config.json"
    os.mkfifo(pipe)
    environment = {**os.environ, "RELAY_CONFIG": str(pipe), "ONYXWICK_SERVICE": str(tmp_path / "none")}
    program = subprocess.Popen(
        [sys.executable, "-m", "onyxwick"], cwd=ROOT, env=environment, stderr=subprocess.PIPE, text=True
    )
    return pipe, program


def test_a_reload_during_startup_is_carried_out_once_started(tmp_path: Path) -> None:
    pipe, program = _start_blocked(tmp_path)
    with socket.create_server(COORDINATOR) as old, socket.create_server(MOVED) as new:
        old.settimeout(PATIENCE_S)
        new.settimeout(PATIENCE_S)
        try:
            moved = {**json.loads(CONFIG), "coordinator": f"{MOVED[0]}:{MOVED[1]}"}
            _write(pipe, program, CONFIG, signal.SIGHUP, json.dumps(moved))
            feed = new.accept()[0]
            feed.settimeout(PATIENCE_S)
            assert feed.recv(100) == b"follow 1\n"
            feed.close()
        finally:
            program.send_signal(signal.SIGTERM)
            _, logged = program.communicate(timeout=PATIENCE_S)
    assert program.returncode == 0 and "Traceback" not in logged, logged


def test_sigterm_during_startup_leaves_nothing_behind(tmp_path: Path) -> None:
    pipe, program = _start_blocked(tmp_path)
    with contextlib.suppress(BrokenPipeError):  # the program exited while reading
        _write(pipe, program, CONFIG, signal.SIGTERM)
    _, logged = program.communicate(timeout=PATIENCE_S)
    assert program.returncode in (0, -signal.SIGTERM) and "Traceback" not in logged, logged


def test_sigterm_twice_and_during_a_reload_answers_all_requests(tmp_path: Path) -> None:
    exchange = Exchange(tmp_path)
    try:
        client, request_id = exchange._peer("client"), f"{7:016x}"
        client.sendall(encode_call(1, request_id, path="/call/site-video"))
        cache = exchange._peer("c0")
        assert request_id.encode() in cache.recv(65_536)
        for signal_number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            exchange.program.send_signal(signal_number)
        exchange._until("draining")
        exchange.program.send_signal(signal.SIGTERM)
        cache.sendall(resp.encode_command(request_id.encode(), b"data", HIT_REPLY_FIELDS, b"walk"))
        answer = b""
        while b"walk" not in answer:
            chunk = client.recv(65_536)
            assert chunk, answer
            answer += chunk
        assert b"200 OK" in answer
    finally:
        exchange.stop()


def test_a_client_that_connects_as_the_listening_socket_closes_is_answered(tmp_path: Path) -> None:
    """While the program is paused just before it stops listening, a client connects and sends a request."""
    exchange = Exchange(tmp_path)
    try:
        exchange.program.send_signal(signal.SIGTERM)
        exchange._until("draining")
        time.sleep(0.3)
        exchange.program.send_signal(signal.SIGSTOP)
        client = exchange._peer("client")
        client.sendall(encode_call(1, path="/ping"))
        time.sleep(0.8)
        exchange.program.send_signal(signal.SIGCONT)
        answer = client.recv(65_536)
        assert b"Status: " in answer, answer
    finally:
        exchange.program.send_signal(signal.SIGCONT)
        exchange.stop()


def _request_id(number: int) -> str:
    return f"{number:016x}"


def _serve(exchange: Exchange, number: int, member: str, member_sockets: list[socket.socket]) -> None:
    """Send a request as a new client, and answer it as `member`, on whichever connection it arrives."""
    listener, request_id, received = exchange.listeners[member], _request_id(number).encode(), b""
    with socket.create_connection(LISTEN, PATIENCE_S) as client:
        client.settimeout(PATIENCE_S)
        client.sendall(encode_call(1, _request_id(number), path="/call/site-video"))
        while request_id not in received:
            ready, _, _ = select.select([listener, *member_sockets], [], [], PATIENCE_S)
            assert ready, "the program sent nothing to the member"
            for sock in ready:
                if sock is listener:
                    member_sockets.append(listener.accept()[0])
                elif request_id in (received := sock.recv(65_536)):
                    sock.sendall(resp.encode_command(request_id, b"data", HIT_REPLY_FIELDS, b"walk"))
                    break
        answer = client.recv(65_536)
        assert b"200 OK" in answer and b"walk" in answer, answer


def test_with_all_connections_taken_and_discovery_down_the_fixed_parts_keep_descriptors(
    tmp_path: Path,
) -> None:
    """Idle clients, partial calls and answered calls take as many connections as the platform allows."""
    limited = {**json.loads(CONFIG), "limits": {"cores": 1, "memory_mb": 192, "sockets": 96}}
    exchange = Exchange(tmp_path, operations=True, config=json.dumps(limited), descriptors=96)
    client_sockets, member_sockets = list[socket.socket](), list[socket.socket]()
    try:
        exchange._peer("coordinator").close()
        exchange.listeners["coordinator"].close()
        client_sockets.append(socket.create_connection(LISTEN, PATIENCE_S))
        client_sockets[0].sendall(
            b"".join(encode_call(n, _request_id(100 + n), path="/call/site-video") for n in range(1, 7))
        )
        for number in range(120):
            with contextlib.suppress(OSError):
                client_sockets.append(sock := socket.create_connection(LISTEN, PATIENCE_S))
                sock.sendall(
                    (b"", encode_call(1, path="/ping")[:20], encode_call(1, path="/ping"))[number % 3]
                )
        # All connections of the operations endpoint are taken as well.
        client_sockets += [socket.create_connection(OPERATIONS, PATIENCE_S) for _ in range(32)]
        time.sleep(0.4)  # new connections keep their slots for 0.25 s
        for number in range(3):
            _serve(exchange, number, "c0", member_sockets)
        with socket.create_connection(OPERATIONS, PATIENCE_S) as connection:
            connection.sendall(b"GET /ready HTTP/1.1\r\nHost: operations\r\n\r\n")
            assert b"200" in connection.recv(4096)
        exchange.path.write_text(json.dumps(limited))
        exchange.program.send_signal(signal.SIGHUP)
        exchange._until("configuration read again")
        for sock in client_sockets:  # all clients disconnect at the same time
            sock.close()
        exchange.listeners["coordinator"] = exchange._listen(COORDINATOR)
        feed = exchange.listeners["coordinator"].accept()[0]
        assert feed.recv(100) == b"follow 1\n"
        row = {**limited["known"]["updates"][0]["endpoints"]["servers"][0], "state": "DRAINING"}
        update = {"index": 2, "endpoints": {"version": 2, "full": False, "servers": [row]}}
        feed.sendall(json.dumps(update).encode() + b"\n")
        time.sleep(0.2)
        _serve(exchange, 9, "p0", member_sockets)  # the drain of the cache is in force
        feed.close()
    finally:
        for sock in (*client_sockets, *member_sockets):
            sock.close()
        logged = exchange.stop()
    assert "Traceback" not in logged and "accept failed" not in logged, logged


def test_a_descriptor_limit_below_the_fixed_parts_is_rejected(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**json.loads(CONFIG), "limits": {"sockets": 70}, "admin": 9600}))
    with socket.create_server(LISTEN) as held:
        environment = {**os.environ, "RELAY_CONFIG": str(path), "RELAY_LISTEN_FD": str(held.fileno())}
        done = subprocess.run(
            [sys.executable, "-m", "onyxwick"],
            cwd=ROOT,
            env=environment,
            capture_output=True,
            text=True,
            check=False,
            timeout=PATIENCE_S,
            pass_fds=(held.fileno(),),
        )
    assert done.returncode == 2 and "limits.sockets" in done.stderr and "likely intent" in done.stderr
    assert str(path) in done.stderr and "Traceback" not in done.stderr, done.stderr


def _ping(address: tuple[str, int], timeout_s: float) -> float:
    """Return the seconds until a ping is answered with 200, or `timeout_s` if none is in time."""
    started_at_s = time.monotonic()
    while time.monotonic() < started_at_s + timeout_s:
        with contextlib.suppress(OSError), socket.create_connection(address, 1.0) as sock:
            sock.settimeout(1.0)
            sock.sendall(encode_call(1, path="/ping"))
            if b"200 OK" in sock.recv(4096):
                return time.monotonic() - started_at_s
        time.sleep(0.02)
    return timeout_s


@pytest.mark.parametrize("discovery", ["down", "silent"])
def test_many_directors_starting_on_one_core_are_ready_without_clients(
    discovery: str, tmp_path: Path
) -> None:
    """Readiness does not depend on discovery, which is down or silent, or on an answer of any cache."""
    programs, core = list[subprocess.Popen[str]](), min(os.sched_getaffinity(0))
    with contextlib.ExitStack() as stack:
        if discovery == "silent":
            stack.enter_context(socket.create_server(COORDINATOR))
        stack.enter_context(socket.create_server(("127.77.1.1", 15051)))  # a cache that never answers
        try:
            for number in range(7):
                path = tmp_path / f"{number}.json"
                listen, operations = f"127.77.0.{10 + number}:15050", f"127.77.0.{10 + number}:19600"
                path.write_text(json.dumps({**json.loads(CONFIG), "listen": listen, "admin": operations}))
                environment = {
                    **os.environ,
                    "RELAY_CONFIG": str(path),
                    "ONYXWICK_SERVICE": str(tmp_path / "no"),
                }
                environment["TMPDIR"] = str(tmp_path)
                programs.append(
                    subprocess.Popen(
                        [sys.executable, "-m", "onyxwick"],
                        cwd=ROOT,
                        env=environment,
                        text=True,
                        stdout=subprocess.DEVNULL,
                        stderr=subprocess.DEVNULL,
                        preexec_fn=lambda: os.sched_setaffinity(0, {core}),
                    )
                )
            durations_s = [_ping((f"127.77.0.{10 + number}", 15050), 10.0) for number in range(7)]
            assert max(durations_s) < 10.0, durations_s
            for number in range(7):  # the operations endpoint also reports readiness
                with socket.create_connection((f"127.77.0.{10 + number}", 19600), PATIENCE_S) as sock:
                    sock.sendall(b"GET /ready HTTP/1.1\r\nHost: operations\r\n\r\n")
                    assert b"200" in sock.recv(4096)
        finally:
            for program in programs:
                program.terminate()
            for program in programs:
                assert program.wait(PATIENCE_S) == 0


def test_classes_under_any_names_are_served(tmp_path: Path) -> None:
    """Class names are defined only by the settings: a complete exchange succeeds with other names."""
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


def _full_pipe() -> tuple[int, int]:
    """Return the read end and the write end of a full pipe, which accepts no more data."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    for size in (4096, 1):
        with contextlib.suppress(BlockingIOError):
            while True:
                os.write(writer, b"x" * size)
    os.set_blocking(writer, True)
    return reader, writer


def _exit_code_with_output(folder: Path, output: str) -> int:
    """Return the exit code of a program that prints its counters, answers a ping and is then terminated.

    Its standard output is a pipe that is closed or full, or a full disk, as `output` says.
    """
    reader, writer = _full_pipe() if output == "full" else os.pipe()
    if output == "closed":
        os.close(reader)
    elif output == "disk full":
        os.dup2(os.open("/dev/full", os.O_WRONLY), writer)
    exchange = Exchange(folder, stdout=writer)
    os.close(writer)
    try:
        exchange.program.send_signal(signal.SIGUSR1)
        time.sleep(0.1)
        assert _ping(LISTEN, PATIENCE_S) < PATIENCE_S / 2, output
        exchange.program.send_signal(signal.SIGTERM)
        exchange.program.communicate(timeout=PATIENCE_S)
        return exchange.program.returncode
    finally:
        exchange.program.kill()
        exchange.close()


def test_an_output_that_takes_no_counters_neither_stops_nor_fails_the_program(tmp_path: Path) -> None:
    for output in ("closed", "disk full", "full"):
        assert _exit_code_with_output(tmp_path, output) == 0, output
