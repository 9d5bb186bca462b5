"""The rules, from a trace alone: kept, broken, or not to be told and why. Independent of the director's
code.

Each finding names the records that prove it. Where two directors' clocks matter, their doubt is carried:
what a shift within the doubt could turn into no breach is not called one.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Any

import numpy as np

from onyxwick.trace import format as f
from onyxwick.trace.model import NEVER, ONCE, STATUSES, NotificationKind, RecordedVerdict, S
from onyxwick.trace.table import Column, Strings, Table

SLACK_US = 50_000  # what each time limit is longer by on sockets
TWICE_US = 60_000_000  # an id that comes again later than this is another request
MOST = 1000  # findings kept of one rule
NEVER_RAN = np.array([STATUSES.index(s) for s in ("full", "connect_failed", "not_sent", "miss")])
RULES = ("one answer", "booking once", "drain", "not listed", "purge", "cold")


@dataclass(slots=True)
class AuditReport:
    """What was found. `broken` and `doubtful` hold findings; a rule in neither was kept or not looked at."""

    broken: list[dict[str, Any]] = field(default_factory=list)
    doubtful: list[dict[str, Any]] = field(default_factory=list)
    counts: dict[str, int] = field(default_factory=dict)
    looked_at: dict[str, int] = field(default_factory=dict)  # rule: how many cases
    reasons: dict[str, str] = field(default_factory=dict)  # rule: why nothing can be told of it

    def add(self, rule: str, certain: bool, **proof: Any) -> None:
        key = rule if certain else f"{rule} (doubtful)"
        self.counts[key] = self.counts.get(key, 0) + 1
        if self.counts[key] <= MOST:
            (self.broken if certain else self.doubtful).append({"rule": rule, **proof})

    def verdicts(self) -> dict[str, str]:
        out = {}
        for rule in RULES:
            if self.counts.get(rule):
                out[rule] = "broken"
            elif self.counts.get(f"{rule} (doubtful)"):
                out[rule] = "cannot be told, because the clocks' doubt is wider than what was found"
            elif rule in self.reasons:
                out[rule] = f"cannot be told, because {self.reasons[rule]}"
            else:
                out[rule] = "kept"
        return out

    def shown(self) -> dict[str, Any]:
        return {
            "verdicts": self.verdicts(),
            "counts": self.counts,
            "looked_at": self.looked_at,
            "broken": self.broken,
            "doubtful": self.doubtful,
        }


@dataclass(slots=True)
class AuditedMember:
    """What one director had been told of one member, as times at which it changed."""

    at: list[int] = field(default_factory=list)
    ready: list[bool] = field(default_factory=list)
    listed: list[bool] = field(default_factory=list)


def told_lists(
    told: Iterable[tuple[int, int, dict[str, Any]]], own: str
) -> dict[tuple[str, str], AuditedMember]:
    """By director and member, in order of time."""
    out: dict[tuple[str, str], AuditedMember] = {}
    seen: dict[str, set[str]] = {}
    for kind, at, data in sorted(
        (t for t in told if t[0] in (NotificationKind.LIST, NotificationKind.START)), key=lambda t: t[1]
    ):
        director = str(data.get("director", own))
        if kind == NotificationKind.START:
            for member in seen.pop(director, set()):
                _change(out, director, member, at, False, False)
            continue
        rows = {str(row[0]): str(row[3]) for row in data.get("members", ())}
        if data.get("full"):
            for member in seen.get(director, set()) - set(rows):
                _change(out, director, member, at, False, False)
        for member, state in rows.items():
            _change(out, director, member, at, state == "ready", state != "gone")
            seen.setdefault(director, set()).add(member)
    return out


def _change(
    out: dict[tuple[str, str], AuditedMember], director: str, member: str, at: int, ready: bool, listed: bool
) -> None:
    known = out.setdefault((director, member), AuditedMember())
    known.at.append(at)
    known.ready.append(ready)
    known.listed.append(listed)


class Audit:
    """Told events first (`prepare`), then every table once (`add`), then `report`."""

    def __init__(self, header: f.FileHeader, told: list[tuple[int, int, dict[str, Any]]]) -> None:
        self.header, self.out = header, AuditReport()
        rules = header.rules
        self.drain_us = int(rules.get("drain_grace_us", 500_000)) + SLACK_US
        self.purge_us = int(rules.get("purge_grace_us", 1_000_000)) + SLACK_US
        self.doubt = max((c.get("doubt_us", 0.0) for c in header.clocks.values()), default=0.0)
        self.lists = told_lists(told, header.director)
        self.purges = self._purges(told)
        self.starts = self._starts(told)
        self.ids: list[Column] = []
        self.ats: list[Column] = []
        self.once: dict[int, list[tuple[str, int, bool]]] = {}  # request: (director, at, it may have run)
        self.early = [
            (int(d["id"]), str(d.get("director", "")), at) for k, at, d in told if k == NotificationKind.SENT
        ]
        self.spent: dict[str, list[tuple[Column, Column]]] = {}  # member: times, classes of what went there
        self.hits: dict[str, list[Column]] = {}  # class: how long hits took
        self.last_at = 0

    def _purges(
        self, told: list[tuple[int, int, dict[str, Any]]]
    ) -> dict[tuple[str, Any], list[tuple[int, int]]]:
        """By director and object or group: (told at, purged at)."""
        out: dict[tuple[str, Any], list[tuple[int, int]]] = {}
        for kind, at, data in told:
            if kind == NotificationKind.PURGE:
                director = str(data.get("director", self.header.director))
                key = ("group", data["group"]) if data.get("object") is None else ("object", data["object"])
                out.setdefault((director, key), []).append((at, int(data["unix_us"])))
        return out

    def _starts(self, told: list[tuple[int, int, dict[str, Any]]]) -> dict[str, list[tuple[int, float, str]]]:
        """Members that started late: (since, weight, kind)."""
        out: dict[str, dict[int, tuple[int, float, str]]] = {}
        for kind, _, data in told:
            for row in data.get("members", ()) if kind == NotificationKind.LIST else ():
                member, member_kind, weight, since = str(row[0]), str(row[2]), float(row[4]), int(row[5])
                if since:
                    out.setdefault(member, {})[since] = (since, weight, member_kind)
        return {member: list(rows.values()) for member, rows in out.items()}

    # ---- one table --------------------------------------------------------------------------------------

    def add(self, table: Table) -> None:
        if not len(table):
            return
        lives = table.lives
        self.ids.append(lives["id"].copy())
        self.ats.append(lives["at"].copy())
        self.last_at = max(self.last_at, int(lives["at"].max()))
        self._open(table)
        self._once(table)
        sent = table.attempts["sent"] != NEVER
        owner = table.owner
        at = lives["at"][owner] + table.attempts["sent"].astype(np.int64)
        self._members(table, owner, at, sent, "member")
        self._members(table, owner, at, sent, "source")
        self._purged(table, owner, at, sent)
        self._cold(table, owner, at, sent)

    def _open(self, table: Table) -> None:
        self._count("one answer", len(table))
        for row in np.flatnonzero(table.lives["verdict"] == RecordedVerdict.OPEN):
            self.out.add("one answer", True, request=self._id(table, int(row)), found="no final answer")

    def _id(self, table: Table, row: int) -> str:
        return f"{int(table.lives['id'][row]):016x}"

    def _count(self, rule: str, cases: int) -> None:
        self.out.looked_at[rule] = self.out.looked_at.get(rule, 0) + cases

    def _once(self, table: Table) -> None:
        once = np.flatnonzero(table.lives["flags"] & ONCE)
        self._count("booking once", len(once))
        if not len(once):
            return
        starts, counts = table.starts, table.lives["attempts"]
        for row in once.tolist():
            span = slice(int(starts[row]), int(starts[row]) + int(counts[row]))
            status, sent = table.attempts["status"][span], table.attempts["sent"][span]
            ran = int(((sent != NEVER) & ~np.isin(status, NEVER_RAN)).sum())
            request = self._id(table, row)
            if ran > 1:
                self.out.add("booking once", True, request=request, may_have_run=ran)
            director = table.name("director", row)
            self.once.setdefault(int(table.lives["id"][row]), []).append(
                (director, int(table.lives["at"][row]), ran > 0)
            )

    def _members(self, table: Table, owner: Column, at: Column, sent: Column, column: str) -> None:
        """Was each member (or source) listed and ready, as its director had been told?"""
        numbers, directors = table.attempts[column], table.lives["director"][owner]
        for number in np.unique(numbers[sent]):
            member = table.strings[int(number)]
            for director in np.unique(directors[sent & (numbers == number)]) if member else ():
                rows = np.flatnonzero(sent & (numbers == number) & (directors == director))
                known = self.lists.get((table.strings[int(director)], member))
                self._count("drain", len(rows))
                if known is None:
                    if self.lists:
                        self._unlisted(table, owner, rows, member, column, "never told of")
                    continue
                self._ready(table, owner, rows, at[rows], known, member, column)

    def _unlisted(self, table: Table, owner: Column, rows: Column, member: str, role: str, text: str) -> None:
        for row in rows.tolist():
            request = self._id(table, int(owner[row]))
            self.out.add("not listed", True, request=request, member=member, role=role, found=text)

    def _ready(
        self,
        table: Table,
        owner: Column,
        rows: Column,
        at: Column,
        known: AuditedMember,
        member: str,
        role: str,
    ) -> None:
        """Within one director's own clock: no doubt from others'."""
        times = np.array(known.at)
        place = np.searchsorted(times, at, side="right") - 1
        before = place < 0
        if before.any():
            self._unlisted(table, owner, rows[before], member, role, "not yet told of")
        ready, listed = np.array(known.ready), np.array(known.listed)
        # The last time at which it stopped being ready, for each send.
        since = times.copy()
        for n in range(1, len(since)):
            if not ready[n] and not ready[n - 1]:
                since[n] = since[n - 1]
        held = ~before
        late = np.zeros(len(rows), bool)
        late[held] = ~ready[place[held]] & (at[held] > since[place[held]] + self.drain_us)
        for n in np.flatnonzero(late).tolist():
            rule = "drain" if listed[place[n]] else "not listed"
            over = int(at[n] - since[place[n]] - self.drain_us)
            request = self._id(table, int(owner[rows[n]]))
            self.out.add(rule, True, request=request, member=member, role=role, late_us=over)

    def _purged(self, table: Table, owner: Column, at: Column, sent: Column) -> None:
        """An answer from a copy older than a purge that its director knew of for long enough."""
        attempts, lives = table.attempts, table.lives
        served = sent & (attempts["status"] == 0) & (attempts["dated"] > 0)
        self._count("purge", int(served.sum()))
        if not self.purges or not served.any():
            return
        rows = np.flatnonzero(served)
        for (director, (kind, key)), times in self.purges.items():
            number = table.strings.numbers.get(director)
            column = lives["group"] if kind == "group" else lives["object"]
            mine = rows[(column[owner[rows]] == key) & (lives["director"][owner[rows]] == number)]
            for told, purged in times if len(mine) else ():
                old = (at[mine] > told + self.purge_us) & (attempts["dated"][mine] < purged // 1000 * 1000)
                for row in mine[old].tolist():
                    older = int(purged - attempts["dated"][row])
                    request = self._id(table, int(owner[row]))
                    self.out.add("purge", True, request=request, older_us=older, told_unix_us=told)

    # ---- cold members -----------------------------------------------------------------------------------

    def _cold(self, table: Table, owner: Column, at: Column, sent: Column) -> None:
        kinds = table.lives["class"][owner]
        self._hits(table, kinds, sent)
        for column in ("member", "source"):
            numbers = table.attempts[column]
            for member in self.starts:
                number = table.strings.numbers.get(member)
                if number is None:
                    continue
                rows = sent & (numbers == number)
                if column == "source":  # a hit never reached the source that was named for a miss
                    rows &= ~np.isin(table.attempts["detail"], (1, 4, 5))
                if rows.any():
                    names = np.array([table.strings[int(n)] for n in np.unique(kinds[rows])])
                    back = np.unique(kinds[rows], return_inverse=True)[1]
                    self.spent.setdefault(member, []).append((at[rows], names[back]))

    def _hits(self, table: Table, kinds: Column, sent: Column) -> None:
        """What a hit takes is what its class costs to send, where the header does not say it."""
        if not self.starts or any(c.get("sending_us") for c in self.header.classes):
            return
        attempts = table.attempts
        hit = sent & (attempts["detail"] == 1)
        took = attempts["ended"][hit].astype(np.int64) - attempts["sent"][hit]
        for number in np.unique(kinds[hit]):
            some = np.sort(took[kinds[hit] == number])[:: max(1, int(hit.sum()) // MOST)]
            self.hits.setdefault(table.strings[int(number)], []).append(some)

    def _work(self) -> dict[str, float]:
        """What a request of each class costs to send, in us."""
        told = {str(c["name"]): float(c.get("sending_us", 0.0)) for c in self.header.classes}
        seen = {name: np.concatenate(rows) for name, rows in self.hits.items()}
        # The quicker half: the others shared their link with more than it carries at full pace.
        return told | {name: float(np.quantile(rows, 0.25)) for name, rows in seen.items() if len(rows)}

    def _check_cold(self) -> None:
        if not self.starts:
            return
        work = self._work()
        if not any(work.values()):
            self.out.reasons["cold"] = "nothing tells what a class costs to send"
            return
        for member, rows in self.starts.items():
            if member not in self.spent:
                continue
            at = np.concatenate([t for t, _ in self.spent[member]])
            costs = np.array(
                [work.get(str(n), 0.0) for n in np.concatenate([c for _, c in self.spent[member]])]
            )
            order = np.argsort(at, kind="stable")
            for since, weight, kind in rows:
                self._check_start(member, at[order], costs[order], since, weight, kind)

    def _check_start(
        self, member: str, at: Column, work: Column, since: int, weight: float, kind: str
    ) -> None:
        rules = self.header.rules
        tier = "parent_" if kind == "parent" else ""
        start, rise = rules.get(f"{tier}cold_start", 1.0), rules.get(f"{tier}cold_us", 0.0)
        multiple, window = (
            rules.get(f"{tier}overload_multiple", 0.0),
            rules.get("overload_window_us", 3.0 * S),
        )
        if weight <= 0 or not multiple or not rise:
            self.out.reasons["cold"] = "the list tells no weights"
            return
        inside = (at >= since) & (at < since + rise)
        self._count("cold", int(inside.sum()))
        total = np.concatenate(([0.0], np.cumsum(work)))
        for shift, certain in ((-self.doubt, True), (self.doubt, False)):
            # All within the window, and within the doubt less (surely) or more of it (maybe).
            begin = np.searchsorted(at, at - window - shift, side="right")
            sent = total[np.arange(1, len(at) + 1)] - total[begin]
            warm = start + (1 - start) * np.clip((at - since) / rise, 0, 1)
            over = inside & (sent > multiple * weight * warm * window)
            if over.any():
                n = int(np.flatnonzero(over)[0])
                allowed = multiple * weight * float(warm[n]) * window
                self.out.add(
                    "cold",
                    certain,
                    member=member,
                    unix_us=int(at[n]),
                    times_allowed=round(float(sent[n]) / allowed, 2),
                )
                return

    # ---- the end ----------------------------------------------------------------------------------------

    def report(self) -> AuditReport:
        """After the last table."""
        self._check_twice()
        self._check_early()
        self._check_cold()
        return self.out

    def _check_twice(self) -> None:
        """One id, two lives within a minute: two answers, or one that ran at two directors."""
        if not self.ids:
            return
        ids, at = np.concatenate(self.ids), np.concatenate(self.ats)
        order = np.lexsort((at, ids))
        same = (ids[order][1:] == ids[order][:-1]) & (np.diff(at[order]) < TWICE_US)
        for n in np.flatnonzero(same).tolist():
            self.out.add("one answer", True, request=f"{int(ids[order][n]):016x}", found="two final answers")
        for request, lives in self.once.items():
            ran = sorted(at for _, at, may in lives if may)
            if any(b - a < TWICE_US for a, b in pairwise(ran)):
                self.out.add("booking once", True, request=f"{request:016x}", may_have_run=len(ran))

    def _check_early(self) -> None:
        """Writes that were told as sent and have no life: a crash took it. Twice told: it was sent twice."""
        sent: dict[int, list[tuple[int, str]]] = {}
        for request, director, at in self.early:
            sent.setdefault(request, []).append((at, director))
        for request, times in sent.items():
            lives = self.once.get(request)
            if lives is not None:
                continue  # judged by its attempts' outcomes
            times.sort()
            if len(times) > 1 and times[-1][0] - times[0][0] < TWICE_US:
                self.out.add("booking once", True, request=f"{request:016x}", may_have_run=len(times))


def audit(
    header: f.FileHeader, tables: Iterable[Table], told: list[tuple[int, int, dict[str, Any]]]
) -> AuditReport:
    out = Audit(header, told)
    for table in tables:
        out.add(table)
    return out.report()


__all__ = ["Audit", "AuditReport", "Strings", "audit"]
