"""Stand-ins of the clients' front, the caches and the coordinator, and the start of one director.

Written from PROTOCOL, DEPLOY and the operations pages with the standard library alone. Times are Unix
seconds of the system's clock, unless a name says otherwise. Every address is a loopback address.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import logging
import os
import secrets
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "127.0.0.1"
LOGGED = ("feed state changed", "shutdown stage", "violat", "front closed", "memory held")
"""What of the director's log goes into the record of a run."""
logging.getLogger("asyncio").setLevel(logging.CRITICAL)  # a peer that has left is no error of a stand-in


class NotRunError(Exception):
    """The case could not run: it says nothing of the rule."""


# ---- the record of a run -----------------------------------------------------------------------------------


class Record:
    """Writes `record.txt`: each line has the seconds since the start of the run."""

    def __init__(self, folder: Path) -> None:
        self.started = time.time()
        self.file = (folder / "record.txt").open("w")

    def __call__(self, *words: object) -> None:
        self.file.write(f"{time.time() - self.started:9.4f} " + " ".join(str(word) for word in words) + "\n")

    def at(self, moment: float) -> str:
        return f"{moment - self.started:.3f}"


# ---- addresses ---------------------------------------------------------------------------------------------


def free_port() -> int:
    """Return a port that is free now, for a program that binds it itself."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


# ---- RESP: directors to caches -----------------------------------------------------------------------------


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    head = await reader.readuntil(b"\r\n")
    words = []
    for _ in range(int(head[1:])):
        size = int((await reader.readuntil(b"\r\n"))[1:])
        words.append((await reader.readexactly(size + 2))[:-2])
    return words


def encode_array(*words: bytes) -> bytes:
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


@dataclass
class Received:
    """One request as a cache received it."""

    at: float
    server: str
    request_id: str
    fields: dict[str, str]


Answer = tuple[bytes, str, bytes]
"""Word, fields and body of an answer."""


class Server:
    """A cache, a relay store (parent) or the head office archive (origin).

    `answer` returns the answer to a request, or None for no answer. STOP gives a request up: it is then not
    answered, as the pages say.
    """

    def __init__(self, name: str, zone: str, kind: str, record: Record) -> None:
        self.name, self.zone, self.kind, self.record = name, zone, kind, record
        self.received: list[Received] = []
        self.logs_requests = True
        self.answer: Callable[[Received], Awaitable[Answer | None]] = self.sound_answer
        self.port = 0

    async def sound_answer(self, request: Received) -> Answer | None:
        await asyncio.sleep(0.02)
        return data_answer(self.name.encode(), int(time.time() * 1000))

    def _log(self, text: str) -> None:
        if self.logs_requests:
            self.record(f"server {self.name} {text}")

    async def start(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, port)
        self.port = self.server.sockets[0].getsockname()[1]

    def row(self, state: str = "SERVING") -> dict[str, object]:
        return {
            "id": self.name, "addr": f"{HOST}:{self.port}", "zone": self.zone, "kind": self.kind, "cell": 0,
            "state": state, "weight": 1.0, "started_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        tasks: dict[bytes, asyncio.Task[None]] = {}
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                words = await read_command(reader)
                if words[0] == b"REQ":
                    pairs = [pair.split("=", 1) for pair in words[2].decode().split(",") if "=" in pair]
                    request = Received(time.time(), self.name, words[1].decode(), dict(pairs))
                    self.received.append(request)
                    self._log(f"got REQ {request.request_id} {words[2].decode()}")
                    tasks[words[1]] = asyncio.create_task(self._run(request, writer))
                elif words[0] == b"STOP":
                    self._log(f"got STOP {words[1].decode()}")
                    if (task := tasks.pop(words[1], None)) is not None:
                        task.cancel()
                else:
                    writer.write(encode_array(words[1], b"well", b"load=load_share:0.1", b""))
        for task in tasks.values():  # a closed connection gives up everything open on it
            task.cancel()
        writer.close()

    async def _run(self, request: Received, writer: asyncio.StreamWriter) -> None:
        answer = await self.answer(request)
        if answer is None:
            return
        word, fields, body = answer
        self._log(f"answers {request.request_id} {word.decode()} {fields}")
        with contextlib.suppress(ConnectionError):
            writer.write(encode_array(request.request_id.encode(), word, fields.encode(), body))


def data_answer(body: bytes, dated_ms: int, note: str = "HIT") -> Answer:
    return b"data", f"digest={dated_ms:016x},dated={dated_ms},note={note}", body


# ---- the coordinator ---------------------------------------------------------------------------------------


class Coordinator:
    """Holds numbered events and tells them to directors that follow. Numbers continue over an outage."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.events: list[str] = []  # event N of the feed is events[N - 2]; event 1 is in the configuration
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.port = 0
        self.breaks_off_at: int | None = None  # the event of which half is written before a break
        self.broke_off = 0.0  # when it did
        self.is_silent = False  # connections are accepted and stay open, and nothing is written

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def last_index(self) -> int:
        return 1 + len(self.events)

    def add(self, **change: object) -> int:
        """Put an event into the coordinator; return its number. Connected directors are told at once."""
        index = self.last_index + 1
        self.events.append(json.dumps({"index": index, **change}, separators=(",", ":")))
        self.record(f"coordinator has event {self.events[-1]}")
        return index

    async def stop(self) -> None:
        """Refuse connections, and close those that are open."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.close()
        self.writers.clear()
        self.record("coordinator is down: connections are closed, new ones refused")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            if self.is_silent:
                self.record("coordinator accepts a connection and stays silent")
            line = await reader.readline()
            told = int(line.split()[1])
            self.record(f"coordinator gets {line.decode().strip()}" + (" (silent)" if self.is_silent else ""))
            next_number_at = 0.0
            while writer in self.writers:
                if not self.is_silent:
                    while told < self.last_index:
                        event = self.events[told - 1]
                        told += 1
                        if told == self.breaks_off_at:
                            writer.write(event[: len(event) // 2].encode())
                            await writer.drain()
                            self.record(f"coordinator writes half of event {told}")
                            await asyncio.sleep(0.05)
                            self.breaks_off_at = None
                            self.broke_off = time.time()
                            await self.stop()
                            return
                        writer.write(event.encode() + b"\n")
                        self.record(f"coordinator tells event {told}")
                    if time.monotonic() >= next_number_at:
                        writer.write(b'{"index":%d}\n' % self.last_index)
                        next_number_at = time.monotonic() + 1.0
                await asyncio.sleep(0.005)
        except (ConnectionError, IndexError, ValueError, asyncio.CancelledError):
            pass  # the director has left, or the case has ended
        finally:
            self.writers.discard(writer)
            writer.close()


# ---- FastCGI: clients to directors -------------------------------------------------------------------------

BEGIN, ABORT, END, PARAMS, STDIN, STDOUT = 1, 2, 3, 4, 5, 6
OVERLOADED = 2


def _encode_record(kind: int, number: int, content: bytes) -> bytes:
    return struct.pack(">BBHHBx", 1, kind, number, len(content), 0) + content


def _encode_pairs(pairs: dict[str, str]) -> bytes:
    out = b""
    for name, value in pairs.items():
        for text in (name, value):
            out += bytes([len(text)]) if len(text) < 128 else struct.pack(">I", len(text) | 1 << 31)
        out += name.encode() + value.encode()
    return out


def encode_call(number: int, pairs: dict[str, str], body: bytes) -> bytes:
    """Encode a complete request with the flag KEEP_CONN."""
    records = [_encode_record(BEGIN, number, struct.pack(">HB5x", 1, 1))]
    records += [_encode_record(PARAMS, number, _encode_pairs(pairs)), _encode_record(PARAMS, number, b"")]
    if body:
        records.append(_encode_record(STDIN, number, body))
    return b"".join((*records, _encode_record(STDIN, number, b"")))


@dataclass
class Request:
    """One request of a client and what became of it."""

    request_id: str
    class_name: str
    object_id: str
    timeout_s: float
    sent: float = 0.0
    ended: float = 0.0
    outcome: str = ""  # served, refused, failed, closed, reset; empty: no answer
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    on_connection: int = 0
    done: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def deadline(self) -> float:
        return self.sent + self.timeout_s


class FrontConnection:
    """One connection of the front's web servers: KEEP_CONN, up to 32 open requests."""

    numbers = itertools.count(1)

    def __init__(self, record: Record) -> None:
        self.record = record
        self.number = next(self.numbers)
        self.open: dict[int, Request] = {}
        self.output: dict[int, bytes] = {}
        self.next_id = itertools.cycle(range(1, 33))
        self.is_closed = False
        self.opened = self.closed_at = self.last_used = time.time()

    async def connect(self, port: int) -> FrontConnection:
        self.reader, self.writer = await asyncio.open_connection(HOST, port)
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.task = asyncio.create_task(self._read())
        return self

    def send(self, request: Request, path: str, params: dict[str, str], body: bytes = b"") -> None:
        number = next(each for each in self.next_id if each not in self.open)
        self.open[number] = request
        self.output[number] = b""
        request.on_connection = self.number
        records = encode_call(number, {"SCRIPT_NAME": path, **params}, body)
        request.sent = self.last_used = time.time()
        self.writer.write(records)

    async def _read(self) -> None:
        how = "closed"
        try:
            while True:
                head = await self.reader.readexactly(8)
                _, kind, number, size, padding = struct.unpack(">BBHHBx", head)
                content = (await self.reader.readexactly(size + padding))[:size]
                if kind == STDOUT and number in self.output:
                    self.output[number] += content
                elif kind == END and number in self.open:
                    self._end(number, content)
        except asyncio.IncompleteReadError:
            pass
        except ConnectionError:
            how = "reset"
        self.is_closed = True
        self.closed_at = time.time()
        for request in self.open.values():
            request.outcome = how
            request.ended = self.closed_at
            request.done.set()
            self.record(f"client: connection {self.number} {how} under {request.request_id} {request.class_name}")
        self.open = {}
        self.writer.close()

    def _end(self, number: int, content: bytes) -> None:
        request = self.open.pop(number)
        head, _, request.body = self.output.pop(number).partition(b"\r\n\r\n")
        lines = [line.partition(": ") for line in head.decode("latin-1").split("\r\n") if line]
        request.headers = {name: value for name, _, value in lines}
        status = request.headers.get("Status", "")[:3]
        overloaded = content[4] == OVERLOADED
        request.outcome = "served" if status == "200" else "failed"
        if status in ("429", "503") or overloaded:
            request.outcome = "refused"
        request.ended = self.last_used = time.time()
        request.done.set()
        self.record(
            f"client: {request.request_id} {request.class_name} {request.outcome} "
            f"after {request.ended - request.sent:.3f} s {request.headers.get('ETag', '')}"
        )


