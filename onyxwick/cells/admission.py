"""Who is let in: rates, bounds and gates of all cells, and how long who is not should stay away."""

from __future__ import annotations

import random
from collections.abc import Iterable

from onyxwick.cells.active_cell import ActiveCell, CellRequestOwner
from onyxwick.cells.limits import AdmissionGate, ReservedPool, TenantRates
from onyxwick.cells.model import CellPlan, TenantSpec
from onyxwick.interface import Idempotency, RequestClass, RouterSettings

S = 1_000_000
FALLBACK_LIMIT_SHARE = (
    0.5  # of a cell's limit up to which it takes in the requests of a cell that fell back on it
)
MIN_RETRY_AFTER_US = 50_000


def class_priorities(classes: Iterable[RequestClass]) -> dict[str, float]:
    """0 for the class that is shed first, 1 for the last one: what may not run twice, then by worth."""
    order = sorted(
        classes,
        key=lambda c: (c.idempotency is Idempotency.NON_IDEMPOTENT or c.is_write, c.priority_weight, c.name),
    )
    return {c.name: n / max(1, len(order) - 1) for n, c in enumerate(order)}


class CellAdmission:
    """The bounds of one director's cells. No cell's overload reaches another's reserve of any of them."""

    def __init__(self, settings: RouterSettings, max_in_flight: int, seed: int) -> None:
        self.request_limits, self.max_in_flight = settings.limits, max_in_flight
        self.random = random.Random(seed)
        self.now_us = 0
        self.priority_of_class = class_priorities(settings.classes)
        self.tenant_rates = TenantRates(lambda: self.now_us / S)
        self.concurrency_pool = ReservedPool(max_in_flight, 0.0, {})
        self.write_gate = AdmissionGate(
            max_in_flight
        )  # at the origin, which all cells share; its owners are the cells
        self.cell_weights: dict[str, float] = {}
        self.in_flight_by_tenant_cell: dict[tuple[str, str], int] = {}  # (tenant, cell): requests under way
        self.in_flight_by_tenant: dict[str, int] = {}

    def apply_plan(self, plan: CellPlan, units: dict[str, ActiveCell]) -> None:
        """The bounds that a plan gives; what is under way stays counted."""
        self.cell_weights = {cell.name: cell.weight for cell in plan.cells.values()}
        self.concurrency_pool = ReservedPool(
            self.max_in_flight, plan.policy.reserved_share, self.cell_weights
        )
        self.write_gate.total_weight = sum(self.cell_weights.values())
        for name, unit in units.items():
            if name in self.cell_weights:
                self.concurrency_pool.adjust(name, unit.in_flight)
                unit.gate.adaptive_limit.set_upper_bound(self.concurrency_pool.upper_bound(name))
        self.tenant_rates.set_rates({t.name: t.rate_per_s for t in plan.tenants.values()})

    def rejection_reason(
        self, unit: ActiveCell, tenant: TenantSpec, kind: RequestClass, guest: bool
    ) -> str | None:
        """Why a request is not let in, or None. A `guest` has fallen back on this cell."""
        gate = unit.gate
        if guest and gate.in_flight >= FALLBACK_LIMIT_SHARE * gate.adaptive_limit.limit:
            return "no_spare"
        if tenant.max_in_flight and self.in_flight_by_tenant.get(tenant.name, 0) >= tenant.max_in_flight:
            return "tenant_open"
        if unit.name in self.cell_weights and not self.concurrency_pool.has_capacity(unit.name):
            return "cell_open"
        if kind.is_write and (why := self.write_gate.rejection_reason(unit.name, 1.0)):
            return f"writes_{why}"
        return gate.rejection_reason(tenant.name, self.priority_of_class[kind.name])

    def _weight(self, unit: ActiveCell) -> float:
        return self.cell_weights.get(unit.name, 1.0)

    def expected_wait_us(self, unit: ActiveCell | None, kind: RequestClass) -> int:
        """By when a place should be free: by Little's law a full gate frees one each `place_us / limit`, and
        all that are refused meanwhile want one too."""
        if unit is None:
            return kind.latency_objective_us
        return int(
            unit.service_time_us * (1 + unit.gate.in_flight / max(1.0, unit.gate.adaptive_limit.limit))
        )

    def retry_after_us(self, wait_us: int) -> int:
        """What the client is told, where the settings allow it: spread, so that those refused together do not
        come back together."""
        if not self.request_limits.retry_after:
            return 0
        spread = int(max(MIN_RETRY_AFTER_US, wait_us) * self.random.uniform(0.5, 1.5))
        return min(self.request_limits.max_retry_after_us or spread, spread)

    def admit(self, unit: ActiveCell, tenant: TenantSpec, home: CellRequestOwner) -> None:
        unit.in_flight += 1
        unit.gate.admit(tenant.name, tenant.weight)
        if unit.name in self.cell_weights:
            self.concurrency_pool.adjust(unit.name, 1)
        if home.request_class.is_write:
            self.write_gate.admit(unit.name, self._weight(unit))
        key = (tenant.name, unit.name)
        self.in_flight_by_tenant_cell[key] = self.in_flight_by_tenant_cell.get(key, 0) + 1
        self.in_flight_by_tenant[tenant.name] = self.in_flight_by_tenant.get(tenant.name, 0) + 1

    def release(self, unit: ActiveCell, home: CellRequestOwner) -> None:
        unit.in_flight -= 1
        unit.gate.release(home.tenant)
        if home.request_class.is_write:
            self.write_gate.release(unit.name)
        if unit.name in self.cell_weights:
            self.concurrency_pool.adjust(unit.name, -1)
        key = (home.tenant, unit.name)
        self.in_flight_by_tenant_cell[key] -= 1
        if not self.in_flight_by_tenant_cell[key]:
            del self.in_flight_by_tenant_cell[key]
        self.in_flight_by_tenant[home.tenant] -= 1
        if not self.in_flight_by_tenant[home.tenant]:
            del self.in_flight_by_tenant[home.tenant]

    def record_outcome(self, now: int, unit: ActiveCell, kind: RequestClass, late: bool) -> None:
        gate = self.write_gate if kind.is_write else unit.gate
        gate.adaptive_limit.record_answer(now, late, kind.latency_objective_us, gate.in_flight)

    def in_flight_of(self, tenant: str, cells: Iterable[str], inside: bool) -> int:
        """A tenant's requests under way in (or outside of) some cells."""
        wanted = set(cells)
        return sum(
            n
            for (t, c), n in self.in_flight_by_tenant_cell.items()
            if t == tenant and (c in wanted) is inside
        )
