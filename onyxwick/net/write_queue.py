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
    """How far a write has come."""

    WAITING = "waiting"
    BEGUN = "begun"  # some of it may have been written
    WRITTEN = "written"
    DROPPED = "dropped"  # not one byte of it was written


class PendingWrite:
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


def _release(pending_write: PendingWrite) -> None:
    if pending_write.release is not None:
        release, pending_write.release = pending_write.release, None
        release()


def _begin(pending_write: PendingWrite) -> None:
    if pending_write.begun is not None:
        begun, pending_write.begun = pending_write.begun, None
        begun()


class ByteBudget:
    """Bytes waiting to be written, over all connections that share it."""

    __slots__ = ("held",)

    def __init__(self) -> None:
        self.held = 0


class WriteQueue:
    """Writes writes in order, so that cancelling whoever posted one never cuts another in two.

    What waits goes out in one write. `stalled` tells of a peer that takes nothing: its connection is cut off
    by whoever sweeps, as a timer for each write would cost more than the write.
    """

    SLICE = 65_536

    def __init__(self, sock: socket.socket | None, budget: ByteBudget) -> None:
        self.sock, self.budget = sock, budget
        self.queue: deque[PendingWrite] = deque()
        self.pending = 0  # bytes posted and not yet written
        self.writing_since = 0.0  # when the write under way began, or 0
        self.more: asyncio.Future[None] | None = None
        self.batch: list[PendingWrite] = []  # under way
        self.drained = asyncio.Event()
        self.drained.set()

    def post(self, pending_write: PendingWrite) -> PendingWrite:
        """Queue a write behind all others."""
        if not self.queue and not self.pending:
            self.drained.clear()
        self.queue.append(pending_write)
        self.pending += pending_write.size
        self.budget.held += pending_write.size
        if self.more is not None and not self.more.done():
            self.more.set_result(None)
        return pending_write

    def withdraw(self, pending_write: PendingWrite) -> bool:
        """Take back what has not begun; True if not one byte of it was written."""
        if pending_write.progress is Progress.WAITING:
            self.queue.remove(pending_write)
            self._finish(pending_write, Progress.DROPPED)
        return pending_write.progress is Progress.DROPPED

    def stalled(self, now: float, most_s: float) -> bool:
        """Has the peer taken nothing for so long?"""
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
        """The writes that go out now, each one checked at this moment."""
        self.batch, size, now = [], 0, time.monotonic()
        while self.queue and size < self.SLICE:
            pending_write = self.queue.popleft()
            if pending_write.check is not None and not pending_write.check():
                self._finish(pending_write, Progress.DROPPED)
                if pending_write.dropped:
                    pending_write.dropped()
                continue
            pending_write.progress, pending_write.begun_at = Progress.BEGUN, now
            if pending_write.render is not None:
                self._render(pending_write, pending_write.render)
            size += len(pending_write.data)
            self.batch.append(pending_write)

    def _render(self, pending_write: PendingWrite, render: Callable[[], bytes]) -> None:
        pending_write.data = render()
        more = len(pending_write.data) - pending_write.size
        pending_write.size += more
        self.pending += more
        self.budget.held += more

    def _cut(self, written: int) -> bytes:
        """Of a batch that went out only so far: what of a write is still to come. One of which none went out
        waits again and is checked again, as a drain may be received before the socket takes more."""
        batch, self.batch, rest = self.batch, [], b""
        back = list[PendingWrite]()
        for pending_write in batch:
            size = len(pending_write.data)
            if written > 0:
                _begin(pending_write)
            if written >= size:
                self._finish(pending_write, Progress.WRITTEN)
            elif written > 0:
                rest = pending_write.data[written:]
                self.batch.append(pending_write)
            else:
                pending_write.progress, pending_write.begun_at = Progress.WAITING, 0.0
                back.append(pending_write)
            written = max(0, written - size)
        self.queue.extendleft(reversed(back))
        return rest

    def _written(self) -> None:
        batch, self.batch = self.batch, []
        for pending_write in batch:
            _begin(pending_write)
            self._finish(pending_write, Progress.WRITTEN)

    def _finish(self, pending_write: PendingWrite, progress: Progress) -> None:
        pending_write.progress = progress
        self.pending -= pending_write.size
        self.budget.held -= pending_write.size
        pending_write.data, pending_write.size = b"", 0
        _release(pending_write)
        if not self.queue and not self.pending:
            self.drained.set()

    def close(self) -> None:
        """Nothing more will be written; what waited holds no memory of the budget."""
        self.budget.held -= self.pending
        self.pending = 0
        for pending_write in (*self.batch, *self.queue):
            _release(pending_write)
        self.queue.clear()
        self.drained.set()
