"""What must hold of counts, bytes and sizes at any size: pure functions of reports of small runs.

Each finding is a text; no finding, no fault. Two runs that differ in one driver show what grows with it.
"""

from __future__ import annotations

from onyxwick.distribution.fanout import FanOutLimits
from onyxwick.lab.scale.small import SmallReport

SLACK_LINES = 4
SENT_LINE_BYTES = 400
"""Most bytes of one event or heartbeat line with a single row or purge."""


def lines_per_event(report: SmallReport) -> list[str]:
    """Each director receives each event once: deliveries grow with directors x events and nothing else."""
    plan = report.plan
    events = plan.events + (plan.events + 9) // 10
    most = plan.directors * (events + SLACK_LINES)
    if report.lines > most:
        return [f"{report.lines} deliveries to {plan.directors} directors for {events} events"]
    if report.lines < plan.directors * events:
        return [f"only {report.lines} deliveries of {plan.directors * events}"]
    return []


def free_of_caches(fewer: SmallReport, more: SmallReport) -> list[str]:
    """With more caches and all else the same, no more is delivered: nothing grows with directors x caches."""
    if more.lines > fewer.lines + SLACK_LINES * fewer.plan.directors:
        return [
            f"{fewer.lines} deliveries with {fewer.plan.caches} caches, {more.lines} with {more.plan.caches}"
        ]
    return []


def free_of_objects(fewer: SmallReport, more: SmallReport) -> list[str]:
    """With more objects asked for, no table of the control grows."""
    return [
        f"table '{name}' has {fewer.tables[name]} entries with {fewer.plan.objects} objects,"
        f" {more.tables[name]} with {more.plan.objects}"
        for name in fewer.tables
        if name not in ("requests",) and more.tables[name] > fewer.tables[name]
    ]


def queue_bounded(
    report: SmallReport, limits: FanOutLimits | None = None, line_bytes: int = SENT_LINE_BYTES
) -> list[str]:
    """What a node holds for a subscriber that reads nothing stays under its high-water mark and one line."""
    most = (limits or FanOutLimits()).high_water_bytes + line_bytes
    if report.unsent_bytes > most:
        return [f"{report.unsent_bytes} bytes held for one subscriber, {most} at most"]
    return []
