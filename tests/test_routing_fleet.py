"""Combined limits and budgets: many independent routers that use one member."""

from __future__ import annotations

from dataclasses import replace

from onyxwick import Router
from onyxwick.interface import (
    AnswerDetail,
    AnswerDetailLevel,
    AttemptEnded,
    AttemptStatus,
    EndpointListKind,
    EndpointsChanged,
    FillOption,
    ForwardRequest,
    ForwardWithFill,
    Member,
    MemberState,
    RejectRequest,
    RequestArrived,
)
from tests.router_harness import (
    CACHES,
    ORIGIN,
    PARENTS,
    RULES,
    SETTINGS,
    US_PER_S,
    RouterHarness,
    final_answers,
    forwards,
    single_forward,
)


def _fleet(routers: int, in_zone: int, members: tuple[Member, ...], now: int) -> list[Router]:
    fleet = []
    for n in range(routers):
        settings = replace(
            SETTINGS,
            router_count=routers,
            zone_router_count=in_zone,
            router_index=n,
            answer_detail=AnswerDetailLevel.FULL,
        )
        router = Router(settings, 1000 + n, now)
        router.handle(now, [EndpointsChanged(EndpointListKind.RESTORED, members)])
        fleet.append(router)
    return fleet


def _drive(
    fleet: list[Router], start: int, seconds: float, address: str, rate: int
) -> list[tuple[int, float]]:
    """Send each router `rate` requests per second; return the times and work (us) sent to a member."""
    load: list[tuple[int, float]] = []
    open_: list[tuple[int, Router, ForwardWithFill]] = []
    for n in range(int(seconds * rate)):
        now = start + n * US_PER_S // rate
        while open_ and open_[0][0] <= now:
            at, router, forward = open_.pop(0)
            done = AttemptEnded(
                forward.request_id,
                0,
                forward.member,
                AttemptStatus.OK,
                100_000,
                True,
                AnswerDetail.FILLED_FROM_ORIGIN,
            )
            router.handle(at, [done])
        for k, router in enumerate(fleet):
            arrival = RequestArrived(f"r{n}-{k}", "chunk", f"o{(n * 31 + k * 7) % 211}", 3 * US_PER_S)
            for a in forwards(router.handle(now, [arrival])):
                if isinstance(a, ForwardWithFill) and address in (a.member, a.fill_source):
                    load.append((now, router.mean_transfer_us()["chunk"]))
                if isinstance(a, ForwardWithFill):
                    open_.append((now + 100_000, router, a))
    return load


