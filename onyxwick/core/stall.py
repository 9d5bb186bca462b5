"""Since when nothing may have been read: after a long turn of the loop, or a stop of the process. No I/O.

What is read right after such a stall may have come at any time in it: its time runs from the stall's begin.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

STALL_S = 0.1
"""A gap between two turns from which on it counts, well under the slack of the time told to a server."""
AFTERMATH_TICKS = 5
"""After a stall until which what is read may have come in it: a socket that was readable at the wake is read
two turns of the loop later, and each turn has one tick at most."""


MOST_STALLS = 16
"""Remembered at once: those that follow each other closely."""


@dataclass(slots=True)
class _Stall:
    began: float
    ticks_left: int = AFTERMATH_TICKS


class StallWatch:
    """Told of turns of the loop, at least every `STALL_S` while all is well. Times in monotonic seconds."""

    def __init__(self, now: float) -> None:
        self.last_turn = now
        self.stalls = 0  # so far
        self._recent: deque[_Stall] = deque(maxlen=MOST_STALLS)  # oldest first

    def turn(self, now: float) -> float:
        """Since when what is read now may have stood unread; `now` where there was no stall."""
        if now - self.last_turn > STALL_S:
            self._recent.append(_Stall(self.last_turn))
            self.stalls += 1
        self.last_turn = now
        return self._recent[0].began if self._recent else now

    def tick(self, now: float) -> None:
        """The same, by a timer of the loop's own: once a turn of it at most."""
        self.turn(now)
        for stall in self._recent:
            stall.ticks_left -= 1
        while self._recent and self._recent[0].ticks_left <= 0:
            self._recent.popleft()
