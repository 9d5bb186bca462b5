"""Checks that the rows of a topology are consistent."""

from __future__ import annotations

from onyxwick.sites.model import ORIGIN_PLACE, Topology, TopologyError

# Limits on a topology, which bound memory and the size of the linear program.
MAX_SITES = 512
MAX_HUBS = 64
MAX_CLASSES = 64
MAX_TENANTS = 256
MIN_SITES = 2


def check_topology(topology: Topology) -> Topology:
    """Return the topology if it is consistent. Raises TopologyError for the first row that is not."""
    _check_counts(topology)
    _check_names(topology)
    _check_links(topology)
    _check_failover(topology)
    _check_loads(topology)
    _check_reserves(topology)
    return topology


def _check_counts(topology: Topology) -> None:
    _check_count("site", len(topology.sites), MAX_SITES)
    _check_count("hub", len(topology.hubs), MAX_HUBS)
    _check_count("load", len(topology.classes), MAX_CLASSES)
    tenants = {load.tenant for load in topology.loads}
    if len(tenants) > MAX_TENANTS:
        raise TopologyError("load", "", "tenants", f"{len(tenants)} found, expected at most {MAX_TENANTS}")
    if len(topology.sites) < MIN_SITES:
        name = next(iter(topology.sites), "")
        raise TopologyError(
            "site", name, "count", "expected at least two sites, as others must serve the load of a lost site"
        )


def _check_count(kind: str, count: int, maximum: int) -> None:
    if count > maximum:
        raise TopologyError(kind, "", "count", f"{count} found, expected at most {maximum}")


def _check_names(topology: Topology) -> None:
    kind_of = {ORIGIN_PLACE: "the archive"}
    site_of_zone: dict[str, str] = {}
    for site in topology.sites.values():
        _check_name("site", site.name, kind_of)
        if site.zone in site_of_zone:
            reason = f"zone '{site.zone}' belongs to site '{site_of_zone[site.zone]}' already"
            raise TopologyError("site", site.name, "zone", reason)
        site_of_zone[site.zone] = site.name
    for hub in topology.hubs.values():
        _check_name("hub", hub.name, kind_of)


def _check_name(kind: str, name: str, kind_of: dict[str, str]) -> None:
    if name in kind_of:
        raise TopologyError(kind, name, "name", f"is also the name of {kind_of[name]} in this topology")
    kind_of[name] = f"a {kind}"


def _check_links(topology: Topology) -> None:
    places = {*topology.sites, *topology.hubs, ORIGIN_PLACE}
    for link in topology.links.values():
        for end in link.ends:
            if end not in places:
                name = " - ".join(link.ends)
                raise TopologyError("path", name, "between", f"there is no place '{end}'")


def _check_failover(topology: Topology) -> None:
    for site in topology.sites.values():
        for name in site.failover:
            if name not in topology.sites or name == site.name:
                raise TopologyError(
                    "site", site.name, "failover", f"'{name}' is not another site of the topology"
                )


def _check_loads(topology: Topology) -> None:
    for load in topology.loads:
        if load.site not in topology.sites:
            raise TopologyError("load", load.class_name, "rate_per_s", f"there is no site '{load.site}'")
        if load.class_name not in topology.classes:
            raise TopologyError("load", load.class_name, "class", "is not a class with a load")


def _check_reserves(topology: Topology) -> None:
    tenants = {load.tenant for load in topology.loads}
    for tenant in topology.tenant_reserves:
        if tenant not in tenants:
            raise TopologyError("sites", "", "reserves", f"tenant '{tenant}' has no load")
