"""Tests of the audit: no finding in a correct trace, all planted breaches found, uncertain clocks."""

from __future__ import annotations

from pathlib import Path

import numpy as np
import pytest

from onyxwick.lab.traces import CLASSES, RULES, START, Maker, TraceClock
from onyxwick.trace import format as f
from onyxwick.trace.audit import Auditor
from onyxwick.trace.model import (
    ATTEMPT_COLUMNS,
    REQUEST_COLUMNS,
    NotificationKind,
)
from onyxwick.trace.table import StringTable, Table
from tests.trace_files import HEADER, US_PER_S, auditor_of


def test_a_correct_trace_breaks_no_rule_and_planted_breaches_are_all_found(
    tmp_path: Path,
) -> None:
    correct = Maker(tmp_path, 0, TraceClock(), 60, 600 * US_PER_S, 3)
    correct.write()
    report = auditor_of(correct.path).report()
    assert not report.broken and report.looked_at["booking once"] > 500, report.as_document()["broken"][:3]
    breaches = {"one answer": 3, "drain": 4, "not listed": 5, "purge": 6, "booking once": 4, "cold": 400}
    maker = Maker(tmp_path, 1, TraceClock(), 60, 600 * US_PER_S, 3)
    planted = maker.write(breaches)
    found: dict[str, set[str]] = {}
    for row in auditor_of(maker.path).report().broken:
        found.setdefault(row["rule"], set()).add(row.get("request") or row["member"])
    assert len(planted.pop("cold")) == 400 and found.pop("cold") == {"box-7"}
    assert found == {rule: set(ids) for rule, ids in planted.items()}


def request_row(**change: int) -> dict[str, np.ndarray]:
    defaults = dict.fromkeys(REQUEST_COLUMNS, 0) | {
        "id": 7,
        "at": START,
        "verdict": 1,
        "attempts": 1,
        "took": 1000,
    }
    return {name: np.array([value]) for name, value in (defaults | change).items()}


def same_write_at_two_directors(strings: StringTable, gap_us: int, status: int = 0) -> Table:
    """Return one booking that arrived with the same id at two directors, `gap_us` apart."""
    requests = [
        request_row(flags=6, director=strings.number(f"n{n}"), at=START + n * gap_us) for n in range(2)
    ]
    columns = {name: np.concatenate([request[name] for request in requests]) for name in REQUEST_COLUMNS}
    attempts = {name: np.zeros(2, np.int64) for name in ATTEMPT_COLUMNS}
    attempts["status"][:] = status
    return Table(columns, attempts, strings)


@pytest.mark.parametrize(
    ("gap_us", "status", "broken"), [(US_PER_S, 0, True), (US_PER_S, 2, False), (86_400 * US_PER_S, 0, False)]
)
def test_a_write_at_two_directors_was_executed_twice_unless_it_is_days_apart(
    gap_us: int, status: int, broken: bool
) -> None:
    auditor = Auditor(HEADER, [])
    auditor.add(same_write_at_two_directors(StringTable(), gap_us, status))
    assert ("booking once" in auditor.report().counts) is broken


def test_a_write_announced_as_sent_before_a_crash_counts() -> None:
    notifications = [
        f.Notification(
            NotificationKind.SENT, START + n * US_PER_S, {"id": 9, "member": "origin", "director": f"n{n}"}
        )
        for n in range(2)
    ]
    assert Auditor(HEADER, notifications).report().counts == {"booking once": 1}
    assert not Auditor(HEADER, notifications[:1]).report().counts


def test_findings_within_the_doubt_of_the_clocks_are_not_called_broken() -> None:
    """A warming cache receives slightly more than its budget in a trace merged from two directors.

    Their clock difference is known either exactly or only within two seconds.
    """
    row = [["box-1", "d", "box", "ready", 1.0, START]]
    notifications = [
        f.Notification(NotificationKind.LIST, START, {"members": row, "full": True, "director": "n0"})
    ]
    for uncertainty_us, expected in (
        (0.0, "broken"),
        (2_000_000.0, "cannot be told, because the clocks"),
    ):
        clocks = {"n1": {"doubt_us": uncertainty_us}}
        header = f.FileHeader((1, 0), "n0+n1", "x", START, 0, CLASSES, RULES, clocks)
        strings = StringTable()
        count = 100  # 60 ms of work every 30 ms; four times 0.18 to 0.3 of the capacity is allowed
        requests = {name: np.zeros(count, np.int64) for name in REQUEST_COLUMNS}
        requests["id"] = np.arange(1, count + 1)
        requests["at"] = START + 100_000 + np.arange(count) * 30_000
        requests["verdict"][:], requests["attempts"][:] = 1, 1
        requests["class"][:] = strings.number("site-video")
        requests["director"][:] = strings.number("n0")
        attempts = {name: np.zeros(count, np.int64) for name in ATTEMPT_COLUMNS}
        attempts["member"][:] = strings.number("box-1")
        auditor = Auditor(header, notifications)
        auditor.add(Table(requests, attempts, strings))
        assert auditor.report().verdicts()["cold"].startswith(expected), auditor.report().as_document()
