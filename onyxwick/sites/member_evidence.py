"""What one director has observed of each member, and which failures make a member unreachable.

A member is *unreachable* if it has failed since its last answer: a connection was refused or never
established, a timeout passed without an answer, two connections were reset, or an attempt has been in
flight for longer than `OVERDUE_US` with nothing received since. A member that answers is reachable,
however late and whatever it answers, because a slow or full site is not lost. An observation counts only
for `OBSERVATION_WINDOW_US`. All times are in microseconds; 0 means never.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from onyxwick.interface import AttemptEnded, AttemptStatus
from onyxwick.sites.model import MICROSECONDS_PER_SECOND

OBSERVATION_WINDOW_US = 5 * MICROSECONDS_PER_SECOND  # how long an observation of a member counts
OVERDUE_US = 700_000  # longer than a healthy member takes to answer, connecting included
DEFAULT_CONNECT_TIMEOUT_US = 400_000  # used if the settings state none
REFUSED_TIMEOUT_SHARE = 0.8  # a connect that failed before this share of the connect timeout was refused
UNREACHABLE_SCORE = 1.0  # failure score from which on a member is unreachable


class AttemptEvidence(Enum):
    """What an ended attempt shows about its member. The values appear in the status report."""

    ANSWERED = "answered"
    REFUSED = "refused"  # nothing listens: the machine is up, but its process is not
    UNREACHABLE = "unreached"  # no connection was established: the machine or the network path is down
    RESET = "cut"  # an established connection broke
    SILENT = "silent"  # a timeout passed without an answer

    @property
    def weight(self) -> float:
        """Return how much this evidence adds to the failure score of a member."""
        return 0.5 if self is AttemptEvidence.RESET else 1.0


def classify_attempt(event: AttemptEnded, connect_timeout_us: int) -> AttemptEvidence | None:
    """Return what an ended attempt shows about its member; None if nothing.

    `connect_timeout_us`: 0 for the default."""
    match event.status:
        case AttemptStatus.OK | AttemptStatus.MISS | AttemptStatus.OVERLOADED | AttemptStatus.ERROR:
            return AttemptEvidence.ANSWERED
        case AttemptStatus.CONNECT_FAILED:
            timeout_us = connect_timeout_us or DEFAULT_CONNECT_TIMEOUT_US
            timed_out = event.latency_us >= REFUSED_TIMEOUT_SHARE * timeout_us
            return AttemptEvidence.UNREACHABLE if timed_out else AttemptEvidence.REFUSED
        case AttemptStatus.RESET:
            return AttemptEvidence.RESET
        case AttemptStatus.TIMEOUT:
            return AttemptEvidence.SILENT if event.latency_us >= OVERDUE_US else None
    return None


@dataclass(slots=True)
class MemberObservation:
    """The observations of one member."""

    answered_us: int = 0
    # Time since which an attempt is in flight and nothing was received; 0: no attempt is in flight.
    waiting_since_us: int = 0
    attempts_in_flight: int = 0
    failure_score: float = 0.0  # sum of the evidence weights of the failures since the last answer
    failed_us: int = 0  # time of the last failure since the last answer
    first_failed_us: int = 0  # time of the first failure since the last answer
    evidence: AttemptEvidence = AttemptEvidence.ANSWERED  # from the last ended attempt

    @property
    def has_failed(self) -> bool:
        """Return whether the failures since its last answer show that the member is unreachable."""
        return self.failure_score >= UNREACHABLE_SCORE

    def is_unreachable(self, now: int) -> bool:
        """Return whether the member has failed recently without an answer since, or an attempt is overdue."""
        if self.has_failed and now - self.failed_us <= OBSERVATION_WINDOW_US:
            return True
        return bool(self.waiting_since_us) and now - self.waiting_since_us > OVERDUE_US

    def unreachable_since_us(self) -> int:
        """Return the earliest time at which the member may have become unreachable.

        0 if it has neither failed nor an attempt in flight."""
        times = [at for at in (self.first_failed_us, self.waiting_since_us) if at]
        return min(times, default=0)

    def was_tried(self, now: int) -> bool:
        """Return whether there is a recent observation of the member."""
        last_us = max(self.answered_us, self.failed_us)
        return (last_us > 0 and now - last_us < OBSERVATION_WINDOW_US) or self.is_unreachable(now)

    def record_sent(self, now: int) -> None:
        """Record that an attempt was sent to the member."""
        self.attempts_in_flight += 1
        self.waiting_since_us = self.waiting_since_us or now

    def record_answer(self, now: int) -> None:
        """Record that the member has answered."""
        self.answered_us = now
        self.failure_score = 0.0
        self.first_failed_us = 0
        self.failed_us = 0
        self.waiting_since_us = now if self.attempts_in_flight else 0
        self.evidence = AttemptEvidence.ANSWERED

    def record_failure(self, now: int, evidence: AttemptEvidence) -> None:
        """Record that an attempt sent to the member has failed."""
        if now - self.failed_us > OBSERVATION_WINDOW_US:
            self.failure_score = 0.0
            self.first_failed_us = 0
        self.failure_score += evidence.weight
        self.first_failed_us = self.first_failed_us or self.waiting_since_us or now
        self.failed_us = now
        self.evidence = evidence

    def discard_failures(self) -> None:
        """Discard everything except the last answer and the number of attempts in flight."""
        self.failure_score = 0.0
        self.first_failed_us = 0
        self.failed_us = 0
        self.waiting_since_us = 0


@dataclass(slots=True)
class PlaceEvidence:
    """The observations of one site or hub, or of the origin."""

    members: dict[str, MemberObservation] = field(default_factory=dict)
    answered_us: int = 0
    failed_us: int = 0
    attempts_in_flight: int = 0

    def rules_out_loss(self, now: int) -> bool:
        """Return whether the place cannot be lost: a member has just answered, or nothing was sent
        recently that could show a failure."""
        if now - self.answered_us < OVERDUE_US // 2:
            return True
        return not self.attempts_in_flight and now - self.failed_us > OBSERVATION_WINDOW_US
