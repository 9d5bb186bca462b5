"""Tests of the dispatch to subrouters, shares of the parents, the admission gate and its limit."""

from __future__ import annotations

from itertools import pairwise

from hypothesis import given, settings
from hypothesis import strategies as st

from onyxwick.interface import (
    Action,
    AttemptEnded,
    AttemptStatus,
    ClientDisconnected,
    EndpointListKind,
    EndpointsChanged,
    Event,
    ForwardRequest,
    LoadReportReceived,
    Member,
    MemberState,
    ObjectsPurged,
    RequestArrived,
    SetTimer,
    TimerFired,
)
from onyxwick.subrouters import RequestOwner, SubrouterDispatcher
from onyxwick.subrouters.admission_gate import AdaptiveLimit, AdmissionGate
from onyxwick.subrouters.dispatcher import MAX_COUNTER_NAMES, TICK_INTERVAL_US
from onyxwick.subrouters.share_arbiter import ShareArbiter
from tests.router_harness import SETTINGS, US_PER_S, member

# ---- dispatch -------------------------------------------------------------------------------------------


class RecordingRouter:
    """A router that records its events, forwards each request and sets a timer for each."""

    def __init__(self) -> None:
        self.events: list[Event] = []

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        self.events += events
        actions: list[Action] = []
        for event in events:
            if isinstance(event, RequestArrived):
                actions.append(ForwardRequest(event.request_id, "cache-1"))
                actions.append(SetTimer(now + US_PER_S, "due"))
        return actions

    def ejected_count(self) -> int:
        return 1


class RecordingSubrouter:
    """A subrouter with a recording router."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.router = RecordingRouter()
        self.reported_members: dict[str, Member] = {}


class TenantNameDispatcher(SubrouterDispatcher[RecordingSubrouter, RequestOwner]):
    """Assigns each request to the subrouter that has the name of the request's tenant."""

    TIMER_TOKEN = "own"
    TOKEN_SEPARATOR = "/"

    def __init__(self) -> None:
        self.inner = {name: RecordingSubrouter(name) for name in "ab"}
        super().__init__(0, self.inner)
        self.members: dict[str, Member] = {}
        self.released: list[RequestOwner] = []
        self.others: list[Event] = []
        self.tick_count = 0

    def add(self, name: str) -> RecordingSubrouter:
        self.inner[name] = RecordingSubrouter(name)
        self._replay_purges(self.inner[name])
        return self.inner[name]

    def count(self, name: str) -> None:
        self._count(name)

    def _on_request_arrived(self, request: RequestArrived) -> None:
        owner = RequestOwner(request.tenant or "", SETTINGS.classes[0], self.now)
        self.requests[request.request_id] = owner
        self._dispatch(self.inner[owner.assigned_to], [request])

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        owner = self.requests[event.request_id]
        owner.attempts_in_flight -= 1
        owner.answered |= event.is_final
        self._forget_if_ended(event.request_id, owner)

    def _on_endpoints_changed(self, event: EndpointsChanged) -> None:
        self.members = {one.address: one for one in event.members}

    def _on_other_event(self, event: Event) -> None:
        self.others.append(event)

    def _on_action(self, subrouter: RecordingSubrouter, action: Action) -> None:
        if isinstance(action, ForwardRequest):
            self.requests[action.request_id].attempts_in_flight += 1
        self._pending_actions.append(action)

    def _on_tick(self) -> None:
        self.tick_count += 1

    def _members_for(self, subrouter: RecordingSubrouter) -> dict[str, Member]:
        return dict(self.members)

    def _release(self, owner: RequestOwner) -> None:
        self.released.append(owner)


def _request(request_id: str, tenant: str) -> RequestArrived:
    return RequestArrived(request_id, SETTINGS.classes[0].name, "o", US_PER_S, object_group=1, tenant=tenant)


def test_timers_return_to_the_subrouter_that_set_them() -> None:
    dispatcher = TenantNameDispatcher()
    assert dispatcher.handle(5, [_request("r", "b")]) == [
        ForwardRequest("r", "cache-1"),
        SetTimer(5 + US_PER_S, "b/due"),
    ]
    assert dispatcher.handle(6, [TimerFired("b/due"), TimerFired("c/due"), TimerFired("a")]) == []
    assert dispatcher.inner["b"].router.events[1:] == [TimerFired("due")]
    assert not dispatcher.inner["a"].router.events
    assert dispatcher.handle(7, [TimerFired("own")]) == [SetTimer(7 + TICK_INTERVAL_US, "own")]
    assert dispatcher.tick_count == dispatcher.ticks == 1


def test_a_router_that_starts_later_receives_earlier_purges_with_their_age() -> None:
    dispatcher = TenantNameDispatcher()
    dispatcher.handle(100, [ObjectsPurged(1, None, 10)])
    assert all(inner.router.events == [ObjectsPurged(1, None, 10)] for inner in dispatcher.inner.values())
    dispatcher.handle(400, [])
    assert dispatcher.add("c").router.events == [ObjectsPurged(1, None, 310)]


def test_a_request_is_released_once_answered_with_no_attempt_in_flight() -> None:
    dispatcher = TenantNameDispatcher()
    dispatcher.handle(0, [_request("r", "a"), ClientDisconnected("r"), ClientDisconnected("unknown")])
    owner = dispatcher.requests["r"]
    assert dispatcher.router_of("r") is dispatcher.inner["a"].router and dispatcher.cell_of("r") == "a"
    assert owner.answered and owner.attempts_in_flight == 1 and not dispatcher.released
    assert dispatcher.inner["a"].router.events[-1] == ClientDisconnected("r")
    dispatcher.handle(1, [AttemptEnded("r", 0, "cache-1", AttemptStatus.CANCELLED, 1, False)])
    assert not dispatcher.requests and dispatcher.released == [owner]
    assert dispatcher.router_of("r") is None and dispatcher.cell_of("r") == ""


