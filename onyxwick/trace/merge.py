"""Merges the traces of several directors into one, in the order of arrival on one clock.

The module takes files of one or more directors and writes one file. Its header states the offset of each
director's clock and the uncertainty of this offset. Each file is read twice, first for its clock (`clocks`),
then for its requests. Memory is bounded by the requests that arrive within `MAX_REQUEST_DURATION_US`.
"""

from __future__ import annotations

from collections.abc import Generator, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, BinaryIO

import numpy as np

from onyxwick.trace import format as f
from onyxwick.trace.clocks import ClockFit, MonotonicClock, fit_clock
from onyxwick.trace.model import CLIENT_RETRY_FLAG, NotificationKind, RecordedVerdict, TraceError
from onyxwick.trace.reader import TraceReader, open_trace
from onyxwick.trace.table import Column, StringTable, Table, concatenate, encode_block

BLOCK_REQUESTS = 16_384
"""Maximum number of requests in one block of the merged file."""
BUFFERED_BLOCKS = 4
MAX_REQUEST_DURATION_US = 30_000_000
"""A request is recorded within this time after its arrival, which bounds the buffering."""
MAX_RETRY_DELAY_US = 10_000_000
"""A client retries within this time after a rejection."""
NOT_SERVED = (RecordedVerdict.REJECTED, RecordedVerdict.FAILED)

EventKey = tuple[Any, ...]
"""Identifies a notification that several directors receive."""
PartKey = tuple[int, int]
"""Identifies a part of an object: object id and part number."""


@dataclass(slots=True)
class DirectorTraces:
    """All files of one director, from all of its runs."""

    director: str
    traces: list[TraceReader] = field(default_factory=list)
    clocks: dict[str, MonotonicClock] = field(default_factory=dict)
    """Clocks by run. Each start of the director begins a new run."""
    fit: ClockFit = field(default_factory=ClockFit)

    def to_monotonic(self, trace: TraceReader, times: Column) -> Column:
        """Convert times of a file to the monotonic clock of its run."""
        return self.clocks[trace.header.run].to_monotonic(times)

    def to_first(self, trace: TraceReader, times: Column) -> Column:
        """Convert times of a file to the first director's clock."""
        return self.fit.to_first(self.to_monotonic(trace, times))

    def notifications(self) -> Iterator[tuple[TraceReader, f.Notification]]:
        """Yield all notifications with their files."""
        strings = StringTable()
        for trace in self.traces:
            for _, table in trace.tables(strings, lambda head: head.told > 0):
                for notification in table.notifications:
                    yield trace, notification


@dataclass(slots=True)
class ClockEvidence:
    """Observations in a director's files about its clock. Times are on its monotonic clock."""

    events: dict[EventKey, float] = field(default_factory=dict)
    """Time at which the director first received each notification."""
    rejected: dict[PartKey, float] = field(default_factory=dict)
    retried: list[tuple[PartKey, float]] = field(default_factory=list)


def open_sources(paths: list[Path]) -> list[DirectorTraces]:
    """Open the files and group them by director, in the order of each director's first file.

    Raises TraceError if there are no files or a file cannot be opened.
    """
    sources: dict[str, DirectorTraces] = {}
    for path in paths:
        trace = open_trace(path)
        director = trace.header.director
        sources.setdefault(director, DirectorTraces(director)).traces.append(trace)
    if not sources:
        raise TraceError("no trace files given")
    for source in sources.values():
        source.traces.sort(key=lambda trace: (trace.header.unix_us, trace.path.name))
    return list(sources.values())


# ---- clocks ---------------------------------------------------------------------------------------------


def _read_clocks(source: DirectorTraces) -> None:
    samples: dict[str, list[tuple[int, int]]] = {trace.header.run: [] for trace in source.traces}
    for trace, notification in source.notifications():
        if notification.kind == NotificationKind.CLOCK:
            samples[trace.header.run].append((notification.at_us, int(notification.data["mono_us"])))
    source.clocks = {run: MonotonicClock(pairs) for run, pairs in samples.items()}


