"""Several directors' traces as one, in the order in which things happened, with the doubt about it."""

from __future__ import annotations

from collections.abc import Generator, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import numpy as np

from onyxwick.trace import format as f
from onyxwick.trace.clocks import ClockFit, OwnClock, fit
from onyxwick.trace.model import RETRY, NotificationKind, RecordedVerdict, TraceError
from onyxwick.trace.reader import Trace, open_trace
from onyxwick.trace.table import Column, Strings, Table, join, sealed

BLOCK = 16_384  # requests in one block of what is written
REACH_US = 30_000_000  # a request is recorded at most so long after it arrived
RETRIED_US = 10_000_000  # a client comes back within this time


@dataclass(slots=True)
class MergeSource:
    """All files of one director, over its restarts."""

    director: str
    traces: list[Trace] = field(default_factory=list)
    clock: dict[str, OwnClock] = field(default_factory=dict)  # by run
    fit: ClockFit = field(default_factory=ClockFit)

    def steady(self, trace: Trace, times: Column) -> Column:
        return self.clock[trace.header.run].steady(times)


@dataclass(slots=True)
class MergeNotes:
    """What a first pass over a director's files finds for its clock."""

    events: dict[tuple[Any, ...], float] = field(default_factory=dict)  # what was told: when
    refused: dict[tuple[int, int], float] = field(default_factory=dict)  # object and part: when
    retried: list[tuple[tuple[int, int], float]] = field(default_factory=list)


def sources(paths: list[Path]) -> list[MergeSource]:
    """The files by director; TraceError where one cannot be read."""
    out: dict[str, MergeSource] = {}
    for path in paths:
        trace = open_trace(path)
        out.setdefault(trace.header.director, MergeSource(trace.header.director)).traces.append(trace)
    if not out:
        raise TraceError("no trace is named")
    for source in out.values():
        source.traces.sort(key=lambda t: (t.header.unix_us, t.path.name))
    return list(out.values())


def _told(source: MergeSource) -> Iterator[tuple[Trace, int, int, dict[str, Any]]]:
    strings = Strings()
    for trace in source.traces:
        for _, table in trace.tables(strings, lambda head: head.told > 0):
            for kind, at, data in table.told:
                yield trace, kind, at, data


def _own_clocks(source: MergeSource) -> None:
    samples: dict[str, list[tuple[int, int]]] = {t.header.run: [] for t in source.traces}
    for trace, kind, at, data in _told(source):
        if kind == NotificationKind.CLOCK:
            samples[trace.header.run].append((at, int(data["mono_us"])))
    source.clock = {run: OwnClock(pairs) for run, pairs in samples.items()}


def _event_key(kind: int, data: dict[str, Any]) -> tuple[Any, ...] | None:
    """What makes a telling the same event for all directors; None where it is a director's own."""
    if kind == NotificationKind.PURGE:
        return (kind, data.get("group"), data.get("object"), data.get("unix_us"))
    if kind == NotificationKind.LIST and data.get("version"):
        return (kind, data["version"])
    return None


def _notes(source: MergeSource) -> MergeNotes:
    out, strings = MergeNotes(), Strings()
    for trace in source.traces:
        for _, table in trace.tables(strings):
            times = source.steady(trace, np.array([at for _, at, _ in table.told], np.float64))
            for (kind, _, data), at in zip(table.told, times, strict=True):
                if (key := _event_key(kind, data)) is not None:
                    out.events.setdefault(key, float(at))
            _note_retries(table, source.steady(trace, table.lives["at"]), out)
    return out


def _note_retries(table: Table, at: Column, out: MergeNotes) -> None:
    lives = table.lives
    refused = np.flatnonzero(np.isin(lives["verdict"], (RecordedVerdict.REFUSED, RecordedVerdict.FAILED)))
    for row in refused:
        key = (int(lives["object"][row]), int(lives["part"][row]))
        out.refused[key] = float(at[row] + lives["took"][row])
    for row in np.flatnonzero(lives["flags"] & RETRY):
        out.retried.append(((int(lives["object"][row]), int(lives["part"][row])), float(at[row])))


def align(found: list[MergeSource]) -> None:
    """Fit every director's clock to the first one's."""
    for source in found:
        _own_clocks(source)
    if len(found) < 2:
        return
    notes = [_notes(source) for source in found]
    first = notes[0]
    for source, note in zip(found[1:], notes[1:], strict=True):
        common = sorted(set(first.events) & set(note.events), key=repr)
        a = np.array([first.events[key] for key in common])
        b = np.array([note.events[key] for key in common])
        rough = fit(a, b)
        pairs = [
            (first.refused[key], at)
            for key, at in note.retried
            if key in first.refused
            and 0
            <= float(rough.to_first(np.array([at]))[0]) - first.refused[key] + rough.doubt_us
            < RETRIED_US
        ]
        earlier, later = np.array([p[0] for p in pairs]), np.array([p[1] for p in pairs])
        source.fit = fit(a, b, earlier, later)


