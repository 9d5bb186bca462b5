"""Judges a soak's records by the rules of the platform; pure functions of what was written down.

Limits are those of the rules, longer by the socket slack and by how late the lab itself was at the time.
"""

from __future__ import annotations

import math
import re
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from onyxwick.core.attempt_invariants import slow_start_limit
from onyxwick.lab.model import Tier
from onyxwick.lab.soak.model import ClientConnection, Down, SoakCall, SoakRecords, SoakTermination

S = 1_000_000
SLACK_US, DRAIN_US, PURGE_US = 50_000, 500_000, 1_000_000
DEPARTED_US, TIME_TOLD_US, LATE_US, CROSSED_US = 100_000, 150_000, 500_000, 50_000
NOISE_US = 20_000  # between two processes of one machine
WINDOW_US = 3 * S
HELD_AFTER_US, RECENT_US = 4 * S, 2 * S
"""So long after a drain's call no connection is held idle, or with a request as recent as that."""
HELD_STOPPED_US = 500_000  # before it: a director that was stopped then could end nothing
TERM_CALLS_US = 700_000
"""Calls that come later than this after SIGTERM must be answered by the time of SIGKILL."""


@dataclass(frozen=True, slots=True)
class Finding:
    """A broken rule with its proof."""

    rule: str
    proof: str


