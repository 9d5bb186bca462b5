"""Retries: whether a request is attempted again, and how it ends otherwise.

Input: a request with its attempts, its class's idempotency, the limits. Output: retry or not; the final
answer, rejected with a Retry-After (microseconds) or failed.

Rule: a request that may have been executed is repeated only if its class allows it; a request is rejected
only if its client may safely repeat it, else it has failed. A retry budget (Google SRE book, "Handling
Overload") bounds all retries and hedged requests to a share of the requests, so that retries cannot amplify
an overload.
"""

from __future__ import annotations

import random

from onyxwick.interface import Idempotency, KeyScope, RequestClass, RouterSettings
from onyxwick.routing.state import RequestState

RETRIES_PER_REQUEST = 0.2
FLEET_BURST = 60.0
"""Retries that all routers together may save up."""
MIN_BURST = 4.0
"""Retries that one router may save up, however many there are."""
KEY_WINDOW_MARGIN_TICKS = 2


class RetryBudget:
    """Tokens for retries: each request adds part of one, each retry or hedged request takes one."""

    def __init__(self, router_count: int) -> None:
        self.max_tokens = max(MIN_BURST, FLEET_BURST / router_count)
        self.tokens = self.max_tokens
        self.reserve = 1.0
        """How much may be spent beyond one attempt a request, 0 to 1 (`RetryReserveChanged`)."""

    def scale(self, share: float) -> None:
        """Cut a new budget to a share of the director's, where several routers divide it."""
        self.max_tokens = max(MIN_BURST, self.max_tokens * share)
        self.tokens = self.max_tokens

    def add_request(self) -> None:
        """Earn part of a token."""
        self.tokens = min(self.max_tokens, self.tokens + RETRIES_PER_REQUEST * self.reserve)

    def has_token(self) -> bool:
        """Whether a retry can be paid for."""
        return self.tokens >= 1.0

    def take_token(self) -> None:
        """Pay for a retry."""
        self.tokens -= 1.0

    @property
    def is_full_reserve(self) -> bool:
        """Whether hedging and other extras are allowed."""
        return self.reserve >= 1


class RetryPolicy:
    """Retry or final answer."""

    def __init__(self, settings: RouterSettings, budget: RetryBudget) -> None:
        self.limits = settings.limits
        self.tick_us = settings.tick_us
        self.budget = budget

    def has_time(self, request: RequestState, now_us: int) -> bool:
        """Whether there is time for an attempt before the client's deadline."""
        return request.deadline_us - now_us > self.tick_us

    def has_attempts_left(self, request: RequestState) -> bool:
        """Whether the limits allow one more attempt.

        A lookup, an attempt without a fill, that missed does not count against the retry reserve.
        """
        max_attempts = self.limits.max_attempts
        if len(request.attempts) >= max_attempts:
            return False
        reserved = 1 + int((max_attempts - 1) * self.budget.reserve)
        return sum(not attempt.missed for attempt in request.attempts) < reserved

    def may_retry(self, request: RequestState, now_us: int) -> bool:
        """Whether a request whose attempts have failed may be attempted again, and can be paid for."""
        executed = request.possibly_executed
        request_class = request.request_class
        if executed is not None and request_class.idempotency is not Idempotency.IDEMPOTENT:
            if not _has_fleet_wide_key(request_class):
                return False
            margin_us = KEY_WINDOW_MARGIN_TICKS * self.tick_us
            if now_us - executed.started_us >= request_class.key_window_us - margin_us:
                return False
        return self.budget.has_token()

    def may_reject(self, request: RequestState) -> bool:
        """Whether a request may be rejected: its client may repeat it with no harm."""
        request_class = request.request_class
        if request_class.idempotency is Idempotency.IDEMPOTENT or _has_fleet_wide_key(request_class):
            return True
        return request.possibly_executed is None and not request.any_in_flight

    def retry_after_us(self, request_class: RequestClass, rng: random.Random) -> int:
        """When a rejected client is to come again, with jitter so that not all come at once; 0: no time."""
        delay_us = 0
        if self.limits.retry_after:
            delay_us = min(self.limits.max_retry_after_us, request_class.latency_objective_us)
        return int(delay_us * rng.uniform(0.5, 1))


def _has_fleet_wide_key(request_class: RequestClass) -> bool:
    """Whether every cache recognises the retry of a request by its idempotency key."""
    keyed = request_class.idempotency is Idempotency.WITH_KEY
    return keyed and request_class.key_scope is KeyScope.ALL
