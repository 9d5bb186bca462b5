"""Writes to a connection in order and in batches; each write is sent completely or not started at all.

Only the queue's own task writes to the socket, so that cancelling a task that posted a write never truncates
another write. Sizes are bytes, times are monotonic seconds.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections import deque
from collections.abc import Callable
from enum import Enum

from onyxwick.core.memory_account import HeldBytes
from onyxwick.net.peer_progress import PeerProgress
from onyxwick.net.socket_state import wait_writable

WRITE_BYTES = 256
"""Memory accounted for a pending write beside its bytes."""


class WriteProgress(Enum):
    """The progress of a write."""

    WAITING = "waiting"
    BEGUN = "begun"
    """A part of the bytes may have been written."""
    WRITTEN = "written"
    DROPPED = "dropped"
    """No byte of the write was written."""


class PendingWrite:
    """Bytes that are written completely or not at all.

    `is_still_wanted` is called right before the first byte is sent. If it returns False, the write is dropped
    and `on_dropped` is called. `render` produces the bytes at that moment, and again on each later attempt to
    send them, so that a remaining time in them is current; until then `expected_bytes` is their estimated
    size. `on_started` is called once when the first bytes are written, and `on_released` once when the queue
    no longer holds the bytes. `make_substitute` returns shorter bytes that may be written instead while no
    byte is written; None if there are none.
    """

    __slots__ = (
        "counted_bytes",
        "data",
        "is_still_wanted",
        "make_substitute",
        "on_dropped",
        "on_released",
        "on_started",
        "progress",
        "render",
        "started_at_s",
    )

    def __init__(
        self,
        data: bytes,
        is_still_wanted: Callable[[], bool] | None = None,
        on_dropped: Callable[[], None] | None = None,
        on_released: Callable[[], None] | None = None,
        render: Callable[[], bytes] | None = None,
        expected_bytes: int = 0,
        on_started: Callable[[], None] | None = None,
        make_substitute: Callable[[], bytes] | None = None,
    ) -> None:
        self.data = data
        self.is_still_wanted = is_still_wanted
        self.on_dropped = on_dropped
        self.on_released = on_released
        self.render = render
        self.on_started = on_started
        self.make_substitute = make_substitute
        self.counted_bytes = expected_bytes or len(data)  # its share of the queue's `pending_bytes`
        self.started_at_s = 0.0  # when its first byte was written, or 0
        self.progress = WriteProgress.WAITING

    def drop_callbacks(self) -> None:
        """Drop the callbacks of a write that is over: they refer to the attempt that refers to this write."""
        self.is_still_wanted = None
        self.on_dropped = None
        self.render = None
        self.on_started = None
        self.make_substitute = None


def _call_on_released(pending_write: PendingWrite) -> None:
    on_released = pending_write.on_released
    if on_released is not None:
        pending_write.on_released = None
        on_released()


def _call_on_begun(pending_write: PendingWrite) -> None:
    on_started = pending_write.on_started
    if on_started is not None:
        pending_write.on_started = None
        on_started()


class WriteQueue:
    """The pending writes of one connection.

    A periodic sweep calls `is_stalled` to detect a peer that accepts nothing, because a timer for each write
    would cost more than the write itself.
    """

    BATCH_BYTES = 65_536

    def __init__(self, sock: socket.socket | None, budget: HeldBytes) -> None:
        self._sock = sock
        self.progress = PeerProgress(sock)
        self.budget = budget
        self.queue: deque[PendingWrite] = deque()
        self.pending_bytes = 0  # posted and not yet written
        self.drained = asyncio.Event()
        self.drained.set()
        self._batch: list[PendingWrite] = []  # the writes being sent
        self._posted: asyncio.Future[None] | None = None

    @property
    def sock(self) -> socket.socket | None:
        """The socket that is written to; None until the connection is established."""
        return self._sock

    @sock.setter
    def sock(self, sock: socket.socket | None) -> None:
        self._sock = sock
        self.progress.sock = sock

    @property
    def held_bytes(self) -> int:
        """The memory accounted for the writes that are not finished."""
        return self.pending_bytes + WRITE_BYTES * (len(self.queue) + len(self._batch))

    def post(self, pending_write: PendingWrite) -> PendingWrite:
        """Append a write to the queue and return it."""
        if not self.queue and not self.pending_bytes:
            self.drained.clear()
        self.queue.append(pending_write)
        self.pending_bytes += pending_write.counted_bytes
        self.budget.held_bytes += pending_write.counted_bytes + WRITE_BYTES
        if self._posted is not None and not self._posted.done():
            self._posted.set_result(None)
        return pending_write

    def withdraw(self, pending_write: PendingWrite) -> bool:
        """Remove a write that has not started. Returns True if no byte of it was written."""
        if pending_write.progress is WriteProgress.WAITING:
            self.queue.remove(pending_write)
            self._finish(pending_write, WriteProgress.DROPPED)
        return pending_write.progress is WriteProgress.DROPPED

    def is_stalled(self, now_s: float, limit_s: float) -> bool:
        """Return whether the peer has taken next to nothing for longer than `limit_s` while a write waits."""
        return self.progress.stopped_s(now_s) > limit_s

    def substitutable_bytes(self) -> int:
        """Return the bytes of writes that are not begun and that `substitute` would shorten."""
        return sum(each.counted_bytes for each in self.queue if each.make_substitute is not None)

    def substitute(self) -> int:
        """Replace the bytes of each write that is not begun and has a substitute. Return how many."""
        count = 0
        for pending_write in self.queue:
            make_substitute = pending_write.make_substitute
            if make_substitute is not None:
                pending_write.make_substitute = None
                self._set_data(pending_write, make_substitute())
                count += 1
        return count

    async def run(self) -> None:
        """Write until cancelled. Raises OSError if the connection fails."""
        loop = asyncio.get_running_loop()
        sock = self.sock
        assert sock is not None, "the connection must be established before the write queue runs"
        while True:
            if not self.queue:
                self.progress.clear()
                self._posted = loop.create_future()
                await self._posted
            self._next_batch()
            if self._batch:
                await self._write_batch(loop, sock)

    async def _write_batch(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        batch = self._batch
        data = batch[0].data if len(batch) == 1 else b"".join([each.data for each in batch])
        try:
            written = sock.send(data)
        except (BlockingIOError, InterruptedError):
            written = 0
        if written:
            self.progress.clear()
        if written == len(data):
            self._finish_batch()
        elif rest := self._split_batch(written):
            del batch, data  # freed while the rest waits
            await self._write_rest(loop, sock, rest)
        else:  # no byte was accepted: the writes are checked again once the socket is writable
            if not self.progress.since_s:
                self.progress.mark(time.monotonic())
            await wait_writable(loop, sock)

    async def _write_rest(
        self, loop: asyncio.AbstractEventLoop, sock: socket.socket, rest: memoryview
    ) -> None:
        """Send the rest of a write that was sent in part; it is completed unless the connection fails."""
        for at in range(0, len(rest), self.BATCH_BYTES):
            self.progress.mark(time.monotonic())
            await loop.sock_sendall(sock, rest[at : at + self.BATCH_BYTES])
        self.progress.clear()
        self._finish_batch()

    def _next_batch(self) -> None:
        """Take the next writes from the queue into a batch, and drop those that are no longer wanted."""
        self._batch = []
        size = 0
        now_s = time.monotonic()
        while self.queue and size < self.BATCH_BYTES:
            pending_write = self.queue.popleft()
            if pending_write.is_still_wanted is not None and not pending_write.is_still_wanted():
                on_dropped = pending_write.on_dropped
                self._finish(pending_write, WriteProgress.DROPPED)
                if on_dropped is not None:
                    on_dropped()
                continue
            pending_write.progress = WriteProgress.BEGUN
            pending_write.started_at_s = now_s
            if pending_write.render is not None:
                self._render(pending_write, pending_write.render)
            size += len(pending_write.data)
            self._batch.append(pending_write)

    def _render(self, pending_write: PendingWrite, render: Callable[[], bytes]) -> None:
        self._set_data(pending_write, render())

    def _set_data(self, pending_write: PendingWrite, data: bytes) -> None:
        pending_write.data = data
        difference = len(pending_write.data) - pending_write.counted_bytes
        pending_write.counted_bytes += difference
        self.pending_bytes += difference
        self.budget.held_bytes += difference

    def _split_batch(self, written: int) -> memoryview:
        """Account for a batch of which only `written` bytes were sent.

        Returns the remaining bytes of the write that was sent in part, or no bytes. Writes of which nothing
        was sent return to the queue and are checked again before they are sent, as a drain may be received
        before the socket is writable.
        """
        batch = self._batch
        self._batch = []
        rest = memoryview(b"")
        not_begun = list[PendingWrite]()
        for pending_write in batch:
            size = len(pending_write.data)
            if written > 0:
                _call_on_begun(pending_write)
            if written >= size:
                self._finish(pending_write, WriteProgress.WRITTEN)
            elif written > 0:
                rest = memoryview(pending_write.data)[written:]
                self._batch.append(pending_write)
            else:
                pending_write.progress = WriteProgress.WAITING
                pending_write.started_at_s = 0.0
                not_begun.append(pending_write)
            written = max(0, written - size)
        self.queue.extendleft(reversed(not_begun))
        return rest

    def _finish_batch(self) -> None:
        batch = self._batch
        self._batch = []
        for pending_write in batch:
            _call_on_begun(pending_write)
            self._finish(pending_write, WriteProgress.WRITTEN)

    def _finish(self, pending_write: PendingWrite, progress: WriteProgress) -> None:
        pending_write.progress = progress
        self.pending_bytes -= pending_write.counted_bytes
        self.budget.held_bytes -= pending_write.counted_bytes + WRITE_BYTES
        pending_write.data = b""
        pending_write.counted_bytes = 0
        pending_write.drop_callbacks()
        _call_on_released(pending_write)
        if not self.queue and not self.pending_bytes:
            self.drained.set()

    def close(self) -> None:
        """Discard all pending writes and remove them from the budget; nothing is written any more."""
        self.budget.held_bytes -= self.held_bytes
        self.pending_bytes = 0
        for pending_write in (*self._batch, *self.queue):
            pending_write.drop_callbacks()
            _call_on_released(pending_write)
        self._batch = []
        self.queue.clear()
        self.drained.set()
