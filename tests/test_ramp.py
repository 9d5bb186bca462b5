"""Load ramp of a complete fleet: the load that all directors send to a member that has just started."""

from __future__ import annotations

from dataclasses import replace

import pytest

from onyxwick.lab.ramp import HARD, Case, Ramp, measure
from onyxwick.routing.capacity import CapacityModel
from onyxwick.routing.slow_start import SlowStart

CASES = (Case(3), Case(20, **HARD), Case(30, told_us=7_000_000), Case(12, parent=True))  # type: ignore[arg-type]


def inject_ignored_warm_up(monkeypatch: pytest.MonkeyPatch) -> None:
    """Inject a fault: each director treats every member as warmed up and very large."""
    monkeypatch.setattr(SlowStart, "admits", lambda *_: True)
    monkeypatch.setattr(SlowStart, "warm_share", lambda *_: 1.0)
    monkeypatch.setattr(CapacityModel, "transfers", lambda *_: 100.0)


@pytest.mark.parametrize("case", CASES)
def test_the_fleet_keeps_to_the_budget_of_a_cold_member(case: Case) -> None:
    figures = measure(case, range(1, 3))
    assert figures["worst_over_bound"] <= 0.6 and figures["least_used"] >= 0.2


def test_a_fleet_over_the_budget_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    inject_ignored_warm_up(monkeypatch)
    assert measure(Case(12, parent=True, load=1.0), range(1, 3))["worst_over_bound"] > 1


def test_the_same_seed_gives_the_same_run() -> None:
    case = replace(CASES[1], directors=6)
    assert Ramp(case, 5).run().sent == Ramp(case, 5).run().sent != Ramp(case, 6).run().sent
