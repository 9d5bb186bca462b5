"""Scaling bounds on counts, bytes and table sizes, checked by pure functions on reports of small runs.

Each check returns a list of texts, one per violated bound; an empty list means that the bound holds. Two
runs that differ in one driver show which quantities grow with that driver.
"""

from __future__ import annotations

from onyxwick.distribution.fanout import FanOutLimits
from onyxwick.lab.scale.small import SmallReport

SLACK_LINES = 4
MAX_SENT_LINE_BYTES = 400
"""Maximum bytes of one event or heartbeat line with a single row or purge."""


def check_deliveries_per_event(report: SmallReport) -> list[str]:
    """Check that each director receives each event once.

    Deliveries may grow with directors x events and with nothing else.
    """
    plan = report.plan
    events = plan.events + (plan.events + 9) // 10
    most = plan.directors * (events + SLACK_LINES)
    if report.lines > most:
        return [f"{report.lines} deliveries to {plan.directors} directors for {events} events"]
    if report.lines < plan.directors * events:
        return [f"only {report.lines} deliveries of {plan.directors * events}"]
    return []


def check_independent_of_caches(fewer: SmallReport, more: SmallReport) -> list[str]:
    """Check that more caches, with all else equal, cause no more deliveries.

    Nothing may grow with directors x caches.
    """
    if more.lines > fewer.lines + SLACK_LINES * fewer.plan.directors:
        return [
            f"{fewer.lines} deliveries with {fewer.plan.caches} caches, {more.lines} with {more.plan.caches}"
        ]
    return []


def check_independent_of_objects(fewer: SmallReport, more: SmallReport) -> list[str]:
    """Check that no control table grows when more objects are requested."""
    return [
        f"table '{name}' has {fewer.tables[name]} entries with {fewer.plan.objects} objects,"
        f" {more.tables[name]} with {more.plan.objects}"
        for name in fewer.tables
        if name not in ("requests",) and more.tables[name] > fewer.tables[name]
    ]


def check_queue_bound(
    report: SmallReport, limits: FanOutLimits | None = None, line_bytes: int = MAX_SENT_LINE_BYTES
) -> list[str]:
    """Check the bytes that a node queues for a subscriber that reads nothing.

    The queue may not exceed the node's high-water mark plus one line.
    """
    most = (limits or FanOutLimits()).high_water_bytes + line_bytes
    if report.unsent_bytes > most:
        return [f"{report.unsent_bytes} bytes queued for one subscriber, at most {most} allowed"]
    return []
