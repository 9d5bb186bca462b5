"""Traces read a block at a time: by the index where there is one, else by a scan that passes damage over."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import BinaryIO

from onyxwick.trace import format as f
from onyxwick.trace.model import TraceDamagedError, TraceError
from onyxwick.trace.table import Strings, Table, of_body

SCAN = 1 << 20  # bytes looked through at a time for the next frame
Wanted = Callable[[f.BlockHead], bool]


@dataclass(slots=True)
class ReadLoss:
    """Bytes of a file that could not be read, and why."""

    offset: int
    size: int
    text: str


@dataclass(slots=True)
class Trace:
    """One open file. Memory is bounded by a block and by the heads of all blocks."""

    path: Path
    file: BinaryIO
    header: f.FileHeader
    begin: int
    size: int
    entries: list[f.BlockIndexEntry] = field(default_factory=list)
    losses: list[ReadLoss] = field(default_factory=list)
    indexed: bool = False
    read_bytes: int = 0

    def __enter__(self) -> Trace:
        return self

    def __exit__(self, *_: object) -> None:
        self.file.close()

    def read(self, offset: int, size: int) -> bytes:
        self.file.seek(offset)
        data = self.file.read(size)
        self.read_bytes += len(data)
        return data

    def head(self, entry: f.BlockIndexEntry) -> f.BlockHead:
        """A block's own head, without its body: a hint and no more, as its checksum covers both."""
        _, size, _, _, _ = f.read_frame_sizes(self.read(entry.offset, f.FRAME.size))
        return f.read_head(self.read(entry.offset + f.FRAME.size, size))

    def block(self, entry: f.BlockIndexEntry, strings: Strings) -> Table:
        """One block's table; Damaged where it cannot be read."""
        data = self.read(entry.offset, entry.size)
        magic, head, body, raw, check = f.read_frame_sizes(data)
        if magic != f.BLOCK or f.FRAME.size + head + body > len(data):
            raise TraceDamagedError("a block is cut")
        head_bytes = data[f.FRAME.size : f.FRAME.size + head]
        body_bytes = data[f.FRAME.size + head : f.FRAME.size + head + body]
        f.checked(head_bytes, body_bytes, check)
        # The head in the frame, not the one in the index: only this one is under the block's checksum.
        parsed = f.read_body(f.unpack(body_bytes, raw), f.read_head(head_bytes))
        return of_body(parsed, strings, self.header.director)

    def tables(self, strings: Strings, wanted: Wanted | None = None) -> Iterator[tuple[f.BlockHead, Table]]:
        """Blocks that can hold what is wanted. A damaged one is noted among the losses and passed over."""
        for entry in self.entries:
            if wanted is not None and not wanted(entry.head):
                continue
            try:
                if wanted is not None and not entry.head.bloom and not wanted(self.head(entry)):
                    continue  # the index has no filters: the block's own head says more
                table = self.block(entry, strings)
            except TraceDamagedError as error:
                self.losses.append(ReadLoss(entry.offset, entry.size, str(error)))
                continue
            yield entry.head, table


def open_trace(path: Path) -> Trace:
    """A trace ready to be read; TraceError where it is none. What is damaged in it stands in `losses`."""
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
    trace = Trace(path, file, header, begin, size)
    if not _indexed(trace):
        _scan(trace)
    return trace


def _indexed(trace: Trace) -> bool:
    """Take the index at the end; False where there is none that holds."""
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
        f.checked(data[f.FRAME.size : f.FRAME.size + head], data[f.FRAME.size + head :], check)
        entries = f.read_index(f.unpack(data[f.FRAME.size + head :], raw))
    except TraceDamagedError:
        return False
    if any(e.offset < trace.begin or e.size < 0 or e.offset + e.size > offset for e in entries):
        return False
    trace.entries, trace.indexed = entries, True
    return True


def _scan(trace: Trace) -> None:
    """Make the index anew from the frames; what does not hold is noted, and the next frame is looked for."""
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


def _frame_at(trace: Trace, at: int) -> tuple[int, f.BlockIndexEntry | None]:
    start = trace.read(at, f.FRAME.size)
    if start[-f.CLOSING.size :].endswith(f.END) or (len(start) == f.CLOSING.size and start.endswith(f.END)):
        return len(start), None
    magic, head, body, _, check = f.read_frame_sizes(start)
    data = trace.read(at + f.FRAME.size, head + body)
    if len(data) < head + body:
        raise TraceDamagedError("the file ends inside a frame")
    f.checked(data[:head], data[head:], check)
    size = f.FRAME.size + head + body
    if magic == f.INDEX:
        return size, None
    return size, f.BlockIndexEntry(at, size, f.read_head(data[:head]))


def _next_magic(trace: Trace, at: int) -> int:
    """Where the next frame could begin, or the end of the file."""
    while at < trace.size:
        data = trace.read(at, SCAN)
        places = [place for magic in (f.BLOCK, f.INDEX) if (place := data.find(magic)) >= 0]
        if places:
            return at + min(places)
        if len(data) < len(f.BLOCK):
            break
        at += max(1, len(data) - len(f.BLOCK) + 1)
    return trace.size
