"""A tenant's quota of background work: processor time, with times for a repeated call that hold.

Work is admitted while earlier work is paid, and charged before its length is known. What may be done
nevertheless, charged as all else:

- a correction: the first change after an admitted one of the same subject (a zone);
- a repeated call: one that comes after the time that its rejection told.

This module does no I/O. Times are in seconds, processor times in milliseconds.
"""

from __future__ import annotations

import time
from collections.abc import Callable

from onyxwick.quota import TokenBucket
from onyxwick.tenant_errors import TooManyCallsError

MAX_CORRECTIONS = 8
"""Maximum number of subjects whose next change is admitted in debt; the oldest is forgotten."""
MAX_PROMISES = 32
"""Maximum number of subjects with a time at which they may be repeated; as many as a tenant's zones."""
PROMISE_KEPT_S = 60.0
"""How long after its time a repeated call is still admitted in debt."""
MIN_SPACING_S = 0.05
"""Least time between two promised times."""
MS_PER_S = 1000


class WorkQuota:
    """Limits one tenant to `ms_per_s` of processor time in each second.

    Up to `burst_s` seconds of it may be used at once. `clock` returns monotonic seconds.
    """

    def __init__(self, ms_per_s: float, burst_s: float, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.bucket = TokenBucket(ms_per_s, clock, burst_s)
        self._corrections: dict[str, None] = {}
        self._promised_s: dict[str, float] = {}
        """By subject, when a rejected call may be repeated."""

    def admit(self, subject: str, expected_ms: float, queue_s: float | None = None) -> None:
        """Charge work of an expected length, or reject it.

        `queue_s` is how long the tenant's queue stays full, None if it has room. Raises TooManyCallsError,
        whose time is enough to wait for.
        """
        if queue_s is None and self.bucket.has_tokens():
            self._promised_s.pop(subject, None)
            self._allow_correction(subject)
        elif self._is_due(subject):
            del self._promised_s[subject]
            self._allow_correction(subject)
        elif subject in self._corrections:
            del self._corrections[subject]
        else:
            wait_s = max(self.bucket.debt_s(), queue_s or 0.0)
            retry_after_s = self._promise(subject, wait_s, expected_ms)
            raise TooManyCallsError("earlier calls take too long", retry_after_s)
        self.bucket.charge(expected_ms)

    def settle(self, expected_ms: float, spent_ms: float) -> None:
        """Charge what work has taken in place of what was expected."""
        self.bucket.charge(spent_ms - expected_ms)

    def _allow_correction(self, subject: str) -> None:
        self._corrections.pop(subject, None)
        self._corrections[subject] = None
        if len(self._corrections) > MAX_CORRECTIONS:
            del self._corrections[next(iter(self._corrections))]

    def _is_due(self, subject: str) -> bool:
        promised_s = self._promised_s.get(subject)
        return promised_s is not None and promised_s <= self.clock()

    def _promise(self, subject: str, wait_s: float, expected_ms: float) -> float:
        """Return the seconds after which a rejected call is admitted, whatever else is admitted meanwhile."""
        now_s = self.clock()
        self._forget_old_promises(now_s)
        promised_s = self._promised_s.pop(subject, 0.0)
        if promised_s <= now_s:
            last_s = max(self._promised_s.values(), default=0.0)
            spacing_s = max(MIN_SPACING_S, expected_ms / self.bucket.tokens_per_s)
            promised_s = max(now_s + wait_s, last_s + spacing_s)
        if len(self._promised_s) < MAX_PROMISES:
            self._promised_s[subject] = promised_s
        return promised_s - now_s

    def _forget_old_promises(self, now_s: float) -> None:
        old = [name for name, at_s in self._promised_s.items() if at_s + PROMISE_KEPT_S < now_s]
        for name in old:
            del self._promised_s[name]