def test_no_number_of_routers_overloads_a_warming_parent() -> None:
    """A share under one fill is neither zero nor one fill per router: the total stays within the budget."""
    now, window = 1000 * US_PER_S, RULES.overload_window_us
    warming = replace(PARENTS[0], started_at_us=now)
    for routers in (3, 30, 180):
        fleet = _fleet(routers, 3, (*CACHES, warming, PARENTS[1], ORIGIN), now)
        load = _drive(fleet, now, 6, "p0", max(2, 360 // routers))
        assert load
        for at, _ in load:
            share = (
                RULES.parent_warm_up_start_share
                + (1 - RULES.parent_warm_up_start_share) * (at + window / 2 - now) / RULES.parent_warm_up_us
            )
            budget = RULES.parent_overload_multiple * share * 20.0 * window
            assert sum(harness for t, harness in load if at <= t < at + window) <= budget


def test_no_number_of_routers_overloads_a_warming_cache() -> None:
    now, window = 1000 * US_PER_S, RULES.overload_window_us
    warming = replace(CACHES[0], started_at_us=now)
    for routers in (1, 6, 30):
        fleet = _fleet(routers, routers, (warming, *CACHES[1:], *PARENTS, ORIGIN), now)
        load = _drive(fleet, now, 4, "c0", max(2, 120 // routers))
        assert load
        for at, _ in load:
            share = (
                RULES.warm_up_start_share
                + (1 - RULES.warm_up_start_share) * (at + window / 2 - now) / RULES.warm_up_us
            )
            budget = RULES.overload_multiple * share * 6.0 * window
            assert sum(harness for t, harness in load if at <= t < at + window) <= budget


def test_no_number_of_routers_keeps_a_failing_origin_busy() -> None:
    """Limits under one attempt are enforced by pauses between attempts."""
    now = 1000 * US_PER_S
    fleet = _fleet(60, 6, (*CACHES, *PARENTS, ORIGIN), now)
    origin_fills = 0
    pending: list[tuple[int, Router, str, int, str, bool]] = []
    for n in range(60):
        now += US_PER_S // 5
        for k, router in enumerate(fleet):
            arrival = RequestArrived(f"r{n}-{k}", "chunk", f"o{n}-{k}", 3 * US_PER_S)
            for a in forwards(router.handle(now, [arrival])):
                if isinstance(a, ForwardWithFill) and a.fill_source != a.member:
                    pending.append(
                        (
                            now,
                            router,
                            a.request_id,
                            0,
                            a.member,
                            bool(a.fill_options & FillOption.ONLY_IF_CACHED),
                        )
                    )
                    origin_fills += n >= 40 and not a.fill_options & FillOption.ONLY_IF_CACHED
        for _, router, request, attempt, address, cached_only in pending:
            detail = AnswerDetail.SOURCE_MISS if cached_only else AnswerDetail.ORIGIN_FAILED
            status = AttemptStatus.MISS if cached_only else AttemptStatus.OVERLOADED
            end = AttemptEnded(request, attempt, address, status, 1_500_000, True, detail)
            router.handle(now, [end])
        pending = []
    assert origin_fills < 60 * 20 / 4  # 1,200 requests are sent in the last four seconds.


def test_objects_read_once_are_kept_by_some_routers_of_a_zone() -> None:
    """With 14 routers in a zone most objects read once by each are cached; a single router caches none."""
    for in_zone, min_kept, max_kept in ((1, 0, 0), (14, 150, 199)):
        harness = RouterHarness(
            replace(SETTINGS, router_count=3 * in_zone, zone_router_count=in_zone), age_us=12 * US_PER_S
        )
        harness.router.popularity.bronze_threshold, kept = 1.0, 0  # Objects read once are bronze.
        for n in range(200):
            forward = single_forward(harness.request(object_id=f"o{n}"))
            kept += forward.retention_rank > 0
            harness.end_attempt(AttemptStatus.OK, member=forward.member, detail=AnswerDetail.FILLED)
            later = single_forward(harness.request(object_id=f"o{n}", part=1))
            assert (later.retention_rank > 0) == (forward.retention_rank > 0)  # All parts have the same rank.
            harness.end_attempt(AttemptStatus.OK, member=later.member, detail=AnswerDetail.FILLED)
        assert min_kept <= kept <= max_kept


def test_an_assumed_restart_lapses_unless_the_list_announces_it() -> None:
    """A parent that was unresponsive because of overload does not go through a complete warm-up."""
    for announced in (False, True):
        harness = RouterHarness()
        record = harness.record("p0")
        record.ejected = record.unresponsive = True
        harness.router.outliers.record_success(record, harness.now)
        assert harness.warm_share(record.info.address) < 0.5
        if announced:
            harness.change_state(PARENTS[0], MemberState.READY, started_at_us=harness.now)
        harness.advance(6 * US_PER_S)
        assert (harness.warm_share(record.info.address) < 1.0) == announced


def test_retry_after_is_spread() -> None:
    limits = replace(SETTINGS.limits, retry_after=True, max_retry_after_us=400_000)
    harness = RouterHarness(replace(SETTINGS, limits=limits), members=())
    delays_us = {
        a.retry_after_us
        for n in range(20)
        for a in final_answers(harness.request(object_id=f"o{n}"))
        if isinstance(a, RejectRequest)
    }
    assert len(delays_us) > 10 and all(200_000 <= delay_us <= 400_000 for delay_us in delays_us)


def test_the_retry_burst_of_each_router_falls_with_their_number() -> None:
    few, many = RouterHarness(), RouterHarness(replace(SETTINGS, router_count=180))
    assert few.router.retry_budget.max_tokens == 20.0 and many.router.retry_budget.max_tokens == 4.0


def test_a_low_limit_tolerates_no_more_lateness_than_a_high_one() -> None:
    """One late answer in ten decreases a limit both at a factor of 0.5 and at a factor of 1."""
    harness = RouterHarness()
    record = harness.record("c0")
    for start in (1.0, 0.5):
        record.limit_factor, record.recent_answers = start, 100.0
        for n in range(40):
            harness.router.concurrency_limit.record_outcome(record, n % 10 == 0)
        assert record.limit_factor < start


def test_a_limit_grows_only_while_it_is_in_use() -> None:
    """Answers in time, one at a time, do not change a limit of many; answers at the limit raise it.

    If each router raised its limit under low load, all together would use far more than was learned.
    """
    for concurrent_requests, grows in ((1, False), (12, True)):
        harness = RouterHarness(replace(SETTINGS, router_count=40, zone_router_count=1))
        parent = harness.record("p0")
        for n in range(60):
            forwarded = [
                single_forward(harness.request(object_id=f"o{n}-{k}")) for k in range(concurrent_requests)
            ]
            for forward in forwarded:
                harness.end_attempt(
                    AttemptStatus.OK, forward.request_id, member=forward.member, detail=AnswerDetail.FILLED
                )
            harness.advance(100_000)
        assert (parent.limit_factor > 1.0) == grows


def test_the_burst_allowance_shrinks_while_the_share_is_in_use() -> None:
    """A burst may use more than a router's share of a parent; sustained use may not.

    When all routers exceed their shares at once, their allowances together would overload the parent.
    """
    harness = RouterHarness(replace(SETTINGS, router_count=40))
    parent = harness.record("p0")
    open_: list[ForwardRequest | ForwardWithFill] = []

    def send_forty() -> float:
        for _ in range(40):
            object_id = f"o{harness.request_count + 1}"
            open_.extend(forwards(harness.request(object_id=object_id)))
        # The router's part and the burst allowance, without the learned factor.
        return parent.concurrency_limit / parent.limit_factor

    burst = send_forty()
    for _ in range(30):
        harness.advance(100_000)
        ending, open_[:] = list(open_), []
        lasting = send_forty()  # The fills of the previous step are still in flight.
        for forward in ending:
            harness.end_attempt(
                AttemptStatus.OK,
                forward.request_id,
                member=forward.member,
                latency_us=100_000,
                detail=AnswerDetail.FILLED,
            )
    assert parent.in_flight and lasting < burst / 2
