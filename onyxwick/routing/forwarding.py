"""Forwarding: the action that carries out an attempt, with the conditions that a cache must observe.

Input: a request, its attempt and the chosen fill source. Output: the action, with the addresses, the
remaining time (microseconds), the rank at which the cache keeps a copy, the maximum age of a copy that may
answer (microseconds), and the options of the fill.

Rule: a fill may join another fill of the object (coalescing) unless a purge covers the object, because
the other fill may have started before the purge. A stale copy may be served while it is revalidated if the
source has spare capacity.
"""

from __future__ import annotations

from onyxwick.interface import FillOption, ForwardRequest, ForwardWithFill, RouterSettings
from onyxwick.routing.endpoints import MemberRoles
from onyxwick.routing.popularity import BRONZE_RANK
from onyxwick.routing.purge import PurgeTimes
from onyxwick.routing.retry import RetryBudget
from onyxwick.routing.slow_start import SlowStart
from onyxwick.routing.state import Attempt, MemberRecord, RequestState


class ForwardActionBuilder:
    """Builds the action that carries out an attempt."""

    def __init__(
        self,
        settings: RouterSettings,
        endpoints: MemberRoles,
        purges: PurgeTimes,
        slow_start: SlowStart,
        retry_budget: RetryBudget,
    ) -> None:
        self.coalesces_fills = settings.coalesces_fills
        self.endpoints = endpoints
        self.purges = purges
        self.slow_start = slow_start
        self.retry_budget = retry_budget

    def build(
        self, request: RequestState, attempt: Attempt, source: MemberRecord | None, now_us: int
    ) -> ForwardRequest | ForwardWithFill:
        """Build the action for a request's last attempt.

        `source` is the member that a miss is filled from. None means that only a cached copy may answer;
        the attempt's own member means that the request is sent directly to a parent.
        """
        member = attempt.member
        request_id = request.arrival.request_id
        address = member.info.address
        timeout_us = request.deadline_us - now_us
        if member is self.endpoints.origin:
            return ForwardRequest(request_id, address, timeout_us)
        fill_from = source or member
        if source is member and self.endpoints.origin:
            fill_from = self.endpoints.origin  # A parent that is asked directly fills from the origin.
        rank = request.retention_rank if member in self.endpoints.caches else BRONZE_RANK
        allow_stale = len(request.attempts) > 1 or source is None or attempt.cached_only
        max_age_us = self.purges.max_age_us(request, allow_stale, now_us)
        options = FillOption.NONE
        if attempt.fill_source is not None and not request.request_class.is_write:
            options = self._fill_options(request, attempt, attempt.fill_source, now_us)
        fill_address = fill_from.info.address
        return ForwardWithFill(request_id, address, fill_address, rank, timeout_us, max_age_us, options)

    def _fill_options(
        self, request: RequestState, attempt: Attempt, source: MemberRecord, now_us: int
    ) -> FillOption:
        options = FillOption.NONE
        if self.coalesces_fills and self.purges.purged_at_us(request.arrival) is None:
            options |= FillOption.COALESCE
        if attempt.cached_only:
            return options | FillOption.ONLY_IF_CACHED
        if not request.request_class.freshness_lifetime_us or request.retention_rank == BRONZE_RANK:
            return options
        may_revalidate = self.retry_budget.is_full_reserve and not source.ejected
        if may_revalidate and self.slow_start.warm_share(source, now_us) >= 1.0:
            options |= FillOption.STALE_WHILE_REVALIDATE
        return options
