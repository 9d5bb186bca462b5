"""The one writer of a connection."""

from __future__ import annotations

import asyncio
import socket
import time
from collections import deque
from collections.abc import Callable
from enum import Enum

from onyxwick.net.buffer import writable


class Progress(Enum):
    WAITING = "waiting"
    BEGUN = "begun"  # some of it may have been written
    WRITTEN = "written"
    DROPPED = "dropped"  # not one byte of it was written


class Parcel:
    """Bytes to be written as one. `check` is asked right before the first of them.

    `render` makes the bytes at that moment, each time they are about to be written: what they tell of the
    time left holds then. `size` is a guess before.
    """

    __slots__ = ("begun", "begun_at", "check", "data", "dropped", "progress", "release", "render", "size")

    def __init__(
        self,
        data: bytes,
        check: Callable[[], bool] | None = None,
        dropped: Callable[[], None] | None = None,
        release: Callable[[], None] | None = None,
        render: Callable[[], bytes] | None = None,
        size: int = 0,
        begun: Callable[[], None] | None = None,
    ) -> None:
        self.data, self.check, self.dropped, self.render = data, check, dropped, render
        self.size = size or len(data)  # that it counts as waiting
        self.begun_at = 0.0  # monotonic seconds at which its first byte was written
        self.begun = begun  # called once, when its first bytes have gone out
        self.release = release  # called once, when its bytes are held no more
        self.progress = Progress.WAITING


def _release(parcel: Parcel) -> None:
    if parcel.release is not None:
        release, parcel.release = parcel.release, None
        release()


def _begin(parcel: Parcel) -> None:
    if parcel.begun is not None:
        begun, parcel.begun = parcel.begun, None
        begun()


class Tally:
    """Bytes waiting to be written, over all connections that share it."""

    __slots__ = ("held",)

    def __init__(self) -> None:
        self.held = 0


class Outbox:
    """Writes parcels in order, so that cancelling whoever posted one never cuts another in two.

    What waits goes out in one write. `stalled` tells of a peer that takes nothing: its connection is cut off
    by whoever sweeps, as a timer for each write would cost more than the write.
    """

    SLICE = 65_536

    def __init__(self, sock: socket.socket | None, tally: Tally) -> None:
        self.sock, self.tally = sock, tally
        self.queue: deque[Parcel] = deque()
        self.pending = 0  # bytes posted and not yet written
        self.writing_since = 0.0  # when the write under way began, or 0
        self.more: asyncio.Future[None] | None = None
        self.batch: list[Parcel] = []  # under way
        self.drained = asyncio.Event()
        self.drained.set()

    def post(self, parcel: Parcel) -> Parcel:
        if not self.queue and not self.pending:
            self.drained.clear()
        self.queue.append(parcel)
        self.pending += parcel.size
        self.tally.held += parcel.size
        if self.more is not None and not self.more.done():
            self.more.set_result(None)
        return parcel

    def withdraw(self, parcel: Parcel) -> bool:
        """Take back what has not begun; True if not one byte of it was written."""
        if parcel.progress is Progress.WAITING:
            self.queue.remove(parcel)
            self._finish(parcel, Progress.DROPPED)
        return parcel.progress is Progress.DROPPED

    def stalled(self, now: float, most_s: float) -> bool:
        return bool(self.writing_since) and now - self.writing_since > most_s

    async def run(self) -> None:
        """Write until the connection breaks (OSError) or this is cancelled."""
        loop, sock = asyncio.get_running_loop(), self.sock
        assert sock is not None, "it is up before anything is written"
        while True:
            if not self.queue:
                self.writing_since = 0.0
                self.more = loop.create_future()
                await self.more
            self._batch()
            if not self.batch:
                continue
            data = self.batch[0].data if len(self.batch) == 1 else b"".join([p.data for p in self.batch])
            try:
                written = sock.send(data)
            except (BlockingIOError, InterruptedError):
                written = 0
            if written:
                self.writing_since = 0.0
            if written == len(data):
                self._written()
            elif rest := self._cut(written):
                await self._write(loop, sock, rest)
            else:  # a socket that takes nothing: what waits is asked for anew once it does
                self.writing_since = self.writing_since or time.monotonic()
                await writable(loop, sock)

    async def _write(self, loop: asyncio.AbstractEventLoop, sock: socket.socket, rest: bytes) -> None:
        """The end of what has begun: it goes out whole, or the connection ends."""
        for at in range(0, len(rest), self.SLICE):
            self.writing_since = time.monotonic()
            await loop.sock_sendall(sock, rest[at : at + self.SLICE])
        self.writing_since = 0.0
        self._written()

    def _batch(self) -> None:
        """The parcels that go out now, each one checked at this moment."""
        self.batch, size, now = [], 0, time.monotonic()
        while self.queue and size < self.SLICE:
            parcel = self.queue.popleft()
            if parcel.check is not None and not parcel.check():
                self._finish(parcel, Progress.DROPPED)
                if parcel.dropped:
                    parcel.dropped()
                continue
            parcel.progress, parcel.begun_at = Progress.BEGUN, now
            if parcel.render is not None:
                self._render(parcel, parcel.render)
            size += len(parcel.data)
            self.batch.append(parcel)

    def _render(self, parcel: Parcel, render: Callable[[], bytes]) -> None:
        parcel.data = render()
        more = len(parcel.data) - parcel.size
        parcel.size += more
        self.pending += more
        self.tally.held += more

    def _cut(self, written: int) -> bytes:
        """Of a batch that went out only so far: what of a parcel is still to come. A parcel of which no byte
        went out waits again and is checked again, as a drain may be told before the socket takes more."""
        batch, self.batch, rest = self.batch, [], b""
        back = list[Parcel]()
        for parcel in batch:
            size = len(parcel.data)
            if written > 0:
                _begin(parcel)
            if written >= size:
                self._finish(parcel, Progress.WRITTEN)
            elif written > 0:
                rest = parcel.data[written:]
                self.batch.append(parcel)
            else:
                parcel.progress, parcel.begun_at = Progress.WAITING, 0.0
                back.append(parcel)
            written = max(0, written - size)
        self.queue.extendleft(reversed(back))
        return rest

    def _written(self) -> None:
        batch, self.batch = self.batch, []
        for parcel in batch:
            _begin(parcel)
            self._finish(parcel, Progress.WRITTEN)

    def _finish(self, parcel: Parcel, progress: Progress) -> None:
        parcel.progress = progress
        self.pending -= parcel.size
        self.tally.held -= parcel.size
        parcel.data, parcel.size = b"", 0
        _release(parcel)
        if not self.queue and not self.pending:
            self.drained.set()

    def close(self) -> None:
        """Nothing more will be written; what waited holds no memory of the tally."""
        self.tally.held -= self.pending
        self.pending = 0
        for parcel in (*self.batch, *self.queue):
            _release(parcel)
        self.queue.clear()
        self.drained.set()
