"""The list as sites see it: whose each member is, what of a site is ready, and what a router is to be
shown."""

from __future__ import annotations

from collections.abc import Collection, Iterator
from dataclasses import dataclass, replace

from onyxwick.interface import EndpointListKind, EndpointsChanged, Member, MemberState, RouterSettings
from onyxwick.sites.model import ARCHIVE, Topology

WARMING_US = 500_000  # between two looks at how warm a place is
NEVER = 1 << 62


@dataclass(frozen=True, slots=True)
class PlaceAvailability:
    """What the list tells of one place. Shares are of what the topology states for it."""

    listed: float = 1.0  # members named ready
    room: float = 1.0  # capacity that they have when warm
    warmth: float = 1.0  # and can give now


class SiteMembership:
    """Members and their places."""

    def __init__(self, settings: RouterSettings, top: Topology) -> None:
        self.set, self.top = settings, top
        self.listed: dict[str, Member] = {}
        self.most: dict[str, int] = {}  # of a hub: the most stores that the list has named
        self.loaded = False
        self.known: dict[
            str, tuple[PlaceAvailability, int]
        ] = {}  # as reckoned last, and until when that holds
        self.site_of_zone = {s.zone: s.name for s in top.sites.values()}
        self.hub_of_zone = {h.zone: h.name for h in top.hubs.values()}

    def place_of(self, m: Member) -> str | None:
        if m.kind == self.set.origin_kind:
            return ARCHIVE
        if m.kind == self.set.parent_kind:
            return self.hub_of_zone.get(m.zone)
        return self.site_of_zone.get(m.zone)

    def changed(self, event: EndpointsChanged) -> list[str]:
        """Take a change in; the members whose process is another one now."""
        self.loaded |= event.kind is not EndpointListKind.UNAVAILABLE
        if event.kind not in (EndpointListKind.CHANGE, EndpointListKind.UNAVAILABLE):
            named = {m.address for m in event.members}
            self.listed = {a: m for a, m in self.listed.items() if a in named}
        anew = []
        for m in event.members:
            old = self.listed.get(m.address)
            if m.state is MemberState.REMOVED:
                self.listed.pop(m.address, None)
                continue
            if old is None or old.started_at_us != m.started_at_us:
                anew.append(m.address)
            self.listed[m.address] = m
        self.known.clear()
        for hub in self.top.hubs:
            self.most[hub] = max(self.most.get(hub, 0), len(self._ready(hub)))
        return anew

    def ready(self) -> Iterator[tuple[str, str]]:
        """Members that may be sent to, each with its place."""
        for address, m in self.listed.items():
            place = self.place_of(m) if m.state is MemberState.READY else None
            if place is not None:
                yield address, place

    def _ready(self, place: str) -> list[Member]:
        return [m for m in self.listed.values() if m.state is MemberState.READY and self.place_of(m) == place]

    def standing(self, place: str, now: int) -> PlaceAvailability:
        """What the list tells of a place; reckoned anew when the list changes, or while a member warms up."""
        if not self.loaded:
            return PlaceAvailability()
        held = self.known.get(place)
        if held is not None and now < held[1]:
            return held[0]
        hub = place in self.top.hubs
        known = max(1, self.most.get(place, 0)) if hub else self.top.sites[place].boxes
        planned = self.top.hubs[place].capacity if hub else self.top.sites[place].capacity
        members = self._ready(place)
        sizes = [(m.weight if m.weight > 0 else planned / known, self._warm(m, now, hub)) for m in members]
        out = PlaceAvailability(
            min(1.0, len(members) / known),
            min(1.0, sum(size for size, _ in sizes) / max(1e-9, planned)),
            min(1.0, sum(size * warm for size, warm in sizes) / max(1e-9, planned)),
        )
        warming = any(warm < 1.0 for _, warm in sizes)
        self.known[place] = (out, now + WARMING_US if warming else NEVER)
        return out

    def _warm(self, m: Member, now: int, hub: bool) -> float:
        """The share of its link that a member can surely give."""
        r = self.set.rules
        start, rise = (
            (r.parent_warm_up_start_share, r.parent_warm_up_us)
            if hub
            else (r.warm_up_start_share, r.warm_up_us)
        )
        if not m.started_at_us or now - m.started_at_us >= rise:
            return 1.0
        return start + (1 - start) * max(0, now - m.started_at_us) / max(1, rise)

    def view(self, site: str, left: Collection[str]) -> dict[str, Member]:
        """The list for the router of one site's boxes: what is at places that were left is no source."""
        out = {}
        for address, m in self.listed.items():
            place = self.place_of(m)
            hidden = place in left and place != site and m.state is MemberState.READY
            out[address] = replace(m, state=MemberState.DRAINING) if hidden else m
        return out
