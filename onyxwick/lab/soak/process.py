"""One director of a soak and its processes: starts them with the shim, calls, signals and ends them."""

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
from onyxwick.lab.process_memory import MemoryRecorder
from onyxwick.lab.soak.coordinator import SoakCoordinator
from onyxwick.lab.soak.model import ProcessMemory, SoakRecords, SoakTermination
from onyxwick.lab.soak.shim import Control
from onyxwick.net import fastcgi
from onyxwick.net.listening import ACCEPT_BACKLOG

READY_TIMEOUT_S, EXIT_TIMEOUT_S, PING_TIMEOUT_S = 10.0, 10.0, 1.0
REPORTED_MARKS = ('"event":"invariant violated"', "Traceback", '"level":"critical"', "error in ")
MAX_REPORTED_LINES = 200
BYTES_PER_MB = 1_000_000


class Process:
    """One process of a director. Its log is read line by line, its counters as it prints them at the end."""

    def __init__(self, name: str, folder: Path, records: SoakRecords, tree: Path | None) -> None:
        self.name, self.records, self.tree = name, records, tree
        self.log = folder / f"{name}.log"
        self.child: asyncio.subprocess.Process | None = None
        self.reading: list[asyncio.Task[None]] = []
        self.memory: MemoryRecorder | None = None
        self.memory_interval_s = 0.1
        self.told_bytes = 0  # the memory that the process may use

    async def start(self, environment: dict[str, str], pass_fd: int | None) -> None:
        """Start the process with this environment and, if given, a listening socket's descriptor."""
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
        self.memory = MemoryRecorder(self.child.pid, self.memory_interval_s)
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
                if (
                    any(mark in text for mark in REPORTED_MARKS)
                    and len(self.records.logged) < MAX_REPORTED_LINES
                ):
                    self.records.logged.append(f"{self.name}: {text.strip()}")

    async def _read_counters(self, stream: asyncio.StreamReader) -> None:
        while line := await stream.readline():
            name, _, count = line.decode(errors="replace").strip().rpartition(" ")
            if name and count.isdigit():
                self.records.counters[name] = self.records.counters.get(name, 0) + int(count)

    @property
    def is_running(self) -> bool:
        """Whether the process has been started and has not ended."""
        return self.child is not None and self.child.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.is_running and self.child is not None:
            self.child.send_signal(number)

    async def wait(self, most_s: float) -> int | None:
        """Wait for the end of the process and return its exit code; None if it does not end in time."""
        assert self.child is not None
        try:
            async with asyncio.timeout(most_s):
                await self.child.wait()
        except TimeoutError:
            return None
        await asyncio.gather(*self.reading)
        self._record_memory()
        return self.child.returncode

    def _record_memory(self) -> None:
        if self.memory is not None:
            peak_bytes = self.memory.stop()
            self.records.memory.append(ProcessMemory(self.name, peak_bytes, self.told_bytes))
            self.memory = None


