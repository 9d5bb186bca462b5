"""One director of a soak over all its processes: started with the shim, asked, signalled, upgraded, ended."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from onyxwick.config.address import Address, format_address
from onyxwick.lab.faults.relay import LinkRelay
from onyxwick.lab.feed import Feed
from onyxwick.lab.machines import CoordinatorEmulator
from onyxwick.lab.soak.model import SoakRecords, SoakTermination
from onyxwick.lab.soak.shim import Control
from onyxwick.net import fastcgi
from onyxwick.net.listening import ACCEPT_BACKLOG

READY_S, END_S, PING_S = 10.0, 10.0, 1.0
NOTABLE = ('"event":"invariant violated"', "Traceback", '"level":"critical"', "error in ")
MOST_LOGGED = 200


class Process:
    """One process of a director: its log is read line by line, its counters as it ends."""

    def __init__(self, name: str, folder: Path, records: SoakRecords, tree: Path | None) -> None:
        self.name, self.records, self.tree = name, records, tree
        self.log = folder / f"{name}.log"
        self.child: asyncio.subprocess.Process | None = None
        self.reading: list[asyncio.Task[None]] = []

    async def start(self, environment: dict[str, str], pass_fd: int | None) -> None:
        """Start it; RuntimeError where it cannot be."""
        self.child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "onyxwick",
            env=environment,
            cwd=self.tree,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            pass_fds=() if pass_fd is None else (pass_fd,),
        )
        assert self.child.stdout is not None and self.child.stderr is not None
        loop = asyncio.get_running_loop()
        self.reading = [
            loop.create_task(self._read_log(self.child.stderr)),
            loop.create_task(self._read_counters(self.child.stdout)),
        ]

    async def _read_log(self, stream: asyncio.StreamReader) -> None:
        with self.log.open("ab") as log:
            while line := await stream.readline():
                log.write(line)
                text = line.decode(errors="replace")
                if any(mark in text for mark in NOTABLE) and len(self.records.logged) < MOST_LOGGED:
                    self.records.logged.append(f"{self.name}: {text.strip()}")

    async def _read_counters(self, stream: asyncio.StreamReader) -> None:
        while line := await stream.readline():
            name, _, count = line.decode(errors="replace").strip().rpartition(" ")
            if name and count.isdigit():
                self.records.counters[name] = self.records.counters.get(name, 0) + int(count)

    @property
    def runs(self) -> bool:
        """Has it been started, and not ended?"""
        return self.child is not None and self.child.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if it runs."""
        if self.runs and self.child is not None:
            self.child.send_signal(number)

    async def wait(self, most_s: float) -> int | None:
        """Its exit code; None where it does not end in time."""
        assert self.child is not None
        try:
            async with asyncio.timeout(most_s):
                await self.child.wait()
        except TimeoutError:
            return None
        await asyncio.gather(*self.reading)
        return self.child.returncode


