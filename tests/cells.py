"""A hand-held world of cells: one director's decider, a clock, and requests of tenants."""

from __future__ import annotations

from dataclasses import replace

from onyxwick.cells import Cell, CellPlan, CellRouter, TenantSpec
from onyxwick.cells.model import CellPolicy, MigrationSpec
from onyxwick.interface import (
    Action,
    AnswerDetail,
    AttemptEnded,
    AttemptStatus,
    EndpointListKind,
    EndpointsChanged,
    Event,
    Member,
    MemberState,
    RejectRequest,
    RequestArrived,
    RequestLimits,
    TimerFired,
)
from tests.world import ORIGIN, PARENTS, SETTINGS, S, forwards, member

BOXES = tuple(member(f"b{n}") for n in range(8))
LIMITS = RequestLimits(max_attempts=6, cancellation=True, retry_after=True, max_retry_after_us=500_000)
SET = replace(SETTINGS, limits=LIMITS, cache_bypass=True)


def plan_of(
    cells: tuple[Cell, ...] = (Cell("a"), Cell("b")),
    tenants: tuple[TenantSpec, ...] = (TenantSpec("t1", cells=("a",)), TenantSpec("t2", cells=("b",))),
    moves: tuple[MigrationSpec, ...] = (),
    policy: CellPolicy | None = None,
) -> CellPlan:
    return CellPlan(
        {c.name: c for c in cells},
        {t.name: t for t in tenants},
        {m.name: m for m in moves},
        policy or CellPolicy(),
    )


class CellWorld:
    """Cells with eight boxes; every action since the last call is returned."""

    def __init__(
        self, plan: CellPlan | None = None, boxes: tuple[Member, ...] = BOXES, most: int = 400
    ) -> None:
        self.now = 100 * S
        self.asked = 0
        self.open: dict[tuple[str, int], str] = {}  # attempts under way: where
        self.flown: dict[str, int] = {}  # attempts of each request
        self.cells = CellRouter(SET, 7, self.now, plan or plan_of(), most)
        self.give(EndpointsChanged(EndpointListKind.SNAPSHOT, (*boxes, *PARENTS, ORIGIN)))

    def give(self, *events: Event) -> list[Action]:
        out = self.cells.handle(self.now, list(events))
        for action in forwards(out):
            number = self.flown.get(action.request_id, 0)
            self.flown[action.request_id] = number + 1
            self.open[(action.request_id, number)] = action.member
        return out

    def pass_time(self, us: int) -> list[Action]:
        out: list[Action] = []
        end = self.now + us
        while self.now < end:
            self.now = min(end, self.now + 100_000)
            timers = [f"{name}/due" for name in self.cells.cells]
            out += self.give(TimerFired("cells"), *map(TimerFired, timers))
        return out

    def ask(self, tenant: str | None = "t1", kind: str = "chunk", name: str = "", left: int = 3 * S) -> str:
        """One request; its id. What came of it stands in `last`."""
        self.asked += 1
        request = f"r{self.asked}"
        arrival = RequestArrived(request, kind, name or f"o{self.asked}", left, object_group=1, tenant=tenant)
        arrival.is_write = kind in ("save", "hold")
        self.last = self.give(arrival)
        return request

    def end(
        self, request: str, status: AttemptStatus = AttemptStatus.OK, attempt: int = 0, latency: int = 50_000
    ) -> list[Action]:
        where = self.open.pop((request, attempt))
        done = status is AttemptStatus.OK
        return self.give(AttemptEnded(request, attempt, where, status, latency, done, AnswerDetail.HIT))

    def where(self, request: str) -> str:
        return self.cells.requests[request].assigned_to

    def change(self, box: Member, state: MemberState, since: int = 0) -> list[Action]:
        return self.give(
            EndpointsChanged(EndpointListKind.CHANGE, (replace(box, state=state, started_at_us=since),))
        )


def refusals(actions: list[Action]) -> list[RejectRequest]:
    return [a for a in actions if isinstance(a, RejectRequest)]
