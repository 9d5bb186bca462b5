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
        """Rebuild the pools after a change of the plan, with all use that is counted, of former cells too."""
        if self.plan is self.cells.plan:
            return
        self.plan = self.cells.plan
        self.bytes = self._carry_over(self.bytes, self.max_bytes)
        self.clients = self._carry_over(self.clients, self.max_clients)

    def _carry_over(self, previous: ReservedPool, total: int) -> ReservedPool:
        pool = self._new_pool(total)
        for name, used in previous.used.items():
            if used:
                pool.adjust(name, used)
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
        self._follow_plan()
        return not self.bytes.has_capacity(cell)

    def reserve_bytes(self, cell: str, size: int) -> Callable[[], None]:
        """Count bytes for a cell and return a function that releases them."""
        self._follow_plan()
        self.bytes.adjust(cell, size)
        return lambda: self._release_bytes(cell, size)

    def _release_bytes(self, cell: str, size: int) -> None:
        self._follow_plan()
        self.bytes.adjust(cell, -size)

    def connect(self, cell: str) -> bool:
        """Count a connection; False if the cell's clients have all connections available to the cell."""
        self._follow_plan()
        if not self.clients.has_capacity(cell):
            return False
        self.clients.adjust(cell, 1)
        return True

    def current_cell(self, cell: str, cell_of_call: str) -> str:
        """Return the cell that an open connection counts towards, which is `cell` while the plan has it.

        If the plan has it no more, the connection counts towards the cell of its next call from now on, even
        if that cell is full: a connection that was admitted stays."""
        self._follow_plan()
        if cell in self.plan.cells:
            return cell
        self.clients.adjust(cell, -1)
        self.clients.adjust(cell_of_call, 1)
        return cell_of_call

    def disconnect(self, cell: str) -> None:
        """Release a connection that has ended."""
        self._follow_plan()
        self.clients.adjust(cell, -1)
