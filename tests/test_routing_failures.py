"""Behavior of a router in faults and overload: each test guards against one former failure."""

from __future__ import annotations

from dataclasses import replace

import pytest

from onyxwick.interface import (
    AnswerDetail,
    AnswerDetailLevel,
    AttemptStatus,
    CancelAttempt,
    ClientDisconnected,
    EndpointListKind,
    FillOption,
    MemberState,
    SiblingFills,
    SubscribeToEndpoints,
    WeightSource,
)
from tests.router_harness import (
    ALL,
    CACHES,
    ORIGIN,
    PARENTS,
    SETTINGS,
    US_PER_S,
    RouterHarness,
    final_answers,
    forwards,
    member,
    single_forward,
)


def test_a_timeout_behind_a_slow_fill_is_not_unresponsiveness() -> None:
    """An overloaded cache is neither ejected nor assumed to have restarted."""
    harness = RouterHarness(members=(CACHES[0], *PARENTS, ORIGIN))
    for _ in range(10):
        harness.request(object_id=f"slow{harness.request_count}")
        slow = f"r{harness.request_count}"
        harness.now += US_PER_S
        harness.request(object_id=f"quick{harness.request_count}")
        harness.end_attempt(AttemptStatus.OK, detail=AnswerDetail.HIT)
        harness.now += 2 * US_PER_S
        harness.end_attempt(AttemptStatus.TIMEOUT, request_id=slow, latency_us=3 * US_PER_S, is_final=False)
    record = harness.record("c0")
    assert not record.ejected and harness.warm_share(record.info.address) == 1.0


def test_a_rejection_that_names_no_side_counts_at_the_fill_source() -> None:
    """A parent that rejects is ejected; the caches still answer hits and keep their concurrency limits."""
    harness = RouterHarness(replace(SETTINGS, answer_detail=AnswerDetailLevel.HIT_ONLY))
    for n in range(60):
        forward = single_forward(harness.request(object_id=f"o{n}"))
        rejected = n % 2 == 0 and forward.fill_source == "p0"
        actions = harness.end_attempt(
            AttemptStatus.OVERLOADED if rejected else AttemptStatus.OK,
            member=forward.member,
            detail=AnswerDetail(0 if rejected else 1),
        )
        if rejected and forwards(actions):
            harness.end_attempt(AttemptStatus.OK, attempt=1, detail=AnswerDetail.FILLED)
    assert harness.record("p0").ejected
    assert all(harness.record(c.address).limit_factor >= 1.0 for c in CACHES)


def test_caches_at_their_limit_are_not_bypassed() -> None:
    """With every cache at its limit a request is rejected at once, not sent to a parent."""
    harness = RouterHarness(replace(SETTINGS, cache_bypass=True))
    actions = [a for n in range(400) for a in harness.request(object_id=f"o{n}")]
    assert final_answers(actions) and all(a.member in {"c0", "c1", "c2"} for a in forwards(actions))


def test_a_fill_source_at_its_limit_leaves_lookups() -> None:
    """With the fill source at its limit a cache serves only cached objects; a miss is answered at once."""
    harness = RouterHarness()
    for p in ("p0", "p1"):
        harness.record(p).in_flight.update({(f"x{n}", 0): None for n in range(500)})
    forward = single_forward(harness.request())
    assert forward.fill_source == forward.member
    assert len(final_answers(harness.end_attempt(AttemptStatus.MISS, member=forward.member))) == 1


def test_rejected_fills_decrease_a_limit_more_than_late_ones() -> None:
    """Failed fills, and not only late answers, reduce the load on an overloaded origin."""
    harness = RouterHarness(replace(SETTINGS, answer_detail=AnswerDetailLevel.HIT_ONLY))
    harness.record("origin").recent_answers = 100.0  # The origin answers often, so each outcome is one step.
    forward = single_forward(harness.request())
    harness.end_attempt(AttemptStatus.OVERLOADED, member=forward.member)
    rejected = harness.record("origin").limit_factor
    harness = RouterHarness()
    harness.record("origin").recent_answers = 100.0
    forward = single_forward(harness.request())
    harness.now += 2 * US_PER_S
    harness.end_attempt(
        AttemptStatus.OK,
        member=forward.member,
        latency_us=2 * US_PER_S,
        detail=AnswerDetail.FILLED_FROM_ORIGIN,
    )
    assert rejected < harness.record("origin").limit_factor < 1.0


