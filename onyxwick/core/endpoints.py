"""The endpoint list as last received: member states and addresses, and recent purges. No I/O.

Input: changes of the list, purges, the operators' exclusions. Output: whether an attempt that was decided
earlier may still be sent. Times in steady microseconds.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from onyxwick.core.model import ClientRequest
from onyxwick.interface import EndpointListKind, EndpointsChanged, Member, MemberState

PURGE_RETENTION_US = 10_000_000
"""No send waits that long, so an older purge invalidates none."""

Address = tuple[str, int]
"""Host and port."""


@dataclass(frozen=True, slots=True)
class DecisionSnapshot:
    """What an attempt was decided on: the purges received by then, and when the processes had started."""

    purges_received: int
    member_started_at_us: int
    source_started_at_us: int


class PurgeScope(NamedTuple):
    """What a purge covers: all objects of a group, or one object. The other field is None."""

    object_group: int | None
    object_id: str | None


class ReceivedPurge(NamedTuple):
    """When a purge was received, and in which order."""

    received_at_us: int
    sequence: int
    """Times alone do not order two events within a microsecond."""


class EndpointTable:
    """Members by id. The address is looked up for each send: another member may have had it before."""

    def __init__(self) -> None:
        self.listed: dict[str, Member] = {}
        self.addresses: dict[str, Address] = {}
        self.loaded = False
        self.replacement_listeners: list[Callable[[str], None]] = []
        """Called with the id of each member that was removed, restarted or moved."""
        self.purge_times: dict[PurgeScope, ReceivedPurge] = {}  # oldest first
        self.purges_received = 0
        self.excluded: frozenset[str] = frozenset()
        """Disabled by the operators: nothing is sent to them once this is set, from any thread."""

    def apply(self, event: EndpointsChanged, addresses: dict[str, Address]) -> None:
        """Apply a change of the list, or a complete list.

        `addresses`: of all members of `event` that are not removed.
        """
        if event.kind is not EndpointListKind.CHANGE:
            named = {member.address for member in event.members}
            for name in [name for name in self.listed if name not in named]:
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
        moved = self.addresses.get(name) != address
        self.listed[name] = member
        self.addresses[name] = address
        if previous and (moved or previous.started_at_us != member.started_at_us):
            self._notify_listeners(name)

    def _remove(self, member: str) -> None:
        if self.listed.pop(member, None):
            del self.addresses[member]
            self._notify_listeners(member)

    def _notify_listeners(self, member: str) -> None:
        for listener in self.replacement_listeners:
            listener(member)

    def record_purge(self, object_group: int, object_id: str | None, now_us: int) -> None:
        """A purge of an object, or of a group (`object_id` None), was received: earlier snapshots end."""
        scope = PurgeScope(object_group, None) if object_id is None else PurgeScope(None, object_id)
        self.purges_received += 1
        self.purge_times.pop(scope, None)  # so that it moves to the end
        self.purge_times[scope] = ReceivedPurge(now_us, self.purges_received)
        oldest = next(iter(self.purge_times))
        while self.purge_times[oldest].received_at_us <= now_us - PURGE_RETENTION_US:
            del self.purge_times[oldest]
            oldest = next(iter(self.purge_times))

    def is_ready(self, member: str) -> bool:
        """Whether new requests may be sent to a member."""
        listed = self.listed.get(member)
        return listed is not None and listed.state is MemberState.READY and member not in self.excluded

    def snapshot(self, member: str, fill_source: str | None) -> DecisionSnapshot:
        """What an attempt that is decided now is decided on."""
        return DecisionSnapshot(
            self.purges_received, self._started_at_us(member), self._started_at_us(fill_source)
        )

    def _started_at_us(self, member: str | None) -> int:
        listed = self.listed.get(member) if member is not None else None
        return listed.started_at_us if listed is not None else 0

    def is_still_valid(
        self, member: str, fill_source: str | None, request: ClientRequest, snapshot: DecisionSnapshot
    ) -> bool:
        """Whether an attempt decided on `snapshot` may be sent now.

        A drain, a restart or a purge may have been received since.
        """
        if not self.is_ready(member) or (fill_source is not None and not self.is_ready(fill_source)):
            return False
        if self._started_at_us(member) != snapshot.member_started_at_us:
            return False  # what a warm cache can take may overload one that has just started
        if self._started_at_us(fill_source) != snapshot.source_started_at_us:
            return False
        if not self.purge_times:
            return True
        of_group = self.purge_times.get(PurgeScope(request.object_group, None))
        of_object = self.purge_times.get(PurgeScope(None, request.object_id))
        return all(
            purge is None or purge.sequence <= snapshot.purges_received for purge in (of_group, of_object)
        )