def _event_key(notification: f.Notification) -> EventKey | None:
    """Return the key of a notification that all directors receive; None for other notifications."""
    kind, _, data = notification
    if kind == NotificationKind.PURGE:
        return (kind, data.get("group"), data.get("object"), data.get("unix_us"))
    if kind == NotificationKind.LIST and data.get("version"):
        return (kind, data["version"])
    return None


def _clock_evidence(source: DirectorTraces) -> ClockEvidence:
    evidence = ClockEvidence()
    strings = StringTable()
    for trace in source.traces:
        for _, table in trace.tables(strings):
            times = np.array([notification.at_us for notification in table.notifications], np.float64)
            received = source.to_monotonic(trace, times)
            for notification, at_us in zip(table.notifications, received, strict=True):
                key = _event_key(notification)
                if key is not None:
                    evidence.events.setdefault(key, float(at_us))
            _add_retries(evidence, table, source.to_monotonic(trace, table.requests["at"]))
    return evidence


def _add_retries(evidence: ClockEvidence, table: Table, arrived: Column) -> None:
    requests = table.requests

    def part_key(row: int) -> PartKey:
        return int(requests["object"][row]), int(requests["part"][row])

    for row in np.flatnonzero(np.isin(requests["verdict"], NOT_SERVED)).tolist():
        evidence.rejected[part_key(row)] = float(arrived[row] + requests["took"][row])
    for row in np.flatnonzero(requests["flags"] & CLIENT_RETRY_FLAG).tolist():
        evidence.retried.append((part_key(row), float(arrived[row])))


def align_clocks(sources: list[DirectorTraces]) -> None:
    """Fit every director's clock to the first director's clock."""
    for source in sources:
        _read_clocks(source)
    if len(sources) < 2:
        return
    evidence = [_clock_evidence(source) for source in sources]
    for source, own in zip(sources[1:], evidence[1:], strict=True):
        source.fit = _fit_source(evidence[0], own)


def _fit_source(first: ClockEvidence, other: ClockEvidence) -> ClockFit:
    common = sorted(set(first.events) & set(other.events), key=repr)
    first_times = np.array([first.events[key] for key in common])
    other_times = np.array([other.events[key] for key in common])
    by_events = fit_clock(first_times, other_times)
    rejected = []
    retried = []
    for key, at_us in other.retried:
        if key not in first.rejected:
            continue
        on_first = float(by_events.to_first(np.array([at_us]))[0])
        if 0 <= on_first - first.rejected[key] + by_events.uncertainty_us < MAX_RETRY_DELAY_US:
            rejected.append(first.rejected[key])
            retried.append(at_us)
    return fit_clock(first_times, other_times, np.array(rejected), np.array(retried))


# ---- requests -------------------------------------------------------------------------------------------


def _aligned_tables(source: DirectorTraces, strings: StringTable) -> Iterator[tuple[float, Table]]:
    """Yield a director's tables on the first director's clock.

    Each comes with the earliest arrival time that a later table may still contain.
    """
    for trace in source.traces:
        for head, table in trace.tables(strings):
            requests = dict(table.requests)
            requests["at"] = source.to_first(trace, requests["at"]).astype(np.int64)
            times = np.array([notification.at_us for notification in table.notifications], np.float64)
            received = source.to_first(trace, times).astype(np.int64)
            notifications = [
                f.Notification(kind, int(at), {**data, "director": data.get("director", source.director)})
                for (kind, _, data), at in zip(table.notifications, received, strict=True)
            ]
            last = source.to_first(trace, np.array([head.last], np.float64))[0]
            earliest = float(last) - MAX_REQUEST_DURATION_US
            yield earliest, Table(requests, table.attempts, strings, notifications)