def test_a_slow_origin_does_not_make_parents_unresponsive() -> None:
    """If all fills are slow, the origin is slow: the parents are not ejected, nor warmed up later."""
    harness = RouterHarness()
    for n in range(12):
        forward = single_forward(harness.request(object_id=f"o{n}", expires_in_us=6 * US_PER_S))
        harness.now += US_PER_S // 5
        harness.request(object_id="warm", part=n)
        harness.end_attempt(AttemptStatus.OK, member=forward.member, detail=AnswerDetail.HIT)
    harness.advance(5 * US_PER_S)
    for n in range(12):
        harness.end_attempt(
            AttemptStatus.ERROR,
            request_id=f"r{2 * n + 1}",
            latency_us=6 * US_PER_S,
            detail=AnswerDetail.SOURCE_UNREACHABLE,
        )
    members = harness.router.endpoints.members
    assert not any(members[p.address].ejected or members[p.address].unresponsive for p in PARENTS)


def test_the_only_unresponsive_parent_is_ejected() -> None:
    harness = RouterHarness()
    for n in range(40):
        forward = single_forward(harness.request(object_id=f"o{n}"))
        if forward.fill_source != "p0":
            harness.now += 50_000
            harness.end_attempt(AttemptStatus.OK, member=forward.member, detail=AnswerDetail.FILLED)
    harness.advance(2 * US_PER_S)
    for n in range(40):
        if single_forward(harness.request(object_id=f"q{n}")).fill_source == "p1":
            harness.end_attempt(AttemptStatus.OK, detail=AnswerDetail.FILLED)
    harness.advance(2 * US_PER_S)
    assert harness.record("p0").ejected and not harness.record("p1").ejected


def test_concurrency_limits_settle_where_few_answers_are_late() -> None:
    """One late answer in eight decreases a limit."""
    harness = RouterHarness(members=(CACHES[0], *PARENTS, ORIGIN))
    for n in range(160):
        harness.request(object_id=f"o{n}")
        harness.end_attempt(
            AttemptStatus.OK, latency_us=2 * US_PER_S if n % 8 == 0 else 100_000, detail=AnswerDetail.HIT
        )
    assert harness.record("c0").limit_factor < 0.9


def test_a_failed_subscription_is_renewed_at_a_low_rate() -> None:
    harness = RouterHarness(replace(SETTINGS, subscribe=True))
    assert not [
        a
        for _ in range(5)
        for a in harness.announce(EndpointListKind.UNAVAILABLE)
        if isinstance(a, SubscribeToEndpoints)
    ]
    assert len([a for a in harness.advance(3 * US_PER_S) if isinstance(a, SubscribeToEndpoints)]) == 1


