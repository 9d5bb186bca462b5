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
SEEN_US = 5 * S  # for which what was seen of a member counts
OVERDUE_US = 700_000  # without a sign of life: more than any sound answer takes, its connect included
CONNECT_US = 400_000  # a connection that takes so long, where the settings give no time for it
REFUSED_BELOW = 0.8  # of that time: a connect that failed sooner was refused by somebody
SPEAKS_US = 1_100_000  # at the most between two words of the list's source
DARK = 1.0  # score of failures at which a member is dark
ENOUGH = 3  # members tried from which on a place's state may be judged (or all of fewer)
MOST_MEMBERS = 4096  # watched; more are not looked at


class AttemptEvidence(Enum):
    """How an attempt speaks of the machine that it went to. The value: how much of a proof it is."""

    ANSWERED = "answered"
    REFUSED = "refused"  # nobody listens there: the machine is there and its process is not
    UNREACHED = "unreached"  # no connection came up: no machine, or no way to it
    CUT = "cut"  # a connection broke
    SILENT = "silent"  # time ran out with nothing heard

    @property
    def proof(self) -> float:
        return 0.5 if self is AttemptEvidence.CUT else 1.0


def kind_of(event: AttemptEnded, connect_us: int) -> AttemptEvidence | None:
    """What an ended attempt says of its member; None: nothing."""
    match event.status:
        case AttemptStatus.OK | AttemptStatus.MISS | AttemptStatus.OVERLOADED | AttemptStatus.ERROR:
            return AttemptEvidence.ANSWERED
        case AttemptStatus.CONNECT_FAILED:
            slow = event.latency_us >= REFUSED_BELOW * (connect_us or CONNECT_US)
            return AttemptEvidence.UNREACHED if slow else AttemptEvidence.REFUSED
        case AttemptStatus.RESET:
            return AttemptEvidence.CUT
        case AttemptStatus.TIMEOUT:
            return AttemptEvidence.SILENT if event.latency_us >= OVERDUE_US else None
    return None


FIRM = (AttemptEvidence.REFUSED.value, AttemptEvidence.UNREACHED.value)  # nobody can be there and that slow


@dataclass(slots=True)
class MemberObservation:
    """What was seen of one member."""

    answered_us: int = 0
    waited_us: int = 0  # since when an attempt is out with nothing heard of the member; 0: none
    out: int = 0
    score: float = 0.0  # of failures since it last answered
    failed_us: int = 0  # the last of those
    first_us: int = 0  # and the first
    kind: AttemptEvidence = AttemptEvidence.ANSWERED  # the last one

    def dark(self, now: int) -> bool:
        if self.score >= DARK and now - self.failed_us <= SEEN_US:
            return True
        return bool(self.waited_us) and now - self.waited_us > OVERDUE_US

    def dark_since(self) -> int:
        return min(t for t in (self.first_us, self.waited_us) if t) if self.first_us or self.waited_us else 0

    def tried(self, now: int) -> bool:
        last = max(self.answered_us, self.failed_us)
        return (last > 0 and now - last < SEEN_US) or self.dark(now)

    def sent(self, now: int) -> None:
        self.out += 1
        self.waited_us = self.waited_us or now

    def answered(self, now: int) -> None:
        self.answered_us, self.score, self.first_us, self.failed_us = now, 0.0, 0, 0
        self.waited_us = now if self.out else 0
        self.kind = AttemptEvidence.ANSWERED

    def failed(self, now: int, kind: AttemptEvidence) -> None:
        if now - self.failed_us > SEEN_US:
            self.score, self.first_us = 0.0, 0
        self.score += kind.proof
        self.first_us = self.first_us or self.waited_us or now
        self.failed_us, self.kind = now, kind


@dataclass(frozen=True, slots=True)
class PlaceObservation:
    """A place as the latest seconds show it."""

    tried: int = 0
    dark: int = 0
    known: int = 0  # members of it on the list
    answered_us: int = 0
    dark_since: int = 0  # nothing of it has answered since; 0: none is dark
    kinds: tuple[tuple[str, int], ...] = ()  # of the dark ones
    proofs: float = 0.0  # failures of the dark ones since they last answered

    @property
    def mostly_dark(self) -> bool:
        """Two thirds of those tried, and nobody answers (`Place.quiet`). One failure of a single store
        is no lost hub, and silence must have been met more often still."""
        enough = self.tried >= min(ENOUGH, self.known)
        if self.proofs < (ENOUGH if self.only_silent else 2):
            return False
        return enough and self.dark > 0 and 3 * self.dark >= 2 * self.tried

    @property
    def only_silent(self) -> bool:
        """Do its machines take connections and say nothing? Slow ones do that, too."""
        return all(kind not in FIRM for kind, _ in self.kinds)

    def cause(self) -> str:
        return ", ".join(f"{n} {kind}" for kind, n in self.kinds) or "nothing seen"


@dataclass(slots=True)
class PlaceEvidence:
    """One site, hub or the archive."""

    members: dict[str, MemberObservation] = field(default_factory=dict)
    answered_us: int = 0
    failed_us: int = 0
    out: int = 0  # attempts under way

    def quiet(self, now: int) -> bool:
        """Can nothing of it be dark: it has just answered, or was asked nothing that could tell?"""
        if now - self.answered_us < OVERDUE_US // 2:
            return True
        return not self.out and now - self.failed_us > SEEN_US


