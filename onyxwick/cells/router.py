"""All cells of one director behind the module's own face: events in, actions out, no clock and no I/O.

Each cell has a router of its own over its own caches, so that health, cold budgets, retry budgets and learned
limits cannot leak. A request is the cell's that took it until its last attempt has ended, whatever moves
meanwhile: a booking in flight when a move cuts over ends where it began.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import replace

from onyxwick.cells.active_cell import ActiveCell, CellRequestOwner
from onyxwick.cells.admission import CellAdmission
from onyxwick.cells.arbiter import ShareArbiter
from onyxwick.cells.membership import CellMembership
from onyxwick.cells.migration import ENDED, CellHealthSignals, Migration, MigrationPhase
from onyxwick.cells.model import CellPlan, TenantSpec, check_plan
from onyxwick.cells.placement import stable_hash
from onyxwick.interface import (
    Action,
    AttemptEnded,
    AttemptStatus,
    ClientDisconnected,
    EndpointListKind,
    EndpointsChanged,
    Event,
    FailRequest,
    FleetShareChanged,
    ForwardRequest,
    ForwardWithFill,
    LoadReportReceived,
    LogMessage,
    MemberState,
    ObjectsPurged,
    RejectRequest,
    RequestArrived,
    RequestClass,
    RouterSettings,
    SetTimer,
    StreamStarted,
    TimerFired,
    WeightSource,
)
from onyxwick.logic import Router

TICK_US, ARBITER_EVERY = 100_000, 5  # of the moves' clock; ticks between two looks of the arbiter
TOKEN, MARK = "cells", "/"  # of timers: this object's own; between a cell's name and its router's token
LEAST_PART = 1e-3  # of the parents: a new cell's, until it is given its own
PURGES_MOST = 4096  # remembered for cells that are made later
COUNTS_MOST = 4096  # names counted


class CellRouter:
    """The decider of a director with cells."""

    def __init__(
        self, settings: RouterSettings, seed: int, now: int, plan: CellPlan, max_in_flight: int
    ) -> None:
        self.settings, self.now = settings, now
        self.plan = check_plan(plan)
        self.random = random.Random(seed ^ stable_hash("cells"))
        self.classes = {c.name: c for c in settings.classes}
        self.membership = CellMembership(settings, plan)
        self.admission = CellAdmission(settings, max_in_flight, seed ^ stable_hash("admission"))
        self.cells: dict[str, ActiveCell] = {}
        self.requests: dict[str, CellRequestOwner] = {}
        self.purges: deque[tuple[int, ObjectsPurged]] = deque(maxlen=PURGES_MOST)
        self.migrations: dict[str, Migration] = {}
        self.migrations_of_tenant: dict[str, list[Migration]] = {}
        self.counts: dict[str, int] = {}
        self.shed_now: dict[str, str] = {}  # refused by the last `handle` before any router saw it, and why
        self.out: list[Action] = []
        self.arbiter = ShareArbiter(self._weights(), settings.rules.overload_window_us + TICK_US)
        self.ticks = 0
        self._arrange()
        self._pass_parts(self.arbiter.shares)
        self.out.append(SetTimer(now + TICK_US, TOKEN))

    # ---- events -----------------------------------------------------------------------------------------

    def ejected_count(self) -> int:
        """Members that some cell's router has ejected, counted once for each cell."""
        return sum(unit.router.ejected_count() for unit in self.cells.values())

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """The events of one instant, each told to the cells that it is for; their actions."""
        self.now = self.admission.now_us = now
        self.shed_now.clear()
        for event in events:
            match event:
                case RequestArrived():
                    self._arrived(event)
                case AttemptEnded():
                    self._ended(event)
                case StreamStarted(request_id=request):
                    if home := self.requests.get(request):
                        self._pass(self.cells[home.cell], [event])
                case ClientDisconnected(request):
                    if home := self.requests.get(request):
                        self._pass(self.cells[home.cell], [event])
                        self._over(request, home)
                case EndpointsChanged():
                    self._listed(event)
                case ObjectsPurged():
                    # In every cell at once: a tenant may be in two of them, and moves may begin later.
                    self.purges.append((now, event))
                    for unit in self.cells.values():
                        self._pass(unit, [event])
                case TimerFired(token):
                    self._timer(token)
                case LoadReportReceived(member=member):
                    for unit in self.cells.values():
                        if member in unit.reported_members:
                            self._pass(unit, [event])
                case _:
                    pass  # messages among directors: routers with cells send none
        out, self.out = self.out, []
        return out

    def _timer(self, token: str) -> None:
        if token == TOKEN:
            self._tick()
            return
        name, _, inner = token.partition(MARK)
        if unit := self.cells.get(name):
            self._pass(unit, [TimerFired(inner)])

    def _pass(self, unit: ActiveCell, events: list[Event]) -> None:
        """Events to one cell's router; its actions are taken note of and passed on."""
        for action in unit.router.handle(self.now, events):
            match action:
                case SetTimer(at, token):
                    self.out.append(SetTimer(at, f"{unit.name}{MARK}{token}"))
                    continue
                case ForwardRequest(request_id=request):
                    self.requests[request].attempts_in_flight += 1
                case ForwardWithFill(request_id=request, fill_source=source):
                    self.requests[request].attempts_in_flight += 1
                    told = unit.reported_members.get(source)
                    if told is not None and told.kind == self.settings.parent_kind and not unit.retired:
                        self.arbiter.record_demand(unit.name)
                case RejectRequest(request_id=request) | FailRequest(request_id=request):
                    if home := self.requests.get(request):
                        # The module sheds whoever comes next; the gate learns from it to hold each tenant
                        # to its part before that, so that the one that floods is the one that is shed.
                        unit.record_rejection()
                        self.admission.record_outcome(self.now, unit, home.request_class, True)
                        self._over(request, home)
            self.out.append(action)

    def _pass_parts(self, parts: dict[str, float]) -> None:
        for cell, part in parts.items():
            if part > 0:  # a new cell waits for its part; until then its router has what it began with
                self._pass(self.cells[cell], [FleetShareChanged(part)])

    # ---- requests ---------------------------------------------------------------------------------------

    def _arrived(self, ask: RequestArrived) -> None:
        tenant = self.plan.tenants.get(ask.tenant or self.plan.policy.default_tenant or "")
        kind = self.classes.get(ask.class_name)
        if tenant is None or kind is None:
            self._count("unknown_tenant" if tenant is None else "unknown_class")
            self.out.append(RejectRequest(ask.request_id))
            return
        if wait := self.admission.tenant_rates.wait_us(tenant.name):
            return self._shed(ask, tenant, "rate", wait)
        unit, guest = self._unit_for(tenant, ask.object_id, kind)
        if unit is None:
            return self._shed(ask, tenant, "no_boxes", self.admission.expected_wait_us(None, kind))
        reason = self.admission.rejection_reason(unit, tenant, kind, guest)
        if reason is not None:
            return self._shed(ask, tenant, reason, self.admission.expected_wait_us(unit, kind))
        home = self.requests[ask.request_id] = CellRequestOwner(unit.name, tenant.name, kind, self.now)
        self.admission.admit(unit, tenant, home)
        self._pass(unit, [ask])
        return None

    def _shed(self, ask: RequestArrived, tenant: TenantSpec, reason: str, wait_us: int) -> None:
        """Refused before any router saw it: at once, and with a time to return where the settings allow."""
        self._count(f"shed.{reason}.{tenant.name}")
        self.shed_now[ask.request_id] = reason
        self.out.append(RejectRequest(ask.request_id, self.admission.retry_after_us(wait_us)))

    def cells_for(self, tenant: str, name: str) -> tuple[str, ...]:
        """The cells for an object at this instant, moves included, the right one first."""
        for move in self.migrations_of_tenant.get(tenant, ()):
            key = stable_hash(name)
            if move.covers(key) and move.is_migrated(key):
                at = key % len(move.spec.target_cells)
                return move.spec.target_cells[at:] + move.spec.target_cells[:at]
        return self.membership.placement.candidates(tenant, name)

    def _unit_for(self, tenant: TenantSpec, name: str, kind: RequestClass) -> tuple[ActiveCell | None, bool]:
        """The cell that takes a request, and whether as a guest; None where all its cells have lost their
        boxes and no fallback is named."""
        cells = self.cells_for(tenant.name, name)
        if kind.is_write and self.settings.cache_bypass:
            return self.cells[cells[0]], False  # it runs at the origin: boxes are no matter
        for cell in cells:
            if self.has_ready_cache(cell):
                return self.cells[cell], False
        # Never by itself to where there is room: what has killed one cell's boxes would kill the next.
        fallback = self.plan.cells[cells[0]].fallback
        if fallback is not None and self.has_ready_cache(fallback):
            return self.cells[fallback], True
        return None, False

    def has_ready_cache(self, cell: str) -> bool:
        unit = self.cells.get(cell)
        return unit is not None and unit.ready_caches > 0

    def _ended(self, event: AttemptEnded) -> None:
        home = self.requests.get(event.request_id)
        if home is None:
            return
        home.attempts_in_flight -= 1
        unit, served = self.cells[home.cell], event.is_final and event.status is AttemptStatus.OK
        if served and not home.answered:
            taken = self.now - home.arrived_at_us
            late = taken > home.request_class.latency_objective_us * (
                1 + home.request_class.latency_objective_stretch
            )
            unit.record_answer(taken, late)
            self.admission.record_outcome(self.now, unit, home.request_class, late)
        elif event.status in (AttemptStatus.OVERLOADED, AttemptStatus.TIMEOUT):
            self.admission.record_outcome(self.now, unit, home.request_class, True)
        self._pass(unit, [event])
        home.answered |= event.is_final  # also of a naming, whose end nobody saw
        self._close(event.request_id, home)

    def _over(self, request: str, home: CellRequestOwner) -> None:
        home.answered = True
        self._close(request, home)

    def _close(self, request: str, home: CellRequestOwner) -> None:
        """Forget a request once it is answered and nothing of it runs."""
        if not home.answered or home.attempts_in_flight > 0 or request not in self.requests:
            return
        del self.requests[request]
        unit = self.cells[home.cell]
        self.admission.release(unit, home)
        if unit.retired and not unit.in_flight:
            del self.cells[unit.name]

    # ---- the list and the plan --------------------------------------------------------------------------

    def _listed(self, event: EndpointsChanged) -> None:
        if event.kind is EndpointListKind.UNAVAILABLE:
            for unit in self.cells.values():
                self._pass(unit, [event])
            return
        self.membership.on_endpoints_changed(self.now, event)
        self._tell_lists()

    def _tell_lists(self) -> None:
        for unit in list(self.cells.values()):
            own = self.membership.members_of(unit.name)
            changed = [m for a, m in own.items() if unit.reported_members.get(a) != m]
            left = [
                replace(m, state=MemberState.REMOVED)
                for a, m in unit.reported_members.items()
                if a not in own
            ]
            unit.reported_members = own
            if changed or left:
                self._pass(unit, [EndpointsChanged(EndpointListKind.CHANGE, (*changed, *left))])

    def apply_plan(self, now: int, plan: CellPlan) -> None:
        """Another plan from this instant on, whole; PlanError and nothing changed where it does not fit.

        Requests under way stay with the cell that took them. What this leads to comes from the next `handle`.
        """
        placement = self.membership.placement_for(check_plan(plan))
        self.now, self.plan, self.membership.placement = now, plan, placement
        self._arrange()
        self._pass_parts(self.arbiter.set_weights(now, self._weights()))
        self._tell_lists()

    def _weights(self) -> dict[str, float]:
        return {cell.name: cell.weight for cell in self.plan.cells.values()}

    def _arrange(self) -> None:
        """Units, bounds and moves as the plan wants them."""
        for n, cell in enumerate(self.plan.cells.values()):
            unit = self.cells.get(cell.name)
            if unit is None:
                unit = self.cells[cell.name] = self._unit(n, cell.name, cell.weight)
            unit.retired = False
        for name in [n for n in self.cells if n not in self.plan.cells]:
            self.cells[name].retired = True
            if not self.cells[name].in_flight:
                del self.cells[name]
        self.admission.apply_plan(self.plan, self.cells)
        self._order_moves()

    def _unit(self, index: int, name: str, weight: float) -> ActiveCell:
        """A new cell with a module of its own. Its turn for cold members is its own, its burst of retries a
        part of the director's, and the purges of before bind it as they bind the others."""
        settings = replace(
            self.settings, router_index=self.settings.router_index * len(self.plan.cells) + index
        )
        if self.settings.weight_source == WeightSource.NONE and self.settings.zone_link_kb_per_s:
            settings = replace(settings, weight_source=WeightSource.NOMINAL)
        router = Router(settings, self.random.getrandbits(64), self.now)
        share = weight / sum(self._weights().values())
        router.burst = router.retries = max(4.0, router.burst * share)
        unit = ActiveCell(name, router, self.admission.max_in_flight)
        told = [replace(p, age_us=p.age_us + self.now - at) for at, p in self.purges]
        self._pass(unit, [*told])
        if name not in self.arbiter.shares:  # it is given its part when others' has left the window
            self._pass(unit, [FleetShareChanged(LEAST_PART)])
        return unit

    def _order_moves(self) -> None:
        """Moves that the plan no longer names turn back; those that have ended and are named stay ended."""
        for name, order in self.plan.migrations.items():
            held = self.migrations.get(name)
            if held is None or (held.spec != order and held.phase in ENDED):
                self.migrations[name] = Migration(order, self.now)
            elif held.spec != order:
                held.abort(self.now, "the plan changed it")
        for name in [n for n in self.migrations if n not in self.plan.migrations]:
            move = self.migrations[name]
            alive = move.spec.tenant in self.plan.tenants and set(move.spec.target_cells) <= set(
                self.plan.cells
            )
            if not alive or not move.abort(self.now, "taken back by the operator"):
                del self.migrations[name]
        self.migrations_of_tenant = {}
        for move in self.migrations.values():
            self.migrations_of_tenant.setdefault(move.spec.tenant, []).append(move)

    # ---- the clock --------------------------------------------------------------------------------------

    def _tick(self) -> None:
        self.out.append(SetTimer(self.now + TICK_US, TOKEN))
        self.ticks += 1
        for name, move in list(self.migrations.items()):
            self._step(name, move)
        if self.ticks % ARBITER_EVERY == 0:
            self._pass_parts(self.arbiter.rebalance(self.now))
        if self.membership.expire_departed(self.now, self.plan.policy.seat_retention_us):
            self._tell_lists()

    def _step(self, name: str, move: Migration) -> None:
        before = move.phase
        if before not in ENDED:
            move.step(self.now, self._signs(move))
        if move.phase is not before:
            self.out.append(LogMessage(f"move {name}: {before.value} to {move.phase.value}: {move.reason}"))
        if move.phase is MigrationPhase.ABORTED and self.plan.migrations.get(name) != move.spec:
            del self.migrations[name]
            self._order_moves()

    def _signs(self, move: Migration) -> CellHealthSignals:
        to, tenant, roster = move.spec.target_cells, move.spec.tenant, self.membership
        target = [self.cells[cell] for cell in to if cell in self.cells]
        old = [c for c in roster.placement.cells_of_tenant.get(tenant, ()) if c not in to]
        return CellHealthSignals(
            target_caches=roster.local_cache_count(to),
            target_ready=sum(unit.ready_caches for unit in target),
            target_warm_share=roster.warm_share(to, self.now),
            target_pressure=max((unit.pressure for unit in target), default=1.0),
            source_ready=sum(self.cells[cell].ready_caches for cell in old if cell in self.cells),
            source_in_flight=self.admission.in_flight_of(tenant, to, inside=False),
            target_in_flight=self.admission.in_flight_of(tenant, to, inside=True),
        )

    def _count(self, name: str) -> None:
        if name in self.counts or len(self.counts) < COUNTS_MOST:
            self.counts[name] = self.counts.get(name, 0) + 1

    def router_of(self, request: str) -> Router | None:
        """The router that decides for a request now, for a trace."""
        home = self.requests.get(request)
        return self.cells[home.cell].router if home is not None else None

    def cell_of(self, request: str) -> str:
        """Where a request lives; empty for one that is not known."""
        home = self.requests.get(request)
        return home.cell if home is not None else ""

    def abort_migration(self, now: int, name: str) -> bool:
        """Turn a move back; False where it has ended. KeyError for an unknown one."""
        return self.migrations[name].abort(now, "taken back by the operator")
