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
RELEASE_SHARE = 1 / 2
"""Requests that waited go on within this share of the time in which they gathered. All at once, they would
exceed the concurrency limits of caches that can well serve them one after the other."""
MAX_RELEASE_US = 500_000


class FeedGate:
    """The requests of one director that wait for its feed. `now` returns steady microseconds."""

    def __init__(
        self,
        freshness: FeedFreshness,
        now: Callable[[], int],
        counters: Counters,
        read_feed_after_stall: Callable[[], None],
    ) -> None:
        self.freshness = freshness
        self.now = now
        self.counters = counters
        self.read_feed_after_stall = read_feed_after_stall
        self._waiting: list[Callable[[], None]] = []
        self._first_waiting_at_us = 0
        self._timer: asyncio.TimerHandle | None = None
        freshness.on_usable = self._open

    def is_open(self) -> bool:
        """Return whether requests may be sent now."""
        self.read_feed_after_stall()
        return self.freshness.may_send(self.now())

    def call_when_open(self, callback: Callable[[], None]) -> None:
        """Call `callback` once, as soon as requests may be sent."""
        self.counters.add("feed.waited")
        if not self._waiting:
            self._first_waiting_at_us = self.now()
        self._waiting.append(callback)
        if self._timer is None:
            self._set_timer()

    def _set_timer(self) -> None:
        now_us = self.now()
        delay_us = max(MIN_TIMER_US, self.freshness.next_check_at_us() - now_us)
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
        if not waiting:
            return
        gathered_us = self.now() - self._first_waiting_at_us
        step_s = min(MAX_RELEASE_US, int(gathered_us * RELEASE_SHARE)) / len(waiting) / US_PER_S
        loop = asyncio.get_running_loop()
        for place, callback in enumerate(waiting):
            loop.call_later(place * step_s, callback)
