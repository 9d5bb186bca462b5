"""Adaptive concurrency limit: how many attempts of this router may use a member at once.

Input: the member's capacity (transfers), the routers that share it, the latency objective of the request's
class and whether past answers were late (microseconds). Output: admit or not; a learned factor on the
limit.

Rule: n transfers that share a link take n times as long, so the limit is the number with which an answer
still meets its objective. Classes with a short objective thus get a lower limit than those with a long one,
and the least valuable work is shed first. The factor follows additive increase, multiplicative decrease
(Chiu and Jain 1989): it grows with answers in time, shrinks with late ones, and settles where one answer in
fifteen is late. It grows only while at least half of the limit is in use (as RFC 7661 asks of a congestion
window), for an answer on an idle member proves nothing about the limit.
"""

from __future__ import annotations

import math

from onyxwick.interface import RequestClass, RouterSettings
from onyxwick.routing.capacity import CapacityModel
from onyxwick.routing.endpoints import MemberRoles
from onyxwick.routing.latency import LatencyTracker
from onyxwick.routing.slow_start import SlowStart
from onyxwick.routing.state import MemberRecord
from onyxwick.routing.units import US_PER_S

USABLE_SHARE = 0.9
"""Of the transfers that can share a link and still meet the objective."""
INCREASE_PER_ANSWER = 0.005
LATE_DECREASE = 0.93
"""Left of the factor after one late answer; with the increase it sets the late share that is tolerated."""
FAILED_DECREASE = 0.8
"""Left after a failed fill or a rejection, which cost the member's work for nothing."""
MIN_FACTOR = 0.02
MAX_FACTOR = 2.0
MIN_INCREASE_SCALE = 0.3
"""The increase shrinks in proportion with the factor, down to this part of it."""
MIN_USED_SHARE = 0.5
"""Of the limit in use at an answer, for that answer to raise the factor."""

ANSWER_WINDOW_US = 4 * US_PER_S
REFERENCE_ANSWERS_PER_S = 12.0
"""Rate of answers for which the steps are meant; at a lower rate each step is larger."""
MAX_FAILED_STEPS = 3.0
"""A failed fill halves the limit at most."""

UTILISATION_WINDOW_US = 2 * US_PER_S
LOW_UTILISATION = 0.5
"""Share of the limit in use, on average, up to which all of the burst allowance is lent."""

LATE_SHARE_WEIGHT = 0.2
OVERLOADED_LATE_SHARE = 0.25
"""Share of late answers over which a timeout is taken for overload and not for a lost answer."""


def is_overloaded(member: MemberRecord) -> bool:
    """Whether so many of a member's answers are late that it must be overloaded."""
    return member.late_share > OVERLOADED_LATE_SHARE


class ConcurrencyLimit:
    """Admits attempts to members, and learns from their outcomes."""

    def __init__(
        self,
        settings: RouterSettings,
        endpoints: MemberRoles,
        capacity: CapacityModel,
        slow_start: SlowStart,
        latency: LatencyTracker,
    ) -> None:
        self.zone_router_count = settings.zone_router_count
        self.endpoints = endpoints
        self.capacity = capacity
        self.slow_start = slow_start
        self.latency = latency

    def admits(self, member: MemberRecord, request_class: RequestClass, now_us: int) -> bool:
        """Whether one more attempt of this class may use a member now."""
        transfer_us = self.latency.transfer[request_class.name].mean_us
        stretched_us = (
            request_class.latency_objective_us + request_class.latency_objective_stretch * transfer_us
        )
        routers: float
        if member is self.endpoints.origin:
            if request_class.is_write:
                return True  # few, the most valuable, and nothing else can execute them
            routers = self.zone_router_count
            transfers = self._origin_transfers()
        else:
            routers = self.capacity.sharing_routers(member)
            transfers = self.capacity.transfers(member)
        warm_share = self.slow_start.warm_share(member, now_us)
        limit = USABLE_SHARE * (stretched_us / transfer_us) * transfers * warm_share / routers
        burst = self._burst_allowance(member, limit, routers, now_us)
        limit = member.limit_factor * (limit + burst)
        member.concurrency_limit = limit
        if limit >= 1:
            return len(member.in_flight) < limit
        # Under one attempt: one at a time, with pauses that make the limit the mean number in flight.
        pause_us = member.last_attempt_latency_us * (1 / limit - 1)
        return not member.in_flight and now_us >= member.last_attempt_ended_us + pause_us

    def _origin_transfers(self) -> float:
        """The origin's capacity is not known: as much as that of all caches of the zone."""
        transfers = self.capacity.transfers
        return max(1.0, sum(transfers(cache) for cache in self.endpoints.caches))

    @staticmethod
    def _burst_allowance(member: MemberRecord, limit: float, routers: float, now_us: int) -> float:
        """Transfers that may be used beyond this router's part of the limit.

        A part is small and its use uneven by chance, so one standard deviation is lent on top; less the more
        of the part is in use on average, as routers that all borrowed at once would overload the member.
        """
        in_flight = len(member.in_flight)
        decay = math.exp((member.mean_in_flight_at_us - now_us) / UTILISATION_WINDOW_US)
        member.mean_in_flight += (1 - decay) * (in_flight - member.mean_in_flight)
        member.mean_in_flight_at_us = now_us
        lent_share = 1.0
        if limit > 0:
            lent_share = min(1.0, max(0.0, (1 - member.mean_in_flight / limit) / (1 - LOW_UTILISATION)))
        return lent_share * min(math.sqrt(limit) + 1, math.sqrt(routers - 1))

    def record_outcome(self, member: MemberRecord, late: bool, failed: bool = False) -> None:
        """Learn from one answer. `failed`: a rejection or a fill that failed, which counts as late."""
        answers = member.recent_answers + 1
        steps = max(1.0, REFERENCE_ANSWERS_PER_S * ANSWER_WINDOW_US / US_PER_S / answers)
        if not failed:
            member.late_share += LATE_SHARE_WEIGHT * (late - member.late_share)
        factor = member.limit_factor
        if late and failed:
            factor *= FAILED_DECREASE ** min(steps, MAX_FAILED_STEPS)
        elif late:
            factor *= LATE_DECREASE**steps
        elif len(member.in_flight) + 1 >= MIN_USED_SHARE * member.concurrency_limit:
            factor += INCREASE_PER_ANSWER * steps * min(1.0, max(factor, MIN_INCREASE_SCALE))
        member.limit_factor = max(MIN_FACTOR, min(MAX_FACTOR, factor))
