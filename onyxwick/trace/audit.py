"""Audits a trace: reports for each rule whether it was followed or broken, or why this cannot be determined.

The audit is independent of the routing code. It takes the header, the notifications and all tables of one
file and returns an `AuditReport`. Each finding names the records that prove it. If a finding depends on the
clocks of two directors and the uncertainty of these clocks could explain it, it is reported as doubtful.
Times are Unix microseconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import pairwise

import numpy as np

from onyxwick.trace import format as f
from onyxwick.trace.audit_report import DRAIN, NON_IDEMPOTENT_ONCE, NOT_LISTED, ONE_ANSWER, PURGE, AuditReport
from onyxwick.trace.member_history import MemberHistory, member_histories
from onyxwick.trace.model import (
    NEVER,
    NON_IDEMPOTENT_FLAG,
    STATUS_WORDS,
    NotificationKind,
    RecordedVerdict,
)
from onyxwick.trace.table import STATUS_OK, Column, Table
from onyxwick.trace.warm_up_audit import WarmUpAudit

SOCKET_SLACK_US = 50_000
"""Added to each time limit to allow for delays on sockets."""
SAME_REQUEST_US = 60_000_000
"""If an id is used again after this time, it belongs to a different request."""
DEFAULT_DRAIN_GRACE_US = 500_000
DEFAULT_PURGE_GRACE_US = 1_000_000
DATE_STEP_US = 1000
"""Precision of the dates that the origin reports, in microseconds."""
NOT_EXECUTED = ("full", "connect_failed", "not_sent", "miss")
NOT_EXECUTED_STATUSES = np.array([STATUS_WORDS.index(word) for word in NOT_EXECUTED])


@dataclass(frozen=True, slots=True)
class NonIdempotentRun:
    """The attempts of one director for a non-idempotent request, which must not be executed twice."""

    arrived_us: int
    possibly_executed: bool


@dataclass(frozen=True, slots=True)
class AuditedPurge:
    """A purge and the time at which one director was notified of it."""

    received_us: int
    purged_us: int


PurgeKey = tuple[str, str, int]
"""Identifies the purges of one object or group at one director: director, scope (`group` or `object`), and
number of the group or object."""


@dataclass(frozen=True, slots=True)
class SentAttempts:
    """The attempts of a table, with columns that several rules use."""

    table: Table
    owner: Column
    """Row of the request that each attempt belongs to."""
    sent_at: Column
    sent: Column
    """Whether each attempt was sent."""

    def request_id(self, attempt: int) -> str:
        """Return the request id of an attempt, in hexadecimal."""
        return _request_id(self.table, int(self.owner[attempt]))


def _request_id(table: Table, row: int) -> str:
    return f"{int(table.requests['id'][row]):016x}"


class Auditor:
    """Audits one file: create it with the notifications, `add` every table once, then call `report`."""

    def __init__(self, header: f.FileHeader, notifications: list[f.Notification]) -> None:
        self.header = header
        self.result = AuditReport()
        rules = header.rules
        self.drain_us = int(rules.get("drain_grace_us", DEFAULT_DRAIN_GRACE_US)) + SOCKET_SLACK_US
        self.purge_us = int(rules.get("purge_grace_us", DEFAULT_PURGE_GRACE_US)) + SOCKET_SLACK_US
        self.histories = member_histories(notifications, header.director)
        self.purges = self._read_purges(notifications)
        self.warm_up = WarmUpAudit(header, notifications, self.result)
        self.ids: list[Column] = []
        self.arrivals: list[Column] = []
        self.non_idempotent: dict[int, list[NonIdempotentRun]] = {}
        """By request id, the attempts of each director for a non-idempotent request."""
        self.announced_sends: dict[int, list[int]] = {}
        """By request id, the times at which a non-idempotent write was announced as sent."""
        for kind, at_us, data in notifications:
            if kind == NotificationKind.SENT:
                self.announced_sends.setdefault(int(data["id"]), []).append(at_us)

    def _read_purges(self, notifications: list[f.Notification]) -> dict[PurgeKey, list[AuditedPurge]]:
        purges: dict[PurgeKey, list[AuditedPurge]] = {}
        for kind, at_us, data in notifications:
            if kind != NotificationKind.PURGE:
                continue
            director = str(data.get("director", self.header.director))
            scope = "group" if data.get("object") is None else "object"
            purge = AuditedPurge(at_us, int(data["unix_us"]))
            purges.setdefault((director, scope, data[scope]), []).append(purge)
        return purges

    def add(self, table: Table) -> None:
        """Audit one table."""
        if not len(table):
            return
        requests = table.requests
        self.ids.append(requests["id"].copy())
        self.arrivals.append(requests["at"].copy())
        self._audit_answers(table)
        self._audit_non_idempotent(table)
        owner = table.owner
        sent = table.attempts["sent"] != NEVER
        sent_at = requests["at"][owner] + table.attempts["sent"].astype(np.int64)
        attempts = SentAttempts(table, owner, sent_at, sent)
        self._audit_members(attempts, "member")
        self._audit_members(attempts, "source")
        self._audit_purges(attempts)
        self.warm_up.add(table, owner, sent_at, sent)

    # ---- one final answer, no effect twice --------------------------------------------------------------

    def _audit_answers(self, table: Table) -> None:
        self.result.count_cases(ONE_ANSWER, len(table))
        for row in np.flatnonzero(table.requests["verdict"] == RecordedVerdict.OPEN).tolist():
            self.result.add(ONE_ANSWER, True, request=_request_id(table, row), found="no final answer")

    def _audit_non_idempotent(self, table: Table) -> None:
        requests = table.requests
        rows = np.flatnonzero(requests["flags"] & NON_IDEMPOTENT_FLAG)
        self.result.count_cases(NON_IDEMPOTENT_ONCE, len(rows))
        starts = table.starts if len(rows) else None
        for row in rows.tolist():
            assert starts is not None
            first = int(starts[row])
            attempts = slice(first, first + int(requests["attempts"][row]))
            sent = table.attempts["sent"][attempts] != NEVER
            not_executed = np.isin(table.attempts["status"][attempts], NOT_EXECUTED_STATUSES)
            executions = int((sent & ~not_executed).sum())
            if executions > 1:
                request_id = _request_id(table, row)
                self.result.add(NON_IDEMPOTENT_ONCE, True, request=request_id, may_have_run=executions)
            run = NonIdempotentRun(int(requests["at"][row]), executions > 0)
            self.non_idempotent.setdefault(int(requests["id"][row]), []).append(run)

    def _check_repeated_ids(self) -> None:
        """Report ids that occur twice within `SAME_REQUEST_US`.

        Such a request had two final answers, or its write may have been executed at two directors.
        """
        if not self.ids:
            return
        ids = np.concatenate(self.ids)
        arrivals = np.concatenate(self.arrivals)
        order = np.lexsort((arrivals, ids))
        same = (ids[order][1:] == ids[order][:-1]) & (np.diff(arrivals[order]) < SAME_REQUEST_US)
        for position in np.flatnonzero(same).tolist():
            request_id = f"{int(ids[order][position]):016x}"
            self.result.add(ONE_ANSWER, True, request=request_id, found="two final answers")
        for request, runs in self.non_idempotent.items():
            executed = sorted(run.arrived_us for run in runs if run.possibly_executed)
            if any(later - earlier < SAME_REQUEST_US for earlier, later in pairwise(executed)):
                request_id = f"{request:016x}"
                self.result.add(NON_IDEMPOTENT_ONCE, True, request=request_id, may_have_run=len(executed))

    def _check_announced_sends(self) -> None:
        """Report writes that were announced as sent twice and whose records were lost in a crash.

        Two announcements of the same write mean that it was sent twice.
        """
        for request, times in self.announced_sends.items():
            if request in self.non_idempotent:
                continue  # `_audit_non_idempotent` has checked the outcomes of its attempts.
            if len(times) > 1 and max(times) - min(times) < SAME_REQUEST_US:
                request_id = f"{request:016x}"
                self.result.add(NON_IDEMPOTENT_ONCE, True, request=request_id, may_have_run=len(times))

    # ---- members ----------------------------------------------------------------------------------------

    def _audit_members(self, attempts: SentAttempts, role: str) -> None:
        """Check that each member or fill source was listed and ready as far as its director knew."""
        table = attempts.table
        numbers = table.attempts[role]
        directors = table.requests["director"][attempts.owner]
        for number in np.unique(numbers[attempts.sent]):
            member = table.strings[int(number)]
            if not member:
                continue
            to_member = attempts.sent & (numbers == number)
            for director in np.unique(directors[to_member]):
                rows = np.flatnonzero(to_member & (directors == director))
                self.result.count_cases(DRAIN, len(rows))
                history = self.histories.get((table.strings[int(director)], member))
                if history is not None:
                    self._audit_history(attempts, rows, history, member, role)
                elif self.histories:
                    self._add_unlisted(attempts, rows, member, role, "never told of")

    def _add_unlisted(self, attempts: SentAttempts, rows: Column, member: str, role: str, found: str) -> None:
        for row in rows.tolist():
            request_id = attempts.request_id(row)
            self.result.add(NOT_LISTED, True, request=request_id, member=member, role=role, found=found)

    def _audit_history(
        self, attempts: SentAttempts, rows: Column, history: MemberHistory, member: str, role: str
    ) -> None:
        """Report attempts at a member that had been unready for longer than the grace period.

        All times are from one director's clock, so no finding is doubtful.
        """
        sent_at = attempts.sent_at[rows]
        position = np.searchsorted(np.array(history.changed_us), sent_at, side="right") - 1
        unknown = position < 0
        if unknown.any():
            self._add_unlisted(attempts, rows[unknown], member, role, "not yet told of")
        ready = np.array(history.ready)
        unready_since = _unready_since(history)
        known = ~unknown
        late = np.zeros(len(rows), bool)
        limit = unready_since[position[known]] + self.drain_us
        late[known] = ~ready[position[known]] & (sent_at[known] > limit)
        for index in np.flatnonzero(late).tolist():
            rule = DRAIN if history.listed[position[index]] else NOT_LISTED
            late_us = int(sent_at[index] - unready_since[position[index]] - self.drain_us)
            request_id = attempts.request_id(int(rows[index]))
            self.result.add(rule, True, request=request_id, member=member, role=role, late_us=late_us)

    # ---- purges -----------------------------------------------------------------------------------------

    def _audit_purges(self, attempts: SentAttempts) -> None:
        """Report answers from a copy older than a purge.

        Only purges that the director had known for longer than the grace period count.
        """
        table = attempts.table
        dated = table.attempts["dated"]
        served = attempts.sent & (table.attempts["status"] == STATUS_OK) & (dated > 0)
        self.result.count_cases(PURGE, int(served.sum()))
        if not self.purges or not served.any():
            return
        rows = np.flatnonzero(served)
        owner = attempts.owner[rows]
        for (director, scope, key), purges in self.purges.items():
            number = table.strings.numbers.get(director)
            of_director = table.requests["director"][owner] == number
            bound = rows[(table.requests[scope][owner] == key) & of_director]
            for purge in purges if len(bound) else ():
                known = attempts.sent_at[bound] > purge.received_us + self.purge_us
                older = dated[bound] < purge.purged_us // DATE_STEP_US * DATE_STEP_US
                for row in bound[known & older].tolist():
                    self.result.add(
                        PURGE,
                        True,
                        request=attempts.request_id(row),
                        older_us=int(purge.purged_us - dated[row]),
                        told_unix_us=purge.received_us,
                    )

    # ---- report -----------------------------------------------------------------------------------------

    def report(self) -> AuditReport:
        """Finish the audit after the last table and return the report."""
        self._check_repeated_ids()
        self._check_announced_sends()
        self.warm_up.check()
        return self.result


def _unready_since(history: MemberHistory) -> Column:
    """Return for each change the last time at which the member stopped being ready."""
    since = np.array(history.changed_us)
    for position in range(1, len(since)):
        if not history.ready[position] and not history.ready[position - 1]:
            since[position] = since[position - 1]
    return since


def audit(header: f.FileHeader, tables: Iterable[Table], notifications: list[f.Notification]) -> AuditReport:
    """Audit all tables of a file and return the report."""
    auditor = Auditor(header, notifications)
    for table in tables:
        auditor.add(table)
    return auditor.report()
