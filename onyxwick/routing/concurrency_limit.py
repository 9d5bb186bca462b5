"""Adaptive concurrency limit: how many attempts of this router may use a member at once.

Input: the member's capacity (concurrent transfers), the number of routers that share it, the latency
objective of the request's class (microseconds) and whether past answers were late. Output: whether an
attempt is admitted, and a learned factor on the limit.

Rule: n transfers that share a link take n times as long, so the limit is the largest number of transfers
with which an answer still meets its objective. Classes with a short objective therefore get a lower limit
than classes with a long objective, and the least valuable work is shed first. The factor follows additive
increase, multiplicative decrease (Chiu and Jain 1989): it grows with answers in time, shrinks with late
answers, and settles where one answer in fifteen is late. It grows only while at least half of the limit is
in use (as RFC 7661 requires of a congestion window), because an answer from an idle member says nothing
about the limit.
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
"""The limit is this share of the transfers that can use a link at once and still meet the latency
objective."""
INCREASE_PER_ANSWER = 0.005
LATE_MULTIPLIER = 0.93
"""A member's limit factor is multiplied by this after a late answer. Together with `INCREASE_PER_ANSWER` it
sets the share of late answers at which the factor settles."""
FAILED_MULTIPLIER = 0.8
"""A member's limit factor is multiplied by this after a failed fill or a rejection, which used the member's
capacity in vain."""
MIN_FACTOR = 0.02
MAX_FACTOR = 2.0
MIN_INCREASE_SCALE = 0.3
"""The step by which an answer in time raises the limit factor shrinks in proportion to the factor, but not
below this share of the full step."""
MIN_USED_SHARE = 0.5
"""An answer raises the limit factor only if at least this share of the limit is in use when it is
received."""

ANSWER_WINDOW_US = 4 * US_PER_S
REFERENCE_ANSWERS_PER_S = 12.0
"""Rate of a member's answers for which the steps of its limit factor are sized; at a lower rate, steps are
larger."""
MAX_FAILED_STEPS = 3.0
"""Largest number of steps by which one failed fill or rejection lowers the limit factor, so that it at most
halves the factor."""

UTILISATION_WINDOW_US = 2 * US_PER_S
LOW_UTILISATION = 0.5
"""The full burst allowance is granted while the mean number of attempts in flight is at most this share of
the limit."""

LATE_SHARE_WEIGHT = 0.2
OVERLOADED_LATE_SHARE = 0.25
"""If more than this share of a member's answers is late, a timeout is taken as overload and not as a lost
answer."""


def is_overloaded(member: MemberRecord) -> bool:
    """Return whether so many of a member's answers are late that it must be overloaded."""
    return member.late_share > OVERLOADED_LATE_SHARE


class ConcurrencyLimit:
    """Admits attempts to members and learns from the outcomes."""

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
        """Return whether one more attempt of this class may use a member now."""
        transfer_us = self.latency.transfer[request_class.name].mean_us
        stretched_objective_us = (
            request_class.latency_objective_us + request_class.latency_objective_stretch * transfer_us
        )
        routers: float
        if member is self.endpoints.origin:
            if request_class.is_write:
                return True  # Writes are few and the most valuable, and only the origin can execute them.
            routers = self.zone_router_count
            transfers = self._origin_transfers()
        else:
            routers = self.capacity.sharing_routers(member)
            transfers = self.capacity.transfers(member)
        warm_share = self.slow_start.warm_share(member, now_us)
        limit = USABLE_SHARE * (stretched_objective_us / transfer_us) * transfers * warm_share / routers
        burst = self._burst_allowance(member, limit, routers, now_us)
        limit = member.limit_factor * (limit + burst)
        member.concurrency_limit = limit
        if limit >= 1:
            return len(member.in_flight) < limit
        # If the limit is below 1, attempts run one at a time, with such pauses that the mean number in flight
        # is the limit.
        pause_us = member.last_attempt_latency_us * (1 / limit - 1)
        return not member.in_flight and now_us >= member.last_attempt_ended_us + pause_us

    def _origin_transfers(self) -> float:
        """Return the capacity assumed for the origin, which is not known: that of all caches of the zone."""
        transfers = self.capacity.transfers
        return max(1.0, sum(transfers(cache) for cache in self.endpoints.caches))

    @staticmethod
    def _burst_allowance(member: MemberRecord, limit: float, routers: float, now_us: int) -> float:
        """Return how many transfers may be used beyond this router's part of the limit.

        A part is small and its use varies by chance, so one standard deviation is added. The allowance
        shrinks as the mean use of the part rises, because routers that all exceeded their parts at once
        would overload the member.
        """
        in_flight = len(member.in_flight)
        decay = math.exp((member.mean_in_flight_at_us - now_us) / UTILISATION_WINDOW_US)
        member.mean_in_flight += (1 - decay) * (in_flight - member.mean_in_flight)
        member.mean_in_flight_at_us = now_us
        allowance_share = 1.0
        if limit > 0:
            allowance_share = min(1.0, max(0.0, (1 - member.mean_in_flight / limit) / (1 - LOW_UTILISATION)))
        return allowance_share * min(math.sqrt(limit) + 1, math.sqrt(routers - 1))

    def record_outcome(self, member: MemberRecord, late: bool, failed: bool = False) -> None:
        """Adjust a member's limit factor after an answer.

        `failed` means that the answer is a rejection or a failed fill, which counts as late.
        """
        answers = member.recent_answers + 1
        steps = max(1.0, REFERENCE_ANSWERS_PER_S * ANSWER_WINDOW_US / US_PER_S / answers)
        if not failed:
            member.late_share += LATE_SHARE_WEIGHT * (late - member.late_share)
        factor = member.limit_factor
        if late and failed:
            factor *= FAILED_MULTIPLIER ** min(steps, MAX_FAILED_STEPS)
        elif late:
            factor *= LATE_MULTIPLIER**steps
        elif len(member.in_flight) + 1 >= MIN_USED_SHARE * member.concurrency_limit:
            factor += INCREASE_PER_ANSWER * steps * min(1.0, max(factor, MIN_INCREASE_SCALE))
        member.limit_factor = max(MIN_FACTOR, min(MAX_FACTOR, factor))
