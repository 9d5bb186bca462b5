"""Timers of the router: the next recomputation of ranks, and the times at which attempts become overdue.

Input: deadlines (microseconds), each with the action that is due. Output: the deadlines that have passed, in
order of time and, at equal times, in the order in which they were scheduled; and the time at which the
caller must call the router again.
"""

from __future__ import annotations

import heapq
from typing import NamedTuple


class Deadline(NamedTuple):
    """A time at which the router must act. Sorts by time, then by order of scheduling."""

    at_us: int
    sequence: int
    request_id: str
    """Request whose attempt becomes overdue; empty if the ranks are to be recomputed."""
    attempt_index: int


class TimerQueue:
    """Queue of deadlines, earliest first."""

    def __init__(self) -> None:
        self.deadlines: list[Deadline] = []
        self._sequence = 0
        self._wake_up_us = -1

    def schedule(self, at_us: int, now_us: int, request_id: str = "", attempt_index: int = 0) -> None:
        """Schedule a deadline at `at_us`, or just after `now_us` if that is later."""
        self._sequence += 1
        deadline = Deadline(max(at_us, now_us + 1), self._sequence, request_id, attempt_index)
        heapq.heappush(self.deadlines, deadline)

    def pop_due(self, now_us: int) -> Deadline | None:
        """Remove and return the earliest deadline that is not after `now_us`; None if there is none."""
        if self.deadlines and self.deadlines[0].at_us <= now_us:
            return heapq.heappop(self.deadlines)
        return None

    def next_wake_up_us(self, now_us: int) -> int | None:
        """Return when the caller must call the router again; None if the timer set last is early enough."""
        if not self.deadlines:
            return None
        earliest_us = self.deadlines[0].at_us
        if self._wake_up_us > now_us and earliest_us >= self._wake_up_us:
            return None
        self._wake_up_us = earliest_us
        return earliest_us
