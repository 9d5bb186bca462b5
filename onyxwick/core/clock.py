"""The time that decides, and how stamps of the wall clock that come from outside are turned into it.

Everything that decides (deadlines, windows, waits, ages) reads `steady_us`: microseconds on the Unix scale as
the wall clock stood when the process started, advanced by the monotonic clock alone. A step of the wall clock
changes nothing of it. Stamps that leave the process (files, logs, the distribution feed) read `wall_us`.

See docs/design/clocks.md.
"""

from __future__ import annotations

import time
from collections import deque
from dataclasses import dataclass, field

S_US = 1_000_000
MOST_DELAY_US = 7 * S_US
"""Whatever the feed has to tell is told this long after it happened, at the latest."""
DELAYS_KEPT = 8
"""Purges whose delays are remembered."""


def wall_us() -> int:
    """The system's wall clock in Unix microseconds; it may be stepped either way at any time."""
    return time.time_ns() // 1000


class SteadyClock:
    """Unix microseconds that advance with the monotonic clock: spans between two readings are real time."""

    def __init__(self) -> None:
        self.offset_us = wall_us() - time.monotonic_ns() // 1000
        """Steady less monotonic time, for files that another process of the same machine reads."""

    def __call__(self) -> int:
        """The time now."""
        return self.offset_us + time.monotonic_ns() // 1000


steady_us = SteadyClock()
"""The clock of this process, anchored at its start."""


@dataclass(slots=True)
class FeedStamps:
    """Turns the stamps of one feed into steady time. No I/O; all times in microseconds.

    The feed's clock and this process's anchor may differ, by a step before the start or one at the feed. What
    a purge or a start is taken for may then be too late, which costs freshness or warmth, never too early,
    which would let an outdated copy or too many requests pass:

    - the newest stamp known at the start is taken for that moment: the clocks can't be further apart;
    - the least delay between a stamp and its receipt, over the last few, is added to stamps, for that reason;
    - what comes over a live feed is no older than the last heartbeat that told of nothing outstanding;
    - nothing lies in the future.
    """

    floor_us: int | None = None  # when the feed was last heard with nothing outstanding
    _known_offset_us: int = 0  # from the feed's clock to this one at most, as the known stamps show
    _delays: deque[int] = field(default_factory=lambda: deque(maxlen=DELAYS_KEPT))
    _starts: dict[str, tuple[int, int]] = field(
        default_factory=dict
    )  # cache: its stamp, what it was taken for

    def begin(self, newest_us: int, now: int) -> None:
        """The newest stamp of all that is known at the start; before any of them is turned into a time."""
        self._known_offset_us = now - newest_us
        self._delays.append(now - newest_us)

    def caught_up(self, now: int) -> None:
        """The feed has said that nothing is outstanding: what it tells next happened after this."""
        self.floor_us = now

    def purge(self, stamp_us: int, now: int) -> int:
        """When a purge that was just received was made."""
        if self.floor_us is None:
            return min(now, stamp_us + self._offset())
        self._delays.append(now - stamp_us)
        made = min(now, stamp_us + self._offset())
        return max(made, min(now, self.floor_us))

    def start(self, cache: str, stamp_us: int, now: int) -> int:
        """When a cache started that a list names; 0: long ago. The same stamp gives the same time again."""
        if stamp_us <= 0:
            return 0
        held = self._starts.get(cache)
        if held is not None and held[0] == stamp_us:
            return held[1]
        started = min(now, stamp_us + self._offset())
        if self.floor_us is not None and started < self.floor_us - MOST_DELAY_US:
            started = now  # the list would have told of it long ago: the clocks are apart
        elif self.floor_us is not None and not self._delays:
            started = max(started, min(now, self.floor_us))  # nothing tells how far the clocks are apart
        self._starts[cache] = stamp_us, started
        return started

    def forget(self, cache: str) -> None:
        """A cache has left the list."""
        self._starts.pop(cache, None)

    def keep_only(self, caches: set[str]) -> None:
        """A whole list was received: what it does not name is forgotten."""
        for cache in [name for name in self._starts if name not in caches]:
            del self._starts[cache]

    def _offset(self) -> int:
        """What is added to a stamp: before the feed is live the stamps are all of one moment's configuration,
        later the feed's clock may be stepped, and nothing is taken for earlier than its stamp."""
        if self.floor_us is None:
            return self._known_offset_us
        return max(0, min(self._delays, default=0))
