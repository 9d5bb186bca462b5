"""Counts the connections on which the next event of the coordinator's feed was missing, and gives it up."""

from __future__ import annotations

from onyxwick import logs
from onyxwick.counters import Counters
from onyxwick.net.errors import FeedConnectionError

log = logs.get()
MAX_GAP_CONNECTIONS = 4
"""An event that is missing on this many consecutive connections is skipped."""


class MissingEvents:
    """The events that the feed has not sent although it sent or announced later ones."""

    def __init__(self, counters: Counters) -> None:
        self.counters = counters
        self.connections = 0  # consecutive connections on which the next event was missing

    def skip(self, first: int, next_index: int) -> None:
        """Skip the events from `first` up to `next_index`, as the feed must progress.

        Raises FeedConnectionError if they were missing on too few connections for that: a new connection
        requests them again.
        """
        self.connections += 1
        if self.connections < MAX_GAP_CONNECTIONS:
            raise FeedConnectionError(f"the feed is at event {next_index}, expected {first}")
        self.connections = 0
        self.counters.add("error.gap")
        log.error("missing feed events skipped", first=first, next=next_index)
