"""Capacity tests: fits, drivers and small fleets, and detection of planted faults that make a cost grow.

The tests check counts and bounds only, no times.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from onyxwick.config.errors import ConfigError
from onyxwick.core.endpoints import PURGE_RETENTION_US, EndpointTable, PurgeScope, ReceivedPurge
from onyxwick.distribution.fanout import FanOut, FanOutLimits, Subscriber
from onyxwick.lab.scale import bounds
from onyxwick.lab.scale.fits import fit
from onyxwick.lab.scale.hollow import HollowDirector
from onyxwick.lab.scale.size import Size, read
from onyxwick.lab.scale.small import SmallPlan, SmallReport, SmallTree, run_small_tree

FEWER, MORE = 12, 48


def run(
    plan: SmallPlan, prepare: Callable[[SmallTree], None] | None = None, stuck: bool = False
) -> SmallReport:
    async def main() -> SmallReport:
        tree = SmallTree(plan)
        if prepare is not None:
            prepare(tree)
        return await tree.run(stuck)

    return asyncio.run(main())


LOW_HIGH_WATER_LIMITS = FanOutLimits(high_water_bytes=2_000)
MAX_PADDED_EVENT_BYTES = 401_000


def use_low_high_water(tree: SmallTree) -> None:
    """Buffer little for each subscriber, and make events large enough to fill the sockets' own buffers."""
    publish_event = tree.publish_event

    def padded(payload: dict[str, Any]) -> None:
        if "endpoints" in payload and not payload["endpoints"]["full"]:
            row = payload["endpoints"]["servers"][0]
            payload["endpoints"]["servers"] = [row | {"note": "x" * 400_000}]
        publish_event(payload)

    tree.publish_event = padded  # type: ignore[method-assign]
    for relay in tree.relays:
        relay.fanout.limits = LOW_HIGH_WATER_LIMITS


# ---- fits and drivers -----------------------------------------------------------------------------------


def test_linear_growth_is_distinguished_from_faster_growth() -> None:
    line = fit([(x, 3 + 2 * x + wobble) for x in (1, 2, 4, 8, 16) for wobble in (-0.01, 0.01)])
    assert line.is_line
    assert not line.grows_faster
    assert line.slope == pytest.approx(2, abs=0.01)
    assert line.slope_interval < 0.01
    assert line.at(100) == pytest.approx(203, abs=1)
    square = fit([(x, 1 + x * x) for x in (1, 2, 4, 8, 16, 32)])
    assert square.grows_faster
    assert not square.is_line
    with pytest.raises(ValueError, match="3 sizes"):
        fit([(1, 1), (2, 2), (3, 3)])


def test_drivers_follow_from_the_size() -> None:
    size = Size()
    assert size.requests_per_director == 920
    assert size.request_bytes == pytest.approx(230_978, rel=0.01)
    assert 13 <= size.directors_at_largest_site <= 100
    assert 2 <= size.p99_over_mean <= 5
    some, many = size.objects_counted(100), size.objects_counted(1000)
    assert 0.5 * 3_320 < some < 3_320, "most reads of this many objects are of different objects"
    assert some < many < 33_200
    twice = size.times(2)
    assert (twice.directors, twice.caches, twice.sites) == (2000, 380, 83)
    assert twice.requests_per_director == size.requests_per_director


def test_a_size_is_read_from_a_file_and_a_misspelled_field_is_named(tmp_path: Path) -> None:
    path = tmp_path / "size.hcl"
    path.write_text("size {\n  directors = 50\n  purges_per_s = 2.5\n}\n")
    assert read(path) == Size(directors=50, purges_per_s=2.5)
    path.write_text("size {\n  director = 50\n}\n")
    with pytest.raises(ConfigError, match=r"size.hcl:2.*director.*directors"):
        read(path)


# ---- small fleets ---------------------------------------------------------------------------------------


