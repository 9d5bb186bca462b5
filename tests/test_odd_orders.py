"""Odd orders of events: rules 1, 2, 3 and 5 must hold on the actions whatever comes, and equal runs agree."""

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
from tests.world import ALL, HOLD, RULES, SETTINGS, S

PROOF = {AttemptStatus.OVERLOADED, AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_SENT, AttemptStatus.MISS}
STEP = st.one_of(
    st.tuples(st.just("ask"), st.sampled_from(["chunk", "thumb", "save", "hold"]), st.integers(0, 5)),
    st.tuples(st.just("end"), st.sampled_from(list(AttemptStatus)), st.integers(0, 400)),
    st.tuples(st.just("state"), st.sampled_from(list(MemberState)), st.integers(0, len(ALL) - 1)),
    st.tuples(st.just("purge"), st.booleans(), st.integers(0, 5)),
    st.tuples(st.just("left"), st.just(0), st.integers(0, 400)),
    st.tuples(st.just("late"), st.sampled_from(list(AttemptStatus)), st.integers(0, 400)),
    st.tuples(st.just("wait"), st.just(0), st.integers(1, 2 * S)),
)
Steps = list[tuple[str, object, int]]


class Watch:
    """Carries out the actions as the far side would, and asserts the rules on each."""

    def __init__(self, how: RouterSettings) -> None:
        self.how, self.now = how, 50 * S
        self.router = Router(how, 3, self.now)
        self.asks: dict[str, RequestArrived] = {}
        self.done: dict[str, str] = {}
        self.sends: dict[str, list[tuple[int, str]]] = {}
        self.ends: dict[tuple[str, int], AttemptStatus] = {}
        self.state = {m.address: MemberState.READY for m in ALL}
        self.purged: dict[str | int, int] = {}
        self.log: list[Action] = []
        self.give(EndpointsChanged(EndpointListKind.RESTORED, ALL))

    def open(self) -> list[tuple[str, int]]:
        return [(r, n) for r, s in self.sends.items() for n in range(len(s)) if (r, n) not in self.ends]

    def give(self, event: Event) -> None:
        for action in self.router.handle(self.now, [event]):
            self.log.append(action)
            match action:
                case ForwardRequest(request, member, _):
                    self.check_send(request, member, member, None)
                case ForwardWithFill(request, member, source, _, _, age, flags):
                    self.check_send(request, member, source, (age, flags))
                case RejectRequest(request) | FailRequest(request):
                    assert request not in self.done  # rule 1: one final answer
                    self.done[request] = type(action).__name__
                    if isinstance(action, RejectRequest):
                        self.check_refusal(request)

    def check_send(self, request: str, member: str, source: str, how: tuple[int, FillOption] | None) -> None:
        assert request not in self.done  # rule 1: nothing after the end
        assert self.state[member] is MemberState.READY and self.state[source] is MemberState.READY  # rule 3
        ask, ran = self.asks[request], self.may_have_run(request)
        if ask.class_name == "save":
            assert not ran  # rule 2
        elif ask.class_name == "hold" and ran:
            assert self.now - min(ran) < HOLD.key_window_us
        sends = self.sends.setdefault(request, [])
        assert not [n for n in range(len(sends)) if (request, n) not in self.ends]  # no second copy
        sends.append((self.now, member))
        told = max(
            (at for k in (ask.object_id, ask.object_group or 0) if (at := self.purged.get(k)) is not None),
            default=None,
        )
        if how is not None and told is not None and self.now - told < RULES.purge_retention_us:
            assert 0 < how[0] <= max(1, self.now - told) and not how[1] & FillOption.COALESCE  # rule 5

    def may_have_run(self, request: str) -> list[int]:
        return [
            at
            for n, (at, _) in enumerate(self.sends.get(request, []))
            if self.ends.get((request, n)) not in PROOF
        ]

    def check_refusal(self, request: str) -> None:
        if self.asks[request].class_name == "save":
            assert not self.may_have_run(request)  # rule 2

    def step(self, what: str, kind: object, number: int) -> None:
        pending = self.open()
        match what:
            case "ask":
                name = f"r{len(self.asks)}"
                self.asks[name] = RequestArrived(
                    name, str(kind), f"o{number}", 3 * S, object_group=number % 3
                )
                self.give(self.asks[name])
            case "end" if pending and isinstance(kind, AttemptStatus):
                request, n = pending[number % len(pending)]
                at, member = self.sends[request][n]
                self.ends[(request, n)] = kind
                if kind is AttemptStatus.OK:
                    self.done.setdefault(request, "ok")
                final = request in self.done
                self.give(AttemptEnded(request, n, member, kind, self.now - at, final))
            case "late" if self.ends and isinstance(kind, AttemptStatus):
                request, n = list(self.ends)[number % len(self.ends)]
                self.give(AttemptEnded(request, n, "c1", kind, 1, request in self.done))
            case "state" if isinstance(kind, MemberState):
                self.state[ALL[number].address] = kind
                self.give(EndpointsChanged(EndpointListKind.CHANGE, (replace(ALL[number], state=kind),)))
            case "purge":
                self.purged[number % 3 if kind else f"o{number}"] = self.now
                self.give(ObjectsPurged(number % 3, None if kind else f"o{number}", 0))
            case "left" if self.asks:
                request = list(self.asks)[number % len(self.asks)]
                self.done.setdefault(request, "left")
                self.give(ClientDisconnected(request))
            case "wait":
                self.now += number
                for request, n in pending:  # the far side ends what has run out of the client's time
                    at, member = self.sends[request][n]
                    if self.now - at >= 3 * S:
                        self.ends[(request, n)] = AttemptStatus.TIMEOUT
                        final = request in self.done
                        self.give(AttemptEnded(request, n, member, AttemptStatus.TIMEOUT, 3 * S, final))
                self.give(TimerFired("due"))


@settings(max_examples=150, derandomize=True, deadline=None, database=None)
@given(st.lists(STEP, max_size=60), st.booleans())
def test_rules_hold_in_any_order(steps: Steps, direct: bool) -> None:
    how = replace(SETTINGS, cache_bypass=direct)
    runs = [Watch(how), Watch(how)]
    for w in runs:
        for what, kind, number in steps:
            w.step(what, kind, number)
        w.step("wait", 0, 4 * S)
        w.step("wait", 0, 4 * S)
        assert set(w.asks) == set(w.done)  # rule 1: all answered
        assert not w.router.requests  # and nothing kept
    assert runs[0].log == runs[1].log
