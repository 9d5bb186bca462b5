"""What each director had been told by when, at the latest, from the faults as they were played. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from onyxwick.lab.soak.model import SoakPurge, SoakRecords, Started, Unready
from onyxwick.lab.soak.plan import ENDS_PROCESS, SoakFaultKind

S = 1_000_000
FEED_US = 300_000  # for a list or a purge to reach a director over a sound feed
LATEST_US = 7 * S  # whatever the feed tells counts as told by then
TROUBLED_US = 4 * S  # the same where a call of the director failed about then
CUT_US = 1 * S  # after a process has ended or a drain is over connections may still end
FEED_KINDS = {SoakFaultKind.FEED_LOST, SoakFaultKind.FEED_SLOW, SoakFaultKind.BROKEN}
CALL_KINDS = {
    SoakFaultKind.RELOAD,
    SoakFaultKind.SOCKET,
    SoakFaultKind.CONNECT,
    SoakFaultKind.TRANSFER,
    SoakFaultKind.DISK,
}


@dataclass(frozen=True, slots=True)
class Span:
    """A fault as it was played, in the lab's microseconds."""

    kind: SoakFaultKind
    director: int
    from_us: int
    until_us: int


@dataclass(slots=True)
class Played:
    """What was done, and what the feeds were given when."""

    spans: list[Span] = field(default_factory=list)
    drained: list[tuple[str, int, int]] = field(default_factory=list)  # server, told to the feed, lifted
    purges: list[tuple[int, int]] = field(default_factory=list)  # group, when
    starts: list[tuple[str, int, int]] = field(default_factory=list)  # server, when, told to the feed

    def settle(self, records: SoakRecords, directors: int) -> None:
        """Write down, after the run, what each director had been told at the latest."""
        numbers = range(directors)
        for server, at, lifted in self.drained:
            records.unready += [Unready(server, d, self._told(d, at), lifted) for d in numbers]
        for group, at in self.purges:
            records.purged += [SoakPurge(group, at, d, self._told(d, at)) for d in numbers]
        for server, began, at in self.starts:
            records.started.append(Started(server, began, max(self._told(d, at) for d in numbers)))
        for director, at in records.cut:
            if not self._may_cut(director, at):
                records.ended.append(f"n{director} ended a connection in the middle of a call, at {at}")

    def _may_cut(self, director: int, at: int) -> bool:
        """Was it ending, drained or gone, or stopped for longer than half a call may rest?"""
        near = [s for s in self.spans if s.director == director and s.from_us <= at <= s.until_us + CUT_US]
        return any(s.kind in (*ENDS_PROCESS, SoakFaultKind.DRAIN, SoakFaultKind.STOP) for s in near)

    def _told(self, director: int, at: int) -> int:
        told = at + FEED_US
        for span in self.spans:
            if span.director != director or span.from_us > at + FEED_US:
                continue
            late = span.until_us >= at - TROUBLED_US
            if span.kind in FEED_KINDS and span.until_us >= at:
                told = max(told, min(at + LATEST_US, span.until_us + TROUBLED_US))
            elif span.kind in CALL_KINDS | ENDS_PROCESS and late:
                told = max(told, at + TROUBLED_US, span.until_us + S)
        return told