def _aligned(source: MergeSource, strings: Strings) -> Iterator[tuple[float, Table]]:
    """A director's tables in order, on the first one's clock, each with the least arrival still to come."""
    for trace in source.traces:
        for head, table in trace.tables(strings):
            lives = dict(table.lives)
            lives["at"] = source.fit.to_first(source.steady(trace, lives["at"])).astype(np.int64)
            times = np.array([at for _, at, _ in table.told], np.float64)
            moved = source.fit.to_first(source.steady(trace, times)).astype(np.int64)
            told = [
                (kind, int(at), {**data, "director": data.get("director", source.director)})
                for (kind, _, data), at in zip(table.told, moved, strict=True)
            ]
            last = source.fit.to_first(source.steady(trace, np.array([head.last], np.float64)))[0]
            yield float(last) - REACH_US, Table(lives, table.attempts, strings, told)


def merged(found: list[MergeSource], strings: Strings) -> Generator[Table, None, None]:
    """Tables of all directors in order of arrival. Holds what `REACH_US` can still overtake, and no more."""
    feeds = [_aligned(source, strings) for source in found]
    marks = [-np.inf] * len(feeds)
    held: list[Table] = []
    while True:
        behind = int(np.argmin(marks))
        if marks[behind] == np.inf:
            break
        try:
            marks[behind], table = next(feeds[behind])
            held.append(table)
        except StopIteration:
            marks[behind] = np.inf
        if sum(len(t) for t in held) >= 4 * BLOCK:
            held = yield from _release(held, min(marks), strings)
    yield from _release(held, np.inf, strings)


def _release(held: list[Table], mark: float, strings: Strings) -> Generator[Table, None, list[Table]]:
    """Give out what nothing can overtake any more; returns the rest."""
    whole = join(held, strings)
    order = np.argsort(whole.lives["at"], kind="stable")
    ready = order[whole.lives["at"][order] < mark]
    told = sorted(whole.told, key=lambda t: t[1])
    now = [t for t in told if t[1] < mark]
    for at in range(0, max(1, len(ready)), BLOCK):
        out = whole.take(ready[at : at + BLOCK])
        if at == 0:
            out.told = now
        if len(out) or out.told:
            yield out
    rest = whole.take(order[len(ready) :])
    rest.told = told[len(now) :]
    return [rest]


class TraceWriter:
    """A new trace from tables."""

    def __init__(self, path: Path, header: f.FileHeader) -> None:
        self.file = path.open("wb")
        data = f.opening(header)
        self.file.write(data)
        self.offset, self.entries = len(data), list[f.BlockIndexEntry]()
        self.lives = 0

    def add(self, table: Table, dropped: int = 0) -> None:
        head, data = sealed(table, dropped)
        self.file.write(data)
        self.entries.append(f.BlockIndexEntry(self.offset, len(data), head))
        self.offset += len(data)
        self.lives += len(table)

    def close(self) -> None:
        self.file.write(f.index_frame(self.entries, self.offset))
        self.file.close()


def merged_header(found: list[MergeSource]) -> f.FileHeader:
    first = found[0].traces[0].header
    clocks = {
        s.director: {
            "offset_us": round(s.fit.offset_us, 1),
            "drift_ppm": round(s.fit.drift * 1e6, 3),
            "doubt_us": round(s.fit.doubt_us, 1),
            "events": float(s.fit.events),
            "retries": float(s.fit.retries),
            "steps_us": round(max((c.steps_us for c in s.clock.values()), default=0.0), 1),
        }
        for s in found
    }
    return f.FileHeader(
        first.version,
        "+".join(s.director for s in found),
        first.run,
        first.unix_us,
        first.mono_us,
        first.classes,
        first.rules,
        clocks,
    )


def merge(paths: list[Path], out: Path) -> dict[str, Any]:
    """Merge files into `out`; what was found of the clocks, and the losses."""
    found = sources(paths)
    align(found)
    header = merged_header(found)
    writer = TraceWriter(out, header)
    strings = Strings()
    dropped = sum(e.head.dropped for s in found for t in s.traces for e in t.entries)
    for table in merged(found, strings):
        writer.add(table, dropped)
        dropped = 0
    writer.close()
    losses = [
        f"{t.path.name}: {x.size} bytes at {x.offset}: {x.text}"
        for s in found
        for t in s.traces
        for x in t.losses
    ]
    for source in found:
        for trace in source.traces:
            trace.file.close()
    return {"requests": writer.lives, "clocks": header.clocks, "losses": losses, "bytes": writer.offset}
