"""Replays recorded exchanges: text files that list the bytes sent to the real program and expected from it.

A line is one of these steps:

- `WHO > BYTES` sends bytes to the program.
- `WHO < BYTES` expects bytes from the program.
- `WHO close` closes the connection.
- `WHO closed` expects the program to close the connection.
- `program reload TEXT` writes TEXT to the configuration file and sends SIGHUP. If TEXT is a JSON object, it
  replaces only the fields that it contains.
- `program service TEXT` writes TEXT to the service file and sends SIGHUP.
- `program logged WORDS` waits for a log line that contains WORDS.
- `program upgrade -` starts a successor on the inherited listening socket and waits until it serves.
- `program term -` sends SIGTERM to the oldest process, waits for its clean exit, and leaves the successor.

The coordinator's first line, which confirms the list of the configuration, is sent before the first step and
to a successor.

`WHO` is `client`, `dns` (UDP), `tcp` (DNS over TCP), `admin`, `operations` (the operations endpoint, in files
`operations_*` and `handed_*`), `next` (the operations endpoint of the successor), `coordinator`, `moved` (the
address that the feed can move to) or the id of a member, whose stand-in listens on the address in the list. A
further connection of the same kind has a suffix, such as `client.2`. BYTES is the inside of a Python bytes
literal, in which `{n}` matches any number, `{id}` any two bytes and `{text}` any text without braces.
Each step waits for its event; no step
waits for a fixed time.

In files named `handed_*` the platform owns the clients' listening socket: the test creates the socket, and
the program inherits it as it does from the platform.
"""

from __future__ import annotations

import ast
import json
import os
import re
import resource
import shutil
import signal
import socket
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
FOLDER = Path(__file__).parent / "exchanges"
PATIENCE_S = 20.0
LISTEN, COORDINATOR, DNS = ("127.77.0.1", 15050), ("127.77.200.1", 17070), ("127.77.0.1", 15353)
MOVED = ("127.77.200.2", 17070)
ADMIN = ("127.77.0.1", 18053)
OPERATIONS = ("127.77.0.1", 19600)  # the operations endpoint, of files named `operations_*` and `handed_*`
READY_LOG_LINES = {"service.hcl": "DNS front on", "cells.hcl": "administration API on"}
TCP = {
    "client": LISTEN,
    "tcp": DNS,
    "admin": ADMIN,
    "operations": OPERATIONS,
    "next": (OPERATIONS[0], OPERATIONS[1] + 1),
}


def _address(text: str) -> tuple[str, int]:
    host, port = text.split(":")
    return host, int(port)


