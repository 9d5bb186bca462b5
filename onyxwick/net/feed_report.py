"""Reports what happens on the coordinator's connection to `core/feed_freshness.py`, in steady time.

Bytes that are read right after a stall of the process may have waited since its start, so they count from
there.
"""

from __future__ import annotations

import time

from onyxwick.core import RequestEngine

US_PER_S = 1e6


class FeedReport:
    """The reports of one feed. `connecting` is called before each connection."""

    def __init__(self, core: RequestEngine) -> None:
        self.core = core
        self.freshness = core.freshness
        self._is_joined = False
        self._received_at_us = 0  # when bytes were last received

    def connecting(self) -> None:
        """Begin a new connection, or a race of several."""
        self._is_joined = False
        self._received_at_us = 0

    def connected(self) -> None:
        """Record that a connection is established on both sides."""
        self.freshness.on_connected(self.core.now())

    def received(self) -> None:
        """Record that the connection has bytes to read."""
        since_us = self._unread_since_us()
        if not self._is_joined:
            self._is_joined = True
            self.freshness.on_joined(self.core.now())
        self._received_at_us = self.core.now()
        self.freshness.on_input(since_us)

    def applied_lines(self, has_partial_line: bool) -> None:
        """Record that all complete lines are applied, and whether a part of the next one is received."""
        self.freshness.on_input_applied(self.core.now())
        if has_partial_line:
            self.freshness.on_input(self._received_at_us)

    def announced(self, index: int, applied_index: int) -> None:
        """Record the feed's last index, and the index up to which events are applied."""
        self.freshness.on_announced(index, applied_index, self.core.now())

    def applied(self, index: int) -> None:
        """Record that events are applied or skipped up to an index."""
        self.core.feed.record_feed_index(index)
        self.freshness.on_applied(index, self.core.now())

    def lost(self, error: Exception, was_closed: bool) -> None:
        """Record that the connection failed, or that none could be established.

        `was_closed`: its end was noticed at once. A connection that fell silent may have missed events since
        its last bytes.
        """
        now_us = self.core.now()
        if isinstance(error, ConnectionRefusedError):
            self.freshness.on_refused(now_us)
            return
        heard_at_us = self._unread_since_us() if was_closed else self._received_at_us
        self.freshness.on_lost(heard_at_us, repr(error), now_us)

    def _unread_since_us(self) -> int:
        """Return the time since which bytes that are read now may have waited."""
        now_s = time.monotonic()
        waited_s = now_s - self.core.stalls.observe(now_s)
        return self.core.now() - int(waited_s * US_PER_S)
