"""What the runtime reads of a plan: for a set of lost places, where each class's objects go and what is kept.

A plan is made beforehand (`planner.py`) and is data here: no solver is needed to act on it. A set of losses
that no row was made for (three sites at once) is put together from the rows that were.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from dataclasses import asdict, dataclass, field
from hashlib import blake2b
from typing import Any

from onyxwick.sites.model import Site, Topology

FORMAT = 1
Key = frozenset[str]


class PlanMismatchError(ValueError):
    """A plan that was made for another topology, or is no plan; the text says which."""


@dataclass(frozen=True, slots=True)
class LossPlanRow:
    """One loss. `homes`: (site, class) to new homes by share; `kept`: (site, class, tenant) to the share that
    is served, where it is under 1; `guests`: of each survivor's boxes, the share that others' clients use."""

    homes: Mapping[tuple[str, str], Mapping[str, float]] = field(default_factory=dict)
    kept: Mapping[tuple[str, str, str], float] = field(default_factory=dict)
    guests: Mapping[str, float] = field(default_factory=dict)


def digest(top: Topology) -> str:
    """Of everything that a plan depends on; how sites are watched is no part of it."""
    policy = {"headroom": top.policy.headroom}
    told = {
        "sites": {n: asdict(s) for n, s in sorted(top.sites.items())},
        "hubs": {n: asdict(h) for n, h in sorted(top.hubs.items())},
        "archive": asdict(top.archive),
        "kinds": {n: asdict(k) for n, k in sorted(top.kinds.items())},
        "loads": sorted([x.kind, x.site, x.tenant, x.rate_per_s] for x in top.loads),
        "paths": sorted([*sorted(p.ends), p.capacity, p.delay_us] for p in top.paths.values()),
        "reserves": dict(sorted(top.reserves.items())),
        "policy": policy,
    }
    return blake2b(json.dumps(told, sort_keys=True).encode(), digest_size=8).hexdigest()


def key_of(sites: Iterable[str], hubs: Iterable[str] = (), boxes: Iterable[str] = ()) -> Key:
    """What a loss is called: sites by their names, hubs and sites of which only the boxes are lost in
    words."""
    return frozenset(sites) | {f"hub {hub}" for hub in hubs} | {f"boxes of {site}" for site in boxes}


class SitePlan:
    """All rows for one topology."""

    def __init__(self, top: Topology, rows: Mapping[Key, LossPlanRow] | None = None) -> None:
        self.top, self.digest = top, digest(top)
        self.rows: dict[Key, LossPlanRow] = dict(rows or {})
        self.made: dict[Key, LossPlanRow] = {}  # put together where no row was made
        self.stated = bool(rows)

    def row(self, sites: Iterable[str], hubs: Iterable[str] = (), boxes: Iterable[str] = ()) -> LossPlanRow:
        """What to do while these places are lost, exactly as planned or put together."""
        key = key_of(sites, hubs, boxes)
        found = self.rows.get(key) or self.made.get(key)
        if found is None:
            if len(self.made) >= 256:
                self.made.clear()
            found = self.made[key] = self._put_together(frozenset(sites), frozenset(hubs), frozenset(boxes))
        return found

    def _put_together(self, sites: Key, hubs: Key, boxes: Key) -> LossPlanRow:
        """Each lost site's own row without those that are lost too; the least that any single loss keeps."""
        homes: dict[tuple[str, str], Mapping[str, float]] = {}
        kept: dict[tuple[str, str, str], float] = {}
        gone = sites | boxes
        alive = [s for s in self.top.sites.values() if s.name not in gone]
        own = {site: key_of([site]) for site in sites} | {site: key_of((), (), [site]) for site in boxes}
        for part in [*own.values(), *(key_of([], [hub]) for hub in hubs)]:
            for at, share in self.rows.get(part, LossPlanRow()).kept.items():
                kept[at] = min(share, kept.get(at, 1.0))
        for site, part in sorted(own.items()):
            row = self.rows.get(part, LossPlanRow())
            for kind in self.top.kinds:
                told = {s: w for s, w in row.homes.get((site, kind), {}).items() if s not in gone}
                homes[(site, kind)] = told or _by_capacity(alive)
        return LossPlanRow(homes, kept, dict.fromkeys((s.name for s in alive), 1 / max(1, len(alive))))


def _by_capacity(alive: list[Site]) -> dict[str, float]:
    whole = sum(site.capacity for site in alive)
    return {site.name: site.capacity / whole for site in alive} if whole else {}


# ---- as JSON ----------------------------------------------------------------------------------------------


def to_json(plan: SitePlan) -> dict[str, Any]:
    rows = []
    for key, row in sorted(plan.rows.items(), key=lambda pair: sorted(pair[0])):
        rows.append(
            {
                "lost": sorted(key),
                "homes": [[*at, dict(shares)] for at, shares in sorted(row.homes.items())],
                "kept": [[*at, share] for at, share in sorted(row.kept.items())],
                "guests": dict(row.guests),
            }
        )
    return {"format": FORMAT, "topology": plan.digest, "rows": rows}


def of_json(top: Topology, data: Any) -> SitePlan:
    """A plan as `to_json` wrote it; PlanMismatch where it is none, or one for another topology."""
    if not isinstance(data, dict) or data.get("format") != FORMAT or not isinstance(data.get("rows"), list):
        raise PlanMismatchError(f"no plan of format {FORMAT}")
    if data.get("topology") != digest(top):
        raise PlanMismatchError(
            f"made for topology {data.get('topology')}, and the service file states {digest(top)}:"
            " make it anew with `onyxwick sites plan`"
        )
    rows: dict[Key, LossPlanRow] = {}
    try:
        for told in data["rows"]:
            homes = {(str(s), str(k)): dict(shares) for s, k, shares in told["homes"]}
            kept = {(str(s), str(k), str(t)): float(share) for s, k, t, share in told["kept"]}
            rows[frozenset(told["lost"])] = LossPlanRow(homes, kept, dict(told["guests"]))
    except (KeyError, TypeError, ValueError) as error:
        raise PlanMismatchError(f"a row of the plan cannot be read: {error!r}") from None
    return SitePlan(top, rows)
