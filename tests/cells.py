"""A hand-held world of cells: one director's decider, a clock, and requests of tenants."""

from __future__ import annotations

from dataclasses import replace

from onyxwick import interface as i
from onyxwick.cells import Cell, Cells, Plan, Tenant
from onyxwick.cells.model import MoveOrder, Policy
from tests.world import ORIGIN, PARENTS, SETTINGS, S, member, sent

BOXES = tuple(member(f"b{n}") for n in range(8))
LIMITS = i.Limits(attempts=6, cancel=True, retry_after=True, max_retry_after_us=500_000)
SET = replace(SETTINGS, limits=LIMITS, direct=True)


def plan_of(
    cells: tuple[Cell, ...] = (Cell("a"), Cell("b")),
    tenants: tuple[Tenant, ...] = (Tenant("t1", cells=("a",)), Tenant("t2", cells=("b",))),
    moves: tuple[MoveOrder, ...] = (),
    policy: Policy | None = None,
) -> Plan:
    return Plan(
        {c.name: c for c in cells},
        {t.name: t for t in tenants},
        {m.name: m for m in moves},
        policy or Policy(),
    )


class CellWorld:
    """Cells with eight boxes; every action since the last call is returned."""

    def __init__(
        self, plan: Plan | None = None, boxes: tuple[i.Member, ...] = BOXES, most: int = 400
    ) -> None:
        self.now = 100 * S
        self.asked = 0
        self.open: dict[tuple[str, int], str] = {}  # attempts under way: where
        self.flown: dict[str, int] = {}  # attempts of each request
        self.cells = Cells(SET, 7, self.now, plan or plan_of(), most)
        self.give(i.MembersChanged(i.ListKind.FULL, (*boxes, *PARENTS, ORIGIN)))

    def give(self, *events: i.Event) -> list[i.Action]:
        out = self.cells.handle(self.now, list(events))
        for action in sent(out):
            number = self.flown.get(action.request, 0)
            self.flown[action.request] = number + 1
            self.open[(action.request, number)] = action.member
        return out

    def pass_time(self, us: int) -> list[i.Action]:
        out: list[i.Action] = []
        end = self.now + us
        while self.now < end:
            self.now = min(end, self.now + 100_000)
            timers = [f"{name}/due" for name in self.cells.units]
            out += self.give(i.TimerFired("cells"), *map(i.TimerFired, timers))
        return out

    def ask(self, tenant: str | None = "t1", kind: str = "chunk", name: str = "", left: int = 3 * S) -> str:
        """One request; its id. What came of it stands in `last`."""
        self.asked += 1
        request = f"r{self.asked}"
        arrival = i.RequestArrived(request, kind, name or f"o{self.asked}", left, group=1, tenant=tenant)
        arrival.write = kind in ("save", "hold")
        self.last = self.give(arrival)
        return request

    def end(
        self, request: str, status: i.Status = i.Status.OK, attempt: int = 0, latency: int = 50_000
    ) -> list[i.Action]:
        where = self.open.pop((request, attempt))
        done = status is i.Status.OK
        return self.give(i.AttemptEnded(request, attempt, where, status, latency, done, i.Detail.HIT))

    def where(self, request: str) -> str:
        return self.cells.requests[request].cell

    def change(self, box: i.Member, state: i.State, since: int = 0) -> list[i.Action]:
        return self.give(i.MembersChanged(i.ListKind.CHANGE, (replace(box, state=state, since_us=since),)))


def refusals(actions: list[i.Action]) -> list[i.Refuse]:
    return [a for a in actions if isinstance(a, i.Refuse)]