def test_subrouters_receive_only_changes_of_their_endpoint_lists() -> None:
    dispatcher = TenantNameDispatcher()
    one, two = member("one"), member("two")
    dispatcher.handle(0, [EndpointsChanged(EndpointListKind.SNAPSHOT, (one, two))])
    dispatcher.handle(1, [EndpointsChanged(EndpointListKind.SNAPSHOT, (one, two))])
    dispatcher.handle(2, [EndpointsChanged(EndpointListKind.SNAPSHOT, (one,))])
    lists = [event for event in dispatcher.inner["a"].router.events if isinstance(event, EndpointsChanged)]
    assert [event.kind for event in lists] == [EndpointListKind.CHANGE] * 2
    assert lists[0].members == (one, two)
    (removed,) = lists[1].members
    assert removed.address == "two" and removed.state is MemberState.REMOVED
    unavailable = EndpointsChanged(EndpointListKind.UNAVAILABLE, ())
    dispatcher.handle(3, [unavailable])
    assert dispatcher.inner["a"].router.events[-1] == unavailable


def test_counter_names_are_bounded_and_other_events_are_passed_to_the_subclass() -> None:
    dispatcher = TenantNameDispatcher()
    for number in range(MAX_COUNTER_NAMES + 10):
        dispatcher.count(f"name-{number}")
    dispatcher.count("name-0")
    assert len(dispatcher.counts) == MAX_COUNTER_NAMES and dispatcher.counts["name-0"] == 2
    assert dispatcher.ejected_count() == 2
    report = LoadReportReceived("one", AttemptStatus.OK, 100)
    dispatcher.handle(0, [report])
    assert dispatcher.others == [report]


# ---- shares, gate, limit --------------------------------------------------------------------------------


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 400), st.booleans()), max_size=40))
def test_shares_of_the_parents_never_add_up_to_over_one_in_any_window(
    steps: list[tuple[int, int, bool]],
) -> None:
    """The largest shares in any window add up to at most 1, under any demand and any change of the cells."""
    window = 3 * US_PER_S
    arbiter, now, names = ShareArbiter(dict.fromkeys("abcd", 1.0), window), 0, set("abcd")
    history = [(now, dict(arbiter.shares))]
    for cell, added_demand, is_removed in steps:
        now += 500_000
        name = "abcd"[cell]
        if is_removed and len(names) > 1:
            names ^= {name}
            arbiter.set_weights(now, dict.fromkeys(sorted(names) or ["a"], 1.0))
        if name in arbiter.demand:
            arbiter.demand[name] += added_demand
        arbiter.rebalance(now)
        history.append((now, dict(arbiter.shares)))
        recent = [shares_at for at, shares_at in history if at > now - window]
        largest_shares = {n: max(shares_at.get(n, 0.0) for shares_at in recent) for n in "abcd"}
        assert sum(largest_shares.values()) <= 1 + 1e-6
        assert all(share >= 0 for share in arbiter.shares.values())


def test_a_flood_in_one_router_leaves_the_others_half_of_their_share() -> None:
    arbiter = ShareArbiter(dict.fromkeys("abcd", 1.0), 3 * US_PER_S)
    for n in range(100):
        arbiter.demand["a"] += 1000
        arbiter.demand["b"] += 1
        arbiter.rebalance(n * 500_000)
    assert arbiter.shares["a"] > 0.55 and min(arbiter.shares[n] for n in "bcd") >= 0.125 - 1e-9
    for n in range(100, 130):
        arbiter.rebalance(n * 500_000)
    assert arbiter.shares["a"] > 0.55, "a share must not be taken away for lack of any demand"


def test_a_gate_sheds_the_lowest_class_first_and_holds_each_owner_to_its_fair_share() -> None:
    gate = AdmissionGate(100)
    gate.adaptive_limit.limit = 100.0
    for _ in range(50):
        gate.admit("loud", 1.0)
    gate.admit("calm", 1.0)
    while gate.rejection_reason("loud", 1.0) is None:
        gate.admit("loud", 1.0)
    assert gate.in_flight_of("loud") <= 60 and gate.rejection_reason("loud", 1.0) == "fair"
    assert gate.rejection_reason("calm", 0.0) is None, "an owner with few requests must be admitted"
    while gate.rejection_reason("calm", 0.0) is None:
        gate.admit("calm", 1.0)
    assert gate.rejection_reason("calm", 1.0) is None and gate.rejection_reason("new", 1.0) is None
    for owner in ("loud", "calm"):
        for _ in range(gate.in_flight_of(owner)):
            gate.release(owner)
    assert gate.in_flight == 0 and not gate.accounts and gate.active_weight == 0


def test_an_adaptive_limit_falls_with_late_answers_and_recovers() -> None:
    """The limit settles near 20 if the resource serves 20 concurrent requests in time and 60 are offered."""
    limit, now, limits = AdaptiveLimit(200), 0, []
    for n in range(4000):
        now += 10_000
        in_flight = int(min(60.0, limit.limit))
        limit.record_answer(now, in_flight > 20, 300_000, in_flight)
        if n > 2000:
            limits.append(limit.limit)
    assert 10 < sum(limits) / len(limits) < 32
    for _ in range(4000):
        now += 10_000
        limit.record_answer(now, False, 300_000, int(limit.limit))
    assert limit.limit > 60
    assert all(b <= limit.upper_bound for a, b in pairwise(limits))
