"""The list as last received: where each member is, and what a send must check again right before it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from onyxwick.core.model import ClientRequest
from onyxwick.interface import EndpointListKind, EndpointsChanged, Member, MemberState

PURGES_KEPT_US = 10_000_000  # no send waits that long, so older purges bind none


@dataclass(frozen=True, slots=True)
class DecisionSnapshot:
    """What an attempt was decided on: the purges received by then, and the starts of the processes meant."""

    purges_received: int
    member_since_us: int
    source_since_us: int


class EndpointTable:
    """Members by id. The address is looked up at each send: another member may have had it before."""

    def __init__(self) -> None:
        self.listed: dict[str, Member] = {}
        self.addresses: dict[str, tuple[str, int]] = {}
        self.loaded = False
        self.watchers: list[Callable[[str], None]] = []  # called for each member that left or restarted
        # When each was received, and as which: times alone don't tell the order within a microsecond.
        self.purge_times: dict[tuple[int | None, str | None], tuple[int, int]] = {}
        self.purges_received = 0
        # Excluded by the operators: nothing is sent to them from the moment this is set, from any thread.
        self.excluded: frozenset[str] = frozenset()

    def apply(self, event: EndpointsChanged, addresses: dict[str, tuple[str, int]]) -> None:
        """Take in a change of the list, or all of it; `addresses` has those of all rows that are not gone."""
        if event.kind is not EndpointListKind.CHANGE:
            named = {m.address for m in event.members}
            for member in [m for m in self.listed if m not in named]:
                self._drop(member)
            self.loaded = True
        for m in event.members:
            old = self.listed.get(m.address)
            if m.state is MemberState.REMOVED:
                self._drop(m.address)
                continue
            moved = self.addresses.get(m.address) != addresses[m.address]
            self.listed[m.address], self.addresses[m.address] = m, addresses[m.address]
            if old and (moved or old.started_at_us != m.started_at_us):
                self._tell_watchers(m.address)

    def _drop(self, member: str) -> None:
        if self.listed.pop(member, None):
            del self.addresses[member]
            self._tell_watchers(member)

    def _tell_watchers(self, member: str) -> None:
        for watcher in self.watchers:
            watcher(member)

    def purged(self, group: int, name: str | None, now: int) -> None:
        """A purge of one object or of a group was received: what was decided before it may not be sent."""
        key = (group, None) if name is None else (None, name)
        self.purges_received += 1
        self.purge_times.pop(key, None)  # to the end: the oldest stand first
        self.purge_times[key] = now, self.purges_received
        while self.purge_times[oldest := next(iter(self.purge_times))][0] <= now - PURGES_KEPT_US:
            del self.purge_times[oldest]

    def ready(self, member: str) -> bool:
        """May new work be sent to a member?"""
        listed = self.listed.get(member)
        return listed is not None and listed.state is MemberState.READY and member not in self.excluded

    def standing(self, member: str, source: str | None) -> DecisionSnapshot:
        """What an attempt that is decided now is decided on."""
        return DecisionSnapshot(self.purges_received, self._since(member), self._since(source))

    def _since(self, member: str | None) -> int:
        listed = self.listed.get(member) if member is not None else None
        return listed.started_at_us if listed is not None else 0

    def is_still_valid(
        self, member: str, source: str | None, request: ClientRequest, decided: DecisionSnapshot
    ) -> bool:
        """May what was decided then be sent now? A drain, a start or a purge may have been received in
        between."""
        if not self.ready(member) or (source is not None and not self.ready(source)):
            return False
        if self._since(member) != decided.member_since_us or self._since(source) != decided.source_since_us:
            return False  # what a warm one bears may be too much for one that has just started
        of_group = self.purge_times.get((request.object_group, None))
        of_object = self.purge_times.get((None, request.object_id))
        return all(purge is None or purge[1] <= decided.purges_received for purge in (of_group, of_object))
