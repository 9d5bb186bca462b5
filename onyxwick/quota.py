"""Token buckets: rate limits with a bounded burst. Times are in seconds."""

from __future__ import annotations

import time
from collections.abc import Callable

MAX_DEBT_S = 10.0
"""Work that is charged after it is done may use up the tokens of this many seconds ahead."""
BURST_S = 1.0
"""Burst size: a full bucket holds the tokens of this many seconds at the configured rate."""


class TokenBucket:
    """A rate limit of `tokens_per_s` tokens per second for one owner, so that no owner can starve another.

    `clock` returns monotonic seconds.
    """

    def __init__(self, tokens_per_s: float, clock: Callable[[], float] = time.monotonic) -> None:
        self.tokens_per_s = tokens_per_s
        self.clock = clock
        self.tokens = tokens_per_s * BURST_S
        self.refilled_at_s = clock()

    def _refill(self) -> None:
        now_s = self.clock()
        new_tokens = (now_s - self.refilled_at_s) * self.tokens_per_s
        self.tokens = min(max(1.0, self.tokens_per_s * BURST_S), self.tokens + new_tokens)
        self.refilled_at_s = now_s

    def take(self) -> bool:
        """Take a token and return True, or return False if there is none."""
        self._refill()
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def charge(self, tokens: float) -> None:
        """Take tokens for work that is done or begun, also tokens that come later only."""
        self._refill()
        self.tokens = max(-MAX_DEBT_S * self.tokens_per_s, self.tokens - tokens)

    def wait_s(self) -> float:
        """Return the seconds until a token is available; 0 if there is one now."""
        self._refill()
        return max(0.0, (1 - self.tokens) / self.tokens_per_s)
