"""Clients over FastCGI: open-loop, with retries, their answers recorded for the audit and the figures."""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Callable
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from onyxwick.config.address import Address
from onyxwick.lab.arrivals import Arrival
from onyxwick.lab.audit import Earned, Records, Taken
from onyxwick.lab.model import ScenarioClass
from onyxwick.net import fastcgi

OPEN_MOST = 32  # requests on one connection
CONNECTIONS_MOST = 40  # of one tenant at one director
RETRIES = 2
PAUSE_S = (0.15, 0.4)  # before a retry, where the answer names no time
CONNECT_S = 1.0  # for a connection to come up
DEAF_BYTES = 4096  # of receive buffer, at a client that does not read
LATE_WORTH = 0.1  # of an answer that comes after its aim


@dataclass(slots=True)
class ClientTally:
    """One tenant's figures. Latencies in us from the intended send to the last byte, of what was served."""

    asked: int = 0
    worth_asked: float = 0.0
    worth_served: float = 0.0
    worth_in_time: float = 0.0
    served: int = 0
    refused: int = 0
    failed: int = 0
    retries: int = 0
    told_when: int = 0  # refusals that named a time to return
    latency: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 60_000_000, 3))


class Connection(asyncio.Protocol):
    """One FastCGI connection; `reads` False: a client that takes nothing of what it is sent."""

    def __init__(self, reads: bool) -> None:
        self.reads = reads
        self.transport: asyncio.Transport | None = None
        self.data = bytearray()
        self.bodies: dict[int, bytearray] = {}
        self.waiting: dict[int, asyncio.Future[bytes | None]] = {}
        self.ended: set[int] = set()
        self.left: set[int] = set()  # given up: its answer may still come, once
        self.twice = 0
        self.closed = False
        self.number = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        for future in self.waiting.values():
            if not future.done():
                future.set_result(None)

    def data_received(self, data: bytes) -> None:
        self.data += data
        while len(self.data) >= 8:
            _, kind, number, size, pad = fastcgi.HEADER.unpack_from(self.data)
            if len(self.data) < 8 + size + pad:
                return
            content = bytes(self.data[8 : 8 + size])
            del self.data[: 8 + size + pad]
            if kind == fastcgi.RecordType.STDOUT:
                self.bodies.setdefault(number, bytearray()).extend(content)
            elif kind == fastcgi.RecordType.END:
                self._end(number, content)

    def _end(self, number: int, content: bytes) -> None:
        future = self.waiting.pop(number, None)
        if future is None:
            self.twice += number in self.ended and number not in self.left
            self.left.discard(number)
            return
        self.ended.add(number)
        body = bytes(self.bodies.pop(number, b""))
        if not body and content[4:5] == bytes([fastcgi.ProtocolStatus.OVERLOADED]):
            body = b"Status: 503 Overloaded\r\n\r\n"
        if not future.done():
            future.set_result(body)

    def send(self, params: dict[str, str]) -> tuple[int, asyncio.Future[bytes | None]]:
        assert self.transport is not None
        self.number = self.number % 60_000 + 1
        self.ended.discard(self.number)
        self.left.discard(self.number)
        pairs = fastcgi.encode_pairs({k.encode(): v.encode() for k, v in params.items()})
        begin = fastcgi.BEGIN_BODY.pack(fastcgi.RESPONDER, 1)
        records = ((fastcgi.RecordType.BEGIN, begin), (fastcgi.RecordType.PARAMS, pairs))
        ends = ((fastcgi.RecordType.PARAMS, b""), (fastcgi.RecordType.STDIN, b""))
        self.transport.write(b"".join(fastcgi.encode_record(k, self.number, c) for k, c in records + ends))
        future: asyncio.Future[bytes | None] = asyncio.get_running_loop().create_future()
        self.waiting[self.number] = future
        return self.number, future

    def abort(self, number: int) -> None:
        self.waiting.pop(number, None)
        self.left.add(number)
        if self.transport is not None and not self.closed:
            self.transport.write(fastcgi.encode_record(fastcgi.RecordType.ABORT, number, b""))


