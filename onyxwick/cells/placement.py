"""Which cell a box belongs to, which cells a tenant has, and which of them an object of it goes to.

A pure function of the plan and the list: every director that has both has the same answer, with no talk
and no memory. All choices are rendezvous draws (Thaler and Ravishankar, "Using name-based mappings to
increase hit rates", 1998, section 3), bounded so that no cell gets more than its part: what a box or tenant
that comes or goes can move is little, and the bound moves the rest only where a cell is full.

Shuffle sharding: of N cells a tenant that spans k has one of C(N, k) sets. A cell that is lost touches k in N
tenants, and whole only those with k = 1; a tenant that ruins all its cells takes along only who has the same
set, one in C(N, k).
"""

from __future__ import annotations

import math
from array import array
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from functools import lru_cache
from hashlib import blake2b

from onyxwick.cells.model import Cell, CellPlan, CellPlanError, TenantSpec
from onyxwick.interface import Member

MAX_LOAD_FACTOR = 1.25  # times its fair part of all tenants' weight that a cell takes before draws pass it by
MAX_HASH = (1 << 64) - 1


@lru_cache(maxsize=1 << 14)
def cells_hash(text: str) -> int:
    """64 bits that stand for a name."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8, person=b"cells").digest(), "big")


def mix_hashes(a: int, b: int) -> int:
    """64 bits from two words: the finaliser of SplitMix64 (Steele, Lea and Flood 2014, figure 17)."""
    z = (a ^ (b * 0x9E3779B97F4A7C15)) & MAX_HASH
    z = ((z ^ (z >> 30)) * 0xBF58476D1CE4E5B9) & MAX_HASH
    z = ((z ^ (z >> 27)) * 0x94D049BB133111EB) & MAX_HASH
    return z ^ (z >> 31)


def rendezvous_score(a: int, b: int, weight: float = 1.0) -> float:
    """An exponential draw for a pair of words; the least of a row comes first, in proportion to weight."""
    return -math.log((mix_hashes(a, b) + 1) / (MAX_HASH + 2)) / weight


def _quotas(cells: Sequence[Cell], seats: int, salt: int) -> dict[str, int]:
    """How many of a depot's boxes each cell gets: in proportion to weight, by the largest remainder."""
    total = sum(cell.weight for cell in cells)
    exact = {cell.name: seats * cell.weight / total for cell in cells}
    out = {name: int(value) for name, value in exact.items()}
    # Ties are broken by draw and not by name: else the same cells would lack a box in every depot.
    rest = sorted(exact, key=lambda name: (out[name] - exact[name], rendezvous_score(salt, cells_hash(name))))
    for name in rest[: seats - sum(out.values())]:
        out[name] += 1
    return out


def _seat(cells: Sequence[Cell], members: Sequence[str], salt: int) -> dict[str, str]:
    """Each member's cell. The least draws of all pairs match first: both sides would agree to it, so that it
    does not depend on any order, and one that leaves moves few others."""
    room = _quotas(cells, len(members), salt)
    pairs = sorted(
        (rendezvous_score(cells_hash(m), cells_hash(c.name)), m, c.name) for m in members for c in cells
    )
    out: dict[str, str] = {}
    for _, member, cell in pairs:
        if member not in out and room[cell] > 0:
            out[member] = cell
            room[cell] -= 1
    return out


def assign_caches(plan: CellPlan, members: Iterable[Member], kinds: tuple[str | None, ...]) -> dict[str, str]:
    """The cell of each cache on the list, for each depot apart. `kinds`: those of parents and origin, which
    no cell owns. A cache that no cell names, where all cells name theirs, has none."""
    claimed = {member: cell.name for cell in plan.cells.values() for member in cell.members}
    sharing = [cell for cell in plan.cells.values() if not cell.members]
    free: dict[str, list[str]] = {}
    out: dict[str, str] = {}
    for m in members:
        if m.kind in kinds:
            continue
        if m.address in claimed:
            out[m.address] = claimed[m.address]
        elif sharing:
            free.setdefault(m.zone, []).append(m.address)
    for zone, names in free.items():
        out.update(_seat(sharing, names, cells_hash(zone)))
    return out


class CellOrderCache:
    """Each tenant's order of the cells, kept: a list that changes must not cost all draws anew."""

    def __init__(self) -> None:
        self.cells: tuple[str, ...] = ()
        self.cell_hashes: list[int] = []
        self.orders: dict[str, array[int]] = {}

    def order(self, tenant: str, cells: tuple[str, ...]) -> array[int]:
        """Places in `cells`, first choice first."""
        if cells != self.cells:
            self.cells, self.cell_hashes, self.orders = cells, [cells_hash(name) for name in cells], {}
        order = self.orders.get(tenant)
        if order is None:
            # The mixer of `mix`, one round of it and in line: this is the cost of a placement.
            at = cells_hash(tenant)
            first = [((at ^ cell) * 0xBF58476D1CE4E5B9) & MAX_HASH for cell in self.cell_hashes]
            drawn = [((z ^ (z >> 29)) * 0x94D049BB133111EB) & MAX_HASH for z in first]
            order = array("H", sorted(range(len(cells)), key=drawn.__getitem__))
            self.orders[tenant] = order
        return order