def new_request(class_name: str, object_id: str, timeout_s: float) -> Request:
    return Request(secrets.token_hex(8), class_name, object_id, timeout_s)


def call_params(request: Request, group: int = 1, part: int = 0) -> dict[str, str]:
    return {
        "HTTP_X_REQUEST_ID": request.request_id,
        "HTTP_X_TIMEOUT_MS": str(int(request.timeout_s * 1000)),
        "HTTP_X_OBJECT": request.object_id,
        "HTTP_X_NTH": str(part),
        "HTTP_X_BATCH": str(group),
    }


def send_call(
    connection: FrontConnection, class_name: str, object_id: str, timeout_s: float, group: int = 1,
    body: bytes = b"",
) -> Request:
    """Send one request on an open connection."""
    request = new_request(class_name, object_id, timeout_s)
    params = call_params(request, group)
    if body:
        params["CONTENT_LENGTH"] = str(len(body))
    connection.record(
        f"client: sends {request.request_id} {class_name} object {object_id} on connection {connection.number}"
    )
    connection.send(request, f"/call/{class_name}", params, body)
    return request


# ---- the operators' door -----------------------------------------------------------------------------------


async def operator_call(port: int, method: str, path: str) -> int:
    """Make one call and return its status; 0 if there is no answer within 1 s."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 0\r\n\r\n".encode())
            line = await reader.readline()
            writer.close()
            return int(line.split()[1])
    except (OSError, TimeoutError, IndexError, ValueError):
        return 0


# ---- the director ------------------------------------------------------------------------------------------


def settings() -> dict[str, object]:
    """Settings of a small deployment, with the figures of BRIEF and of the site file of depot-cache."""
    return {
        "az": "edge-1", "instances": 1, "self_index": 0, "kinds": ["box", "parent", "origin"],
        "zones": ["hub", "edge-1"], "weights": "off", "discovery": "automatic", "quantum_us": 1000,
        "grades": [
            {"name": "site-video", "repeat": "free", "slo_us": 600000, "deadline_us": 5000000,
             "aim_stretch": 1.6, "worth": 2.0, "group": "all"},
            {"name": "job-sheet", "repeat": "free", "slo_us": 300000, "deadline_us": 3000000,
             "aim_stretch": 2.0, "worth": 1.0, "group": "all"},
            {"name": "booking", "repeat": "single_shot", "slo_us": 600000, "deadline_us": 3000000,
             "worth": 3.0, "group": "all"},
        ],
        "family_info": {
            "class_write": [False, False, True], "lifetime_by_class_us": [0, 12000000, 0],
            "usable_after_us": [0, 0, 0], "segmented": [True, False, False],
            "second_tier_kind": 1, "source_kind": 2, "zone_balancers": [0, 1],
            "parent_floor": 0.068, "upper_cold_us": 20000000, "parent_fall_multiple": 2.0,
            "purge_settles_us": 6000000, "purge_slack_us": 1000000, "pace_kb_per_s": 6900.0,
            "zone_link_kb_per_s": [0.0, 56000.0], "lateral": "any", "bypass_allowed": True,
            "shares_fills": False, "detail": "all",
        },
        "policy_limits": {
            "attempts_cap": 6, "cancel": True, "second_copies": True, "retry_after": True,
            "max_retry_after_us": 500000, "connect_timeout_us": 400000, "conn_idle_us": 30000000,
            "probes": True,
        },
        "rules": {
            "start_capacity": 0.18, "cold_us": 17000000, "tip_multiple": 4, "fall_us": 3000000,
            "drain_grace_us": 500000, "grace_to_answer_us": 8000,
        },
        "report": {"names": ["load_share"], "source": "on_probe"},
    }


class Director:
    """One real director, started with the command `run` of the deploy file."""

    def __init__(
        self, record: Record, servers: list[Server], coordinator: Coordinator, folder: Path, name: str = "n0",
        port: int | None = None, admin_port: int | None = None, known: dict[str, object] | None = None,
        environment: dict[str, str] | None = None,
    ) -> None:
        self.record, self.folder, self.name = record, folder, name
        self.port = port or free_port()
        self.admin_port = admin_port or free_port()
        first = {"index": 1, "endpoints": {"version": 1, "full": True, "servers": [s.row() for s in servers]}}
        self.config = {
            "name": name, "listen": f"{HOST}:{self.port}", "seed": secrets.token_hex(8),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "coordinator": f"{HOST}:{coordinator.port}", "flow_bytes_per_s": 6900000,
            "link_bytes_per_s": 27600000,
            "known": known or {"index": 1, "updates": [first]}, "settings": settings(),
        }
        self.environment = environment or {}
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        path = self.folder / f"config-{self.name}.json"
        path.write_text(json.dumps(self.config))
        temporary = self.folder / f"tmp-{self.name}"
        temporary.mkdir(exist_ok=True)
        self.log = self.folder / f"log-{self.name}"
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run_command()], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env={
                    "PATH": os.environ.get("PATH", "/usr/bin:/bin"), "RELAY_CONFIG": str(path),
                    "RELAY_NAME": self.name, "RELAY_ADMIN": f"{HOST}:{self.admin_port}",
                    "TMPDIR": str(temporary), **self.environment,
                },
            )
        self.record(f"director {self.name} started, process {self.process.pid}: {run_command()}")

    async def ready(self, limit_s: float = 30.0) -> None:
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if self.process is not None and self.process.poll() is not None:
                raise NotRunError(f"the director ended with {self.process.returncode}")
            if await operator_call(self.admin_port, "GET", "/ready") == 200:
                self.record(f"director {self.name} is ready")
                return
            await asyncio.sleep(0.05)
        raise NotRunError("the director was not ready within 30 s")

    def signal(self, number: int) -> None:
        assert self.process is not None
        self.record(f"director {self.name} gets signal {signal.Signals(number).name}")
        self.process.send_signal(number)

    def end(self) -> None:
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()


def run_command() -> str:
    """Return the command `run` of the deploy file."""
    for line in (ROOT / "deploy" / "balancer.toml").read_text().splitlines():
        if line.startswith("run = "):
            return line.partition("=")[2].strip().strip('"')
    raise NotRunError("the deploy file has no line run")


# ---- one run of a case -------------------------------------------------------------------------------------


def main(folder: Path, case: Callable[[Record, Path, list[Director]], Awaitable[bool]], limit_s: float) -> None:
    """Run a case: it returns whether the rule held. Ends with 0 (held), 1 (broken) or 2 (could not run)."""
    record = Record(folder)
    directors: list[Director] = []
    code = NOT_RUN
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda *_: sys.exit(NOT_RUN))
    try:
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            try:
                record(f"TROUBLE={int(TROUBLE)}")

                async def run() -> bool:
                    async with asyncio.timeout(limit_s):
                        return await case(record, Path(temporary), directors)

                code = HELD if asyncio.run(run()) else BROKEN
            finally:
                for director in directors:
                    director.end()
                    with contextlib.suppress(OSError, AttributeError):
                        for line in director.log.read_text(errors="replace").splitlines():
                            if any(text in line for text in LOGGED):
                                record(f"log of {director.name}: {line}")
    except Exception as error:  # an error of the case is no verdict on the rule
        record(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
    record({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[code])
    print({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[code])
    sys.exit(code)
