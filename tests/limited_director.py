"""Starts one real director with told limits beside emulated caches, and records the memory that it holds.

The caches are served by threads of the test, each connection by the test's `reply` function. Sizes are bytes.
"""

from __future__ import annotations

import contextlib
import json
import os
import select
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

from onyxwick.config.address import format_address
from onyxwick.lab.process_memory import MemoryRecorder, anonymous_bytes
from onyxwick.lab.soak.hoarding import encode_begin, encode_params
from onyxwick.net import fastcgi, resp

EXAMPLE = Path(__file__).parent.parent / "examples" / "config.json"
BYTES_PER_MB = 1_000_000
READY_TIMEOUT_S = 20.0
ANSWER_TIMEOUT_S = 5.0
OBJECT_ID = "7f3a9c21e0b4d655"
SERVED_FIELDS = b"digest=4be0c1927d55a6f3,note=HIT"

CacheReply = Callable[[socket.socket, list[bytes]], None]
"""Handles one command that a cache received on a connection."""


def served(connection: socket.socket, words: list[bytes]) -> None:
    """Answer a request with a small body, and ignore any other command."""
    if words[0] == b"REQ":
        connection.sendall(resp.encode_command(words[1], b"data", SERVED_FIELDS, b"walk"))


class EmulatedCache:
    """A listening socket on loopback whose connections are each served by a thread."""

    def __init__(self, reply: CacheReply) -> None:
        self.reply = reply
        self.sockets = list[socket.socket]()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.address = format_address(self.listener.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                self.sockets.append(connection)
                threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        parser = resp.RespParser()
        with contextlib.suppress(OSError):
            while data := connection.recv(65_536):
                parser.buffer.append(data)
                for words in parser.messages():
                    self.reply(connection, words)

    def close(self) -> None:
        for sock in (self.listener, *self.sockets):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()


def free_address() -> tuple[str, int]:
    """Return a loopback address on which nothing listens."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        address: tuple[str, int] = sock.getsockname()
        return address


def confirm_list(listener: socket.socket) -> None:
    """Tell the last index on a coordinator's first connection each second, until its end."""
    with contextlib.suppress(OSError):
        connection, _ = listener.accept()
        _tell_index(connection)


def confirm_list_to_all(listener: socket.socket) -> None:
    """Do so on each connection to a coordinator, as a director makes one after each of its starts."""
    with contextlib.suppress(OSError):
        while True:
            connection, _ = listener.accept()
            threading.Thread(target=_tell_index, args=(connection,), daemon=True).start()


def _tell_index(connection: socket.socket) -> None:
    with contextlib.suppress(OSError):
        while True:
            connection.sendall(b'{"index":1}\n')
            time.sleep(1.0)


class LimitedDirector:
    """One real director process; `idle_bytes` is its anonymous memory before the first client."""

    def __init__(
        self,
        folder: Path,
        memory_mb: int = 80,
        sockets: int = 512,
        reply: CacheReply = served,
        change: Callable[[dict[str, Any]], None] = lambda configuration: None,
        environment: dict[str, str] | None = None,
        answers_feed: bool = True,
        confirm: Callable[[socket.socket], None] = confirm_list,
    ) -> None:
        self.folder = folder
        self.memory_mb = memory_mb
        self.cache = EmulatedCache(reply)
        self.feed = socket.create_server(("127.0.0.1", 0), backlog=64)
        if answers_feed:
            threading.Thread(target=confirm, args=(self.feed,), daemon=True).start()
        self.address = free_address()
        configuration = self._configuration(sockets)
        change(configuration)
        path = folder / "config.json"
        path.write_text(json.dumps(configuration))
        self.log = folder / "director.log"
        self.environment = {
            **os.environ,
            "RELAY_CONFIG": str(path),
            "ONYXWICK_SERVICE": str(folder / "none"),
            "TMPDIR": str(folder),
            **(environment or {}),
        }
        self.process = self._start()
        self.idle_bytes = 0
        self.recorder: MemoryRecorder | None = None

    def _start(self) -> subprocess.Popen[bytes]:
        with self.log.open("ab") as log:
            return subprocess.Popen(
                [sys.executable, "-m", "onyxwick"],
                env=self.environment,
                stdout=subprocess.DEVNULL,
                stderr=log,
            )

    def restart(self, number: signal.Signals) -> float:
        """End the process by a signal, start another one, and return the seconds until it is ready."""
        if self.recorder is not None:
            self.recorder.stop()
        self.process.send_signal(number)
        self.process.wait(15.0)
        began_s = time.monotonic()
        self.process = self._start()
        self.wait_ready()
        return time.monotonic() - began_s

    def _configuration(self, sockets: int) -> dict[str, Any]:
        configuration: dict[str, Any] = json.loads(EXAMPLE.read_text())
        configuration["listen"] = format_address(self.address)
        configuration["coordinator"] = format_address(self.feed.getsockname())
        configuration["limits"] = {"cores": 1, "memory_mb": self.memory_mb, "sockets": sockets}
        for row in configuration["known"]["updates"][0]["endpoints"]["servers"]:
            row["addr"] = self.cache.address
        return configuration

    def wait_ready(self) -> None:
        """Wait until a ping is answered with 200; then record the idle memory and begin to sample."""
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while not self._is_ready():
            assert self.process.poll() is None, self.log.read_text()
            assert time.monotonic() < deadline_s, self.log.read_text()
            time.sleep(0.05)
        time.sleep(0.2)
        self.idle_bytes = anonymous_bytes(self.process.pid)
        self.recorder = MemoryRecorder(self.process.pid)

    def _is_ready(self) -> bool:
        with contextlib.suppress(OSError), socket.create_connection(self.address, 1.0) as sock:
            sock.sendall(encode_call(1, "/ping"))
            return b"200 OK" in sock.recv(4096)
        return False

    def connect(self) -> socket.socket:
        return socket.create_connection(self.address, ANSWER_TIMEOUT_S)

    def peak_over_idle_bytes(self) -> int:
        """Return the peak since `wait_ready`, less the idle memory."""
        assert self.recorder is not None
        return self.recorder.peak_bytes - self.idle_bytes

    def is_running(self) -> bool:
        return self.process.poll() is None

    def close(self) -> int:
        """End the director with SIGTERM and return its exit code."""
        if self.recorder is not None:
            self.recorder.stop()
        if self.is_running():
            self.process.send_signal(signal.SIGTERM)
        try:
            return self.process.wait(15.0)
        finally:
            self.process.kill()
            self.process.wait()
            self.cache.close()
            self.feed.close()


@contextlib.contextmanager
def limited_director(folder: Path, **options: Any) -> Iterator[LimitedDirector]:
    """Run a director for the time of the block, which begins once it is ready."""
    director = LimitedDirector(folder, **options)
    try:
        director.wait_ready()
        yield director
    finally:
        director.close()


# ---- what clients send -----------------------------------------------------------------------------------


_request_numbers = iter(range(1, 1 << 60))


def encode_call(number: int, path: str = "/call/site-video", params: dict[str, str] | None = None) -> bytes:
    """Encode a complete call with a new request id; `params` replaces the usual parameters."""
    pairs = {
        "SCRIPT_NAME": path,
        "HTTP_X_REQUEST_ID": f"{next(_request_numbers):016x}",
        "HTTP_X_TIMEOUT_MS": "3000",
        "HTTP_X_OBJECT": OBJECT_ID,
        "HTTP_X_NTH": "0",
    }
    pairs |= params or {}
    encoded = {name.encode(): value.encode() for name, value in pairs.items()}
    end = fastcgi.encode_record(fastcgi.RecordType.STDIN, number, b"")
    return encode_begin(number) + encode_params(number, encoded) + end


def count_served(director: LimitedDirector, calls: int, interval_s: float = 0.1) -> int:
    """Make calls one after the other, each on a new connection, and return how many were served.

    A connection that is closed with no answer is tried once more, as the platform's clients do.
    """
    count = 0
    for _ in range(calls):
        count += _is_served(director) or _is_served(director)
        time.sleep(interval_s)
    return count


def _is_served(director: LimitedDirector) -> bool:
    with contextlib.suppress(OSError), director.connect() as sock:
        sock.sendall(encode_call(1))
        received = b""
        while b"walk" not in received:
            data = sock.recv(65_536)
            if not data:
                return False
            received += data
        return b"200 OK" in received
    return False


def drain(sock: socket.socket) -> None:
    """Read and discard what has arrived."""
    with contextlib.suppress(OSError):
        while select.select([sock], [], [], 0)[0] and sock.recv(65_536):
            pass
