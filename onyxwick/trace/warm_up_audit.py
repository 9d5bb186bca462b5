"""Audits the warm-up rule: a member that has just started must not receive more work than it can handle.

The module takes the starts of members from the endpoint lists, and all attempts. It reports a finding if the
work sent to a member within an overload window exceeds a multiple of the member's capacity at that time. The
work of an attempt is the transfer time of its class, taken from the header or estimated as the first quartile
of the latencies of hits in the trace. An overload window is the time for which the load must be too high
until the member fails. Times are in microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

from onyxwick.interface import AnswerDetail
from onyxwick.trace import format as f
from onyxwick.trace.audit_report import WARM_UP, AuditReport
from onyxwick.trace.model import US_PER_S, NotificationKind
from onyxwick.trace.table import Column, Table

WITHOUT_SOURCE = (AnswerDetail.HIT.value, AnswerDetail.COALESCED.value, AnswerDetail.STALE.value)
"""Answers for which the fill source was not used."""
TRANSFER_QUANTILE = 0.25
"""Quantile of the hit latencies of a class. Slower hits shared their link with other transfers."""
MAX_SAMPLES = 1000
DEFAULT_WINDOW_US = 3.0 * US_PER_S


@dataclass(frozen=True, slots=True)
class MemberStart:
    """A start of a member as announced in the endpoint lists."""

    started_us: int
    weight: float
    kind: str


def member_starts(notifications: list[f.Notification]) -> dict[str, list[MemberStart]]:
    """Return the starts of each member. Each start occurs once, with the data announced last."""
    starts: dict[str, dict[int, MemberStart]] = {}
    for kind, _, data in notifications:
        if kind != NotificationKind.LIST:
            continue
        for row in data.get("members", ()):
            start = MemberStart(int(row[5]), float(row[4]), str(row[2]))
            if start.started_us:
                starts.setdefault(str(row[0]), {})[start.started_us] = start
    return {member: list(by_time.values()) for member, by_time in starts.items()}


class WarmUpAudit:
    """Collects the attempts sent to members that have started, then checks each start."""

    def __init__(
        self, header: f.FileHeader, notifications: list[f.Notification], report: AuditReport
    ) -> None:
        self.header = header
        self.report = report
        self.uncertainty_us = max(
            (clock.get("doubt_us", 0.0) for clock in header.clocks.values()), default=0.0
        )
        self.starts = member_starts(notifications)
        self.sends: dict[str, list[tuple[Column, Column]]] = {}
        """By member, the times and the class names of the attempts sent to it."""
        self.hit_latencies: dict[str, list[Column]] = {}
        self.transfer_is_known = any(fields.get("sending_us") for fields in header.classes)

    def add(self, table: Table, owner: Column, sent_at: Column, sent: Column) -> None:
        """Collect the attempts of a table.

        For each attempt, `owner` is the row of its request, `sent_at` the time at which it was sent, and
        `sent` whether it was sent.
        """
        classes = table.requests["class"][owner]
        if self.starts and not self.transfer_is_known:
            self._add_hits(table, classes, sent)
        for column in ("member", "source"):
            for member in self.starts:
                number = table.strings.numbers.get(member)
                if number is None:
                    continue
                rows = sent & (table.attempts[column] == number)
                if column == "source":
                    rows &= ~np.isin(table.attempts["detail"], WITHOUT_SOURCE)
                if rows.any():
                    unique, positions = np.unique(classes[rows], return_inverse=True)
                    names = np.array([table.strings[int(number)] for number in unique])
                    self.sends.setdefault(member, []).append((sent_at[rows], names[positions]))

    def _add_hits(self, table: Table, classes: Column, sent: Column) -> None:
        attempts = table.attempts
        hit = sent & (attempts["detail"] == AnswerDetail.HIT.value)
        latency = attempts["ended"][hit].astype(np.int64) - attempts["sent"][hit]
        step = max(1, int(hit.sum()) // MAX_SAMPLES)
        for number in np.unique(classes[hit]):
            samples = np.sort(latency[classes[hit] == number])[::step]
            self.hit_latencies.setdefault(table.strings[int(number)], []).append(samples)

    def _transfer_us(self) -> dict[str, float]:
        """Return the transfer time by class in microseconds, from the header or from hits in the trace."""
        known = {str(fields["name"]): float(fields.get("sending_us", 0.0)) for fields in self.header.classes}
        measured = {name: np.concatenate(columns) for name, columns in self.hit_latencies.items()}
        return known | {
            name: float(np.quantile(latencies, TRANSFER_QUANTILE))
            for name, latencies in measured.items()
            if len(latencies)
        }

    def check(self) -> None:
        """Check every start. Must be called after the last table."""
        if not self.starts:
            return
        transfer_us = self._transfer_us()
        if not any(transfer_us.values()):
            self.report.reasons[WARM_UP] = "nothing tells what a class costs to send"
            return
        for member, starts in self.starts.items():
            if member not in self.sends:
                continue
            times = np.concatenate([at for at, _ in self.sends[member]])
            names = np.concatenate([classes for _, classes in self.sends[member]])
            work = np.array([transfer_us.get(str(name), 0.0) for name in names])
            order = np.argsort(times, kind="stable")
            for start in starts:
                self._check_start(member, start, times[order], work[order])

    def _check_start(self, member: str, start: MemberStart, at: Column, work: Column) -> None:
        """Check one start. `at` and `work` are times and work of the attempts, in the order of time."""
        rules = self.header.rules
        tier = "parent_" if start.kind == "parent" else ""
        start_share = rules.get(f"{tier}cold_start", 1.0)
        warm_up_us = rules.get(f"{tier}cold_us", 0.0)
        multiple = rules.get(f"{tier}overload_multiple", 0.0)
        window_us = rules.get("overload_window_us", DEFAULT_WINDOW_US)
        if start.weight <= 0 or not multiple or not warm_up_us:
            self.report.reasons[WARM_UP] = "the list tells no weights"
            return
        warming = (at >= start.started_us) & (at < start.started_us + warm_up_us)
        self.report.count_cases(WARM_UP, int(warming.sum()))
        total = np.concatenate(([0.0], np.cumsum(work)))
        elapsed_share = np.clip((at - start.started_us) / warm_up_us, 0, 1)
        allowed = multiple * start.weight * (start_share + (1 - start_share) * elapsed_share) * window_us
        # Sum the work sent within the window. A finding is certain if the window is narrowed by the clock
        # uncertainty, and doubtful if the window is widened by it.
        for shift_us, certain in ((-self.uncertainty_us, True), (self.uncertainty_us, False)):
            begin = np.searchsorted(at, at - window_us - shift_us, side="right")
            sent = total[np.arange(1, len(at) + 1)] - total[begin]
            over = np.flatnonzero(warming & (sent > allowed))
            if len(over):
                first = int(over[0])
                excess = round(float(sent[first]) / float(allowed[first]), 2)
                self.report.add(WARM_UP, certain, member=member, unix_us=int(at[first]), times_allowed=excess)
                return
