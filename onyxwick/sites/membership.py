"""The list as sites see it: whose each member is, what of a site is ready, and what a router is to be
shown."""

from __future__ import annotations

from collections.abc import Collection, Iterator
from dataclasses import dataclass, replace

from onyxwick.interface import EndpointListKind, EndpointsChanged, Member, MemberState, RouterSettings
from onyxwick.sites.model import ORIGIN_PLACE, Topology

WARM_UP_REFRESH_US = 500_000  # between two looks at how warm a place is
NEVER = 1 << 62


@dataclass(frozen=True, slots=True)
class PlaceAvailability:
    """What the list tells of one place. Shares are of what the topology states for it."""

    listed_share: float = 1.0  # members named ready
    capacity_share: float = 1.0  # capacity that they have when warm
    warm_share: float = 1.0  # and can give now


class SiteMembership:
    """Members and their places."""

    def __init__(self, settings: RouterSettings, top: Topology) -> None:
        self.settings, self.topology = settings, top
        self.members: dict[str, Member] = {}
        self.max_ready_parents: dict[str, int] = {}  # of a hub: the most stores that the list has named
        self.loaded = False
        self.availability_cache: dict[
            str, tuple[PlaceAvailability, int]
        ] = {}  # as reckoned last, and until when that holds
        self.site_of_zone = {s.zone: s.name for s in top.sites.values()}
        self.hub_of_zone = {h.zone: h.name for h in top.hubs.values()}

    def place_of(self, m: Member) -> str | None:
        if m.kind == self.settings.origin_kind:
            return ORIGIN_PLACE
        if m.kind == self.settings.parent_kind:
            return self.hub_of_zone.get(m.zone)
        return self.site_of_zone.get(m.zone)

    def on_endpoints_changed(self, event: EndpointsChanged) -> list[str]:
        """Take a change in; the members whose process is another one now."""
        self.loaded |= event.kind is not EndpointListKind.UNAVAILABLE
        if event.kind not in (EndpointListKind.CHANGE, EndpointListKind.UNAVAILABLE):
            named = {m.address for m in event.members}
            self.members = {a: m for a, m in self.members.items() if a in named}
        anew = []
        for m in event.members:
            old = self.members.get(m.address)
            if m.state is MemberState.REMOVED:
                self.members.pop(m.address, None)
                continue
            if old is None or old.started_at_us != m.started_at_us:
                anew.append(m.address)
            self.members[m.address] = m
        self.availability_cache.clear()
        for hub in self.topology.hubs:
            self.max_ready_parents[hub] = max(self.max_ready_parents.get(hub, 0), len(self._ready(hub)))
        return anew

    def ready_members(self) -> Iterator[tuple[str, str]]:
        """Members that may be sent to, each with its place."""
        for address, m in self.members.items():
            place = self.place_of(m) if m.state is MemberState.READY else None
            if place is not None:
                yield address, place

    def _ready(self, place: str) -> list[Member]:
        return [
            m for m in self.members.values() if m.state is MemberState.READY and self.place_of(m) == place
        ]

    def availability(self, place: str, now: int) -> PlaceAvailability:
        """What the list tells of a place; reckoned anew when the list changes, or while a member warms up."""
        if not self.loaded:
            return PlaceAvailability()
        held = self.availability_cache.get(place)
        if held is not None and now < held[1]:
            return held[0]
        hub = place in self.topology.hubs
        known = max(1, self.max_ready_parents.get(place, 0)) if hub else self.topology.sites[place].caches
        planned = self.topology.hubs[place].capacity if hub else self.topology.sites[place].capacity
        members = self._ready(place)
        sizes = [(m.weight if m.weight > 0 else planned / known, self._warm(m, now, hub)) for m in members]
        out = PlaceAvailability(
            min(1.0, len(members) / known),
            min(1.0, sum(size for size, _ in sizes) / max(1e-9, planned)),
            min(1.0, sum(size * warm for size, warm in sizes) / max(1e-9, planned)),
        )
        warming = any(warm < 1.0 for _, warm in sizes)
        self.availability_cache[place] = (out, now + WARM_UP_REFRESH_US if warming else NEVER)
        return out

    def _warm(self, m: Member, now: int, hub: bool) -> float:
        """The share of its link that a member can surely give."""
        r = self.settings.rules
        start, rise = (
            (r.parent_warm_up_start_share, r.parent_warm_up_us)
            if hub
            else (r.warm_up_start_share, r.warm_up_us)
        )
        if not m.started_at_us or now - m.started_at_us >= rise:
            return 1.0
        return start + (1 - start) * max(0, now - m.started_at_us) / max(1, rise)

    def members_for(self, site: str, left: Collection[str]) -> dict[str, Member]:
        """The list for the router of one site's boxes: what is at places that were left is no source."""
        out = {}
        for address, m in self.members.items():
            place = self.place_of(m)
            hidden = place in left and place != site and m.state is MemberState.READY
            out[address] = replace(m, state=MemberState.DRAINING) if hidden else m
        return out
