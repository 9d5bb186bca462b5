"""The endpoint list by cell: which cell each cache belongs to, and how much the caches of a cell can serve.

Takes changes of the endpoint list and the cell plan, and returns the placement and the endpoint list of each
cell's router. A departed cache stays assigned to its cell for a while. If the caches of other cells replaced
failed caches at once, a load that brings down one cell would bring down the next. Times are in microseconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from onyxwick.cells.model import CellPlan
from onyxwick.cells.placement import CellOrderCache, Placement, check_members, compute_placement
from onyxwick.interface import (
    EndpointListKind,
    EndpointsChanged,
    Member,
    MemberState,
    RouterSettings,
    WeightSource,
)
from onyxwick.routing.capacity import (
    INFERRED_CAPACITY_SHARE,
    PARENT_CAPACITY_PER_ZONE_LINK,
    ZONE_LINK_PER_CACHE_CAPACITY,
)


@dataclass(frozen=True, slots=True)
class DepartedCache:
    """A cache that is no longer in the endpoint list but is still assigned to its cell."""

    member: Member
    departed_us: int


class CellMembership:
    """All listed members, the recently departed caches, and the placement computed from them."""

    def __init__(self, settings: RouterSettings, plan: CellPlan) -> None:
        self.settings = settings
        self.upstream_kinds = (settings.parent_kind, settings.origin_kind)
        self.members: dict[str, Member] = {}
        self.departed: dict[str, DepartedCache] = {}
        self.cell_orders = CellOrderCache()
        self.placement = compute_placement(plan, [], self.upstream_kinds, self.cell_orders)
        self.placed_caches: list[Member] = []

    # ---- input ---------------------------------------------------------------------------------------

    def placement_for(self, plan: CellPlan) -> Placement:
        """Compute the placement for a plan and the current caches, without applying it.

        Raises CellPlanError if a cell would have no cache in this director's zone."""
        caches = self._assigned_caches()
        placement = compute_placement(plan, caches, self.upstream_kinds, self.cell_orders)
        if caches:
            check_members(placement, caches, self.settings.zone)
        return placement

    def on_endpoints_changed(self, now: int, event: EndpointsChanged) -> None:
        """Apply a changed endpoint list."""
        if event.kind is not EndpointListKind.CHANGE:
            named = {member.address for member in event.members}
            for address in [address for address in self.members if address not in named]:
                self._remove(address, now)
        for member in event.members:
            if member.state is MemberState.REMOVED:
                self._remove(member.address, now)
            else:
                self.members[member.address] = member
                self.departed.pop(member.address, None)
        self._update_placement()

    def _remove(self, address: str, now: int) -> None:
        member = self.members.pop(address, None)
        if member is not None and member.kind not in self.upstream_kinds:
            self.departed[address] = DepartedCache(member, now)

    def expire_departed(self, now: int, assignment_retention_us: int) -> bool:
        """Unassign caches that departed over `assignment_retention_us` ago; return whether there were any."""
        expired = [
            address
            for address, departed in self.departed.items()
            if now - departed.departed_us > assignment_retention_us
        ]
        for address in expired:
            del self.departed[address]
        if expired:
            self._update_placement()
        return bool(expired)

    def _assigned(self) -> dict[str, Member]:
        """Return the members by address, including departed caches."""
        return {address: departed.member for address, departed in self.departed.items()} | self.members

    def _assigned_caches(self) -> list[Member]:
        members = sorted(self._assigned().items())
        return [member for _, member in members if member.kind not in self.upstream_kinds]

    def _update_placement(self) -> None:
        caches = self._assigned_caches()
        zone_of = {cache.address: cache.zone for cache in caches}
        if zone_of != {cache.address: cache.zone for cache in self.placed_caches}:
            self.placed_caches = caches
            plan = self.placement.plan
            self.placement = compute_placement(plan, caches, self.upstream_kinds, self.cell_orders)

    # ---- results -------------------------------------------------------------------------------------

    def members_of(self, cell: str) -> dict[str, Member]:
        """Return a cell's endpoint list: its caches in all zones, the parents and the origin."""
        cell_of_cache = self.placement.cell_of_cache
        return {
            address: self._with_weight(member)
            for address, member in self.members.items()
            if member.kind in self.upstream_kinds or cell_of_cache.get(address) == cell
        }

    def _with_weight(self, member: Member) -> Member:
        """Return the member with an estimated weight if the endpoint list gives no weights.

        The estimate is based on the links of the entire zone. A cell's router knows only its own caches and
        would overestimate the capacity of each."""
        settings = self.settings
        has_weights = settings.weight_source != WeightSource.NONE
        if has_weights or not settings.transfer_kb_per_s or not settings.zone_link_kb_per_s:
            return member
        transfers = settings.zone_link_kb_per_s / settings.transfer_kb_per_s
        if member.kind in self.upstream_kinds:
            return replace(member, weight=INFERRED_CAPACITY_SHARE * transfers * PARENT_CAPACITY_PER_ZONE_LINK)
        caches_in_zone = sum(
            other.zone == member.zone and other.kind not in self.upstream_kinds
            for other in self.members.values()
        )
        return replace(
            member,
            weight=INFERRED_CAPACITY_SHARE
            * transfers
            / ZONE_LINK_PER_CACHE_CAPACITY
            / max(1, caches_in_zone),
        )

    def local_cache_count(self, cells: Iterable[str]) -> int:
        """Count the caches in this zone that are assigned to the cells, whether ready or not."""
        names = set(cells)
        cell_of_cache = self.placement.cell_of_cache
        return sum(
            member.zone == self.settings.zone and cell_of_cache.get(address) in names
            for address, member in self._assigned().items()
        )

    def warm_share(self, cells: Iterable[str], now: int) -> float:
        """Return the share of their warm capacity that the cells' ready caches in this zone have now.

        The share is from 0 to 1, and 0 if no cache is ready."""
        names = set(cells)
        cell_of_cache = self.placement.cell_of_cache
        shares = [
            self._warm_share_of(member, now)
            for address, member in self.members.items()
            if cell_of_cache.get(address) in names
            and member.zone == self.settings.zone
            and member.state is MemberState.READY
        ]
        return sum(shares) / len(shares) if shares else 0.0

    def _warm_share_of(self, member: Member, now: int) -> float:
        rules = self.settings.rules
        age_us = now - member.started_at_us if member.started_at_us else rules.warm_up_us
        progress = min(1.0, max(0, age_us) / max(1, rules.warm_up_us))
        return rules.warm_up_start_share + (1 - rules.warm_up_start_share) * progress
