"""The one writer of a connection."""

from __future__ import annotations

import asyncio
import socket
import time
from collections import deque
from collections.abc import Callable
from enum import Enum

from onyxwick.net.buffer import wait_writable


class WriteProgress(Enum):
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

    __slots__ = (
        "begun_at_s",
        "counted_bytes",
        "data",
        "is_still_wanted",
        "on_begun",
        "on_dropped",
        "on_released",
        "progress",
        "render",
    )

    def __init__(
        self,
        data: bytes,
        is_still_wanted: Callable[[], bool] | None = None,
        on_dropped: Callable[[], None] | None = None,
        on_released: Callable[[], None] | None = None,
        render: Callable[[], bytes] | None = None,
        expected_bytes: int = 0,
        on_begun: Callable[[], None] | None = None,
    ) -> None:
        self.data, self.is_still_wanted, self.on_dropped, self.render = (
            data,
            is_still_wanted,
            on_dropped,
            render,
        )
        self.counted_bytes = expected_bytes or len(data)  # that it counts as waiting
        self.begun_at_s = 0.0  # monotonic seconds at which its first byte was written
        self.on_begun = on_begun  # called once, when its first bytes have gone out
        self.on_released = on_released  # called once, when its bytes are held no more
        self.progress = WriteProgress.WAITING


def _release(pending_write: PendingWrite) -> None:
    if pending_write.on_released is not None:
        release, pending_write.on_released = pending_write.on_released, None
        release()


def _begin(pending_write: PendingWrite) -> None:
    if pending_write.on_begun is not None:
        begun, pending_write.on_begun = pending_write.on_begun, None
        begun()


class ByteBudget:
    """Bytes waiting to be written, over all connections that share it."""

    __slots__ = ("held_bytes",)

    def __init__(self) -> None:
        self.held_bytes = 0


class WriteQueue:
    """Writes writes in order, so that cancelling whoever posted one never cuts another in two.

    What waits goes out in one write. `stalled` tells of a peer that takes nothing: its connection is cut off
    by whoever sweeps, as a timer for each write would cost more than the write.
    """

    BATCH_BYTES = 65_536

    def __init__(self, sock: socket.socket | None, budget: ByteBudget) -> None:
        self.sock, self.budget = sock, budget
        self.queue: deque[PendingWrite] = deque()
        self.pending_bytes = 0  # bytes posted and not yet written
        self.blocked_since_s = 0.0  # when the write under way began, or 0
        self._posted: asyncio.Future[None] | None = None
        self._batch: list[PendingWrite] = []  # under way
        self.drained = asyncio.Event()
        self.drained.set()

    def post(self, pending_write: PendingWrite) -> PendingWrite:
        """Queue a write behind all others."""
        if not self.queue and not self.pending_bytes:
            self.drained.clear()
        self.queue.append(pending_write)
        self.pending_bytes += pending_write.counted_bytes
        self.budget.held_bytes += pending_write.counted_bytes
        if self._posted is not None and not self._posted.done():
            self._posted.set_result(None)
        return pending_write

    def withdraw(self, pending_write: PendingWrite) -> bool:
        """Take back what has not begun; True if not one byte of it was written."""
        if pending_write.progress is WriteProgress.WAITING:
            self.queue.remove(pending_write)
            self._finish(pending_write, WriteProgress.DROPPED)
        return pending_write.progress is WriteProgress.DROPPED

    def is_stalled(self, now_s: float, limit_s: float) -> bool:
        """Has the peer taken nothing for so long?"""
        return bool(self.blocked_since_s) and now_s - self.blocked_since_s > limit_s

    async def run(self) -> None:
        """Write until the connection breaks (OSError) or this is cancelled."""
        loop, sock = asyncio.get_running_loop(), self.sock
        assert sock is not None, "it is up before anything is written"
        while True:
            if not self.queue:
                self.blocked_since_s = 0.0
                self._posted = loop.create_future()
                await self._posted
            self._next_batch()
            if not self._batch:
                continue
            data = self._batch[0].data if len(self._batch) == 1 else b"".join([p.data for p in self._batch])
            try:
                written = sock.send(data)
            except (BlockingIOError, InterruptedError):
                written = 0
            if written:
                self.blocked_since_s = 0.0
            if written == len(data):
                self._finish_batch()
            elif rest := self._split_batch(written):
                await self._write_rest(loop, sock, rest)
            else:  # a socket that takes nothing: what waits is asked for anew once it does
                self.blocked_since_s = self.blocked_since_s or time.monotonic()
                await wait_writable(loop, sock)

    async def _write_rest(self, loop: asyncio.AbstractEventLoop, sock: socket.socket, rest: bytes) -> None:
        """The end of what has begun: it goes out whole, or the connection ends."""
        for at in range(0, len(rest), self.BATCH_BYTES):
            self.blocked_since_s = time.monotonic()
            await loop.sock_sendall(sock, rest[at : at + self.BATCH_BYTES])
        self.blocked_since_s = 0.0
        self._finish_batch()

    def _next_batch(self) -> None:
        """The writes that go out now, each one checked at this moment."""
        self._batch, size, now = [], 0, time.monotonic()
        while self.queue and size < self.BATCH_BYTES:
            pending_write = self.queue.popleft()
            if pending_write.is_still_wanted is not None and not pending_write.is_still_wanted():
                self._finish(pending_write, WriteProgress.DROPPED)
                if pending_write.on_dropped:
                    pending_write.on_dropped()
                continue
            pending_write.progress, pending_write.begun_at_s = WriteProgress.BEGUN, now
            if pending_write.render is not None:
                self._render(pending_write, pending_write.render)
            size += len(pending_write.data)
            self._batch.append(pending_write)

    def _render(self, pending_write: PendingWrite, render: Callable[[], bytes]) -> None:
        pending_write.data = render()
        more = len(pending_write.data) - pending_write.counted_bytes
        pending_write.counted_bytes += more
        self.pending_bytes += more
        self.budget.held_bytes += more

    def _split_batch(self, written: int) -> bytes:
        """Of a batch that went out only so far: what of a write is still to come. One of which none went out
        waits again and is checked again, as a drain may be received before the socket takes more."""
        batch, self._batch, rest = self._batch, [], b""
        back = list[PendingWrite]()
        for pending_write in batch:
            size = len(pending_write.data)
            if written > 0:
                _begin(pending_write)
            if written >= size:
                self._finish(pending_write, WriteProgress.WRITTEN)
            elif written > 0:
                rest = pending_write.data[written:]
                self._batch.append(pending_write)
            else:
                pending_write.progress, pending_write.begun_at_s = WriteProgress.WAITING, 0.0
                back.append(pending_write)
            written = max(0, written - size)
        self.queue.extendleft(reversed(back))
        return rest

    def _finish_batch(self) -> None:
        batch, self._batch = self._batch, []
        for pending_write in batch:
            _begin(pending_write)
            self._finish(pending_write, WriteProgress.WRITTEN)

    def _finish(self, pending_write: PendingWrite, progress: WriteProgress) -> None:
        pending_write.progress = progress
        self.pending_bytes -= pending_write.counted_bytes
        self.budget.held_bytes -= pending_write.counted_bytes
        pending_write.data, pending_write.counted_bytes = b"", 0
        _release(pending_write)
        if not self.queue and not self.pending_bytes:
            self.drained.set()

    def close(self) -> None:
        """Nothing more will be written; what waited holds no memory of the budget."""
        self.budget.held_bytes -= self.pending_bytes
        self.pending_bytes = 0
        for pending_write in (*self._batch, *self.queue):
            _release(pending_write)
        self.queue.clear()
        self.drained.set()
