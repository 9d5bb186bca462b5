"""The router of a director with cells: admits each request to one cell and lets that cell's router decide.

Takes events and the cell plan and returns actions. Rejections carry a Retry-After in microseconds if the
settings allow it. Each cell has a separate router for its own caches, so that health, slow-start budgets,
retry budgets and learned limits cannot leak between cells. A request belongs to the cell that admitted it
until its last attempt has ended, even if its tenant migrates meanwhile: a write in flight at a cut-over ends
in the cell where it started.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass, replace

from onyxwick.cells.active_cell import ActiveCell, CellRequestOwner
from onyxwick.cells.admission import CellAdmission
from onyxwick.cells.membership import CellMembership
from onyxwick.cells.migration import CellHealthSignals, Migration
from onyxwick.cells.migrations import Migrations
from onyxwick.cells.model import CellPlan, TenantSpec
from onyxwick.cells.placement import cells_hash
from onyxwick.cells.plan_check import check_plan
from onyxwick.interface import (
    Action,
    AttemptEnded,
    AttemptStatus,
    EndpointsChanged,
    Event,
    FailRequest,
    FleetShareChanged,
    ForwardRequest,
    ForwardWithFill,
    LoadReportReceived,
    LogMessage,
    Member,
    RejectRequest,
    RequestArrived,
    RequestClass,
    RouterSettings,
    WeightSource,
)
from onyxwick.routing import Router
from onyxwick.subrouters import SubrouterDispatcher
from onyxwick.subrouters.dispatcher import REBALANCE_TICKS, TICK_INTERVAL_US
from onyxwick.subrouters.rejection import AdmissionRejection
from onyxwick.subrouters.share_arbiter import ShareArbiter

INITIAL_PARENT_SHARE = 1e-3  # a new cell's share of the parents' budget until its own share is available


@dataclass(frozen=True, slots=True)
class CellSelection:
    """The cell chosen for a request. `is_fallback` says that it is not one of the tenant's own cells."""

    cell: ActiveCell
    is_fallback: bool = False


