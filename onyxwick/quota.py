"""Token buckets: a rate with a bounded burst. Times in seconds."""

from __future__ import annotations

import time
from collections.abc import Callable

BURST_S = 1.0
"""Burst size: seconds of the rate that a full bucket holds."""


class TokenBucket:
    """A rate of `per_s`, counted for one owner alone, so that none can starve another.

    `clock` gives seconds that never go back.
    """

    def __init__(self, per_s: float, clock: Callable[[], float] = time.monotonic) -> None:
        self.per_s = per_s
        self.clock = clock
        self.tokens = per_s * BURST_S
        self.refilled_at_s = clock()

    def _refill(self) -> None:
        now_s = self.clock()
        gained = (now_s - self.refilled_at_s) * self.per_s
        self.tokens = min(max(1.0, self.per_s * BURST_S), self.tokens + gained)
        self.refilled_at_s = now_s

    def take(self) -> bool:
        """Take a token; False where there is none."""
        self._refill()
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def wait_s(self) -> float:
        """Seconds until the next token."""
        self._refill()
        return max(0.0, (1 - self.tokens) / self.per_s)
