"""Merging traces: clocks that differ, drift and step, and restarts of a director."""

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
from tests.trace_files import S, audited


def test_clocks_800_ms_apart_that_drift_and_one_that_steps_back_are_aligned(tmp_path: Path) -> None:
    stand = make(tmp_path, rate_per_s=30, duration_s=1500)
    out = tmp_path / "merged.owt"
    told = merge_files(stand.paths, out)
    assert told["requests"] == stand.requests and not told["losses"]
    second, third = told["clocks"]["n1"], told["clocks"]["n2"]
    middle = 800_000 + 200e-6 * 750 * S
    assert abs(second["offset_us"] - middle) < 30_000 and abs(second["drift_ppm"] - 200) < 25
    assert 0 < second["doubt_us"] < 60_000 and third["steps_us"] > 1.9 * S
    with open_trace(out) as trace:
        whole = concatenate([t for _, t in trace.tables(StringTable())][:0], StringTable())
        arrivals = np.concatenate([t.requests["at"] for _, t in trace.tables(StringTable())])
    assert not len(whole) and (np.diff(arrivals) >= 0).all()


def test_a_directors_own_order_is_kept_over_a_step_of_its_clock() -> None:
    samples = [(START + n * S, n * S) for n in range(10)]
    samples += [(START + 9 * S, n * S) for n in range(10, 12)]  # it stepped back by 2 s: frozen meanwhile
    samples += [(START + (n - 2) * S, n * S) for n in range(12, 30)]
    clock = MonotonicClock(samples)
    times = clock.to_monotonic(np.array([START + 5 * S, START + 9 * S + 1, START + 15 * S]))
    assert (np.diff(times) > 0).all() and times[2] - times[0] == pytest.approx(12 * S, rel=0.01)


def test_retries_bound_what_events_cannot() -> None:
    rng = np.random.default_rng(3)
    true = np.sort(rng.uniform(0, 3600 * S, 50))
    first, other = true + rng.exponential(20_000, 50), true + 500_000 + rng.exponential(20_000, 50)
    early = np.array([1000.0 * S])
    sound = fit_clock(first, other, early, early + 500_000 + 150_000)
    assert abs(sound.offset_us - 500_000) < 20_000 and sound.violated_retries == 0
    wrong = fit_clock(first, other, early, early + 500_000 - 300_000)
    assert wrong.violated_retries == 1 and wrong.uncertainty_us >= 250_000, (
        "a contradiction is doubt, not silence"
    )
    assert fit_clock(first[:2], other[:2]).uncertainty_us > 10**8


def test_a_restart_under_the_same_name_is_one_director_in_one_order(tmp_path: Path) -> None:
    """Two runs of one name: each on its own clock pairs, told apart in time, with no rule broken between."""
    paths = []
    for n, run in enumerate(("a1", "b2")):
        header = f.FileHeader((1, 0), "n0", run, START + n * 60 * S, 0, CLASSES, RULES)
        writer, strings = TraceFileWriter(tmp_path / f"{run}.owt", header), StringTable()
        begin = START + n * 60 * S
        lives = {name: np.zeros(20, np.int64) for name in REQUEST_COLUMNS}
        lives["id"], lives["at"] = np.arange(1, 21) + 100 * n, begin + np.arange(20) * S
        lives["verdict"][:] = RecordedVerdict.REJECTED
        lives["director"][:] = strings.number("n0")
        attempts = {name: np.zeros(0, np.int64) for name in ATTEMPT_COLUMNS}
        told = [f.Notification(NotificationKind.START, begin - S, {})]
        told += [
            f.Notification(NotificationKind.CLOCK, begin + k * S, {"mono_us": 5_000 * S * n + k * S})
            for k in range(20)
        ]
        writer.add(Table(lives, attempts, strings, told))
        writer.close()
        paths.append(tmp_path / f"{run}.owt")
    assert merge_files(paths[::-1], tmp_path / "m.owt")["requests"] == 40
    with open_trace(tmp_path / "m.owt") as trace:
        at = np.concatenate([t.requests["at"] for _, t in trace.tables(StringTable())])
    assert (np.diff(at) == S).sum() == 38 and at[20] - at[19] == 41 * S
    assert not audited(tmp_path / "m.owt").report().broken
