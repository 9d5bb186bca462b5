"""What one director has seen of each place, by kind of failure. Events and time in, signs out; no I/O.

A member is *dark* when it has failed since it last answered: a connection refused or that never came up, time
that ran out in silence, two resets, or an attempt out for longer than `overdue` with nothing heard since.
What answers, however late or with whatever refusal, is not dark: a slow or full site is no lost one. Nobody's
word is believed beyond what was seen within a few seconds.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from onyxwick.interface import AttemptEnded, AttemptStatus

S = 1_000_000
OBSERVATION_WINDOW_US = 5 * S  # for which what was seen of a member counts
OVERDUE_US = 700_000  # without a sign of life: more than any sound answer takes, its connect included
DEFAULT_CONNECT_TIMEOUT_US = (
    400_000  # a connection that takes so long, where the settings give no time for it
)
REFUSED_TIMEOUT_SHARE = 0.8  # of that time: a connect that failed sooner was refused by somebody
MAX_FEED_INTERVAL_US = 1_100_000  # at the most between two words of the list's source
UNREACHABLE_SCORE = 1.0  # score of failures at which a member is dark
MIN_TRIED_MEMBERS = 3  # members tried from which on a place's state may be judged (or all of fewer)
MAX_MEMBERS = 4096  # watched; more are not looked at


class AttemptEvidence(Enum):
    """How an attempt speaks of the machine that it went to. The value: how much of a proof it is."""

    ANSWERED = "answered"
    REFUSED = "refused"  # nobody listens there: the machine is there and its process is not
    UNREACHABLE = "unreached"  # no connection came up: no machine, or no way to it
    RESET = "cut"  # a connection broke
    SILENT = "silent"  # time ran out with nothing heard

    @property
    def weight(self) -> float:
        return 0.5 if self is AttemptEvidence.RESET else 1.0


def classify_attempt(event: AttemptEnded, connect_us: int) -> AttemptEvidence | None:
    """What an ended attempt says of its member; None: nothing."""
    match event.status:
        case AttemptStatus.OK | AttemptStatus.MISS | AttemptStatus.OVERLOADED | AttemptStatus.ERROR:
            return AttemptEvidence.ANSWERED
        case AttemptStatus.CONNECT_FAILED:
            slow = event.latency_us >= REFUSED_TIMEOUT_SHARE * (connect_us or DEFAULT_CONNECT_TIMEOUT_US)
            return AttemptEvidence.UNREACHABLE if slow else AttemptEvidence.REFUSED
        case AttemptStatus.RESET:
            return AttemptEvidence.RESET
        case AttemptStatus.TIMEOUT:
            return AttemptEvidence.SILENT if event.latency_us >= OVERDUE_US else None
    return None


CONCLUSIVE_EVIDENCE = (
    AttemptEvidence.REFUSED.value,
    AttemptEvidence.UNREACHABLE.value,
)  # nobody can be there and that slow


@dataclass(slots=True)
class MemberObservation:
    """What was seen of one member."""

    answered_us: int = 0
    waiting_since_us: int = 0  # since when an attempt is out with nothing heard of the member; 0: none
    attempts_in_flight: int = 0
    failure_score: float = 0.0  # of failures since it last answered
    failed_us: int = 0  # the last of those
    first_failed_us: int = 0  # and the first
    evidence: AttemptEvidence = AttemptEvidence.ANSWERED  # the last one

    def is_unreachable(self, now: int) -> bool:
        if self.failure_score >= UNREACHABLE_SCORE and now - self.failed_us <= OBSERVATION_WINDOW_US:
            return True
        return bool(self.waiting_since_us) and now - self.waiting_since_us > OVERDUE_US

    def unreachable_since_us(self) -> int:
        return (
            min(t for t in (self.first_failed_us, self.waiting_since_us) if t)
            if self.first_failed_us or self.waiting_since_us
            else 0
        )

    def was_tried(self, now: int) -> bool:
        last = max(self.answered_us, self.failed_us)
        return (last > 0 and now - last < OBSERVATION_WINDOW_US) or self.is_unreachable(now)

    def record_sent(self, now: int) -> None:
        self.attempts_in_flight += 1
        self.waiting_since_us = self.waiting_since_us or now

    def record_answer(self, now: int) -> None:
        self.answered_us, self.failure_score, self.first_failed_us, self.failed_us = now, 0.0, 0, 0
        self.waiting_since_us = now if self.attempts_in_flight else 0
        self.evidence = AttemptEvidence.ANSWERED

    def record_failure(self, now: int, kind: AttemptEvidence) -> None:
        if now - self.failed_us > OBSERVATION_WINDOW_US:
            self.failure_score, self.first_failed_us = 0.0, 0
        self.failure_score += kind.weight
        self.first_failed_us = self.first_failed_us or self.waiting_since_us or now
        self.failed_us, self.evidence = now, kind


@dataclass(frozen=True, slots=True)
class PlaceObservation:
    """A place as the latest seconds show it."""

    tried: int = 0
    unreachable: int = 0
    known: int = 0  # members of it on the list
    answered_us: int = 0
    unreachable_since_us: int = 0  # nothing of it has answered since; 0: none is dark
    evidence_counts: tuple[tuple[str, int], ...] = ()  # of the dark ones
    failure_weight: float = 0.0  # failures of the dark ones since they last answered

    @property
    def is_mostly_unreachable(self) -> bool:
        """Two thirds of those tried, and nobody answers (`Place.quiet`). One failure of a single store
        is no lost hub, and silence must have been met more often still."""
        enough = self.tried >= min(MIN_TRIED_MEMBERS, self.known)
        if self.failure_weight < (MIN_TRIED_MEMBERS if self.is_only_silent else 2):
            return False
        return enough and self.unreachable > 0 and 3 * self.unreachable >= 2 * self.tried

    @property
    def is_only_silent(self) -> bool:
        """Do its machines take connections and say nothing? Slow ones do that, too."""
        return all(kind not in CONCLUSIVE_EVIDENCE for kind, _ in self.evidence_counts)

    def cause(self) -> str:
        return ", ".join(f"{n} {kind}" for kind, n in self.evidence_counts) or "nothing seen"


@dataclass(slots=True)
class PlaceEvidence:
    """One site, hub or the archive."""

    members: dict[str, MemberObservation] = field(default_factory=dict)
    answered_us: int = 0
    failed_us: int = 0
    attempts_in_flight: int = 0  # attempts under way

    def rules_out_loss(self, now: int) -> bool:
        """Can nothing of it be dark: it has just answered, or was asked nothing that could tell?"""
        if now - self.answered_us < OVERDUE_US // 2:
            return True
        return not self.attempts_in_flight and now - self.failed_us > OBSERVATION_WINDOW_US


class Evidence:
    """All places of one director. `connect_us`: how long a connection may take to come up."""

    def __init__(self, connect_us: int) -> None:
        self.connect_timeout_us = connect_us
        self.places: dict[str, PlaceEvidence] = {}
        self.place_of: dict[str, str] = {}
        self.feed_received_us = 0  # when the list's source was last heard
        self.recovered_us = 0  # when a pause or a cut of our own last ended

    def set_members(self, rows: Iterable[tuple[str, str]]) -> None:
        """The members that are known now, each with its place; what was seen of the others is forgotten."""
        wanted = dict(list(rows)[:MAX_MEMBERS])
        for member, place in self.place_of.items():
            if wanted.get(member) != place:
                gone = self.places[place].members.pop(member, None)
                self.places[place].attempts_in_flight -= gone.attempts_in_flight if gone is not None else 0
        for member, place in wanted.items():
            self.places.setdefault(place, PlaceEvidence()).members.setdefault(member, MemberObservation())
        self.place_of = wanted

    def forget_member(self, member: str) -> None:
        """Another process under the name: what was seen of the old one says nothing of it."""
        place = self.place_of.get(member)
        if place is not None:
            old = self.places[place].members[member]
            self.places[place].members[member] = MemberObservation(attempts_in_flight=old.attempts_in_flight)

    def _observation_of(self, member: str) -> MemberObservation | None:
        place = self.place_of.get(member)
        return self.places[place].members.get(member) if place is not None else None

    def record_sent(self, now: int, member: str) -> None:
        if (sight := self._observation_of(member)) is not None:
            sight.record_sent(now)
            self.places[self.place_of[member]].attempts_in_flight += 1

    def rules_out_loss(self, now: int, name: str) -> bool:
        place = self.places.get(name)
        return place is None or place.rules_out_loss(now)

    def record_attempt_ended(self, now: int, event: AttemptEnded) -> AttemptEvidence | None:
        sight = self._observation_of(event.member)
        if sight is None:
            return None
        place = self.places[self.place_of[event.member]]
        sight.attempts_in_flight, place.attempts_in_flight = (
            max(0, sight.attempts_in_flight - 1),
            max(0, place.attempts_in_flight - 1),
        )
        kind = classify_attempt(event, self.connect_timeout_us)
        called_off = event.status is AttemptStatus.CANCELLED and event.latency_us >= OVERDUE_US
        if called_off and sight.answered_us < now - event.latency_us:
            kind = (
                AttemptEvidence.SILENT
            )  # for want of patience, and nothing had been heard since it was sent
        if kind is AttemptEvidence.ANSWERED:
            self._record_answer(now, event.member, sight)
        elif kind is not None and now - event.latency_us >= self.recovered_us:
            sight.record_failure(now, kind)
            place.failed_us = now
        if not sight.attempts_in_flight:
            sight.waiting_since_us = 0
        return kind

    def _record_answer(self, now: int, member: str, sight: MemberObservation) -> None:
        sight.record_answer(now)
        self.places[self.place_of[member]].answered_us = now

    def record_fill_source(self, now: int, member: str, answered: bool, took_us: int) -> None:
        """What a box of our own site told of the source of its fill, so long after it was asked."""
        if (sight := self._observation_of(member)) is None:
            return
        if answered:
            self._record_answer(now, member, sight)
        elif now - took_us >= self.recovered_us:
            sight.record_failure(now, AttemptEvidence.UNREACHABLE)
            self.places[self.place_of[member]].failed_us = now

    def record_feed(self, now: int) -> None:
        self.feed_received_us = now

    def discard_failures(self, now: int) -> None:
        """After a pause, or a cut of our own, nothing that failed or waited before its end counts, nor
        does a failure of what was sent before it."""
        self.recovered_us = now
        for place in self.places.values():
            for sight in place.members.values():
                sight.failure_score, sight.first_failed_us, sight.failed_us, sight.waiting_since_us = (
                    0.0,
                    0,
                    0,
                    0,
                )

    def observe(self, now: int, name: str) -> PlaceObservation:
        place = self.places.get(name)
        if place is None:
            return PlaceObservation()
        tried = [s for s in place.members.values() if s.was_tried(now)]
        dark = [] if place.rules_out_loss(now) else [s for s in tried if s.is_unreachable(now)]
        kinds = (
            Counter(["waiting" if s.failure_score < UNREACHABLE_SCORE else s.evidence.value for s in dark])
            if dark
            else {}
        )
        # Many attempts are out at a busy place: some wait since before its last answer.
        since = max(min(s.unreachable_since_us() for s in dark), place.answered_us) if dark else 0
        known = len(place.members)
        proofs = sum(max(1.0, s.failure_score) for s in dark)
        told = tuple(sorted(kinds.items()))
        return PlaceObservation(len(tried), len(dark), known, place.answered_us, since, told, proofs)

    def last_heard_outside_us(self, but: Iterable[str]) -> int:
        """When anything beside some places was last heard, the list's source included."""
        left = set(but)
        heard = [place.answered_us for name, place in self.places.items() if name not in left]
        return max([self.feed_received_us, *heard])

    def is_cut_off(self, now: int, home: str) -> bool:
        """Has nothing outside the own depot been heard since something there failed? Attempts that were out
        at the cut wait since before the last word from there, so that word is believed for as long as the
        list's source may be silent: it speaks once a second, and ends the doubt in a loss not ours."""
        places = [p for n, p in self.places.items() if n != home and not p.rules_out_loss(now)]
        dark = [s for place in places for s in place.members.values() if s.is_unreachable(now)]
        if not dark:
            return False
        heard = self.last_heard_outside_us([home])
        first = min(s.unreachable_since_us() for s in dark)
        last = max(s.failed_us or now for s in dark)
        return last > heard and (heard < first or now - heard > MAX_FEED_INTERVAL_US)
