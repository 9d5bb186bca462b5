"""FastCGI clients of a soak: they send requests, leave early, write slowly or set short timeouts, and record
what they observe."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable

from onyxwick.config.address import Address
from onyxwick.lab.clients import Connection, read_reply
from onyxwick.lab.soak.model import (
    BOOKING,
    JOB_SHEET,
    SITE_VIDEO,
    ClientConnection,
    CutCall,
    SoakCall,
    SoakRecords,
)
from onyxwick.net import fastcgi

S = 1_000_000
CLASSES = {SITE_VIDEO: 0.5, JOB_SHEET: 0.42, BOOKING: 0.08}
TIMEOUTS_MS = {SITE_VIDEO: (1500, 3000), JOB_SHEET: (800, 1500), BOOKING: (1000, 3000)}
BOOKING_CONNECTIONS, BOOKING_INTERVAL_S = 2, 0.08  # of the clients that only book
OBJECTS, PARTS = 60, 3
REUSE_CHANCE, LEAVE_CHANCE, SLOW_CHANCE, SHORT_TIMEOUT_CHANCE, BAD_CALL_CHANCE = 0.6, 0.12, 0.06, 0.04, 0.02
MAX_IDLE_S = 4.0  # the platform's clients close connections idle for longer
MAX_PIECES, PIECE_PAUSE_S = 9, (0.02, 0.5)  # most pieces of a call, and the pause between two of them
CONNECT_TIMEOUT_S = 2.0
CROSSING_WINDOW_US = 50_000
ANSWER_GRACE_S = 3.5  # a request unanswered this long after its timeout counts as never answered


class SoakConnection(Connection):
    """One connection with the state that the soak's clients keep of it."""

    def __init__(self) -> None:
        super().__init__(reads=True)
        self.asked = 0
        self.half = False  # a call is being written slowly, or the first call is still to come
        self.used_at = 0.0
        self.closed_us = 0
        self.calls: dict[str, SoakCall] = {}  # calls that wait for their answer
        self.clock: Callable[[], int] = lambda: 0
        self.record: ClientConnection | None = None

    def _ended(self) -> None:
        if self.record is not None:
            self.record.ended_us = self.record.ended_us or self.clock()

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the time of the loss; the base class notifies the waiting calls."""
        self.closed_us = self.closed_us or self.clock()
        self._ended()
        super().connection_lost(exc)

    def eof_received(self) -> bool:
        """Mark the connection as closed by the director: no new request may be sent on it."""
        self.closed = True
        self.closed_us = self.closed_us or self.clock()
        self._ended()
        for future in self.waiting.values():
            if not future.done():
                future.set_result(None)
        return False


class SoakClients:
    """All clients of one run. `clock`: the lab's clock, in microseconds."""

    def __init__(
        self,
        records: SoakRecords,
        clock: Callable[[], int],
        seed: int,
        group: Callable[[str], int],
        deadline_share: float = 1.0,
    ) -> None:
        self.records, self.clock, self.group = records, clock, group
        self.deadline_share = deadline_share  # share of the usual deadlines
        self.random = random.Random(f"soak clients {seed}")
        self.pools: dict[int, list[SoakConnection]] = {}
        self.leaving: set[int] = set()  # directors whose clients leave early at present
        self.twice = 0

    async def ask(self, director: int, address: Address, fresh_allowed: bool) -> None:
        """Send one request to a director, with newly drawn client behavior."""
        rng = self.random
        connection = self._idle(director) if rng.random() < REUSE_CHANCE or not fresh_allowed else None
        if connection is None and not fresh_allowed:
            return
        if connection is None:
            connection = await self._connect(director, address)
            if connection is None:
                return
        transport = connection.transport
        if rng.random() < BAD_CALL_CHANCE and transport is not None and not transport.is_closing():
            transport.write(_bad_call())
            connection.asked += 1
        await self._request(director, address, connection)

    def _idle(self, director: int) -> SoakConnection | None:
        now = asyncio.get_running_loop().time()
        pool = self.pools.setdefault(director, [])
        for connection in list(pool):
            idle = not connection.half and now - connection.used_at > MAX_IDLE_S
            if connection.closed or idle:
                pool.remove(connection)
                self.twice += connection.twice
                if connection.transport is not None:
                    connection.transport.close()
        fit = [c for c in pool if len(c.waiting) < 8 and not c.half]
        return self.random.choice(fit) if fit else None

    async def _connect(self, director: int, address: Address) -> SoakConnection | None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(SoakConnection, *address)
        except (OSError, TimeoutError):
            return None
        connection.clock = self.clock
        connection.record = ClientConnection(director, "ordinary", self.clock())
        self.records.connections.append(connection.record)
        # It is reserved for the first call of the client that opened it.
        connection.used_at, connection.half = loop.time(), True
        self.pools.setdefault(director, []).append(connection)
        if self.random.random() < 0.3:
            await asyncio.sleep(self.random.uniform(0.01, 0.2))  # the request follows after a moment
        return connection

    async def _request(self, director: int, address: Address, connection: SoakConnection) -> None:
        rng = self.random
        name = rng.choices(list(CLASSES), list(CLASSES.values()))[0]
        least, most = (20, 120) if rng.random() < SHORT_TIMEOUT_CHANCE else TIMEOUTS_MS[name]
        item, part = f"{rng.randrange(OBJECTS):016x}", rng.randrange(PARTS)
        request_id = f"{rng.getrandbits(64):016x}"
        timeout_us = max(20, int(rng.randint(least, most) * self.deadline_share)) * 1000
        call = SoakCall(
            request_id, name, self.group(item), director, 0, timeout_us, fresh=not connection.asked
        )
        params = call_params(call, item, part)
        if connection.closed or connection.transport is None:
            return
        slowly, connection.half = rng.random() < SLOW_CHANCE and not connection.waiting, False
        number, future = await self._write(director, connection, params, slowly)
        if future is None:
            return  # the connection ended before the call was completely written: it does not count
        connection.asked += 1
        connection.used_at = asyncio.get_running_loop().time()
        call.sent_us = self.clock()
        self.records.calls[call.id] = connection.calls[call.id] = call
        if connection.record is not None:
            connection.record.calls.append(call)
        if rng.random() < (0.7 if director in self.leaving else LEAVE_CHANCE):
            await self._leave(connection, number, future, call)
            return
        await self._wait(connection, future, call)
        if not (call.answers or call.fresh or call.left_us) and self._crossed(connection, call):
            await self._send_again(director, address, params, call)

    async def send_bookings(self, director: int, address: Address, timeout_us: int, for_s: float) -> None:
        """Send bookings on two new connections for a time, however long their answers take."""
        loop = asyncio.get_running_loop()
        opened = [await self._connect(director, address) for _ in range(BOOKING_CONNECTIONS)]
        connections = [each for each in opened if each is not None]
        sent, until = list[asyncio.Task[None]](), loop.time() + for_s
        while loop.time() < until:
            usable = [each for each in connections if not each.closed]
            if usable:
                sent.append(
                    loop.create_task(
                        self._send_booking(director, address, timeout_us, usable[len(sent) % len(usable)])
                    )
                )
            await asyncio.sleep(BOOKING_INTERVAL_S)
        await asyncio.gather(*sent)

    async def _send_booking(
        self, director: int, address: Address, timeout_us: int, connection: SoakConnection
    ) -> None:
        item, fresh = f"{self.random.randrange(OBJECTS):016x}", not connection.asked
        request_id = f"{self.random.getrandbits(64):016x}"
        call = SoakCall(request_id, BOOKING, self.group(item), director, 0, timeout_us, fresh)
        params = call_params(call, item, 0)
        _, future = connection.send(params)
        connection.half, connection.asked = False, connection.asked + 1
        call.sent_us = self.clock()
        self.records.calls[call.id] = connection.calls[call.id] = call
        if connection.record is not None:
            connection.record.calls.append(call)
        await self._wait(connection, future, call)
        if not (call.answers or call.fresh or call.left_us) and self._crossed(connection, call):
            await self._send_again(director, address, params, call)

    async def _write(
        self, director: int, connection: SoakConnection, params: dict[str, str], slowly: bool
    ) -> tuple[int, asyncio.Future[bytes | None] | None]:
        if not slowly:
            return connection.send(params)
        transport, pieces = connection.transport, list[bytes]()
        assert transport is not None
        real, connection.transport = transport, _Recorder(pieces)  # type: ignore[assignment]
        number, future = connection.send(params)
        connection.transport = real
        data = b"".join(pieces)
        parts = self.random.randint(2, MAX_PIECES)
        ends = [len(data) * n // parts for n in range(parts + 1)]
        transport.write(data[: ends[1]])
        connection.half = True
        for begin, end in itertools.pairwise(ends[1:]):
            await asyncio.sleep(self.random.uniform(*PIECE_PAUSE_S))
            if connection.closed:
                self.records.cut.append(CutCall(director, self.clock(), not connection.asked))
                connection.waiting.pop(number, None)
                connection.half = False
                return number, None
            transport.write(data[begin:end])
        connection.half = False
        return number, future

    async def _leave(
        self, connection: SoakConnection, number: int, future: asyncio.Future[bytes | None], call: SoakCall
    ) -> None:
        """Wait for a moment, then cancel the call or close the connection unless the answer has arrived."""
        await asyncio.wait([future], timeout=self.random.choice((0.0, 0.005, 0.03, 0.15, 0.5)))
        connection.calls.pop(call.id, None)
        if future.done():
            self._note(connection, future, call)
            return
        call.left_us = self.clock()
        if self.random.random() < 0.5:
            connection.abort(number)
            return
        for other in connection.calls.values():  # the other calls on the connection are given up too
            other.left_us = other.left_us or call.left_us
        connection.closed = True
        if connection.transport is not None:
            connection.transport.abort() if self.random.random() < 0.3 else connection.transport.close()

    async def _wait(
        self, connection: SoakConnection, future: asyncio.Future[bytes | None], call: SoakCall
    ) -> None:
        connection.calls[call.id] = call
        await asyncio.wait([future], timeout=call.timeout_us / S + ANSWER_GRACE_S)
        connection.calls.pop(call.id, None)
        if future.done():
            self._note(connection, future, call)

    def _note(self, connection: SoakConnection, future: asyncio.Future[bytes | None], call: SoakCall) -> None:
        data = future.result()
        call.ended_us = self.clock()
        if data is None:
            return
        connection.used_at = asyncio.get_running_loop().time()
        reply = read_reply(data)
        call.answers += 1
        call.verdict, call.tag = reply.verdict, reply.tag

    def _crossed(self, connection: SoakConnection, call: SoakCall) -> bool:
        """Return whether a call crossed the end of an idle connection. It is then sent again, once."""
        return connection.closed_us > 0 and connection.closed_us - call.sent_us <= CROSSING_WINDOW_US

    async def _send_again(
        self, director: int, address: Address, params: dict[str, str], call: SoakCall
    ) -> None:
        connection = await self._connect(director, address)
        if connection is None or connection.transport is None or connection.closed:
            call.left_us = call.ended_us  # the director takes no connections any more
            return
        call.again, call.fresh, call.ended_us = True, True, 0
        left = call.sent_us + call.timeout_us - self.clock()
        params["HTTP_X_TIMEOUT_MS"] = str(max(1, left // 1000))
        _, future = connection.send(params)
        connection.asked += 1
        if connection.record is not None:
            connection.record.calls.append(call)
        await self._wait(connection, future, call)

    def close(self) -> None:
        """Abort all connections."""
        for pool in self.pools.values():
            for connection in pool:
                self.twice += connection.twice
                if connection.transport is not None:
                    connection.transport.abort()


class _Recorder:
    """A stand-in for a transport that collects the written data."""

    def __init__(self, pieces: list[bytes]) -> None:
        self.write = pieces.append


def call_params(call: SoakCall, item: str, part: int) -> dict[str, str]:
    """Return the parameters of a call for one part of an object."""
    return {
        "SCRIPT_NAME": f"/call/{call.class_name}",
        "HTTP_X_REQUEST_ID": call.id,
        "HTTP_X_TIMEOUT_MS": str(call.timeout_us // 1000),
        "HTTP_X_OBJECT": item,
        "HTTP_X_NTH": str(part),
        "HTTP_X_BATCH": str(call.group),
    }


def _bad_call() -> bytes:
    """Encode a call that can be parsed but names an unknown class."""
    begin = fastcgi.BEGIN_BODY.pack(fastcgi.RESPONDER, 1)
    pairs = fastcgi.encode_pairs({b"SCRIPT_NAME": b"/call/unheard-of"})
    kind = fastcgi.RecordType
    records = ((kind.BEGIN, begin), (kind.PARAMS, pairs), (kind.PARAMS, b""), (kind.STDIN, b""))
    return b"".join(fastcgi.encode_record(k, 65_000, content) for k, content in records)