class Evidence:
    """All places of one director. `connect_us`: how long a connection may take to come up."""

    def __init__(self, connect_us: int) -> None:
        self.connect_us = connect_us
        self.places: dict[str, PlaceEvidence] = {}
        self.place_of: dict[str, str] = {}
        self.feed_us = 0  # when the list's source was last heard
        self.woke_us = 0  # when a pause or a cut of our own last ended

    def listed(self, rows: Iterable[tuple[str, str]]) -> None:
        """The members that are known now, each with its place; what was seen of the others is forgotten."""
        wanted = dict(list(rows)[:MOST_MEMBERS])
        for member, place in self.place_of.items():
            if wanted.get(member) != place:
                gone = self.places[place].members.pop(member, None)
                self.places[place].out -= gone.out if gone is not None else 0
        for member, place in wanted.items():
            self.places.setdefault(place, PlaceEvidence()).members.setdefault(member, MemberObservation())
        self.place_of = wanted

    def restarted(self, member: str) -> None:
        """Another process under the name: what was seen of the old one says nothing of it."""
        place = self.place_of.get(member)
        if place is not None:
            old = self.places[place].members[member]
            self.places[place].members[member] = MemberObservation(out=old.out)

    def _sight(self, member: str) -> MemberObservation | None:
        place = self.place_of.get(member)
        return self.places[place].members.get(member) if place is not None else None

    def sent(self, now: int, member: str) -> None:
        if (sight := self._sight(member)) is not None:
            sight.sent(now)
            self.places[self.place_of[member]].out += 1

    def quiet(self, now: int, name: str) -> bool:
        place = self.places.get(name)
        return place is None or place.quiet(now)

    def ended(self, now: int, event: AttemptEnded) -> AttemptEvidence | None:
        sight = self._sight(event.member)
        if sight is None:
            return None
        place = self.places[self.place_of[event.member]]
        sight.out, place.out = max(0, sight.out - 1), max(0, place.out - 1)
        kind = kind_of(event, self.connect_us)
        called_off = event.status is AttemptStatus.CANCELLED and event.latency_us >= OVERDUE_US
        if called_off and sight.answered_us < now - event.latency_us:
            kind = (
                AttemptEvidence.SILENT
            )  # for want of patience, and nothing had been heard since it was sent
        if kind is AttemptEvidence.ANSWERED:
            self._answered(now, event.member, sight)
        elif kind is not None and now - event.latency_us >= self.woke_us:
            sight.failed(now, kind)
            place.failed_us = now
        if not sight.out:
            sight.waited_us = 0
        return kind

    def _answered(self, now: int, member: str, sight: MemberObservation) -> None:
        sight.answered(now)
        self.places[self.place_of[member]].answered_us = now

    def source(self, now: int, member: str, answered: bool, took_us: int) -> None:
        """What a box of our own site told of the source of its fill, so long after it was asked."""
        if (sight := self._sight(member)) is None:
            return
        if answered:
            self._answered(now, member, sight)
        elif now - took_us >= self.woke_us:
            sight.failed(now, AttemptEvidence.UNREACHED)
            self.places[self.place_of[member]].failed_us = now

    def fed(self, now: int) -> None:
        self.feed_us = now

    def woke(self, now: int) -> None:
        """After a pause, or a cut of our own, nothing that failed or waited before its end counts, nor
        does a failure of what was sent before it."""
        self.woke_us = now
        for place in self.places.values():
            for sight in place.members.values():
                sight.score, sight.first_us, sight.failed_us, sight.waited_us = 0.0, 0, 0, 0

    def seen(self, now: int, name: str) -> PlaceObservation:
        place = self.places.get(name)
        if place is None:
            return PlaceObservation()
        tried = [s for s in place.members.values() if s.tried(now)]
        dark = [] if place.quiet(now) else [s for s in tried if s.dark(now)]
        kinds = Counter(["waiting" if s.score < DARK else s.kind.value for s in dark]) if dark else {}
        # Many attempts are out at a busy place: some wait since before its last answer.
        since = max(min(s.dark_since() for s in dark), place.answered_us) if dark else 0
        known = len(place.members)
        proofs = sum(max(1.0, s.score) for s in dark)
        told = tuple(sorted(kinds.items()))
        return PlaceObservation(len(tried), len(dark), known, place.answered_us, since, told, proofs)

    def outside_us(self, but: Iterable[str]) -> int:
        """When anything beside some places was last heard, the list's source included."""
        left = set(but)
        heard = [place.answered_us for name, place in self.places.items() if name not in left]
        return max([self.feed_us, *heard])

    def cut_off(self, now: int, home: str) -> bool:
        """Has nothing outside the own depot been heard since something there failed? Attempts that were out
        at the cut wait since before the last word from there, so that word is believed for as long as the
        list's source may be silent: it speaks once a second, and ends the doubt in a loss not ours."""
        places = [p for n, p in self.places.items() if n != home and not p.quiet(now)]
        dark = [s for place in places for s in place.members.values() if s.dark(now)]
        if not dark:
            return False
        heard = self.outside_us([home])
        first = min(s.dark_since() for s in dark)
        last = max(s.failed_us or now for s in dark)
        return last > heard and (heard < first or now - heard > SPEAKS_US)