class SoakDirector:
    """A director under one name. `held`: the listening socket is the lab's, and successors take it over."""

    tree: Path | None = None  # of another revision, whose program is run

    def __init__(
        self, number: int, base: str, folder: Path, held: bool, records: SoakRecords, clock: Callable[[], int]
    ) -> None:
        self.number, self.name, self.records, self.clock = number, f"n{number}", records, clock
        self.listen: Address = (f"{base}.1.{number + 1}", 5050)
        self.admins: list[Address] = [(f"{base}.7.{number + 1}", port) for port in (9600, 9601)]
        self.folder = folder / self.name
        self.folder.mkdir()
        self.feeds: list[Address] = [(f"{base}.8.{number + 1}", port) for port in (7070, 7071)]
        self.relays: list[LinkRelay] = []
        self.feed_at = 0  # which of its two addresses the configuration names
        self.coordinator: CoordinatorEmulator
        self.feed: Feed
        self.control: Control
        self.process: Process | None = None
        self.starts = 0
        self.takes_connections = False  # new ones come; open ones are used for as long as they are open
        self.crawls = False  # its calls move a byte each: the ordinary clients are all that it can bear
        self.busy = asyncio.Lock()  # one end or start at a time
        self.held = self._hold() if held else None

    def _hold(self) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(self.listen)
        sock.listen(ACCEPT_BACKLOG)
        return sock

    @property
    def config(self) -> Path:
        """Its configuration file."""
        return self.folder / "config.json"

    @property
    def admin(self) -> Address:
        """The operators' address of its newest process."""
        return self.admins[self.starts % 2]

    def write(self, told: dict[str, Any]) -> None:
        """Write its configuration, whole."""
        draft = self.folder / "config.draft"
        draft.write_text(json.dumps(told))
        os.replace(draft, self.config)

    async def start(self, shim: dict[str, str]) -> Process:
        """A process more, once it is ready; a late start is noted."""
        self.starts += 1
        environment = {**os.environ, **shim, "RELAY_CONFIG": str(self.config), "TMPDIR": str(self.folder)}
        environment |= {
            "ONYXWICK_SERVICE": str(self.folder / "none"),
            "RELAY_ADMIN": format_address(self.admin),
        }
        fd = None if self.held is None else self.held.fileno()
        if fd is not None:
            environment["RELAY_LISTEN_FD"] = str(fd)
        process = Process(f"{self.name}.{self.starts}", self.folder.parent, self.records, self.tree)
        await process.start(environment, fd)
        begun = asyncio.get_running_loop().time()
        while not await self._ready(process):
            if not process.runs or asyncio.get_running_loop().time() - begun > READY_S:
                code = process.child.returncode if process.child is not None else None
                self.records.ended.append(f"{process.name} was not ready in {READY_S} s (exit {code})")
                break
            await asyncio.sleep(0.05)
        self.process, self.takes_connections = process, process.runs
        return process

    async def _ready(self, process: Process) -> bool:
        if self.held is not None:
            return await self.call("GET", "/ready", 0.5) == 200
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(PING_S):
                reader, writer = await asyncio.open_connection(*self.listen)
                writer.write(_ping())
                data = await reader.read(4096)
                writer.close()
                return b"200 OK" in data
        return False

    async def call(self, method: str, path: str, most_s: float = 1.0) -> int:
        """A call of the operators'; its status, 0 where there was no answer in time."""
        with contextlib.suppress(OSError, TimeoutError, ValueError, IndexError):
            async with asyncio.timeout(most_s):
                reader, writer = await asyncio.open_connection(*self.admin)
                writer.write(f"{method} {path} HTTP/1.1\r\nHost: door\r\n\r\n".encode())
                line = await reader.readline()
                writer.close()
                return int(line.split()[1])
        return 0

    async def term(self, process: Process) -> None:
        """SIGTERM, and its clean end."""
        process.signal(signal.SIGTERM)
        code = await process.wait(END_S)
        if code != 0:
            self.records.ended.append(f"{process.name} ended with {code} after SIGTERM")
            process.signal(signal.SIGKILL)
            await process.wait(END_S)

    async def terminate(
        self, process: Process, signals: Sequence[signal.Signals], kill_after_s: float
    ) -> bool:
        """A series of signals with SIGTERM in it, and SIGKILL as early as the platform sends it.

        Its exit, or its kill, is written down; True where it had to be killed.
        """
        told = self.clock()
        for number in signals:
            process.signal(number)
        code = await process.wait(kill_after_s)
        ended = self.clock()
        if code is None:
            process.signal(signal.SIGKILL)
            await process.wait(END_S)
        elif code != 0:
            self.records.ended.append(f"{process.name} ended with {code} after SIGTERM")
        end = SoakTermination(self.number, told, ended, code is None, self.held is not None)
        self.records.terminations.append(end)
        return code is None

    def close(self) -> None:
        """Give the sockets back."""
        if self.held is not None:
            self.held.close()


def _ping() -> bytes:
    begin = fastcgi.BEGIN_BODY.pack(fastcgi.RESPONDER, 0)
    pairs = fastcgi.encode_pairs({b"SCRIPT_NAME": b"/ping"})
    kind = fastcgi.RecordType
    records = ((kind.BEGIN, begin), (kind.PARAMS, pairs), (kind.PARAMS, b""), (kind.STDIN, b""))
    return b"".join(fastcgi.encode_record(k, 1, content) for k, content in records)
