"""Stand-ins for the cases of the second review: platform, coordinator, caches and clients of one director.

Only the standard library is used. Every address is a loopback address; ports are free ones. A case starts the
director with the command `run` of the deploy file, as a process of its own.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import secrets
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
START_LIMIT_S = 30.0
PORTS = (20_000, 32_000)  # below the ports that the system gives to outgoing connections
MAX_PORT_TRIES = 1000
CROSSING_S = 0.05  # PROTOCOL: a request that crosses a close within 50 ms is sent again
HEADER = struct.Struct(">BBHHBx")
BEGIN, ABORT, END, PARAMS, STDIN, STDOUT = 1, 2, 3, 4, 5, 6


class CaseError(Exception):
    """The case could not run: a part of its set-up failed."""


def has_trouble() -> bool:
    """Return whether the case plays its disruption (`TROUBLE=0` leaves it out)."""
    return os.environ.get("TROUBLE", "1") != "0"


_given_ports: set[int] = set()


def free_port() -> int:
    """Return a loopback port that is free for TCP and UDP, and that no outgoing connection is given."""
    for _ in range(MAX_PORT_TRIES):
        port = random.randint(*PORTS)
        if port in _given_ports:
            continue
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as sock:
                    sock.bind(("127.0.0.1", port))
        except OSError:
            continue
        _given_ports.add(port)
        return port
    raise CaseError("no free port")


class Record:
    """The file `record.txt` of a case: what was sent, answered and run, with times since the start."""

    def __init__(self, folder: Path) -> None:
        self.lines: list[str] = []
        self.path = folder / "record.txt"
        self.started_s = time.monotonic()

    def add(self, text: str) -> None:
        """Add one line."""
        self.lines.append(f"{time.monotonic() - self.started_s:8.3f} {text}")

    def write(self) -> None:
        """Write all lines to the file."""
        self.path.write_text("\n".join(self.lines) + "\n")


# ---- the platform ------------------------------------------------------------------------------------------


@dataclass
class Row:
    """One member of the coordinator's list."""

    name: str
    address: str
    zone: str
    kind: str
    state: str = "SERVING"
    weight: float = 8.0
    started_ms: int = 0

    def document(self) -> dict[str, Any]:
        """Return the row as the coordinator writes it."""
        return {
            "id": self.name,
            "addr": self.address,
            "zone": self.zone,
            "kind": self.kind,
            "cell": 0,
            "state": self.state,
            "weight": self.weight,
            "started_ms": self.started_ms,
        }


def settings() -> dict[str, Any]:
    """Return the settings of a small deployment: figures of the site `depot-cache`."""
    return {
        "az": "edge-1",
        "instances": 1,
        "self_index": 0,
        "quantum_us": 2000,
        "kinds": ["box", "parent", "origin"],
        "zones": ["hub", "edge-1"],
        "weights": "nominal",
        "discovery": "automatic",
        "clients": {"marks_retry": True},
        "grades": [
            {
                "name": "site-video",
                "repeat": "free",
                "slo_us": 600_000,
                "deadline_us": 5_000_000,
                "aim_stretch": 1.6,
                "worth": 2.0,
                "group": "all",
            },
            {
                "name": "job-sheet",
                "repeat": "free",
                "slo_us": 300_000,
                "deadline_us": 3_000_000,
                "aim_stretch": 2.0,
                "worth": 1.0,
                "group": "all",
            },
            {
                "name": "booking",
                "repeat": "single_shot",
                "slo_us": 600_000,
                "deadline_us": 3_000_000,
                "worth": 3.0,
                "group": "all",
            },
        ],
        "family_info": {
            "class_write": [False, False, True],
            "lifetime_by_class_us": [0, 12_000_000, 0],
            "usable_after_us": [0, 0, 0],
            "second_tier_kind": 1,
            "source_kind": 2,
            "zone_balancers": [0, 1],
            "zone_hub": [0, 0],
            "parent_floor": 0.068,
            "upper_cold_us": 20_000_000,
            "parent_fall_multiple": 2.0,
            "purge_settles_us": 6_000_000,
            "purge_slack_us": 1_000_000,
            "pace_kb_per_s": 6900.0,
            "zone_link_kb_per_s": [0.0, 56_000.0],
            "lateral": "any",
            "bypass_allowed": True,
            "detail": "all",
            "segmented": [True, False, False],
        },
        "policy_limits": {
            "attempts_cap": 6,
            "cancel": True,
            "probes": True,
            "second_copies": True,
            "retry_after": True,
            "max_retry_after_us": 500_000,
            "connect_timeout_us": 400_000,
            "conn_idle_us": 15_000_000,
            "streams_per_conn": 100,
        },
        "rules": {
            "start_capacity": 0.18,
            "cold_us": 17_000_000,
            "tip_multiple": 4,
            "fall_us": 3_000_000,
            "drain_grace_us": 500_000,
            "grace_to_answer_us": 8000,
        },
        "report": {"names": ["load_share", "x0", "x1"], "source": "on_probe"},
    }


