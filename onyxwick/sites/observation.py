"""The observation of a place over the last few seconds, and whether it indicates a loss. Times are in us."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from onyxwick.sites.member_evidence import AttemptEvidence, PlaceEvidence

MIN_TRIED_MEMBERS = 3  # tried members required to judge a place; all of its members if it has fewer
# Lowest failure weight that indicates a loss; one failure of a single parent does not reach it.
MIN_FAILURE_WEIGHT = 2.0
MIN_SILENT_FAILURE_WEIGHT = 3.0  # the same if silence is the only evidence, as slow members are also silent
WAITING = "waiting"
CONCLUSIVE_KINDS = (
    AttemptEvidence.REFUSED.value,
    AttemptEvidence.UNREACHABLE.value,
)  # kinds of failure that a slow member does not show


@dataclass(frozen=True, slots=True)
class PlaceObservation:
    """Counts of the members of a place, and since when none of them has answered."""

    tried: int = 0
    unreachable: int = 0
    known: int = 0  # members on the endpoint list
    answered_us: int = 0
    unreachable_since_us: int = 0  # 0: no member is unreachable
    evidence_counts: tuple[tuple[str, int], ...] = ()  # number of unreachable members by kind of failure
    failure_weight: float = 0.0  # sum of the unreachable members' failure scores, at least 1 for each

    @property
    def is_mostly_unreachable(self) -> bool:
        """Return whether at least two thirds of the tried members are unreachable, with sufficient
        evidence."""
        required = MIN_SILENT_FAILURE_WEIGHT if self.is_only_silent else MIN_FAILURE_WEIGHT
        if self.failure_weight < required:
            return False
        enough_tried = self.tried >= min(MIN_TRIED_MEMBERS, self.known)
        return enough_tried and self.unreachable > 0 and 3 * self.unreachable >= 2 * self.tried

    @property
    def is_only_silent(self) -> bool:
        """Return whether its unreachable members accept connections but do not answer, as slow members do."""
        return all(kind not in CONCLUSIVE_KINDS for kind, _ in self.evidence_counts)

    def cause(self) -> str:
        """Return the counts of each kind of failure as text for operators."""
        return ", ".join(f"{count} {kind}" for kind, count in self.evidence_counts) or "nothing seen"


def observe_place(place: PlaceEvidence, now: int) -> PlaceObservation:
    """Return the observation of a place at `now` (us)."""
    tried = [member for member in place.members.values() if member.was_tried(now)]
    known = len(place.members)
    unreachable = [] if place.rules_out_loss(now) else [m for m in tried if m.is_unreachable(now)]
    if not unreachable:
        return PlaceObservation(len(tried), 0, known, place.answered_us)
    kinds = Counter(member.evidence.value if member.has_failed else WAITING for member in unreachable)
    # At a busy place many attempts are in flight, and some were sent before its last answer.
    first_us = min(member.unreachable_since_us() for member in unreachable)
    return PlaceObservation(
        tried=len(tried),
        unreachable=len(unreachable),
        known=known,
        answered_us=place.answered_us,
        unreachable_since_us=max(first_us, place.answered_us),
        evidence_counts=tuple(sorted(kinds.items())),
        failure_weight=sum(max(1.0, member.failure_score) for member in unreachable),
    )
