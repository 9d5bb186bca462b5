"""The clock that decisions use, and the conversion of wall-clock timestamps from outside to this clock.

Deadlines, windows, delays and ages use `steady_us`: the wall-clock time in Unix microseconds at the start of
the process, advanced by the monotonic clock alone, so that a step of the wall clock has no effect. Timestamps
that leave the process (files, logs, the distribution feed) use `wall_us`.

See docs/design/clocks.md.
"""

from __future__ import annotations

import time
from collections import deque
from dataclasses import dataclass, field

US_PER_S = 1_000_000
MAX_FEED_DELAY_US = 7 * US_PER_S
"""The feed announces every event within this time after it happens."""
MAX_REMEMBERED_STARTS = 16_384
"""Number of caches whose starts are remembered; the oldest is forgotten, and read again with its next row."""
REMEMBERED_DELAYS = 8
"""Number of the most recent purges whose delays between timestamp and receipt are remembered."""


def wall_us() -> int:
    """Return the system's wall clock in Unix microseconds. It may be stepped forward or back at any time."""
    return time.time_ns() // 1000


class SteadyClock:
    """A clock in Unix microseconds that advances with the monotonic clock.

    The difference of two readings is the real time between them.
    """

    def __init__(self) -> None:
        self.offset_us = wall_us() - time.monotonic_ns() // 1000
        """Steady minus monotonic time, for files that another process on the same machine reads."""

    def __call__(self) -> int:
        """Return the current steady time in Unix microseconds."""
        return self.offset_us + time.monotonic_ns() // 1000


steady_us = SteadyClock()
"""The clock of this process, anchored at its start."""


@dataclass(slots=True)
class _KnownStart:
    timestamp_us: int
    """Start time by the feed's clock."""
    started_at_us: int
    """The same start, converted to steady time."""


@dataclass(slots=True)
class FeedTimestamps:
    """Converts the timestamps of one feed to steady time. Does no I/O; all times are in microseconds.

    The feed's clock and the clock of this process may differ, because either was stepped: this one before the
    start, the feed's at any time. A converted time may be too late, which costs freshness or slows a ramp. It
    is never too early, which would admit an outdated copy or too many requests. The rules are:

    - The newest timestamp known at the start is converted to the time of the start: this clock cannot be
      further ahead of the feed's clock than that conversion assumes.
    - The least of the last few delays between a timestamp and its receipt is added to each timestamp.
    - An event of a live feed is no older than the last heartbeat at which no event was outstanding.
    - No event lies in the future.
    """

    caught_up_at_us: int | None = None
    """Steady time at which the feed last reported that no event is outstanding; None before it is live."""
    _initial_offset_us: int = 0  # upper bound of steady time minus feed time
    _delays_us: deque[int] = field(default_factory=lambda: deque(maxlen=REMEMBERED_DELAYS))
    _starts: dict[str, _KnownStart] = field(default_factory=dict)  # by cache id

    def set_newest_known(self, newest_us: int, now_us: int) -> None:
        """Record the newest timestamp known at the start, before any timestamp is converted."""
        self._initial_offset_us = now_us - newest_us
        self._delays_us.append(now_us - newest_us)

    def mark_caught_up(self, now_us: int) -> None:
        """Record that the feed has no event outstanding: all events that it announces later happen later."""
        self.caught_up_at_us = now_us

    def purge_time_us(self, timestamp_us: int, now_us: int) -> int:
        """Return the steady time at which a purge was made that has just been received."""
        if self.caught_up_at_us is None:
            return min(now_us, timestamp_us + self._offset_us())
        self._delays_us.append(now_us - timestamp_us)
        purged_at_us = min(now_us, timestamp_us + self._offset_us())
        return max(purged_at_us, min(now_us, self.caught_up_at_us))

    def start_time_us(self, cache: str, timestamp_us: int, now_us: int) -> int:
        """Return the steady time at which a listed cache started, or 0 if it started long ago.

        The same timestamp of a cache always gives the same time.
        """
        if timestamp_us <= 0:
            return 0
        known = self._starts.get(cache)
        if known is not None and known.timestamp_us == timestamp_us:
            return known.started_at_us
        started_at_us = min(now_us, timestamp_us + self._offset_us())
        if self.caught_up_at_us is not None:
            if started_at_us < self.caught_up_at_us - MAX_FEED_DELAY_US:
                # The feed would have announced such an old start long ago, so the clocks differ.
                started_at_us = now_us
            elif not self._delays_us:
                # No delay is known that would show by how much the clocks differ.
                started_at_us = max(started_at_us, min(now_us, self.caught_up_at_us))
        if len(self._starts) >= MAX_REMEMBERED_STARTS:
            del self._starts[next(iter(self._starts))]
        self._starts[cache] = _KnownStart(timestamp_us, started_at_us)
        return started_at_us

    def forget(self, cache: str) -> None:
        """Forget the start of a cache that was removed from the list."""
        self._starts.pop(cache, None)

    def forget_all_except(self, caches: set[str]) -> None:
        """Forget the starts of all caches that a complete list, just received, does not contain."""
        for cache in [name for name in self._starts if name not in caches]:
            del self._starts[cache]

    def _offset_us(self) -> int:
        """Return the offset that is added to each timestamp.

        Before the feed is live, all timestamps come from the configuration, which was written at one moment.
        Later the feed's clock may be stepped, and no event is taken as earlier than its timestamp.
        """
        if self.caught_up_at_us is None:
            return self._initial_offset_us
        return max(0, min(self._delays_us, default=0))
