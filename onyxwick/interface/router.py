"""What every router offers, whether it decides alone or distributes requests among others."""

from __future__ import annotations

from typing import Protocol

from onyxwick.interface.actions import Action
from onyxwick.interface.events import Event


class RequestRouter(Protocol):
    """Decides for one director. Has no clock and does no I/O."""

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """Take the events of the instant `now` (microseconds) and return the actions on them."""
        ...

    def ejected_count(self) -> int:
        """Number of members that are ejected at present; a metric, not a decision."""
        ...