async def _connect(address: Address, reads: bool) -> Connection:
    loop, sock = asyncio.get_running_loop(), socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    if not reads:  # what the kernel would take in for it would hide that it reads nothing
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, DEAF_BYTES)
    try:
        await asyncio.wait_for(loop.sock_connect(sock, address), CONNECT_S)
        _, connection = await loop.create_connection(lambda: Connection(reads), sock=sock)
    except (OSError, TimeoutError):
        sock.close()
        raise OSError("no connection came up") from None
    if not reads and connection.transport is not None:
        connection.transport.pause_reading()
    return connection


@dataclass(frozen=True, slots=True)
class ClientTarget:
    """Where one try goes, and what its request says beside the platform's fields. `pool`: connections are
    shared by tries with the same."""

    director: int
    address: Address
    pool: str = ""
    fields: tuple[tuple[str, str], ...] = ()


Choose = Callable[[], ClientTarget]  # asked before each try: a client may have another front by then


@dataclass(slots=True)
class ClientReply:
    verdict: str
    tag: str = ""
    retry_after_s: float | None = None


def read_reply(data: bytes) -> ClientReply:
    head, _, _ = data.partition(b"\r\n\r\n")
    lines = dict(line.partition(": ")[::2] for line in head.decode("latin-1").split("\r\n"))
    status = lines.get("Status", "")[:3]
    if status == "200":
        return ClientReply("served", lines.get("ETag", "").strip('"'))
    after = lines.get("Retry-After-Ms")
    if status in ("429", "503"):
        return ClientReply("refused", retry_after_s=int(after) / 1000 if after else None)
    return ClientReply("failed")


