"""Placement, the parts of the parents, the pools: properties over generated fleets."""

from __future__ import annotations

import math
import random
from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from onyxwick.cells.limits import ReservedPool
from onyxwick.cells.model import Cell, CellPlanError, KeyRange, MigrationSpec, TenantSpec
from onyxwick.cells.placement import Placement, cells_hash, compute_placement
from onyxwick.cells.plan_check import check_plan
from onyxwick.interface import Member
from onyxwick.subrouters.admission_gate import AdaptiveLimit, AdmissionGate
from onyxwick.subrouters.share_arbiter import ShareArbiter
from tests.cells import plan_of
from tests.world import S, member

KINDS = ("parent", "origin")


def _fleet(boxes: int, zones: int = 4) -> list[Member]:
    return [member(f"box-{n:04d}", zone=f"depot-{n % zones}") for n in range(boxes)]


def _placed(cells: int, tenants: int, boxes: list[Member], span: int = 1) -> Placement:
    rows = tuple(TenantSpec(f"tenant-{n}", span=span) for n in range(tenants))
    return compute_placement(plan_of(tuple(Cell(f"c{n}") for n in range(cells)), rows), boxes, KINDS)


@settings(max_examples=30, deadline=None, derandomize=True)
@given(st.integers(2, 8), st.integers(16, 60), st.randoms(use_true_random=False))
def test_every_depot_is_split_evenly_whatever_the_order(cells: int, boxes: int, order: random.Random) -> None:
    fleet = _fleet(boxes, 2)
    first = _placed(cells, 0, fleet)
    for zone in ("depot-0", "depot-1"):
        counts = [0] * cells
        for m in fleet:
            if m.zone == zone:
                counts[int(first.cell_of_cache[m.address][1:])] += 1
        assert max(counts) - min(counts) <= 1
    order.shuffle(fleet)
    assert _placed(cells, 0, fleet).cell_of_cache == first.cell_of_cache


def test_a_box_that_leaves_moves_few_others() -> None:
    fleet = _fleet(120)
    before = _placed(8, 0, fleet).cell_of_cache
    moved = []
    for gone in range(0, 120, 5):
        after = _placed(8, 0, [m for n, m in enumerate(fleet) if n != gone]).cell_of_cache
        moved.append(sum(after[a] != before[a] for a in after))
    assert sum(moved) / len(moved) < 3 and max(moved) <= 8


def test_tenants_are_spread_and_few_move_when_one_box_in_a_hundred_leaves() -> None:
    fleet = _fleet(200)
    before = _placed(16, 1000, fleet)
    counts = [sum(f"c{n}" in home for home in before.cells_of_tenant.values()) for n in range(16)]
    assert max(counts) <= 1.25 * 1000 / 16 + 1
    after = _placed(16, 1000, fleet[2:])
    assert sum(after.cells_of_tenant[t] != before.cells_of_tenant[t] for t in after.cells_of_tenant) <= 50


def test_shuffle_sharding_keeps_its_arithmetic() -> None:
    placed = _placed(12, 3000, _fleet(96), span=2)
    homes = list(placed.cells_of_tenant.values())
    touched = [sum(f"c{n}" in home for home in homes) / 3000 for n in range(12)]
    assert all(abs(share - 2 / 12) < 0.05 for share in touched)
    same = sum(set(home) == set(homes[0]) for home in homes[1:]) / 2999
    assert same < 3 / math.comb(12, 2)


def test_objects_of_a_tenant_go_by_range_and_by_draw() -> None:
    cells = (Cell("a"), Cell("b"), Cell("c"))
    row = TenantSpec("t", cells=("a", "b"), ranges=(KeyRange(0, 0x3F, ("c",)),))
    placed = compute_placement(plan_of(cells, (row,)), _fleet(12, 1), KINDS)
    for n in range(200):
        name = f"{n:016x}"
        order = placed.candidates("t", name)
        assert (order == ("c",)) == (cells_hash(name) >> 56 <= 0x3F)
        assert set(order) in ({"c"}, {"a", "b"})
        assert f"Cell '{order[0]}' has" in placed.explain("t", name)[-1]
    first = [placed.candidates("t", f"{n:016x}")[0] for n in range(2000)]
    assert 0.35 < first.count("a") / (first.count("a") + first.count("b")) < 0.65


