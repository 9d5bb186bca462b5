"""What clients occupy at the front, divided among cells: connections, and bytes of answers that are not yet
read.

Clients of one cell's tenants that never read cannot use up what another cell's clients need. A tenant counts
for the first of its cells, whichever serves its objects.
"""

from __future__ import annotations

from collections.abc import Callable

from onyxwick.cells.limits import ReservedPool
from onyxwick.cells.router import CellRouter


class ConnectionReservation:
    """The connections and unread bytes of each cell's clients."""

    def __init__(self, cells: CellRouter, max_bytes: int, max_clients: int) -> None:
        self.cells = cells
        self.max_bytes = max_bytes
        self.max_clients = max_clients
        self.plan = cells.plan
        self.bytes = self._new_pool(max_bytes)
        self.clients = self._new_pool(max_clients)

    def _new_pool(self, total: int) -> ReservedPool:
        weights = {cell.name: cell.weight for cell in self.plan.cells.values()}
        return ReservedPool(total, self.plan.policy.reserved_share, weights)

    def _follow_plan(self) -> None:
        """After a change of the plan, what is occupied stays counted where its cell still exists."""
        if self.plan is self.cells.plan:
            return
        self.plan = self.cells.plan
        self.bytes = self._carry_over(self.bytes, self.max_bytes)
        self.clients = self._carry_over(self.clients, self.max_clients)

    def _carry_over(self, previous: ReservedPool, total: int) -> ReservedPool:
        pool = self._new_pool(total)
        for name in pool.used:
            pool.adjust(name, previous.used.get(name, 0.0))
        return pool

    def cell_of(self, tenant: str | None) -> str | None:
        """The cell that a tenant counts for; None for an unknown one, whose requests are rejected anyway."""
        self._follow_plan()
        name = tenant or self.plan.policy.default_tenant or ""
        cells = self.cells.membership.placement.cells_of_tenant.get(name)
        return cells[0] if cells else None

    def bytes_exhausted(self, cell: str) -> bool:
        """Whether the unread answers of this cell's clients use all bytes that they may."""
        return not self.bytes.has_capacity(cell)

    def reserve_bytes(self, cell: str, size: int) -> Callable[[], None]:
        """Count bytes for a cell; the function returned gives them back."""
        if cell in self.bytes.used:
            self.bytes.adjust(cell, size)
        return lambda: self._release_bytes(cell, size)

    def _release_bytes(self, cell: str, size: int) -> None:
        self._follow_plan()
        if cell in self.bytes.used:
            self.bytes.adjust(cell, -size)

    def connect(self, cell: str) -> bool:
        """Count a connection; False where the cell's clients have all that they may."""
        if not self.clients.has_capacity(cell):
            return False
        self.clients.adjust(cell, 1)
        return True

    def disconnect(self, cell: str) -> None:
        """A connection has ended."""
        self._follow_plan()
        if cell in self.clients.used:
            self.clients.adjust(cell, -1)
