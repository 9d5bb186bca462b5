"""A bound on the log: bad input comes as fast as it is refused, and must not fill a disk or take the core."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

MOST_PER_S = 10  # lines of one place in the code


class Throttle(logging.Filter):
    """Passes so many lines a second from each place that logs; the next one tells how many were not."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self.clock = clock
        self.places: dict[tuple[str, int], list[int]] = {}  # [second, passed in it, left out since]

    def filter(self, record: logging.LogRecord) -> bool:
        second = int(self.clock())
        place = self.places.setdefault((record.pathname, record.lineno), [second, 0, 0])
        if place[0] != second:
            place[:2] = second, 0
        place[1] += 1
        if place[1] > MOST_PER_S:
            place[2] += 1
            return False
        if place[2]:
            record.msg, record.args = f"{record.getMessage()} ({place[2]} such lines left out)", ()
            place[2] = 0
        return True
