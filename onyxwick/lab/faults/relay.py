"""Relays between parties: every byte passes here, and every fault of a link is injected here.

A link direction holds the state of the link between two places: cut in one direction or both, delay, bytes
per second, resets. A cut loses no data and reports no error: data that was sent waits, as it would in a
sender's socket, and is delivered when the cut ends, unless its receiver has gone meanwhile. New connections
over a cut link are never established: the relay's own backlog is filled, so that the kernel drops new
connection attempts.
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

MAX_HELD_BYTES = 4 << 20  # bytes in flight in one direction of one connection above which reading is paused
BACKLOG = 512
TARGET_CHECK_INTERVAL_S = 0.05  # interval of the checks whether the target listens again
FILLER_COUNT = 4  # connections of the relay itself that keep the backlog full while a link is cut
RESET = struct.pack("ii", 1, 0)  # value of SO_LINGER with which a close sends a reset


@dataclass(slots=True, eq=False)
class LinkDirection:
    """State of the link from `one` to `other` (`there`) and back (`back`)."""

    one: str
    other: str
    cut_there: bool = False
    cut_back: bool = False
    delay_s: float = 0.0
    bytes_per_s: float = 0.0  # 0: unlimited
    resets: float = 0.0  # probability of a reset at each chunk that passes
    relays: list[LinkRelay] = field(default_factory=list)
    darkened: list[list[float]] = field(default_factory=list)  # [begin, end or infinity], loop time

    @property
    def dark(self) -> bool:
        """Whether no connection can be established, since its first packet or the answer to it is lost."""
        return self.cut_there or self.cut_back

    def was_dark(self, begin: float, end: float) -> bool:
        """Return whether the link was dark at any time from `begin` to `end`, in seconds of the loop's
        clock."""
        return any(a <= end and b >= begin for a, b in self.darkened)

    def changed(self) -> None:
        """Record a change of the fields above and make the relays apply it."""
        now = asyncio.get_running_loop().time()
        if self.dark and not (self.darkened and self.darkened[-1][1] == math.inf):
            self.darkened.append([now, math.inf])
        elif not self.dark and self.darkened:
            self.darkened[-1][1] = min(now, self.darkened[-1][1])
        for relay in self.relays:
            relay.renew()


class LinkRelay:
    """One listener in front of one target, over one link direction."""

    def __init__(self, way: LinkDirection, listen: Address, target: Address, rng: random.Random) -> None:
        self.way, self.listen_at, self.target, self.random = way, listen, target, rng
        self.pairs: set[Pair] = set()
        self.sock: socket.socket | None = None
        self.accepting: asyncio.Task[None] | None = None
        self.absent: asyncio.Task[None] | None = None  # waits until the target listens again
        self.fillers: list[socket.socket] = []
        way.relays.append(self)

    async def start(self) -> None:
        """Open the listening socket and accept connections unless the link is dark."""
        self._listen()
        self.renew()

    def _listen(self) -> None:
        sock = self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(self.listen_at)
        sock.listen(BACKLOG)
        sock.setblocking(False)

    def renew(self) -> None:
        """Apply the present state of the link to the listener and to its connections."""
        if self.absent is not None and self.way.dark:
            self.absent.cancel()  # a cut link does not reveal whether the target listens
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
        for _ in range(FILLER_COUNT):
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
        """Close the listener, as nothing listens at the target: the kernel then refuses callers as without a
        relay."""
        if self.sock is None or self.accepting is None:
            return
        self.accepting.cancel()
        self.accepting = None
        self.sock.close()
        self.sock = None
        self.absent = asyncio.get_running_loop().create_task(self._wait_for_target())

    async def _wait_for_target(self) -> None:
        while True:
            await asyncio.sleep(TARGET_CHECK_INTERVAL_S)
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(*self.target)
                writer.close()
                break
        self.absent = None
        self._listen()
        self.renew()

    def close(self) -> None:
        """Stop listening and abort all connections."""
        for task in (self.accepting, self.absent):
            if task is not None:
                task.cancel()
        for pair in list(self.pairs):
            pair.end()
        for sock in (*self.fillers, *([self.sock] if self.sock is not None else [])):
            sock.close()
        self.sock = None


class Pair:
    """One connection through a relay: its two ends, each with its data in flight."""

    def __init__(self, relay: LinkRelay) -> None:
        self.relay, self.way = relay, relay.way
        self.near, self.far = End(self, there=True), End(self, there=False)
        self.near.peer, self.far.peer = self.far, self.near
        self.opening: asyncio.Task[None] | None = None

    async def open(self, sock: socket.socket) -> None:
        """Connect to the target and join the accepted socket to that connection."""
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: self.far, *self.relay.target)
            await loop.connect_accepted_socket(lambda: self.near, sock)
        except OSError as error:  # the caller sees the failure as it would without a relay
            if isinstance(error, ConnectionRefusedError):
                self.relay.refused()
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            sock.close()
            self.end()

    def renew(self) -> None:
        """Pass on data that the present state of the link lets through."""
        self.near.flush()
        self.far.flush()

    def end(self) -> None:
        """Abort both ends."""
        self.relay.pairs.discard(self)
        for end in (self.near, self.far):
            if end.transport is not None:
                end.transport.abort()

    def reset(self) -> None:
        """Reset both sides, also in the middle of a message."""
        for end in (self.near, self.far):
            sock = end.transport.get_extra_info("socket") if end.transport is not None else None
            with contextlib.suppress(OSError):
                if sock is not None:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.end()


class End(asyncio.Protocol):
    """One side of a pair. The data that it reads goes to its peer as soon as the link lets it pass."""

    def __init__(self, pair: Pair, there: bool) -> None:
        self.pair, self.there = pair, there
        self.peer: End
        self.transport: asyncio.Transport | None = None
        self.held: deque[tuple[float, bytes]] = deque()  # (due time, chunk)
        self.held_bytes = 0
        self.free_at = 0.0  # time at which the rate limit has let all earlier data pass
        self.closed = self.eof = self.ended = False
        self.due = False  # whether a timer for a flush is set

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport and send the data that the peer holds for it."""
        self.transport = transport  # type: ignore[assignment]
        self.peer.flush()

    def data_received(self, data: bytes) -> None:
        """Queue a chunk with the delay and rate of the link, or reset the connection by chance."""
        way, now = self.pair.way, asyncio.get_running_loop().time()
        if way.resets and self.pair.relay.random.random() < way.resets:
            return self.pair.reset()
        if way.bytes_per_s:
            self.free_at = max(now, self.free_at) + len(data) / way.bytes_per_s
        due = max(now, self.free_at) + way.delay_s
        self.held.append((due, data))
        self.held_bytes += len(data)
        if self.held_bytes > MAX_HELD_BYTES and self.transport is not None:
            self.transport.pause_reading()
        self.flush()
        return None

    def eof_received(self) -> bool:
        """Note that this direction has ended; the other one continues until its own end."""
        self.eof = True
        self.flush()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that this end is closed and pass on the data that it sent before."""
        self.closed = True
        self.flush()

    @property
    def _cut(self) -> bool:
        return self.pair.way.cut_there if self.there else self.pair.way.cut_back

    def _due(self) -> None:
        """Flush after the timer. The loop's timers fire up to a millisecond early: flush() then sets one
        again."""
        self.due = False
        self.flush()

    def flush(self) -> None:
        """Send the chunks that are due. The end of a connection follows all data that was sent before it."""
        target = self.peer.transport
        if target is None or self._cut:
            return
        now = asyncio.get_running_loop().time()
        while self.held and self.held[0][0] <= now:
            _, data = self.held.popleft()
            self.held_bytes -= len(data)
            if not self.peer.closed:
                target.write(data)
        if self.held_bytes < MAX_HELD_BYTES // 2 and self.transport is not None and not self.closed:
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
