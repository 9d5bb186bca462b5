"""Derives why a router chose a member or gave up a request, from its state right after the decision.

The module takes a router between two calls of `handle` and one of its actions or requests. It returns a
`DecisionReason` and the router's estimates of the chosen member. It reads the router's rules and open
requests and does not duplicate their formulas. The reason is the most likely one, because a router does not
record the candidates that it skipped.
"""

from __future__ import annotations

from onyxwick.interface import ForwardRequest, ForwardWithFill, Idempotency
from onyxwick.routing import Router
from onyxwick.routing.state import MemberRecord, RequestState
from onyxwick.trace.model import DecisionReason
from onyxwick.trace.recorder import MemberEstimate

MAX_EXPLAINED_CACHES = 64
"""If there are more caches than this, those before the chosen one are not examined, because examining them
takes time on each attempt."""


def member_estimate(router: Router, action: ForwardRequest | ForwardWithFill) -> MemberEstimate:
    """Return the router's estimates of the member that an action names, and why it was chosen.

    Returns a default estimate if the member is not in the endpoint list.
    """
    member = router.endpoints.members.get(action.member)
    if member is None:
        return MemberEstimate()
    request = router.requests.get(action.request_id)
    in_flight_before = len(member.in_flight) - 1
    return MemberEstimate(
        int(choice_reason(router, request, member)),
        max(0, in_flight_before),
        member.limit_factor,
        member.failure_score,
        router.slow_start.warm_share(member, router.now_us),
    )


def choice_reason(router: Router, request: RequestState | None, member: MemberRecord) -> DecisionReason:
    """Return why an attempt of a request was sent to a member."""
    if request is None:
        return DecisionReason.UNKNOWN
    caches = router.endpoints.caches
    if member not in caches:
        return DecisionReason.CACHES_BYPASSED
    if any(attempt.hedged for attempt in request.attempts):
        return DecisionReason.HEDGED
    if len(caches) > MAX_EXPLAINED_CACHES:
        return DecisionReason.OTHERS_TRIED if len(request.attempts) > 1 else DecisionReason.UNKNOWN
    order = router.cache_selector.order(request.arrival)
    position = order.index(member)
    if position == 0:
        return DecisionReason.HOME_CACHE
    passed_over = _passed_over_reason(router, request, order[:position])
    if passed_over is not None:
        return passed_over
    return DecisionReason.ALTERNATED if position == 1 else DecisionReason.UNKNOWN


def _passed_over_reason(
    router: Router, request: RequestState, before: list[MemberRecord]
) -> DecisionReason | None:
    """Return why the caches that precede the chosen one in the request's order were skipped.

    None if each of them could have been chosen."""
    tried = [attempt.member for attempt in request.attempts[:-1] if not attempt.missed]
    if any(cache in tried for cache in before):
        return DecisionReason.OTHERS_TRIED
    if any(cache.ejected for cache in before):
        return DecisionReason.OTHERS_EJECTED
    now_us = router.now_us
    request_class = request.request_class
    transfer_us = router.latency.transfer[request_class.name].mean_us
    if any(not router.slow_start.admits(cache, transfer_us, now_us) for cache in before):
        return DecisionReason.OTHERS_WARMING_UP
    if any(not router.concurrency_limit.admits(cache, request_class, now_us) for cache in before):
        return DecisionReason.OTHERS_AT_LIMIT
    return None


def final_answer_reason(router: Router, request: RequestState | None, now_us: int) -> DecisionReason:
    """Return why a router gave up a request. `request` is its state from when it was still open."""
    if request is None:
        return DecisionReason.UNKNOWN
    if not router.retry_policy.has_time(request, now_us):
        return DecisionReason.NO_TIME
    if len(request.attempts) >= router.settings.limits.max_attempts:
        return DecisionReason.ATTEMPTS_EXHAUSTED
    not_idempotent = request.request_class.idempotency is not Idempotency.IDEMPOTENT
    if request.possibly_executed is not None and not_idempotent:
        return DecisionReason.POSSIBLY_EXECUTED
    last = request.attempts[-1] if request.attempts else None
    if last is not None and last.missed:
        return DecisionReason.NO_FILL_SOURCE
    if last is not None and not router.retry_budget.has_token():
        return DecisionReason.RETRY_BUDGET_EMPTY
    return DecisionReason.NO_CACHE
