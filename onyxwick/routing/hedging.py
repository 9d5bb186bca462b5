"""Overdue attempts: hedged requests (Dean and Barroso 2013, "The Tail at Scale"), and the cancellation of
attempts at unresponsive members.

Input: an overdue attempt of a request. Output: whether a hedged request may be sent to another cache, and
which attempts at a member that has stopped answering are cancelled and retried.

Rule: an overdue answer from a member whose other answers arrive in time is probably lost. Only idempotent
requests are hedged, once per attempt, at the expense of the retry budget. Attempts at members whose answers
are late are not hedged, because hedging adds to an overload.
"""

from __future__ import annotations

from onyxwick.interface import Idempotency, RouterSettings
from onyxwick.routing.concurrency_limit import is_overloaded
from onyxwick.routing.endpoints import MemberRoles
from onyxwick.routing.latency import LatencyTracker
from onyxwick.routing.retry import RetryBudget
from onyxwick.routing.state import Attempt, RequestState


class HedgingPolicy:
    """Decides whether overdue attempts are hedged or cancelled."""

    def __init__(
        self,
        settings: RouterSettings,
        endpoints: MemberRoles,
        latency: LatencyTracker,
        budget: RetryBudget,
    ) -> None:
        self.limits = settings.limits
        self.endpoints = endpoints
        self.latency = latency
        self.budget = budget

    def may_hedge(self, request: RequestState, attempt: Attempt) -> bool:
        """Return whether an overdue attempt, the only one of its request in flight, may be hedged."""
        if not self.limits.hedging or attempt.hedged:
            return False
        if request.request_class.idempotency is not Idempotency.IDEMPOTENT:
            return False
        if not self.budget.is_full_reserve or not self.budget.has_token():
            return False
        if len(request.attempts) >= self.limits.max_attempts:
            return False
        if sum(other.in_flight for other in request.attempts) != 1:
            return False
        if is_overloaded(attempt.member) or (attempt.fill_source and is_overloaded(attempt.fill_source)):
            return False
        return attempt.member in self.endpoints.caches

    def should_cancel(self, request: RequestState, attempt: Attempt, now_us: int) -> bool:
        """Return whether to cancel an attempt at an unresponsive member and retry it elsewhere."""
        if request.request_class.idempotency is not Idempotency.IDEMPOTENT or attempt.cancelled:
            return False
        mean_us = self.latency.answer[request.request_class.name].mean_us
        return attempt.started_us + mean_us < now_us and self.budget.has_token()
