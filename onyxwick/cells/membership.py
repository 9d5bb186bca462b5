"""The list as the cells see it: whose each box is, who keeps a seat, how warm a box is."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from onyxwick.cells.model import CellPlan
from onyxwick.cells.placement import Draws, Placement, check_members, place
from onyxwick.interface import (
    EndpointListKind,
    EndpointsChanged,
    Member,
    MemberState,
    RouterSettings,
    WeightSource,
)
from onyxwick.routing.capacity import INFERRED_CAPACITY_MARGIN, LINK_PER_CACHES, PARENT_PER_LINK


class CellMembership:
    """Members and seats. A box that is gone keeps its seat for a while: a cell whose boxes die must not be
    given its neighbours' at once, or what has killed the one would kill the next."""

    def __init__(self, settings: RouterSettings, plan: CellPlan) -> None:
        self.set = settings
        self.kinds = (settings.parent_kind, settings.origin_kind)
        self.listed: dict[str, Member] = {}
        self.gone: dict[str, tuple[Member, int]] = {}  # with the time since when
        self.draws = Draws()
        self.placement = place(plan, [], self.kinds, self.draws)
        self.placed_for: list[Member] = []

    def _boxes(self) -> list[Member]:
        held = {a: m for a, (m, _) in self.gone.items()} | self.listed
        return [m for _, m in sorted(held.items()) if m.kind not in self.kinds]

    def placed(self, plan: CellPlan) -> Placement:
        """The placement that a plan would give now; PlanError where a cell would have no box here."""
        boxes = self._boxes()
        out = place(plan, boxes, self.kinds, self.draws)
        if boxes:
            check_members(out, boxes, self.set.zone)
        return out

    def listed_anew(self, now: int, event: EndpointsChanged) -> None:
        if event.kind is not EndpointListKind.CHANGE:
            named = {m.address for m in event.members}
            for address in [a for a in self.listed if a not in named]:
                self._drop(address, now)
        for m in event.members:
            if m.state is MemberState.REMOVED:
                self._drop(m.address, now)
            else:
                self.listed[m.address] = m
                self.gone.pop(m.address, None)
        self._replace()

    def _drop(self, address: str, now: int) -> None:
        member = self.listed.pop(address, None)
        if member is not None and member.kind not in self.kinds:
            self.gone[address] = (member, now)

    def _replace(self) -> None:
        boxes = self._boxes()
        if {m.address: m.zone for m in boxes} != {m.address: m.zone for m in self.placed_for}:
            self.placed_for = boxes
            self.placement = place(self.placement.plan, boxes, self.kinds, self.draws)

    def let_go(self, now: int, seat_us: int) -> bool:
        """End the seats of those gone for too long; True where that changes who has what."""
        late = [a for a, (_, at) in self.gone.items() if now - at > seat_us]
        for address in late:
            del self.gone[address]
        if late:
            self._replace()
        return bool(late)

    def own(self, cell: str) -> dict[str, Member]:
        """What a cell's router is told of: its boxes in all depots, the parents and the origin."""
        seat_of = self.placement.seat_of
        return {
            a: self._sized(m)
            for a, m in self.listed.items()
            if m.kind in self.kinds or seat_of.get(a) == cell
        }

    def _sized(self, m: Member) -> Member:
        """Where the list gives no weights: sizes by the links, as the module guesses them for a whole depot;
        a cell's router sees a part of one and would guess too much."""
        if (
            self.set.weight_source != WeightSource.NONE
            or not self.set.transfer_kb_per_s
            or not self.set.zone_link_kb_per_s
        ):
            return m
        link = self.set.zone_link_kb_per_s / self.set.transfer_kb_per_s
        if m.kind in self.kinds:
            return replace(m, weight=INFERRED_CAPACITY_MARGIN * link * PARENT_PER_LINK)
        here = sum(o.zone == m.zone and o.kind not in self.kinds for o in self.listed.values())
        return replace(m, weight=INFERRED_CAPACITY_MARGIN * link / LINK_PER_CACHES / max(1, here))

    def seats_here(self, cells: Iterable[str]) -> int:
        """Boxes of this depot that have a seat in the cells, ready or not."""
        wanted = set(cells)
        held = {a: m for a, (m, _) in self.gone.items()} | self.listed
        seat_of = self.placement.seat_of
        return sum(m.zone == self.set.zone and seat_of.get(a) in wanted for a, m in held.items())

    def warmth(self, cells: Iterable[str], now: int) -> float:
        """What the ready boxes of the cells can give now, over what they can give when warm: 0 to 1."""
        wanted, rules, seat_of = set(cells), self.set.rules, self.placement.seat_of
        shares = []
        for a, m in self.listed.items():
            if seat_of.get(a) in wanted and m.zone == self.set.zone and m.state is MemberState.READY:
                age = now - m.started_at_us if m.started_at_us else rules.warm_up_us
                risen = min(1.0, max(0, age) / max(1, rules.warm_up_us))
                shares.append(rules.warm_up_start_share + (1 - rules.warm_up_start_share) * risen)
        return sum(shares) / len(shares) if shares else 0.0
