"""The five rules, driven against the module alone."""

from __future__ import annotations

from dataclasses import replace

from onyxwick.interface import (
    AnswerDetail,
    AttemptStatus,
    ClientDisconnected,
    EndpointListKind,
    FailRequest,
    FillOption,
    ForwardWithFill,
    MemberState,
    ObjectsPurged,
    RejectRequest,
    TimerFired,
)
from tests.world import (
    ALL,
    CACHES,
    CHUNK,
    ORIGIN,
    PARENTS,
    RULES,
    SETTINGS,
    S,
    World,
    fetched,
    finals,
    member,
    sent,
)


# Rule 1: one final answer, in time.
def test_no_list_is_answered_at_once() -> None:
    for members in ((), CACHES[:0] + PARENTS, (ORIGIN,)):
        for kind in ("chunk", "thumb", "save", "hold"):
            assert len(finals(World(members=members).ask(kind))) == 1


def test_caches_alone_still_serve_lookups() -> None:
    get = fetched(World(members=CACHES).ask("chunk"))
    assert get.fill_source == get.member


def test_unknown_class_is_refused() -> None:
    assert len(finals(World().ask("nonsense"))) == 1


def test_timeout_at_the_deadline_is_answered_and_nothing_follows() -> None:
    for kind in ("chunk", "save"):
        w = World()
        get = sent(w.ask(kind))[0]
        assert get.timeout_us == 3 * S
        w.now += 3 * S
        out = w.end(AttemptStatus.TIMEOUT, latency=3 * S, final=False)
        assert len(finals(out)) == 1 and not sent(out)
        assert not sent(w.pass_time(5 * S))


def test_nothing_goes_out_for_a_client_that_left() -> None:
    w = World()
    w.ask()
    w.give(ClientDisconnected("r1"))
    assert not sent(w.end(AttemptStatus.ERROR)) and not finals(w.pass_time(S))


def test_late_and_unknown_events_are_ignored() -> None:
    w = World()
    w.ask()
    w.end(AttemptStatus.OK)
    assert not finals(w.end(AttemptStatus.ERROR)) and not sent(w.end(AttemptStatus.ERROR, attempt=7))
    assert not sent(w.end(AttemptStatus.OK, request="never-asked", member="nobody"))
    assert not w.give(TimerFired("stray"))[1:]


# Rule 2: no effect twice.
def test_unsafe_is_never_repeated_without_proof() -> None:
    for status in (AttemptStatus.ERROR, AttemptStatus.RESET, AttemptStatus.CANCELLED):
        w = World()
        w.ask("save")
        out = w.end(status)
        assert not sent(out) and [type(a) for a in finals(out)] == [FailRequest]


def test_unsafe_is_repeated_or_refused_on_proof() -> None:
    for status in (AttemptStatus.OVERLOADED, AttemptStatus.CONNECT_FAILED, AttemptStatus.MISS):
        w = World()
        w.ask("save")
        out = w.end(status)
        assert len(sent(out)) == 1 or isinstance(finals(out)[0], RejectRequest)


def test_keyed_is_repeated_within_its_window_only() -> None:
    w = World()
    w.ask("hold")
    w.now += S
    assert len(sent(w.end(AttemptStatus.ERROR, latency=S))) == 1
    w.now += S
    assert not sent(w.end(AttemptStatus.ERROR, attempt=1, latency=S))


# Rule 3: drains kept, fill sources too.
def test_drained_members_get_nothing_new() -> None:
    for state in (MemberState.DRAINING, MemberState.REMOVED):
        w = World()
        for m in (CACHES[0], PARENTS[0]):
            w.change(m, state)
        for n in range(60):
            get = fetched(w.ask(name=f"o{n}"))
            assert {get.member, get.fill_source}.isdisjoint({"c0", "p0"})
            w.end(AttemptStatus.OK)


def test_a_whole_list_drops_who_is_not_on_it() -> None:
    w = World()
    w.members(EndpointListKind.SNAPSHOT, *ALL[1:])
    assert all(fetched(w.ask(name=f"o{n}")).member != "c0" for n in range(20))


