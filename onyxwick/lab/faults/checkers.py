"""Checks and figures of a history: pure functions. For each rule, tests/test_faults.py has a history that
must be rejected."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from typing import Any

from onyxwick.lab.audit import Findings, audit
from onyxwick.lab.faults.history import History, Row, records_of

S = 1_000_000
MAX_TIMER_LATENESS_P99_MS = (
    60.0  # lateness of the lab's own timers above which a run gives no verdict on service
)
LOST_STATES = ("lost", "evacuating")
LOSS_FAULTS = ("lose", "order", "drill")  # faults that may cause directors to evacuate a site


def rules(history: History) -> Findings:
    """Audit the history for every rule of the platform, as observed at the sockets."""
    return audit(records_of(history.rows))


def service(rows: Iterable[Row], begin_us: int, end_us: int) -> float:
    """Return earned worth over requested worth of the requests due in a period; 1 if no worth was
    requested."""
    asked = earned = 0.0
    for row in rows:
        if row.kind == "earned" and begin_us <= row.at_us < end_us:
            asked += row.data["worth"]
            earned += row.data["earned"]
    return earned / asked if asked else 1.0


def worst(rows: Iterable[Row], begin_us: int, end_us: int, window_us: int = 10 * S) -> float:
    """Return the lowest service of any window of `window_us`; windows start one second apart."""
    found = [row for row in rows if row.kind == "earned" and begin_us <= row.at_us < end_us]
    last = max(begin_us, end_us - window_us)
    return min(service(found, at, at + window_us) for at in range(begin_us, last + 1, S))


def split(rows: Iterable[Row], key: str) -> dict[str, list[Row]]:
    """Group the rows of kind "earned" by class, tenant or site."""
    out: dict[str, list[Row]] = defaultdict(list)
    for row in rows:
        if row.kind == "earned":
            out[str(row.data[key])].append(row)
    return dict(sorted(out.items()))


def fault_times(history: History) -> tuple[int, int]:
    """Return the start of the first fault and the time of the last fault row; twice the run's end if no fault
    began."""
    begun = [row.at_us for row in history.of("fault") if row.data.get("on")]
    ended = [row.at_us for row in history.of("fault")]
    return (min(begun), max(ended)) if begun else (history.ended_us, history.ended_us)


def states(history: History, site: str = "") -> list[Row]:
    """Return the site states that directors reported, of one site or (empty name) of all."""
    return [row for row in history.of("state") if not site or row.what == site]


def false_alarms(history: History) -> list[str]:
    """Describe each case of a director that declared a site lost without a fault that can cause a loss."""
    out = []
    faults = history.of("fault")
    for row in states(history):
        if row.data["now"] not in LOST_STATES or row.data["was"] in LOST_STATES:
            continue
        caused = any(
            fault.what in LOSS_FAULTS and row.what in fault.data.get("sites", ()) and fault.at_us <= row.at_us
            for fault in faults
        )
        if not caused:
            out.append(f"{row.who} held {row.what} to be lost at {row.at_us}: {row.data['why']}")
    return out


def recovered_after(history: History, since_us: int, usual: float, share: float = 0.99) -> float | None:
    """Return the seconds from `since_us` until service, in windows of 5 s, stays at or above `share` of the
    usual service; None if it never does."""
    rows = history.of("earned")
    ends = range(since_us, history.ended_us - 5 * S, S)
    good = [service(rows, at, at + 5 * S) >= share * usual for at in ends]
    if not good or not good[-1]:
        return None
    last_bad = max((n for n, fine in enumerate(good) if not fine), default=-1)
    return float(last_bad + 1)


def reached(history: History, site: str, state: str, after_us: int) -> list[float]:
    """Return the seconds from `after_us` until each director put the site into the state, in ascending order.
    Directors that never did so are left out."""
    first: dict[str, int] = {}
    for row in states(history, site):
        if row.data["now"] == state and row.at_us >= after_us:
            first.setdefault(row.who, row.at_us)
    return sorted((at - after_us) / S for at in first.values())


def used(history: History, begin_us: int, end_us: int) -> dict[str, float]:
    """Return the mean number of concurrent transfers of each place and link over a period."""
    out: dict[str, float] = defaultdict(float)
    for row in history.of("used"):
        if begin_us <= row.at_us < end_us:
            out[row.who] += row.data["work_us"]
    return {place: work / (end_us - begin_us) for place, work in sorted(out.items())}


def peak(history: History, begin_us: int, end_us: int, window_us: int = 3 * S) -> dict[str, float]:
    """Return the highest mean number of concurrent transfers per place and link in any window of
    `window_us`."""
    out: dict[str, float] = {}
    for at in range(begin_us, max(begin_us + 1, end_us - window_us), S):
        for place, work in used(history, at, at + window_us).items():
            out[place] = max(work, out.get(place, 0.0))
    return out


def late(history: History) -> str:
    """Explain why a run gives no verdict on service: the lab itself was short of cores. Returns an empty text
    if it was not."""
    for row in history.of("late"):
        if row.data["p99_ms"] > MAX_TIMER_LATENESS_P99_MS:
            return f"the lab's own timers were {row.data['p99_ms']:.0f} ms late (p99): no verdict on service"
    return ""


def refused_by(history: History, begin_us: int, end_us: int) -> dict[str, int]:
    """Count the calls of a period by their outcome."""
    out: dict[str, int] = defaultdict(int)
    for row in history.of("call"):
        if begin_us <= row.at_us < end_us:
            out[row.data["verdict"] or ("left" if row.data["left"] else "none")] += 1
    return dict(sorted(out.items()))


def ran_twice(history: History) -> list[str]:
    """Return the requests whose write ran more than once, one entry per repetition."""
    seen: set[str] = set()
    twice = []
    for row in history.of("ran"):
        if row.what in seen:
            twice.append(row.what)
        seen.add(row.what)
    return twice


def report(history: History) -> dict[str, Any]:
    """Return all figures of one run."""
    found, faults = rules(history), fault_times(history)
    begin, end = faults
    left = {row.what for row in states(history) if row.data["now"] == "evacuated"}
    rows = history.of("earned")
    usual = service(rows, history.began_us, begin)
    after = None if begin == end else recovered_after(history, end, usual)
    span = (begin, end)
    return {
        "scenario": history.scenario,
        "seed": history.seed,
        "variant": history.variant,
        "audited": found.audited,
        "broken": found.counts,
        "proofs": found.broken[:10],
        "false_alarms": false_alarms(history),
        "late": late(history),
        "before": round(usual, 4),
        "during": round(service(rows, *span), 4),
        "worst_10s": round(worst(rows, begin, history.ended_us), 4),
        "worst_class": round(min((service(r, *span) for r in split(rows, "class").values()), default=1), 4),
        "worst_tenant": round(min((service(r, *span) for r in split(rows, "tenant").values()), default=1), 4),
        "worst_site": round(min((service(r, *span) for r in split(rows, "site").values()), default=1), 4),
        "after": round(service(rows, end, history.ended_us), 4),
        "whole": round(service(rows, begin, history.ended_us), 4),
        "recovered_s": after,
        "evacuated_s": {site: reached(history, site, "evacuated", begin) for site in sorted(left)},
        "ends": refused_by(history, *span),
        "peak": {place: round(most, 2) for place, most in peak(history, begin, history.ended_us).items()},
    }