class Lateness:
    """How late the lab was around a time."""

    def __init__(self, samples: list[tuple[int, int]]) -> None:
        self.samples = sorted(samples)
        self.times = [at for at, _ in self.samples]

    def around(self, at: int) -> int:
        """The most of a second before to half a second after, in microseconds."""
        begin, end = bisect_left(self.times, at - S), bisect_left(self.times, at + S // 2)
        return max((late for _, late in self.samples[begin:end]), default=0)


class Oracle:
    """All rules over one run's records. `tiers`: by server; `work_us`: by class."""

    def __init__(self, records: SoakRecords, tiers: Mapping[str, Tier], work_us: Mapping[str, int]) -> None:
        self.records, self.tiers, self.work_us = records, tiers, work_us
        self.late = Lateness(records.late)
        self.forwarded = {sent.request for sent in records.sent}

    def findings(self) -> list[Finding]:
        """Every broken rule."""
        checks = (
            self._answers,
            self._once,
            self._departed,
            self._time_told,
            self._unready,
            self._purges,
            self._slow_starts,
            self._held,
            self._killed_owing,
            self._inside,
            self._lab,
        )
        return [finding for check in checks for finding in check()]

    def _within(self, spans: list[Down], director: int, begin: int, end: int) -> bool:
        return any(d.director == director and d.from_us <= end and d.until_us >= begin for d in spans)

    def _killed(self, call: SoakCall) -> bool:
        end = call.ended_us or call.sent_us + call.timeout_us + LATE_US
        if any(t.killed and t.told_us - 3 * S < call.sent_us <= t.ended_us for t in self._ends(call)):
            return True  # what its end owed is judged by itself
        return self._within(self.records.down, call.director, call.sent_us - S // 2, end)

    def _ends(self, call: SoakCall) -> list[SoakTermination]:
        return [t for t in self.records.terminations if t.director == call.director]

    def _stopped_us(self, director: int, begin: int, end: int) -> int:
        """How long a director was stopped in between."""
        spans = [d for d in self.records.stopped if d.director == director]
        return sum(max(0, min(end, d.until_us) - max(begin, d.from_us)) for d in spans)

    def _answers(self) -> Iterator[Finding]:
        tags = {request: {tag for tag, _, _ in given} for request, given in self.records.given.items()}
        for call in self.records.calls.values():
            if call.answers > 1:
                yield Finding("one answer", f"{call.id} got {call.answers}")
            if call.verdict == "served" and call.tag not in tags.get(call.id, ()):
                yield Finding("made by no cache", f"{call.id} tag {call.tag}")
            if call.left_us or self._killed(call):
                continue
            due = call.sent_us + call.timeout_us
            if not call.answers:
                if not self._crossed(call):
                    yield Finding("lost", _told(call))
            elif call.ended_us > due + LATE_US + self._excused_us(call):
                yield Finding("late answer", f"{_told(call)} {(call.ended_us - due) // 1000} ms over")

    def _crossed(self, call: SoakCall) -> bool:
        """Was it written as its connection ended, and not sent on? Its client sends it again elsewhere."""
        window = CROSSED_US + self.late.around(call.sent_us)
        return 0 < call.ended_us <= call.sent_us + window and call.id not in self.forwarded

    def _excused_us(self, call: SoakCall) -> int:
        """How much later its answer may be: what the lab took, and for how long nobody could take it in."""
        stopped = self._stopped_us(call.director, call.sent_us, call.ended_us)
        spans = [d for d in self.records.unaccepted if d.director == call.director and call.fresh]
        kept_out = sum(max(0, min(call.ended_us, d.until_us) - max(call.sent_us, d.from_us)) for d in spans)
        return NOISE_US + self.late.around(call.ended_us) + stopped + kept_out

    def _once(self) -> Iterator[Finding]:
        seen: set[str] = set()
        for request in self.records.ran:
            if request in seen:
                yield Finding("ran twice", request)
            seen.add(request)

    def _departed(self) -> Iterator[Finding]:
        for sent in self.records.sent:
            call = self.records.calls.get(sent.request)
            if call is None or not call.left_us:
                continue
            over = sent.at_us - call.left_us
            stopped = self._stopped_us(call.director, call.left_us, sent.at_us)
            if over - stopped > DEPARTED_US + NOISE_US + self.late.around(sent.at_us):
                yield Finding("sent for departed", f"{_told(call)} at {sent.server} {over // 1000} ms after")

    def _time_told(self) -> Iterator[Finding]:
        for sent in self.records.sent:
            call = self.records.calls.get(sent.request)
            if call is None or call.again:
                continue
            left = call.sent_us + call.timeout_us - sent.at_us
            # What stood still between the send and its arrival here was told a true time.
            slack = TIME_TOLD_US + NOISE_US + self.late.around(sent.at_us)
            if sent.told_us > max(0, left) + slack:
                proof = f"{_told(call)} {sent.server} was told {sent.told_us // 1000}, {left // 1000} ms left"
                yield Finding("time told", proof)

    def _unready(self) -> Iterator[Finding]:
        spans = defaultdict(list)
        for span in self.records.unready:
            spans[span.server].append(span)
        for sent in self.records.sent:
            call = self.records.calls.get(sent.request)
            for server in (sent.server, sent.source):
                for span in spans.get(server or "", ()):
                    if call is None or span.director not in (-1, call.director):
                        continue
                    begin = span.told_us + DRAIN_US + SLACK_US + NOISE_US + self.late.around(sent.at_us)
                    if begin < sent.at_us < span.until_us:
                        over = (sent.at_us - span.told_us) // 1000
                        yield Finding("drain", f"{_told(call)} to {server} {over} ms after it was told")

    def _purges(self) -> Iterator[Finding]:
        by_group = defaultdict(list)
        for purge in self.records.purged:
            by_group[purge.group].append(purge)
        for request, given in self.records.given.items():
            call = self.records.calls.get(request)
            for tag, dated, sent in given if call is not None else ():
                if call is None or call.tag != tag or call.class_name == "booking":
                    continue
                for purge in by_group.get(call.group, ()):
                    if purge.director != call.director:
                        continue
                    bound = purge.told_us + PURGE_US + SLACK_US + NOISE_US + self.late.around(sent)
                    if sent > bound and dated < purge.at_us:
                        proof = (
                            f"{_told(call)} a copy {(purge.at_us - dated) // 1000} ms older than the purge"
                        )
                        yield Finding("purge", f"{proof}, sent {(sent - purge.told_us) // 1000} ms after")

    def _slow_starts(self) -> Iterator[Finding]:
        """More than the budget, over all directors, within the window, after all had been told."""
        mean = sum(self.work_us.values()) / len(self.work_us)
        for started in self.records.started:
            tier = self.tiers[started.server]
            later = [s.at_us for s in self.records.started if s.server == started.server]
            end = min((at for at in later if at > started.at_us), default=1 << 62)
            work = [
                (a.at_us, a.work_us / mean)
                for a in self.records.asked
                if a.server == started.server and max(started.at_us, started.told_us) <= a.at_us < end
            ]
            worst = _worst_window(work, started.at_us, tier, mean)
            if worst is not None:
                yield Finding("slow start", f"{started.server} got {worst[0]:.1f} of {worst[1]:.1f} allowed")

    def _held(self) -> Iterator[Finding]:
        """What drained directors held at the time by which they may hold nothing, as their clients saw it."""
        for drained in self.records.drained:
            at = drained.called_us + HELD_AFTER_US
            slack = SLACK_US + NOISE_US + self.late.around(at)
            if drained.until_us < at + slack:
                continue
            if self._within(self.records.stopped, drained.director, at - HELD_STOPPED_US, at):
                continue
            for connection in self.records.connections:
                is_open = not connection.ended_us or connection.ended_us > at + slack
                if connection.director == drained.director and connection.opened_us < at and is_open:
                    yield from _held_on(connection, at, slack)

    def _killed_owing(self) -> Iterator[Finding]:
        """What SIGKILL found unanswered though it had come late enough after SIGTERM."""
        for end in self.records.terminations:
            stood_still = self._within(
                self.records.stopped, end.director, end.ended_us - HELD_STOPPED_US, end.ended_us
            )
            if not end.killed or stood_still:
                continue
            for connection in self.records.connections:
                ended = connection.ended_us
                is_open = connection.opened_us < end.told_us and (not ended or ended >= end.ended_us)
                if connection.director == end.director and is_open and not end.successor:
                    yield Finding("open at a kill", f"n{end.director}: {connection.habit}")
            for call in self.records.calls.values():
                late = end.told_us + TERM_CALLS_US < call.sent_us <= end.ended_us
                if call.director == end.director and late and not (call.answers or call.left_us):
                    yield Finding("lost at a kill", f"{_told(call)}, {end.ended_us - call.sent_us} us before")

    def _lab(self) -> Iterator[Finding]:
        for text in self.records.lab_errors:
            yield Finding("lab", text)

    def _inside(self) -> Iterator[Finding]:
        logged = [text for text in self.records.logged if not self._stood_still(text)]
        excused = len(self.records.logged) - len(logged)
        for name, count in sorted(self.records.counters.items()):
            if name == LATE_ANSWERS:  # of a process that was killed the log alone is left
                count = max(0, count - excused)
            if count and name.startswith(("violation.", "error.")) and name not in EXPECTED_ERRORS:
                yield Finding(f"inside: {name}", str(count))
        for text in logged:
            yield Finding("logged", text[:600])
        for text in self.records.ended:
            yield Finding("director", text)

    def _stood_still(self, logged: str) -> bool:
        """Does a line tell of an answer that is no later than its director was once stopped for?"""
        told = _LATE_ANSWER.match(logged)
        if told is None:
            return False
        director, late_us = int(told[1]), int(told[2])
        stops = (d.until_us - d.from_us for d in self.records.stopped if d.director == director)
        return late_us <= max(stops, default=-WOKEN_US) + WOKEN_US


LATE_ANSWERS = "violation.late_answer"
WOKEN_US = 100_000  # for a director that was stopped to answer what fell due meanwhile
_LATE_ANSWER = re.compile(r'n(\d+)\.\d+: .*"rule":"late_answer","cause":"(\d+) us')
EXPECTED_ERRORS = {"error.accept", "error.connect", "error.places"}
"""Counted where a planted error of a system call was waited out."""


def _worst_window(
    work: list[tuple[int, float]], started_us: int, tier: Tier, mean: float
) -> tuple[float, float] | None:
    """The first window with more than the budget: what came, and what is allowed."""
    got, begin = 0.0, 0
    for at, cost in work:
        got += cost
        while work[begin][0] <= at - WINDOW_US:
            got -= work[begin][1]
            begin += 1
        age = at - started_us
        if age >= tier.cold_us:
            return None
        share = tier.cold_share + (1 - tier.cold_share) * age / tier.cold_us
        allowed = tier.fall_multiple * share * tier.capacity * WINDOW_US / mean
        if got > slow_start_limit(allowed) and not math.isclose(got, slow_start_limit(allowed)):
            return got, allowed
    return None


def _held_on(connection: ClientConnection, at: int, slack: int) -> Iterator[Finding]:
    """Why a connection may not be open at that time, if so."""
    pending = [call for call in connection.calls if call.sent_us < at and not _is_over(call, at + slack)]
    whose = f"n{connection.director}, a connection ({connection.habit}) opened at {connection.opened_us}"
    if not pending:
        yield Finding("held past a drain", f"{whose}: idle at {at}")
    recent = [call for call in pending if slack < at - call.sent_us < RECENT_US]
    if recent:
        youngest = (at - recent[-1].sent_us) // 1000
        yield Finding("held past a drain", f"{whose}: a request {youngest} ms old at {at}")


def _is_over(call: SoakCall, at: int) -> bool:
    """Had it been answered, or given up by its client, by then?"""
    answered = call.answers > 0 and call.ended_us <= at
    return answered or 0 < call.left_us <= at


def _told(call: SoakCall) -> str:
    kind = "fresh" if call.fresh else "used"
    return f"{call.id} ({call.class_name}, n{call.director}, {kind} connection, sent at {call.sent_us})"
