"""One loss as a linear programme: what is served where, what is refused, what would be missing. No I/O.

Worth first: the programme serves the most worth that boxes, links, relay stores and the archive bear with the
stated headroom, keeps tenants' reserves before that, then evens out what is refused (max-min between demands
of one class, by progressive filling: Bertsekas and Gallager, "Data Networks", 1992, section 6.5.2), and among
all such answers takes the one with the least congestion (a convex cost of use in pieces, Fortz and Thorup
2000) and the least way. Solved by HiGHS through scipy, which is imported with this module: by a command or a
worker thread, never on a request's path.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import numpy as np
from scipy.optimize import linprog
from scipy.sparse import csr_matrix

from onyxwick.sites.model import ORIGIN_PLACE, OfferedLoad, PlannedClass, Topology
from onyxwick.sites.plan import loss_key

MAX_SURVIVORS = 12  # survivors that may take a lost site's load, the nearest ones
WHOLE = 24  # sites up to which every site's load is open; over it only what a loss can touch
# Use of a resource from which on its cost rises, and to what slope.
PIECES = (
    *((0.3, 0.3), (0.4, 0.6), (0.5, 1.0), (0.55, 1.4), (0.6, 2.0), (0.65, 2.8), (0.7, 4.0)),
    *((0.75, 5.6), (0.8, 8.0), (0.85, 11.0), (0.9, 16.0), (0.95, 22.0)),
)
COST, WAY = 1e-3, 1e-6  # of all worth: what congestion and ways may weigh beside it; ways only between likes
KEEP = 100.0  # times its worth: what a tenant's reserve weighs
FAIR_ROUNDS = 4  # of progressive filling
EVEN, TIE = 0.03, 1e-2  # of the worth that may be given up to refuse evenly; what worth weighs in ties
NONE = 1e-6  # a share under it is nothing
Resource = tuple[str, ...]  # ("boxes", site), ("stores", hub), ("archive",), ("link", a, b)


class PlanUnsolvedError(Exception):
    """HiGHS found no answer; the text is its own."""


@dataclass(frozen=True, slots=True)
class SiteLoss:
    """What is lost at once; `boxes`: sites whose boxes alone are, and whose clients stay."""

    sites: frozenset[str] = frozenset()
    hubs: frozenset[str] = frozenset()
    cache_sites: frozenset[str] = frozenset()

    def __str__(self) -> str:
        return " and ".join(sorted(loss_key(self.sites, self.hubs, self.cache_sites))) or "nothing"


@dataclass(frozen=True, slots=True)
class ResourceUse:
    """Transfers at once of a resource, and how many it has."""

    used: float
    capacity: float

    @property
    def share(self) -> float:
        return self.used / self.capacity if self.capacity else 0.0


@dataclass(slots=True)
class LossOutcome:
    """The answer for one loss. Shares are of what is served; `kept` is what is served of what is asked."""

    loss: SiteLoss
    serving_shares: dict[tuple[str, str], dict[str, float]] = field(
        default_factory=dict
    )  # (site, class): {site: share}
    served_shares: dict[tuple[str, str, str], float] = field(
        default_factory=dict
    )  # (site, class, tenant): under 1 only
    resource_use: dict[Resource, ResourceUse] = field(default_factory=dict)
    missing_capacity: dict[Resource, float] = field(
        default_factory=dict
    )  # transfers more, for nothing to be refused
    served_value: float = 0.0  # a second, served
    offered_value: float = 0.0

    @property
    def is_feasible(self) -> bool:
        return self.served_value >= self.offered_value * (1 - 1e-6)

    @property
    def bottleneck(self) -> Resource | None:
        """What breaks first."""
        return max(self.resource_use, key=lambda r: self.resource_use[r].share, default=None)


def resource_name(resource: Resource) -> str:
    kind, *names = resource
    return f"{kind} of {names[0]}" if len(names) == 1 else f"{kind} {' - '.join(names)}" if names else kind


@dataclass(slots=True)
class _Choice:
    """One variable: requests a second of a demand that are served at one place."""

    demand: int
    place: str
    way_us: float
    uses: dict[Resource, float]


@dataclass(frozen=True, slots=True)
class _Demand:
    """Requests a second that come by the same ways and may be served at the same places."""

    load: OfferedLoad
    rate: float
    arrivals: dict[str, float]
    places: tuple[str, ...]
    moves: bool = False  # its objects are given new homes by the plan


class _Matter:
    """What one loss leaves: capacities, the split of fills, and what a request at a place uses."""

    def __init__(self, top: Topology, loss: SiteLoss) -> None:
        self.top, self.loss = top, loss
        self.without = loss.sites | loss.cache_sites
        self.alive = [s for s in top.sites if s not in self.without]
        hubs = [h for h in top.hubs.values() if h.name not in loss.hubs]
        whole = sum(h.capacity for h in hubs)
        self.split = {h.name: h.capacity / whole for h in hubs} if whole else {}

    def capacity(self, resource: Resource) -> float:
        """In transfers; 0: not bounded."""
        kind, *names = resource
        if kind == "boxes":
            return self.top.sites[names[0]].capacity
        if kind == "stores":
            return self.top.hubs[names[0]].capacity
        if kind == ORIGIN_PLACE:
            return self.top.origin.capacity
        path = self.top.link(names[0], names[1])
        return path.capacity if path is not None else 0.0

    def arrivals(self, site: str) -> dict[str, float]:
        return self.top.client_arrivals(site, self.loss.sites)

    def uses(self, kind: PlannedClass, arrivals: dict[str, float], place: str) -> dict[Resource, float]:
        """Transfers for each request a second."""
        out: dict[Resource, float] = {}

        def add(resource: Resource, work: float) -> None:
            if work > 0 and self.capacity(resource) > 0:
                out[resource] = out.get(resource, 0.0) + work

        for site, share in arrivals.items():
            if site != place:
                add(_link(site, place), share * kind.work)
        if place == ORIGIN_PLACE:
            add((ORIGIN_PLACE,), kind.work)
            return out
        add(("boxes", place), kind.work)
        for hub, share in self.split.items():
            fills = share * kind.fill_work
            add(("stores", hub), fills)
            add(_link(place, hub), fills)
            add((ORIGIN_PLACE,), fills * kind.parent_miss_share)
            add(_link(hub, ORIGIN_PLACE), fills * kind.parent_miss_share)
        if not self.split:
            add((ORIGIN_PLACE,), kind.fill_work)
            add(_link(place, ORIGIN_PLACE), kind.fill_work)
        return out

    def demands(self, loads: Iterable[OfferedLoad]) -> list[_Demand]:
        """A demand for each load; of a lost site's, one for the objects that nobody else wants, which move,
        and one for each site that its clients come to, for those that are there already."""
        out = []
        for load in loads:
            kind, arrivals = self.top.classes[load.class_name], self.arrivals(load.site)
            if not arrivals:
                out.append(_Demand(load, load.rate_per_s, arrivals, ()))
            elif kind.is_write:
                out.append(_Demand(load, load.rate_per_s, arrivals, (ORIGIN_PLACE,)))
            elif load.site in self.alive:
                out.append(_Demand(load, load.rate_per_s, arrivals, (load.site,)))
            else:
                near = self.top.nearest(load.site, self.alive)
                stay = load.site in self.loss.cache_sites  # then none is where its clients come
                own = load.rate_per_s * (1.0 if stay else 1 - kind.shared_object_share)
                out.append(_Demand(load, own, arrivals, tuple(near[:MAX_SURVIVORS]), moves=True))
                out += [
                    _Demand(load, load.rate_per_s * kind.shared_object_share * share, {site: 1.0}, (site,))
                    for site, share in arrivals.items()
                    if not stay
                ]
        return [demand for demand in out if demand.rate > 0]

    def choices(self, demands: list[_Demand]) -> list[_Choice]:
        out = []
        for n, demand in enumerate(demands):
            kind, arrivals = self.top.classes[demand.load.class_name], demand.arrivals
            for place in demand.places:
                way = sum(share * self.top.delay_us(s, place) for s, share in arrivals.items() if s != place)
                out.append(_Choice(n, place, way, self.uses(kind, arrivals, place)))
        return out


def _link(one: str, other: str) -> Resource:
    return ("link", *sorted((one, other)))


class _Programme:
    """Variables: each choice's rate; for each demand the part of its reserve that is missed; for each
    resource and piece of cost the use over the piece's begin."""

    def __init__(self, matter: _Matter, demands: list[_Demand], base: dict[Resource, float]) -> None:
        self.matter, self.demands, self.base, self.top = matter, demands, base, matter.top
        self.loads = [demand.load for demand in demands]
        self.choices = matter.choices(demands)
        self.resources = sorted({r for c in self.choices for r in c.uses})
        self.row_of = {r: n for n, r in enumerate(self.resources)}
        headroom = 1 - self.top.policy.headroom
        self.limits = np.array(
            [max(0.0, headroom * matter.capacity(r) - base.get(r, 0.0)) for r in self.resources]
        )
        self.rates = np.array([demand.rate for demand in demands])
        self.worth = np.array([self.top.classes[load.class_name].priority_weight for load in self.loads])
        self.count = len(self.choices)

    def _use(self) -> csr_matrix:
        """Resources by choices."""
        rows, columns, values = [], [], []
        for n, choice in enumerate(self.choices):
            for resource, work in choice.uses.items():
                rows.append(self.row_of[resource])
                columns.append(n)
                values.append(work)
        return csr_matrix((values, (rows, columns)), shape=(len(self.resources), self.count))

    def _of_demand(self) -> csr_matrix:
        """Demands by choices."""
        rows = [choice.demand for choice in self.choices]
        ones = np.ones(self.count)
        return csr_matrix((ones, (rows, range(self.count))), shape=(len(self.loads), self.count))

    def served(self) -> np.ndarray:
        """Rates of the choices: worth first, reserves before it; little congestion and short ways."""
        use, each = self._use(), self._of_demand()
        demands, resources = len(self.loads), len(self.resources)
        reserves = np.array([self.top.tenant_reserves.get(load.tenant, 0.0) for load in self.loads])
        pieces = resources * len(PIECES)
        total = self.count + demands + pieces
        whole = float(self.rates @ self.worth) or 1.0
        cost = np.zeros(total)
        way = np.array([choice.way_us for choice in self.choices])
        rates = np.array([self.rates[choice.demand] for choice in self.choices])
        longest = float((way * rates).max(initial=0.0)) or 1.0
        cost[: self.count] = [-self.worth[c.demand] for c in self.choices]
        cost[: self.count] += WAY * whole * way / longest
        cost[self.count : self.count + demands] = KEEP * self.worth
        slopes = np.diff([0.0, *(slope for _, slope in PIECES)])
        cost[self.count + demands :] = np.tile(slopes, resources) * COST * whole / max(1, resources) / 16
        blocks = [
            (use, 0, self.limits),
            (each, 0, self.rates),
        ]
        left, right = _stack(blocks, total)
        keep = csr_matrix((-np.ones(demands), (range(demands), range(demands))), shape=(demands, demands))
        left, right = _more(left, right, [(-each, 0), (keep, self.count)], -reserves * self.rates, total)
        scale = np.array([1 / self._whole(r) for r in self.resources])
        spread = csr_matrix(
            (np.repeat(scale, len(PIECES)), (range(pieces), np.repeat(range(resources), len(PIECES)))),
            shape=(pieces, resources),
        )
        begins = np.tile([begin for begin, _ in PIECES], resources)
        begins = begins - np.repeat([self.base.get(r, 0.0) for r in self.resources] * scale, len(PIECES))
        over = csr_matrix((-np.ones(pieces), (range(pieces), range(pieces))), shape=(pieces, pieces))
        left, right = _more(left, right, [(spread @ use, 0), (over, self.count + demands)], begins, total)
        found = _solved(cost, left, right)
        return np.asarray(found[: self.count])

    def evened(self, rates: np.ndarray) -> np.ndarray:
        """The same work at each place and the same of each class served, with all classes of a lost site
        split alike: no class, and so none of its objects that many want, is laid on one place alone. As it
        was where a link or store would not bear that."""
        out = rates.copy()
        for site in {d.load.site for d in self.demands if d.moves}:
            rows = [n for n, c in enumerate(self.choices) if self._moves(c, site)]
            work = np.array(
                [self.top.classes[self.loads[self.choices[n].demand].class_name].work for n in rows]
            )
            places: dict[str, float] = {}
            for n, each in zip(rows, work, strict=True):
                places[self.choices[n].place] = places.get(self.choices[n].place, 0.0) + rates[n] * each
            whole = sum(places.values())
            if not whole:
                continue
            served: dict[int, float] = {}
            for n in rows:
                served[self.choices[n].demand] = served.get(self.choices[n].demand, 0.0) + rates[n]
            for n in rows:
                out[n] = served[self.choices[n].demand] * places[self.choices[n].place] / whole
        return out if bool(np.all(self._use() @ out <= self.limits + 1e-6)) else rates

    def _moves(self, choice: _Choice, site: str) -> bool:
        demand = self.demands[choice.demand]
        return demand.moves and demand.load.site == site

    def _whole(self, resource: Resource) -> float:
        return max(1e-9, (1 - self.top.policy.headroom) * self.matter.capacity(resource))

    def fair(self, rates: np.ndarray) -> np.ndarray:
        """Nearly the same worth, with what is refused evened out between all demands: classes whose worth for
        their work is nearly alike are of one level, and none of them is shut out for a hundredth of worth."""
        use, each = self._use(), self._of_demand()
        got = each @ rates
        if float(np.sum(self.rates - got)) <= NONE:
            return rates
        fixed: dict[int, float] = {}
        out = rates
        for _ in range(FAIR_ROUNDS):
            free = [n for n in range(len(self.loads)) if n not in fixed]
            if not free:
                break
            out, level = self._level(use, each, got, fixed, free)
            now = each @ out
            held = [n for n in free if now[n] <= (level + 1e-6) * self.rates[n]]
            fixed |= {n: float(now[n]) for n in held or free}
        return out

    def _level(
        self, use: csr_matrix, each: csr_matrix, got: np.ndarray, fixed: dict[int, float], free: list[int]
    ) -> tuple[np.ndarray, float]:
        """The highest share that every free demand can have while (nearly) all worth is kept."""
        total = self.count + 1
        left, right = _stack([(use, 0, self.limits), (each, 0, self.rates)], total)
        worth = csr_matrix(self.worth.reshape(1, -1))
        whole = float(self.worth @ got)
        least = np.array([-whole * (1 - EVEN)])
        left, right = _more(left, right, [(-(worth @ each), 0)], least, total)
        floors = np.zeros(len(self.loads))
        for n, rate in fixed.items():
            floors[n] = rate * (1 - 1e-7)
        for n, load in enumerate(self.loads):
            floors[n] = max(
                floors[n], min(got[n], self.top.tenant_reserves.get(load.tenant, 0.0) * self.rates[n])
            )
        left, right = _more(left, right, [(-each, 0)], -floors * (1 - 1e-7), total)
        pick = csr_matrix((np.ones(len(free)), (range(len(free)), free)), shape=(len(free), len(self.loads)))
        wanted = csr_matrix(self.rates[free].reshape(-1, 1))
        left, right = _more(
            left, right, [(-(pick @ each), 0), (wanted, self.count)], np.zeros(len(free)), total
        )
        cost = np.zeros(total)
        cost[: self.count] = [-self.worth[c.demand] * TIE / max(NONE, whole) for c in self.choices]
        cost[-1] = -1.0
        found = _solved(cost, left, right, most_of_last=1.0)
        return np.asarray(found[: self.count]), float(found[-1])

    def need(self) -> dict[Resource, float]:
        """Transfers more of each resource, the fewest in sum, with which nothing would be refused."""
        use, each, resources = self._use(), self._of_demand(), len(self.resources)
        total = self.count + resources
        extra = csr_matrix(
            (-np.ones(resources), (range(resources), range(resources))), shape=(resources, resources)
        )
        left, right = _more(*_stack([], total), [(use, 0), (extra, self.count)], self.limits, total)
        can = np.asarray(each.sum(axis=1)).ravel() > 0
        left, right = _more(left, right, [(-each, 0)], -np.where(can, self.rates, 0.0), total)
        cost = np.concatenate([np.zeros(self.count), np.ones(resources)])
        found = _solved(cost, left, right)
        headroom = 1 - self.top.policy.headroom
        more = found[self.count :] / headroom
        return {r: float(m) for r, m in zip(self.resources, more, strict=True) if m > 1e-4}


