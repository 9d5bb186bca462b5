"""What the runtime reads of a plan: for a set of lost places, where each class's objects go and what is kept.

A plan is made beforehand (`planner.py`) and is data here: no solver is needed to act on it. A set of losses
that no row was made for (three sites at once) is put together from the rows that were.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

from onyxwick.sites.model import Hub, PlannedClass, Site, Topology

PLAN_FORMAT = 1
LossKey = frozenset[str]


class PlanMismatchError(ValueError):
    """A plan that was made for another topology, or is no plan; the text says which."""


@dataclass(frozen=True, slots=True)
class LossPlanRow:
    """One loss. `homes`: (site, class) to new homes by share; `kept`: (site, class, tenant) to the share that
    is served, where it is under 1; `guests`: of each survivor's boxes, the share that others' clients use."""

    serving_shares: Mapping[tuple[str, str], Mapping[str, float]] = field(default_factory=dict)
    served_shares: Mapping[tuple[str, str, str], float] = field(default_factory=dict)
    guest_shares: Mapping[str, float] = field(default_factory=dict)


def topology_digest(top: Topology) -> str:
    """Of everything that a plan depends on; how sites are watched is no part of it."""
    policy = {"headroom": top.policy.headroom}
    told = {
        "sites": {name: _site_document(site) for name, site in sorted(top.sites.items())},
        "hubs": {name: _hub_document(hub) for name, hub in sorted(top.hubs.items())},
        "archive": _hub_document(top.origin),
        "kinds": {name: _class_document(planned) for name, planned in sorted(top.classes.items())},
        "loads": sorted([x.class_name, x.site, x.tenant, x.rate_per_s] for x in top.loads),
        "paths": sorted([*sorted(p.ends), p.capacity, p.delay_us] for p in top.links.values()),
        "reserves": dict(sorted(top.tenant_reserves.items())),
        "policy": policy,
    }
    return blake2b(json.dumps(told, sort_keys=True).encode(), digest_size=8).hexdigest()


def _site_document(site: Site) -> dict[str, Any]:
    return {
        "name": site.name,
        "zone": site.zone,
        "capacity": site.capacity,
        "directors": site.directors,
        "boxes": site.caches,
        "failover": dict(site.failover),
    }


def _hub_document(hub: Hub) -> dict[str, Any]:
    return {"name": hub.name, "zone": hub.zone, "capacity": hub.capacity}


def _class_document(planned: PlannedClass) -> dict[str, Any]:
    return {
        "name": planned.name,
        "sending_us": planned.transfer_us,
        "fill_us": planned.fill_us,
        "fill_share": planned.fill_share,
        "relay_share": planned.parent_miss_share,
        "worth": planned.priority_weight,
        "write": planned.is_write,
        "shared": planned.shared_object_share,
    }


def loss_key(sites: Iterable[str], hubs: Iterable[str] = (), boxes: Iterable[str] = ()) -> LossKey:
    """What a loss is called: sites by their names, hubs and sites of which only the boxes are lost in
    words."""
    return frozenset(sites) | {f"hub {hub}" for hub in hubs} | {f"boxes of {site}" for site in boxes}


class SitePlan:
    """All rows for one topology."""

    def __init__(self, top: Topology, rows: Mapping[LossKey, LossPlanRow] | None = None) -> None:
        self.topology, self.digest = top, topology_digest(top)
        self.rows: dict[LossKey, LossPlanRow] = dict(rows or {})
        self.composed_rows: dict[LossKey, LossPlanRow] = {}  # put together where no row was made
        self.has_rows = bool(rows)

    def row(self, sites: Iterable[str], hubs: Iterable[str] = (), boxes: Iterable[str] = ()) -> LossPlanRow:
        """What to do while these places are lost, exactly as planned or put together."""
        key = loss_key(sites, hubs, boxes)
        found = self.rows.get(key) or self.composed_rows.get(key)
        if found is None:
            if len(self.composed_rows) >= 256:
                self.composed_rows.clear()
            found = self.composed_rows[key] = self._put_together(
                frozenset(sites), frozenset(hubs), frozenset(boxes)
            )
        return found

    def _put_together(self, sites: LossKey, hubs: LossKey, boxes: LossKey) -> LossPlanRow:
        """Each lost site's own row without those that are lost too; the least that any single loss keeps."""
        homes: dict[tuple[str, str], Mapping[str, float]] = {}
        kept: dict[tuple[str, str, str], float] = {}
        gone = sites | boxes
        alive = [s for s in self.topology.sites.values() if s.name not in gone]
        own = {site: loss_key([site]) for site in sites} | {site: loss_key((), (), [site]) for site in boxes}
        for part in [*own.values(), *(loss_key([], [hub]) for hub in hubs)]:
            for at, share in self.rows.get(part, LossPlanRow()).served_shares.items():
                kept[at] = min(share, kept.get(at, 1.0))
        for site, part in sorted(own.items()):
            row = self.rows.get(part, LossPlanRow())
            for kind in self.topology.classes:
                told = {s: w for s, w in row.serving_shares.get((site, kind), {}).items() if s not in gone}
                homes[(site, kind)] = told or _by_capacity(alive)
        return LossPlanRow(homes, kept, dict.fromkeys((s.name for s in alive), 1 / max(1, len(alive))))


def _by_capacity(alive: list[Site]) -> dict[str, float]:
    whole = sum(site.capacity for site in alive)
    return {site.name: site.capacity / whole for site in alive} if whole else {}


# ---- as JSON ----------------------------------------------------------------------------------------------


def plan_to_json(plan: SitePlan) -> dict[str, Any]:
    rows = []
    for key, row in sorted(plan.rows.items(), key=lambda pair: sorted(pair[0])):
        rows.append(
            {
                "lost": sorted(key),
                "homes": [[*at, dict(shares)] for at, shares in sorted(row.serving_shares.items())],
                "kept": [[*at, share] for at, share in sorted(row.served_shares.items())],
                "guests": dict(row.guest_shares),
            }
        )
    return {"format": PLAN_FORMAT, "topology": plan.digest, "rows": rows}


def plan_from_json(top: Topology, data: Any) -> SitePlan:
    """A plan as `to_json` wrote it; PlanMismatch where it is none, or one for another topology."""
    if (
        not isinstance(data, dict)
        or data.get("format") != PLAN_FORMAT
        or not isinstance(data.get("rows"), list)
    ):
        raise PlanMismatchError(f"no plan of format {PLAN_FORMAT}")
    if data.get("topology") != topology_digest(top):
        raise PlanMismatchError(
            f"made for topology {data.get('topology')}, and the service file states {topology_digest(top)}:"
            " make it anew with `onyxwick sites plan`"
        )
    rows: dict[LossKey, LossPlanRow] = {}
    try:
        for told in data["rows"]:
            homes = {(str(s), str(k)): dict(shares) for s, k, shares in told["homes"]}
            kept = {(str(s), str(k), str(t)): float(share) for s, k, t, share in told["kept"]}
            rows[frozenset(told["lost"])] = LossPlanRow(homes, kept, dict(told["guests"]))
    except (KeyError, TypeError, ValueError) as error:
        raise PlanMismatchError(f"a row of the plan cannot be read: {error!r}") from None
    return SitePlan(top, rows)
