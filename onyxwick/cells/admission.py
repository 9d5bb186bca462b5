"""Who is let in: rates, bounds and gates of all cells, and how long who is not should stay away."""

from __future__ import annotations

import random
from collections.abc import Iterable

from onyxwick.cells.active_cell import ActiveCell, CellRequestOwner
from onyxwick.cells.limits import AdmissionGate, ReservedPool, TenantRates
from onyxwick.cells.model import CellPlan, TenantSpec
from onyxwick.interface import Idempotency, RequestClass, RouterSettings

S = 1_000_000
SPARE = 0.5  # of a cell's limit up to which it takes in the requests of a cell that fell back on it
LEAST_WAIT_US = 50_000


def priorities(classes: Iterable[RequestClass]) -> dict[str, float]:
    """0 for the class that is shed first, 1 for the last one: what may not run twice, then by worth."""
    order = sorted(
        classes,
        key=lambda c: (c.idempotency is Idempotency.NON_IDEMPOTENT or c.is_write, c.priority_weight, c.name),
    )
    return {c.name: n / max(1, len(order) - 1) for n, c in enumerate(order)}


class CellAdmission:
    """The bounds of one director's cells. No cell's overload reaches another's reserve of any of them."""

    def __init__(self, settings: RouterSettings, most_open: int, seed: int) -> None:
        self.limits, self.most_open = settings.limits, most_open
        self.random = random.Random(seed)
        self.now = 0
        self.priority = priorities(settings.classes)
        self.rates = TenantRates(lambda: self.now / S)
        self.pool = ReservedPool(most_open, 0.0, {})
        self.writes = AdmissionGate(
            most_open
        )  # at the origin, which all cells share; its owners are the cells
        self.weights: dict[str, float] = {}
        self.open_of: dict[tuple[str, str], int] = {}  # (tenant, cell): requests under way
        self.of_tenant: dict[str, int] = {}

    def arrange(self, plan: CellPlan, units: dict[str, ActiveCell]) -> None:
        """The bounds that a plan gives; what is under way stays counted."""
        self.weights = {cell.name: cell.weight for cell in plan.cells.values()}
        self.pool = ReservedPool(self.most_open, plan.policy.reserved, self.weights)
        self.writes.whole = sum(self.weights.values())
        for name, unit in units.items():
            if name in self.weights:
                self.pool.change(name, unit.open)
                unit.gate.adaptive.bound(self.pool.most(name))
        self.rates.set({t.name: t.rate_per_s for t in plan.tenants.values()})

    def refusal(self, unit: ActiveCell, tenant: TenantSpec, kind: RequestClass, guest: bool) -> str | None:
        """Why a request is not let in, or None. A `guest` has fallen back on this cell."""
        gate = unit.gate
        if guest and gate.open >= SPARE * gate.adaptive.limit:
            return "no_spare"
        if tenant.most_open and self.of_tenant.get(tenant.name, 0) >= tenant.most_open:
            return "tenant_open"
        if unit.name in self.weights and not self.pool.fits(unit.name):
            return "cell_open"
        if kind.is_write and (why := self.writes.refusal(unit.name, 1.0)):
            return f"writes_{why}"
        return gate.refusal(tenant.name, self.priority[kind.name])

    def _weight(self, unit: ActiveCell) -> float:
        return self.weights.get(unit.name, 1.0)

    def wait_us(self, unit: ActiveCell | None, kind: RequestClass) -> int:
        """By when a place should be free: by Little's law a full gate frees one each `place_us / limit`, and
        all that are refused meanwhile want one too."""
        if unit is None:
            return kind.latency_objective_us
        return int(unit.place_us * (1 + unit.gate.open / max(1.0, unit.gate.adaptive.limit)))

    def retry_after_us(self, wait_us: int) -> int:
        """What the client is told, where the settings allow it: spread, so that those refused together do not
        come back together."""
        if not self.limits.retry_after:
            return 0
        spread = int(max(LEAST_WAIT_US, wait_us) * self.random.uniform(0.5, 1.5))
        return min(self.limits.max_retry_after_us or spread, spread)

    def enter(self, unit: ActiveCell, tenant: TenantSpec, home: CellRequestOwner) -> None:
        unit.open += 1
        unit.gate.enter(tenant.name, tenant.weight)
        if unit.name in self.weights:
            self.pool.change(unit.name, 1)
        if home.kind.is_write:
            self.writes.enter(unit.name, self._weight(unit))
        key = (tenant.name, unit.name)
        self.open_of[key] = self.open_of.get(key, 0) + 1
        self.of_tenant[tenant.name] = self.of_tenant.get(tenant.name, 0) + 1

    def leave(self, unit: ActiveCell, home: CellRequestOwner) -> None:
        unit.open -= 1
        unit.gate.leave(home.tenant)
        if home.kind.is_write:
            self.writes.leave(unit.name)
        if unit.name in self.weights:
            self.pool.change(unit.name, -1)
        key = (home.tenant, unit.name)
        self.open_of[key] -= 1
        if not self.open_of[key]:
            del self.open_of[key]
        self.of_tenant[home.tenant] -= 1
        if not self.of_tenant[home.tenant]:
            del self.of_tenant[home.tenant]

    def learn(self, now: int, unit: ActiveCell, kind: RequestClass, late: bool) -> None:
        gate = self.writes if kind.is_write else unit.gate
        gate.adaptive.ended(now, late, kind.latency_objective_us, gate.open)

    def open_in(self, tenant: str, cells: Iterable[str], inside: bool) -> int:
        """A tenant's requests under way in (or outside of) some cells."""
        wanted = set(cells)
        return sum(n for (t, c), n in self.open_of.items() if t == tenant and (c in wanted) is inside)