def merge_tables(sources: list[DirectorTraces], strings: StringTable) -> Generator[Table, None, None]:
    """Yield tables with the requests of all directors in the order of arrival."""
    feeds = [_aligned_tables(source, strings) for source in sources]
    earliest = [-np.inf] * len(feeds)
    buffered: list[Table] = []
    while True:
        behind = int(np.argmin(earliest))
        if earliest[behind] == np.inf:
            break
        try:
            earliest[behind], table = next(feeds[behind])
            buffered.append(table)
        except StopIteration:
            earliest[behind] = np.inf
        if sum(len(table) for table in buffered) >= BUFFERED_BLOCKS * BLOCK_REQUESTS:
            buffered = yield from _release(buffered, min(earliest), strings)
    yield from _release(buffered, np.inf, strings)


def _release(
    buffered: list[Table], before: float, strings: StringTable
) -> Generator[Table, None, list[Table]]:
    """Yield the buffered requests and notifications from before a time; return the rest.

    No later table contains requests that arrived before this time.
    """
    table = concatenate(buffered, strings)
    order = np.argsort(table.requests["at"], kind="stable")
    ready = order[table.requests["at"][order] < before]
    notifications = sorted(table.notifications, key=lambda notification: notification.at_us)
    ready_notifications = [n for n in notifications if n.at_us < before]
    for at in range(0, max(1, len(ready)), BLOCK_REQUESTS):
        block = table.take(ready[at : at + BLOCK_REQUESTS])
        if at == 0:
            block.notifications = ready_notifications
        if len(block) or block.notifications:
            yield block
    rest = table.take(order[len(ready) :])
    rest.notifications = notifications[len(ready_notifications) :]
    return [rest]


# ---- files ----------------------------------------------------------------------------------------------


class TraceFileWriter:
    """Writes a trace from tables."""

    def __init__(self, path: Path, header: f.FileHeader) -> None:
        self.file: BinaryIO = path.open("wb")
        data = f.encode_opening(header)
        self.file.write(data)
        self.offset = len(data)
        self.entries: list[f.BlockIndexEntry] = []
        self.request_count = 0

    def add(self, table: Table, dropped: int = 0) -> None:
        """Write a table as a block. `dropped` is the number of requests omitted before it."""
        head, data = encode_block(table, dropped)
        self.file.write(data)
        self.entries.append(f.BlockIndexEntry(self.offset, len(data), head))
        self.offset += len(data)
        self.request_count += len(table)

    def close(self) -> None:
        """Write the index and close the file."""
        self.file.write(f.encode_index(self.entries, self.offset))
        self.file.close()


def merged_header(sources: list[DirectorTraces]) -> f.FileHeader:
    """Return the first director's header with the names and clocks of all directors."""
    first = sources[0].traces[0].header
    return f.FileHeader(
        first.version,
        "+".join(source.director for source in sources),
        first.run,
        first.unix_us,
        first.mono_us,
        first.classes,
        first.rules,
        {source.director: _clock_fields(source) for source in sources},
    )


def _clock_fields(source: DirectorTraces) -> dict[str, float]:
    return {
        "offset_us": round(source.fit.offset_us, 1),
        "drift_ppm": round(source.fit.drift * 1e6, 3),
        "doubt_us": round(source.fit.uncertainty_us, 1),
        "events": float(source.fit.events),
        "retries": float(source.fit.retries),
        "steps_us": round(max((clock.steps_us for clock in source.clocks.values()), default=0.0), 1),
    }


def merge_files(paths: list[Path], out: Path) -> dict[str, Any]:
    """Merge files into `out` and return a document for JSON with the clocks and the losses."""
    sources = open_sources(paths)
    align_clocks(sources)
    header = merged_header(sources)
    writer = TraceFileWriter(out, header)
    traces = [trace for source in sources for trace in source.traces]
    dropped = sum(entry.head.dropped for trace in traces for entry in trace.entries)
    for table in merge_tables(sources, StringTable()):
        writer.add(table, dropped)
        dropped = 0
    writer.close()
    losses = [
        f"{trace.path.name}: {loss.size} bytes at {loss.offset}: {loss.cause}"
        for trace in traces
        for loss in trace.losses
    ]
    for trace in traces:
        trace.file.close()
    return {
        "requests": writer.request_count,
        "clocks": header.clocks,
        "losses": losses,
        "bytes": writer.offset,
    }
