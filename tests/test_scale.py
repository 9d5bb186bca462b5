"""Limits and budgets in sum: many routers of the module, driven alone, against one member."""

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
from tests.world import CACHES, ORIGIN, PARENTS, RULES, SETTINGS, S, World, fetched, finals, sent


def _fleet(routers: int, in_zone: int, members: tuple[Member, ...], now: int) -> list[Router]:
    out = []
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
        out.append(router)
    return out


def _drive(
    fleet: list[Router], start: int, seconds: float, address: str, rate: int
) -> list[tuple[int, float]]:
    """Each router is asked `rate` times a second; fills end in 100 ms. What the member was sent, and when."""
    load: list[tuple[int, float]] = []
    open_: list[tuple[int, Router, ForwardWithFill]] = []
    for n in range(int(seconds * rate)):
        now = start + n * S // rate
        while open_ and open_[0][0] <= now:
            at, router, get = open_.pop(0)
            done = AttemptEnded(
                get.request_id,
                0,
                get.member,
                AttemptStatus.OK,
                100_000,
                True,
                AnswerDetail.FILLED_FROM_ORIGIN,
            )
            router.handle(at, [done])
        for k, router in enumerate(fleet):
            ask = RequestArrived(f"r{n}-{k}", "chunk", f"o{(n * 31 + k * 7) % 211}", 3 * S)
            for a in sent(router.handle(now, [ask])):
                if isinstance(a, ForwardWithFill) and address in (a.member, a.fill_source):
                    load.append((now, router.mean_transfer_us()["chunk"]))
                if isinstance(a, ForwardWithFill):
                    open_.append((now + 100_000, router, a))
    return load