# Rule 4: cold members are not pushed over.
def _cold_load(w: World, address: str, seconds: float, rate: int) -> float:
    """Most requests given to a member, as cache or source, in any overload window."""
    times: list[int] = []
    for n in range(int(seconds * rate)):
        w.now += S // rate
        for a in w.ask(name=f"x{n % 97}", part=n % 7):
            if isinstance(a, ForwardWithFill) and address in (a.member, a.fill_source):
                times.append(w.now)
        w.end(AttemptStatus.OK, detail=AnswerDetail.FILLED)
    return max((sum(t <= u < t + RULES.overload_window_us for u in times) for t in times), default=0)


def test_cold_cache_gets_no_more_than_its_budget() -> None:
    w = World()
    w.change(CACHES[0], MemberState.READY, since=w.now)
    most = _cold_load(w, "c0", 3, 200)
    start = RULES.overload_multiple * RULES.warm_up_start_share * 6.0 * RULES.overload_window_us
    rise = 1 + 3 / 16 / RULES.warm_up_start_share
    work = w.router.mean_transfer_us()["chunk"]
    assert 0 < most * work <= start * rise


def test_cold_parent_gets_no_more_than_its_share() -> None:
    w = World()
    w.change(PARENTS[0], MemberState.READY, since=w.now)
    most = _cold_load(w, "p0", 2, 200)
    start = (
        RULES.parent_overload_multiple
        * RULES.parent_warm_up_start_share
        * 20.0
        * RULES.overload_window_us
        / 3
    )
    assert (
        0
        < most * w.router.mean_transfer_us()["chunk"]
        <= start * (1 + 2 / 20 / RULES.parent_warm_up_start_share)
    )


def test_back_from_silence_is_presumed_cold() -> None:
    w = World()
    for n in range(40):  # every connection to c0 fails
        for get in sent(w.ask(name=f"o{n}")):
            ok = get.member != "c0"
            w.end(AttemptStatus.OK if ok else AttemptStatus.CONNECT_FAILED, member=get.member)
            if not ok:
                w.end(AttemptStatus.OK, attempt=1)
    assert w.record("c0").ejected
    w.pass_time(10 * S)
    for n in range(40):
        w.ask(name=f"o{n}")
        w.end(AttemptStatus.OK)
    assert not w.record("c0").ejected and w.warm_share("c0") < 0.5


# Rule 5: purges kept.
def test_purge_marks_bind_every_later_attempt() -> None:
    for name in ("o1", None):
        w = World()
        w.give(ObjectsPurged(1, name, 100_000))
        w.now += 400_000
        first = fetched(w.ask("chunk"))
        assert 0 < first.max_age_us <= 500_000 and not first.fill_options & FillOption.COALESCE
        w.now += 100_000
        again = fetched(w.end(AttemptStatus.ERROR, member=first.member))
        assert 0 < again.max_age_us <= 600_000
        assert fetched(w.ask("thumb")).max_age_us <= 600_000


def test_purge_marks_bind_lookups_and_direct_attempts() -> None:
    w = World(members=CACHES)
    w.give(ObjectsPurged(1, "o1", 0))
    assert fetched(w.ask("chunk")).max_age_us == 1
    w = World(replace(SETTINGS, cache_bypass=True), members=(*PARENTS, ORIGIN))
    w.give(ObjectsPurged(1, None, 0))
    assert fetched(w.ask("chunk")).max_age_us == 1


def test_purge_marks_expire() -> None:
    w = World()
    w.give(ObjectsPurged(1, "o1", 0))
    w.pass_time(12 * S)
    assert not w.router.purges and fetched(w.ask("chunk")).max_age_us == 0


def test_settings_decide_not_names() -> None:
    odd = replace(CHUNK, name="whatever")
    w = World(replace(SETTINGS, classes=(odd,)), members=(*CACHES, member("x", "origin", "hub")))
    assert fetched(w.ask("whatever")).fill_source == "x"
