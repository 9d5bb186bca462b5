"""A place as the latest seconds show it, and whether that looks like its loss. Times are in microseconds."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from onyxwick.sites.member_evidence import AttemptEvidence, PlaceEvidence

MIN_TRIED_MEMBERS = 3  # from which a place may be judged, or all of fewer
MIN_FAILURE_WEIGHT = 2.0  # one failure of a single parent is not a lost hub
MIN_SILENT_FAILURE_WEIGHT = 3.0  # where nothing but silence was met: slow members are silent, too
WAITING = "waiting"
CONCLUSIVE_KINDS = (
    AttemptEvidence.REFUSED.value,
    AttemptEvidence.UNREACHABLE.value,
)  # a member that is merely slow does not fail like this


@dataclass(frozen=True, slots=True)
class PlaceObservation:
    """Counts of a place's members, and since when nothing of it has answered."""

    tried: int = 0
    unreachable: int = 0
    known: int = 0  # members on the endpoint list
    answered_us: int = 0
    unreachable_since_us: int = 0  # 0: none is unreachable
    evidence_counts: tuple[tuple[str, int], ...] = ()  # of the unreachable ones, by kind
    failure_weight: float = 0.0  # of the unreachable ones' failures since they last answered

    @property
    def is_mostly_unreachable(self) -> bool:
        """Whether two thirds of the tried members are unreachable, with enough failures to judge by."""
        required = MIN_SILENT_FAILURE_WEIGHT if self.is_only_silent else MIN_FAILURE_WEIGHT
        if self.failure_weight < required:
            return False
        enough_tried = self.tried >= min(MIN_TRIED_MEMBERS, self.known)
        return enough_tried and self.unreachable > 0 and 3 * self.unreachable >= 2 * self.tried

    @property
    def is_only_silent(self) -> bool:
        """Whether its members accept connections and do not answer, as slow ones do."""
        return all(kind not in CONCLUSIVE_KINDS for kind, _ in self.evidence_counts)

    def cause(self) -> str:
        """The kinds of failure, for operators."""
        return ", ".join(f"{count} {kind}" for kind, count in self.evidence_counts) or "nothing seen"


def observe_place(place: PlaceEvidence, now: int) -> PlaceObservation:
    """The observation of a place at `now` (us)."""
    tried = [member for member in place.members.values() if member.was_tried(now)]
    known = len(place.members)
    unreachable = [] if place.rules_out_loss(now) else [m for m in tried if m.is_unreachable(now)]
    if not unreachable:
        return PlaceObservation(len(tried), 0, known, place.answered_us)
    kinds = Counter(member.evidence.value if member.has_failed else WAITING for member in unreachable)
    # Many attempts are in flight at a busy place: some wait since before its last answer.
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
