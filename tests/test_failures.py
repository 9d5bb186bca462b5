"""One small test for each failure found on the bench."""

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
from tests.world import ALL, CACHES, ORIGIN, PARENTS, SETTINGS, S, World, fetched, finals, member, sent


def test_timeout_behind_a_slow_fill_is_not_silence() -> None:
    """A jammed cache must not be taken for dead, and then for cold (incident i1d999f)."""
    w = World(members=(CACHES[0], *PARENTS, ORIGIN))
    for _ in range(10):
        w.ask(name=f"slow{w.asked}")
        slow = f"r{w.asked}"
        w.now += S
        w.ask(name=f"quick{w.asked}")
        w.end(AttemptStatus.OK, detail=AnswerDetail.HIT)
        w.now += 2 * S
        w.end(AttemptStatus.TIMEOUT, request=slow, latency=3 * S, final=False)
    peer = w.record("c0")
    assert not peer.ejected and w.warm_share(peer.info.address) == 1.0


def test_untold_refusals_are_laid_to_the_source() -> None:
    """A parent that refuses is ejected; the caches, whose hits go on, keep their room (i86365e)."""
    w = World(replace(SETTINGS, answer_detail=AnswerDetailLevel.HIT_ONLY))
    for n in range(60):
        get = fetched(w.ask(name=f"o{n}"))
        refused = n % 2 == 0 and get.fill_source == "p0"
        out = w.end(
            AttemptStatus.OVERLOADED if refused else AttemptStatus.OK,
            member=get.member,
            detail=AnswerDetail(0 if refused else 1),
        )
        if refused and sent(out):
            w.end(AttemptStatus.OK, attempt=1, detail=AnswerDetail.FILLED)
    assert w.record("p0").ejected
    assert all(w.record(c.address).limit_factor >= 1.0 for c in CACHES)


def test_full_caches_are_not_passed_by() -> None:
    """With every cache over its limit the request is refused at once, not sent to a parent (i1d999f)."""
    w = World(replace(SETTINGS, cache_bypass=True))
    out = [a for n in range(400) for a in w.ask(name=f"o{n}")]
    assert finals(out) and all(a.member in {"c0", "c1", "c2"} for a in sent(out))


def test_full_source_leaves_plain_looks() -> None:
    """Over the source's limit a cache is asked for what it holds; a miss is then answered at once."""
    w = World()
    for p in ("p0", "p1"):
        w.record(p).in_flight.update({(f"x{n}", 0): None for n in range(500)})
    get = fetched(w.ask())
    assert get.fill_source == get.member
    assert len(finals(w.end(AttemptStatus.MISS, member=get.member))) == 1


def test_refused_fills_cut_deeper_than_late_ones() -> None:
    """A jammed origin is relieved by what fails, not only by what is late (west-schools big-2)."""
    w = World(replace(SETTINGS, answer_detail=AnswerDetailLevel.HIT_ONLY))
    w.record("origin").recent_answers = 100.0  # often heard: single steps
    get = fetched(w.ask())
    w.end(AttemptStatus.OVERLOADED, member=get.member)
    refused = w.record("origin").limit_factor
    w = World()
    w.record("origin").recent_answers = 100.0
    get = fetched(w.ask())
    w.now += 2 * S
    w.end(AttemptStatus.OK, member=get.member, latency=2 * S, detail=AnswerDetail.FILLED_FROM_ORIGIN)
    assert refused < w.record("origin").limit_factor < 1.0


def test_slow_origin_does_not_make_parents_silent() -> None:
    """All fills slow at once is the origin: the parents are not ejected, nor cold later (west big-2)."""
    w = World()
    for n in range(12):
        get = fetched(w.ask(name=f"o{n}", left=6 * S))
        w.now += S // 5
        w.ask(name="warm", part=n)
        w.end(AttemptStatus.OK, member=get.member, detail=AnswerDetail.HIT)
    w.pass_time(5 * S)
    for n in range(12):
        w.end(
            AttemptStatus.ERROR,
            request=f"r{2 * n + 1}",
            latency=6 * S,
            detail=AnswerDetail.SOURCE_UNREACHABLE,
        )
    members = w.router.endpoints.members
    assert not any(members[p.address].ejected or members[p.address].unresponsive for p in PARENTS)


def test_a_parent_alone_in_its_silence_is_ejected() -> None:
    w = World()
    for n in range(40):
        get = fetched(w.ask(name=f"o{n}"))
        if get.fill_source != "p0":
            w.now += 50_000
            w.end(AttemptStatus.OK, member=get.member, detail=AnswerDetail.FILLED)
    w.pass_time(2 * S)
    for n in range(40):
        if fetched(w.ask(name=f"q{n}")).fill_source == "p1":
            w.end(AttemptStatus.OK, detail=AnswerDetail.FILLED)
    w.pass_time(2 * S)
    assert w.record("p0").ejected and not w.record("p1").ejected


