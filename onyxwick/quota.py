"""Rate limits for tenants (token buckets): one tenant's queries or calls cannot slow down another's.

This module does no I/O: callers provide the clock, or the system's monotonic clock is used. Times are in
seconds.
"""

from __future__ import annotations

import time
from collections.abc import Callable

BURST_S = 1.0
"""A full bucket holds the tokens of one second."""
ROUNDING_TOKENS = 1e-6
"""A bucket that lacks less than this has a token: sums of refills are rounded."""
MAX_RETRY_SPREAD_S = 10.0
"""Rejected calls that come at the same time are told times up to this much later than the first one."""


class TokenBucket:
    """A rate limit of `tokens_per_s` tokens per second for one owner, so that no owner can starve another.

    `clock` returns monotonic seconds. A full bucket holds the tokens of `burst_s` seconds.
    """

    def __init__(
        self,
        tokens_per_s: float,
        clock: Callable[[], float] = time.monotonic,
        burst_s: float = BURST_S,
    ) -> None:
        self.tokens_per_s = tokens_per_s
        self.clock = clock
        self.burst_s = burst_s
        self.tokens = tokens_per_s * burst_s
        self.refilled_at_s = clock()
        self._next_retry_s = 0.0
        """When the next rejected call may be repeated, as far as earlier rejected calls were told."""

    def _refill(self) -> None:
        now_s = self.clock()
        new_tokens = (now_s - self.refilled_at_s) * self.tokens_per_s
        self.tokens = min(max(1.0, self.tokens_per_s * self.burst_s), self.tokens + new_tokens)
        self.refilled_at_s = now_s

    def take(self) -> bool:
        """Take one token; returns whether one was available."""
        self._refill()
        if self.tokens < 1 - ROUNDING_TOKENS:
            return False
        self.tokens -= 1
        return True

    def has_tokens(self) -> bool:
        """Return whether there are tokens left, and no debt of earlier charges."""
        self._refill()
        return self.tokens > 0

    def charge(self, tokens: float) -> None:
        """Take tokens for work that is done or begun, also tokens that come later only."""
        self._refill()
        self.tokens -= tokens

    def wait_s(self) -> float:
        """Return the seconds until a token is available; 0 if there is one now."""
        self._refill()
        return max(0.0, (1 - self.tokens) / self.tokens_per_s)

    def debt_s(self) -> float:
        """Return the seconds until earlier charges are paid; 0 if there is no debt."""
        self._refill()
        return max(0.0, -self.tokens / self.tokens_per_s)

    def retry_after_s(self) -> float:
        """Return the seconds after which a call that was rejected finds a token.

        Each call that is rejected meanwhile is told a later time, as it takes a token of its own.
        """
        now_s = self.clock()
        first_s = now_s + self.wait_s()
        retry_s = min(max(first_s, self._next_retry_s), first_s + MAX_RETRY_SPREAD_S)
        self._next_retry_s = retry_s + 1 / self.tokens_per_s
        return retry_s - now_s
