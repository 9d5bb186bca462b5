"""Test harness for a router: settings, members, a manual clock, and filters for the returned actions."""

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

US_PER_S = 1_000_000
CHUNK = RequestClass(
    "chunk",
    Idempotency.IDEMPOTENT,
    500_000,
    6 * US_PER_S,
    latency_objective_stretch=1.6,
    priority_weight=2.0,
    segmented=True,
)
THUMB = RequestClass(
    "thumb",
    Idempotency.IDEMPOTENT,
    300_000,
    3 * US_PER_S,
    latency_objective_stretch=2.0,
    freshness_lifetime_us=8 * US_PER_S,
)
SAVE = RequestClass(
    "save", Idempotency.NON_IDEMPOTENT, 800_000, 3 * US_PER_S, priority_weight=3.0, is_write=True
)
HOLD = RequestClass(
    "hold",
    Idempotency.WITH_KEY,
    800_000,
    3 * US_PER_S,
    priority_weight=3.0,
    is_write=True,
    key_window_us=2 * US_PER_S,
)
RULES = ServiceRules(
    answer_grace_us=8_000,
    drain_grace_us=US_PER_S,
    warm_up_start_share=0.2,
    warm_up_us=16 * US_PER_S,
    overload_multiple=3.0,
    overload_window_us=2 * US_PER_S,
    parent_warm_up_start_share=0.06,
    parent_warm_up_us=20 * US_PER_S,
    parent_overload_multiple=2.0,
    purge_grace_us=300_000,
    purge_retention_us=6 * US_PER_S,
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
    address: str, kind: str = "box", zone: str = "edge-1", started_at_us: int = 0, weight: float = 6.0
) -> Member:
    return Member(address, zone, kind, 0, MemberState.READY, weight, started_at_us)


CACHES = tuple(member(f"c{n}") for n in range(3))
PARENTS = tuple(member(f"p{n}", "parent", "hub", weight=20.0) for n in range(2))
ORIGIN = member("origin", "origin", "hub", weight=20.0)
ALL = (*CACHES, *PARENTS, ORIGIN)


class RouterHarness:
    """Runs a router with a manual clock. Methods that send it events return its actions."""

    def __init__(
        self, settings: RouterSettings = SETTINGS, members: tuple[Member, ...] = ALL, age_us: int = 0
    ) -> None:
        self.now = 100 * US_PER_S
        self.router = Router(settings, 7, self.now)
        self.request_count = 0
        self.announce(EndpointListKind.RESTORED, *members)
        self.advance(age_us)

    def handle(self, *events: Event) -> list[Action]:
        """Send events to the router at the current time."""
        return self.router.handle(self.now, list(events))

    def advance(self, us: int) -> list[Action]:
        """Advance the clock by `us` microseconds in steps of 100 ms, and fire the timer at each step."""
        actions: list[Action] = []
        end = self.now + us
        while self.now < end:
            self.now = min(end, self.now + 100_000)
            actions += self.handle(TimerFired("due"))
        return actions

    def announce(self, kind: EndpointListKind, *members: Member) -> list[Action]:
        """Send the router an endpoint list or a change to it."""
        return self.handle(EndpointsChanged(kind, members))

    def change_state(
        self, member: Member, state: MemberState, started_at_us: int | None = None
    ) -> list[Action]:
        """Announce a member's new state, and its restart at `started_at_us` if not None."""
        if started_at_us is None:
            started_at_us = member.started_at_us
        changed = replace(member, state=state, started_at_us=started_at_us)
        return self.announce(EndpointListKind.CHANGE, changed)

    def record(self, address: str) -> MemberRecord:
        """Return the router's record of a listed member."""
        return self.router.endpoints.members[address]

    def warm_share(self, address: str) -> float:
        """Return the share of its capacity that the router assumes a member to have now."""
        return self.router.slow_start.warm_share(self.record(address), self.now)

    def request(
        self,
        class_name: str = "chunk",
        object_id: str = "o1",
        part: int = 0,
        group: int = 1,
        expires_in_us: int = 3 * US_PER_S,
        is_retry: bool = False,
    ) -> list[Action]:
        """Send the next request; its id is `r` followed by its number, counted from 1."""
        self.request_count += 1
        return self.handle(
            RequestArrived(
                f"r{self.request_count}",
                class_name,
                object_id,
                expires_in_us,
                object_group=group,
                part=part,
                is_retry=is_retry,
            )
        )

    def end_attempt(
        self,
        status: AttemptStatus,
        request_id: str | None = None,
        attempt: int = 0,
        member: str = "c0",
        latency_us: int = 50_000,
        detail: AnswerDetail = AnswerDetail.NONE,
        is_final: bool | None = None,
    ) -> list[Action]:
        """End an attempt, by default of the last request; by default only an OK answer is final."""
        done = status is AttemptStatus.OK if is_final is None else is_final
        return self.handle(
            AttemptEnded(
                request_id or f"r{self.request_count}", attempt, member, status, latency_us, done, detail
            )
        )


def forwards(actions: list[Action]) -> list[ForwardRequest | ForwardWithFill]:
    """Return the actions that start an attempt."""
    return [a for a in actions if isinstance(a, ForwardRequest | ForwardWithFill)]


def single_forward(actions: list[Action]) -> ForwardWithFill:
    """Return the only action that starts an attempt at a cache; fail if there is not exactly one."""
    (only,) = [a for a in actions if isinstance(a, ForwardWithFill)]
    return only


def final_answers(actions: list[Action]) -> list[FailRequest | RejectRequest]:
    """Return the actions that end a request without an answer from a member."""
    return [a for a in actions if isinstance(a, FailRequest | RejectRequest)]
