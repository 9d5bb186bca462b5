"""The interface of all routers, whether they decide themselves or delegate requests to other routers."""

from __future__ import annotations

from typing import Protocol

from onyxwick.interface.actions import Action
from onyxwick.interface.events import Event


class RequestRouter(Protocol):
    """Makes the routing decisions of one director. Has no clock and does no I/O."""

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """Process the events of the time `now` (in microseconds) and return the resulting actions."""
        ...

    def ejected_count(self) -> int:
        """Return the number of members that are currently ejected; used for metrics only."""
        ...