def test_a_cold_parent_is_used_and_not_pushed_over_by_any_number() -> None:
    """A share under one fill is no share of nothing, nor one for each: the sum keeps the rule (panhandle)."""
    now, window = 1000 * S, RULES.overload_window_us
    cold = replace(PARENTS[0], started_at_us=now)
    for routers in (3, 30, 180):
        fleet = _fleet(routers, 3, (*CACHES, cold, PARENTS[1], ORIGIN), now)
        load = _drive(fleet, now, 6, "p0", max(2, 360 // routers))
        assert load
        for at, _ in load:
            share = (
                RULES.parent_warm_up_start_share
                + (1 - RULES.parent_warm_up_start_share) * (at + window / 2 - now) / RULES.parent_warm_up_us
            )
            budget = RULES.parent_overload_multiple * share * 20.0 * window
            assert sum(w for t, w in load if at <= t < at + window) <= budget


def test_a_cold_cache_is_used_and_not_pushed_over_by_any_number() -> None:
    now, window = 1000 * S, RULES.overload_window_us
    cold = replace(CACHES[0], started_at_us=now)
    for routers in (1, 6, 30):
        fleet = _fleet(routers, routers, (cold, *CACHES[1:], *PARENTS, ORIGIN), now)
        load = _drive(fleet, now, 4, "c0", max(2, 120 // routers))
        assert load
        for at, _ in load:
            share = (
                RULES.warm_up_start_share
                + (1 - RULES.warm_up_start_share) * (at + window / 2 - now) / RULES.warm_up_us
            )
            budget = RULES.overload_multiple * share * 6.0 * window
            assert sum(w for t, w in load if at <= t < at + window) <= budget


def test_a_failing_origin_is_asked_little_by_any_number() -> None:
    """Limits under one are kept by turns: 180 routers do not keep 180 full fills at a failing origin."""
    now = 1000 * S
    fleet = _fleet(60, 6, (*CACHES, *PARENTS, ORIGIN), now)
    full = 0
    pending: list[tuple[int, Router, str, int, str, bool]] = []
    for n in range(60):
        now += S // 5
        for k, router in enumerate(fleet):
            ask = RequestArrived(f"r{n}-{k}", "chunk", f"o{n}-{k}", 3 * S)
            for a in sent(router.handle(now, [ask])):
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
                    full += n >= 40 and not a.fill_options & FillOption.ONLY_IF_CACHED
        for _, router, request, attempt, address, held in pending:
            detail = AnswerDetail.SOURCE_MISS if held else AnswerDetail.ORIGIN_FAILED
            status = AttemptStatus.MISS if held else AttemptStatus.OVERLOADED
            end = AttemptEnded(request, attempt, address, status, 1_500_000, True, detail)
            router.handle(now, [end])
        pending = []
    assert full < 60 * 20 / 4  # of 1,200 asked for in the last four seconds


def test_objects_seen_once_are_shared_out_between_the_routers_of_a_location() -> None:
    """At 14 routers a location nearly all is seen once by each: some keep it, one router alone does not."""
    for in_zone, least, most in ((1, 0, 0), (14, 150, 199)):
        w = World(replace(SETTINGS, router_count=3 * in_zone, zone_router_count=in_zone), age_us=12 * S)
        w.router.popularity.bronze_threshold, kept = 1.0, 0  # seen once is the tail
        for n in range(200):
            get = fetched(w.ask(name=f"o{n}"))
            kept += get.retention_rank > 0
            w.end(AttemptStatus.OK, member=get.member, detail=AnswerDetail.FILLED)
            later = fetched(w.ask(name=f"o{n}", part=1))
            assert (later.retention_rank > 0) == (get.retention_rank > 0)  # all parts alike
            w.end(AttemptStatus.OK, member=later.member, detail=AnswerDetail.FILLED)
        assert least <= kept <= most


def test_presumption_of_cold_lapses_unless_the_list_confirms_it() -> None:
    """A parent back from a silence that was a jam is not shut for its whole rise (panhandle-later big-1)."""
    for told in (False, True):
        w = World()
        peer = w.record("p0")
        peer.ejected = peer.unresponsive = True
        w.router.outliers.record_success(peer, w.now)
        assert w.warm_share(peer.info.address) < 0.5
        if told:
            w.change(PARENTS[0], MemberState.READY, since=w.now)
        w.pass_time(6 * S)
        assert (w.warm_share(peer.info.address) < 1.0) == told


def test_clients_are_not_all_told_to_come_back_at_once() -> None:
    limits = replace(SETTINGS.limits, retry_after=True, max_retry_after_us=400_000)
    w = World(replace(SETTINGS, limits=limits), members=())
    told = {
        a.retry_after_us
        for n in range(20)
        for a in finals(w.ask(name=f"o{n}"))
        if isinstance(a, RejectRequest)
    }
    assert len(told) > 10 and all(200_000 <= t <= 400_000 for t in told)


def test_retries_in_hand_are_few_for_each_of_many() -> None:
    few, many = World(), World(replace(SETTINGS, router_count=180))
    assert few.router.retry_budget.max_tokens == 20.0 and many.router.retry_budget.max_tokens == 4.0


def test_a_low_limit_bears_no_more_lateness_than_a_whole_one() -> None:
    """One late answer in ten shrinks a limit from a half as from one (texas-later overload)."""
    w = World()
    peer = w.record("c0")
    for start in (1.0, 0.5):
        peer.limit_factor, peer.recent_answers = start, 100.0
        for n in range(40):
            w.router.concurrency_limit.record_outcome(peer, n % 10 == 0)
        assert peer.limit_factor < start


def test_a_limit_grows_only_where_it_was_in_use() -> None:
    """Answers in time one by one under a limit of many leave it as it was; at the limit they raise it.

    Forty routers that each grew theirs on a quiet day would arrive together at twice what was learned
    (disco+vast: the archive's room at 1.8 in each, then 380 fills open at it and 156 time-outs).
    """
    for at_once, grows in ((1, False), (12, True)):
        w = World(replace(SETTINGS, router_count=40, zone_router_count=1))
        parent = w.record("p0")
        for n in range(60):
            asked = [fetched(w.ask(name=f"o{n}-{k}")) for k in range(at_once)]
            for get in asked:
                w.end(AttemptStatus.OK, get.request_id, member=get.member, detail=AnswerDetail.FILLED)
            w.pass_time(100_000)
        assert (parent.limit_factor > 1.0) == grows


def test_what_is_lent_over_a_share_is_taken_back_while_all_of_it_is_in_use() -> None:
    """A burst may take more than a router's share of a parent; use that lasts may not (join+vast).

    When a release sends every router over its share at once, forty deviations on top of forty shares
    would ask the parent for twice what it takes.
    """
    w = World(replace(SETTINGS, router_count=40))
    parent, asked = w.record("p0"), 0
    open_: list[ForwardRequest | ForwardWithFill] = []

    def ask_many() -> float:
        nonlocal asked
        for _ in range(40):
            asked += 1
            open_.extend(sent(w.ask(name=f"o{asked}")))
        # Its part and the burst allowance, without the learned factor.
        return parent.concurrency_limit / parent.limit_factor

    burst = ask_many()
    for _ in range(30):
        w.pass_time(100_000)
        ending, open_[:] = list(open_), []
        lasting = ask_many()  # what was asked a step before is still open: each fill takes 100 ms
        for get in ending:
            w.end(
                AttemptStatus.OK,
                get.request_id,
                member=get.member,
                latency=100_000,
                detail=AnswerDetail.FILLED,
            )
    assert parent.in_flight and lasting < burst / 2
