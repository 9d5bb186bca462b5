"""Directors that are drained or terminated while their clients keep connections busy. Runs real processes.

The clients use their connections as long as these are open (`lab/soak/persistent.py`). The oracle judges what
the clients observe 4 s after the call for a drain, and at the platform's earliest SIGKILL.
"""

from __future__ import annotations

from pathlib import Path

from onyxwick.lab.soak.persistent import Habit
from onyxwick.lab.soak.plan import SoakFault, SoakFaultKind
from onyxwick.lab.soak.report import SoakPlan, SoakReport
from onyxwick.lab.soak.sweep import play

SHORT_DEADLINE_SHARE = 0.27  # share of the usual deadlines; SIGKILL is then sent 1.51 s after SIGTERM
BUSY_HABITS = (Habit.PIPELINED, Habit.PIECES, Habit.RESTING, Habit.PINGS, Habit.BUSY)


def _run(plan: SoakPlan, folder: Path) -> SoakReport:
    report = play(plan, folder)
    assert report.judged, report.data()
    return report


def _violations(report: SoakReport, *rules: str) -> list[str]:
    return [f"{finding.rule}: {finding.proof}" for finding in report.findings if finding.rule in rules]


def test_a_drained_director_closes_connections_that_clients_keep_using(
    tmp_path: Path,
) -> None:
    """Each director is drained differently: once, by two concurrent callers, by several consecutive calls,
    and while accept fails."""
    faults = (
        SoakFault(1, SoakFaultKind.DRAIN, 0, 2.0, 4.6, 0),
        SoakFault(2, SoakFaultKind.DRAIN, 1, 2.0, 4.6, 2),
        SoakFault(3, SoakFaultKind.DRAIN, 2, 2.0, 4.6, 3),
        SoakFault(4, SoakFaultKind.ACCEPT, 3, 1.8, 3.0, 1),
        SoakFault(5, SoakFaultKind.DRAIN, 3, 2.0, 4.6, 0),
    )
    report = _run(SoakPlan(5, 4, 8.5, scripted=faults, habits=BUSY_HABITS), tmp_path)
    assert not _violations(report, "held past a drain", "lost", "director"), report.data()


def test_a_terminated_director_leaves_nothing_unanswered_at_the_earliest_sigkill(tmp_path: Path) -> None:
    """Deadlines are short, and clients continue to send requests on open connections until SIGKILL."""
    faults = tuple(SoakFault(n, SoakFaultKind.TERM, n, 2.0, 0.1, n) for n in range(4))
    report = _run(
        SoakPlan(
            5,
            4,
            5.0,
            scripted=faults,
            habits=BUSY_HABITS,
            deadline_share=SHORT_DEADLINE_SHARE,
            held=False,
        ),
        tmp_path,
    )
    assert not _violations(report, "lost at a kill", "open at a kill", "lost", "director"), report.data()


def test_answers_in_flight_to_slow_readers_arrive_complete_in_a_drain(
    tmp_path: Path,
) -> None:
    faults = (SoakFault(1, SoakFaultKind.DRAIN, 0, 2.0, 4.6, 0),)
    plan = SoakPlan(5, 1, 8.5, scripted=faults, habits=(Habit.SLOW_READER,) * 3, answer_bytes=200_000)
    report = _run(plan, tmp_path)
    assert not _violations(report, "lost", "held past a drain"), report.data()