Block = tuple[csr_matrix, int]


def _wide(blocks: list[Block], total: int) -> csr_matrix:
    """One row band of a wider matrix: each block from its column on."""
    rows, columns, values, height = [], [], [], blocks[0][0].shape[0]
    for block, at in blocks:
        found = block.tocoo()
        rows.append(found.row)
        columns.append(found.col + at)
        values.append(found.data)
    shape = (height, total)
    return csr_matrix((np.concatenate(values), (np.concatenate(rows), np.concatenate(columns))), shape=shape)


def _stack(bands: list[tuple[csr_matrix, int, np.ndarray]], total: int) -> tuple[csr_matrix, np.ndarray]:
    left, right = csr_matrix((0, total)), np.zeros(0)
    for block, at, limits in bands:
        left, right = _more(left, right, [(block, at)], limits, total)
    return left, right


def _more(
    left: csr_matrix, right: np.ndarray, blocks: list[Block], limits: np.ndarray, total: int
) -> tuple[csr_matrix, np.ndarray]:
    """A band more: the blocks side by side are at most `limits`."""
    from scipy.sparse import vstack

    return vstack([left, _wide(blocks, total)], format="csr"), np.concatenate([right, limits])


def _solved(
    cost: np.ndarray, left: csr_matrix, right: np.ndarray, most_of_last: float | None = None
) -> np.ndarray:
    bounds: list[tuple[float, float | None]] = [(0.0, None)] * len(cost)
    if most_of_last is not None:
        bounds[-1] = (0.0, most_of_last)
    found = linprog(cost, A_ub=left, b_ub=right, bounds=bounds, method="highs")
    if found.x is None:
        raise PlanUnsolvedError(str(found.message))
    return np.asarray(found.x)


