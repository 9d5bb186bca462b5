"""The list as the cells see it: whose each box is, who keeps a seat, how warm a box is."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

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
from onyxwick.logic import DRAWN, GUESSED, PARENT_LINK


class CellMembership:
    """Members and seats. A box that is gone keeps its seat for a while: a cell whose boxes die must not be
    given its neighbours' at once, or what has killed the one would kill the next."""

    def __init__(self, settings: RouterSettings, plan: CellPlan) -> None:
        self.settings = settings
        self.upstream_kinds = (settings.parent_kind, settings.origin_kind)
        self.members: dict[str, Member] = {}
        self.departed: dict[str, tuple[Member, int]] = {}  # with the time since when
        self.draws = CellOrderCache()
        self.placement = compute_placement(plan, [], self.upstream_kinds, self.draws)
        self.placed_caches: list[Member] = []

    def _boxes(self) -> list[Member]:
        held = {a: m for a, (m, _) in self.departed.items()} | self.members
        return [m for _, m in sorted(held.items()) if m.kind not in self.upstream_kinds]

    def placement_for(self, plan: CellPlan) -> Placement:
        """The placement that a plan would give now; PlanError where a cell would have no box here."""
        boxes = self._boxes()
        out = compute_placement(plan, boxes, self.upstream_kinds, self.draws)
        if boxes:
            check_members(out, boxes, self.settings.zone)
        return out

    def on_endpoints_changed(self, now: int, event: EndpointsChanged) -> None:
        if event.kind is not EndpointListKind.CHANGE:
            named = {m.address for m in event.members}
            for address in [a for a in self.members if a not in named]:
                self._drop(address, now)
        for m in event.members:
            if m.state is MemberState.REMOVED:
                self._drop(m.address, now)
            else:
                self.members[m.address] = m
                self.departed.pop(m.address, None)
        self._replace()

    def _drop(self, address: str, now: int) -> None:
        member = self.members.pop(address, None)
        if member is not None and member.kind not in self.upstream_kinds:
            self.departed[address] = (member, now)

    def _replace(self) -> None:
        boxes = self._boxes()
        if {m.address: m.zone for m in boxes} != {m.address: m.zone for m in self.placed_caches}:
            self.placed_caches = boxes
            self.placement = compute_placement(self.placement.plan, boxes, self.upstream_kinds, self.draws)

    def expire_departed(self, now: int, seat_us: int) -> bool:
        """End the seats of those gone for too long; True where that changes who has what."""
        late = [a for a, (_, at) in self.departed.items() if now - at > seat_us]
        for address in late:
            del self.departed[address]
        if late:
            self._replace()
        return bool(late)

    def members_of(self, cell: str) -> dict[str, Member]:
        """What a cell's router is told of: its boxes in all depots, the parents and the origin."""
        seat_of = self.placement.cell_of_cache
        return {
            a: self._sized(m)
            for a, m in self.members.items()
            if m.kind in self.upstream_kinds or seat_of.get(a) == cell
        }

    def _sized(self, m: Member) -> Member:
        """Where the list gives no weights: sizes by the links, as the module guesses them for a whole depot;
        a cell's router sees a part of one and would guess too much."""
        if (
            self.settings.weight_source != WeightSource.NONE
            or not self.settings.transfer_kb_per_s
            or not self.settings.zone_link_kb_per_s
        ):
            return m
        link = self.settings.zone_link_kb_per_s / self.settings.transfer_kb_per_s
        if m.kind in self.upstream_kinds:
            return replace(m, weight=GUESSED * link * PARENT_LINK)
        here = sum(o.zone == m.zone and o.kind not in self.upstream_kinds for o in self.members.values())
        return replace(m, weight=GUESSED * link / DRAWN / max(1, here))

    def local_cache_count(self, cells: Iterable[str]) -> int:
        """Boxes of this depot that have a seat in the cells, ready or not."""
        wanted = set(cells)
        held = {a: m for a, (m, _) in self.departed.items()} | self.members
        seat_of = self.placement.cell_of_cache
        return sum(m.zone == self.settings.zone and seat_of.get(a) in wanted for a, m in held.items())

    def warm_share(self, cells: Iterable[str], now: int) -> float:
        """What the ready boxes of the cells can give now, over what they can give when warm: 0 to 1."""
        wanted, rules, seat_of = set(cells), self.settings.rules, self.placement.cell_of_cache
        shares = []
        for a, m in self.members.items():
            if seat_of.get(a) in wanted and m.zone == self.settings.zone and m.state is MemberState.READY:
                age = now - m.started_at_us if m.started_at_us else rules.warm_up_us
                risen = min(1.0, max(0, age) / max(1, rules.warm_up_us))
                shares.append(rules.warm_up_start_share + (1 - rules.warm_up_start_share) * risen)
        return sum(shares) / len(shares) if shares else 0.0
