"""The clock that decisions read, and how wall-clock timestamps from outside are converted to it.

Deadlines, windows, delays and ages read `steady_us`: microseconds on the Unix scale as the wall clock stood
when the process started, advanced by the monotonic clock alone, so that a step of the wall clock changes
nothing. Timestamps that leave the process (files, logs, the distribution feed) read `wall_us`.

See docs/design/clocks.md.
"""

from __future__ import annotations

import time
from collections import deque
from dataclasses import dataclass, field

US_PER_S = 1_000_000
MAX_FEED_DELAY_US = 7 * US_PER_S
"""The feed announces every event within this time."""
REMEMBERED_DELAYS = 8
"""Number of purges whose delays are remembered."""


def wall_us() -> int:
    """The system's wall clock in Unix microseconds; it may be stepped either way at any time."""
    return time.time_ns() // 1000


class SteadyClock:
    """Unix microseconds that advance with the monotonic clock: spans between two readings are real time."""

    def __init__(self) -> None:
        self.offset_us = wall_us() - time.monotonic_ns() // 1000
        """Steady minus monotonic time, for files that another process of the same machine reads."""

    def __call__(self) -> int:
        """The time now."""
        return self.offset_us + time.monotonic_ns() // 1000


steady_us = SteadyClock()
"""The clock of this process, anchored at its start."""


@dataclass(slots=True)
class _KnownStart:
    timestamp_us: int
    """As the feed gave it."""
    started_at_us: int
    """The steady time it was converted to."""


@dataclass(slots=True)
class FeedTimestamps:
    """Converts the timestamps of one feed to steady time. No I/O; all times in microseconds.

    The feed's clock and this process's may differ, by a step before the start or by one at the feed. A
    converted time may be too late, which costs freshness or a slower ramp, but never too early, which would
    let an outdated copy or too many requests pass:

    - the newest timestamp known at the start counts as that moment: the clocks cannot differ by more;
    - the least delay between a timestamp and its receipt, over the last few, is added to timestamps;
    - an event of a live feed is no older than the last heartbeat that left nothing outstanding;
    - nothing lies in the future.
    """

    caught_up_at_us: int | None = None
    """When the feed last reported nothing outstanding; None before it is live."""
    _initial_offset_us: int = 0  # upper bound of the offset from the feed's clock to this one
    _delays_us: deque[int] = field(default_factory=lambda: deque(maxlen=REMEMBERED_DELAYS))
    _starts: dict[str, _KnownStart] = field(default_factory=dict)  # by cache

    def anchor(self, newest_us: int, now_us: int) -> None:
        """Take the newest timestamp of all known at the start; before any of them is converted."""
        self._initial_offset_us = now_us - newest_us
        self._delays_us.append(now_us - newest_us)

    def mark_caught_up(self, now_us: int) -> None:
        """The feed has nothing outstanding: what it announces next happens after this."""
        self.caught_up_at_us = now_us

    def purge_time_us(self, timestamp_us: int, now_us: int) -> int:
        """When a purge that was just received was made."""
        if self.caught_up_at_us is None:
            return min(now_us, timestamp_us + self._offset_us())
        self._delays_us.append(now_us - timestamp_us)
        purged_at_us = min(now_us, timestamp_us + self._offset_us())
        return max(purged_at_us, min(now_us, self.caught_up_at_us))

    def start_time_us(self, cache: str, timestamp_us: int, now_us: int) -> int:
        """When a listed cache started; 0: long ago. The same timestamp always gives the same time."""
        if timestamp_us <= 0:
            return 0
        known = self._starts.get(cache)
        if known is not None and known.timestamp_us == timestamp_us:
            return known.started_at_us
        started_at_us = min(now_us, timestamp_us + self._offset_us())
        if self.caught_up_at_us is not None:
            if started_at_us < self.caught_up_at_us - MAX_FEED_DELAY_US:
                # The list would have announced it long ago: the clocks differ.
                started_at_us = now_us
            elif not self._delays_us:
                # Nothing shows by how much the clocks differ.
                started_at_us = max(started_at_us, min(now_us, self.caught_up_at_us))
        self._starts[cache] = _KnownStart(timestamp_us, started_at_us)
        return started_at_us

    def forget(self, cache: str) -> None:
        """A cache was removed from the list."""
        self._starts.pop(cache, None)

    def keep_only(self, caches: set[str]) -> None:
        """A complete list was received: forget the caches that it does not name."""
        for cache in [name for name in self._starts if name not in caches]:
            del self._starts[cache]

    def _offset_us(self) -> int:
        """What is added to a timestamp.

        Before the feed is live, all timestamps come from the configuration of one moment. Later the feed's
        clock may be stepped, and no event counts as earlier than its timestamp.
        """
        if self.caught_up_at_us is None:
            return self._initial_offset_us
        return max(0, min(self._delays_us, default=0))
