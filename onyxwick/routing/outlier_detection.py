"""Outlier detection: which members are ejected, for how long, and how they are readmitted.

Input: successes, failures and missing answers of members (times in microseconds). Output: whether a member
may be sent requests.

Rule: a member is ejected when its failure score, the moving share of failures among its last answers,
reaches a threshold. The ejection lasts for a backoff that doubles with each consecutive ejection. After it,
the member is sent one trial request at a time, and the first success readmits it. At most half of a tier is
ejected for errors, so that a common cause does not empty the tier; a member that gives no answer at all is
always ejected. A member that answers again after it was unresponsive may have restarted, and is warmed up
as if it had (`slow_start`).
"""

from __future__ import annotations

import math

from onyxwick.routing.concurrency_limit import ANSWER_WINDOW_US
from onyxwick.routing.endpoints import MemberRoles
from onyxwick.routing.slow_start import SlowStart
from onyxwick.routing.state import Attempt, MemberRecord
from onyxwick.routing.units import US_PER_S

SAMPLE_WEIGHT = 0.2
"""Weight of one answer in the failure score: two failures in a row eject a member, one does not."""
EJECTION_SCORE = 0.3
"""Failure score, 0 to 1, at which a member is ejected."""
HEALTHY_SCORE = 0.01
"""Failure score below which the backoff is reset."""
MIN_EJECTION_US = 1 * US_PER_S
MAX_EJECTION_US = 8 * US_PER_S
MAX_DOUBLINGS = 10
MAX_EJECTED_SHARE = 0.5
"""Largest share of a tier that is ejected for errors."""
RESET_FAILURE_SHARE = 0.5
"""A reset connection counts as this share of a failure: it is weak evidence against the member behind it."""
RESET_WINDOW_US = 50_000
"""Attempts that are reset within this time were on one connection and count once."""
CERTAIN_EXPECTED_ANSWERS = 3.0
"""Number of expected answers above which the absence of any answer counts as two failures."""


def is_usable(member: MemberRecord, now_us: int) -> bool:
    """Return whether a member is not ejected, or its ejection is over and no trial request is in flight."""
    return not member.ejected or (now_us >= member.ejected_until_us and not member.in_flight)


class OutlierDetector:
    """Tracks the health of the members from the outcomes at one router."""

    def __init__(self, endpoints: MemberRoles, slow_start: SlowStart) -> None:
        self.endpoints = endpoints
        self.slow_start = slow_start

    def record_success(self, member: MemberRecord, now_us: int) -> None:
        """Record an answer of a member, and readmit the member if it was ejected."""
        member.failure_score *= 1 - SAMPLE_WEIGHT
        decay = math.exp((member.last_answer_us - now_us) / ANSWER_WINDOW_US)
        member.recent_answers = member.recent_answers * decay + 1
        member.last_answer_us = now_us
        if member.ejected:
            if member.unresponsive and self.slow_start.warm_share(member, now_us) == 1.0:
                member.warming_since_us = now_us
                member.assumed_restarted = True
            member.ejected = False
            member.unresponsive = False
            member.failure_score = 0.0
        elif member.failure_score < HEALTHY_SCORE:
            member.consecutive_ejections = 0

    def record_failure(
        self, member: MemberRecord | None, amount: float, unresponsive: bool, now_us: int
    ) -> None:
        """Record a failure of a member, and eject the member if its failure score is too high.

        `amount` is the share of the failure that is attributed to it, 0 to 1. The origin is never ejected,
        because no other member can replace it.
        """
        if member is None or member is self.endpoints.origin:
            return
        member.failure_score += SAMPLE_WEIGHT * (amount - member.failure_score)
        if not member.ejected:
            if member.failure_score < EJECTION_SCORE:
                return
            if not unresponsive and self._too_many_ejected(member):
                return
        if not member.ejected or now_us >= member.ejected_until_us:
            self._eject(member, now_us)
        member.unresponsive |= unresponsive

    def _too_many_ejected(self, member: MemberRecord) -> bool:
        tier = self.endpoints.parents if member in self.endpoints.parents else self.endpoints.caches
        return sum(other.ejected for other in tier) + 1 > MAX_EJECTED_SHARE * len(tier)

    @staticmethod
    def _eject(member: MemberRecord, now_us: int) -> None:
        backoff_us = MIN_EJECTION_US << min(member.consecutive_ejections, MAX_DOUBLINGS)
        member.ejected_until_us = now_us + min(MAX_EJECTION_US, backoff_us)
        member.consecutive_ejections += 1
        member.ejected = True

    def record_reset(self, member: MemberRecord, now_us: int) -> None:
        """Record the reset of an attempt at a member; resets of one connection count once."""
        if now_us - member.last_reset_us >= RESET_WINDOW_US:
            self.record_failure(member, RESET_FAILURE_SHARE, False, now_us)
            member.last_reset_us = now_us

    def record_silence(self, member: MemberRecord, since_us: int, now_us: int) -> None:
        """Record that a member has not answered since `since_us`, as one or two failures.

        The more answers a healthy member would have given since then, the more this counts.
        """
        expected = self.expected_answers(member, since_us, now_us)
        failures = 2 if expected > CERTAIN_EXPECTED_ANSWERS else 1
        for _ in range(failures):
            self.record_failure(member, min(1.0, expected / 2), True, now_us)

    def is_unresponsive(self, member: MemberRecord, since_us: int) -> bool:
        """Return whether a member has not answered since `since_us`.

        A parent or the origin counts as unresponsive only if another of them has answered. If none has, the
        origin is slow; ejecting the parents would make the objects that they have cached unavailable until
        long after the origin has recovered.
        """
        if member.last_answer_us >= since_us:
            return False
        if member in self.endpoints.caches:
            return True
        others = (*self.endpoints.parents, self.endpoints.origin)
        return any(
            other is not None and other is not member and other.last_answer_us >= since_us for other in others
        )

    def unresponsive_member(self, attempt: Attempt) -> MemberRecord | None:
        """Return the attempt's member or fill source if unresponsive since the attempt's start, or None."""
        if self.is_unresponsive(attempt.member, attempt.started_us):
            return attempt.member
        source = attempt.fill_source
        return source if source and self.is_unresponsive(source, attempt.started_us) else None

    def expected_answers(self, member: MemberRecord, since_us: int, now_us: int) -> float:
        """Return how many answers a healthy member would have given since `since_us`, at its recent rate."""
        expected = member.recent_answers / ANSWER_WINDOW_US * (now_us - since_us)
        return expected or len(member.in_flight) / 2
