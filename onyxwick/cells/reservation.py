"""What clients hold at the front: connections, and bytes of answers that nobody reads. Split between cells,
so that clients of one cell's tenants that never read cannot take what the others' need."""

from __future__ import annotations

from collections.abc import Callable

from onyxwick.cells.limits import ReservedPool
from onyxwick.cells.router import CellRouter


class ConnectionReservation:
    """Counts by cell. A tenant counts for the first cell of its home, wherever its objects go."""

    def __init__(self, cells: CellRouter, most_bytes: int, most_clients: int) -> None:
        self.cells, self.most = cells, (most_bytes, most_clients)
        self.plan = cells.plan
        self.bytes, self.clients = self._pools()

    def _pools(self) -> tuple[ReservedPool, ReservedPool]:
        weights = {cell.name: cell.weight for cell in self.plan.cells.values()}
        reserved = self.plan.policy.reserved_share
        return ReservedPool(self.most[0], reserved, weights), ReservedPool(self.most[1], reserved, weights)

    def _renew(self) -> None:
        """Another plan has other cells: what is held stays counted where its cell is still there."""
        if self.plan is not self.cells.plan:
            old, self.plan = (self.bytes, self.clients), self.cells.plan
            self.bytes, self.clients = self._pools()
            for before, after in zip(old, (self.bytes, self.clients), strict=True):
                for name in after.used:
                    after.adjust(name, before.used.get(name, 0.0))

    def cell_of(self, tenant: str | None) -> str | None:
        """None for an unknown tenant, whose requests are refused anyway."""
        self._renew()
        homes = self.cells.membership.placement.cells_of_tenant.get(
            tenant or self.plan.policy.default_tenant or ""
        )
        return homes[0] if homes else None

    def bytes_exhausted(self, cell: str) -> bool:
        """Does this cell's clients' unread answers take all that they may?"""
        return not self.bytes.has_capacity(cell)

    def reserve_bytes(self, cell: str, size: int) -> Callable[[], None]:
        """Count bytes; what is returned gives them back."""
        if cell in self.bytes.used:
            self.bytes.adjust(cell, size)
        return lambda: self._give_back(cell, size)

    def _give_back(self, cell: str, size: int) -> None:
        self._renew()
        if cell in self.bytes.used:
            self.bytes.adjust(cell, -size)

    def connect(self, cell: str) -> bool:
        """Count a connection; False where the cell's clients have all that they may."""
        if not self.clients.has_capacity(cell):
            return False
        self.clients.adjust(cell, 1)
        return True

    def disconnect(self, cell: str) -> None:
        self._renew()
        if cell in self.clients.used:
            self.clients.adjust(cell, -1)
