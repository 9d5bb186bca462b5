"""A small hand-held world for driving the module alone."""

from __future__ import annotations

from dataclasses import replace

from onyxwick import Router
from onyxwick.interface import (
    Action,
    AnswerDetail,
    AnswerDetailLevel,
    AttemptEnded,
    AttemptStatus,
    EndpointListKind,
    EndpointsChanged,
    Event,
    FailRequest,
    ForwardRequest,
    ForwardWithFill,
    Idempotency,
    Member,
    MemberState,
    RejectRequest,
    RequestArrived,
    RequestClass,
    RequestLimits,
    RouterSettings,
    ServiceRules,
    TimerFired,
)
from onyxwick.routing.state import MemberRecord

S = 1_000_000
CHUNK = RequestClass(
    "chunk",
    Idempotency.IDEMPOTENT,
    500_000,
    6 * S,
    latency_objective_stretch=1.6,
    priority_weight=2.0,
    segmented=True,
)
THUMB = RequestClass(
    "thumb",
    Idempotency.IDEMPOTENT,
    300_000,
    3 * S,
    latency_objective_stretch=2.0,
    freshness_lifetime_us=8 * S,
)
SAVE = RequestClass("save", Idempotency.NON_IDEMPOTENT, 800_000, 3 * S, priority_weight=3.0, is_write=True)
HOLD = RequestClass(
    "hold", Idempotency.WITH_KEY, 800_000, 3 * S, priority_weight=3.0, is_write=True, key_window_us=2 * S
)
RULES = ServiceRules(
    answer_grace_us=8_000,
    drain_grace_us=S,
    warm_up_start_share=0.2,
    warm_up_us=16 * S,
    overload_multiple=3.0,
    overload_window_us=2 * S,
    parent_warm_up_start_share=0.06,
    parent_warm_up_us=20 * S,
    parent_overload_multiple=2.0,
    purge_grace_us=300_000,
    purge_retention_us=6 * S,
)
SETTINGS = RouterSettings(
    zone="edge-1",
    classes=(CHUNK, THUMB, SAVE, HOLD),
    rules=RULES,
    limits=RequestLimits(max_attempts=6, cancellation=True),
    parent_kind="parent",
    origin_kind="origin",
    router_count=3,
    zone_router_count=1,
    tick_us=2_000,
    coalesces_fills=True,
    answer_detail=AnswerDetailLevel.FULL,
    clients_mark_retries=True,
)


def member(
    address: str, kind: str = "box", zone: str = "edge-1", since: int = 0, weight: float = 6.0
) -> Member:
    return Member(address, zone, kind, 0, MemberState.READY, weight, since)


CACHES = tuple(member(f"c{n}") for n in range(3))
PARENTS = tuple(member(f"p{n}", "parent", "hub", weight=20.0) for n in range(2))
ORIGIN = member("origin", "origin", "hub", weight=20.0)
ALL = (*CACHES, *PARENTS, ORIGIN)


class World:
    """A router, a clock and a count of requests; every action since the last call is returned."""

    def __init__(
        self, settings: RouterSettings = SETTINGS, members: tuple[Member, ...] = ALL, age_us: int = 0
    ) -> None:
        self.now = 100 * S
        self.router = Router(settings, 7, self.now)
        self.asked = 0
        self.members(EndpointListKind.RESTORED, *members)
        self.pass_time(age_us)

    def give(self, *events: Event) -> list[Action]:
        return self.router.handle(self.now, list(events))

    def pass_time(self, us: int) -> list[Action]:
        """Let time pass in steps of 100 ms, with the timer fired at each."""
        out: list[Action] = []
        end = self.now + us
        while self.now < end:
            self.now = min(end, self.now + 100_000)
            out += self.give(TimerFired("due"))
        return out

    def members(self, kind: EndpointListKind, *members: Member) -> list[Action]:
        return self.give(EndpointsChanged(kind, members))

    def change(self, m: Member, state: MemberState, since: int | None = None) -> list[Action]:
        return self.members(
            EndpointListKind.CHANGE,
            replace(m, state=state, started_at_us=m.started_at_us if since is None else since),
        )

    def record(self, address: str) -> MemberRecord:
        """What the router knows of a listed member."""
        return self.router.endpoints.members[address]

    def warm_share(self, address: str) -> float:
        """Share of its capacity that the router grants a member now."""
        return self.router.slow_start.warm_share(self.record(address), self.now)

    def ask(
        self,
        kind: str = "chunk",
        name: str = "o1",
        part: int = 0,
        group: int = 1,
        left: int = 3 * S,
        repeat: bool = False,
    ) -> list[Action]:
        self.asked += 1
        return self.give(
            RequestArrived(f"r{self.asked}", kind, name, left, object_group=group, part=part, is_retry=repeat)
        )

    def end(
        self,
        status: AttemptStatus,
        request: str | None = None,
        attempt: int = 0,
        member: str = "c0",
        latency: int = 50_000,
        detail: AnswerDetail = AnswerDetail.NONE,
        final: bool | None = None,
    ) -> list[Action]:
        done = status is AttemptStatus.OK if final is None else final
        return self.give(
            AttemptEnded(request or f"r{self.asked}", attempt, member, status, latency, done, detail)
        )


def sent(actions: list[Action]) -> list[ForwardRequest | ForwardWithFill]:
    return [a for a in actions if isinstance(a, ForwardRequest | ForwardWithFill)]


def fetched(actions: list[Action]) -> ForwardWithFill:
    (only,) = [a for a in actions if isinstance(a, ForwardWithFill)]
    return only


def finals(actions: list[Action]) -> list[FailRequest | RejectRequest]:
    return [a for a in actions if isinstance(a, FailRequest | RejectRequest)]
