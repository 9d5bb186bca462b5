"""Rules that every decision must obey: final answers, single execution, drains, warm-up and purges."""

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
from tests.router_harness import (
    ALL,
    CACHES,
    CHUNK,
    ORIGIN,
    PARENTS,
    RULES,
    SETTINGS,
    US_PER_S,
    RouterHarness,
    final_answers,
    forwards,
    member,
    single_forward,
)


# Rule 1: each request gets one final answer, in time.
def test_without_members_each_request_is_answered_at_once() -> None:
    for members in ((), CACHES[:0] + PARENTS, (ORIGIN,)):
        for kind in ("chunk", "thumb", "save", "hold"):
            assert len(final_answers(RouterHarness(members=members).request(kind))) == 1


def test_caches_alone_serve_lookups() -> None:
    forward = single_forward(RouterHarness(members=CACHES).request("chunk"))
    assert forward.fill_source == forward.member


def test_an_unknown_class_is_rejected() -> None:
    assert len(final_answers(RouterHarness().request("nonsense"))) == 1


def test_timeout_at_the_deadline_is_answered_and_nothing_follows() -> None:
    for kind in ("chunk", "save"):
        harness = RouterHarness()
        forward = forwards(harness.request(kind))[0]
        assert forward.timeout_us == 3 * US_PER_S
        harness.now += 3 * US_PER_S
        actions = harness.end_attempt(AttemptStatus.TIMEOUT, latency_us=3 * US_PER_S, is_final=False)
        assert len(final_answers(actions)) == 1 and not forwards(actions)
        assert not forwards(harness.advance(5 * US_PER_S))


def test_nothing_is_sent_for_a_disconnected_client() -> None:
    harness = RouterHarness()
    harness.request()
    harness.handle(ClientDisconnected("r1"))
    assert not forwards(harness.end_attempt(AttemptStatus.ERROR)) and not final_answers(
        harness.advance(US_PER_S)
    )


def test_late_and_unknown_events_are_ignored() -> None:
    harness = RouterHarness()
    harness.request()
    harness.end_attempt(AttemptStatus.OK)
    assert not final_answers(harness.end_attempt(AttemptStatus.ERROR)) and not forwards(
        harness.end_attempt(AttemptStatus.ERROR, attempt=7)
    )
    assert not forwards(harness.end_attempt(AttemptStatus.OK, request_id="never-asked", member="nobody"))
    assert not harness.handle(TimerFired("stray"))[1:]


# Rule 2: no request takes effect twice.
def test_non_idempotent_is_never_retried_without_proof() -> None:
    for status in (AttemptStatus.ERROR, AttemptStatus.RESET, AttemptStatus.CANCELLED):
        harness = RouterHarness()
        harness.request("save")
        actions = harness.end_attempt(status)
        assert not forwards(actions) and [type(a) for a in final_answers(actions)] == [FailRequest]


def test_non_idempotent_is_retried_or_rejected_on_proof() -> None:
    for status in (AttemptStatus.OVERLOADED, AttemptStatus.CONNECT_FAILED, AttemptStatus.MISS):
        harness = RouterHarness()
        harness.request("save")
        actions = harness.end_attempt(status)
        assert len(forwards(actions)) == 1 or isinstance(final_answers(actions)[0], RejectRequest)


def test_an_idempotency_key_allows_retries_within_its_window_only() -> None:
    harness = RouterHarness()
    harness.request("hold")
    harness.now += US_PER_S
    assert len(forwards(harness.end_attempt(AttemptStatus.ERROR, latency_us=US_PER_S))) == 1
    harness.now += US_PER_S
    assert not forwards(harness.end_attempt(AttemptStatus.ERROR, attempt=1, latency_us=US_PER_S))


# Rule 3: drains are respected, for fill sources too.
def test_drained_members_get_nothing_new() -> None:
    for state in (MemberState.DRAINING, MemberState.REMOVED):
        harness = RouterHarness()
        for m in (CACHES[0], PARENTS[0]):
            harness.change_state(m, state)
        for n in range(60):
            forward = single_forward(harness.request(object_id=f"o{n}"))
            assert {forward.member, forward.fill_source}.isdisjoint({"c0", "p0"})
            harness.end_attempt(AttemptStatus.OK)


def test_a_snapshot_removes_members_that_it_does_not_list() -> None:
    harness = RouterHarness()
    harness.announce(EndpointListKind.SNAPSHOT, *ALL[1:])
    assert all(single_forward(harness.request(object_id=f"o{n}")).member != "c0" for n in range(20))


