"""Member roles: the members that may be sent requests, taken from the endpoint list.

Input: endpoint lists and changes to them (`EndpointsChanged`). Output: the record of each listed member, and
the ready members by role, each role sorted by address: caches of this router's zone, caches of other zones,
parents, origin. A member that restarts loses its health record, because its failures were those of the
previous process.
"""

from __future__ import annotations

from dataclasses import replace

from onyxwick.interface import EndpointListKind, EndpointsChanged, Member, MemberState, RouterSettings
from onyxwick.routing.state import MemberRecord


class MemberRoles:
    """Holds the members that are listed for one router."""

    def __init__(self, settings: RouterSettings) -> None:
        self.zone = settings.zone
        self.parent_kind = settings.parent_kind
        self.origin_kind = settings.origin_kind
        self.members: dict[str, MemberRecord] = {}
        """All listed members by address, in the order in which they were first listed."""
        self.caches: list[MemberRecord] = []
        """Ready caches of this router's zone."""
        self.max_ready_cache_count = 1
        """Largest number of this zone's caches that were ready at the same time."""
        self.remote_caches: dict[str, list[MemberRecord]] = {}
        """Ready caches of the other zones, by zone."""
        self.parents: list[MemberRecord] = []
        self.origin: MemberRecord | None = None

    def apply(self, event: EndpointsChanged, now_us: int) -> list[str]:
        """Apply a list or a change; return the addresses whose copies are lost (restarted or removed)."""
        restarted_addresses = [member.address for member in event.members if self._update(member, now_us)]
        if event.kind is not EndpointListKind.CHANGE:
            listed = {member.address: None for member in event.members}
            for address, record in self.members.items():
                if address not in listed:
                    record.info = replace(record.info, state=MemberState.REMOVED)
        removed = [a for a, record in self.members.items() if record.info.state is MemberState.REMOVED]
        for address in removed:
            del self.members[address]
        self._group_by_role()
        return restarted_addresses + removed

    def _update(self, member: Member, now_us: int) -> bool:
        """Add or update one member; return whether it has restarted."""
        record = self.members.get(member.address)
        if record is None:
            if member.state is not MemberState.REMOVED:
                record = MemberRecord(member, member.started_at_us, last_answer_us=now_us)
                self.members[member.address] = record
            return False
        restarted = member.started_at_us > record.info.started_at_us
        if restarted:
            record.warming_since_us = member.started_at_us
            record.assumed_restarted = False
            record.failure_score = 0.0
            record.ejected = False
            record.consecutive_ejections = 0
        record.info = member
        return restarted

    def _group_by_role(self) -> None:
        ready = [m for _, m in sorted(self.members.items()) if m.info.state is MemberState.READY]
        behind_caches = (self.parent_kind, self.origin_kind)
        caches = [m for m in ready if m.info.kind not in behind_caches]
        self.caches = [m for m in caches if m.info.zone == self.zone]
        self.max_ready_cache_count = max(self.max_ready_cache_count, len(self.caches))
        self.parents = [m for m in ready if m.info.kind == self.parent_kind]
        self.remote_caches = {}
        for cache in caches:
            if cache.info.zone != self.zone:
                self.remote_caches.setdefault(cache.info.zone, []).append(cache)
        self.origin = next((m for m in ready if m.info.kind == self.origin_kind), None)
