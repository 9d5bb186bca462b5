"""Tests of merging traces: clocks with offset, drift and steps, and restarts of a director."""

from __future__ import annotations

from pathlib import Path

import numpy as np
import pytest

from onyxwick.lab.traces import CLASSES, RULES, START, make
from onyxwick.trace import format as f
from onyxwick.trace.clocks import MonotonicClock, fit_clock
from onyxwick.trace.merge import TraceFileWriter, merge_files
from onyxwick.trace.model import (
    ATTEMPT_COLUMNS,
    REQUEST_COLUMNS,
    NotificationKind,
    RecordedVerdict,
)
from onyxwick.trace.reader import open_trace
from onyxwick.trace.table import StringTable, Table, concatenate
from tests.trace_files import US_PER_S, auditor_of


def test_clocks_800_ms_apart_that_drift_and_one_that_steps_back_are_aligned(tmp_path: Path) -> None:
    stand = make(tmp_path, rate_per_s=30, duration_s=1500)
    out = tmp_path / "merged.owt"
    document = merge_files(stand.paths, out)
    assert document["requests"] == stand.requests and not document["losses"]
    second, third = document["clocks"]["n1"], document["clocks"]["n2"]
    middle = 800_000 + 200e-6 * 750 * US_PER_S
    assert abs(second["offset_us"] - middle) < 30_000 and abs(second["drift_ppm"] - 200) < 25
    assert 0 < second["doubt_us"] < 60_000 and third["steps_us"] > 1.9 * US_PER_S
    with open_trace(out) as trace:
        no_tables = concatenate([t for _, t in trace.tables(StringTable())][:0], StringTable())
        arrivals = np.concatenate([t.requests["at"] for _, t in trace.tables(StringTable())])
    assert not len(no_tables) and (np.diff(arrivals) >= 0).all()


def test_a_directors_own_order_is_kept_over_a_step_of_its_clock() -> None:
    samples = [(START + n * US_PER_S, n * US_PER_S) for n in range(10)]
    # The Unix clock stepped back by 2 s. Its samples do not advance until it has caught up.
    samples += [(START + 9 * US_PER_S, n * US_PER_S) for n in range(10, 12)]
    samples += [(START + (n - 2) * US_PER_S, n * US_PER_S) for n in range(12, 30)]
    clock = MonotonicClock(samples)
    times = clock.to_monotonic(
        np.array([START + 5 * US_PER_S, START + 9 * US_PER_S + 1, START + 15 * US_PER_S])
    )
    assert (np.diff(times) > 0).all() and times[2] - times[0] == pytest.approx(12 * US_PER_S, rel=0.01)


def test_retries_bound_what_events_cannot() -> None:
    rng = np.random.default_rng(3)
    true = np.sort(rng.uniform(0, 3600 * US_PER_S, 50))
    first, other = true + rng.exponential(20_000, 50), true + 500_000 + rng.exponential(20_000, 50)
    early = np.array([1000.0 * US_PER_S])
    consistent = fit_clock(first, other, early, early + 500_000 + 150_000)
    assert abs(consistent.offset_us - 500_000) < 20_000 and consistent.violated_retries == 0
    contradicting = fit_clock(first, other, early, early + 500_000 - 300_000)
    assert contradicting.violated_retries == 1 and contradicting.uncertainty_us >= 250_000, (
        "a contradicting retry must increase the uncertainty"
    )
    assert fit_clock(first[:2], other[:2]).uncertainty_us > 10**8


def test_a_restart_under_the_same_name_is_one_director_in_one_order(tmp_path: Path) -> None:
    """Two runs of one director are merged in the order of time, each with its own clock pairs.

    The audit finds no broken rule across the restart.
    """
    paths = []
    for n, run in enumerate(("a1", "b2")):
        header = f.FileHeader((1, 0), "n0", run, START + n * 60 * US_PER_S, 0, CLASSES, RULES)
        writer, strings = TraceFileWriter(tmp_path / f"{run}.owt", header), StringTable()
        begin = START + n * 60 * US_PER_S
        requests = {name: np.zeros(20, np.int64) for name in REQUEST_COLUMNS}
        requests["id"], requests["at"] = np.arange(1, 21) + 100 * n, begin + np.arange(20) * US_PER_S
        requests["verdict"][:] = RecordedVerdict.REJECTED
        requests["director"][:] = strings.number("n0")
        attempts = {name: np.zeros(0, np.int64) for name in ATTEMPT_COLUMNS}
        notifications = [f.Notification(NotificationKind.START, begin - US_PER_S, {})]
        notifications += [
            f.Notification(
                NotificationKind.CLOCK, begin + k * US_PER_S, {"mono_us": 5_000 * US_PER_S * n + k * US_PER_S}
            )
            for k in range(20)
        ]
        writer.add(Table(requests, attempts, strings, notifications))
        writer.close()
        paths.append(tmp_path / f"{run}.owt")
    assert merge_files(paths[::-1], tmp_path / "m.owt")["requests"] == 40
    with open_trace(tmp_path / "m.owt") as trace:
        at = np.concatenate([t.requests["at"] for _, t in trace.tables(StringTable())])
    assert (np.diff(at) == US_PER_S).sum() == 38 and at[20] - at[19] == 41 * US_PER_S
    assert not auditor_of(tmp_path / "m.owt").report().broken
