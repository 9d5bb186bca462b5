"""Writes blocks to files in a separate thread, with limits on memory, file size, age and disk usage.

The module takes blocks and writes files named NAME-RUN-NUMBER.owt. It never blocks the director: if the queue
is full, a block is rejected at once. Blocks that cannot be written because of a disk error are lost and
counted, and a new file is opened after `REOPEN_DELAY_S`.
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

MAX_QUEUED_BLOCKS = 4
REOPEN_DELAY_S = 5.0
"""Delay between a disk error and the attempt to open a new file."""
STOP_TIMEOUT_S = 5.0
MAX_RECORDED_ERRORS = 8
FILE_SUFFIX = ".owt"


@dataclass(frozen=True, slots=True)
class SinkLimits:
    """Size and age limits of one file, and the size limit of all files. The oldest files are removed."""

    file_bytes: int = 64 << 20
    file_s: float = 3600.0
    total_bytes: int = 1 << 30


class TraceFiles:
    """File operations of the writer, which tests can replace. All may raise OSError."""

    def open(self, path: Path) -> BinaryIO:
        """Create a file, and its folder if it does not exist."""
        path.parent.mkdir(parents=True, exist_ok=True)
        return path.open("xb", buffering=0)

    def write(self, file: BinaryIO, data: bytes) -> None:
        """Write all bytes. An unbuffered file may accept only part of them in one call."""
        at = 0
        while at < len(data):
            at += file.write(data[at:]) or 0

    def sizes(self, folder: Path, prefix: str) -> list[tuple[Path, int]]:
        """Return a director's files with their sizes, sorted by name, which is the order of age."""
        found = sorted(folder.glob(f"{prefix}-*{FILE_SUFFIX}"))
        return [(path, path.stat().st_size) for path in found]

    def remove(self, path: Path) -> None:
        """Remove a file."""
        path.unlink()


@dataclass(slots=True)
class SinkCounts:
    """Counts of blocks and requests written and lost since the start."""

    blocks: int = 0
    bytes: int = 0
    lost_blocks: int = 0
    lost_requests: int = 0
    files: int = 0
    errors: list[str] = field(default_factory=list)
    """The latest disk errors, at most `MAX_RECORDED_ERRORS`."""

    def add_error(self, error: Exception) -> None:
        """Add the message of an error and drop the oldest ones above the limit."""
        self.errors = [*self.errors, str(error)][-MAX_RECORDED_ERRORS:]


class TraceWriterThread:
    """Writes the files of one run of a director."""

    def __init__(
        self,
        folder: Path,
        header: f.FileHeader,
        limits: SinkLimits | None = None,
        files: TraceFiles | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """`clock` returns monotonic seconds."""
        self.folder = folder
        self.header = header
        self.limits = limits or SinkLimits()
        self.files = files or TraceFiles()
        self.clock = clock
        self.counts = SinkCounts()
        self.queue: queue.Queue[RecordedBlock | None] = queue.Queue(MAX_QUEUED_BLOCKS)
        self.file: BinaryIO | None = None
        self.entries: list[f.BlockIndexEntry] = []
        self.offset = 0
        self.opened_s = 0.0
        self.file_count = 0
        self.reopen_s = 0.0
        self.unreported_lost_requests = 0
        """Requests lost since the last block was written. The next block reports them."""
        self.thread: threading.Thread | None = None

    # ---- called by the director -------------------------------------------------------------------------

    def start(self) -> None:
        """Start the thread."""
        self.thread = threading.Thread(target=self._run, name="trace", daemon=True)
        self.thread.start()

    def enqueue(self, block: RecordedBlock) -> bool:
        """Queue a block for writing. Returns False without waiting if the queue is full."""
        try:
            self.queue.put_nowait(block)
        except queue.Full:
            return False
        return True

    def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> None:
        """Write the queued blocks and close the file.

        Gives up if the disk does not respond in time; the file then has no index.
        """
        if self.thread is None:
            return
        try:
            self.queue.put(None, timeout=timeout_s)
        except queue.Full:
            return
        self.thread.join(timeout_s)

    # ---- in the thread ----------------------------------------------------------------------------------

    def _run(self) -> None:
        while (block := self.queue.get()) is not None:
            self.write(block)
        self.close()

    def write(self, block: RecordedBlock) -> None:
        """Write one block. If this fails, count it as lost."""
        block.head.dropped += self.unreported_lost_requests
        head, data = block.encode()
        try:
            self._ensure_file(len(data))
            assert self.file is not None
            self.files.write(self.file, data)
        except OSError as error:
            self._record_loss(error, head)
            return
        self.unreported_lost_requests = 0
        self.entries.append(f.BlockIndexEntry(self.offset, len(data), head))
        self.offset += len(data)
        self.counts.blocks += 1
        self.counts.bytes += len(data)

    def _record_loss(self, error: OSError, head: f.BlockHead) -> None:
        self.counts.lost_blocks += 1
        self.counts.lost_requests += head.lives
        self.counts.add_error(error)
        self.unreported_lost_requests = head.dropped + head.lives
        self.reopen_s = self.clock() + REOPEN_DELAY_S
        if self.file is not None:  # The file may end with a partial block, which readers skip.
            self._close_file()

    def _close_file(self) -> None:
        assert self.file is not None
        try:
            self.file.close()
        except OSError as error:
            self.counts.add_error(error)
        self.file = None

    def _ensure_file(self, size: int) -> None:
        """Ensure that an open file has room for a block of `size` bytes. Raises OSError if this fails."""
        limits = self.limits
        if self.file is not None:
            is_old = self.clock() - self.opened_s >= limits.file_s
            if is_old or self.offset + size > limits.file_bytes:
                self.close()
        if self.file is not None:
            return
        if self.clock() < self.reopen_s:
            raise OSError("no new trace file yet: waiting after a disk error")
        self._remove_old_files()
        data = f.encode_opening(self.header)
        self.file_count += 1
        name = f"{self.header.director}-{self.header.run}-{self.file_count:06d}{FILE_SUFFIX}"
        self.file = self.files.open(self.folder / name)
        self.files.write(self.file, data)
        self.entries = []
        self.offset = len(data)
        self.opened_s = self.clock()
        self.counts.files += 1

    def _remove_old_files(self) -> None:
        """Remove this director's oldest files until a new file fits within the limit of all files."""
        existing = self.files.sizes(self.folder, self.header.director) if self.folder.exists() else []
        total = sum(size for _, size in existing)
        for path, size in existing:
            if total + self.limits.file_bytes <= self.limits.total_bytes:
                return
            self.files.remove(path)
            total -= size

    def close(self) -> None:
        """Write the index and close the file."""
        if self.file is None:
            return
        try:
            self.files.write(self.file, f.encode_index(self.entries, self.offset))
        except (OSError, TraceError) as error:
            self.counts.add_error(error)
        self._close_file()
