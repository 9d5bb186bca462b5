"""Outlier detection: which members are ejected, for how long, and what readmits them.

Input: successes, failures and silences of members (times in microseconds). Output: whether a member may be
sent requests.

Rule: a failure score, the moving share of failures among a member's last answers, ejects it over a
threshold. The ejection lasts a backoff that doubles with each consecutive ejection; then one trial request
at a time goes to it, and the first success readmits it. No more than half of a tier is ejected for errors,
so that a common cause does not empty it; a member that gives no answer at all is always ejected. One that
comes back from silence may have restarted, and is warmed up as if it had (`slow_start`).
"""

from __future__ import annotations

import math

from onyxwick.routing.concurrency_limit import ANSWER_WINDOW_US
from onyxwick.routing.endpoints import MemberRoles
from onyxwick.routing.slow_start import SlowStart
from onyxwick.routing.state import Attempt, MemberRecord
from onyxwick.routing.units import US_PER_S

SAMPLE_WEIGHT = 0.2
"""Of one answer in the failure score: two failures in a row eject, one does not."""
EJECTION_SCORE = 0.3
"""Failure score, 0 to 1, at which a member is ejected."""
HEALTHY_SCORE = 0.01
"""Under it the backoff starts anew."""
MIN_EJECTION_US = 1 * US_PER_S
MAX_EJECTION_US = 8 * US_PER_S
MAX_DOUBLINGS = 10
MAX_EJECTED_SHARE = 0.5
"""Of a tier, for errors."""
RESET_AMOUNT = 0.5
"""Of a failure: a connection that was reset is weak evidence against the member behind it."""
RESET_WINDOW_US = 50_000
"""Attempts reset within this time were on one connection and count once."""
CERTAIN_ANSWERS = 3.0
"""Expected answers over which a silence counts as two failures."""


def is_usable(member: MemberRecord, now_us: int) -> bool:
    """Whether a member is not ejected, or its ejection is over and no trial request is in flight."""
    return not member.ejected or (now_us >= member.ejected_until_us and not member.in_flight)


class OutlierDetector:
    """The health of the members as one router sees it."""

    def __init__(self, endpoints: MemberRoles, slow_start: SlowStart) -> None:
        self.endpoints = endpoints
        self.slow_start = slow_start

    def record_success(self, member: MemberRecord, now_us: int) -> None:
        """A member has answered; it is readmitted if it was ejected."""
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
        """A member has failed. `amount`: how much of the failure is attributed to it, 0 to 1.

        The origin is never ejected, as nothing can take its place.
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
        """An attempt at a member was reset; resets of one connection count once."""
        if now_us - member.last_reset_us >= RESET_WINDOW_US:
            self.record_failure(member, RESET_AMOUNT, False, now_us)
            member.last_reset_us = now_us

    def record_silence(self, member: MemberRecord, since_us: int, now_us: int) -> None:
        """A member has not answered since then; weighs as much as answers were to be expected."""
        expected = self.expected_answers(member, since_us, now_us)
        failures = 2 if expected > CERTAIN_ANSWERS else 1
        for _ in range(failures):
            self.record_failure(member, min(1.0, expected / 2), True, now_us)

    def is_unresponsive(self, member: MemberRecord, since_us: int) -> bool:
        """Whether a member has not answered since then.

        Of parents and the origin: only if another of them has. If none has, the origin is slow; to eject the
        parents would make what they hold unavailable until long after the origin has recovered.
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
        """The member or fill source of an attempt that has not answered since it was started, if any."""
        if self.is_unresponsive(attempt.member, attempt.started_us):
            return attempt.member
        source = attempt.fill_source
        return source if source and self.is_unresponsive(source, attempt.started_us) else None

    def expected_answers(self, member: MemberRecord, since_us: int, now_us: int) -> float:
        """How many answers a healthy member would have given since then, by its recent rate."""
        expected = member.recent_answers / ANSWER_WINDOW_US * (now_us - since_us)
        return expected or len(member.in_flight) / 2
