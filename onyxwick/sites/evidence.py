"""What one director has observed of all places: the ends of attempts in, observations and doubts out. No I/O.

Each director acts on its own observations of the latest seconds alone. All times are in microseconds; 0 is
never.
"""

from __future__ import annotations

from collections.abc import Iterable

from onyxwick.interface import AttemptEnded, AttemptStatus
from onyxwick.sites.member_evidence import (
    OVERDUE_US,
    AttemptEvidence,
    MemberObservation,
    PlaceEvidence,
    classify_attempt,
)
from onyxwick.sites.observation import PlaceObservation, observe_place

MAX_FEED_INTERVAL_US = 1_100_000  # between two messages of the endpoint list's source
MAX_MEMBERS = 4096  # observed; more are ignored


class Evidence:
    """All places of one director's topology."""

    def __init__(self, connect_timeout_us: int) -> None:
        """`connect_timeout_us`: microseconds that establishing a connection may take; 0 for the default."""
        self.connect_timeout_us = connect_timeout_us
        self.places: dict[str, PlaceEvidence] = {}
        self.place_of: dict[str, str] = {}
        self.feed_received_us = 0  # when the endpoint list's source last sent something
        self.recovered_us = 0  # when a pause of this process or its isolation last ended

    # ---- input ---------------------------------------------------------------------------------------

    def set_members(self, rows: Iterable[tuple[str, str]]) -> None:
        """The members known now, each with its place; what was observed of all others is forgotten."""
        place_of = dict(list(rows)[:MAX_MEMBERS])
        for member, place in self.place_of.items():
            if place_of.get(member) != place:
                removed = self.places[place].members.pop(member, None)
                self.places[place].attempts_in_flight -= removed.attempts_in_flight if removed else 0
        for member, place in place_of.items():
            members = self.places.setdefault(place, PlaceEvidence()).members
            members.setdefault(member, MemberObservation())
        self.place_of = place_of

    def forget_member(self, member: str) -> None:
        """Another process runs under the member's address: the observations of the old one do not apply."""
        place = self.place_of.get(member)
        if place is not None:
            members = self.places[place].members
            members[member] = MemberObservation(attempts_in_flight=members[member].attempts_in_flight)

    def record_sent(self, now: int, member: str) -> None:
        """An attempt was sent to a member."""
        observation = self._observation_of(member)
        if observation is not None:
            observation.record_sent(now)
            self.places[self.place_of[member]].attempts_in_flight += 1

    def record_attempt_ended(self, now: int, event: AttemptEnded) -> AttemptEvidence | None:
        """An attempt has ended; what that says of its member, or None."""
        observation = self._observation_of(event.member)
        if observation is None:
            return None
        place = self.places[self.place_of[event.member]]
        observation.attempts_in_flight = max(0, observation.attempts_in_flight - 1)
        place.attempts_in_flight = max(0, place.attempts_in_flight - 1)
        evidence = self._classify(now, event, observation)
        if evidence is AttemptEvidence.ANSWERED:
            self._record_answer(now, event.member, observation)
        elif evidence is not None and now - event.latency_us >= self.recovered_us:
            observation.record_failure(now, evidence)
            place.failed_us = now
        if not observation.attempts_in_flight:
            observation.waiting_since_us = 0
        return evidence

    def _classify(
        self, now: int, event: AttemptEnded, observation: MemberObservation
    ) -> AttemptEvidence | None:
        was_abandoned = event.status is AttemptStatus.CANCELLED and event.latency_us >= OVERDUE_US
        if was_abandoned and observation.answered_us < now - event.latency_us:
            return AttemptEvidence.SILENT  # cancelled as overdue, with nothing received since it was sent
        return classify_attempt(event, self.connect_timeout_us)

    def record_fill_source(self, now: int, member: str, answered: bool, taken_us: int) -> None:
        """What an own site's cache reported of the source of its fill, this long after it was requested."""
        observation = self._observation_of(member)
        if observation is None:
            return
        if answered:
            self._record_answer(now, member, observation)
        elif now - taken_us >= self.recovered_us:
            observation.record_failure(now, AttemptEvidence.UNREACHABLE)
            self.places[self.place_of[member]].failed_us = now

    def record_feed(self, now: int) -> None:
        """The endpoint list's source has sent something."""
        self.feed_received_us = now

    def discard_failures(self, now: int) -> None:
        """A pause of this process or its isolation has ended: what failed or waited before does not count,
        nor does a failure of what was sent before."""
        self.recovered_us = now
        for place in self.places.values():
            for observation in place.members.values():
                observation.discard_failures()

    def _observation_of(self, member: str) -> MemberObservation | None:
        place = self.place_of.get(member)
        return self.places[place].members.get(member) if place is not None else None

    def _record_answer(self, now: int, member: str, observation: MemberObservation) -> None:
        observation.record_answer(now)
        self.places[self.place_of[member]].answered_us = now

    # ---- results -------------------------------------------------------------------------------------

    def rules_out_loss(self, now: int, name: str) -> bool:
        """Whether a place cannot be lost (`PlaceEvidence.rules_out_loss`); true for an unknown one."""
        place = self.places.get(name)
        return place is None or place.rules_out_loss(now)

    def observe(self, now: int, name: str) -> PlaceObservation:
        """A place as the latest seconds show it."""
        place = self.places.get(name)
        return observe_place(place, now) if place is not None else PlaceObservation()

    def last_heard_outside_us(self, excluded: Iterable[str]) -> int:
        """When anything but some places was last heard, the endpoint list's source included."""
        names = set(excluded)
        answered = [place.answered_us for name, place in self.places.items() if name not in names]
        return max([self.feed_received_us, *answered])

    def is_cut_off(self, now: int, local_site: str) -> bool:
        """Whether nothing outside the own site was heard since something there failed.

        Attempts that were in flight when the network was cut wait since before the last answer from outside,
        so that answer counts for as long as the list's source may be silent: it sends once a second, which
        ends the doubt in a loss of another site."""
        unreachable = [
            observation
            for name, place in self.places.items()
            if name != local_site and not place.rules_out_loss(now)
            for observation in place.members.values()
            if observation.is_unreachable(now)
        ]
        if not unreachable:
            return False
        heard_us = self.last_heard_outside_us([local_site])
        first_us = min(observation.unreachable_since_us() for observation in unreachable)
        last_us = max(observation.failed_us or now for observation in unreachable)
        is_silent_since = heard_us < first_us or now - heard_us > MAX_FEED_INTERVAL_US
        return last_us > heard_us and is_silent_since
