"""Admission control for the cells of one director.

Takes each request's tenant and class, and later its outcome, and returns the reason to reject a request and a
Retry-After in microseconds. An overloaded cell cannot use up what is reserved for another cell: neither
concurrency nor, for writes, the capacity of the origin that all cells share. All counts are of requests in
flight.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping

from onyxwick.cells.active_cell import ActiveCell, CellRequestOwner
from onyxwick.cells.limits import MICROSECONDS_PER_SECOND, ReservedPool, TenantRates
from onyxwick.cells.model import CellPlan, TenantSpec
from onyxwick.interface import RequestClass, RouterSettings
from onyxwick.subrouters.admission_gate import AdmissionGate, class_priorities
from onyxwick.subrouters.rejection import AdmissionRejection

# A cell admits requests that fall back on it until this share of its limit is in use.
FALLBACK_LIMIT_SHARE = 0.5
MIN_RETRY_AFTER_US = 50_000
WRITE_REASONS = {
    AdmissionRejection.LIMIT_REACHED: AdmissionRejection.WRITE_LIMIT_REACHED,
    AdmissionRejection.FAIR_SHARE_EXCEEDED: AdmissionRejection.WRITE_FAIR_SHARE_EXCEEDED,
}
RETRY_AFTER_JITTER = (0.5, 1.5)  # a Retry-After is multiplied by a random factor from this range


class CellAdmission:
    """Applies the limits of one director's cells and tenants and counts the admitted requests."""

    def __init__(self, settings: RouterSettings, max_in_flight: int, seed: int) -> None:
        self.request_limits = settings.limits
        self.max_in_flight = max_in_flight
        self.random = random.Random(seed)
        self.now_us = 0
        self.priority_of_class = class_priorities(settings.classes)
        self.tenant_rates = TenantRates(lambda: self.now_us / MICROSECONDS_PER_SECOND)
        self.concurrency_pool = ReservedPool(max_in_flight, 0.0, {})
        # Limits the writes of all cells together at the origin. The gate's owners are cells.
        self.write_gate = AdmissionGate(max_in_flight)
        self.cell_weights: dict[str, float] = {}
        self.in_flight_by_tenant_cell: dict[tuple[str, str], int] = {}
        self.in_flight_by_tenant: dict[str, int] = {}

    def apply_plan(self, plan: CellPlan, cells: Mapping[str, ActiveCell]) -> None:
        """Apply the limits of a plan. Requests in flight remain counted."""
        self.cell_weights = {cell.name: cell.weight for cell in plan.cells.values()}
        self.concurrency_pool = ReservedPool(
            self.max_in_flight, plan.policy.reserved_share, self.cell_weights
        )
        self.write_gate.total_weight = sum(self.cell_weights.values())
        for name, cell in cells.items():
            if name in self.cell_weights:
                self.concurrency_pool.adjust(name, cell.in_flight)
                cell.gate.adaptive_limit.set_upper_bound(self.concurrency_pool.upper_bound(name))
        self.tenant_rates.set_rates({tenant.name: tenant.rate_per_s for tenant in plan.tenants.values()})

    def rejection_reason(
        self, cell: ActiveCell, tenant: TenantSpec, request_class: RequestClass, is_fallback: bool
    ) -> AdmissionRejection | None:
        """Return the reason to reject a request, or None to admit it.

        `is_fallback` says that `cell` is the fallback cell, as the tenant's own cells have no ready cache."""
        gate = cell.gate
        if is_fallback and gate.in_flight >= FALLBACK_LIMIT_SHARE * gate.adaptive_limit.limit:
            return AdmissionRejection.FALLBACK_LIMIT
        if tenant.max_in_flight and self.in_flight_by_tenant.get(tenant.name, 0) >= tenant.max_in_flight:
            return AdmissionRejection.TENANT_LIMIT
        if cell.name in self.cell_weights and not self.concurrency_pool.has_capacity(cell.name):
            return AdmissionRejection.CELL_LIMIT
        if request_class.is_write and (reason := self.write_gate.rejection_reason(cell.name, 1.0)):
            return WRITE_REASONS[reason]
        return gate.rejection_reason(tenant.name, self.priority_of_class[request_class.name])

    def expected_wait_us(self, cell: ActiveCell | None, request_class: RequestClass) -> int:
        """Estimate the time until capacity is available.

        By Little's law, a full gate completes one request every `service_time_us / limit`. The estimate is
        longer than that, as all requests rejected in the meantime compete for the freed capacity. Without a
        cell, the estimate is the latency objective of the class."""
        if cell is None:
            return request_class.latency_objective_us
        load = cell.gate.in_flight / max(1.0, cell.gate.adaptive_limit.limit)
        return int(cell.service_time_us * (1 + load))

    def retry_after_us(self, wait_us: int) -> int:
        """Return the Retry-After for a rejected client; 0 if the settings disable it.

        It is randomized so that clients rejected at the same time do not all retry at the same time."""
        if not self.request_limits.retry_after:
            return 0
        jittered_us = int(max(MIN_RETRY_AFTER_US, wait_us) * self.random.uniform(*RETRY_AFTER_JITTER))
        return min(self.request_limits.max_retry_after_us or jittered_us, jittered_us)

    def admit(self, cell: ActiveCell, tenant: TenantSpec, owner: CellRequestOwner) -> None:
        """Count an admitted request in every limit that applies to it."""
        cell.in_flight += 1
        cell.gate.admit(tenant.name, tenant.weight)
        if cell.name in self.cell_weights:
            self.concurrency_pool.adjust(cell.name, 1)
        if owner.request_class.is_write:
            self.write_gate.admit(cell.name, self.cell_weights.get(cell.name, 1.0))
        key = (tenant.name, cell.name)
        self.in_flight_by_tenant_cell[key] = self.in_flight_by_tenant_cell.get(key, 0) + 1
        self.in_flight_by_tenant[tenant.name] = self.in_flight_by_tenant.get(tenant.name, 0) + 1

    def release(self, cell: ActiveCell, owner: CellRequestOwner) -> None:
        """Remove an ended request from every limit in which it was counted."""
        cell.in_flight -= 1
        cell.gate.release(owner.tenant)
        if owner.request_class.is_write:
            self.write_gate.release(cell.name)
        if cell.name in self.cell_weights:
            self.concurrency_pool.adjust(cell.name, -1)
        key = (owner.tenant, cell.name)
        self.in_flight_by_tenant_cell[key] -= 1
        if not self.in_flight_by_tenant_cell[key]:
            del self.in_flight_by_tenant_cell[key]
        self.in_flight_by_tenant[owner.tenant] -= 1
        if not self.in_flight_by_tenant[owner.tenant]:
            del self.in_flight_by_tenant[owner.tenant]

    def record_outcome(self, now: int, cell: ActiveCell, request_class: RequestClass, late: bool) -> None:
        """Adapt the write limit or the cell's limit to an answer that was in time, or late (or missing)."""
        gate = self.write_gate if request_class.is_write else cell.gate
        gate.adaptive_limit.record_answer(now, late, request_class.latency_objective_us, gate.in_flight)

    def in_flight_of(self, tenant: str, cells: Iterable[str], inside: bool) -> int:
        """Count a tenant's requests in flight in the given cells, or in all other cells if `inside` is
        False."""
        selected = set(cells)
        return sum(
            count
            for (owner, cell), count in self.in_flight_by_tenant_cell.items()
            if owner == tenant and (cell in selected) is inside
        )
