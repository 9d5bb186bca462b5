"""Makes requests wait while the director's list is too old to send on, and wakes them once it may be used.

`core/feed_freshness.py` decides; this module keeps the waiting requests and the timer for the end of the
longest wait.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from onyxwick.core.feed_freshness import FeedFreshness
from onyxwick.counters import Counters

US_PER_S = 1e6
MIN_TIMER_US = 1000


class FeedGate:
    """The requests of one director that wait for its feed. `now` returns steady microseconds."""

    def __init__(self, freshness: FeedFreshness, now: Callable[[], int], counters: Counters) -> None:
        self.freshness = freshness
        self.now = now
        self.counters = counters
        self._waiting: list[Callable[[], None]] = []
        self._timer: asyncio.TimerHandle | None = None
        freshness.on_usable = self._open

    def is_open(self) -> bool:
        """Return whether requests may be sent now."""
        return self.freshness.may_send(self.now())

    def call_when_open(self, callback: Callable[[], None]) -> None:
        """Call `callback` once, as soon as requests may be sent."""
        self.counters.add("feed.waited")
        self._waiting.append(callback)
        if self._timer is None:
            self._set_timer()

    def _set_timer(self) -> None:
        now_us = self.now()
        delay_us = max(MIN_TIMER_US, self.freshness.wait_ends_at_us(now_us) - now_us)
        self._timer = asyncio.get_running_loop().call_later(delay_us / US_PER_S, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        if self.is_open():
            self._open()
        elif self._waiting:
            self._set_timer()

    def _open(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        waiting, self._waiting = self._waiting, []
        for callback in waiting:
            callback()
