"""The audit of a trace: no finding in a correct one, every planted breach, clocks in doubt."""

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
from tests.trace_files import HEADER, S, audited


def test_a_correct_trace_breaks_no_rule_and_planted_breaches_are_all_found(
    tmp_path: Path,
) -> None:
    sound = Maker(tmp_path, 0, TraceClock(), 60, 600 * S, 3)
    sound.write()
    report = audited(sound.path).report()
    assert not report.broken and report.looked_at["booking once"] > 500, report.as_document()["broken"][:3]
    plant = {"one answer": 3, "drain": 4, "not listed": 5, "purge": 6, "booking once": 4, "cold": 400}
    maker = Maker(tmp_path, 1, TraceClock(), 60, 600 * S, 3)
    planted = maker.write(plant)
    found: dict[str, set[str]] = {}
    for row in audited(maker.path).report().broken:
        found.setdefault(row["rule"], set()).add(row.get("request") or row["member"])
    assert len(planted.pop("cold")) == 400 and found.pop("cold") == {"box-7"}
    assert found == {rule: set(ids) for rule, ids in planted.items()}


def request_row(**change: int) -> dict[str, np.ndarray]:
    plain = dict.fromkeys(REQUEST_COLUMNS, 0) | {
        "id": 7,
        "at": START,
        "verdict": 1,
        "attempts": 1,
        "took": 1000,
    }
    return {name: np.array([value]) for name, value in (plain | change).items()}


def same_write_at_two_directors(strings: StringTable, gap_us: int, status: int = 0) -> Table:
    """One booking under one id at two directors, so far apart."""
    lives = [request_row(flags=6, director=strings.number(f"n{n}"), at=START + n * gap_us) for n in range(2)]
    columns = {name: np.concatenate([life[name] for life in lives]) for name in REQUEST_COLUMNS}
    attempts = {name: np.zeros(2, np.int64) for name in ATTEMPT_COLUMNS}
    attempts["status"][:] = status
    return Table(columns, attempts, strings)


@pytest.mark.parametrize(
    ("gap_us", "status", "broken"), [(S, 0, True), (S, 2, False), (86_400 * S, 0, False)]
)
def test_a_write_at_two_directors_was_executed_twice_unless_it_is_days_apart(
    gap_us: int, status: int, broken: bool
) -> None:
    judge = Auditor(HEADER, [])
    judge.add(same_write_at_two_directors(StringTable(), gap_us, status))
    assert ("booking once" in judge.report().counts) is broken


def test_a_write_announced_as_sent_before_a_crash_counts() -> None:
    told = [
        f.Notification(
            NotificationKind.SENT, START + n * S, {"id": 9, "member": "origin", "director": f"n{n}"}
        )
        for n in range(2)
    ]
    assert Auditor(HEADER, told).report().counts == {"booking once": 1}
    assert not Auditor(HEADER, told[:1]).report().counts


def test_findings_within_the_doubt_of_the_clocks_are_not_called_broken() -> None:
    """A cold box sent just over its budget by two directors whose clocks may be a second off."""
    row = [["box-1", "d", "box", "ready", 1.0, START]]
    told = [f.Notification(NotificationKind.LIST, START, {"members": row, "full": True, "director": "n0"})]
    for doubt, wanted in ((0.0, "broken"), (2_000_000.0, "cannot be told, because the clocks")):
        clocks = {"n1": {"doubt_us": doubt}}
        header = f.FileHeader((1, 0), "n0+n1", "x", START, 0, CLASSES, RULES, clocks)
        strings = StringTable()
        count = 100  # 60 ms of work each 30 ms, where four times 0.18 to 0.3 of it are allowed
        lives = {name: np.zeros(count, np.int64) for name in REQUEST_COLUMNS}
        lives["id"] = np.arange(1, count + 1)
        lives["at"] = START + 100_000 + np.arange(count) * 30_000
        lives["verdict"][:], lives["attempts"][:] = 1, 1
        lives["class"][:] = strings.number("site-video")
        lives["director"][:] = strings.number("n0")
        attempts = {name: np.zeros(count, np.int64) for name in ATTEMPT_COLUMNS}
        attempts["member"][:] = strings.number("box-1")
        judge = Auditor(header, told)
        judge.add(Table(lives, attempts, strings))
        assert judge.report().verdicts()["cold"].startswith(wanted), judge.report().as_document()
