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
from onyxwick.cells.model import CellPlan, TenantSpec, check
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
from onyxwick.routing import Router

TICK_US, ARBITER_EVERY = 100_000, 5  # of the moves' clock; ticks between two looks of the arbiter
TOKEN, MARK = "cells", "/"  # of timers: this object's own; between a cell's name and its router's token
LEAST_PART = 1e-3  # of the parents: a new cell's, until it is given its own
PURGES_MOST = 4096  # remembered for cells that are made later
COUNTS_MOST = 4096  # names counted


class CellRouter:
    """The decider of a director with cells."""

    def __init__(self, settings: RouterSettings, seed: int, now: int, plan: CellPlan, most_open: int) -> None:
        self.set, self.now = settings, now
        self.plan = check(plan)
        self.random = random.Random(seed ^ stable_hash("cells"))
        self.classes = {c.name: c for c in settings.classes}
        self.roster = CellMembership(settings, plan)
        self.admission = CellAdmission(settings, most_open, seed ^ stable_hash("admission"))
        self.units: dict[str, ActiveCell] = {}
        self.requests: dict[str, CellRequestOwner] = {}
        self.purges: deque[tuple[int, ObjectsPurged]] = deque(maxlen=PURGES_MOST)
        self.moves: dict[str, Migration] = {}
        self.of_tenant: dict[str, list[Migration]] = {}
        self.counts: dict[str, int] = {}
        self.shed_now: dict[str, str] = {}  # refused by the last `handle` before any router saw it, and why
        self.out: list[Action] = []
        self.arbiter = ShareArbiter(self._weights(), settings.rules.overload_window_us + TICK_US)
        self.ticks = 0
        self._arrange()
        self._pass_parts(self.arbiter.parts)
        self.out.append(SetTimer(now + TICK_US, TOKEN))

    # ---- events -----------------------------------------------------------------------------------------

    def ejected_count(self) -> int:
        """Members that some cell's router has ejected, counted once for each cell."""
        return sum(unit.router.ejected_count() for unit in self.units.values())

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """The events of one instant, each told to the cells that it is for; their actions."""
        self.now = self.admission.now = now
        self.shed_now.clear()
        for event in events:
            match event:
                case RequestArrived():
                    self._arrived(event)
                case AttemptEnded():
                    self._ended(event)
                case StreamStarted(request_id=request):
                    if home := self.requests.get(request):
                        self._pass(self.units[home.cell], [event])
                case ClientDisconnected(request):
                    if home := self.requests.get(request):
                        self._pass(self.units[home.cell], [event])
                        self._over(request, home)
                case EndpointsChanged():
                    self._listed(event)
                case ObjectsPurged():
                    # In every cell at once: a tenant may be in two of them, and moves may begin later.
                    self.purges.append((now, event))
                    for unit in self.units.values():
                        self._pass(unit, [event])
                case TimerFired(token):
                    self._timer(token)
                case LoadReportReceived(member=member):
                    for unit in self.units.values():
                        if member in unit.told:
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
        if unit := self.units.get(name):
            self._pass(unit, [TimerFired(inner)])

    def _pass(self, unit: ActiveCell, events: list[Event]) -> None:
        """Events to one cell's router; its actions are taken note of and passed on."""
        for action in unit.router.handle(self.now, events):
            match action:
                case SetTimer(at, token):
                    self.out.append(SetTimer(at, f"{unit.name}{MARK}{token}"))
                    continue
                case ForwardRequest(request_id=request):
                    self.requests[request].out += 1
                case ForwardWithFill(request_id=request, fill_source=source):
                    self.requests[request].out += 1
                    told = unit.told.get(source)
                    if told is not None and told.kind == self.set.parent_kind and not unit.leaving:
                        self.arbiter.asked(unit.name)
                case RejectRequest(request_id=request) | FailRequest(request_id=request):
                    if home := self.requests.get(request):
                        # The module sheds whoever comes next; the gate learns from it to hold each tenant
                        # to its part before that, so that the one that floods is the one that is shed.
                        unit.refused()
                        self.admission.learn(self.now, unit, home.kind, True)
                        self._over(request, home)
            self.out.append(action)

    def _pass_parts(self, parts: dict[str, float]) -> None:
        for cell, part in parts.items():
            if part > 0:  # a new cell waits for its part; until then its router has what it began with
                self._pass(self.units[cell], [FleetShareChanged(part)])

    # ---- requests ---------------------------------------------------------------------------------------

    def _arrived(self, ask: RequestArrived) -> None:
        tenant = self.plan.tenants.get(ask.tenant or self.plan.policy.default_tenant or "")
        kind = self.classes.get(ask.class_name)
        if tenant is None or kind is None:
            self._count("unknown_tenant" if tenant is None else "unknown_class")
            self.out.append(RejectRequest(ask.request_id))
            return
        if wait := self.admission.rates.wait_us(tenant.name):
            return self._shed(ask, tenant, "rate", wait)
        unit, guest = self._unit_for(tenant, ask.object_id, kind)
        if unit is None:
            return self._shed(ask, tenant, "no_boxes", self.admission.wait_us(None, kind))
        reason = self.admission.refusal(unit, tenant, kind, guest)
        if reason is not None:
            return self._shed(ask, tenant, reason, self.admission.wait_us(unit, kind))
        home = self.requests[ask.request_id] = CellRequestOwner(unit.name, tenant.name, kind, self.now)
        self.admission.enter(unit, tenant, home)
        self._pass(unit, [ask])
        return None

    def _shed(self, ask: RequestArrived, tenant: TenantSpec, reason: str, wait_us: int) -> None:
        """Refused before any router saw it: at once, and with a time to return where the settings allow."""
        self._count(f"shed.{reason}.{tenant.name}")
        self.shed_now[ask.request_id] = reason
        self.out.append(RejectRequest(ask.request_id, self.admission.retry_after_us(wait_us)))

    def targets(self, tenant: str, name: str) -> tuple[str, ...]:
        """The cells for an object at this instant, moves included, the right one first."""
        for move in self.of_tenant.get(tenant, ()):
            key = stable_hash(name)
            if move.covers(key) and move.takes(key):
                at = key % len(move.order.to)
                return move.order.to[at:] + move.order.to[:at]
        return self.roster.placement.candidates(tenant, name)

    def _unit_for(self, tenant: TenantSpec, name: str, kind: RequestClass) -> tuple[ActiveCell | None, bool]:
        """The cell that takes a request, and whether as a guest; None where all its cells have lost their
        boxes and no fallback is named."""
        cells = self.targets(tenant.name, name)
        if kind.is_write and self.set.cache_bypass:
            return self.units[cells[0]], False  # it runs at the origin: boxes are no matter
        for cell in cells:
            if self.alive(cell):
                return self.units[cell], False
        # Never by itself to where there is room: what has killed one cell's boxes would kill the next.
        fallback = self.plan.cells[cells[0]].fallback
        if fallback is not None and self.alive(fallback):
            return self.units[fallback], True
        return None, False

    def alive(self, cell: str) -> bool:
        unit = self.units.get(cell)
        return unit is not None and unit.ready > 0

    def _ended(self, event: AttemptEnded) -> None:
        home = self.requests.get(event.request_id)
        if home is None:
            return
        home.out -= 1
        unit, served = self.units[home.cell], event.is_final and event.status is AttemptStatus.OK
        if served and not home.over:
            taken = self.now - home.arrived
            late = taken > home.kind.latency_objective_us * (1 + home.kind.latency_objective_stretch)
            unit.answered(taken, late)
            self.admission.learn(self.now, unit, home.kind, late)
        elif event.status in (AttemptStatus.OVERLOADED, AttemptStatus.TIMEOUT):
            self.admission.learn(self.now, unit, home.kind, True)
        self._pass(unit, [event])
        home.over |= event.is_final  # also of a naming, whose end nobody saw
        self._close(event.request_id, home)

    def _over(self, request: str, home: CellRequestOwner) -> None:
        home.over = True
        self._close(request, home)

    def _close(self, request: str, home: CellRequestOwner) -> None:
        """Forget a request once it is answered and nothing of it runs."""
        if not home.over or home.out > 0 or request not in self.requests:
            return
        del self.requests[request]
        unit = self.units[home.cell]
        self.admission.leave(unit, home)
        if unit.leaving and not unit.open:
            del self.units[unit.name]

    # ---- the list and the plan --------------------------------------------------------------------------

    def _listed(self, event: EndpointsChanged) -> None:
        if event.kind is EndpointListKind.UNAVAILABLE:
            for unit in self.units.values():
                self._pass(unit, [event])
            return
        self.roster.listed_anew(self.now, event)
        self._tell_lists()

    def _tell_lists(self) -> None:
        for unit in list(self.units.values()):
            own = self.roster.own(unit.name)
            changed = [m for a, m in own.items() if unit.told.get(a) != m]
            left = [replace(m, state=MemberState.REMOVED) for a, m in unit.told.items() if a not in own]
            unit.told = own
            if changed or left:
                self._pass(unit, [EndpointsChanged(EndpointListKind.CHANGE, (*changed, *left))])

    def apply(self, now: int, plan: CellPlan) -> None:
        """Another plan from this instant on, whole; PlanError and nothing changed where it does not fit.

        Requests under way stay with the cell that took them. What this leads to comes from the next `handle`.
        """
        placement = self.roster.placed(check(plan))
        self.now, self.plan, self.roster.placement = now, plan, placement
        self._arrange()
        self._pass_parts(self.arbiter.cells(now, self._weights()))
        self._tell_lists()

    def _weights(self) -> dict[str, float]:
        return {cell.name: cell.weight for cell in self.plan.cells.values()}

    def _arrange(self) -> None:
        """Units, bounds and moves as the plan wants them."""
        for n, cell in enumerate(self.plan.cells.values()):
            unit = self.units.get(cell.name)
            if unit is None:
                unit = self.units[cell.name] = self._unit(n, cell.name, cell.weight)
            unit.leaving = False
        for name in [n for n in self.units if n not in self.plan.cells]:
            self.units[name].leaving = True
            if not self.units[name].open:
                del self.units[name]
        self.admission.arrange(self.plan, self.units)
        self._order_moves()

    def _unit(self, index: int, name: str, weight: float) -> ActiveCell:
        """A new cell with a module of its own. Its turn for cold members is its own, its burst of retries a
        part of the director's, and the purges of before bind it as they bind the others."""
        settings = replace(self.set, router_index=self.set.router_index * len(self.plan.cells) + index)
        if self.set.weight_source == WeightSource.NONE and self.set.zone_link_kb_per_s:
            settings = replace(settings, weight_source=WeightSource.NOMINAL)
        router = Router(settings, self.random.getrandbits(64), self.now)
        share = weight / sum(self._weights().values())
        router.retry_budget.scale(share)
        unit = ActiveCell(name, router, self.admission.most_open)
        told = [replace(p, age_us=p.age_us + self.now - at) for at, p in self.purges]
        self._pass(unit, [*told])
        if name not in self.arbiter.parts:  # it is given its part when others' has left the window
            self._pass(unit, [FleetShareChanged(LEAST_PART)])
        return unit

    def _order_moves(self) -> None:
        """Moves that the plan no longer names turn back; those that have ended and are named stay ended."""
        for name, order in self.plan.moves.items():
            held = self.moves.get(name)
            if held is None or (held.order != order and held.phase in ENDED):
                self.moves[name] = Migration(order, self.now)
            elif held.order != order:
                held.abort(self.now, "the plan changed it")
        for name in [n for n in self.moves if n not in self.plan.moves]:
            move = self.moves[name]
            alive = move.order.tenant in self.plan.tenants and set(move.order.to) <= set(self.plan.cells)
            if not alive or not move.abort(self.now, "taken back by the operator"):
                del self.moves[name]
        self.of_tenant = {}
        for move in self.moves.values():
            self.of_tenant.setdefault(move.order.tenant, []).append(move)

    # ---- the clock --------------------------------------------------------------------------------------

    def _tick(self) -> None:
        self.out.append(SetTimer(self.now + TICK_US, TOKEN))
        self.ticks += 1
        for name, move in list(self.moves.items()):
            self._step(name, move)
        if self.ticks % ARBITER_EVERY == 0:
            self._pass_parts(self.arbiter.step(self.now))
        if self.roster.let_go(self.now, self.plan.policy.seat_us):
            self._tell_lists()

    def _step(self, name: str, move: Migration) -> None:
        before = move.phase
        if before not in ENDED:
            move.step(self.now, self._signs(move))
        if move.phase is not before:
            self.out.append(LogMessage(f"move {name}: {before.value} to {move.phase.value}: {move.why}"))
        if move.phase is MigrationPhase.ABORTED and self.plan.moves.get(name) != move.order:
            del self.moves[name]
            self._order_moves()

    def _signs(self, move: Migration) -> CellHealthSignals:
        to, tenant, roster = move.order.to, move.order.tenant, self.roster
        target = [self.units[cell] for cell in to if cell in self.units]
        old = [c for c in roster.placement.home_of.get(tenant, ()) if c not in to]
        return CellHealthSignals(
            seats=roster.seats_here(to),
            ready=sum(unit.ready for unit in target),
            warmth=roster.warmth(to, self.now),
            pressure=max((unit.pressure for unit in target), default=1.0),
            old_ready=sum(self.units[cell].ready for cell in old if cell in self.units),
            open_old=self.admission.open_in(tenant, to, inside=False),
            open_new=self.admission.open_in(tenant, to, inside=True),
        )

    def _count(self, name: str) -> None:
        if name in self.counts or len(self.counts) < COUNTS_MOST:
            self.counts[name] = self.counts.get(name, 0) + 1

    def router_of(self, request: str) -> Router | None:
        """The router that decides for a request now, for a trace."""
        home = self.requests.get(request)
        return self.units[home.cell].router if home is not None else None

    def cell_of(self, request: str) -> str:
        """Where a request lives; empty for one that is not known."""
        home = self.requests.get(request)
        return home.cell if home is not None else ""

    def abort(self, now: int, name: str) -> bool:
        """Turn a move back; False where it has ended. KeyError for an unknown one."""
        return self.moves[name].abort(now, "taken back by the operator")