def test_a_small_fleet_keeps_all_bounds() -> None:
    base = run_small_tree(SmallPlan())
    caches = run_small_tree(SmallPlan(caches=MORE, slot=1))
    objects = run_small_tree(SmallPlan(objects=200, slot=2))
    for report in (base, caches, objects):
        assert bounds.check_deliveries_per_event(report) == []
        assert bounds.check_queue_bound(report) == []
    assert bounds.check_independent_of_caches(base, caches) == []
    assert bounds.check_independent_of_objects(base, objects) == []


def test_the_queue_of_a_subscriber_that_reads_nothing_stays_bounded() -> None:
    report = run(SmallPlan(directors=2, events=300, slot=3), use_low_high_water, stuck=True)
    assert report.unsent_bytes > 0, "the sockets were not filled"
    assert bounds.check_queue_bound(report, LOW_HIGH_WATER_LIMITS, MAX_PADDED_EVENT_BYTES) == []


# ---- planted faults -------------------------------------------------------------------------------------


def test_a_message_count_that_grows_with_directors_times_caches_is_seen() -> None:
    def planted(tree: SmallTree) -> None:
        # The planted fault: one event for each cache where a single event would be enough.
        def change(number: int) -> None:
            for cache in range(tree.plan.caches):
                SmallTree.change(tree, cache)

        tree.change = change  # type: ignore[method-assign]

    plans = SmallPlan(events=20, caches=FEWER, slot=4), SmallPlan(events=20, caches=MORE, slot=5)
    fewer, more = (run(plan, planted) for plan in plans)
    assert bounds.check_deliveries_per_event(more)
    assert bounds.check_independent_of_caches(fewer, more)


class RemembersObjects(HollowDirector):
    """A planted fault: the name of each requested object stays in the endpoint table's purge times."""

    async def send_request(self, name: str, number: int) -> None:
        await super().send_request(name, number)
        self.core.endpoints.purge_times[PurgeScope(None, name)] = ReceivedPurge(self.core.now(), 0)


def test_a_table_that_grows_with_objects_is_seen() -> None:
    def planted(objects: int, slot: int) -> SmallReport:
        async def main() -> SmallReport:
            plan = SmallPlan(directors=2, events=5, objects=objects, slot=slot)
            return await SmallTree(plan, RemembersObjects).run()

        return asyncio.run(main())

    assert bounds.check_independent_of_objects(planted(20, 6), planted(80, 7))


def test_a_follower_without_a_bound_on_its_queue_is_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    original_next_bytes = FanOut.next_bytes

    def without_bound(self: FanOut, subscriber: Subscriber, room: int, now: int) -> bytes:
        return original_next_bytes(self, subscriber, 1 << 30, now)

    monkeypatch.setattr(FanOut, "next_bytes", without_bound)
    monkeypatch.setattr("onyxwick.net.fanout_server._SubscriberConnection.pause_writing", lambda self: None)

    report = run(SmallPlan(directors=2, events=300, slot=8), use_low_high_water, stuck=True)
    assert bounds.check_queue_bound(report, LOW_HIGH_WATER_LIMITS, MAX_PADDED_EVENT_BYTES)


def test_a_synthetic_request_is_answered_by_the_real_core() -> None:
    async def main() -> int:
        tree = SmallTree(SmallPlan(directors=1, events=3, objects=4, slot=9))
        await tree.run()
        answered = tree.directors[0].counters.counts["answer.served.site-video"]
        return answered

    assert asyncio.run(main()) == 4


# ---- what must not grow ---------------------------------------------------------------------------------


def test_a_purge_is_recorded_without_copying_all_others() -> None:
    members, first_table = EndpointTable(), None
    reference: dict[tuple[int | None, str | None], int] = {}
    for n in range(3_000):
        now = n * 50_000
        name = f"o{n * 7 % 500}"
        members.record_purge(-1, name, now)
        first_table = first_table if first_table is not None else members.purge_times
        assert members.purge_times is first_table, "copying the table would make the cost grow with the rate"
        reference = {k: at for k, at in reference.items() if at > now - PURGE_RETENTION_US}
        reference[(None, name)] = now
        assert {key: at for key, (at, _) in members.purge_times.items()} == reference
    members.record_purge(17, None, now + PURGE_RETENTION_US)
    assert list(members.purge_times) == [(17, None)]
