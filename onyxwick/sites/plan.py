"""The loss plan of a director: for a set of lost places, which sites serve which load, and what is rejected.

`loss_study` computes a plan in advance; a director needs no solver to apply it. For a set of losses
without a row, such as three sites at the same time, a row is composed from the rows of the single losses.
Shares are 0 to 1.
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
    """The planned response to one loss.

    `serving_shares`: by (site, class), the sites that serve its objects and their shares of the served load.
    `served_shares`: by (site, class, tenant), the share of its requests that is served, if below 1.
    `guest_shares`: by remaining site, the share of its caches that clients of other sites use."""

    serving_shares: Mapping[tuple[str, str], Mapping[str, float]] = field(default_factory=dict)
    served_shares: Mapping[tuple[str, str, str], float] = field(default_factory=dict)
    guest_shares: Mapping[str, float] = field(default_factory=dict)


def loss_key(sites: Iterable[str], hubs: Iterable[str] = (), cache_sites: Iterable[str] = ()) -> LossKey:
    """Return the key of a loss of sites, hubs, and sites that lose only their caches."""
    return frozenset(sites) | {f"hub {hub}" for hub in hubs} | {f"boxes of {site}" for site in cache_sites}


class SitePlan:
    """The responses to all planned losses of one topology."""

    def __init__(self, topology: Topology, rows: Mapping[LossKey, LossPlanRow] | None = None) -> None:
        self.topology = topology
        self.digest = topology_digest(topology)
        self.rows: dict[LossKey, LossPlanRow] = dict(rows or {})
        self._composed_rows: dict[LossKey, LossPlanRow] = {}

    def row(
        self, sites: Iterable[str], hubs: Iterable[str] = (), cache_sites: Iterable[str] = ()
    ) -> LossPlanRow:
        """Return the planned or composed response to the loss of these places."""
        key = loss_key(sites, hubs, cache_sites)
        row = self.rows.get(key) or self._composed_rows.get(key)
        if row is None:
            if len(self._composed_rows) >= MAX_COMPOSED_ROWS:
                self._composed_rows.clear()
            row = self._compose(frozenset(sites), frozenset(hubs), frozenset(cache_sites))
            self._composed_rows[key] = row
        return row

    def _compose(self, sites: LossKey, hubs: LossKey, cache_sites: LossKey) -> LossPlanRow:
        """Compose a row from the rows of the single losses.

        The objects of each lost site are served as in its own row, but not by the other lost sites. The
        served share is the lowest of all single losses."""
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
