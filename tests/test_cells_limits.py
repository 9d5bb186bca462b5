"""Tests of the pools that are divided among cells."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from onyxwick.cells.limits import ReservedPool


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=300))
def test_no_cell_uses_anothers_reserve_of_a_pool(steps: list[tuple[str, bool]]) -> None:
    pool = ReservedPool(100, 0.7, {"a": 2.0, "b": 1.0, "c": 1.0})
    for name, takes in steps:
        if takes and pool.has_capacity(name):
            pool.adjust(name, 1)
        elif not takes and pool.used[name]:
            pool.adjust(name, -1)
        assert pool.used[name] <= pool.upper_bound(name) and sum(pool.used.values()) <= 100
        for other in "abc":
            assert pool.used[other] >= pool.reserved[other] - 1 or pool.has_capacity(other)
