"""Since when nothing may have been read: after a long turn of the loop, or a stop of the process. No I/O.

What is read right after such a stall may have come at any time in it: its time runs from the stall's begin.
"""

from __future__ import annotations

STALL_S = 0.1
"""A gap between two turns from which on it counts, well under the slack of the time told to a server."""
AFTERMATH_S = 0.05
"""What is read so long after a stall may have come in it."""


class StallWatch:
    """Told of turns of the loop, at least every `STALL_S` while all is well. Times in monotonic seconds."""

    def __init__(self, now: float) -> None:
        self.last_turn = now
        self.began = self.ended = 0.0  # of the last stall
        self.stalls = 0

    def turn(self, now: float) -> float:
        """Since when what is read now may have stood unread; `now` where there was no stall."""
        if now - self.last_turn > STALL_S:
            self.began, self.ended = self.last_turn, now
            self.stalls += 1
        self.last_turn = now
        return self.began if now - self.ended <= AFTERMATH_S and self.ended else now
