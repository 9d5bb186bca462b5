"""The placement: the cell of each cache, the cells of each tenant, and the order of cells for each object.

Takes the plan and the endpoint list and returns a placement. The computation is a pure function: all
directors with the same plan and list compute the same placement, without communication or stored state. All
choices are rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
1998, section 3), bounded so that no cell gets more than its share. A cache or tenant that is added or removed
changes few other assignments, and the bound changes assignments only where a cell is full.

Shuffle sharding: a tenant that spans k of N cells has one of C(N, k) sets of cells. A lost cell affects k in
N tenants, and entirely only those with k = 1. A tenant that brings down all its cells affects only the
tenants with the same set, one in C(N, k).
"""

from __future__ import annotations

import math
from array import array
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from functools import lru_cache

from onyxwick.cells.model import Cell, CellPlan, CellPlanError, KeyRange, TenantSpec
from onyxwick.interface import Member
from onyxwick.subrouters.hashing import HASH_RANGE, stable_hash

MAX_LOAD_FACTOR = 1.25
"""Maximum of a cell's load, as a multiple of its fair share of the tenants' weight.

A cell is filled beyond it only if no other cell has capacity."""
MAX_HASH = HASH_RANGE - 1
CACHED_NAME_HASHES = 1 << 14
HASH_NAMESPACE = b"cells"
KEY_PREFIX_SHIFT = 56  # right shift that leaves the first byte of a 64-bit hash

# Constants of SplitMix64 (Steele, Lea and Flood 2014, figure 17).
MIX_INCREMENT = 0x9E3779B97F4A7C15
MIX_FIRST = 0xBF58476D1CE4E5B9
MIX_SECOND = 0x94D049BB133111EB


@lru_cache(maxsize=CACHED_NAME_HASHES)
def cells_hash(text: str) -> int:
    """Return a 64-bit hash of the name of an object, cell, cache or tenant."""
    return stable_hash(text, HASH_NAMESPACE)


def mix_hashes(one: int, other: int) -> int:
    """Combine two 64-bit hashes into one with the finalizer of SplitMix64."""
    mixed = (one ^ (other * MIX_INCREMENT)) & MAX_HASH
    mixed = ((mixed ^ (mixed >> 30)) * MIX_FIRST) & MAX_HASH
    mixed = ((mixed ^ (mixed >> 27)) * MIX_SECOND) & MAX_HASH
    return mixed ^ (mixed >> 31)


def rendezvous_score(one: int, other: int, weight: float = 1.0) -> float:
    """Return a pseudorandom, exponentially distributed score for a pair of hashes.

    If the candidate with the lowest score is chosen, each is chosen in proportion to its weight."""
    return -math.log((mix_hashes(one, other) + 1) / (MAX_HASH + 2)) / weight


# ---- caches to cells ---------------------------------------------------------------------------------


def assign_caches(
    plan: CellPlan, members: Iterable[Member], upstream_kinds: tuple[str | None, ...]
) -> dict[str, str]:
    """Return the cell of each listed cache by address, computed for each zone separately.

    `upstream_kinds` are the kinds of parents and origin, which no cell owns. A cache that no cell names stays
    unassigned if every cell names its members."""
    cell_of_member = {member: cell.name for cell in plan.cells.values() for member in cell.members}
    sharing_cells = [cell for cell in plan.cells.values() if not cell.members]
    unnamed_in_zone: dict[str, list[str]] = {}
    cell_of_cache: dict[str, str] = {}
    for member in members:
        if member.kind in upstream_kinds:
            continue
        if member.address in cell_of_member:
            cell_of_cache[member.address] = cell_of_member[member.address]
        elif sharing_cells:
            unnamed_in_zone.setdefault(member.zone, []).append(member.address)
    for zone, addresses in unnamed_in_zone.items():
        cell_of_cache.update(_assign_in_zone(sharing_cells, addresses, cells_hash(zone)))
    return cell_of_cache


def _assign_in_zone(cells: Sequence[Cell], addresses: Sequence[str], zone_hash: int) -> dict[str, str]:
    """Return the cell of each cache of one zone.

    Pairs of a cache and a cell are matched in ascending order of their rendezvous score. This gives a stable
    matching, which does not depend on the order of the arguments and changes for few other caches when a
    cache leaves."""
    remaining = _cache_quotas(cells, len(addresses), zone_hash)
    pairs = sorted(
        (rendezvous_score(cells_hash(address), cells_hash(cell.name)), address, cell.name)
        for address in addresses
        for cell in cells
    )
    cell_of_cache: dict[str, str] = {}
    for _, address, cell_name in pairs:
        if address not in cell_of_cache and remaining[cell_name] > 0:
            cell_of_cache[address] = cell_name
            remaining[cell_name] -= 1
    return cell_of_cache