@pytest.mark.parametrize(
    ("cells", "tenants", "moves", "wanted"),
    [
        ((Cell("a", ("b0",)), Cell("b", ("b0",))), (), (), "members: 'b0' is listed in cell 'a' too"),
        ((Cell("a", fallback="z"),), (), (), "fallback: there is no cell 'z'"),
        ((Cell("a", fallback="a"),), (), (), "fallback: a cell cannot fall back on itself"),
        ((Cell("a", fallback="b"), Cell("b", fallback="a")), (), (), "chains could end in a circle"),
        ((Cell("a"),), (TenantSpec("t", cells=("b",)),), (), "cells: there is no cell 'b'"),
        ((Cell("a"),), (TenantSpec("t", span=2),), (), "span: 2 cells are wanted and there are 1"),
        (
            (Cell("a"),),
            (TenantSpec("t", ranges=(KeyRange(0, 9, ("a",)), KeyRange(9, 12, ("a",)))),),
            (),
            "ranges: 09-0c overlaps another range",
        ),
        ((Cell("a"),), (), (MigrationSpec("m", "t", ("a",)),), "tenant: there is no tenant 't'"),
        (
            (Cell("a"),),
            (TenantSpec("t"),),
            (MigrationSpec("m", "t", ("a",), 0, 9), MigrationSpec("n", "t", ("a",), 5, 20)),
            "move 'm' moves the same keys",
        ),
        ((), (), (), "a plan has one cell at least"),
    ],
)
def test_what_does_not_fit_is_named(
    cells: tuple[Cell, ...], tenants: tuple[TenantSpec, ...], moves: tuple[MigrationSpec, ...], wanted: str
) -> None:
    with pytest.raises(CellPlanError) as error:
        check_plan(plan_of(cells, tenants, moves))
    assert wanted in str(error.value)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 400), st.booleans()), max_size=40))
def test_parts_of_the_parents_never_add_up_to_over_one_in_any_window(
    steps: list[tuple[int, int, bool]],
) -> None:
    """Whatever is asked and whichever cells come and go: the greatest parts of any window sum to one."""
    window = 3 * S
    arbiter, now, names = ShareArbiter(dict.fromkeys("abcd", 1.0), window), 0, set("abcd")
    history = [(now, dict(arbiter.shares))]
    for cell, asked, leaves in steps:
        now += 500_000
        name = "abcd"[cell]
        if leaves and len(names) > 1:
            names ^= {name}
            arbiter.set_weights(now, dict.fromkeys(sorted(names) or ["a"], 1.0))
        if name in arbiter.demand:
            arbiter.demand[name] += asked
        arbiter.rebalance(now)
        history.append((now, dict(arbiter.shares)))
        recent = [parts for at, parts in history if at > now - window]
        most = {n: max(parts.get(n, 0.0) for parts in recent) for n in "abcd"}
        assert sum(most.values()) <= 1 + 1e-6
        assert all(part >= 0 for part in arbiter.shares.values())


def test_a_flood_in_one_cell_leaves_the_others_half_of_their_part() -> None:
    arbiter = ShareArbiter(dict.fromkeys("abcd", 1.0), 3 * S)
    for n in range(100):
        arbiter.demand["a"] += 1000
        arbiter.demand["b"] += 1
        arbiter.rebalance(n * 500_000)
    assert arbiter.shares["a"] > 0.55 and min(arbiter.shares[n] for n in "bcd") >= 0.125 - 1e-9
    for n in range(100, 130):
        arbiter.rebalance(n * 500_000)
    assert arbiter.shares["a"] > 0.55, "it is not taken for want of any demand"


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=300))
def test_no_cell_reaches_anothers_reserve_of_a_pool(steps: list[tuple[str, bool]]) -> None:
    pool = ReservedPool(100, 0.7, {"a": 2.0, "b": 1.0, "c": 1.0})
    for name, takes in steps:
        if takes and pool.has_capacity(name):
            pool.adjust(name, 1)
        elif not takes and pool.used[name]:
            pool.adjust(name, -1)
        assert pool.used[name] <= pool.upper_bound(name) and sum(pool.used.values()) <= 100
        for other in "abc":
            assert pool.used[other] >= pool.reserved[other] - 1 or pool.has_capacity(other)


def test_a_gate_sheds_the_least_class_first_and_holds_each_to_its_part_under_pressure() -> None:
    gate = AdmissionGate(100)
    gate.adaptive_limit.limit = 100.0
    for _ in range(50):
        gate.admit("loud", 1.0)
    gate.admit("calm", 1.0)
    while gate.rejection_reason("loud", 1.0) is None:
        gate.admit("loud", 1.0)
    assert gate.in_flight_of("loud") <= 60 and gate.rejection_reason("loud", 1.0) == "fair"
    assert gate.rejection_reason("calm", 0.0) is None, "who holds little is let in"
    while gate.rejection_reason("calm", 0.0) is None:
        gate.admit("calm", 1.0)
    assert gate.rejection_reason("calm", 1.0) is None and gate.rejection_reason("new", 1.0) is None
    for owner in ("loud", "calm"):
        for _ in range(gate.in_flight_of(owner)):
            gate.release(owner)
    assert gate.in_flight == 0 and not gate.accounts and gate.active_weight == 0


def test_an_adaptive_limit_falls_with_late_answers_and_comes_back() -> None:
    """A resource that serves 20 at once in time, under 60 that want it: the limit settles about there."""
    limit, now, seen = AdaptiveLimit(200), 0, []
    for n in range(4000):
        now += 10_000
        used = int(min(60.0, limit.limit))
        limit.record_answer(now, used > 20, 300_000, used)
        if n > 2000:
            seen.append(limit.limit)
    assert 10 < sum(seen) / len(seen) < 32
    for _ in range(4000):
        now += 10_000
        limit.record_answer(now, False, 300_000, int(limit.limit))
    assert limit.limit > 60
    assert all(b <= limit.upper_bound for a, b in pairwise(seen))
