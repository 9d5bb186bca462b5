"""Clients that do not help a director to shut down: they use their connection for as long as it is open.

Each has a habit and one connection at a time, which it goes on using whatever the answers are. None closes
its own side before the director has closed the other. What they observe is recorded for the oracle.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from collections.abc import Callable
from enum import Enum

from onyxwick.config.address import Address
from onyxwick.lab.clients import read_reply
from onyxwick.lab.soak.clients import CLASSES, OBJECTS, PARTS, call_params
from onyxwick.lab.soak.model import ClientConnection, SoakCall, SoakRecords
from onyxwick.net import fastcgi

CONNECT_TIMEOUT_S, RECONNECT_DELAY_S = 2.0, 0.3
PIPELINED_CALLS = 3  # calls in flight at once
SMALL_RECEIVE_BUFFER_BYTES = 65_536  # receive buffer of a slow reader
SLOW_READ_BYTES, SLOW_BYTES_PER_S = 16_384, 1_000_000
PIECES_PER_CALL, PIECE_INTERVAL_S = 8, 0.4
CLOSE_DELAY_S = 1.0
"""How long a client keeps its side open after the director has closed the other."""


class Habit(Enum):
    """How a client uses its connection."""

    BUSY = "busy"  # a call every `every_s`, regardless of earlier calls
    PIPELINED = "pipelined"  # several at once, each followed by another as soon as it is answered
    PIECES = "pieces"  # one answered call, then calls written in pieces
    SLOW_READER = "slow_reader"  # a call every `every_s`, answers read at 1 MB/s at most
    RESTING = "resting"  # one call, then nothing
    SILENT = "silent"  # nothing at all
    PINGS = "pings"  # a ping every `every_s`


class PersistentClient:
    """One client of one director.

    `clock` returns microseconds; `connects` and `asks` return whether the client may open a connection or
    write a call now. `every_s` is the time between two calls, `rest_s` the time between an answer and the
    call that replaces the answered one in the pipeline.
    """

    def __init__(
        self,
        director: int,
        address: Address,
        habit: Habit,
        records: SoakRecords,
        clock: Callable[[], int],
        group: Callable[[str], int],
        rng: random.Random,
        timeouts_us: dict[str, int],
        every_s: float = 0.15,
        rest_s: float = 0.0,
        connects: Callable[[], bool] = lambda: True,
        asks: Callable[[], bool] = lambda: True,
    ) -> None:
        self.director, self.address, self.habit = director, address, habit
        self.records, self.clock, self.group = records, clock, group
        self.rng, self.connects, self.asks = rng, connects, asks
        self.every_s, self.rest_s = every_s, rest_s
        self.timeouts_us = timeouts_us  # by class
        self.item = ""
        self.connection: ClientConnection | None = None
        self.waiting: dict[int, SoakCall | None] = {}
        self.number = 0
        self.answered = asyncio.Event()

    async def run(self) -> None:
        """Connect, use the connection until it ends and repeat this until cancelled."""
        while True:
            if self.connects():
                with contextlib.suppress(OSError, TimeoutError):
                    await self._use_one()
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _use_one(self) -> None:
        loop = asyncio.get_running_loop()
        with socket.socket() as sock:
            sock.setblocking(False)
            if self.habit is Habit.SLOW_READER:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER_BYTES)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.sock_connect(sock, self.address)
            record = self.connection = ClientConnection(self.director, self.habit.value, self.clock())
            self.records.connections.append(record)
            self.waiting.clear()
            self.answered.clear()
            asking = loop.create_task(self._ask(sock))
            try:
                await self._read(sock)
            except asyncio.CancelledError:
                self._give_up_waiting()
                raise
            finally:
                record.ended_us = record.ended_us or self.clock()
                asking.cancel()
                await asyncio.gather(asking, return_exceptions=True)
                self._settle(record)
            await asyncio.sleep(CLOSE_DELAY_S)

    def _give_up_waiting(self) -> None:
        """Mark the waiting calls as given up by the client, at the end of the run."""
        for call in self.waiting.values():
            if call is not None:
                call.left_us = self.clock()

    def _settle(self, record: ClientConnection) -> None:
        """Mark unanswered calls as ended with their connection; the oracle decides which crossed its end."""
        for call in self.waiting.values():
            if call is not None:
                call.ended_us = record.ended_us

    # ---- asking ------------------------------------------------------------------------------------------

    async def _ask(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError):
            match self.habit:
                case Habit.SILENT:
                    return
                case Habit.RESTING:
                    await self._call(sock)
                case Habit.PIECES:
                    await self._call(sock)
                    await self.answered.wait()
                    while True:
                        await self._call(sock, PIECES_PER_CALL)
                case Habit.PIPELINED:
                    await self._pipeline(sock)
                case _:
                    while True:
                        if len(self.waiting) < fastcgi.MAX_OPEN_REQUESTS:
                            await self._call(sock)
                        await asyncio.sleep(self.every_s)

    async def _pipeline(self, sock: socket.socket) -> None:
        while True:
            while len(self.waiting) < PIPELINED_CALLS:
                await self._call(sock)
            self.answered.clear()
            await self.answered.wait()
            await asyncio.sleep(self.rest_s)

    async def _call(self, sock: socket.socket, pieces: int = 1) -> None:
        """Write one call. It counts as sent only if its connection lasts until its last piece."""
        while not self.asks():
            await asyncio.sleep(PIECE_INTERVAL_S / 4)
        loop, number = asyncio.get_running_loop(), self._next_number()
        call = None if self.habit is Habit.PINGS else self._draw()
        data = _call_bytes(number, self._params(call))
        for n in range(pieces):
            if n:
                await asyncio.sleep(PIECE_INTERVAL_S)
            if n == pieces - 1:
                self._record_asked(number, call)  # the last byte is written now
            await loop.sock_sendall(sock, data[n * len(data) // pieces : (n + 1) * len(data) // pieces])

    def _next_number(self) -> int:
        while True:
            self.number = self.number % 60_000 + 1
            if self.number not in self.waiting:
                return self.number

    def _draw(self) -> SoakCall:
        name = self.rng.choices(list(CLASSES), list(CLASSES.values()))[0]
        self.item = f"{self.rng.randrange(OBJECTS):016x}"
        request, group = f"{self.rng.getrandbits(64):016x}", self.group(self.item)
        return SoakCall(request, name, group, self.director, 0, self.timeouts_us[name], fresh=False)

    def _params(self, call: SoakCall | None) -> dict[str, str]:
        if call is None:
            return {"SCRIPT_NAME": "/ping"}
        return call_params(call, self.item, self.rng.randrange(PARTS))

    def _record_asked(self, number: int, call: SoakCall | None) -> None:
        assert self.connection is not None
        self.waiting[number] = call
        if call is not None:
            call.sent_us, call.fresh = self.clock(), not self.connection.calls
            self.records.calls[call.id] = call
            self.connection.calls.append(call)

    # ---- reading -----------------------------------------------------------------------------------------

    async def _read(self, sock: socket.socket) -> None:
        """Read until the director closes the connection. Raises OSError if the connection breaks."""
        loop, data, bodies = asyncio.get_running_loop(), bytearray(), dict[int, bytearray]()
        most = SLOW_READ_BYTES if self.habit is Habit.SLOW_READER else 262_144
        while more := await loop.sock_recv(sock, most):
            data += more
            self._take(data, bodies)
            if self.habit is Habit.SLOW_READER:
                await asyncio.sleep(len(more) / SLOW_BYTES_PER_S)

    def _take(self, data: bytearray, bodies: dict[int, bytearray]) -> None:
        size = fastcgi.HEADER.size
        while len(data) >= size:
            _, kind, number, length, pad = fastcgi.HEADER.unpack_from(data)
            if len(data) < size + length + pad:
                return
            content = bytes(data[size : size + length])
            del data[: size + length + pad]
            if kind == fastcgi.RecordType.STDOUT:
                bodies.setdefault(number, bytearray()).extend(content)
            elif kind == fastcgi.RecordType.END:
                self._done(number, bytes(bodies.pop(number, b"")), content)

    def _done(self, number: int, body: bytes, end: bytes) -> None:
        call = self.waiting.pop(number, None)
        self.answered.set()
        if call is None:
            return
        if not body and end[4:5] == bytes([fastcgi.ProtocolStatus.OVERLOADED]):
            body = b"Status: 503 Overloaded\r\n\r\n"
        reply = read_reply(body)
        call.ended_us, call.verdict, call.tag = self.clock(), reply.verdict, reply.tag
        call.answers += 1


def _call_bytes(number: int, params: dict[str, str]) -> bytes:
    begin = fastcgi.BEGIN_BODY.pack(fastcgi.RESPONDER, fastcgi.KEEP_CONN)
    pairs = fastcgi.encode_pairs({name.encode(): value.encode() for name, value in params.items()})
    kind = fastcgi.RecordType
    records = ((kind.BEGIN, begin), (kind.PARAMS, pairs), (kind.PARAMS, b""), (kind.STDIN, b""))
    return b"".join(fastcgi.encode_record(k, number, content) for k, content in records)