def _split(matter: _Matter) -> tuple[list[_Demand], dict[Resource, float]]:
    """The demands that a loss leaves open, and what the others use."""
    top, demands = matter.top, matter.demands(matter.top.loads)
    touched = {s for d in demands if d.load.site in matter.without for s in d.places}
    touched |= matter.without
    if len(top.sites) <= WHOLE or _sources_full(matter, demands):
        return demands, {}
    base: dict[Resource, float] = {}
    for demand in demands:
        if demand.load.site not in touched:
            _add(base, matter, demand)
    return [demand for demand in demands if demand.load.site in touched], base


def _add(used: dict[Resource, float], matter: _Matter, demand: _Demand) -> None:
    """All of a demand, at the first place that it may be served at."""
    if demand.places:
        kind = matter.top.classes[demand.load.class_name]
        for resource, work in matter.uses(kind, demand.arrivals, demand.places[0]).items():
            used[resource] = used.get(resource, 0.0) + work * demand.rate


def _sources_full(matter: _Matter, demands: list[_Demand]) -> bool:
    """Would stores or archive be over their limits with everything served? Then all sites' loads are open."""
    used: dict[Resource, float] = {}
    for demand in demands:
        _add(used, matter, demand)
    headroom = 1 - matter.top.policy.headroom
    sources = {r: amount for r, amount in used.items() if r[0] in ("stores", ORIGIN_PLACE)}
    return any(amount > headroom * matter.capacity(r) for r, amount in sources.items())