def _cache_quotas(cells: Sequence[Cell], cache_count: int, zone_hash: int) -> dict[str, int]:
    """Divide a zone's caches among cells in proportion to weight, with the largest remainder method."""
    total_weight = sum(cell.weight for cell in cells)
    exact = {cell.name: cache_count * cell.weight / total_weight for cell in cells}
    quotas = {name: int(value) for name, value in exact.items()}

    def remainder_order(name: str) -> tuple[float, float]:
        # Ties are broken by hash, as breaking them by name would leave the same cells a cache short in
        # every zone.
        return quotas[name] - exact[name], rendezvous_score(zone_hash, cells_hash(name))

    by_remainder = sorted(exact, key=remainder_order)
    for name in by_remainder[: cache_count - sum(quotas.values())]:
        quotas[name] += 1
    return quotas


# ---- tenants to cells --------------------------------------------------------------------------------


class CellOrderCache:
    """Caches each tenant's order of the cells, so that a changed endpoint list needs no new hashes."""

    def __init__(self) -> None:
        self.cells: tuple[str, ...] = ()
        self.cell_hashes: list[int] = []
        self.orders: dict[str, array[int]] = {}

    def order(self, tenant: str, cells: tuple[str, ...]) -> array[int]:
        """Return a tenant's preference order as indexes into `cells`, the most preferred cell first."""
        if cells != self.cells:
            self.cells = cells
            self.cell_hashes = [cells_hash(name) for name in cells]
            self.orders = {}
        order = self.orders.get(tenant)
        if order is None:
            order = self._compute_order(tenant)
            self.orders[tenant] = order
        return order

    def _compute_order(self, tenant: str) -> array[int]:
        # A single mixing round is inlined here, as this loop dominates the cost of a placement.
        tenant_hash = cells_hash(tenant)
        first = [((tenant_hash ^ cell) * MIX_FIRST) & MAX_HASH for cell in self.cell_hashes]
        scores = [((mixed ^ (mixed >> 29)) * MIX_SECOND) & MAX_HASH for mixed in first]
        return array("H", sorted(range(len(scores)), key=scores.__getitem__))


def assign_tenants(
    plan: CellPlan, cell_capacity: Mapping[str, float], cell_orders: CellOrderCache
) -> dict[str, tuple[str, ...]]:
    """Return each tenant's cells. Heavy tenants are assigned first, as light ones fit anywhere."""
    cells = tuple(name for name in cell_capacity if cell_capacity[name] > 0) or tuple(cell_capacity)
    index_of = {name: index for index, name in enumerate(cells)}
    total_weight = sum(tenant.weight for tenant in plan.tenants.values()) or 1.0
    total_capacity = sum(cell_capacity.values()) or 1.0
    max_load = [MAX_LOAD_FACTOR * total_weight * cell_capacity[name] / total_capacity for name in cells]
    load = [0.0] * len(cells)
    cells_of_tenant: dict[str, tuple[str, ...]] = {}
    for tenant in sorted(plan.tenants.values(), key=lambda t: (-t.weight, cells_hash(t.name), t.name)):
        added_load = tenant.weight / (len(tenant.cells) or tenant.span)
        if tenant.cells:
            chosen = [index_of[name] for name in tenant.cells if name in index_of]
            cells_of_tenant[tenant.name] = tenant.cells
        else:
            order = cell_orders.order(tenant.name, cells)
            chosen = _choose_cells(tenant.span, order, added_load, load, max_load)
            cells_of_tenant[tenant.name] = tuple([cells[index] for index in chosen])
        for index in chosen:
            load[index] += added_load
    return cells_of_tenant


def _choose_cells(
    span: int, order: array[int], added_load: float, load: list[float], max_load: list[float]
) -> list[int]:
    """Choose a tenant's cells in its preference order, and full cells only if no others are left."""
    chosen: list[int] = []
    for index in order:
        if load[index] + added_load <= max_load[index]:
            chosen.append(index)
            if len(chosen) == span:
                return chosen
    return (chosen + [index for index in order if index not in chosen])[:span]


