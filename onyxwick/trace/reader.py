"""Reads traces one block at a time, including damaged traces.

The module takes a file and returns its header and the tables of its blocks. Blocks are located with the
index at the end of the file or, after a crash, by scanning for frames. Damaged parts are skipped and recorded
in `losses`. Memory is bounded by one block and the heads of all blocks.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import BinaryIO

from onyxwick.trace import format as f
from onyxwick.trace.model import TraceDamagedError, TraceError
from onyxwick.trace.table import StringTable, Table, from_body

SCAN_BYTES = 1 << 20
"""Number of bytes read at a time in the search for the next frame."""
BlockFilter = Callable[[f.BlockHead], bool]
"""Returns whether a block with this head is needed."""


@dataclass(slots=True)
class ReadLoss:
    """A range of bytes that could not be read, and the cause."""

    offset: int
    size: int
    cause: str


@dataclass(slots=True)
class TraceReader:
    """An open trace file."""

    path: Path
    file: BinaryIO
    header: f.FileHeader
    begin: int
    size: int
    entries: list[f.BlockIndexEntry] = field(default_factory=list)
    losses: list[ReadLoss] = field(default_factory=list)
    indexed: bool = False
    read_bytes: int = 0

    def __enter__(self) -> TraceReader:
        return self

    def __exit__(self, *_: object) -> None:
        self.file.close()

    def read(self, offset: int, size: int) -> bytes:
        """Read bytes of the file. Returns fewer than `size` at its end."""
        self.file.seek(offset)
        data = self.file.read(size)
        self.read_bytes += len(data)
        return data

    def head(self, entry: f.BlockIndexEntry) -> f.BlockHead:
        """Read the head in a block's frame, without the body.

        The checksum is not verified, because it covers both. Raises TraceDamagedError if the head is invalid.
        """
        _, size, _, _, _ = f.read_frame_sizes(self.read(entry.offset, f.FRAME.size))
        return f.read_head(self.read(entry.offset + f.FRAME.size, size))

    def block(self, entry: f.BlockIndexEntry, strings: StringTable) -> Table:
        """Read one block as a table. Raises TraceDamagedError if it cannot be read."""
        data = self.read(entry.offset, entry.size)
        magic, head, body, raw, check = f.read_frame_sizes(data)
        if magic != f.BLOCK or f.FRAME.size + head + body > len(data):
            raise TraceDamagedError("a block is truncated or does not start with a block frame")
        head_bytes = data[f.FRAME.size : f.FRAME.size + head]
        body_bytes = data[f.FRAME.size + head : f.FRAME.size + head + body]
        f.verify_checksum(head_bytes, body_bytes, check)
        # Use the head in the frame, not the one in the index: only the former is covered by the checksum.
        parsed = f.read_body(f.decompress(body_bytes, raw), f.read_head(head_bytes))
        return from_body(parsed, strings, self.header.director)

    def tables(
        self, strings: StringTable, wanted: BlockFilter | None = None
    ) -> Iterator[tuple[f.BlockHead, Table]]:
        """Yield the heads and tables of the blocks that are needed; all blocks if `wanted` is None.

        Damaged blocks are skipped and recorded in `losses`.
        """
        for entry in self.entries:
            if wanted is not None and not wanted(entry.head):
                continue
            try:
                if wanted is not None and not entry.head.bloom and not wanted(self.head(entry)):
                    continue  # Heads in the index have no Bloom filter; the head in the block has one.
                table = self.block(entry, strings)
            except TraceDamagedError as error:
                self.losses.append(ReadLoss(entry.offset, entry.size, str(error)))
                continue
            yield entry.head, table


def open_trace(path: Path) -> TraceReader:
    """Open a trace. Raises TraceError if it is not a trace. Damaged parts are recorded in `losses`."""
    try:
        file = path.open("rb")
    except OSError as error:
        raise TraceError(f"{path.name}: {error.strerror}") from None
    try:
        size = path.stat().st_size
        header, begin = f.read_opening(file)
    except TraceError as error:
        file.close()
        raise TraceError(f"{path.name}: {error}") from None
    trace = TraceReader(path, file, header, begin, size)
    if not _use_index(trace):
        _scan(trace)
    return trace


def _use_index(trace: TraceReader) -> bool:
    """Load the index at the end of the file. Returns False if there is no valid index."""
    if trace.size < trace.begin + f.CLOSING.size + f.FRAME.size:
        return False
    offset, magic = f.CLOSING.unpack(trace.read(trace.size - f.CLOSING.size, f.CLOSING.size))
    if magic != f.END or not trace.begin <= offset <= trace.size - f.CLOSING.size - f.FRAME.size:
        return False
    try:
        data = trace.read(offset, trace.size - f.CLOSING.size - offset)
        kind, head, body, raw, check = f.read_frame_sizes(data)
        if kind != f.INDEX or f.FRAME.size + head + body != len(data):
            return False
        f.verify_checksum(data[f.FRAME.size : f.FRAME.size + head], data[f.FRAME.size + head :], check)
        entries = f.read_index(f.decompress(data[f.FRAME.size + head :], raw))
    except TraceDamagedError:
        return False
    if any(e.offset < trace.begin or e.size < 0 or e.offset + e.size > offset for e in entries):
        return False
    trace.entries = entries
    trace.indexed = True
    return True


def _scan(trace: TraceReader) -> None:
    """Rebuild the index by scanning the frames. Skips a damaged frame and continues at the next one."""
    at = trace.begin
    while at < trace.size:
        try:
            size, entry = _frame_at(trace, at)
        except TraceDamagedError as error:
            following = _next_magic(trace, at + 1)
            trace.losses.append(ReadLoss(at, following - at, str(error)))
            at = following
            continue
        if entry is not None:
            trace.entries.append(entry)
        at += size


def _frame_at(trace: TraceReader, at: int) -> tuple[int, f.BlockIndexEntry | None]:
    """Return the size of the frame at an offset, and its index entry; None if it is not a block.

    Raises TraceDamagedError if the frame is invalid.
    """
    start = trace.read(at, f.FRAME.size)
    if start[-f.CLOSING.size :].endswith(f.END) or (len(start) == f.CLOSING.size and start.endswith(f.END)):
        return len(start), None
    magic, head, body, _, check = f.read_frame_sizes(start)
    data = trace.read(at + f.FRAME.size, head + body)
    if len(data) < head + body:
        raise TraceDamagedError("a frame is truncated by the end of the file")
    f.verify_checksum(data[:head], data[head:], check)
    size = f.FRAME.size + head + body
    if magic == f.INDEX:
        return size, None
    return size, f.BlockIndexEntry(at, size, f.read_head(data[:head]))


def _next_magic(trace: TraceReader, at: int) -> int:
    """Return the offset of the next frame's magic number, or the end of the file."""
    while at < trace.size:
        data = trace.read(at, SCAN_BYTES)
        positions = [position for magic in (f.BLOCK, f.INDEX) if (position := data.find(magic)) >= 0]
        if positions:
            return at + min(positions)
        if len(data) < len(f.BLOCK):
            break
        at += max(1, len(data) - len(f.BLOCK) + 1)
    return trace.size