def test_load_limits_settle_where_few_answers_are_late() -> None:
    """One late answer in eight must shrink a limit: late work is work lost (incident i41c418)."""
    w = World(members=(CACHES[0], *PARENTS, ORIGIN))
    for n in range(160):
        w.ask(name=f"o{n}")
        w.end(AttemptStatus.OK, latency=2 * S if n % 8 == 0 else 100_000, detail=AnswerDetail.HIT)
    assert w.record("c0").limit_factor < 0.9


def test_failed_subscription_is_renewed_without_a_storm() -> None:
    w = World(replace(SETTINGS, subscribe=True))
    assert not [
        a
        for _ in range(5)
        for a in w.members(EndpointListKind.UNAVAILABLE)
        if isinstance(a, SubscribeToEndpoints)
    ]
    assert len([a for a in w.pass_time(3 * S) if isinstance(a, SubscribeToEndpoints)]) == 1


def test_lost_answers_shut_neither_parents_nor_origin() -> None:
    """A quarter of the answers lost, the others in time: no ejection, no limit falls (panhandle-later)."""
    w = World(replace(SETTINGS, limits=replace(SETTINGS.limits, cancellation=False)))
    lost: list[tuple[int, str, str]] = []
    for n in range(120):
        w.pass_time(S // 10)
        get = fetched(w.ask(name=f"o{n}", left=3 * S))
        if n % 4 == 0:
            lost.append((w.now, f"r{w.asked}", get.member))
        else:
            spread = 50_000 + 60_000 * (n % 7)
            w.end(AttemptStatus.OK, member=get.member, latency=spread, detail=AnswerDetail.FILLED_FROM_ORIGIN)
        while lost and w.now - lost[0][0] >= 3 * S:
            _, request, address = lost.pop(0)
            w.end(AttemptStatus.TIMEOUT, request, member=address, latency=3 * S)
    members = w.router.endpoints.members.values()
    assert not any(p.ejected for p in members) and all(p.limit_factor >= 1 for p in members)


def test_an_origin_that_fails_behind_a_parent_is_not_the_parents_fault() -> None:
    """Held-only fills go on where the origin refuses; the parents are not ejected (panhandle-later big-1)."""
    w = World()
    for n in range(20):
        get = fetched(w.ask(name=f"o{n}"))
        out = w.end(AttemptStatus.OVERLOADED, member=get.member, detail=AnswerDetail.ORIGIN_FAILED)
        for _ in range(6):
            if not sent(out):
                break
            out = w.end(AttemptStatus.MISS, attempt=1 + _, member=get.member, detail=AnswerDetail.SOURCE_MISS)
    assert not any(w.record(p.address).ejected for p in PARENTS)
    for n in range(3):  # a few full fills at a time try the origin
        w.ask(name=f"a{n}")
    assert fetched(w.ask(name="b")).fill_options & FillOption.ONLY_IF_CACHED
    out = w.end(AttemptStatus.MISS, member="c0", detail=AnswerDetail.SOURCE_MISS)
    assert len(finals(out)) == 1 and not sent(out)


def test_no_parent_to_be_had_asks_the_home_in_another_location() -> None:
    """With the parents cold or gone another location's cache is the source, where settings allow it; a bare
    location that may go straight to parents never sends to a cache abroad (west-later rough-2)."""
    abroad = (member("x0", zone="edge-2"), member("x1", zone="edge-2"))
    free = replace(SETTINGS, sibling_fills=SiblingFills.ANY)
    w = World(free, members=(*CACHES, *abroad))
    get = fetched(w.ask())
    assert (
        get.fill_source in {"x0", "x1"}
        and get.fill_options & FillOption.ONLY_IF_CACHED
        and get.member in {"c0", "c1", "c2"}
    )
    assert len(finals(w.end(AttemptStatus.MISS, member=get.member, detail=AnswerDetail.SOURCE_MISS))) == 1
    assert fetched(World(members=(*CACHES, *abroad)).ask()).fill_source in {"c0", "c1", "c2"}
    w = World(replace(free, cache_bypass=True), members=abroad)
    assert not sent(w.ask()) and len(finals(w.ask())) == 1
    for m in abroad:  # rule 3 holds for them as for any source
        w = World(free, members=(*CACHES, *abroad))
        w.change(m, MemberState.DRAINING)
        assert all(fetched(w.ask(name=f"o{n}")).fill_source != m.address for n in range(30))


def test_one_failure_does_not_shut_a_seldom_heard_origin() -> None:
    """A single failed fill halves a limit at most; one lost answer leaves it (panhandle-later big-2)."""
    w = World()
    get = fetched(w.ask())
    w.end(AttemptStatus.OVERLOADED, member=get.member, detail=AnswerDetail.ORIGIN_FAILED)
    assert 0.45 < w.record("origin").limit_factor < 1.0
    w = World()
    get = fetched(w.ask(name="lost"))
    w.now += 3 * S
    w.end(AttemptStatus.TIMEOUT, "r1", member=get.member, latency=3 * S)
    assert w.record("origin").limit_factor == 1.0


def test_time_outs_among_late_answers_are_a_jam_and_among_quick_ones_are_not() -> None:
    """The share of late answers tells a slow origin from lost answers (panhandle-later rough-2)."""

    def room(latency: int) -> float:
        w = World()
        w.record("origin").limit_factor = 0.9  # already low: by itself no proof of a jam
        for n in range(12):
            get = fetched(w.ask(name=f"a{n}"))
            w.end(
                AttemptStatus.OK, member=get.member, latency=latency, detail=AnswerDetail.FILLED_FROM_ORIGIN
            )
        peer = w.record("origin")
        peer.limit_factor = 0.9
        get = fetched(w.ask(name="lost"))
        w.now += S
        w.ask(name="other")
        w.end(AttemptStatus.OK, member=get.member, detail=AnswerDetail.FILLED_FROM_ORIGIN)
        peer.limit_factor = 0.9
        w.end(AttemptStatus.TIMEOUT, f"r{w.asked - 1}", member=get.member, latency=3 * S)
        return peer.limit_factor

    assert room(50_000) == 0.9 > room(2 * S)


def test_what_breaks_together_counts_once() -> None:
    """One spoilt answer cuts off all others on its connection: no cause to eject it (garble)."""
    w = World(members=(CACHES[0], *PARENTS, ORIGIN))
    for _ in range(6):
        w.ask(name=f"o{w.asked}")
    for n in range(6):
        w.end(AttemptStatus.RESET, request=f"r{n + 1}", final=False)
    peer = w.record("c0")
    assert not peer.ejected and w.warm_share(peer.info.address) == 1.0


def test_an_overdue_answer_is_asked_for_elsewhere() -> None:
    """An answer that never comes, from a cache that answers others: a second copy is sent (garble)."""
    w = World(replace(SETTINGS, limits=replace(SETTINGS.limits, hedging=True)))
    first = fetched(w.ask(name="lost", left=6 * S))
    copies = []
    for _ in range(50):
        copies += sent(w.pass_time(100_000))
        for p in w.router.endpoints.members.values():
            p.last_answer_us = w.now
    (second,) = copies
    assert second.member != first.member
    cancelled = w.end(AttemptStatus.OK, "r1", attempt=1, member=second.member)
    assert [a.attempt_index for a in cancelled if isinstance(a, CancelAttempt)] == [0]


def test_what_a_client_takes_back_at_once_is_cancelled() -> None:
    """Its work would be for nothing; a fill that must be nearly done may leave its copy behind (rude)."""
    w = World()
    w.ask()
    assert any(isinstance(a, CancelAttempt) for a in w.give(ClientDisconnected("r1")))
    w.ask()
    w.now += 2 * S
    assert not any(isinstance(a, CancelAttempt) for a in w.give(ClientDisconnected("r2")))


def test_an_error_that_names_no_side_is_not_the_sources() -> None:
    """Where answers tell all, a cache's own error shrinks no parent and leaves none out (reset)."""
    w = World()
    for n in range(30):
        get = fetched(w.ask(name=f"o{n}"))
        w.end(AttemptStatus.ERROR, member=get.member)
    assert all(w.record(p.address).limit_factor >= 1.0 for p in (*PARENTS, ORIGIN))
    assert not any(w.record(p.address).ejected for p in PARENTS)


@pytest.mark.parametrize("routers", [12, 40])
def test_where_no_size_is_told_the_clients_of_a_location_tell_it(routers: int) -> None:
    """Neither weights nor links told: all answers in time, and half of the calls refused (red-sucursales)."""
    unsized = replace(
        SETTINGS, weight_source=WeightSource.NONE, router_count=routers, zone_router_count=routers
    )
    w = World(unsized, members=tuple(replace(m, weight=1.0) for m in ALL))
    out, refused, per_s = list[tuple[int, str, str]](), 0, 8
    for n in range(40 * per_s):
        w.pass_time(S // per_s)
        for due, request, at in [row for row in out if row[0] <= w.now]:
            out.remove((due, request, at))
            w.end(AttemptStatus.OK, request, member=at, latency=400_000, detail=AnswerDetail.HIT)
        asked = w.ask(name=f"o{n % 50}", part=n % 7)
        refused += len(finals(asked))
        out += [(w.now + 400_000, f"r{w.asked}", a.member) for a in sent(asked)]
    assert refused <= 0.03 * w.asked


def test_a_told_size_is_not_guessed_from_what_clients_ask() -> None:
    told = replace(
        SETTINGS, weight_source=WeightSource.NONE, zone_link_kb_per_s=56_000.0, transfer_kb_per_s=6_900.0
    )
    for settings in (told, SETTINGS):
        w = World(settings)
        before = w.router.capacity.transfers(w.router.endpoints.caches[0])
        for n in range(30):
            w.ask(name=f"o{n}")
        assert w.router.capacity.transfers(w.router.endpoints.caches[0]) == before
