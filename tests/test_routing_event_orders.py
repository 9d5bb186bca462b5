"""Random orders of events: the actions obey rules 1, 2, 3 and 5, and equal runs give equal actions."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from onyxwick import Router
from onyxwick.interface import (
    Action,
    AttemptEnded,
    AttemptStatus,
    ClientDisconnected,
    EndpointListKind,
    EndpointsChanged,
    Event,
    FailRequest,
    FillOption,
    ForwardRequest,
    ForwardWithFill,
    MemberState,
    ObjectsPurged,
    RejectRequest,
    RequestArrived,
    RouterSettings,
    TimerFired,
)
from tests.router_harness import ALL, HOLD, RULES, SETTINGS, US_PER_S

NOT_EXECUTED = {
    AttemptStatus.OVERLOADED,
    AttemptStatus.CONNECT_FAILED,
    AttemptStatus.NOT_SENT,
    AttemptStatus.MISS,
}
STEP = st.one_of(
    st.tuples(st.just("ask"), st.sampled_from(["chunk", "thumb", "save", "hold"]), st.integers(0, 5)),
    st.tuples(st.just("end"), st.sampled_from(list(AttemptStatus)), st.integers(0, 400)),
    st.tuples(st.just("state"), st.sampled_from(list(MemberState)), st.integers(0, len(ALL) - 1)),
    st.tuples(st.just("purge"), st.booleans(), st.integers(0, 5)),
    st.tuples(st.just("left"), st.just(0), st.integers(0, 400)),
    st.tuples(st.just("late"), st.sampled_from(list(AttemptStatus)), st.integers(0, 400)),
    st.tuples(st.just("wait"), st.just(0), st.integers(1, 2 * US_PER_S)),
)
Steps = list[tuple[str, object, int]]


class RuleChecker:
    """Simulates caches that carry out the actions, and asserts the rules on each action."""

    def __init__(self, how: RouterSettings) -> None:
        self.settings, self.now = how, 50 * US_PER_S
        self.router = Router(how, 3, self.now)
        self.arrivals: dict[str, RequestArrived] = {}
        self.final_answers: dict[str, str] = {}
        self.attempts: dict[str, list[tuple[int, str]]] = {}
        self.ended: dict[tuple[str, int], AttemptStatus] = {}
        self.states = {m.address: MemberState.READY for m in ALL}
        self.purged: dict[str | int, int] = {}
        self.log: list[Action] = []
        self.handle(EndpointsChanged(EndpointListKind.RESTORED, ALL))

    def in_flight(self) -> list[tuple[str, int]]:
        return [(r, n) for r, s in self.attempts.items() for n in range(len(s)) if (r, n) not in self.ended]

    def handle(self, event: Event) -> None:
        for action in self.router.handle(self.now, [event]):
            self.log.append(action)
            match action:
                case ForwardRequest(request, member, _):
                    self.check_forward(request, member, member, None)
                case ForwardWithFill(request, member, source, _, _, age, flags):
                    self.check_forward(request, member, source, (age, flags))
                case RejectRequest(request) | FailRequest(request):
                    assert request not in self.final_answers  # rule 1: one final answer
                    self.final_answers[request] = type(action).__name__
                    if isinstance(action, RejectRequest):
                        self.check_rejection(request)

    def check_forward(
        self, request: str, member: str, source: str, how: tuple[int, FillOption] | None
    ) -> None:
        assert request not in self.final_answers  # rule 1: no attempt after the final answer
        assert self.states[member] is MemberState.READY and self.states[source] is MemberState.READY  # rule 3
        arrival, executed_at_us = self.arrivals[request], self.possibly_executed_at(request)
        if arrival.class_name == "save":
            assert not executed_at_us  # rule 2
        elif arrival.class_name == "hold" and executed_at_us:
            assert self.now - min(executed_at_us) < HOLD.key_window_us
        sends = self.attempts.setdefault(request, [])
        assert not [n for n in range(len(sends)) if (request, n) not in self.ended]  # no concurrent attempts
        sends.append((self.now, member))
        purged_at = max(
            (
                at
                for k in (arrival.object_id, arrival.object_group or 0)
                if (at := self.purged.get(k)) is not None
            ),
            default=None,
        )
        if how is not None and purged_at is not None and self.now - purged_at < RULES.purge_retention_us:
            assert 0 < how[0] <= max(1, self.now - purged_at) and not how[1] & FillOption.COALESCE  # rule 5

    def possibly_executed_at(self, request: str) -> list[int]:
        return [
            at
            for n, (at, _) in enumerate(self.attempts.get(request, []))
            if self.ended.get((request, n)) not in NOT_EXECUTED
        ]

    def check_rejection(self, request: str) -> None:
        if self.arrivals[request].class_name == "save":
            assert not self.possibly_executed_at(request)  # rule 2

    def step(self, what: str, kind: object, number: int) -> None:
        pending = self.in_flight()
        match what:
            case "ask":
                name = f"r{len(self.arrivals)}"
                self.arrivals[name] = RequestArrived(
                    name, str(kind), f"o{number}", 3 * US_PER_S, object_group=number % 3
                )
                self.handle(self.arrivals[name])
            case "end" if pending and isinstance(kind, AttemptStatus):
                request, n = pending[number % len(pending)]
                at, member = self.attempts[request][n]
                self.ended[(request, n)] = kind
                if kind is AttemptStatus.OK:
                    self.final_answers.setdefault(request, "ok")
                final = request in self.final_answers
                self.handle(AttemptEnded(request, n, member, kind, self.now - at, final))
            case "late" if self.ended and isinstance(kind, AttemptStatus):
                request, n = list(self.ended)[number % len(self.ended)]
                self.handle(AttemptEnded(request, n, "c1", kind, 1, request in self.final_answers))
            case "state" if isinstance(kind, MemberState):
                self.states[ALL[number].address] = kind
                self.handle(EndpointsChanged(EndpointListKind.CHANGE, (replace(ALL[number], state=kind),)))
            case "purge":
                self.purged[number % 3 if kind else f"o{number}"] = self.now
                self.handle(ObjectsPurged(number % 3, None if kind else f"o{number}", 0))
            case "left" if self.arrivals:
                request = list(self.arrivals)[number % len(self.arrivals)]
                self.final_answers.setdefault(request, "left")
                self.handle(ClientDisconnected(request))
            case "wait":
                self._advance(number, pending)

    def _advance(self, duration_us: int, in_flight: list[tuple[str, int]]) -> None:
        """Advance the clock; an attempt whose client's deadline has passed ends with a timeout."""
        self.now += duration_us
        for request, n in in_flight:
            at, member = self.attempts[request][n]
            if self.now - at >= 3 * US_PER_S:
                self.ended[(request, n)] = AttemptStatus.TIMEOUT
                final = request in self.final_answers
                self.handle(AttemptEnded(request, n, member, AttemptStatus.TIMEOUT, 3 * US_PER_S, final))
        self.handle(TimerFired("due"))


@settings(max_examples=150, derandomize=True, deadline=None, database=None)
@given(st.lists(STEP, max_size=60), st.booleans())
def test_rules_hold_in_any_order_of_events(steps: Steps, direct: bool) -> None:
    how = replace(SETTINGS, cache_bypass=direct)
    runs = [RuleChecker(how), RuleChecker(how)]
    for checker in runs:
        for what, kind, number in steps:
            checker.step(what, kind, number)
        checker.step("wait", 0, 4 * US_PER_S)
        checker.step("wait", 0, 4 * US_PER_S)
        assert set(checker.arrivals) == set(checker.final_answers)  # rule 1: all answered
        assert not checker.router.requests  # and nothing kept
    assert runs[0].log == runs[1].log
