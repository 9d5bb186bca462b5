"""The one writer of a connection."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from enum import Enum


class Progress(Enum):
    WAITING = "waiting"
    BEGUN = "begun"  # some of it may have been written
    WRITTEN = "written"
    DROPPED = "dropped"  # not one byte of it was written


class Parcel:
    """Bytes to be written as one. `check` is asked right before the first of them."""

    __slots__ = ("check", "data", "dropped", "progress")

    def __init__(
        self,
        data: bytes,
        check: Callable[[], bool] | None = None,
        dropped: Callable[[], None] | None = None,
    ) -> None:
        self.data, self.check, self.dropped = data, check, dropped
        self.progress = Progress.WAITING


class Outbox:
    """Writes parcels in order, so that cancelling whoever posted one never cuts another in two.

    `stalled_s` bounds how long one slice may take: a peer that reads nothing is cut off.
    """

    SLICE = 65_536

    def __init__(self, sock: socket.socket, stalled_s: float) -> None:
        self.sock, self.stalled_s = sock, stalled_s
        self.queue: deque[Parcel] = deque()
        self.pending = 0  # bytes posted and not yet written
        self.more = asyncio.Event()
        self.drained = asyncio.Event()
        self.drained.set()

    def post(self, parcel: Parcel) -> Parcel:
        self.queue.append(parcel)
        self.pending += len(parcel.data)
        self.drained.clear()
        self.more.set()
        return parcel

    def withdraw(self, parcel: Parcel) -> bool:
        """Take back what has not begun; True if not one byte of it was written."""
        if parcel.progress is Progress.WAITING:
            self.queue.remove(parcel)
            self._finish(parcel, Progress.DROPPED)
        return parcel.progress is Progress.DROPPED

    async def run(self) -> None:
        """Write until the connection breaks (OSError, TimeoutError) or this is cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            while not self.queue:
                self.more.clear()
                await self.more.wait()
            parcel = self.queue.popleft()
            if parcel.check is not None and not parcel.check():
                self._finish(parcel, Progress.DROPPED)
                if parcel.dropped:
                    parcel.dropped()
                continue
            parcel.progress = Progress.BEGUN
            view = memoryview(parcel.data)
            for at in range(0, len(view), self.SLICE):
                async with asyncio.timeout(self.stalled_s):
                    await loop.sock_sendall(self.sock, view[at : at + self.SLICE])
            self._finish(parcel, Progress.WRITTEN)

    def _finish(self, parcel: Parcel, progress: Progress) -> None:
        parcel.progress = progress
        self.pending -= len(parcel.data)
        parcel.data = b""
        if not self.queue and self.pending == 0:
            self.drained.set()
