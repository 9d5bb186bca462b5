"""Reservation of client connections and unread answer bytes at the front, divided among cells.

Clients of one cell's tenants that never read their answers cannot use up the capacity reserved for another
cell's clients. A tenant counts towards the first of its cells, whichever cell serves its objects.
"""

from __future__ import annotations

from collections.abc import Callable

from onyxwick.cells.limits import ReservedPool
from onyxwick.cells.router import CellRouter


class ConnectionReservation:
    """Counts and limits the connections and unread answer bytes of each cell's clients."""

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
        """Rebuild the pools after a change of the plan, with the use counted for cells that still exist."""
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
        """Return the cell that a tenant counts towards.

        None for an unknown tenant, as its requests are rejected in any case."""
        self._follow_plan()
        name = tenant or self.plan.policy.default_tenant or ""
        cells = self.cells.membership.placement.cells_of_tenant.get(name)
        return cells[0] if cells else None

    def bytes_exhausted(self, cell: str) -> bool:
        """Return whether the unread answers of this cell's clients use all bytes available to the cell."""
        return not self.bytes.has_capacity(cell)

    def reserve_bytes(self, cell: str, size: int) -> Callable[[], None]:
        """Count bytes for a cell and return a function that releases them."""
        if cell in self.bytes.used:
            self.bytes.adjust(cell, size)
        return lambda: self._release_bytes(cell, size)

    def _release_bytes(self, cell: str, size: int) -> None:
        self._follow_plan()
        if cell in self.bytes.used:
            self.bytes.adjust(cell, -size)

    def connect(self, cell: str) -> bool:
        """Count a connection; False if the cell's clients have all connections available to the cell."""
        if not self.clients.has_capacity(cell):
            return False
        self.clients.adjust(cell, 1)
        return True

    def disconnect(self, cell: str) -> None:
        """Release a connection that has ended."""
        self._follow_plan()
        if cell in self.clients.used:
            self.clients.adjust(cell, -1)