class CellRouter(SubrouterDispatcher[ActiveCell, CellRequestOwner]):
    """Distributes a director's requests among the routers of its cells."""

    TIMER_TOKEN = "cells"
    TOKEN_SEPARATOR = "/"

    def __init__(
        self, settings: RouterSettings, seed: int, now: int, plan: CellPlan, max_in_flight: int
    ) -> None:
        """`max_in_flight` limits the concurrent requests of all cells together.

        Raises CellPlanError if the plan is not consistent."""
        self.cells: dict[str, ActiveCell] = {}
        super().__init__(now, self.cells)
        self.settings = settings
        self.plan = check_plan(plan)
        self.random = random.Random(seed ^ cells_hash("cells"))
        self.classes = {request_class.name: request_class for request_class in settings.classes}
        self.membership = CellMembership(settings, plan)
        self.admission = CellAdmission(settings, max_in_flight, seed ^ cells_hash("admission"))
        self.migrations = Migrations()
        window_us = settings.rules.overload_window_us + TICK_INTERVAL_US
        self.arbiter = ShareArbiter(self._weights(), window_us)
        self._update_cells()
        self._dispatch_shares(self.arbiter.shares)
        self._schedule_tick()

    # ---- events --------------------------------------------------------------------------------------

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """Dispatch the events of the instant `now` (us) to the affected cells and return their actions."""
        self.admission.now_us = now
        return super().handle(now, events)

    def _on_other_event(self, event: Event) -> None:
        """Dispatch a member's load report to the cells that use this member.

        Other events are ignored, as directors with cells do not send messages to each other."""
        if isinstance(event, LoadReportReceived):
            for cell in self.cells.values():
                if event.member in cell.reported_members:
                    self._dispatch(cell, [event])

    def _on_endpoints_changed(self, event: EndpointsChanged) -> None:
        self.membership.on_endpoints_changed(self.now, event)

    def _members_for(self, subrouter: ActiveCell) -> dict[str, Member]:
        return self.membership.members_of(subrouter.name)

    def _on_action(self, subrouter: ActiveCell, action: Action) -> None:
        match action:
            case ForwardRequest(request_id=request_id):
                self.requests[request_id].attempts_in_flight += 1
            case ForwardWithFill(request_id=request_id, fill_source=source):
                self.requests[request_id].attempts_in_flight += 1
                self._record_parent_demand(subrouter, source)
            case RejectRequest(request_id=request_id) | FailRequest(request_id=request_id):
                if owner := self.requests.get(request_id):
                    # The cell's admission gate adapts as well, so that it holds each tenant to its fair share
                    # before the cell's router has to reject requests regardless of their tenant.
                    subrouter.record_rejection()
                    self.admission.record_outcome(self.now, subrouter, owner.request_class, True)
                    self._finish(request_id, owner)
            case _:
                pass
        self._pending_actions.append(action)

    def _record_parent_demand(self, cell: ActiveCell, fill_source: str) -> None:
        source = cell.reported_members.get(fill_source)
        if source is not None and source.kind == self.settings.parent_kind and not cell.retired:
            self.arbiter.record_demand(cell.name)

    def _dispatch_shares(self, shares: Mapping[str, float]) -> None:
        for name, share in shares.items():
            # A new cell keeps its initial share of the parents' budget until the arbiter has some free.
            if share > 0:
                self._dispatch(self.cells[name], [FleetShareChanged(share)])

    # ---- requests ------------------------------------------------------------------------------------

    def _on_request_arrived(self, request: RequestArrived) -> None:
        tenant = self.plan.tenants.get(request.tenant or self.plan.policy.default_tenant or "")
        request_class = self.classes.get(request.class_name)
        if tenant is None or request_class is None:
            self._count("unknown_tenant" if tenant is None else "unknown_class")
            self._pending_actions.append(RejectRequest(request.request_id))
        elif wait_us := self.admission.tenant_rates.wait_us(tenant.name):
            self._shed(request, tenant, AdmissionRejection.TENANT_RATE, wait_us)
        else:
            self._admit(request, tenant, request_class)

    def _admit(self, request: RequestArrived, tenant: TenantSpec, request_class: RequestClass) -> None:
        selection = self._select_cell(tenant, request.object_id, request_class)
        if selection is None:
            wait_us = self.admission.expected_wait_us(None, request_class)
            self._shed(request, tenant, AdmissionRejection.NO_READY_CACHE, wait_us)
            return
        cell = selection.cell
        reason = self.admission.rejection_reason(cell, tenant, request_class, selection.is_fallback)
        if reason is not None:
            self._shed(request, tenant, reason, self.admission.expected_wait_us(cell, request_class))
            return
        owner = CellRequestOwner(cell.name, request_class, self.now, tenant=tenant.name)
        self.requests[request.request_id] = owner
        self.admission.admit(cell, tenant, owner)
        self._dispatch(cell, [request])

    def _shed(
        self, request: RequestArrived, tenant: TenantSpec, reason: AdmissionRejection, wait_us: int
    ) -> None:
        """Reject a request before any cell's router receives it, and count the reason."""
        self._count(f"shed.{reason}.{tenant.name}")
        self.rejection_reason_by_request[request.request_id] = reason.value
        retry_after_us = self.admission.retry_after_us(wait_us)
        self._pending_actions.append(RejectRequest(request.request_id, retry_after_us))

    def cells_for(self, tenant: str, object_name: str) -> tuple[str, ...]:
        """Return the cells for an object now, by preference, with migrations taken into account.

        Raises KeyError for an unknown tenant."""
        migrated_to = self.migrations.target_cells(tenant, object_name)
        return migrated_to or self.membership.placement.candidates(tenant, object_name)

    def _select_cell(
        self, tenant: TenantSpec, object_name: str, request_class: RequestClass
    ) -> CellSelection | None:
        """Choose the cell for a request.

        None if neither the tenant's cells nor the fallback cell named in the plan has a ready cache."""
        names = self.cells_for(tenant.name, object_name)
        if request_class.is_write and self.settings.cache_bypass:
            # A write is executed at the origin, even if no cache is ready.
            return CellSelection(self.cells[names[0]])
        for name in names:
            if self.has_ready_cache(name):
                return CellSelection(self.cells[name])
        # Only a cell that the plan names is a fallback, as a load that brought down one cell's caches could
        # bring down those of any other cell that it moves to.
        fallback = self.plan.cells[names[0]].fallback
        if fallback is not None and self.has_ready_cache(fallback):
            return CellSelection(self.cells[fallback], is_fallback=True)
        return None

    def has_ready_cache(self, cell_name: str) -> bool:
        """Return whether a cell is in use and has a ready cache in this director's zone."""
        cell = self.cells.get(cell_name)
        return cell is not None and cell.ready_caches > 0

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        owner = self.requests.get(event.request_id)
        if owner is None:
            return
        owner.attempts_in_flight -= 1
        cell = self.cells[owner.assigned_to]
        self._record_outcome(cell, owner, event)
        self._dispatch(cell, [event])
        # A final attempt gave the client its answer, even if the cell's router emitted no action for it.
        owner.answered |= event.is_final
        self._forget_if_ended(event.request_id, owner)

    def _record_outcome(self, cell: ActiveCell, owner: CellRequestOwner, event: AttemptEnded) -> None:
        request_class = owner.request_class
        if event.is_final and event.status is AttemptStatus.OK and not owner.answered:
            taken_us = self.now - owner.arrived_at_us
            stretch = 1 + request_class.latency_objective_stretch
            late = taken_us > request_class.latency_objective_us * stretch
            cell.record_answer(taken_us, late)
            self.admission.record_outcome(self.now, cell, request_class, late)
        elif event.status in (AttemptStatus.OVERLOADED, AttemptStatus.TIMEOUT):
            self.admission.record_outcome(self.now, cell, request_class, True)

    def _release(self, owner: CellRequestOwner) -> None:
        cell = self.cells[owner.assigned_to]
        self.admission.release(cell, owner)
        if cell.retired and not cell.in_flight:
            del self.cells[cell.name]

    # ---- the plan ------------------------------------------------------------------------------------

    def apply_plan(self, now: int, plan: CellPlan) -> None:
        """Replace the running plan.

        Requests in flight stay with the cell that admitted them. The next call of `handle` returns the
        resulting actions. Raises CellPlanError, without any change, if the plan is not consistent or leaves
        a cell without caches.
        """
        placement = self.membership.placement_for(check_plan(plan))
        self.now = now
        self.plan = plan
        self.membership.placement = placement
        self._update_cells()
        self._dispatch_shares(self.arbiter.set_weights(now, self._weights()))
        self._report_members()

    def _weights(self) -> dict[str, float]:
        return {cell.name: cell.weight for cell in self.plan.cells.values()}

    def _update_cells(self) -> None:
        """Create and retire cells, and apply the limits and migrations of the plan."""
        for index, spec in enumerate(self.plan.cells.values()):
            if spec.name not in self.cells:
                self.cells[spec.name] = self._create_cell(index, spec.name, spec.weight)
            self.cells[spec.name].retired = False
        for name in [name for name in self.cells if name not in self.plan.cells]:
            self.cells[name].retired = True
            if not self.cells[name].in_flight:
                del self.cells[name]
        self.admission.apply_plan(self.plan, self.cells)
        self.migrations.apply_plan(self.now, self.plan)

    def _create_cell(self, index: int, name: str, weight: float) -> ActiveCell:
        """Create a cell and its router, with the cell's share of the director's retry budget."""
        # The index is unique among the cells of all directors. The cells' routers use it to take turns in
        # trying cold members.
        router_index = self.settings.router_index * len(self.plan.cells) + index
        settings = replace(self.settings, router_index=router_index)
        if settings.weight_source == WeightSource.NONE and settings.zone_link_kb_per_s:
            settings = replace(settings, weight_source=WeightSource.NOMINAL)
        router = Router(settings, self.random.getrandbits(64), self.now)
        share = weight / sum(self._weights().values())
        router.retry_budget.scale(share)
        cell = ActiveCell(name, router, self.admission.max_in_flight)
        self._replay_purges(cell)
        if name not in self.arbiter.shares:
            self._dispatch(cell, [FleetShareChanged(INITIAL_PARENT_SHARE)])
        return cell

    # ---- the tick ------------------------------------------------------------------------------------

    def _on_tick(self) -> None:
        for transition in self.migrations.step(self.now, self.plan, self._health_signals):
            phases = f"{transition.previous_phase.value} to {transition.phase.value}"
            self._pending_actions.append(
                LogMessage(f"cell migration {transition.name}: {phases}: {transition.reason}")
            )
        if self.ticks % REBALANCE_TICKS == 0:
            self._dispatch_shares(self.arbiter.rebalance(self.now))
        if self.membership.expire_departed(self.now, self.plan.policy.assignment_retention_us):
            self._report_members()

    def _health_signals(self, migration: Migration) -> CellHealthSignals:
        """Return the health of both sides of a migration now."""
        tenant = migration.spec.tenant
        target_names = migration.spec.target_cells
        tenant_cells = self.membership.placement.cells_of_tenant.get(tenant, ())
        targets = [self.cells[name] for name in target_names if name in self.cells]
        sources = [
            self.cells[name] for name in tenant_cells if name not in target_names and name in self.cells
        ]
        return CellHealthSignals(
            target_caches=self.membership.local_cache_count(target_names),
            target_ready=sum(cell.ready_caches for cell in targets),
            target_warm_share=self.membership.warm_share(target_names, self.now),
            target_pressure=max((cell.pressure for cell in targets), default=1.0),
            source_ready=sum(cell.ready_caches for cell in sources),
            source_in_flight=self.admission.in_flight_of(tenant, target_names, inside=False),
            target_in_flight=self.admission.in_flight_of(tenant, target_names, inside=True),
        )

    # ---- operators -----------------------------------------------------------------------------------

    def abort_migration(self, now: int, name: str) -> bool:
        """Abort a migration; False if it has already ended. KeyError for an unknown migration."""
        return self.migrations.abort(now, name)
