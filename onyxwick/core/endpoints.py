"""The endpoint list as last received: member states and addresses, and recent purges.

The table takes changes of the list, purges and the operators' exclusions, and says whether an attempt that
was decided earlier may still be sent. It does no I/O; times are in steady microseconds.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from onyxwick.core.model import ClientRequest
from onyxwick.interface import EndpointListKind, EndpointsChanged, Member, MemberState

PURGE_RETENTION_US = 10_000_000
"""No attempt waits this long to be sent, so an older purge invalidates no attempt."""

MAX_PURGES = 8192
"""Purges remembered by scope. Attempts decided before one that was forgotten are no longer valid."""

Address = tuple[str, int]
"""Host and port."""


@dataclass(frozen=True, slots=True)
class DecisionSnapshot:
    """The state on which an attempt was decided: the number of purges received, and process start times."""

    purges_received: int
    member_started_at_us: int
    source_started_at_us: int


class PurgeScope(NamedTuple):
    """The objects that a purge covers: all objects of a group, or one object. The other field is None."""

    object_group: int | None
    object_id: str | None


class ReceivedPurge(NamedTuple):
    """The time at which a purge was received, and its position in the order of receipt."""

    received_at_us: int
    sequence: int
    """Orders purges that were received within the same microsecond, which their times do not."""


class EndpointTable:
    """Listed members by id.

    The address is looked up for each send, because an address may have belonged to another member before.
    """

    def __init__(self) -> None:
        self.listed: dict[str, Member] = {}
        self.addresses: dict[str, Address] = {}
        self.loaded = False
        self.replacement_listeners: list[Callable[[str], None]] = []
        """Called with the id of each member that was removed, was restarted or changed its address."""
        self.purge_times: dict[PurgeScope, ReceivedPurge] = {}  # oldest first
        self.purges_received = 0
        self.forgotten_sequence = 0  # the sequence of the newest purge that was forgotten for lack of room
        self.excluded: frozenset[str] = frozenset()
        """Members disabled by the operators. Once set, from any thread, no request is sent to them."""

    def apply(self, event: EndpointsChanged, addresses: dict[str, Address]) -> None:
        """Apply a change of the list, or a complete list.

        `addresses` has the address of each member of `event` that is not removed.
        """
        if event.kind is not EndpointListKind.CHANGE:
            received_names = {member.address for member in event.members}
            for name in [name for name in self.listed if name not in received_names]:
                self._remove(name)
            self.loaded = True
        for member in event.members:
            if member.state is MemberState.REMOVED:
                self._remove(member.address)
            else:
                self._update(member, addresses[member.address])

    def _update(self, member: Member, address: Address) -> None:
        name = member.address
        previous = self.listed.get(name)
        address_changed = self.addresses.get(name) != address
        self.listed[name] = member
        self.addresses[name] = address
        if previous and (address_changed or previous.started_at_us != member.started_at_us):
            self._notify_listeners(name)

    def _remove(self, member: str) -> None:
        if self.listed.pop(member, None):
            del self.addresses[member]
            self._notify_listeners(member)

    def _notify_listeners(self, member: str) -> None:
        for listener in self.replacement_listeners:
            listener(member)

    def record_purge(self, object_group: int, object_id: str | None, now_us: int) -> None:
        """Record a received purge of an object, or of a group if `object_id` is None.

        Earlier snapshots are no longer valid for requests that the purge covers.
        """
        scope = PurgeScope(object_group, None) if object_id is None else PurgeScope(None, object_id)
        self.purges_received += 1
        self.purge_times.pop(scope, None)  # so that the entry is added again at the end
        self.purge_times[scope] = ReceivedPurge(now_us, self.purges_received)
        oldest = next(iter(self.purge_times))
        while self.purge_times[oldest].received_at_us <= now_us - PURGE_RETENTION_US:
            del self.purge_times[oldest]
            oldest = next(iter(self.purge_times))
        if len(self.purge_times) > MAX_PURGES:
            self.forgotten_sequence = self.purge_times.pop(oldest).sequence

    def is_ready(self, member: str) -> bool:
        """Return whether new requests may be sent to a member."""
        listed = self.listed.get(member)
        return listed is not None and listed.state is MemberState.READY and member not in self.excluded

    def snapshot(self, member: str, fill_source: str | None) -> DecisionSnapshot:
        """Return the state on which an attempt is based that is decided now."""
        return DecisionSnapshot(
            self.purges_received, self._started_at_us(member), self._started_at_us(fill_source)
        )

    def _started_at_us(self, member: str | None) -> int:
        listed = self.listed.get(member) if member is not None else None
        return listed.started_at_us if listed is not None else 0

    def is_still_valid(
        self, member: str, fill_source: str | None, request: ClientRequest, snapshot: DecisionSnapshot
    ) -> bool:
        """Return whether an attempt decided on `snapshot` may still be sent.

        A drain, a restart or a purge may have been received since the decision.
        """
        if not self.is_ready(member) or (fill_source is not None and not self.is_ready(fill_source)):
            return False
        if self._started_at_us(member) != snapshot.member_started_at_us:
            return False  # a load that a warm cache can take may overload one that just started
        if self._started_at_us(fill_source) != snapshot.source_started_at_us:
            return False
        if not self.purge_times:
            return True
        if snapshot.purges_received < self.forgotten_sequence:
            return False
        of_group = self.purge_times.get(PurgeScope(request.object_group, None))
        of_object = self.purge_times.get(PurgeScope(None, request.object_id))
        return all(
            purge is None or purge.sequence <= snapshot.purges_received for purge in (of_group, of_object)
        )
