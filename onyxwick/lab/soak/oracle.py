"""Judges a soak's records by the rules of the platform, by pure functions of the records.

Each limit is that of its rule plus the socket slack plus the lab's own delay at the time.
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
from onyxwick.lab.soak.model import ClientConnection, DirectorOutage, SoakCall, SoakRecords, SoakTermination

S = 1_000_000
SOCKET_SLACK_US, DRAIN_LIMIT_US, PURGE_LIMIT_US = 50_000, 500_000, 1_000_000
DEPARTED_LIMIT_US, TIME_LEFT_TOLERANCE_US, LATE_ANSWER_LIMIT_US, CROSSING_WINDOW_US = (
    100_000,
    150_000,
    500_000,
    50_000,
)
NOISE_US = 20_000  # allowance for delays between two processes of one machine
SLOW_START_WINDOW_US = 3 * S
DRAIN_END_US, RECENT_REQUEST_US = 4 * S, 2 * S
"""At the first of these times after a drain's call, no connection may be open that is idle or has a request
younger than the second."""
STOP_EXCUSE_US = 500_000  # a director stopped this shortly before the check could not end its connections
TERM_CALL_GRACE_US = 700_000
"""Calls sent later than this after SIGTERM must be answered by the time of SIGKILL."""


@dataclass(frozen=True, slots=True)
class Finding:
    """A broken rule with the evidence for it."""

    rule: str
    proof: str


class Lateness:
    """The delays of the lab's own timers, by time."""

    def __init__(self, samples: list[tuple[int, int]]) -> None:
        self.samples = sorted(samples)
        self.times = [at for at, _ in self.samples]

    def around(self, at: int) -> int:
        """Return the longest delay from one second before to half a second after, in microseconds."""
        begin, end = bisect_left(self.times, at - S), bisect_left(self.times, at + S // 2)
        return max((late for _, late in self.samples[begin:end]), default=0)


class Oracle:
    """Checks all rules on one run's records. `tiers`: by server; `work_us`: work of a request, by class."""

    def __init__(self, records: SoakRecords, tiers: Mapping[str, Tier], work_us: Mapping[str, int]) -> None:
        self.records, self.tiers, self.work_us = records, tiers, work_us
        self.late = Lateness(records.late)
        self.forwarded = {sent.request for sent in records.sent}

    def findings(self) -> list[Finding]:
        """Return a finding for every breach of a rule."""
        checks = (
            self._check_answers,
            self._check_single_runs,
            self._check_departed,
            self._check_time_told,
            self._check_drains,
            self._check_purges,
            self._check_slow_starts,
            self._check_held_connections,
            self._check_kills,
            self._check_directors,
            self._check_memory,
            self._check_lab,
        )
        return [finding for check in checks for finding in check()]

    def _within(self, spans: list[DirectorOutage], director: int, begin: int, end: int) -> bool:
        return any(d.director == director and d.from_us <= end and d.until_us >= begin for d in spans)

    def _killed(self, call: SoakCall) -> bool:
        end = call.ended_us or call.sent_us + call.timeout_us + LATE_ANSWER_LIMIT_US
        killed = [t for t in self._terminations(call) if t.killed and not self._outlived(call, t)]
        if any(t.told_us - 3 * S < call.sent_us <= t.ended_us for t in killed):
            return True  # calls unanswered at a SIGKILL are judged by `_check_kills`
        return self._within(self.records.down, call.director, call.sent_us - S // 2, end)

    def _outlived(self, call: SoakCall, end: SoakTermination) -> bool:
        """Return whether a call's connection outlived the ended process: it was one of its successor."""
        slack = SOCKET_SLACK_US + NOISE_US + self.late.around(end.ended_us)
        return end.successor and call.ended_us > end.ended_us + slack

    def _terminations(self, call: SoakCall) -> list[SoakTermination]:
        return [t for t in self.records.terminations if t.director == call.director]

    def _stopped_us(self, director: int, begin: int, end: int) -> int:
        """Return how long a director was stopped between the two times, in microseconds."""
        spans = [d for d in self.records.stopped if d.director == director]
        return sum(max(0, min(end, d.until_us) - max(begin, d.from_us)) for d in spans)

    def _check_answers(self) -> Iterator[Finding]:
        tags = {request: {tag for tag, _, _ in given} for request, given in self.records.given.items()}
        for call in self.records.calls.values():
            if call.answers > 1:
                yield Finding("one answer", f"{call.id} expected one answer, got {call.answers}")
            if call.verdict == "served" and call.tag not in tags.get(call.id, ()):
                yield Finding(
                    "made by no cache", f"{call.id} got a tag that no server sent for it: {call.tag}"
                )
            if call.left_us or self._killed(call):
                continue
            due = call.sent_us + call.timeout_us
            if not call.answers:
                if not self._crossed(call) and not self._shut_unread(call):
                    yield Finding("lost", _describe(call))
            elif call.ended_us > due + LATE_ANSWER_LIMIT_US + self._excused_us(call):
                yield Finding("late answer", f"{_describe(call)} {(call.ended_us - due) // 1000} ms over")

    def _crossed(self, call: SoakCall) -> bool:
        """Return whether a call was written as its connection ended and not forwarded; its client retries."""
        window = CROSSING_WINDOW_US + self.late.around(call.sent_us)
        return 0 < call.ended_us <= call.sent_us + window and call.id not in self.forwarded

    def _shut_unread(self, call: SoakCall) -> bool:
        """Return whether a call stood on a new connection that was shut unread beside a crowd.

        A crowd takes all descriptors of its director. A connection on which a call was answered is not new.
        """
        if call.id in self.forwarded or not call.ended_us:
            return False
        if not self._within(self.records.crowded, call.director, call.ended_us, call.ended_us):
            return False
        connections = [each for each in self.records.connections if call in each.calls]
        return any(not any(other.answers for other in each.calls) for each in connections)

    def _excused_us(self, call: SoakCall) -> int:
        """Return by how many microseconds an answer may exceed its limit.

        These are the lab's own delay and the time during which the director was stopped or, for a fresh
        connection, could not accept.
        """
        stopped = self._stopped_us(call.director, call.sent_us, call.ended_us)
        spans = [d for d in self.records.unaccepted if d.director == call.director and call.fresh]
        kept_out = sum(max(0, min(call.ended_us, d.until_us) - max(call.sent_us, d.from_us)) for d in spans)
        return NOISE_US + self.late.around(call.ended_us) + stopped + kept_out

    def _check_single_runs(self) -> Iterator[Finding]:
        seen: set[str] = set()
        for request in self.records.ran:
            if request in seen:
                yield Finding("ran twice", request)
            seen.add(request)

    def _check_departed(self) -> Iterator[Finding]:
        for sent in self.records.sent:
            call = self.records.calls.get(sent.request)
            if call is None or not call.left_us:
                continue
            over = sent.at_us - call.left_us
            stopped = self._stopped_us(call.director, call.left_us, sent.at_us)
            if over - stopped > DEPARTED_LIMIT_US + NOISE_US + self.late.around(sent.at_us):
                yield Finding(
                    "sent for departed", f"{_describe(call)} at {sent.server} {over // 1000} ms after"
                )

    def _check_time_told(self) -> Iterator[Finding]:
        for sent in self.records.sent:
            call = self.records.calls.get(sent.request)
            if call is None or call.again:
                continue
            left = call.sent_us + call.timeout_us - sent.at_us
            # The time left was true when sent; delay until its arrival is allowed for by `slack`.
            slack = TIME_LEFT_TOLERANCE_US + NOISE_US + self.late.around(sent.at_us)
            if sent.told_us > max(0, left) + slack:
                proof = (
                    f"{_describe(call)} {sent.server} got {sent.told_us // 1000} ms, {left // 1000} ms left"
                )
                yield Finding("time told", proof)

    def _check_drains(self) -> Iterator[Finding]:
        spans = defaultdict(list)
        for span in self.records.unready:
            spans[span.server].append(span)
        for sent in self.records.sent:
            call = self.records.calls.get(sent.request)
            for server in (sent.server, sent.source):
                for span in spans.get(server or "", ()):
                    if call is None or span.director not in (-1, call.director):
                        continue
                    begin = (
                        span.told_us
                        + DRAIN_LIMIT_US
                        + SOCKET_SLACK_US
                        + NOISE_US
                        + self.late.around(sent.at_us)
                    )
                    if begin < sent.at_us < span.until_us:
                        over = (sent.at_us - span.told_us) // 1000
                        yield Finding(
                            "drain",
                            f"{_describe(call)} to {server} {over} ms after the director was notified",
                        )

    def _check_purges(self) -> Iterator[Finding]:
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
                    bound = (
                        purge.told_us + PURGE_LIMIT_US + SOCKET_SLACK_US + NOISE_US + self.late.around(sent)
                    )
                    if sent > bound and dated < purge.at_us:
                        proof = f"{_describe(call)} a copy {(purge.at_us - dated) // 1000} ms older than it"
                        yield Finding(
                            "purge",
                            f"{proof}, sent {(sent - purge.told_us) // 1000} ms after notification",
                        )

    def _check_slow_starts(self) -> Iterator[Finding]:
        """Find servers that got more than the slow-start budget from all directors within the window, counted
        once all directors had been notified."""
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
                yield Finding(
                    "slow start",
                    f"{started.server} got {worst[0]:.1f} requests' work, {worst[1]:.1f} allowed",
                )

    def _check_held_connections(self) -> Iterator[Finding]:
        """Find connections that clients of drained directors still had open when all must have ended."""
        for drained in self.records.drained:
            at = drained.called_us + DRAIN_END_US
            slack = SOCKET_SLACK_US + NOISE_US + self.late.around(at)
            if drained.until_us < at + slack:
                continue
            if self._within(self.records.stopped, drained.director, at - STOP_EXCUSE_US, at):
                continue
            for connection in self.records.connections:
                is_open = not connection.ended_us or connection.ended_us > at + slack
                if connection.director == drained.director and connection.opened_us < at and is_open:
                    yield from _held_findings(connection, at, slack)

    def _check_kills(self) -> Iterator[Finding]:
        """Find connections open at SIGKILL, and calls unanswered then though sent well after SIGTERM."""
        for end in self.records.terminations:
            stopped = self._within(
                self.records.stopped, end.director, end.ended_us - STOP_EXCUSE_US, end.ended_us
            )
            if not end.killed or stopped:
                continue
            for connection in self.records.connections:
                ended = connection.ended_us
                is_open = connection.opened_us < end.told_us and (not ended or ended >= end.ended_us)
                if connection.director == end.director and is_open and not end.successor:
                    yield Finding("open at a kill", f"n{end.director}: {connection.habit}")
            for call in self.records.calls.values():
                late = end.told_us + TERM_CALL_GRACE_US < call.sent_us <= end.ended_us
                if call.director != end.director or self._outlived(call, end):
                    continue
                if late and not (call.answers or call.left_us):
                    yield Finding(
                        "lost at a kill", f"{_describe(call)}, {end.ended_us - call.sent_us} us before"
                    )

    def _check_lab(self) -> Iterator[Finding]:
        for text in self.records.lab_errors:
            yield Finding("lab", text)

    def _check_memory(self) -> Iterator[Finding]:
        """Find processes that held more memory than they were told."""
        for each in self.records.memory:
            if each.peak_bytes > each.told_bytes:
                yield Finding("memory", f"{each.process} held {each.peak_bytes} of {each.told_bytes} bytes")

    def _check_directors(self) -> Iterator[Finding]:
        logged = [text for text in self.records.logged if not self._excused_by_stop(text)]
        excused = max(len(self.records.logged) - len(logged), self._late_by_stops())
        for name, count in sorted(self.records.counters.items()):
            if name == LATE_ANSWER_COUNTER:  # a killed process leaves only its log, not its counters
                count = max(0, count - excused)
            if count and name.startswith(("violation.", "error.")) and name not in EXPECTED_ERRORS:
                yield Finding(f"inside: {name}", str(count))
        for text in logged:
            yield Finding("logged", text[:600])
        for text in self.records.ended:
            yield Finding("director", text)

    def _late_by_stops(self) -> int:
        """Return how many answers clients received late and no later than their director's stop was long.

        A director writes few lines of one kind a second, and counts all. What is later than its stop is a
        finding of `_check_answers`.
        """
        count = 0
        for call in self.records.calls.values():
            due_us = call.sent_us + call.timeout_us + LATE_ANSWER_LIMIT_US
            is_late = bool(call.answers) and due_us < call.ended_us <= due_us + self._excused_us(call)
            count += is_late and self._stopped_us(call.director, call.sent_us, call.ended_us) > 0
        return count

    def _excused_by_stop(self, logged: str) -> bool:
        """Return whether a log line reports an answer late by no more than its director's longest stop."""
        match = _LATE_ANSWER_LINE.match(logged)
        if match is None:
            return False
        director, late_us = int(match[1]), int(match[2])
        stops = (d.until_us - d.from_us for d in self.records.stopped if d.director == director)
        return late_us <= max(stops, default=-RESUME_LIMIT_US) + RESUME_LIMIT_US


LATE_ANSWER_COUNTER = "violation.late_answer"
RESUME_LIMIT_US = 100_000  # time for a resumed director to answer requests that became due during the stop
_LATE_ANSWER_LINE = re.compile(r'n(\d+)\.\d+: .*"rule":"late_answer","cause":"(\d+) us')
EXPECTED_ERRORS = {"error.accept", "error.connect", "error.places"}
"""Errors counted when a director waits out an injected system call error."""


def _worst_window(
    work: list[tuple[int, float]], started_us: int, tier: Tier, mean: float
) -> tuple[float, float] | None:
    """Return the work received and allowed in the first window over the budget; None: there is none."""
    got, begin = 0.0, 0
    for at, cost in work:
        got += cost
        while work[begin][0] <= at - SLOW_START_WINDOW_US:
            got -= work[begin][1]
            begin += 1
        age = at - started_us
        if age >= tier.cold_us:
            return None
        share = tier.cold_share + (1 - tier.cold_share) * age / tier.cold_us
        allowed = tier.fall_multiple * share * tier.capacity * SLOW_START_WINDOW_US / mean
        if got > slow_start_limit(allowed) and not math.isclose(got, slow_start_limit(allowed)):
            return got, allowed
    return None


def _held_findings(connection: ClientConnection, at: int, slack: int) -> Iterator[Finding]:
    """Yield the reasons why a connection that is open at that time breaks the drain rule."""
    pending = [call for call in connection.calls if call.sent_us < at and not _is_over(call, at + slack)]
    description = (
        f"n{connection.director}, a connection ({connection.habit}) opened at {connection.opened_us}"
    )
    if not pending:
        yield Finding("held past a drain", f"{description}: idle at {at}")
    recent = [call for call in pending if slack < at - call.sent_us < RECENT_REQUEST_US]
    if recent:
        youngest = (at - recent[-1].sent_us) // 1000
        yield Finding("held past a drain", f"{description}: a request {youngest} ms old at {at}")


def _is_over(call: SoakCall, at: int) -> bool:
    """Return whether a call had been answered or given up by its client by then."""
    answered = call.answers > 0 and call.ended_us <= at
    return answered or 0 < call.left_us <= at


def _describe(call: SoakCall) -> str:
    kind = "fresh" if call.fresh else "used"
    return f"{call.id} ({call.class_name}, n{call.director}, {kind} connection, sent at {call.sent_us})"