class SoakDirector:
    """A director under one name. `held`: the lab owns the listening socket, which successors take over."""

    memory_interval_s = 0.1
    tree: Path | None = None  # source tree of another revision, whose program is run

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
        self.feed_index = 0  # index of the feed address that the configuration names
        self.coordinator: SoakCoordinator
        self.feed: Feed
        self.control: Control
        self.process: Process | None = None
        self.starts = 0
        self.memory_mb = 0  # as told in the configuration
        self.takes_connections = False  # clients may open new ones; open ones are used until they end
        # While each transfer moves a single byte, more than the ordinary clients would overload the director.
        self.transfers_single_bytes = False
        self.lifecycle_lock = asyncio.Lock()  # serializes restarts, drains and reloads
        self.held = self._listen() if held else None

    def _listen(self) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(self.listen)
        sock.listen(ACCEPT_BACKLOG)
        return sock

    @property
    def config(self) -> Path:
        """The path of the configuration file."""
        return self.folder / "config.json"

    @property
    def admin(self) -> Address:
        """The operator address of the newest process."""
        return self.admins[self.starts % 2]

    def write(self, configuration: dict[str, Any]) -> None:
        """Write the configuration file atomically."""
        self.memory_mb = configuration["limits"]["memory_mb"]
        draft = self.folder / "config.draft"
        draft.write_text(json.dumps(configuration))
        os.replace(draft, self.config)

    async def start(self, shim: dict[str, str]) -> Process:
        """Start another process and return it when ready. A late or failed start goes into the records."""
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
        process.told_bytes = self.memory_mb * BYTES_PER_MB
        process.memory_interval_s = self.memory_interval_s
        await process.start(environment, fd)
        begun = asyncio.get_running_loop().time()
        while not await self._ready(process):
            if not process.is_running or asyncio.get_running_loop().time() - begun > READY_TIMEOUT_S:
                code = process.child.returncode if process.child is not None else None
                self.records.ended.append(
                    f"{process.name} was not ready in {READY_TIMEOUT_S} s (exit {code})"
                )
                break
            await asyncio.sleep(0.05)
        self.process, self.takes_connections = process, process.is_running
        return process

    async def _ready(self, process: Process) -> bool:
        if self.held is not None:
            return await self.call("GET", "/ready", 0.5) == 200
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(PING_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*self.listen)
                writer.write(_ping())
                data = await reader.read(4096)
                writer.close()
                return b"200 OK" in data
        return False

    async def call(self, method: str, path: str, most_s: float = 1.0) -> int:
        """Make an operator call and return its HTTP status; 0 if there was no answer in time."""
        with contextlib.suppress(OSError, TimeoutError, ValueError, IndexError):
            async with asyncio.timeout(most_s):
                reader, writer = await asyncio.open_connection(*self.admin)
                writer.write(f"{method} {path} HTTP/1.1\r\nHost: door\r\n\r\n".encode())
                line = await reader.readline()
                writer.close()
                return int(line.split()[1])
        return 0

    async def term(self, process: Process) -> None:
        """End a process with SIGTERM. If it does not exit with 0 in time, record this and send SIGKILL."""
        process.signal(signal.SIGTERM)
        code = await process.wait(EXIT_TIMEOUT_S)
        if code != 0:
            self.records.ended.append(f"{process.name} ended with {code} after SIGTERM")
            process.signal(signal.SIGKILL)
            await process.wait(EXIT_TIMEOUT_S)

    async def terminate(
        self, process: Process, signals: Sequence[signal.Signals], kill_after_s: float
    ) -> bool:
        """Send a series of signals that includes SIGTERM, then SIGKILL as early as the platform sends it.

        The exit or the kill goes into the records. Returns True if the process had to be killed.
        """
        signalled = self.clock()
        for number in signals:
            process.signal(number)
        code = await process.wait(kill_after_s)
        ended = self.clock()
        if code is None:
            process.signal(signal.SIGKILL)
            await process.wait(EXIT_TIMEOUT_S)
        elif code != 0:
            self.records.ended.append(f"{process.name} ended with {code} after SIGTERM")
        end = SoakTermination(self.number, signalled, ended, code is None, self.held is not None)
        self.records.terminations.append(end)
        return code is None

    def close(self) -> None:
        """Close the listening socket if the lab owns it."""
        if self.held is not None:
            self.held.close()


def _ping() -> bytes:
    begin = fastcgi.BEGIN_BODY.pack(fastcgi.RESPONDER, 0)
    pairs = fastcgi.encode_pairs({b"SCRIPT_NAME": b"/ping"})
    kind = fastcgi.RecordType
    records = ((kind.BEGIN, begin), (kind.PARAMS, pairs), (kind.PARAMS, b""), (kind.STDIN, b""))
    return b"".join(fastcgi.encode_record(k, 1, content) for k, content in records)
