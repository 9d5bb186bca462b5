"""Relays between parties: every byte passes here, and every fault of a link is made here.

A *way* is what holds between two places: cut in one direction or both, delay, bytes a second, resets. A cut
way swallows nothing and tells nothing: what was sent waits, as it would in a sender's socket, and comes
through when the way heals, unless its receiver has gone meanwhile. New connections over a cut way never come
up: the relay's own backlog is filled, so that the system drops what knocks.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import random
import socket
import struct
from collections import deque
from dataclasses import dataclass, field

from onyxwick.config.address import Address

HELD_MOST = 4 << 20  # bytes held back in one direction of one connection; over it nothing more is read
BACKLOG = 512
LOOK_S = 0.05  # between two looks whether anybody listens again
FILLERS = 4  # connections of our own that keep the backlog full while a way is cut
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: the end of a connection is a reset


@dataclass(slots=True, eq=False)
class LinkDirection:
    """From `one` to `other`, and back."""

    one: str
    other: str
    cut_there: bool = False
    cut_back: bool = False
    delay_s: float = 0.0
    bytes_per_s: float = 0.0  # 0: not bounded
    resets: float = 0.0  # chance of a reset at each piece that passes
    relays: list[LinkRelay] = field(default_factory=list)
    darkened: list[list[float]] = field(default_factory=list)  # from, to (or endless), of the loop's clock

    @property
    def dark(self) -> bool:
        """No connection can come up: its first packet or the answer to it is lost."""
        return self.cut_there or self.cut_back

    def was_dark(self, begin: float, end: float) -> bool:
        """Was it dark at any time in between?"""
        return any(a <= end and b >= begin for a, b in self.darkened)

    def changed(self) -> None:
        """Something of it is another one now: its relays act on it."""
        now = asyncio.get_running_loop().time()
        if self.dark and not (self.darkened and self.darkened[-1][1] == math.inf):
            self.darkened.append([now, math.inf])
        elif not self.dark and self.darkened:
            self.darkened[-1][1] = min(now, self.darkened[-1][1])
        for relay in self.relays:
            relay.renew()


class LinkRelay:
    """One listener in front of one target, over one way."""

    def __init__(self, way: LinkDirection, listen: Address, target: Address, rng: random.Random) -> None:
        self.way, self.listen_at, self.target, self.random = way, listen, target, rng
        self.pairs: set[Pair] = set()
        self.sock: socket.socket | None = None
        self.accepting: asyncio.Task[None] | None = None
        self.absent: asyncio.Task[None] | None = None  # waits for a target at which nobody listens
        self.fillers: list[socket.socket] = []
        way.relays.append(self)

    async def start(self) -> None:
        self._listen()
        self.renew()

    def _listen(self) -> None:
        sock = self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(self.listen_at)
        sock.listen(BACKLOG)
        sock.setblocking(False)

    def renew(self) -> None:
        """The way is another one now."""
        if self.absent is not None and self.way.dark:
            self.absent.cancel()  # whether the target is there or not, a cut way does not tell
            self.absent = None
            self._listen()
            self._fill()
        if self.sock is None:
            return
        if self.way.dark and self.accepting is not None:
            self.accepting.cancel()
            self.accepting = None
            self._fill()
        elif not self.way.dark and self.accepting is None:
            for filler in self.fillers:
                filler.close()
            self.fillers.clear()
            self.sock.listen(BACKLOG)
            self.accepting = asyncio.get_running_loop().create_task(self._accept())
        for pair in list(self.pairs):
            pair.renew()

    def _fill(self) -> None:
        assert self.sock is not None
        self.sock.listen(0)
        for _ in range(FILLERS):
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(self.listen_at)
            self.fillers.append(filler)

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        assert self.sock is not None
        while True:
            sock, _ = await loop.sock_accept(self.sock)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            pair = Pair(self)
            self.pairs.add(pair)
            pair.opening = loop.create_task(pair.open(sock))

    def refused(self) -> None:
        """Nobody listens at the target: from here on the system refuses callers, as it would without us."""
        if self.sock is None or self.accepting is None:
            return
        self.accepting.cancel()
        self.accepting = None
        self.sock.close()
        self.sock = None
        self.absent = asyncio.get_running_loop().create_task(self._until_there())

    async def _until_there(self) -> None:
        while True:
            await asyncio.sleep(LOOK_S)
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(*self.target)
                writer.close()
                break
        self.absent = None
        self._listen()
        self.renew()

    def close(self) -> None:
        for task in (self.accepting, self.absent):
            if task is not None:
                task.cancel()
        for pair in list(self.pairs):
            pair.end()
        for sock in (*self.fillers, *([self.sock] if self.sock is not None else [])):
            sock.close()
        self.sock = None


class Pair:
    """One connection through a relay: two ends, and what is on its way in each direction."""

    def __init__(self, relay: LinkRelay) -> None:
        self.relay, self.way = relay, relay.way
        self.near, self.far = End(self, there=True), End(self, there=False)
        self.near.peer, self.far.peer = self.far, self.near
        self.opening: asyncio.Task[None] | None = None

    async def open(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: self.far, *self.relay.target)
            await loop.connect_accepted_socket(lambda: self.near, sock)
        except OSError as error:  # nobody there: the caller learns it as if there were no relay between
            if isinstance(error, ConnectionRefusedError):
                self.relay.refused()
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            sock.close()
            self.end()

    def renew(self) -> None:
        self.near.flush()
        self.far.flush()

    def end(self) -> None:
        self.relay.pairs.discard(self)
        for end in (self.near, self.far):
            if end.transport is not None:
                end.transport.abort()

    def reset(self) -> None:
        """Both sides see a reset, in the middle of whatever they were saying."""
        for end in (self.near, self.far):
            sock = end.transport.get_extra_info("socket") if end.transport is not None else None
            with contextlib.suppress(OSError):
                if sock is not None:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.end()


class End(asyncio.Protocol):
    """One side of a pair; what it reads goes to its peer when the way lets it through."""

    def __init__(self, pair: Pair, there: bool) -> None:
        self.pair, self.there = pair, there
        self.peer: End
        self.transport: asyncio.Transport | None = None
        self.held: deque[tuple[float, bytes]] = deque()  # when each piece may go on
        self.held_bytes = 0
        self.free_at = 0.0  # when the way has passed on what came before
        self.closed = self.eof = self.ended = False
        self.due = False  # a flush is called for

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.peer.flush()

    def data_received(self, data: bytes) -> None:
        way, now = self.pair.way, asyncio.get_running_loop().time()
        if way.resets and self.pair.relay.random.random() < way.resets:
            return self.pair.reset()
        if way.bytes_per_s:
            self.free_at = max(now, self.free_at) + len(data) / way.bytes_per_s
        due = max(now, self.free_at) + way.delay_s
        self.held.append((due, data))
        self.held_bytes += len(data)
        if self.held_bytes > HELD_MOST and self.transport is not None:
            self.transport.pause_reading()
        self.flush()
        return None

    def eof_received(self) -> bool:
        """One direction has ended; the other goes on until its own end."""
        self.eof = True
        self.flush()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self.flush()

    @property
    def _cut(self) -> bool:
        return self.pair.way.cut_there if self.there else self.pair.way.cut_back

    def _due(self) -> None:
        """The loop's timers come up to a millisecond early: what is not due yet is called for once more."""
        self.due = False
        self.flush()

    def flush(self) -> None:
        """Pass on what may go now; the end of a connection comes behind all it has sent."""
        target = self.peer.transport
        if target is None or self._cut:
            return
        now = asyncio.get_running_loop().time()
        while self.held and self.held[0][0] <= now:
            _, data = self.held.popleft()
            self.held_bytes -= len(data)
            if not self.peer.closed:
                target.write(data)
        if self.held_bytes < HELD_MOST // 2 and self.transport is not None and not self.closed:
            self.transport.resume_reading()
        if self.held:
            if not self.due:
                self.due = True
                asyncio.get_running_loop().call_at(self.held[0][0], self._due)
        elif (self.closed or self.eof) and not self.ended:
            self.ended = True
            if self.closed or self.peer.ended:
                target.close()
            elif not self.peer.closed:
                target.write_eof()
        elif self.closed:
            target.close()
        if self.closed and self.peer.closed:
            self.pair.relay.pairs.discard(self.pair)