def deploy_command(name: str) -> str:
    """Return a command of the deploy file."""
    return str(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())[name])


class Platform:
    """The folder, the processes and the addresses of one case; ends all that it started."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="onyxwick-case-"))
        self.processes: list[subprocess.Popen[bytes]] = []
        self.client_port = free_port()
        self.admin_port = free_port()

    def write_config(self, coordinator: str, rows: list[Row], **more: Any) -> Path:
        """Write the director's configuration and return its path."""
        limits = more.pop("limits", {"cores": 1.0, "memory_mb": 192, "sockets": 1024})
        first = {
            "index": 1,
            "endpoints": {"version": 1, "full": True, "servers": [r.document() for r in rows]},
        }
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.client_port}",
            "seed": "8c1f30d27a5be964",
            "limits": limits,
            "coordinator": coordinator,
            "admin": f"127.0.0.1:{self.admin_port}",
            "known": {"index": 1, "updates": [first]},
            "settings": settings(),
            **more,
        }
        path = self.folder / "config.json"
        path.write_text(json.dumps(config))
        return path

    def start_director(self, config: Path, service: Path | None = None, log: str = "director.log") -> int:
        """Start the command `run`; return the process id of the director."""
        temporary = self.folder / "tmp"
        temporary.mkdir(exist_ok=True)
        environment = {
            **os.environ,
            "RELAY_CONFIG": str(config),
            "TMPDIR": str(temporary),
            "PYTHONDONTWRITEBYTECODE": "1",
            "PYTHONUNBUFFERED": "1",
        }
        environment["ONYXWICK_SERVICE"] = str(service) if service else str(self.folder / "no-service.hcl")
        if service is not None:
            environment["PYTHONPATH"] = str(LAB)
        with (self.folder / log).open("ab") as stream:
            process = subprocess.Popen(
                ["/bin/sh", "-c", deploy_command("run")],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=stream,
                stderr=stream,
            )
        self.processes.append(process)
        self.record.add(f"director started, process {process.pid}")
        return process.pid

    def log_text(self, log: str = "director.log") -> str:
        """Return what the director has logged."""
        path = self.folder / log
        return path.read_text(errors="replace") if path.exists() else ""

    def is_running(self) -> bool:
        """Return whether the last started process still runs."""
        return self.processes[-1].poll() is None

    async def wait_ready(self, limit_s: float = 10.0) -> None:
        """Wait until the director answers `/ping` with status 200."""
        deadline_s = time.monotonic() + limit_s
        while time.monotonic() < deadline_s:
            if not self.is_running():
                break
            with contextlib.suppress(OSError, asyncio.TimeoutError, EOFError):
                client = await Client.connect(self.client_port)
                call = client.send({"SCRIPT_NAME": "/ping"})
                async with asyncio.timeout(1.0):
                    await call.done.wait()
                client.close()
                if call.status == 200:
                    self.record.add("director ready")
                    return
            await asyncio.sleep(0.05)
        raise CaseError(f"the director was not ready within {limit_s} s: {self.log_text()[-2000:]}")

    def end(self) -> None:
        """End all processes that this case started, and remove its folder."""
        for process in self.processes:
            if process.poll() is None:
                process.terminate()
        deadline_s = time.monotonic() + 5.0
        for process in self.processes:
            try:
                process.wait(max(0.1, deadline_s - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


def signal_process(pid: int, number: signal.Signals) -> None:
    """Send a signal to a process of this case."""
    os.kill(pid, number)


class Coordinator:
    """A sound coordinator: numbered events, sent to each follower at once; the last number each second."""

    def __init__(self, record: Record, rows: list[Row]) -> None:
        self.record = record
        self.rows = rows
        self.events: list[str] = []  # the first has number 2: the configuration holds number 1
        self.port = free_port()
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Return where directors connect."""
        return f"127.0.0.1:{self.port}"

    @property
    def last_index(self) -> int:
        """Return the number of the last event."""
        return 1 + len(self.events)

    async def start(self) -> None:
        """Listen for directors."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    def close(self) -> None:
        """Close the listening socket and all connections."""
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.close()

    def tell(self, event: dict[str, Any]) -> int:
        """Take in an event and send it to all followers; return its number."""
        index = self.last_index + 1
        self.events.append(json.dumps({"index": index, **event}))
        self.record.add(f"coordinator told of event {self.events[-1]}")
        for writer in self.writers:
            writer.write(self.events[-1].encode() + b"\n")
        return index

    def tell_state(self, row: Row, state: str) -> int:
        """Take in a change of one member's state."""
        row.state = state
        return self.tell(
            {"endpoints": {"version": self.last_index, "full": False, "servers": [row.document()]}}
        )

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            line = await reader.readline()
            number = int(line.split()[1])
            for event in self.events[number - 1 :]:
                writer.write(event.encode() + b"\n")
            self.writers.add(writer)
            while True:
                writer.write(b"%d\n" % self.last_index)
                await writer.drain()
                await asyncio.sleep(1.0)
        except (OSError, ValueError, IndexError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


# ---- caches ------------------------------------------------------------------------------------------------


@dataclass
class CacheCall:
    """One request at a cache."""

    cache: str
    request_id: str
    fields: dict[str, str]
    body: bytes
    at_s: float = field(default_factory=time.monotonic)


Reply = tuple[str, str, bytes]
Answerer = Callable[[CacheCall], Awaitable[Reply | None]]


class Cache:
    """A sound cache, parent or origin. `answer` gives word, fields and body, or None for no answer."""

    def __init__(self, record: Record, name: str, answer: Answerer) -> None:
        self.record = record
        self.name = name
        self.answer = answer
        self.port = free_port()
        self.calls: list[CacheCall] = []
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen for the director."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    def row(self, zone: str, kind: str) -> Row:
        """Return the row of this cache in the coordinator's list."""
        return Row(self.name, f"127.0.0.1:{self.port}", zone, kind)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        tasks: dict[bytes, asyncio.Task[None]] = {}
        try:
            while True:
                words = await _read_array(reader)
                if words[0] == b"REQ":
                    fields = dict(pair.split("=", 1) for pair in words[2].decode().split(","))
                    call = CacheCall(self.name, words[1].decode(), fields, words[3])
                    self.calls.append(call)
                    self.record.add(f"{self.name} got {call.request_id} {words[2].decode()}")
                    tasks[words[1]] = asyncio.create_task(self._answer(call, writer))
                elif words[0] == b"STOP":
                    if task := tasks.pop(words[1], None):
                        task.cancel()
                else:
                    _write_array(writer, words[1], b"well", b"load=util:0.2;x0:0.5;x1:0.1", b"")
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            for task in tasks.values():
                task.cancel()
            writer.close()

    async def _answer(self, call: CacheCall, writer: asyncio.StreamWriter) -> None:
        reply = await self.answer(call)
        if reply is not None:
            word, fields, body = reply
            _write_array(writer, call.request_id.encode(), word.encode(), fields.encode(), body)
            self.record.add(f"{self.name} answered {call.request_id} {word} {len(body)} bytes")


async def _read_array(reader: asyncio.StreamReader) -> list[bytes]:
    count = int((await reader.readuntil(b"\r\n"))[1:-2])
    words = []
    for _ in range(count):
        size = int((await reader.readuntil(b"\r\n"))[1:-2])
        words.append((await reader.readexactly(size + 2))[:-2])
    return words


def _write_array(writer: asyncio.StreamWriter, *words: bytes) -> None:
    parts = [b"*%d\r\n" % len(words)]
    parts += [b"$%d\r\n%b\r\n" % (len(word), word) for word in words]
    writer.write(b"".join(parts))


def data_fields(etag: str = "4be0c1927d55a6f3", note: str = "HIT") -> str:
    """Return the fields of a good answer whose copy the origin gave out now."""
    return f"digest={etag},dated={time.time_ns() // 1_000_000},note={note},first=0"


# ---- clients -----------------------------------------------------------------------------------------------


@dataclass
class Call:
    """One request of a client and what came back for it."""

    number: int
    params: dict[str, str]
    sent_s: float
    received: bytearray = field(default_factory=bytearray)
    done: asyncio.Event = field(default_factory=asyncio.Event)
    ends: int = 0
    end_status: int = 0
    was_sent: bool = True
    """False if the connection had ended before the request was sent."""
    lost: bool = False
    """The connection ended without a whole answer."""
    done_s: float = 0.0

    def crossed_end(self, ended_s: float) -> bool:
        """Return whether the request was sent too late to be lost by the connection's end at `ended_s`.

        A request that crosses a close within 50 ms is sent again.
        """
        return bool(ended_s) and ended_s - self.sent_s <= CROSSING_S

    @property
    def status(self) -> int:
        """Return the answer's status; 0 without one, 503 for the protocol status OVERLOADED."""
        if self.ends and self.end_status == 2:
            return 503
        head, separator, _ = bytes(self.received).partition(b"\r\n\r\n")
        if not (self.ends and separator):
            return 0
        for line in head.split(b"\r\n"):
            if line.lower().startswith(b"status:"):
                return int(line.split()[1])
        return 200

    @property
    def body(self) -> bytes:
        """Return the body of the answer."""
        return bytes(self.received).partition(b"\r\n\r\n")[2]


def record_bytes(kind: int, number: int, content: bytes) -> bytes:
    """Return one FastCGI record."""
    padding = -len(content) % 8
    return HEADER.pack(1, kind, number, len(content), padding) + content + bytes(padding)


def pair_bytes(params: dict[str, str]) -> bytes:
    """Return name-value pairs of FastCGI."""

    def length(size: int) -> bytes:
        return bytes([size]) if size < 128 else (size | 0x80000000).to_bytes(4, "big")

    items = [(name.encode(), value.encode()) for name, value in params.items()]
    return b"".join(length(len(n)) + length(len(v)) + n + v for n, v in items)


def call_params(class_name: str, object_id: str, timeout_ms: int, **more: str) -> dict[str, str]:
    """Return the parameters of a request with a new id."""
    return {
        "SCRIPT_NAME": f"/call/{class_name}",
        "HTTP_X_REQUEST_ID": secrets.token_hex(8),
        "HTTP_X_TIMEOUT_MS": str(timeout_ms),
        "HTTP_X_OBJECT": object_id,
        "HTTP_X_BATCH": "17",
        **more,
    }


class Client:
    """One connection of the front's web servers. `bytes_per_s` bounds how fast it reads; 0: not bounded."""

    def __init__(self, sock: socket.socket, bytes_per_s: int) -> None:
        self.sock = sock
        self.bytes_per_s = bytes_per_s
        self.calls: dict[int, Call] = {}  # the latest of each number
        self.all_calls: list[Call] = []
        self.ended_s = 0.0  # when the director's end of stream or a reset was seen
        self.end_reason = ""
        self.unexpected = 0  # answers to no open request
        self._buffer = bytearray()
        self._number = 0
        self._sending: asyncio.Task[None] | None = None
        self._task = asyncio.create_task(self._read())

    @classmethod
    async def connect(cls, port: int, bytes_per_s: int = 0, receive_buffer: int = 0) -> Client:
        """Connect to the director."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        if receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            async with asyncio.timeout(2.0):
                await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
        except BaseException:
            sock.close()
            raise
        return cls(sock, bytes_per_s)

    def open_count(self) -> int:
        """Return how many requests have no whole answer yet."""
        return sum(not call.done.is_set() for call in self.all_calls)

    def send(self, params: dict[str, str], body: bytes = b"") -> Call:
        """Send one request whole, and return it."""
        self._number += 1
        number = self._number
        call = Call(number, params, time.monotonic())
        self.calls[number] = call
        self.all_calls.append(call)
        content = [
            record_bytes(BEGIN, number, struct.pack(">HB5x", 1, 1)),
            record_bytes(PARAMS, number, pair_bytes(params)),
            record_bytes(PARAMS, number, b""),
        ]
        if body:
            content.append(record_bytes(STDIN, number, body))
        content.append(record_bytes(STDIN, number, b""))
        if self.ended_s:
            call.was_sent = False
            call.lost = True
            call.done.set()
            return call
        self.send_raw(b"".join(content))
        return call

    def send_raw(self, data: bytes) -> None:
        """Send bytes at once; what the socket does not take is dropped with the connection."""
        try:
            sent = self.sock.send(data)
        except OSError as error:
            self._end(f"send failed: {error!r}")
            return
        if sent < len(data):
            self._sending = asyncio.create_task(self._send_rest(data[sent:]))

    async def _send_rest(self, data: bytes) -> None:
        with contextlib.suppress(OSError):
            await asyncio.get_running_loop().sock_sendall(self.sock, data)

    async def _read(self) -> None:
        loop = asyncio.get_running_loop()
        started_s = time.monotonic()
        taken = 0
        try:
            while True:
                size = 65_536
                if self.bytes_per_s:
                    size = max(1, min(size, self.bytes_per_s // 100))
                    allowed_s = started_s + taken / self.bytes_per_s
                    delay_s = allowed_s - time.monotonic()
                    if delay_s > 0:
                        await asyncio.sleep(delay_s)
                    elif delay_s < -0.05:  # a client that had nothing to read does not catch up
                        started_s -= delay_s
                data = await loop.sock_recv(self.sock, size)
                if not data:
                    self._end("end of stream")
                    return
                taken += len(data)
                self._buffer += data
                self._parse()
        except OSError as error:
            self._end(repr(error))

    def _parse(self) -> None:
        while len(self._buffer) >= HEADER.size:
            _, kind, number, size, padding = HEADER.unpack_from(self._buffer)
            end = HEADER.size + size + padding
            if len(self._buffer) < end:
                return
            content = bytes(self._buffer[HEADER.size : HEADER.size + size])
            del self._buffer[:end]
            call = self.calls.get(number)
            if call is None or call.ends:
                self.unexpected += 1
            if call is None:
                continue
            if kind == STDOUT:
                call.received += content
            elif kind == END:
                call.ends += 1
                call.end_status = content[4]
                call.done_s = time.monotonic()
                call.done.set()

    def _end(self, reason: str) -> None:
        if self.ended_s:
            return
        self.ended_s = time.monotonic()
        self.end_reason = reason
        for call in self.all_calls:
            if not call.done.is_set():
                call.lost = True
                call.done.set()

    def close(self) -> None:
        """Close the connection from the client's side."""
        self._task.cancel()
        if self.sock.fileno() >= 0:
            asyncio.get_running_loop().remove_reader(self.sock.fileno())
            asyncio.get_running_loop().remove_writer(self.sock.fileno())
        self.sock.close()


async def operator_call(port: int, method: str, path: str) -> int:
    """Make one call at the operations endpoint; return its HTTP status."""
    caller = await ApiCaller.connect(port)
    try:
        caller.send(method, path)
        async with asyncio.timeout(1.0):
            return (await caller.answer()).status
    finally:
        caller.close()


# ---- callers of the administration API ---------------------------------------------------------------------


@dataclass(frozen=True)
class ApiAnswer:
    """An answer of an HTTP interface; status 0 if the connection ended without one."""

    status: int
    text: str


class ApiCaller:
    """One connection to an HTTP interface of the director."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, port: int) -> ApiCaller:
        """Connect to a loopback port."""
        return cls(*await asyncio.open_connection("127.0.0.1", port))

    def send(self, method: str, path: str, data: object = None, token: str = "", key: str = "") -> None:
        """Send one call. `key` is its `Idempotency-Key`."""
        body = b"" if data is None else json.dumps(data).encode()
        lines = [f"{method} {path} HTTP/1.1", "Host: director", f"Content-Length: {len(body)}"]
        if token:
            lines.append(f"Authorization: Bearer {token}")
        if key:
            lines.append(f"Idempotency-Key: {key}")
        self.writer.write("\r\n".join([*lines, "", ""]).encode() + body)

    async def answer(self) -> ApiAnswer:
        """Wait for the answer to a call."""
        try:
            line = await self.reader.readline()
            if not line:
                return ApiAnswer(0, "the connection ended")
            size = 0
            while (header := await self.reader.readline()).strip():
                name, _, value = header.partition(b":")
                if name.lower() == b"content-length":
                    size = int(value)
            text = (await self.reader.readexactly(size)).decode()
        except (OSError, asyncio.IncompleteReadError) as error:
            return ApiAnswer(0, repr(error))
        return ApiAnswer(int(line.split()[1]), text.strip())

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


async def api_call(
    record: Record, port: int, method: str, path: str, data: object = None, token: str = "", key: str = ""
) -> ApiAnswer:
    """Make one call on a connection of its own, and record it with its answer."""
    caller = await ApiCaller.connect(port)
    try:
        caller.send(method, path, data, token, key)
        async with asyncio.timeout(10.0):
            answer = await caller.answer()
    finally:
        caller.close()
    with_key = f" with Idempotency-Key {key}" if key else ""
    record.add(f"API: {method} {path}{with_key}: {answer.status} {answer.text[:200]}")
    return answer


LAB = ROOT / "review" / "build" / "lab"
"""Where `build-2.sh` puts the libraries that the store needs (requirements-lab.txt)."""
OPERATOR_TOKEN = "token-of-the-operator-0123"
ZONE_HEAD = "$TTL 300\n@ SOA ns hostmaster 1 3600 600 86400 60\n@ NS ns\nns A 127.0.0.1\n"


def write_service(platform: Platform, *tenants: str) -> tuple[Path, int]:
    """Write a service file with the administration API, a store and tenants; return it and the API's port.

    The token of a tenant is that of `tenant_token`.
    """
    folder = platform.folder
    port = free_port()
    (folder / "operator.token").write_text(OPERATOR_TOKEN)
    key = base64.urlsafe_b64encode(secrets.token_bytes(32)).decode()
    (folder / "store.keys").write_text(key + "\n")
    (folder / "store").mkdir()
    blocks = [
        f'admin {{\n  listen     = "127.0.0.1:{port}"\n  token_file = "operator.token"\n}}',
        'store {\n  folder       = "store"\n  key_file     = "store.keys"\n  installation = "depot-north"\n}',
    ]
    blocks += [f'tenant "{name}" {{\n  token = "{tenant_token(name)}"\n}}' for name in tenants]
    path = folder / "service.hcl"
    path.write_text("\n".join(blocks) + "\n")
    return path, port


def tenant_token(name: str) -> str:
    """Return the token of a tenant."""
    return f"token-of-tenant-{name}-0123456789"


# ---- one small deployment ----------------------------------------------------------------------------------


class Deployment:
    """Three boxes, a parent, the origin, a coordinator and one director, as a case needs them."""

    def __init__(self, record: Record, answer: Answerer) -> None:
        self.record = record
        self.platform = Platform(record)
        self.boxes = [Cache(record, f"c{number}", answer) for number in range(3)]
        self.parent = Cache(record, "p0", answer)
        self.origin = Cache(record, "o0", answer)
        self.rows: list[Row] = []
        self.coordinator: Coordinator | None = None
        self.config = Path()

    async def start_peers(self, **config: Any) -> None:
        """Start all stand-ins and write the director's configuration."""
        for cache in (*self.boxes, self.parent, self.origin):
            await cache.start()
        self.rows = [box.row("edge-1", "box") for box in self.boxes]
        self.rows += [self.parent.row("hub", "parent"), self.origin.row("hub", "origin")]
        self.coordinator = Coordinator(self.record, self.rows)
        await self.coordinator.start()
        self.config = self.platform.write_config(self.coordinator.address, self.rows, **config)

    async def restart(self, service: Path) -> bool:
        """Restart the director as planned; return whether the next process is ready within 30 s."""
        platform = self.platform
        first = platform.processes[-1]
        first.terminate()
        self.record.add(f"SIGTERM sent; exit status {await asyncio.to_thread(first.wait, 20)}")
        platform.start_director(self.config, service, log="second.log")
        try:
            await platform.wait_ready(START_LIMIT_S)
            return True
        except CaseError:
            self.record.add(f"the next process is not ready; exit status {platform.processes[-1].poll()}")
            last_line = platform.log_text("second.log").strip().splitlines()[-1]
            self.record.add(f"the last words of its log: {last_line[-160:]}")
            return False

    def end(self) -> None:
        """End all processes, and close the coordinator."""
        self.platform.end()
        if self.coordinator is not None:
            self.coordinator.close()


def run_case(case: Callable[[Record], Awaitable[bool]], folder: Path, limit_s: float = 100.0) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(folder)
    signal.signal(signal.SIGTERM, _on_sigterm)

    async def limited() -> bool:
        async with asyncio.timeout(limit_s):
            return await case(record)

    status = COULD_NOT_RUN
    try:
        status = BROKEN if asyncio.run(limited()) else HELD
    except Exception as error:  # whatever went wrong, the case did not run
        record.add(f"the case could not run: {error!r}")
        traceback.print_exc()
    finally:
        verdicts = {HELD: "the rule held", BROKEN: "the rule was broken", COULD_NOT_RUN: "did not run"}
        record.add(verdicts[status])
        record.write()
        for line in record.lines[-2:]:
            print(line.strip())
    sys.exit(status)


def _on_sigterm(number: int, frame: object) -> None:
    """End the case in order, so that its processes are ended too."""
    sys.exit(COULD_NOT_RUN)
