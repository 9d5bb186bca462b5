"""What one director has observed of all places. No I/O.

Takes the results of attempts and returns observations of places and whether this director is isolated.
Each director acts only on its own observations of the last few seconds. All times are in microseconds; 0
means never.
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

MAX_FEED_INTERVAL_US = 1_100_000  # longest time between two messages from the source of the endpoint list
MAX_MEMBERS = 4096  # members beyond this number are not observed


class Evidence:
    """The observations of all places in the topology of one director."""

    def __init__(self, connect_timeout_us: int) -> None:
        """`connect_timeout_us`: the longest time for establishing a connection, in us; 0 for the default."""
        self.connect_timeout_us = connect_timeout_us
        self.places: dict[str, PlaceEvidence] = {}
        self.place_of: dict[str, str] = {}
        self.feed_received_us = 0  # when the source of the endpoint list last sent a message
        self.recovered_us = 0  # when this process last resumed after a pause or an isolation

    # ---- input ---------------------------------------------------------------------------------------

    def set_members(self, rows: Iterable[tuple[str, str]]) -> None:
        """Replace the known members, given as (member, place), and discard the observations of all others."""
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
        """Discard the observations of a member whose address now belongs to another process.

        The number of attempts in flight is kept."""
        place = self.place_of.get(member)
        if place is not None:
            members = self.places[place].members
            members[member] = MemberObservation(attempts_in_flight=members[member].attempts_in_flight)

    def record_sent(self, now: int, member: str) -> None:
        """Record that an attempt was sent to a member."""
        observation = self._observation_of(member)
        if observation is not None:
            observation.record_sent(now)
            self.places[self.place_of[member]].attempts_in_flight += 1

    def record_attempt_ended(self, now: int, event: AttemptEnded) -> AttemptEvidence | None:
        """Record that an attempt has ended. Returns what it shows about its member, or None if nothing."""
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
            return AttemptEvidence.SILENT  # cancelled when overdue, and nothing received since it was sent
        return classify_attempt(event, self.connect_timeout_us)

    def record_fill_source(self, now: int, member: str, answered: bool, taken_us: int) -> None:
        """Record whether the source of a fill answered, as reported by a cache of the local site.

        `taken_us`: time from the request of the fill to this report."""
        observation = self._observation_of(member)
        if observation is None:
            return
        if answered:
            self._record_answer(now, member, observation)
        elif now - taken_us >= self.recovered_us:
            observation.record_failure(now, AttemptEvidence.UNREACHABLE)
            self.places[self.place_of[member]].failed_us = now

    def record_feed(self, now: int) -> None:
        """Record that the source of the endpoint list has sent a message."""
        self.feed_received_us = now

    def discard_failures(self, now: int) -> None:
        """Discard the failures and waits observed before the end of a pause or an isolation of this process.

        Later failures of attempts that were sent before this moment do not count either."""
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
        """Return whether a place cannot be lost (see `PlaceEvidence.rules_out_loss`); True for an unknown
        place."""
        place = self.places.get(name)
        return place is None or place.rules_out_loss(now)

    def observe(self, now: int, name: str) -> PlaceObservation:
        """Return the observation of a place over the last few seconds; empty for an unknown place."""
        place = self.places.get(name)
        return observe_place(place, now) if place is not None else PlaceObservation()

    def last_received_outside_us(self, excluded: Iterable[str]) -> int:
        """Return when something was last received from outside the `excluded` places, the source of the
        endpoint list included."""
        names = set(excluded)
        answered = [place.answered_us for name, place in self.places.items() if name not in names]
        return max([self.feed_received_us, *answered])

    def is_cut_off(self, now: int, local_site: str) -> bool:
        """Return whether nothing was received from outside the local site since members outside it failed.

        Attempts that were in flight when the network was cut have waited since before the last answer from
        outside. That answer therefore rules out isolation only for `MAX_FEED_INTERVAL_US`, the longest
        time for which the source of the endpoint list may be silent. The source sends once a
        second, so when only another site is lost, its next message rules out isolation."""
        unreachable = [
            observation
            for name, place in self.places.items()
            if name != local_site and not place.rules_out_loss(now)
            for observation in place.members.values()
            if observation.is_unreachable(now)
        ]
        if not unreachable:
            return False
        received_us = self.last_received_outside_us([local_site])
        first_us = min(observation.unreachable_since_us() for observation in unreachable)
        last_us = max(observation.failed_us or now for observation in unreachable)
        is_silent_since = received_us < first_us or now - received_us > MAX_FEED_INTERVAL_US
        return last_us > received_us and is_silent_since