def solve_loss(top: Topology, loss: SiteLoss) -> LossOutcome:
    """The answer for one loss; Unsolved where HiGHS gives none."""
    matter = _Matter(top, loss)
    demands, base = _split(matter)
    out = LossOutcome(
        loss, offered_value=sum(x.rate_per_s * top.classes[x.class_name].priority_weight for x in top.loads)
    )
    fixed = out.offered_value - sum(d.rate * top.classes[d.load.class_name].priority_weight for d in demands)
    programme = _Programme(matter, demands, base)
    if not programme.choices:
        out.served_shares = {(d.load.site, d.load.class_name, d.load.tenant): 0.0 for d in demands}
        out.served_value = fixed
        return out
    rates = programme.evened(programme.fair(programme.served()))
    _fill_in(out, programme, rates, base)
    out.served_value = fixed + float((programme._of_demand() @ rates) @ programme.worth)
    if not out.is_feasible:
        out.missing_capacity = programme.need()
    return out


def _fill_in(out: LossOutcome, programme: _Programme, rates: np.ndarray, base: dict[Resource, float]) -> None:
    matter, demands = programme.matter, programme.demands
    got = programme._of_demand() @ rates
    moved: dict[tuple[str, str], dict[str, float]] = {}
    for choice, rate in zip(programme.choices, rates, strict=True):
        demand = demands[choice.demand]
        if demand.moves:
            shares = moved.setdefault((demand.load.site, demand.load.class_name), {})
            shares[choice.place] = shares.get(choice.place, 0.0) + float(rate)
    for key, shares in moved.items():
        whole = sum(shares.values())
        out.serving_shares[key] = (
            {s: r / whole for s, r in shares.items() if r > NONE * whole} if whole else {}
        )
    asked: dict[tuple[str, str, str], list[float]] = {}
    for demand, rate in zip(demands, got, strict=True):
        row = asked.setdefault((demand.load.site, demand.load.class_name, demand.load.tenant), [0.0, 0.0])
        row[0] += demand.rate
        row[1] += float(rate)
    out.served_shares = {at: max(0.0, g / a) for at, (a, g) in asked.items() if g < a * (1 - 1e-4)}
    used = programme._use() @ rates
    for resource, amount in zip(programme.resources, used, strict=True):
        out.resource_use[resource] = ResourceUse(
            float(amount) + base.get(resource, 0.0), matter.capacity(resource)
        )
    for resource, amount in base.items():
        if resource not in out.resource_use:
            out.resource_use[resource] = ResourceUse(amount, matter.capacity(resource))
