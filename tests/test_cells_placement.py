"""Tests of the placement and the checks of cell plans, with properties over generated fleets."""

from __future__ import annotations

import math
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from onyxwick.cells.model import Cell, CellPlanError, KeyRange, MigrationSpec, TenantSpec
from onyxwick.cells.placement import Placement, cells_hash, compute_placement
from onyxwick.cells.plan_check import check_plan
from onyxwick.interface import Member
from tests.cells import plan_of
from tests.router_harness import member

KINDS = ("parent", "origin")


def _fleet(caches: int, zones: int = 4) -> list[Member]:
    return [member(f"box-{n:04d}", zone=f"depot-{n % zones}") for n in range(caches)]


def _place(cells: int, tenants: int, caches: list[Member], span: int = 1) -> Placement:
    rows = tuple(TenantSpec(f"tenant-{n}", span=span) for n in range(tenants))
    return compute_placement(plan_of(tuple(Cell(f"c{n}") for n in range(cells)), rows), caches, KINDS)


@settings(max_examples=30, deadline=None, derandomize=True)
@given(st.integers(2, 8), st.integers(16, 60), st.randoms(use_true_random=False))
def test_every_zone_is_divided_evenly_whatever_the_order(
    cells: int, caches: int, order: random.Random
) -> None:
    fleet = _fleet(caches, 2)
    first = _place(cells, 0, fleet)
    for zone in ("depot-0", "depot-1"):
        counts = [0] * cells
        for m in fleet:
            if m.zone == zone:
                counts[int(first.cell_of_cache[m.address][1:])] += 1
        assert max(counts) - min(counts) <= 1
    order.shuffle(fleet)
    assert _place(cells, 0, fleet).cell_of_cache == first.cell_of_cache


def test_a_cache_that_leaves_moves_few_others() -> None:
    fleet = _fleet(120)
    before = _place(8, 0, fleet).cell_of_cache
    moved = []
    for removed_index in range(0, 120, 5):
        after = _place(8, 0, [m for n, m in enumerate(fleet) if n != removed_index]).cell_of_cache
        moved.append(sum(after[a] != before[a] for a in after))
    assert sum(moved) / len(moved) < 3 and max(moved) <= 8


def test_tenants_are_spread_and_few_move_when_one_cache_in_a_hundred_leaves() -> None:
    fleet = _fleet(200)
    before = _place(16, 1000, fleet)
    counts = [
        sum(f"c{n}" in tenant_cells for tenant_cells in before.cells_of_tenant.values()) for n in range(16)
    ]
    assert max(counts) <= 1.25 * 1000 / 16 + 1
    after = _place(16, 1000, fleet[2:])
    assert sum(after.cells_of_tenant[t] != before.cells_of_tenant[t] for t in after.cells_of_tenant) <= 50


def test_shuffle_sharding_spreads_tenants_as_computed() -> None:
    placement = _place(12, 3000, _fleet(96), span=2)
    cells_by_tenant = list(placement.cells_of_tenant.values())
    tenant_shares = [
        sum(f"c{n}" in tenant_cells for tenant_cells in cells_by_tenant) / 3000 for n in range(12)
    ]
    assert all(abs(share - 2 / 12) < 0.05 for share in tenant_shares)
    same_set_share = (
        sum(set(tenant_cells) == set(cells_by_tenant[0]) for tenant_cells in cells_by_tenant[1:]) / 2999
    )
    assert same_set_share < 3 / math.comb(12, 2)


def test_cells_of_an_object_are_chosen_by_range_and_rendezvous_hashing() -> None:
    cells = (Cell("a"), Cell("b"), Cell("c"))
    row = TenantSpec("t", cells=("a", "b"), ranges=(KeyRange(0, 0x3F, ("c",)),))
    placement = compute_placement(plan_of(cells, (row,)), _fleet(12, 1), KINDS)
    for n in range(200):
        name = f"{n:016x}"
        order = placement.candidates("t", name)
        assert (order == ("c",)) == (cells_hash(name) >> 56 <= 0x3F)
        assert set(order) in ({"c"}, {"a", "b"})
        assert f"Cell '{order[0]}' has" in placement.explain("t", name)[-1]
    first = [placement.candidates("t", f"{n:016x}")[0] for n in range(2000)]
    assert 0.35 < first.count("a") / (first.count("a") + first.count("b")) < 0.65


@pytest.mark.parametrize(
    ("cells", "tenants", "migrations", "wanted"),
    [
        ((Cell("a", ("b0",)), Cell("b", ("b0",))), (), (), "members: 'b0' is listed in cell 'a' too"),
        ((Cell("a", fallback="z"),), (), (), "fallback: there is no cell 'z'"),
        ((Cell("a", fallback="a"),), (), (), "fallback: a cell cannot fall back on itself"),
        ((Cell("a", fallback="b"), Cell("b", fallback="a")), (), (), "chains of fallbacks could form a loop"),
        ((Cell("a"),), (TenantSpec("t", cells=("b",)),), (), "cells: there is no cell 'b'"),
        (
            (Cell("a"),),
            (TenantSpec("t", span=2),),
            (),
            "span: 2 cells are requested, but the plan has only 1",
        ),
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
        ((), (), (), "a plan needs at least one cell"),
    ],
)
def test_an_inconsistent_row_is_reported_with_its_field(
    cells: tuple[Cell, ...],
    tenants: tuple[TenantSpec, ...],
    migrations: tuple[MigrationSpec, ...],
    wanted: str,
) -> None:
    with pytest.raises(CellPlanError) as error:
        check_plan(plan_of(cells, tenants, migrations))
    assert wanted in str(error.value)
