"""Detects stalls: long turns of the event loop, and pauses of the process. No I/O.

Input: the monotonic time (seconds) of each turn of the loop. Output: since when nothing may have been read.
Bytes that are read right after a stall may have arrived at any time in it, so their time counts from its
start.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

STALL_S = 0.1
"""The shortest gap between two turns that counts as a stall; well under the
slack that the run-time check of attempts' timeouts allows."""
AFTERMATH_TICKS = 5
"""Ticks after a stall during which bytes that are read may have arrived in it: a socket that was readable at
the end of the stall is read two turns of the loop later, and each turn has one tick at most."""
MAX_STALLS = 16
"""Remembered at once: stalls in close succession."""


@dataclass(slots=True)
class _Stall:
    started_at_s: float
    ticks_left: int = AFTERMATH_TICKS


class StallDetector:
    """Observes the turns of the event loop, at least every `STALL_S` unless there is a stall."""

    def __init__(self, now_s: float) -> None:
        self.last_observed_s = now_s
        self.stall_count = 0
        self._recent: deque[_Stall] = deque(maxlen=MAX_STALLS)  # oldest first

    def observe(self, now_s: float) -> float:
        """Since when (seconds) bytes that are read now may have waited; `now_s` where there was no stall."""
        if now_s - self.last_observed_s > STALL_S:
            self._recent.append(_Stall(self.last_observed_s))
            self.stall_count += 1
        self.last_observed_s = now_s
        return self._recent[0].started_at_s if self._recent else now_s

    def tick(self, now_s: float) -> None:
        """Observe a turn from a timer of the loop: at most once in each turn."""
        self.observe(now_s)
        for stall in self._recent:
            stall.ticks_left -= 1
        while self._recent and self._recent[0].ticks_left <= 0:
            self._recent.popleft()
