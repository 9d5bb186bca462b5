"""Detects stalls: long turns of the event loop, and pauses of the process.

The detector takes the monotonic time in seconds of each turn of the event loop, and returns the time since
which input may have gone unread. Bytes that are read right after a stall may have arrived at any time during
it, so their time counts from the start of the stall. The detector does no I/O.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

STALL_S = 0.1
"""A gap between two turns longer than this counts as a stall. It is well below the slack that the run-time
check of attempts' timeouts allows."""
POST_STALL_TICKS = 5
"""Number of ticks after a stall in which bytes that are read may have arrived during it. A socket that was
readable at the end of the stall is read two turns of the loop later, and each turn has at most one tick."""
MAX_REMEMBERED_STALLS = 16
"""Largest number of stalls that are remembered at the same time, if they occur in close succession."""


@dataclass(slots=True)
class _Stall:
    started_at_s: float
    ticks_left: int = POST_STALL_TICKS


class StallDetector:
    """Observes the turns of the event loop, which come at least every `STALL_S` unless there is a stall."""

    def __init__(self, now_s: float) -> None:
        self.last_observed_s = now_s
        self.stall_count = 0
        self.stalled_s = 0.0  # length of all stalls
        self._recent: deque[_Stall] = deque(maxlen=MAX_REMEMBERED_STALLS)  # oldest first

    def observe(self, now_s: float) -> float:
        """Record a turn, and return the time since which bytes read now may have waited.

        The result, in monotonic seconds, is `now_s` if there was no recent stall.
        """
        if now_s - self.last_observed_s > STALL_S:
            self._recent.append(_Stall(self.last_observed_s))
            self.stall_count += 1
            self.stalled_s += now_s - self.last_observed_s
        self.last_observed_s = now_s
        return self._recent[0].started_at_s if self._recent else now_s

    def tick(self, now_s: float) -> None:
        """Observe a turn from a timer of the event loop. To be called at most once in each turn."""
        self.observe(now_s)
        for stall in self._recent:
            stall.ticks_left -= 1
        while self._recent and self._recent[0].ticks_left <= 0:
            self._recent.popleft()
