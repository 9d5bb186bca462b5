"""The endpoint list by place: the site or hub of each member, and how much of a place is available.

Takes changes of the endpoint list and returns the ready members with their places, the availability of a
place as shares of its stated members and capacity, and the endpoint list for the router of one site. Times
are in microseconds.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator
from dataclasses import dataclass, replace

from onyxwick.interface import EndpointListKind, EndpointsChanged, Member, MemberState, RouterSettings
from onyxwick.sites.model import ORIGIN_PLACE, Topology

WARM_UP_REFRESH_US = 500_000  # how long a computed availability is cached while a member warms up
NEVER_US = 1 << 62
NEGLIGIBLE_CAPACITY = 1e-9


@dataclass(frozen=True, slots=True)
class PlaceAvailability:
    """Shares of the members and capacity that the topology states for a place."""

    listed_share: float = 1.0  # share of its stated members that are listed as ready
    capacity_share: float = 1.0  # share of its stated capacity that the listed members have when warm
    warm_share: float = 1.0  # share of its stated capacity that the listed members can provide now


@dataclass(frozen=True, slots=True)
class _CachedAvailability:
    availability: PlaceAvailability
    valid_until_us: int


class SiteMembership:
    """All listed members and their places."""

    def __init__(self, settings: RouterSettings, topology: Topology) -> None:
        self.settings = settings
        self.topology = topology
        self.members: dict[str, Member] = {}
        # By hub, the highest number of parents that were ready at the same time.
        self.max_ready_parents: dict[str, int] = {}
        self.loaded = False  # an endpoint list has been received
        self._availability: dict[str, _CachedAvailability] = {}
        self.site_of_zone = {site.zone: site.name for site in topology.sites.values()}
        self.hub_of_zone = {hub.zone: hub.name for hub in topology.hubs.values()}

    def place_of(self, member: Member) -> str | None:
        """Return the site, hub or origin of a member; None if the topology does not name its zone."""
        if member.kind == self.settings.origin_kind:
            return ORIGIN_PLACE
        if member.kind == self.settings.parent_kind:
            return self.hub_of_zone.get(member.zone)
        return self.site_of_zone.get(member.zone)

    def on_endpoints_changed(self, event: EndpointsChanged) -> list[str]:
        """Apply a change of the endpoint list. Returns the addresses at which a different process runs
        now."""
        self.loaded |= event.kind is not EndpointListKind.UNAVAILABLE
        if event.kind not in (EndpointListKind.CHANGE, EndpointListKind.UNAVAILABLE):
            named = {member.address for member in event.members}
            self.members = {address: m for address, m in self.members.items() if address in named}
        restarted = []
        for member in event.members:
            known = self.members.get(member.address)
            if member.state is MemberState.REMOVED:
                self.members.pop(member.address, None)
                continue
            if known is None or known.started_at_us != member.started_at_us:
                restarted.append(member.address)
            self.members[member.address] = member
        self._availability.clear()
        for hub in self.topology.hubs:
            self.max_ready_parents[hub] = max(self.max_ready_parents.get(hub, 0), len(self._ready_at(hub)))
        return restarted

    def ready_members(self) -> Iterator[tuple[str, str]]:
        """Yield the address and place of each member that may receive requests."""
        for address, member in self.members.items():
            place = self.place_of(member) if member.state is MemberState.READY else None
            if place is not None:
                yield address, place

    def _ready_at(self, place: str) -> list[Member]:
        return [
            member
            for member in self.members.values()
            if member.state is MemberState.READY and self.place_of(member) == place
        ]

    def availability(self, place: str, now: int) -> PlaceAvailability:
        """Return how much of a site or hub is available; all of it until an endpoint list has been received.

        The value is recomputed when the list changes, and periodically while a member warms up."""
        if not self.loaded:
            return PlaceAvailability()
        cached = self._availability.get(place)
        if cached is None or now >= cached.valid_until_us:
            cached = self._compute_availability(place, now)
            self._availability[place] = cached
        return cached.availability

    def _compute_availability(self, place: str, now: int) -> _CachedAvailability:
        is_hub = place in self.topology.hubs
        if is_hub:
            stated_count = max(1, self.max_ready_parents.get(place, 0))
            stated_capacity = self.topology.hubs[place].capacity
        else:
            stated_count = self.topology.sites[place].caches
            stated_capacity = self.topology.sites[place].capacity
        members = self._ready_at(place)
        capacities = [m.weight if m.weight > 0 else stated_capacity / stated_count for m in members]
        warm_shares = [self._warm_share(member, now, is_hub) for member in members]
        warm_capacity = sum(size * warm for size, warm in zip(capacities, warm_shares, strict=True))
        stated_capacity = max(NEGLIGIBLE_CAPACITY, stated_capacity)
        availability = PlaceAvailability(
            listed_share=min(1.0, len(members) / stated_count),
            capacity_share=min(1.0, sum(capacities) / stated_capacity),
            warm_share=min(1.0, warm_capacity / stated_capacity),
        )
        is_warming_up = any(warm < 1.0 for warm in warm_shares)
        return _CachedAvailability(availability, now + WARM_UP_REFRESH_US if is_warming_up else NEVER_US)

    def _warm_share(self, member: Member, now: int, is_parent: bool) -> float:
        """Return the share of its capacity that a member can provide at its present age."""
        rules = self.settings.rules
        start_share = rules.parent_warm_up_start_share if is_parent else rules.warm_up_start_share
        warm_up_us = rules.parent_warm_up_us if is_parent else rules.warm_up_us
        age_us = now - member.started_at_us
        if not member.started_at_us or age_us >= warm_up_us:
            return 1.0
        return start_share + (1 - start_share) * max(0, age_us) / max(1, warm_up_us)

    def members_for(self, site: str, abandoned_places: Collection[str]) -> dict[str, Member]:
        """Return the endpoint list for the router of one site.

        Ready members at abandoned places other than the site itself are listed as draining, so that no
        fill uses them as its source."""
        members = {}
        for address, member in self.members.items():
            place = self.place_of(member)
            is_hidden = place in abandoned_places and place != site and member.state is MemberState.READY
            members[address] = replace(member, state=MemberState.DRAINING) if is_hidden else member
        return members