def _chosen(
    tenant: TenantSpec, order: array[int], part: float, held: list[float], most: list[float]
) -> list[int]:
    """The tenant's cells by draw, passing by the full ones while others are left."""
    out: list[int] = []
    for n in order:
        if held[n] + part <= most[n]:
            out.append(n)
            if len(out) == tenant.span:
                return out
    return (out + [n for n in order if n not in out])[: tenant.span]


def assign_tenants(
    plan: CellPlan, rooms: Mapping[str, float], draws: CellOrderCache
) -> dict[str, tuple[str, ...]]:
    """Each tenant's cells. Heavy tenants choose first, as light ones fit in anywhere."""
    out: dict[str, tuple[str, ...]] = {}
    total = sum(t.weight for t in plan.tenants.values()) or 1.0
    size = sum(rooms.values()) or 1.0
    cells = tuple(name for name in rooms if rooms[name] > 0) or tuple(rooms)
    place_of = {name: n for n, name in enumerate(cells)}
    most = [MAX_LOAD_FACTOR * total * rooms[name] / size for name in cells]
    held = [0.0] * len(cells)
    for tenant in sorted(plan.tenants.values(), key=lambda t: (-t.weight, cells_hash(t.name), t.name)):
        part = tenant.weight / (len(tenant.cells) or tenant.span)
        if tenant.cells:
            chosen = [place_of[name] for name in tenant.cells if name in place_of]
            out[tenant.name] = tenant.cells
        else:
            chosen = _chosen(tenant, draws.order(tenant.name, cells), part, held, most)
            out[tenant.name] = tuple([cells[n] for n in chosen])
        for n in chosen:
            held[n] += part
    return out


@dataclass(frozen=True, slots=True)
class Placement:
    """The answer for one plan and one list."""

    plan: CellPlan
    cell_of_cache: Mapping[str, str]  # cache: cell
    cell_capacity: Mapping[str, float]  # cell: its caches' weight
    cells_of_tenant: Mapping[str, tuple[str, ...]]  # tenant: cells

    def candidates(self, tenant: str, name: str) -> tuple[str, ...]:
        """The cells for an object of a tenant, the right one first; the others are its next ones.

        KeyError for an unknown tenant."""
        cells, spec = self.cells_of_tenant[tenant], self.plan.tenants[tenant]
        if spec.ranges:
            first = cells_hash(name) >> 56
            cells = next((r.cells for r in spec.ranges if r.first <= first <= r.last), cells)
        if len(cells) < 2:
            return cells
        at = cells_hash(name)
        return tuple(sorted(cells, key=lambda cell: rendezvous_score(at, cells_hash(cell))))

    def members(self, cell: str) -> list[str]:
        return sorted(member for member, of in self.cell_of_cache.items() if of == cell)

    def explain(self, tenant: str, name: str) -> list[str]:
        """Why an object of a tenant goes where it goes, a sentence a step."""
        spec, cells = self.plan.tenants[tenant], self.cells_of_tenant[tenant]
        if spec.cells:
            out = [f"The plan names the cells of tenant '{tenant}': {', '.join(cells)}."]
        else:
            out = [
                f"Tenant '{tenant}' spans {spec.span} of {len(self.cell_capacity)} cells, chosen by draw,"
                f" full ones passed by: {', '.join(cells)}."
            ]
        first = cells_hash(name) >> 56
        hit = next((r for r in spec.ranges if r.first <= first <= r.last), None)
        if hit is not None:
            out.append(
                f"The object's hash begins with {first:02x}, in the range {hit.first:02x}-{hit.last:02x},"
                f" which has cells of its own: {', '.join(hit.cells)}."
            )
        order = self.candidates(tenant, name)
        if len(order) > 1:
            out.append(f"Of these the object draws {order[0]} first, then {', '.join(order[1:])}.")
        boxes = self.members(order[0])
        out.append(f"Cell '{order[0]}' has {len(boxes)} boxes: {', '.join(boxes) or 'none'}.")
        return out


def compute_placement(
    plan: CellPlan,
    members: Sequence[Member],
    kinds: tuple[str | None, ...],
    draws: CellOrderCache | None = None,
) -> Placement:
    """The placement for a plan and a list of members (of all depots)."""
    seat_of = assign_caches(plan, members, kinds)
    rooms = dict.fromkeys(plan.cells, 0.0)
    for m in members:
        if m.address in seat_of:
            rooms[seat_of[m.address]] += m.weight if m.weight > 0 else 1.0
    return Placement(plan, seat_of, rooms, assign_tenants(plan, rooms, draws or CellOrderCache()))


def check_members(placement: Placement, members: Iterable[Member], zone: str) -> None:
    """PlanError where a cell has no box in this director's depot, so that its tenants could not be served."""
    here = {placement.cell_of_cache.get(m.address) for m in members if m.zone == zone}
    for cell in placement.plan.cells.values():
        if cell.name not in here:
            boxes = sum(m.address in placement.cell_of_cache and m.zone == zone for m in members)
            told = f"none of its members is listed in depot '{zone}'"
            text = told if cell.members else f"depot '{zone}' has {boxes} boxes, too few for so many cells"
            raise CellPlanError("cell", cell.name, "members", text)
