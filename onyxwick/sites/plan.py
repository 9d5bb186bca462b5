"""The loss plan that a director acts on: for a set of lost places, which sites serve what, and what is
rejected.

A plan is made beforehand by `loss_study` and is data here: acting on it needs no solver. A set of losses
without a row of its own (three sites at once) is composed of the rows of its parts. Shares are 0 to 1.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from onyxwick.sites.model import Site, Topology
from onyxwick.sites.topology_digest import topology_digest

MAX_COMPOSED_ROWS = 256
LossKey = frozenset[str]


@dataclass(frozen=True, slots=True)
class LossPlanRow:
    """What to do in one loss.

    `serving_shares`: (site, class) to the sites that serve its objects, by share. `served_shares`: (site,
    class, tenant) to the share that is served, where it is under 1. `guest_shares`: of each remaining site's
    caches, the share that other sites' clients use."""

    serving_shares: Mapping[tuple[str, str], Mapping[str, float]] = field(default_factory=dict)
    served_shares: Mapping[tuple[str, str, str], float] = field(default_factory=dict)
    guest_shares: Mapping[str, float] = field(default_factory=dict)


def loss_key(sites: Iterable[str], hubs: Iterable[str] = (), cache_sites: Iterable[str] = ()) -> LossKey:
    """The name of a loss: of lost sites, lost hubs, and sites that lose their caches alone."""
    return frozenset(sites) | {f"hub {hub}" for hub in hubs} | {f"boxes of {site}" for site in cache_sites}


class SitePlan:
    """The rows of all planned losses for one topology."""

    def __init__(self, topology: Topology, rows: Mapping[LossKey, LossPlanRow] | None = None) -> None:
        self.topology = topology
        self.digest = topology_digest(topology)
        self.rows: dict[LossKey, LossPlanRow] = dict(rows or {})
        self._composed_rows: dict[LossKey, LossPlanRow] = {}

    def row(
        self, sites: Iterable[str], hubs: Iterable[str] = (), cache_sites: Iterable[str] = ()
    ) -> LossPlanRow:
        """What to do while these places are lost, as planned or composed."""
        key = loss_key(sites, hubs, cache_sites)
        row = self.rows.get(key) or self._composed_rows.get(key)
        if row is None:
            if len(self._composed_rows) >= MAX_COMPOSED_ROWS:
                self._composed_rows.clear()
            row = self._compose(frozenset(sites), frozenset(hubs), frozenset(cache_sites))
            self._composed_rows[key] = row
        return row

    def _compose(self, sites: LossKey, hubs: LossKey, cache_sites: LossKey) -> LossPlanRow:
        """Each lost site's own row without the sites that are lost too; of what is served, the least that any
        single loss leaves."""
        lost = sites | cache_sites
        remaining = [site for site in self.topology.sites.values() if site.name not in lost]
        key_of_site = {site: loss_key([site]) for site in sites}
        key_of_site |= {site: loss_key((), (), [site]) for site in cache_sites}
        keys = [*key_of_site.values(), *(loss_key([], [hub]) for hub in hubs)]
        served_shares: dict[tuple[str, str, str], float] = {}
        for key in keys:
            for group, share in self.rows.get(key, LossPlanRow()).served_shares.items():
                served_shares[group] = min(share, served_shares.get(group, 1.0))
        serving_shares: dict[tuple[str, str], Mapping[str, float]] = {}
        for site, key in sorted(key_of_site.items()):
            row = self.rows.get(key, LossPlanRow())
            for class_name in self.topology.classes:
                planned = row.serving_shares.get((site, class_name), {})
                available = {name: share for name, share in planned.items() if name not in lost}
                serving_shares[(site, class_name)] = available or _shares_by_capacity(remaining)
        even_share = 1 / max(1, len(remaining))
        return LossPlanRow(
            serving_shares, served_shares, dict.fromkeys((site.name for site in remaining), even_share)
        )


def _shares_by_capacity(sites: list[Site]) -> dict[str, float]:
    total = sum(site.capacity for site in sites)
    return {site.name: site.capacity / total for site in sites} if total else {}
