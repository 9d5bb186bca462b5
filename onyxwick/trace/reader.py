"""Reads traces a block at a time, also damaged ones.

Input: a file. Output: its header and the tables of its blocks. Blocks are found by the index at the end,
or, after a crash, by scanning for frames; what is damaged is skipped and noted in `losses`. Memory is
bounded by one block and the heads of all.
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
"""Searched at a time for the next frame."""
BlockFilter = Callable[[f.BlockHead], bool]
"""Whether a block is needed, by its head."""


@dataclass(slots=True)
class ReadLoss:
    """Bytes of a file that could not be read, and why."""

    offset: int
    size: int
    cause: str


@dataclass(slots=True)
class TraceReader:
    """One open file."""

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
        """Bytes of the file; fewer at its end."""
        self.file.seek(offset)
        data = self.file.read(size)
        self.read_bytes += len(data)
        return data

    def head(self, entry: f.BlockIndexEntry) -> f.BlockHead:
        """A block's own head, without its body. Not verified, as the checksum covers both."""
        _, size, _, _, _ = f.read_frame_sizes(self.read(entry.offset, f.FRAME.size))
        return f.read_head(self.read(entry.offset + f.FRAME.size, size))

    def block(self, entry: f.BlockIndexEntry, strings: StringTable) -> Table:
        """One block as a table; TraceDamagedError if it cannot be read."""
        data = self.read(entry.offset, entry.size)
        magic, head, body, raw, check = f.read_frame_sizes(data)
        if magic != f.BLOCK or f.FRAME.size + head + body > len(data):
            raise TraceDamagedError("a block is cut")
        head_bytes = data[f.FRAME.size : f.FRAME.size + head]
        body_bytes = data[f.FRAME.size + head : f.FRAME.size + head + body]
        f.verify_checksum(head_bytes, body_bytes, check)
        # The head in the frame, not the one in the index: only the former is covered by the checksum.
        parsed = f.read_body(f.decompress(body_bytes, raw), f.read_head(head_bytes))
        return from_body(parsed, strings, self.header.director)

    def tables(
        self, strings: StringTable, wanted: BlockFilter | None = None
    ) -> Iterator[tuple[f.BlockHead, Table]]:
        """The blocks that are needed, all if `wanted` is None; damaged ones are noted and skipped."""
        for entry in self.entries:
            if wanted is not None and not wanted(entry.head):
                continue
            try:
                if wanted is not None and not entry.head.bloom and not wanted(self.head(entry)):
                    continue  # the index has no Bloom filters, the block's own head has one
                table = self.block(entry, strings)
            except TraceDamagedError as error:
                self.losses.append(ReadLoss(entry.offset, entry.size, str(error)))
                continue
            yield entry.head, table


def open_trace(path: Path) -> TraceReader:
    """Open a trace; TraceError if the file is none. Damaged parts are noted in `losses`."""
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
    """Use the index at the end of the file; False if there is no valid one."""
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
    """Rebuild the index from the frames; skip to the next one where a frame is damaged."""
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
    """Size of the frame at an offset, and its index entry if it is a block."""
    start = trace.read(at, f.FRAME.size)
    if start[-f.CLOSING.size :].endswith(f.END) or (len(start) == f.CLOSING.size and start.endswith(f.END)):
        return len(start), None
    magic, head, body, _, check = f.read_frame_sizes(start)
    data = trace.read(at + f.FRAME.size, head + body)
    if len(data) < head + body:
        raise TraceDamagedError("the file ends inside a frame")
    f.verify_checksum(data[:head], data[head:], check)
    size = f.FRAME.size + head + body
    if magic == f.INDEX:
        return size, None
    return size, f.BlockIndexEntry(at, size, f.read_head(data[:head]))


def _next_magic(trace: TraceReader, at: int) -> int:
    """Offset of the next frame's magic number, or the end of the file."""
    while at < trace.size:
        data = trace.read(at, SCAN_BYTES)
        places = [place for magic in (f.BLOCK, f.INDEX) if (place := data.find(magic)) >= 0]
        if places:
            return at + min(places)
        if len(data) < len(f.BLOCK):
            break
        at += max(1, len(data) - len(f.BLOCK) + 1)
    return trace.size
