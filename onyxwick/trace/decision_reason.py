"""Why a router chose a member or gave a request up, derived from its state right after the decision.

Input: a router between two calls of `handle`, and one of its actions or requests. Output: a
`DecisionReason`, and the router's estimates of the chosen member. It reads the router's rules and its open
requests, and repeats none of their formulas. A reason is the most likely one: a router keeps no record of
the candidates it passed over.
"""

from __future__ import annotations

from onyxwick.interface import ForwardRequest, ForwardWithFill, Idempotency
from onyxwick.routing import Router
from onyxwick.routing.state import MemberRecord, RequestState
from onyxwick.trace.model import DecisionReason
from onyxwick.trace.recorder import MemberEstimate

MAX_EXPLAINED_CACHES = 64
"""With more caches the ones before the chosen one are not examined, as that costs time on each attempt."""


def member_estimate(router: Router, action: ForwardRequest | ForwardWithFill) -> MemberEstimate:
    """What the router estimated of the member that an action names, and why it chose that one."""
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
    """Why an attempt of a request went to a member."""
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
    place = order.index(member)
    if place == 0:
        return DecisionReason.HOME_CACHE
    passed_over = _passed_over_reason(router, request, order[:place])
    if passed_over is not None:
        return passed_over
    return DecisionReason.ALTERNATED if place == 1 else DecisionReason.UNKNOWN


def _passed_over_reason(
    router: Router, request: RequestState, before: list[MemberRecord]
) -> DecisionReason | None:
    """Why the caches before the chosen one were passed over; None if each of them could have been chosen."""
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
    """Why a router gave a request up; `request` as it was while it was open."""
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