# Rule 4: members that are warming up are not overloaded.
def _warm_up_load(harness: RouterHarness, address: str, seconds: float, rate: int) -> float:
    """Return the most requests sent to a member, as cache or source, within any overload window."""
    times: list[int] = []
    for n in range(int(seconds * rate)):
        harness.now += US_PER_S // rate
        for a in harness.request(object_id=f"x{n % 97}", part=n % 7):
            if isinstance(a, ForwardWithFill) and address in (a.member, a.fill_source):
                times.append(harness.now)
        harness.end_attempt(AttemptStatus.OK, detail=AnswerDetail.FILLED)
    return max((sum(t <= u < t + RULES.overload_window_us for u in times) for t in times), default=0)


def test_a_warming_cache_gets_no_more_than_its_budget() -> None:
    harness = RouterHarness()
    harness.change_state(CACHES[0], MemberState.READY, started_at_us=harness.now)
    max_requests = _warm_up_load(harness, "c0", 3, 200)
    start = RULES.overload_multiple * RULES.warm_up_start_share * 6.0 * RULES.overload_window_us
    rise = 1 + 3 / 16 / RULES.warm_up_start_share
    work = harness.router.mean_transfer_us()["chunk"]
    assert 0 < max_requests * work <= start * rise


def test_a_warming_parent_gets_no_more_than_its_share() -> None:
    harness = RouterHarness()
    harness.change_state(PARENTS[0], MemberState.READY, started_at_us=harness.now)
    max_requests = _warm_up_load(harness, "p0", 2, 200)
    start = (
        RULES.parent_overload_multiple
        * RULES.parent_warm_up_start_share
        * 20.0
        * RULES.overload_window_us
        / 3
    )
    assert (
        0
        < max_requests * harness.router.mean_transfer_us()["chunk"]
        <= start * (1 + 2 / 20 / RULES.parent_warm_up_start_share)
    )


def test_a_member_back_from_unresponsiveness_is_assumed_restarted() -> None:
    harness = RouterHarness()
    for n in range(40):  # Every connection to c0 fails.
        for forward in forwards(harness.request(object_id=f"o{n}")):
            ok = forward.member != "c0"
            harness.end_attempt(
                AttemptStatus.OK if ok else AttemptStatus.CONNECT_FAILED, member=forward.member
            )
            if not ok:
                harness.end_attempt(AttemptStatus.OK, attempt=1)
    assert harness.record("c0").ejected
    harness.advance(10 * US_PER_S)
    for n in range(40):
        harness.request(object_id=f"o{n}")
        harness.end_attempt(AttemptStatus.OK)
    assert not harness.record("c0").ejected and harness.warm_share("c0") < 0.5


# Rule 5: purges are respected.
def test_purges_bind_every_later_attempt() -> None:
    for name in ("o1", None):
        harness = RouterHarness()
        harness.handle(ObjectsPurged(1, name, 100_000))
        harness.now += 400_000
        first = single_forward(harness.request("chunk"))
        assert 0 < first.max_age_us <= 500_000 and not first.fill_options & FillOption.COALESCE
        harness.now += 100_000
        again = single_forward(harness.end_attempt(AttemptStatus.ERROR, member=first.member))
        assert 0 < again.max_age_us <= 600_000
        assert single_forward(harness.request("thumb")).max_age_us <= 600_000


def test_purges_bind_lookups_and_direct_attempts() -> None:
    harness = RouterHarness(members=CACHES)
    harness.handle(ObjectsPurged(1, "o1", 0))
    assert single_forward(harness.request("chunk")).max_age_us == 1
    harness = RouterHarness(replace(SETTINGS, cache_bypass=True), members=(*PARENTS, ORIGIN))
    harness.handle(ObjectsPurged(1, None, 0))
    assert single_forward(harness.request("chunk")).max_age_us == 1


def test_purges_expire() -> None:
    harness = RouterHarness()
    harness.handle(ObjectsPurged(1, "o1", 0))
    harness.advance(12 * US_PER_S)
    assert not harness.router.purges and single_forward(harness.request("chunk")).max_age_us == 0


def test_settings_decide_and_not_names() -> None:
    odd = replace(CHUNK, name="whatever")
    harness = RouterHarness(
        replace(SETTINGS, classes=(odd,)), members=(*CACHES, member("x", "origin", "hub"))
    )
    assert single_forward(harness.request("whatever")).fill_source == "x"
