"""Bounds the open queries of each tenant, so that those that wait for the core leave room for others'."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

MAX_OPEN_OF_TENANT = 128
"""Maximum number of queries of one tenant in progress, a quarter of those of all."""


class OpenQueries:
    """Counts the queries in progress by tenant."""

    def __init__(self) -> None:
        self._open: dict[str, int] = {}

    def has_room(self, tenant: str) -> bool:
        """Return whether one more query of a tenant may be in progress."""
        return self._open.get(tenant, 0) < MAX_OPEN_OF_TENANT

    @contextlib.contextmanager
    def counted(self, tenant: str) -> Iterator[None]:
        """Count a query of a tenant for the time of the block."""
        self._open[tenant] = self._open.get(tenant, 0) + 1
        try:
            yield
        finally:
            self._open[tenant] -= 1
            if not self._open[tenant]:
                del self._open[tenant]
