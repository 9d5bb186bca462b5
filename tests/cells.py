"""A test harness for one director's cell router, with a manual clock and requests of tenants."""

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
from tests.router_harness import ORIGIN, PARENTS, SETTINGS, US_PER_S, forwards, member

CACHES = tuple(member(f"b{n}") for n in range(8))
LIMITS = RequestLimits(max_attempts=6, cancellation=True, retry_after=True, max_retry_after_us=500_000)
CELL_SETTINGS = replace(SETTINGS, limits=LIMITS, cache_bypass=True)


def plan_of(
    cells: tuple[Cell, ...] = (Cell("a"), Cell("b")),
    tenants: tuple[TenantSpec, ...] = (TenantSpec("t1", cells=("a",)), TenantSpec("t2", cells=("b",))),
    migrations: tuple[MigrationSpec, ...] = (),
    policy: CellPolicy | None = None,
) -> CellPlan:
    return CellPlan(
        {c.name: c for c in cells},
        {t.name: t for t in tenants},
        {m.name: m for m in migrations},
        policy or CellPolicy(),
    )


class CellHarness:
    """A cell router with eight caches. Its methods return the actions that each call caused."""

    def __init__(
        self, plan: CellPlan | None = None, caches: tuple[Member, ...] = CACHES, max_in_flight: int = 400
    ) -> None:
        self.now = 100 * US_PER_S
        self.request_count = 0
        self.in_flight: dict[tuple[str, int], str] = {}  # cache address by request id and attempt number
        self.attempts: dict[str, int] = {}  # number of attempts by request id
        self.cells = CellRouter(CELL_SETTINGS, 7, self.now, plan or plan_of(), max_in_flight)
        self.handle(EndpointsChanged(EndpointListKind.SNAPSHOT, (*caches, *PARENTS, ORIGIN)))

    def handle(self, *events: Event) -> list[Action]:
        out = self.cells.handle(self.now, list(events))
        for action in forwards(out):
            number = self.attempts.get(action.request_id, 0)
            self.attempts[action.request_id] = number + 1
            self.in_flight[(action.request_id, number)] = action.member
        return out

    def pass_time(self, duration_us: int) -> list[Action]:
        out: list[Action] = []
        end = self.now + duration_us
        while self.now < end:
            self.now = min(end, self.now + 100_000)
            timers = [f"{name}/due" for name in self.cells.cells]
            out += self.handle(TimerFired("cells"), *map(TimerFired, timers))
        return out

    def send_request(
        self, tenant: str | None = "t1", kind: str = "chunk", name: str = "", time_left_us: int = 3 * US_PER_S
    ) -> str:
        """Send a request and return its id. The resulting actions are in `last`."""
        self.request_count += 1
        request = f"r{self.request_count}"
        arrival = RequestArrived(
            request, kind, name or f"o{self.request_count}", time_left_us, object_group=1, tenant=tenant
        )
        arrival.is_write = kind in ("save", "hold")
        self.last = self.handle(arrival)
        return request

    def end_attempt(
        self,
        request: str,
        status: AttemptStatus = AttemptStatus.OK,
        attempt: int = 0,
        latency_us: int = 50_000,
    ) -> list[Action]:
        cache_address = self.in_flight.pop((request, attempt))
        is_final = status is AttemptStatus.OK
        return self.handle(
            AttemptEnded(request, attempt, cache_address, status, latency_us, is_final, AnswerDetail.HIT)
        )

    def cell_of(self, request: str) -> str:
        return self.cells.requests[request].assigned_to

    def change_member(self, cache: Member, state: MemberState, start_time_us: int = 0) -> list[Action]:
        return self.handle(
            EndpointsChanged(
                EndpointListKind.CHANGE, (replace(cache, state=state, started_at_us=start_time_us),)
            )
        )


def rejections(actions: list[Action]) -> list[RejectRequest]:
    return [a for a in actions if isinstance(a, RejectRequest)]
