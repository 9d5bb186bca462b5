"""Tables by object and by purge are bounded, and stay on the safe side of their rules when they are full."""

from __future__ import annotations

from dataclasses import replace

from onyxwick.core.attempt_invariants import MAX_PURGES as MAX_CHECKED_PURGES
from onyxwick.core.endpoints import MAX_PURGES, EndpointTable
from onyxwick.core.model import ClientRequest
from onyxwick.interface import (
    EndpointListKind,
    EndpointsChanged,
    Member,
    MemberState,
    ObjectsPurged,
    RequestArrived,
)
from onyxwick.routing import popularity
from onyxwick.routing.popularity import MAX_RECENT_HITS, Popularity
from onyxwick.routing.purge import MAX_PURGED_OBJECTS, PurgeTimes
from tests.director_harness import DirectorHarness, run_scenario
from tests.router_harness import SETTINGS, US_PER_S

NOW_US = 1_000 * US_PER_S


# Guards against: a feed that purges object after object until the process passes its memory limit.
def test_purges_beyond_the_limit_count_for_all_objects_until_they_expire() -> None:
    times = PurgeTimes(SETTINGS)
    for number in range(2 * MAX_PURGED_OBJECTS):
        times.record(ObjectsPurged(-1, f"{number:016x}", 0), NOW_US + number)
        assert len(times.objects) <= MAX_PURGED_OBJECTS
    other = RequestArrived("r1", "chunk", "other", expires_in_us=US_PER_S)
    merged_us = times.purged_at_us(other)
    assert merged_us is not None
    for number in range(2 * MAX_PURGED_OBJECTS):
        purged_us = times.purged_at_us(replace(other, object_id=f"{number:016x}"))
        assert purged_us is not None and purged_us >= NOW_US + number
    times.drop_expired(merged_us + times.retention_us)
    assert times.purged_at_us(other) is None


def test_an_attempt_decided_before_a_forgotten_purge_is_not_sent() -> None:
    table = EndpointTable()
    member = Member("c0", "edge-1", "box", 0, MemberState.READY, 1.0, 0)
    table.apply(EndpointsChanged(EndpointListKind.SNAPSHOT, (member,)), {"c0": ("127.0.0.1", 1)})
    before = table.snapshot("c0", None)
    for number in range(MAX_PURGES + 1):
        table.record_purge(-1, f"{number:016x}", NOW_US)
    request = ClientRequest("r1", "chunk", f"{0:016x}", 0, None, NOW_US, US_PER_S)
    assert len(table.purge_times) == MAX_PURGES
    assert not table.is_still_valid("c0", None, request, before)
    assert table.is_still_valid("c0", None, request, table.snapshot("c0", None))


def test_purges_under_check_are_bounded() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        for number in range(MAX_CHECKED_PURGES + 10):
            harness.core.feed.apply_purge(-1, f"{number:016x}", harness.core.now())
        checked = harness.core.invariants.attempts.purges
        assert len(checked) == MAX_CHECKED_PURGES

    run_scenario(scenario)


# Guards against: hits of ever other objects that fill the memory between two steps of the popularity.
def test_recent_hits_are_bounded_and_free_again_when_they_are_old() -> None:
    table = Popularity(SETTINGS, NOW_US)
    for number in range(MAX_RECENT_HITS + 100):
        table.record_answer(f"c{number % 7}", f"{number:016x}", True, NOW_US)
    assert sum(len(hits) for hits in table.recent_hits.values()) == MAX_RECENT_HITS
    later_us = NOW_US + 2 * popularity.HALF_LIFE_US
    table.recompute_ranks(later_us, 1.0)
    table.record_answer("c0", "new", True, later_us)
    assert "new" in table.recent_hits["c0"] and table.recent_hit_count == 1
