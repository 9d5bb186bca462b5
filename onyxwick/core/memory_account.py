"""The account of the memory that a director holds for its clients and caches, and what is released at limits.

Each buffer and table that the other side of a connection can fill is counted here by its kind, in bytes that
are really held: the capacity of buffers, and an amount for the objects around them. Limits of one connection,
request or reply do not bound their sum; this account does. It has two thresholds, each with one action:

- above `RECLAIM_SHARE` of the limit, memory is released until `RECLAIMED_SHARE` is reached: first what can
  still be answered in another way, then holders that have stopped, with what they are owed;
- requests are rejected above the limit, and large answers that would pass it are answered as failed.

This module does no I/O. Sizes are bytes, times monotonic seconds. Model: the overload manager of Envoy.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

from onyxwick.counters import Counters

RECLAIM_SHARE = 0.75
RECLAIMED_SHARE = 0.55
"""A reclaim goes well below its threshold, so that it is needed rarely."""
PROGRESS_GRACE_S = 0.25
"""A holder that grew within this time makes progress, and is released after those that do not."""
RECLAIM_RETRY_S = 0.05
"""After a reclaim that did not release enough, the next one waits for this time."""
MIN_RELEASED_BYTES = 4096
"""Holders of fewer bytes are not released: their end would gain little."""
DEFAULT_LIMIT_BYTES = 48_000_000


class HeldKind(Enum):
    """What memory is held for. The values are parts of metric names and log fields, and must not change."""

    CLIENT_INPUT = "client_input"
    """Receive buffers of clients' connections, and requests that are not complete."""
    CLIENT_OUTPUT = "client_output"
    """Answers that clients have not read."""
    CACHE_INPUT = "cache_input"
    """Receive buffers of connections to caches, and the copies made of complete replies."""
    CACHE_OUTPUT = "cache_output"
    """Commands that are not yet sent to a cache."""
    REQUESTS = "requests"
    """Open requests with their bodies."""
    FEED = "feed"
    """The receive buffer of the feed."""


class HeldBytes:
    """The bytes held for one kind. Whoever holds them adds and subtracts."""

    __slots__ = ("held_bytes",)

    def __init__(self) -> None:
        self.held_bytes = 0


@dataclass(frozen=True, slots=True)
class Releasable:
    """Memory that one holder would release."""

    release: Callable[[float], None]
    """Releases the memory at a monotonic time in seconds, and logs the reason."""
    kind: HeldKind
    size_bytes: int
    progress_at_s: float
    """When the holder last made progress."""
    opened_at_s: float
    ends_answers: bool = False
    """Whether the release leaves requests without an answer, so that it comes after all others."""


class MemoryAccount:
    """The bytes held by kind, their limit, and the holders that can be released.

    `sources` are called for what can be released at a time. `measures` are called for the bytes of kinds that
    are not counted in `held`.
    """

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES, counters: Counters | None = None) -> None:
        self.limit_bytes = limit_bytes
        self.counters = counters or Counters()
        self.held = {kind: HeldBytes() for kind in HeldKind}
        self.measures: dict[HeldKind, Callable[[], int]] = {}
        self.sources: list[Callable[[float], Iterable[Releasable]]] = []
        self.peak_bytes = 0
        self.process_bytes = 0  # memory of the process at the last look of the memory monitor
        self._counted = tuple(self.held.values())
        self._reclaim_at_bytes = int(limit_bytes * RECLAIM_SHARE)
        self._reclaimed_bytes = int(limit_bytes * RECLAIMED_SHARE)
        self._insufficient_at_s = 0.0  # when a reclaim last did not release enough

    def total_bytes(self) -> int:
        """Return the bytes held for all kinds."""
        total = 0
        for each in self._counted:
            total += each.held_bytes
        for measure in self.measures.values():
            total += measure()
        if total > self.peak_bytes:
            self.peak_bytes = total
        return total

    def by_kind(self) -> dict[str, int]:
        """Return the bytes held for each kind, by the kind's name in metrics and logs."""
        measured = {kind: measure() for kind, measure in self.measures.items()}
        return {kind.value: held.held_bytes + measured.get(kind, 0) for kind, held in self.held.items()}

    def is_above_reclaim_threshold(self) -> bool:
        """Return whether holders without progress are released, and large ones are given nothing more."""
        return self.total_bytes() > self._reclaim_at_bytes

    def has_room(self, now_s: float, added_bytes: int = 0) -> bool:
        """Return whether the total stays within the limit with more bytes, once memory has been released."""
        limit_bytes = self.limit_bytes - added_bytes
        if self.total_bytes() <= limit_bytes:
            return True
        self.reclaim(now_s)
        return self.total_bytes() <= limit_bytes

    def reclaim(self, now_s: float) -> None:
        """Release holders until the total is well below the threshold; do nothing while it is not reached."""
        total = self.total_bytes()
        if total <= self._reclaim_at_bytes or now_s - self._insufficient_at_s < RECLAIM_RETRY_S:
            return
        candidates = [each for source in self.sources for each in source(now_s)]
        candidates.sort(key=lambda each: _release_order(each, now_s))
        for each in candidates:
            if total <= self._reclaimed_bytes:
                return
            total -= each.size_bytes
            self.counters.add(f"memory.released.{each.kind.value}")
            each.release(now_s)
        if total > self._reclaim_at_bytes:
            self._insufficient_at_s = now_s
            self.counters.add("memory.not_released")


def _release_order(releasable: Releasable, now_s: float) -> tuple[bool, bool, int, float]:
    """Sort what loses no answer first, then holders without progress, then the largest, then the newest."""
    makes_progress = now_s - releasable.progress_at_s < PROGRESS_GRACE_S
    return releasable.ends_answers, makes_progress, -releasable.size_bytes, -releasable.opened_at_s
