"""The ramp of a whole fleet: what all directors together send to a member that has just started."""

from __future__ import annotations

from dataclasses import replace

import pytest

from onyxwick.lab.ramp import HARD, Case, Ramp, measure
from onyxwick.logic import Peer, Router

CASES = (Case(3), Case(20, **HARD), Case(30, told_us=7_000_000), Case(12, parent=True))  # type: ignore[arg-type]


class Careless(Router):
    """A planted fault: each director takes a cold member for a warm one, and for as large as it wishes."""

    def _affords(self, peer: Peer, cost: float) -> bool:
        return True

    def _cold(self, peer: Peer) -> float:
        return 1.0

    def _size(self, peer: Peer) -> float:
        return 100.0


@pytest.mark.parametrize("case", CASES)
def test_the_fleet_keeps_to_the_budget_of_a_cold_member(case: Case) -> None:
    figures = measure(case, range(1, 3))
    assert figures["worst_over_bound"] <= 0.6 and figures["least_used"] >= 0.2


def test_a_fleet_that_does_not_is_seen() -> None:
    assert measure(Case(12, parent=True, load=1.0), range(1, 3), Careless)["worst_over_bound"] > 1


def test_the_same_seed_gives_the_same_run() -> None:
    case = replace(CASES[1], directors=6)
    assert Ramp(case, 5).run().sent == Ramp(case, 5).run().sent != Ramp(case, 6).run().sent
