"""Retries: whether a request is attempted again, and its final answer if it is not.

Input: a request with its attempts, the idempotency of its class, and the limits. Output: whether to retry;
otherwise the final answer, which is a rejection with a Retry-After (microseconds) or a failure.

Rule: a request that may have been executed is repeated only if its class allows it. A request is rejected
only if its client may safely repeat it; otherwise it fails. A retry budget (Google SRE book, "Handling
Overload") limits all retries and hedged requests to a share of the requests, so that retries cannot amplify
an overload.
"""

from __future__ import annotations

import random

from onyxwick.interface import Idempotency, KeyScope, RequestClass, RouterSettings
from onyxwick.routing.state import RequestState

RETRIES_PER_REQUEST = 0.2
FLEET_BURST_TOKENS = 60.0
"""Retry tokens that all routers together may accumulate."""
MIN_BURST_TOKENS = 4.0
"""Retry tokens that one router may accumulate, whatever the number of routers."""
KEY_WINDOW_MARGIN_TICKS = 2


class RetryBudget:
    """Token bucket for retries: each request adds part of a token, each retry or hedged request takes one."""

    def __init__(self, router_count: int) -> None:
        self.max_tokens = max(MIN_BURST_TOKENS, FLEET_BURST_TOKENS / router_count)
        self.tokens = self.max_tokens
        self.reserve = 1.0
        """Share, 0 to 1, of the permitted attempts after a request's first that may be used
        (`RetryReserveChanged`)."""

    def scale(self, share: float) -> None:
        """Reduce a new budget to this share of the director's budget, which several routers divide."""
        self.max_tokens = max(MIN_BURST_TOKENS, self.max_tokens * share)
        self.tokens = self.max_tokens

    def add_request(self) -> None:
        """Add the part of a token that one request contributes."""
        self.tokens = min(self.max_tokens, self.tokens + RETRIES_PER_REQUEST * self.reserve)

    def has_token(self) -> bool:
        """Return whether a token is left for a retry or a hedged request."""
        return self.tokens >= 1.0

    def take_token(self) -> None:
        """Take the token of a retry or a hedged request."""
        self.tokens -= 1.0

    @property
    def is_full_reserve(self) -> bool:
        """Whether hedged requests are allowed, and stale copies may be served while they are revalidated."""
        return self.reserve >= 1


class RetryPolicy:
    """Decides between a retry and the final answer of a request."""

    def __init__(self, settings: RouterSettings, budget: RetryBudget) -> None:
        self.limits = settings.limits
        self.tick_us = settings.tick_us
        self.budget = budget

    def has_time(self, request: RequestState, now_us: int) -> bool:
        """Return whether there is time for an attempt before the client's deadline."""
        return request.deadline_us - now_us > self.tick_us

    def has_attempts_left(self, request: RequestState) -> bool:
        """Return whether the limits allow one more attempt.

        A lookup (an attempt without a fill) that missed does not count against the retry reserve.
        """
        max_attempts = self.limits.max_attempts
        if len(request.attempts) >= max_attempts:
            return False
        reserved = 1 + int((max_attempts - 1) * self.budget.reserve)
        return sum(not attempt.missed for attempt in request.attempts) < reserved

    def may_retry(self, request: RequestState, now_us: int) -> bool:
        """Return whether a request whose attempts have failed may be retried, and a token is left for it."""
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
        """Return whether a request may be rejected, that is, whether its client may safely repeat it."""
        request_class = request.request_class
        if request_class.idempotency is Idempotency.IDEMPOTENT or _has_fleet_wide_key(request_class):
            return True
        return request.possibly_executed is None and not request.any_in_flight

    def retry_after_us(self, request_class: RequestClass, rng: random.Random) -> int:
        """Return a rejected client's retry delay, with jitter so that clients do not all retry at once.

        The delay is in microseconds; 0 means that no delay is given.
        """
        delay_us = 0
        if self.limits.retry_after:
            delay_us = min(self.limits.max_retry_after_us, request_class.latency_objective_us)
        return int(delay_us * rng.uniform(0.5, 1))


def _has_fleet_wide_key(request_class: RequestClass) -> bool:
    """Return whether every cache recognises the retry of a request by its idempotency key."""
    keyed = request_class.idempotency is Idempotency.WITH_KEY
    return keyed and request_class.key_scope is KeyScope.ALL