class Exchange:
    """The program under test and the stand-ins for its peers."""

    def __init__(
        self,
        folder: Path,
        service: str = "",
        inherits_listener: bool = False,
        operations: bool = False,
        config: str = "",
        descriptors: int = 0,
        stdout: int | None = None,
    ) -> None:
        self.descriptors = descriptors  # limit of open files that the platform sets; 0 leaves it unchanged
        self.stdout = stdout  # a file descriptor; None uses the stdout of the tests
        self.config = json.loads(config or (FOLDER / "config.json").read_text())
        rows = self.config["known"]["updates"][0]["endpoints"]["servers"]
        self.listeners = {row["id"]: self._listen(_address(row["addr"])) for row in rows}
        self.listeners["coordinator"] = self._listen(COORDINATOR)
        self.listeners["moved"] = self._listen(MOVED)
        self.connections: dict[str, socket.socket] = {}
        self.received: dict[str, bytes] = {}
        self.path = folder / "config.json"
        self.path.write_text(json.dumps(self.config))
        environment = {**os.environ, "RELAY_CONFIG": str(self.path), "ONYXWICK_SERVICE": str(folder / "none")}
        environment["TMPDIR"] = str(folder)  # shared by a process and its successor, as on the platform
        if operations or inherits_listener:
            environment["RELAY_ADMIN"] = f"{OPERATIONS[0]}:{OPERATIONS[1]}"
        if service:
            for name in (service, "operator.token", "depot.zone"):
                shutil.copy(FOLDER / name, folder)
            environment["ONYXWICK_SERVICE"] = str(folder / service)
        self.service = folder / service
        self.shared_listener = socket.create_server(LISTEN) if inherits_listener else None
        if self.shared_listener is not None:
            environment["RELAY_LISTEN_FD"] = str(self.shared_listener.fileno())
        self.environment, self.predecessors = environment, list[subprocess.Popen[str]]()
        self.program = self._start()
        self._until(READY_LOG_LINES.get(service, "serving"))
        self._confirm_list("coordinator")

    def _start(self) -> subprocess.Popen[str]:
        inherited_fds = () if self.shared_listener is None else (self.shared_listener.fileno(),)
        return subprocess.Popen(
            [sys.executable, "-m", "onyxwick"],
            cwd=ROOT,
            env=self.environment,
            stdout=self.stdout,
            stderr=subprocess.PIPE,
            text=True,
            pass_fds=inherited_fds,
            preexec_fn=self._limit_descriptors if self.descriptors else None,
        )

    def _limit_descriptors(self) -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (self.descriptors, self.descriptors))

    def _listen(self, address: tuple[str, int]) -> socket.socket:
        sock = socket.create_server(address)
        sock.settimeout(PATIENCE_S)
        return sock

    def _until(self, words: str) -> None:
        assert self.program.stderr is not None
        for line in self.program.stderr:
            if words in line:
                return
        raise AssertionError(f"the program ended without a log line that contains {words!r}")

    def _confirm_list(self, coordinator: str) -> None:
        """Send the last index to a program that has just started, as a coordinator does at once."""
        if self.config["coordinator"] == "{}:{}".format(*COORDINATOR):
            self._peer(coordinator).sendall(b'{"index":%d}\n' % self.config["known"]["index"])
            self._until('"now":"current"')

    def _peer(self, who: str) -> socket.socket:
        if who not in self.connections:
            kind = who.partition(".")[0]
            if kind == "dns":
                sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                sock.connect(DNS)
            elif kind in TCP:
                sock = socket.create_connection(TCP[kind], PATIENCE_S)
            else:
                sock = self.listeners[kind].accept()[0]
            sock.settimeout(PATIENCE_S)
            self.connections[who], self.received[who] = sock, b""
        return self.connections[who]

    def _expect(self, who: str, pattern: bytes, line: str) -> None:
        sock, expected = self._peer(who), re.escape(pattern)
        expected = expected.replace(rb"\{n\}", rb"\d+").replace(rb"\{id\}", rb"(?s:..)")
        expected = expected.replace(rb"\{text\}", rb"[^{}]*")
        while not (match := re.match(expected, self.received[who], re.DOTALL)):
            try:
                more = sock.recv(65_536)
            except TimeoutError:
                more = b""
            assert more, f"{line}\nreceived only {self.received[who]!r}"
            self.received[who] += more
            plain = len(re.sub(rb"\{(n|id|text)\}", b"", pattern))
            assert len(self.received[who]) <= plain + 64 or re.match(expected, self.received[who]), (
                f"{line}\nreceived {self.received[who]!r}"
            )
        self.received[who] = self.received[who][match.end() :]

    def play(self, name: str) -> None:
        for line in (FOLDER / name).read_text().splitlines():
            if not line.strip() or line.startswith("#"):
                continue
            who, what, *rest = line.split(" ", 2)
            if who == "program":
                self._program(what, rest[0])
                continue
            data = ast.literal_eval("b'" + rest[0] + "'") if rest else b""
            if what == ">":
                self._peer(who).sendall(data)
            elif what == "<":
                self._expect(who, data, line)
            elif what == "close":
                self._peer(who).close()
                del self.connections[who]
            elif what == "closed":
                assert self._peer(who).recv(1) == b"" and not self.received[who], line
                self.connections.pop(who).close()
            else:
                raise AssertionError(f"unknown step: {line}")
        assert not any(self.received.values()), f"received bytes that no step expects: {self.received}"

    def _program(self, what: str, text: str) -> None:
        if what == "logged":
            return self._until(text)
        if what == "upgrade":
            self.predecessors.append(self.program)
            self.environment["RELAY_ADMIN"] = f"{OPERATIONS[0]}:{OPERATIONS[1] + len(self.predecessors)}"
            self.program = self._start()
            self._until("serving")
            return self._confirm_list(f"coordinator.{len(self.predecessors) + 1}")
        if what == "term":
            oldest = self.predecessors.pop(0)
            oldest.send_signal(signal.SIGTERM)
            _, logged = oldest.communicate(timeout=PATIENCE_S)
            assert oldest.returncode == 0, logged
            return None
        if what == "service":
            self.service.write_text(text.replace("\\n", "\n"))
            return self.program.send_signal(signal.SIGHUP)
        assert what == "reload"
        new = json.dumps({**self.config, **json.loads(text)}) if text.startswith("{") else text
        self.path.write_text(new)
        self.program.send_signal(signal.SIGHUP)

    def stop(self) -> str:
        """Send SIGTERM, check that the program exits with 0, and return the log lines not read before."""
        if self.program.poll() is None:
            self.program.send_signal(signal.SIGTERM)
        _, logged = self.program.communicate(timeout=PATIENCE_S)
        print(logged)  # pytest shows it if the test fails
        self.close()
        assert self.program.returncode == 0
        return logged

    def close(self) -> None:
        """Close the sockets of the test, whether or not the program still runs."""
        for sock in (*self.connections.values(), *self.listeners.values()):
            sock.close()
        if self.shared_listener is not None:
            self.shared_listener.close()
