"""Blocks to files, in a thread of its own: bounded in memory and on disk, and never the cause of a wait.

What the disk refuses is lost and counted; the director goes on, and a new file is tried after a while.
"""

from __future__ import annotations

import queue
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import BinaryIO

from onyxwick.trace import format as f
from onyxwick.trace.model import TraceError
from onyxwick.trace.recorder import RecordedBlock

WAITING = 4  # blocks that wait to be written; over it whole requests are left out
AGAIN_S = 5.0  # after the disk refused
SUFFIX = ".owt"


@dataclass(frozen=True, slots=True)
class SinkLimits:
    """Of one file and of all: whichever comes first begins a new file; the oldest go."""

    file_bytes: int = 64 << 20
    file_s: float = 3600.0
    total_bytes: int = 1 << 30


class SinkFolder:
    """The file calls that a sink makes; tests put their own in its place."""

    def open(self, path: Path) -> BinaryIO:
        path.parent.mkdir(parents=True, exist_ok=True)
        return path.open("xb", buffering=0)

    def write(self, file: BinaryIO, data: bytes) -> None:
        at = 0
        while at < len(data):  # a raw file may take a part
            at += file.write(data[at:]) or 0

    def sizes(self, folder: Path, prefix: str) -> list[tuple[Path, int]]:
        """A director's files, oldest first by name."""
        found = sorted(p for p in folder.glob(f"{prefix}-*{SUFFIX}"))
        return [(p, p.stat().st_size) for p in found]

    def remove(self, path: Path) -> None:
        path.unlink()


@dataclass(slots=True)
class SinkCounts:
    blocks: int = 0
    bytes: int = 0
    lost_blocks: int = 0
    lost_requests: int = 0
    files: int = 0
    errors: list[str] = field(default_factory=list)  # the last few


class Sink:
    """Files of one director's run: NAME-RUN-NUMBER.owt."""

    def __init__(
        self,
        folder: Path,
        header: f.FileHeader,
        bounds: SinkLimits | None = None,
        disk: SinkFolder | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.folder, self.header = folder, header
        self.bounds, self.disk, self.clock = bounds or SinkLimits(), disk or SinkFolder(), clock
        self.counts = SinkCounts()
        self.waiting: queue.Queue[RecordedBlock | None] = queue.Queue(WAITING)
        self.file: BinaryIO | None = None
        self.entries: list[f.BlockIndexEntry] = []
        self.offset, self.opened, self.number, self.again_at = 0, 0.0, 0, 0.0
        self.lost = 0  # requests lost since the last block that was written
        self.thread: threading.Thread | None = None

    # ---- from the director's side -----------------------------------------------------------------------

    def start(self) -> None:
        self.thread = threading.Thread(target=self._run, name="trace", daemon=True)
        self.thread.start()

    def take(self, block: RecordedBlock) -> bool:
        """A block to be written; False at once where too many wait."""
        try:
            self.waiting.put_nowait(block)
        except queue.Full:
            return False
        return True

    def stop(self, wait_s: float = 5.0) -> None:
        """Write what waits and close the file with its index."""
        if self.thread is not None:
            try:
                self.waiting.put(None, timeout=wait_s)
            except queue.Full:
                return  # the disk hangs: the file is left without an index, which a reader makes anew
            self.thread.join(wait_s)

    # ---- in the thread ----------------------------------------------------------------------------------

    def _run(self) -> None:
        while (block := self.waiting.get()) is not None:
            self.write(block)
        self.close()

    def write(self, block: RecordedBlock) -> None:
        """One block, or its loss counted."""
        block.head.dropped += self.lost
        head, data = block.sealed()
        try:
            self._ready(len(data))
            assert self.file is not None
            self.disk.write(self.file, data)
        except OSError as error:
            self._failed(error, head)
            return
        self.lost = 0
        self.entries.append(f.BlockIndexEntry(self.offset, len(data), head))
        self.offset += len(data)
        self.counts.blocks += 1
        self.counts.bytes += len(data)

    def _failed(self, error: OSError, head: f.BlockHead) -> None:
        self.counts.lost_blocks += 1
        self.counts.lost_requests += head.lives
        self.counts.errors = [*self.counts.errors[-7:], str(error)]
        self.lost = head.dropped + head.lives
        self.again_at = self.clock() + AGAIN_S
        if self.file is not None:  # half a block may be in it: the reader passes that over
            self._drop_file()

    def _drop_file(self) -> None:
        assert self.file is not None
        try:
            self.file.close()
        except OSError as error:
            self.counts.errors.append(str(error))
        self.file = None

    def _ready(self, size: int) -> None:
        """A file that the next block goes to; OSError where there is none."""
        bounds = self.bounds
        old = self.file is not None and self.clock() - self.opened >= bounds.file_s
        if self.file is not None and (old or self.offset + size > bounds.file_bytes):
            self.close()
        if self.file is not None:
            return
        if self.clock() < self.again_at:
            raise OSError("the disk refused a while ago")
        self._make_room()
        data = f.opening(self.header)
        self.number += 1
        name = f"{self.header.director}-{self.header.run}-{self.number:06d}{SUFFIX}"
        self.file = self.disk.open(self.folder / name)
        self.disk.write(self.file, data)
        self.entries, self.offset, self.opened = [], len(data), self.clock()
        self.counts.files += 1

    def _make_room(self) -> None:
        """The oldest files of this director go, until one more fits."""
        held = self.disk.sizes(self.folder, self.header.director) if self.folder.exists() else []
        total = sum(size for _, size in held)
        for path, size in held:
            if total + self.bounds.file_bytes <= self.bounds.total_bytes:
                return
            self.disk.remove(path)
            total -= size

    def close(self) -> None:
        """End the file with its index."""
        if self.file is None:
            return
        try:
            self.disk.write(self.file, f.index_frame(self.entries, self.offset))
        except (OSError, TraceError) as error:
            self.counts.errors.append(str(error))
        self._drop_file()
