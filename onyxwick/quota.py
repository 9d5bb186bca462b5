"""Token buckets: so many a second, with so much saved up."""

from __future__ import annotations

import time
from collections.abc import Callable

BURST_S = 1.0  # of its quota that a bucket can save up


class TokenBucket:
    """So many a second, counted for one owner alone: none can starve another.

    `clock` gives seconds that never go back.
    """

    def __init__(self, per_s: float, clock: Callable[[], float] = time.monotonic) -> None:
        self.per_s, self.clock = per_s, clock
        self.tokens, self.refilled_at_s = per_s * BURST_S, clock()

    def _fill(self) -> None:
        now = self.clock()
        self.tokens = min(
            max(1.0, self.per_s * BURST_S), self.tokens + (now - self.refilled_at_s) * self.per_s
        )
        self.refilled_at_s = now

    def take(self) -> bool:
        self._fill()
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def wait_s(self) -> float:
        """Seconds until the next one can be taken."""
        self._fill()
        return max(0.0, (1 - self.tokens) / self.per_s)
