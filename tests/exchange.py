"""The shared helper of the recorded tests: plays a text file of bytes against the real program.

A line is `WHO > BYTES` (sent to the program), `WHO < BYTES` (must come from it), `WHO close` or `WHO closed`
(the program must end the connection). `WHO` is `client`, `dns` (UDP), `tcp` (DNS over TCP), `admin`,
`coordinator`, `moved` (where the feed can move) or the id of a member, whose stand-in listens where the list
says; a further connection of the same kind has a suffix to its name, as `client.2`. BYTES is the inside of a
Python bytes literal; `{n}` stands for any number and `{id}` for two bytes. `program reload TEXT` makes TEXT
(an object: what it changes) the configuration file and sends SIGHUP; `program service TEXT` does the same
with the service file; `program logged WORDS` waits for a log line. Everything waits for its event, nothing
for a time.

Where the platform holds the clients' listening socket (files named `handed_*`), the test makes it and hands
it down as the platform does; `program upgrade -` starts a successor on it and waits until it serves, and
`program term -` sends SIGTERM to the one that runs longest, waits for its clean exit, leaves the successor.
`operations` is the operations endpoint (files `operations_*`, `handed_*`), `next` that of the successor.
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
WAITS = {"service.hcl": "DNS front on", "cells.hcl": "administration API on"}
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
    """The program with its stand-ins."""

    def __init__(
        self,
        folder: Path,
        service: str = "",
        handed: bool = False,
        operations: bool = False,
        config: str = "",
        descriptors: int = 0,
        stdout: int | None = None,
    ) -> None:
        self.descriptors = descriptors  # the limit that the platform sets; 0: as it is
        self.stdout = stdout  # a descriptor; None: as of the tests
        self.config = json.loads(config or (FOLDER / "config.json").read_text())
        rows = self.config["known"]["updates"][0]["endpoints"]["servers"]
        self.listeners = {row["id"]: self._listen(_address(row["addr"])) for row in rows}
        self.listeners["coordinator"] = self._listen(COORDINATOR)
        self.listeners["moved"] = self._listen(MOVED)
        self.open: dict[str, socket.socket] = {}
        self.got: dict[str, bytes] = {}
        self.path = folder / "config.json"
        self.path.write_text(json.dumps(self.config))
        environment = {**os.environ, "RELAY_CONFIG": str(self.path), "ONYXWICK_SERVICE": str(folder / "none")}
        environment["TMPDIR"] = str(folder)  # shared by a process and its successor, as the platform does
        if operations or handed:
            environment["RELAY_ADMIN"] = f"{OPERATIONS[0]}:{OPERATIONS[1]}"
        if service:
            for name in (service, "operator.token", "depot.zone"):
                shutil.copy(FOLDER / name, folder)
            environment["ONYXWICK_SERVICE"] = str(folder / service)
        self.service = folder / service
        self.held = socket.create_server(LISTEN) if handed else None
        if self.held is not None:
            environment["RELAY_LISTEN_FD"] = str(self.held.fileno())
        self.environment, self.older = environment, list[subprocess.Popen[str]]()
        self.program = self._start()
        self._until(WAITS.get(service, "serving"))

    def _start(self) -> subprocess.Popen[str]:
        handed = () if self.held is None else (self.held.fileno(),)
        return subprocess.Popen(
            [sys.executable, "-m", "onyxwick"],
            cwd=ROOT,
            env=self.environment,
            stdout=self.stdout,
            stderr=subprocess.PIPE,
            text=True,
            pass_fds=handed,
            preexec_fn=self._limited if self.descriptors else None,
        )

    def _limited(self) -> None:
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
        raise AssertionError(f"the program never said {words!r}")

    def _peer(self, who: str) -> socket.socket:
        if who not in self.open:
            kind = who.partition(".")[0]
            if kind == "dns":
                sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                sock.connect(DNS)
            elif kind in TCP:
                sock = socket.create_connection(TCP[kind], PATIENCE_S)
            else:
                sock = self.listeners[kind].accept()[0]
            sock.settimeout(PATIENCE_S)
            self.open[who], self.got[who] = sock, b""
        return self.open[who]

    def _expect(self, who: str, pattern: bytes, line: str) -> None:
        sock, wanted = self._peer(who), re.escape(pattern)
        wanted = wanted.replace(rb"\{n\}", rb"\d+").replace(rb"\{id\}", rb"(?s:..)")
        while not (match := re.match(wanted, self.got[who], re.DOTALL)):
            try:
                more = sock.recv(65_536)
            except TimeoutError:
                more = b""
            assert more, f"{line}\ngot only {self.got[who]!r}"
            self.got[who] += more
            plain = len(re.sub(rb"\{(n|id)\}", b"", pattern))
            assert len(self.got[who]) <= plain + 64 or re.match(wanted, self.got[who]), (
                f"{line}\ngot {self.got[who]!r}"
            )
        self.got[who] = self.got[who][match.end() :]

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
                del self.open[who]
            elif what == "closed":
                assert self._peer(who).recv(1) == b"" and not self.got[who], line
                self.open.pop(who).close()
            else:
                raise AssertionError(f"no such step: {line}")
        assert not any(self.got.values()), f"bytes that nothing expected: {self.got}"

    def _program(self, what: str, text: str) -> None:
        if what == "logged":
            return self._until(text)
        if what == "upgrade":
            self.older.append(self.program)
            self.environment["RELAY_ADMIN"] = f"{OPERATIONS[0]}:{OPERATIONS[1] + len(self.older)}"
            self.program = self._start()
            return self._until("serving")
        if what == "term":
            oldest = self.older.pop(0)
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
        """SIGTERM, which must end the program cleanly; what it logged since it was last read."""
        if self.program.poll() is None:
            self.program.send_signal(signal.SIGTERM)
        _, logged = self.program.communicate(timeout=PATIENCE_S)
        print(logged)  # shown where a test fails
        self.close()
        assert self.program.returncode == 0
        return logged

    def close(self) -> None:
        """Give back the stand-ins' sockets, whatever became of the program."""
        for sock in (*self.open.values(), *self.listeners.values()):
            sock.close()
        if self.held is not None:
            self.held.close()
