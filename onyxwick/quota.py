"""Token buckets: so many a second, with so much saved up."""

from __future__ import annotations

import time
from collections.abc import Callable

BURST_S = 1.0  # of its quota that a bucket can save up


class Quota:
    """So many a second, counted for one owner alone: none can starve another.

    `clock` gives seconds that never go back.
    """

    def __init__(self, per_s: float, clock: Callable[[], float] = time.monotonic) -> None:
        self.per_s, self.clock = per_s, clock
        self.saved, self.at = per_s * BURST_S, clock()

    def _fill(self) -> None:
        now = self.clock()
        self.saved = min(max(1.0, self.per_s * BURST_S), self.saved + (now - self.at) * self.per_s)
        self.at = now

    def take(self) -> bool:
        self._fill()
        if self.saved < 1:
            return False
        self.saved -= 1
        return True

    def wait_s(self) -> float:
        """Seconds until the next one can be taken."""
        self._fill()
        return max(0.0, (1 - self.saved) / self.per_s)
