"""Unit tests of single rules of the routing package, called directly."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from onyxwick.interface import (
    EndpointListKind,
    EndpointsChanged,
    FleetShareChanged,
    Member,
    MemberState,
    ObjectsPurged,
    RequestArrived,
    WeightSource,
)
from onyxwick.routing.capacity import PARENT_CAPACITY_PER_ZONE_LINK, CapacityModel
from onyxwick.routing.endpoints import MemberRoles
from onyxwick.routing.latency import OVERDUE_DEVIATIONS, LatencyEstimate
from onyxwick.routing.outlier_detection import MAX_EJECTION_US, MIN_EJECTION_US, OutlierDetector, is_usable
from onyxwick.routing.purge import PurgeTimes
from onyxwick.routing.rendezvous import RendezvousHash, exponential_draw
from onyxwick.routing.retry import RETRIES_PER_REQUEST, RetryBudget, RetryPolicy
from onyxwick.routing.slow_start import SlowStart
from onyxwick.routing.state import Attempt, MemberRecord, RequestState
from onyxwick.routing.timers import TimerQueue
from tests.router_harness import (
    ALL,
    CACHES,
    HOLD,
    ORIGIN,
    PARENTS,
    RULES,
    SAVE,
    SETTINGS,
    THUMB,
    US_PER_S,
    RouterHarness,
)

NOW_US = 1_000 * US_PER_S


def _endpoints(*members: Member) -> MemberRoles:
    roles = MemberRoles(SETTINGS)
    roles.apply(EndpointsChanged(EndpointListKind.SNAPSHOT, members), NOW_US)
    return roles


def _request(request_class_name: str = "chunk", **fields: object) -> RequestState:
    request_class = next(c for c in SETTINGS.classes if c.name == request_class_name)
    arrival = RequestArrived("r1", request_class_name, "o1", 3 * US_PER_S, object_group=1)
    for name, value in fields.items():
        setattr(arrival, name, value)
    return RequestState(arrival, request_class, NOW_US + 3 * US_PER_S, retention_rank=1)


def test_an_estimate_moves_towards_its_samples() -> None:
    estimate = LatencyEstimate(100.0)
    assert estimate.overdue_after_us() == 100.0 + OVERDUE_DEVIATIONS * 50.0
    for _ in range(400):
        estimate.add(200.0)
    assert estimate.mean_us == pytest.approx(200.0, rel=0.01)
    assert estimate.deviation_us < 1.0


def test_timers_come_in_order_of_time_then_of_scheduling() -> None:
    timers = TimerQueue()
    timers.schedule(NOW_US + 20, NOW_US, "late", 0)
    timers.schedule(NOW_US + 10, NOW_US, "first", 0)
    timers.schedule(NOW_US + 10, NOW_US, "second", 1)
    assert timers.next_wake_up_us(NOW_US) == NOW_US + 10
    assert timers.next_wake_up_us(NOW_US) is None, "the timer is already set"
    assert timers.pop_due(NOW_US + 9) is None
    due = [timers.pop_due(NOW_US + 30) for _ in range(3)]
    assert [deadline.request_id for deadline in due if deadline] == ["first", "second", "late"]
    timers.schedule(0, NOW_US)
    assert timers.next_wake_up_us(NOW_US) == NOW_US + 1, "a wake-up in the past would cause a loop"


def test_the_endpoint_table_groups_ready_members_by_role() -> None:
    remote = replace(CACHES[0], address="x0", zone="edge-2")
    roles = _endpoints(*ALL, remote)
    assert [record.info for record in roles.caches] == list(CACHES)
    assert [record.info for record in roles.parents] == list(PARENTS)
    assert roles.origin is not None and roles.origin.info is ORIGIN
    assert list(roles.remote_caches) == ["edge-2"]
    draining = replace(CACHES[1], state=MemberState.DRAINING)
    roles.apply(EndpointsChanged(EndpointListKind.CHANGE, (draining,)), NOW_US)
    assert [record.info.address for record in roles.caches] == ["c0", "c2"]
    assert "c1" in roles.members and roles.max_ready_cache_count == 3


def test_a_restart_clears_the_health_record_and_reports_the_lost_copies() -> None:
    roles = _endpoints(*ALL)
    record = roles.members["c0"]
    record.failure_score = 0.5
    record.ejected = True
    restarted = replace(CACHES[0], started_at_us=NOW_US)
    lost = roles.apply(EndpointsChanged(EndpointListKind.CHANGE, (restarted,)), NOW_US + 1)
    assert lost == ["c0"] and record.failure_score == 0.0 and not record.ejected
    assert record.warming_since_us == NOW_US
    assert roles.apply(EndpointsChanged(EndpointListKind.SNAPSHOT, ALL[1:]), NOW_US + 2) == ["c0"]


def test_capacity_is_the_nominal_weight_or_inferred_from_the_link() -> None:
    endpoints = _endpoints(*ALL)
    nominal = CapacityModel(SETTINGS, endpoints, NOW_US)
    assert nominal.transfers(endpoints.caches[0]) == 6.0
    unset = replace(
        SETTINGS, weight_source=WeightSource.NONE, transfer_kb_per_s=10.0, zone_link_kb_per_s=200.0
    )
    inferred = CapacityModel(unset, endpoints, NOW_US)
    inferred.on_endpoints_changed()
    assert (
        inferred.transfers(endpoints.parents[0])
        == inferred.zone_link_transfers * PARENT_CAPACITY_PER_ZONE_LINK
    )
    assert 0 < inferred.zone_link_transfers < 200.0 / 10.0, "a zone of three caches has a wider link"


def test_a_share_of_the_fleet_changes_the_number_of_sharing_routers() -> None:
    endpoints = _endpoints(*ALL)
    capacity = CapacityModel(SETTINGS, endpoints, NOW_US)
    assert capacity.sharing_routers(endpoints.parents[0]) == SETTINGS.router_count
    capacity.fleet_share = FleetShareChanged(parent_share=0.5, warming_parent_share=0.5)
    assert capacity.sharing_routers(endpoints.parents[0]) == 2 * SETTINGS.router_count
    assert capacity.sharing_routers_while_warming(endpoints.parents[0]) == 4 * SETTINGS.router_count
    assert capacity.sharing_routers(endpoints.caches[0]) == SETTINGS.zone_router_count


def test_rendezvous_moves_only_what_a_removed_member_had() -> None:
    endpoints = _endpoints(*ALL)
    rendezvous_hash = RendezvousHash(SETTINGS, CapacityModel(SETTINGS, endpoints, NOW_US))
    keys = [f"o{n}/0" for n in range(400)]
    before = {key: rendezvous_hash.order(key, endpoints.caches)[0].info.address for key in keys}
    remaining_caches = endpoints.caches[1:]
    for key in keys:
        after = rendezvous_hash.order(key, remaining_caches)[0].info.address
        assert before[key] in ("c0", after)
    assert 80 < sum(address == "c0" for address in before.values()) < 190


def test_a_larger_weight_draws_more_keys() -> None:
    large = replace(CACHES[0], weight=18.0)
    endpoints = _endpoints(large, *CACHES[1:])
    rendezvous_hash = RendezvousHash(SETTINGS, CapacityModel(SETTINGS, endpoints, NOW_US))
    first = [rendezvous_hash.order(f"o{n}", endpoints.caches)[0].info.address for n in range(1000)]
    assert 0.5 < first.count("c0") / len(first) < 0.7, "the weight of c0 is 18 of 30"
    assert exponential_draw("key", "c0") == exponential_draw("key", "c0") > 0


def test_a_member_warms_up_in_a_straight_line() -> None:
    harness = RouterHarness()
    slow_start: SlowStart = harness.router.slow_start
    record = harness.record("c0")
    assert slow_start.warm_share(record, NOW_US) == 1.0
    record.warming_since_us = NOW_US
    assert slow_start.warm_share(record, NOW_US) == RULES.warm_up_start_share
    halfway = NOW_US + RULES.warm_up_us // 2
    assert slow_start.warm_share(record, halfway) == pytest.approx((1 + RULES.warm_up_start_share) / 2)
    assert slow_start.warm_share(record, NOW_US + RULES.warm_up_us) == 1.0


def test_the_backoff_of_an_ejection_doubles_up_to_its_bound() -> None:
    harness = RouterHarness()
    outliers: OutlierDetector = harness.router.outliers
    record = harness.record("c0")
    now_us = NOW_US
    lengths = []
    for _ in range(6):
        while not record.ejected or now_us >= record.ejected_until_us:
            outliers.record_failure(record, 1.0, False, now_us)
        lengths.append(record.ejected_until_us - now_us)
        assert not is_usable(record, record.ejected_until_us - 1)
        now_us = record.ejected_until_us
        assert is_usable(record, now_us), "one trial request may be sent"
    assert lengths[:3] == [MIN_EJECTION_US, 2 * MIN_EJECTION_US, 4 * MIN_EJECTION_US]
    assert lengths[-1] == MAX_EJECTION_US
    outliers.record_success(record, now_us)
    assert not record.ejected and record.failure_score == 0.0


def test_the_retry_budget_is_a_share_of_the_requests() -> None:
    budget = RetryBudget(router_count=3)
    while budget.has_token():
        budget.take_token()
    for _ in range(50):
        budget.add_request()
    assert budget.tokens == pytest.approx(50 * RETRIES_PER_REQUEST)
    for _ in range(1000):
        budget.add_request()
    assert budget.tokens == budget.max_tokens
    budget.reserve = 0.0
    budget.take_token()
    budget.add_request()
    assert budget.tokens == budget.max_tokens - 1.0, "without a reserve a request adds no part of a token"


def test_a_possibly_executed_request_is_retried_only_if_its_class_allows_it() -> None:
    policy = RetryPolicy(SETTINGS, RetryBudget(1))
    attempt = Attempt(MemberRecord(CACHES[0], 0), None, NOW_US, in_flight=False)
    for name, retried, rejected in (
        ("chunk", True, True),
        (SAVE.name, False, False),
        (HOLD.name, True, True),
    ):
        request = _request(name)
        request.attempts.append(attempt)
        request.possibly_executed = attempt
        assert policy.may_retry(request, NOW_US + 1) is retried
        assert policy.may_reject(request) is rejected
    keyed = _request(HOLD.name)
    keyed.possibly_executed = attempt
    assert not policy.may_retry(keyed, NOW_US + HOLD.key_window_us), "the cache has dropped its key by then"


def test_retry_after_has_jitter_and_is_off_without_the_setting() -> None:
    limits = replace(SETTINGS.limits, retry_after=True, max_retry_after_us=100_000)
    rng = random.Random(1)
    policy = RetryPolicy(replace(SETTINGS, limits=limits), RetryBudget(1))
    delays = [policy.retry_after_us(THUMB, rng) for _ in range(50)]
    assert min(delays) >= 50_000 and max(delays) <= 100_000 and len(set(delays)) > 40
    assert RetryPolicy(SETTINGS, RetryBudget(1)).retry_after_us(THUMB, rng) == 0


def test_the_newest_purge_of_object_and_group_bounds_the_age() -> None:
    purges = PurgeTimes(SETTINGS)
    request = _request(THUMB.name)
    assert purges.max_age_us(request, False, NOW_US) == 0, "0 stands for the class's freshness lifetime"
    purges.record(ObjectsPurged(1, None, 2 * US_PER_S), NOW_US)
    assert purges.max_age_us(request, False, NOW_US) == 2 * US_PER_S
    purges.record(ObjectsPurged(1, "o1", US_PER_S), NOW_US)
    assert purges.max_age_us(request, False, NOW_US) == US_PER_S and len(purges) == 2
    purges.record(ObjectsPurged(1, "o1", 5 * US_PER_S), NOW_US)
    assert purges.max_age_us(request, False, NOW_US) == US_PER_S, "an older purge changes nothing"
    purges.drop_expired(NOW_US + RULES.purge_retention_us + 2 * US_PER_S)
    assert not purges and purges.max_age_us(request, False, NOW_US) == 0