class Clients:
    """All clients of a run. `tenant_field`: the request's parameter that names the tenant."""

    def __init__(
        self,
        jobs: dict[str, ScenarioClass],
        records: Records,
        clock: Callable[[], int],
        seed: int,
        group: Callable[[str], int],
        counted_from_us: int,
    ) -> None:
        self.jobs, self.records, self.clock, self.group = jobs, records, clock, group
        self.random = random.Random(seed)
        self.counted_from_us = counted_from_us
        self.pools: dict[tuple[str, str, int], list[Connection]] = {}
        self.tallies: dict[str, ClientTally] = {}
        self.mute: set[str] = set()  # tenants whose clients do not read
        self.twice = 0
        self.unreached: list[int] = []  # when no connection came up
        self.crashes: dict[int, int] = {}  # director: when it was last killed
        # Is a request that a connection's end left unanswered nobody's fault? Told where it went and when.
        self.excused: Callable[[ClientTarget, int], bool] = self._killed

    async def _connection(self, tenant: str, to: ClientTarget) -> Connection | None:
        pool = self.pools.setdefault((tenant, to.pool, to.director), [])
        for c in [c for c in pool if c.closed]:
            self.twice += c.twice
            pool.remove(c)
        reads = tenant not in self.mute
        fit = [c for c in pool if len(c.waiting) < OPEN_MOST and c.reads is reads]
        if fit and (len(pool) >= 2 or not fit[0].waiting):
            return min(fit, key=lambda c: len(c.waiting))
        if len(pool) >= CONNECTIONS_MOST:
            return fit[0] if fit else None
        try:
            connection = await _connect(to.address, reads)
        except OSError:
            return None
        pool.append(connection)
        return connection

    async def ask(self, arrival: Arrival, start_us: int, choose: Choose, site: str = "") -> None:
        """One arrival with its retries, from its intended time on; what it earned is recorded."""
        earned = await self._ask(arrival, start_us, choose, site)
        worth = self.jobs[arrival.class_name].kind.priority_weight
        row = Earned(start_us + arrival.at_us, arrival.tenant, arrival.class_name, site, worth, earned)
        self.records.earned.append(row)

    async def _ask(self, arrival: Arrival, start_us: int, choose: Choose, site: str) -> float:
        job = self.jobs[arrival.class_name]
        intended = start_us + arrival.at_us
        tally = self.tallies.setdefault(arrival.tenant, ClientTally())
        counted = arrival.at_us >= self.counted_from_us
        if counted:
            tally.asked += 1
            tally.worth_asked += job.kind.priority_weight
        limit_us = int(job.kind.deadline_us * self.random.uniform(0.5, 1.0))
        for attempt in range(1 + RETRIES):
            reply = await self._try(arrival, job, choose(), limit_us, attempt > 0, site)
            if reply.verdict == "served":
                return self._served(tally, job, intended, counted)
            if counted:
                tally.told_when += reply.retry_after_s is not None
                tally.refused += reply.verdict == "refused"
                tally.failed += reply.verdict != "refused"
            if attempt == RETRIES or reply.verdict == "left":
                break
            await asyncio.sleep(max(reply.retry_after_s or 0.0, self.random.uniform(*PAUSE_S)))
            tally.retries += counted
        return 0.0

    def _served(self, tally: ClientTally, job: ScenarioClass, intended: int, counted: bool) -> float:
        taken, kind = self.clock() - intended, job.kind
        in_time = taken <= kind.latency_objective_us + kind.latency_objective_stretch * job.sending_us
        earned = kind.priority_weight * (1.0 if in_time else LATE_WORTH)
        if not counted:
            return earned
        tally.served += 1
        tally.worth_in_time += kind.priority_weight * in_time
        tally.worth_served += earned
        tally.latency.record_value(max(1, taken))
        return earned

    async def _try(
        self, arrival: Arrival, job: ScenarioClass, to: ClientTarget, limit_us: int, again: bool, site: str
    ) -> ClientReply:
        connection = await self._connection(arrival.tenant, to)
        if connection is None:
            self.unreached.append(self.clock())
            return ClientReply("failed")
        request, group = f"{self.random.getrandbits(64):016x}", self.group(arrival.object)
        params = {
            "SCRIPT_NAME": f"/call/{arrival.class_name}",
            "HTTP_X_REQUEST_ID": request,
            "HTTP_X_TIMEOUT_MS": str(max(1, limit_us // 1000)),
            "HTTP_X_OBJECT": arrival.object,
            "HTTP_X_NTH": str(arrival.part),
            "HTTP_X_BATCH": str(group),
            "HTTP_X_TENANT": arrival.tenant,
            **dict(to.fields),
        } | ({"HTTP_X_RETRY": "1"} if again else {})
        taken = Taken(request, arrival.tenant, group, job.kind.is_write, self.clock())
        taken.class_name, taken.site, taken.director = arrival.class_name, site, f"n{to.director}"
        taken.again = again
        self.records.taken[request] = taken
        number, future = connection.send(params)
        done, _ = await asyncio.wait([future], timeout=limit_us / 1e6)
        taken.ended_us = self.clock()
        if not done:
            taken.left = True
            connection.abort(number)
            return ClientReply("left")
        data = future.result()
        if data is None:  # the connection ended; with clients that do not read that is their own doing
            taken.left = taken.left or self.excused(to, taken.sent_us) or not connection.reads
            return ClientReply("failed")
        reply = read_reply(data)
        taken.answers, taken.verdict, taken.tag = taken.answers + 1, reply.verdict, reply.tag
        return reply

    def _killed(self, to: ClientTarget, sent_us: int) -> bool:
        """What a director that was killed had taken is not owed an answer by anybody."""
        return self.crashes.get(to.director, 0) >= sent_us

    def close(self) -> None:
        for pool in self.pools.values():
            for connection in pool:
                self.twice += connection.twice
                if connection.transport is not None:
                    connection.transport.abort()