# ---- the placement -----------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Placement:
    """The assignment of caches and tenants to cells for one plan and one endpoint list."""

    plan: CellPlan
    cell_of_cache: Mapping[str, str]  # by address
    cell_capacity: Mapping[str, float]  # sum of the weights of the cell's caches
    cells_of_tenant: Mapping[str, tuple[str, ...]]

    def candidates(self, tenant: str, object_name: str) -> tuple[str, ...]:
        """Return the cells for an object of a tenant, by preference. KeyError for an unknown tenant."""
        cells = self.cells_of_tenant[tenant]
        key_range = self._key_range(tenant, object_name)
        if key_range is not None:
            cells = key_range.cells
        if len(cells) < 2:
            return cells
        key = cells_hash(object_name)
        return tuple(sorted(cells, key=lambda cell: rendezvous_score(key, cells_hash(cell))))

    def _key_range(self, tenant: str, object_name: str) -> KeyRange | None:
        ranges = self.plan.tenants[tenant].ranges
        if not ranges:
            return None
        prefix = cells_hash(object_name) >> KEY_PREFIX_SHIFT
        return next((entry for entry in ranges if entry.first <= prefix <= entry.last), None)

    def members(self, cell: str) -> list[str]:
        """Return the addresses of a cell's caches, sorted."""
        return sorted(address for address, name in self.cell_of_cache.items() if name == cell)

    def explain(self, tenant: str, object_name: str) -> list[str]:
        """Explain the choice of cell for an object, one sentence per step. KeyError for an unknown tenant."""
        sentences = [self._explain_tenant(self.plan.tenants[tenant])]
        key_range = self._key_range(tenant, object_name)
        if key_range is not None:
            prefix = cells_hash(object_name) >> KEY_PREFIX_SHIFT
            sentences.append(
                f"The object's hash begins with {prefix:02x}, in the range"
                f" {key_range.first:02x}-{key_range.last:02x},"
                f" which has its own cells: {', '.join(key_range.cells)}."
            )
        order = self.candidates(tenant, object_name)
        if len(order) > 1:
            sentences.append(f"By hash, the object prefers cell {order[0]}, then {', '.join(order[1:])}.")
        caches = self.members(order[0])
        sentences.append(f"Cell '{order[0]}' has {len(caches)} boxes: {', '.join(caches) or 'none'}.")
        return sentences

    def _explain_tenant(self, tenant: TenantSpec) -> str:
        cells = ", ".join(self.cells_of_tenant[tenant.name])
        if tenant.cells:
            return f"The plan names the cells of tenant '{tenant.name}': {cells}."
        return (
            f"Tenant '{tenant.name}' spans {tenant.span} of {len(self.cell_capacity)} cells, chosen by hash,"
            f" with full cells skipped: {cells}."
        )


def compute_placement(
    plan: CellPlan,
    members: Sequence[Member],
    upstream_kinds: tuple[str | None, ...],
    cell_orders: CellOrderCache | None = None,
) -> Placement:
    """Compute the placement for a plan and the members of all zones.

    `cell_orders` may be passed to reuse the preference orders of earlier placements."""
    cell_of_cache = assign_caches(plan, members, upstream_kinds)
    cell_capacity = dict.fromkeys(plan.cells, 0.0)
    for member in members:
        if member.address in cell_of_cache:
            cell_capacity[cell_of_cache[member.address]] += member.weight if member.weight > 0 else 1.0
    cells_of_tenant = assign_tenants(plan, cell_capacity, cell_orders or CellOrderCache())
    return Placement(plan, cell_of_cache, cell_capacity, cells_of_tenant)


def check_members(placement: Placement, members: Iterable[Member], zone: str) -> None:
    """Check that every cell has a cache in this director's zone, without which its tenants cannot be served.

    Raises CellPlanError for the first cell without a cache there."""
    local = [member.address for member in members if member.zone == zone]
    local_cells = {placement.cell_of_cache.get(address) for address in local}
    for cell in placement.plan.cells.values():
        if cell.name not in local_cells:
            count = sum(address in placement.cell_of_cache for address in local)
            reason = (
                f"none of its members is listed in depot '{zone}'"
                if cell.members
                else f"depot '{zone}' has {count} boxes, too few for so many cells"
            )
            raise CellPlanError("cell", cell.name, "members", reason)