def test_lost_answers_eject_no_member_and_decrease_no_limit() -> None:
    """A quarter of the answers are lost, and the others arrive in time."""
    harness = RouterHarness(replace(SETTINGS, limits=replace(SETTINGS.limits, cancellation=False)))
    lost: list[tuple[int, str, str]] = []
    for n in range(120):
        harness.advance(US_PER_S // 10)
        forward = single_forward(harness.request(object_id=f"o{n}", expires_in_us=3 * US_PER_S))
        if n % 4 == 0:
            lost.append((harness.now, f"r{harness.request_count}", forward.member))
        else:
            spread = 50_000 + 60_000 * (n % 7)
            harness.end_attempt(
                AttemptStatus.OK,
                member=forward.member,
                latency_us=spread,
                detail=AnswerDetail.FILLED_FROM_ORIGIN,
            )
        while lost and harness.now - lost[0][0] >= 3 * US_PER_S:
            _, request, address = lost.pop(0)
            harness.end_attempt(AttemptStatus.TIMEOUT, request, member=address, latency_us=3 * US_PER_S)
    members = harness.router.endpoints.members.values()
    assert not any(p.ejected for p in members) and all(p.limit_factor >= 1 for p in members)


def test_an_origin_that_fails_behind_a_parent_does_not_eject_the_parent() -> None:
    """Fills of objects that a parent has cached continue while the origin rejects; no parent is ejected."""
    harness = RouterHarness()
    for n in range(20):
        forward = single_forward(harness.request(object_id=f"o{n}"))
        actions = harness.end_attempt(
            AttemptStatus.OVERLOADED, member=forward.member, detail=AnswerDetail.ORIGIN_FAILED
        )
        for _ in range(6):
            if not forwards(actions):
                break
            actions = harness.end_attempt(
                AttemptStatus.MISS, attempt=1 + _, member=forward.member, detail=AnswerDetail.SOURCE_MISS
            )
    assert not any(harness.record(p.address).ejected for p in PARENTS)
    for n in range(3):  # A few fills at a time may still use the origin.
        harness.request(object_id=f"a{n}")
    assert single_forward(harness.request(object_id="b")).fill_options & FillOption.ONLY_IF_CACHED
    actions = harness.end_attempt(AttemptStatus.MISS, member="c0", detail=AnswerDetail.SOURCE_MISS)
    assert len(final_answers(actions)) == 1 and not forwards(actions)


def test_without_a_parent_the_home_cache_in_another_zone_is_the_source() -> None:
    """With the parents warming up or removed a cache of another zone is the source, if settings allow it.

    A zone without caches whose requests may be sent directly to parents never sends to a remote cache.
    """
    remote_caches = (member("x0", zone="edge-2"), member("x1", zone="edge-2"))
    any_zone_fills = replace(SETTINGS, sibling_fills=SiblingFills.ANY)
    harness = RouterHarness(any_zone_fills, members=(*CACHES, *remote_caches))
    forward = single_forward(harness.request())
    assert (
        forward.fill_source in {"x0", "x1"}
        and forward.fill_options & FillOption.ONLY_IF_CACHED
        and forward.member in {"c0", "c1", "c2"}
    )
    assert (
        len(
            final_answers(
                harness.end_attempt(
                    AttemptStatus.MISS, member=forward.member, detail=AnswerDetail.SOURCE_MISS
                )
            )
        )
        == 1
    )
    assert single_forward(RouterHarness(members=(*CACHES, *remote_caches)).request()).fill_source in {
        "c0",
        "c1",
        "c2",
    }
    harness = RouterHarness(replace(any_zone_fills, cache_bypass=True), members=remote_caches)
    assert not forwards(harness.request()) and len(final_answers(harness.request())) == 1
    for m in remote_caches:  # The rule on drains applies to every fill source.
        harness = RouterHarness(any_zone_fills, members=(*CACHES, *remote_caches))
        harness.change_state(m, MemberState.DRAINING)
        assert all(
            single_forward(harness.request(object_id=f"o{n}")).fill_source != m.address for n in range(30)
        )


def test_one_failure_halves_the_limit_of_a_rarely_used_origin_at_most() -> None:
    """A single failed fill at most halves a limit; a single lost answer does not change it."""
    harness = RouterHarness()
    forward = single_forward(harness.request())
    harness.end_attempt(AttemptStatus.OVERLOADED, member=forward.member, detail=AnswerDetail.ORIGIN_FAILED)
    assert 0.45 < harness.record("origin").limit_factor < 1.0
    harness = RouterHarness()
    forward = single_forward(harness.request(object_id="lost"))
    harness.now += 3 * US_PER_S
    harness.end_attempt(AttemptStatus.TIMEOUT, "r1", member=forward.member, latency_us=3 * US_PER_S)
    assert harness.record("origin").limit_factor == 1.0


def test_timeouts_are_overload_among_late_answers_only() -> None:
    """The share of late answers distinguishes a slow origin from lost answers."""

    def limit_factor_after_timeout(latency: int) -> float:
        harness = RouterHarness()
        harness.record("origin").limit_factor = 0.9  # A low limit alone is no evidence of overload.
        for n in range(12):
            forward = single_forward(harness.request(object_id=f"a{n}"))
            harness.end_attempt(
                AttemptStatus.OK,
                member=forward.member,
                latency_us=latency,
                detail=AnswerDetail.FILLED_FROM_ORIGIN,
            )
        record = harness.record("origin")
        record.limit_factor = 0.9
        forward = single_forward(harness.request(object_id="lost"))
        harness.now += US_PER_S
        harness.request(object_id="other")
        harness.end_attempt(AttemptStatus.OK, member=forward.member, detail=AnswerDetail.FILLED_FROM_ORIGIN)
        record.limit_factor = 0.9
        harness.end_attempt(
            AttemptStatus.TIMEOUT,
            f"r{harness.request_count - 1}",
            member=forward.member,
            latency_us=3 * US_PER_S,
        )
        return record.limit_factor

    assert limit_factor_after_timeout(50_000) == 0.9 > limit_factor_after_timeout(2 * US_PER_S)


def test_resets_of_one_connection_count_once() -> None:
    """A corrupt answer resets all attempts on its connection, which is no reason to eject the cache."""
    harness = RouterHarness(members=(CACHES[0], *PARENTS, ORIGIN))
    for _ in range(6):
        harness.request(object_id=f"o{harness.request_count}")
    for n in range(6):
        harness.end_attempt(AttemptStatus.RESET, request_id=f"r{n + 1}", is_final=False)
    record = harness.record("c0")
    assert not record.ejected and harness.warm_share(record.info.address) == 1.0


def test_an_overdue_attempt_is_hedged_at_another_cache() -> None:
    """If one answer of a cache never arrives while others do, a hedged request is sent."""
    harness = RouterHarness(replace(SETTINGS, limits=replace(SETTINGS.limits, hedging=True)))
    first = single_forward(harness.request(object_id="lost", expires_in_us=6 * US_PER_S))
    copies = []
    for _ in range(50):
        copies += forwards(harness.advance(100_000))
        for p in harness.router.endpoints.members.values():
            p.last_answer_us = harness.now
    (second,) = copies
    assert second.member != first.member
    cancelled = harness.end_attempt(AttemptStatus.OK, "r1", attempt=1, member=second.member)
    assert [a.attempt_index for a in cancelled if isinstance(a, CancelAttempt)] == [0]


def test_attempts_of_a_disconnected_client_are_cancelled_if_young() -> None:
    """An old attempt is not cancelled, because its fill is almost complete and may leave a copy."""
    harness = RouterHarness()
    harness.request()
    assert any(isinstance(a, CancelAttempt) for a in harness.handle(ClientDisconnected("r1")))
    harness.request()
    harness.now += 2 * US_PER_S
    assert not any(isinstance(a, CancelAttempt) for a in harness.handle(ClientDisconnected("r2")))


def test_an_error_that_names_no_side_does_not_count_at_the_source() -> None:
    """With full answer detail, a cache's own error decreases no parent's limit and ejects no parent."""
    harness = RouterHarness()
    for n in range(30):
        forward = single_forward(harness.request(object_id=f"o{n}"))
        harness.end_attempt(AttemptStatus.ERROR, member=forward.member)
    assert all(harness.record(p.address).limit_factor >= 1.0 for p in (*PARENTS, ORIGIN))
    assert not any(harness.record(p.address).ejected for p in PARENTS)


@pytest.mark.parametrize("routers", [12, 40])
def test_capacity_is_inferred_from_demand_where_nothing_else_is_known(routers: int) -> None:
    """Neither weights nor link capacity are known and all answers arrive in time: few are rejected."""
    unsized = replace(
        SETTINGS, weight_source=WeightSource.NONE, router_count=routers, zone_router_count=routers
    )
    harness = RouterHarness(unsized, members=tuple(replace(m, weight=1.0) for m in ALL))
    in_flight: list[tuple[int, str, str]] = []  # end time, request id, member
    rejected = 0
    per_s = 8
    for n in range(40 * per_s):
        harness.advance(US_PER_S // per_s)
        for ended in [attempt for attempt in in_flight if attempt[0] <= harness.now]:
            in_flight.remove(ended)
            _, request, at = ended
            harness.end_attempt(
                AttemptStatus.OK, request, member=at, latency_us=400_000, detail=AnswerDetail.HIT
            )
        actions = harness.request(object_id=f"o{n % 50}", part=n % 7)
        rejected += len(final_answers(actions))
        request_id = f"r{harness.request_count}"
        in_flight += [(harness.now + 400_000, request_id, sent.member) for sent in forwards(actions)]
    assert rejected <= 0.03 * harness.request_count


def test_a_known_capacity_does_not_follow_demand() -> None:
    known_link = replace(
        SETTINGS, weight_source=WeightSource.NONE, zone_link_kb_per_s=56_000.0, transfer_kb_per_s=6_900.0
    )
    for settings in (known_link, SETTINGS):
        harness = RouterHarness(settings)
        before = harness.router.capacity.transfers(harness.router.endpoints.caches[0])
        for n in range(30):
            harness.request(object_id=f"o{n}")
        assert harness.router.capacity.transfers(harness.router.endpoints.caches[0]) == before
