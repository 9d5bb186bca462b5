"""Slow start: how much work a member that has just started may be sent.

Input: the time since the member's start, the work sent to it within the overload window (transfer time,
microseconds), its capacity and the number of routers that share it. Output: the share of its capacity that
is available (0 to 1), and whether it may be sent one more request.

Rule: the available capacity rises linearly from a start share to 1. The member fails when it is sent more
than a multiple of that capacity over a window, bursts included. Each router stays within its part of a safe
fraction of that budget. A part of less than one request cannot be met by sending less; instead the router
makes single sends, one each time its accumulated part reaches one request. The phases of the routers are
spread by multiples of the golden ratio (Kronecker sequence), so that their single sends do not coincide.
"""

from __future__ import annotations

from dataclasses import dataclass

from onyxwick.interface import RouterSettings, WeightSource
from onyxwick.routing.capacity import INFERRED_CAPACITY_SHARE, CapacityModel
from onyxwick.routing.endpoints import MemberRoles
from onyxwick.routing.latency import LatencyTracker
from onyxwick.routing.rendezvous import exponential_draw
from onyxwick.routing.state import MemberRecord, WarmUpSend
from onyxwick.routing.units import US_PER_S

BUDGET_MARGIN = 0.5
"""A router uses this share of the work that it may send to a member that is warming up, because weights are
approximate and routers are loaded unevenly."""
GOLDEN_RATIO_FRACTION = 0.6180339887
SEND_PHASE_KEY = "turn"
"""Hashed with a member's address, it gives the member's single sends a phase that all routers agree on."""
RESTART_NOTICE_US = 5 * US_PER_S
"""The endpoint list announces a restart within this time."""


@dataclass(frozen=True, slots=True)
class WarmUpCurve:
    """Describes how members of one tier warm up."""

    start_share: float
    """Share of its capacity that a member has when it starts."""
    duration_us: int
    overload_multiple: float
    """A member fails when it is sent more than this multiple of its capacity over the overload window."""

    def sends_until(self, age_us: int, full_budget: float, transfer_us: float) -> float:
        """Return how many sends the budget has allowed since the member's start, as a fractional number.

        Each send is a request whose mean transfer time is `transfer_us`.
        """
        start, duration = self.start_share, self.duration_us
        return full_budget / transfer_us * (start * age_us + (1 - start) * age_us * age_us / (2 * duration))


class SlowStart:
    """Applies the warm-up rule of one router."""

    def __init__(
        self,
        settings: RouterSettings,
        endpoints: MemberRoles,
        capacity: CapacityModel,
        latency: LatencyTracker,
    ) -> None:
        rules = settings.rules
        self.endpoints = endpoints
        self.capacity = capacity
        self.latency = latency
        self.parent_kind = settings.parent_kind
        self.router_index = settings.router_index
        self.window_us = rules.overload_window_us
        inferred = settings.weight_source is WeightSource.NONE
        self.budget_margin = BUDGET_MARGIN * (INFERRED_CAPACITY_SHARE if inferred else 1.0)
        self.cache_curve = WarmUpCurve(rules.warm_up_start_share, rules.warm_up_us, rules.overload_multiple)
        self.parent_curve = WarmUpCurve(
            rules.parent_warm_up_start_share, rules.parent_warm_up_us, rules.parent_overload_multiple
        )

    def _curve(self, member: MemberRecord) -> WarmUpCurve:
        return self.parent_curve if member.info.kind == self.parent_kind else self.cache_curve

    def warm_share(self, member: MemberRecord, now_us: int) -> float:
        """Return the least share of its capacity that a member has now; 1 means that it has warmed up."""
        if not member.warming_since_us:
            return 1.0
        if member.assumed_restarted and now_us - member.warming_since_us > RESTART_NOTICE_US:
            # The list would have announced a restart by now: the member was unresponsive for another reason.
            member.warming_since_us = member.info.started_at_us
            member.assumed_restarted = False
        curve = self._curve(member)
        age_us = now_us - member.warming_since_us
        if member is self.endpoints.origin or not member.warming_since_us or age_us >= curve.duration_us:
            return 1.0
        return curve.start_share + (1 - curve.start_share) * max(0, age_us) / curve.duration_us

    def admits(self, member: MemberRecord, transfer_us: float, now_us: int) -> bool:
        """Return whether this router may send a member one more request of this mean transfer time."""
        share = self.warm_share(member, now_us)
        if share >= 1.0:
            return True
        curve = self._curve(member)
        sends = member.warm_up_sends
        while sends and sends[0].sent_us <= now_us - self.window_us:
            sends.popleft()
        full_budget = (
            self.budget_margin
            * curve.overload_multiple
            * self.capacity.transfers(member)
            / self.capacity.sharing_routers_while_warming(member)
        )
        budget_us = full_budget * share * self.window_us
        used_us = sum(send.transfer_us for send in sends) + transfer_us
        if used_us <= budget_us:
            return True
        longest_us = self.latency.longest_transfer_us()
        if budget_us >= longest_us or used_us > longest_us:
            return False
        return self._single_send_is_due(member, full_budget, longest_us, now_us)

    def _single_send_is_due(
        self, member: MemberRecord, full_budget: float, transfer_us: float, now_us: int
    ) -> bool:
        """Return whether this router's next single send became due within the last overload window."""
        curve = self._curve(member)
        draw = exponential_draw(SEND_PHASE_KEY, member.info.address)
        phase = (self.router_index * GOLDEN_RATIO_FRACTION + draw) % 1.0
        age_us = now_us - member.warming_since_us
        before_us = max(0, age_us - self.window_us)
        sends = int(phase + curve.sends_until(age_us, full_budget, transfer_us))
        return sends > int(phase + curve.sends_until(before_us, full_budget, transfer_us))

    def charge(self, member: MemberRecord, transfer_us: float, now_us: int) -> WarmUpSend | None:
        """Record a request that is sent to a member that is warming up; return None if it has warmed up."""
        if self.warm_share(member, now_us) >= 1.0:
            return None
        send = WarmUpSend(now_us, transfer_us)
        member.warm_up_sends.append(send)
        return send
