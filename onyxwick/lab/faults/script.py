"""Reads scenarios of the fault bench from HCL: the blocks of a lab scenario, and the blocks fleet, site, hub,
path, fault, seen and policy."""

from __future__ import annotations

import random
from dataclasses import replace
from pathlib import Path

from onyxwick.config import ConfigError, hcl
from onyxwick.config.fields import Fields
from onyxwick.lab import scenario as plain
from onyxwick.lab.faults.model import (
    ARCHIVE,
    FaultLink,
    FleetScenario,
    HubSpec,
    InjectedFault,
    SiteSpec,
    When,
)

MINUTE = 60_000_000
FAULT_KINDS = {
    "lose": "a site or hub falls silent, its directors are killed; it returns with cold caches after `for`",
    "cut": "nothing passes between two places, as A|B",
    "cut-there": "nothing passes from A to B; traffic from B to A does",
    "cut-back": "traffic from A reaches B, and nothing passes back",
    "slow": "the caches of a site serve at 1/`amount` of their capacity",
    "lossy": "connections between two places, as A|B, are reset with probability `amount` at each chunk",
    "delay": "traffic between two places, as A|B, takes `amount` milliseconds longer",
    "replace": "a site's caches are drained, stopped and replaced under new ids, one by one over `for`",
    "stop": "SIGSTOP of a director, SIGCONT after `for`",
    "kill": "SIGKILL of a director, started again after `for`",
    "mute": "the coordinator of a director (or of all directors) is unreachable",
    "unlisted": "from here on the endpoint lists report no loss and show all as well",
    "purge": "a group of objects, or all objects, are purged",
    "order": "an operator's order at every director, as SITE and the order",
    "drill": "a drill of a site for `amount` seconds at every director",
}
FAULT_OPTIONS = ("", "boxes", "directors", "part", "new", "twice", "silent")
NEEDS_PAIR = ("cut", "cut-there", "cut-back", "lossy", "delay")


def _site_spec(row: Fields) -> SiteSpec:
    shares = {}
    for name, value in row.items("failover").items():
        data = value.plain()
        if isinstance(data, bool) or not isinstance(data, int | float) or not 0 <= data <= 1:
            raise row.error("failover", f"'{name}' has no share between 0 and 1", value.line)
        shares[name] = float(data)
    out = SiteSpec(
        row.label,
        row.integer("directors", 0, 60, 2),
        row.integer("boxes", 1, 60, 6),
        row.fraction("share", 0.0),
        shares,
    )
    row.reject_unknown()
    return out


def _links(top: Fields) -> dict[frozenset[str], FaultLink]:
    out = {}
    for row in top.blocks("path", 2):
        one, other = row.block.labels
        link = FaultLink((one, other), row.number("capacity", 0, 1e6, 0), row.duration("delay", 0, MINUTE, 0))
        out[frozenset(link.ends)] = link
        row.reject_unknown()
    return out


def _fault(row: Fields) -> InjectedFault:
    when = When(
        row.duration("at", 0, 10 * MINUTE, 0),
        row.string("says", ""),
        row.string("director", ""),
        row.integer("count", 1, 1000, 1),
    )
    out = InjectedFault(
        row.label,
        when,
        row.choice("what", FAULT_KINDS),
        row.string("name"),
        row.duration("for", 0, 10 * MINUTE, 0),
        row.choice("how", FAULT_OPTIONS, ""),
        row.number("amount", 0, 1e6, 0),
    )
    if out.what in NEEDS_PAIR and out.name.count("|") != 1:
        raise row.error("name", f"'{out.what}' is between two places, as north|hub-a")
    row.reject_unknown()
    return out


def _fill_shares(top: Fields) -> dict[str, tuple[float, float]]:
    out = {}
    for row in top.blocks("seen", 1):
        out[row.label] = (row.fraction("fill_share"), row.fraction("relay_share"))
        row.reject_unknown()
    return out


def read(path: Path) -> FleetScenario:
    """Read a scenario from its file. Raises ConfigError, which names the file, line and field."""
    block = plain.extended(path)
    kinds = ("site", "hub", "path", "fault", "fleet", "seen", "policy")
    own = hcl.Block("", [], 1)
    own.blocks = [b for b in block.blocks if b.type in kinds]
    block.blocks = [b for b in block.blocks if b.type not in kinds]
    scenario = plain.read_blocks(block, path)
    top = Fields(own, path.name)
    head, policy = top.single_block("fleet"), top.single_block("policy")
    sites = {row.label: _site_spec(row) for row in top.blocks("site", 1)}
    hubs = {}
    for row in top.blocks("hub", 1):
        hubs[row.label] = HubSpec(row.label, row.integer("stores", 1, 60, 1))
        row.reject_unknown()
    if head is None or len(sites) < 2 or not hubs:
        raise ConfigError(f"{path.name}:1: a block 'fleet', two blocks 'site' and a block 'hub' are wanted")
    archive_at = head.choice("archive", hubs, next(iter(hubs)))
    failover = head.duration("failover", 0, MINUTE, 3_000_000)
    reserves = {n: float(v.plain()) for n, v in head.items("reserves").items()}
    local = head.fraction("local", 0.0)
    head.reject_unknown()
    policy_text = {n: _hcl_text(v.plain()) for n, v in policy.block.attributes.items()} if policy else {}
    faults, links = tuple(_fault(row) for row in top.blocks("fault", 1)), _links(top)
    seen = _fill_shares(top)
    top.reject_unknown()
    total_share = sum(site.share for site in sites.values())
    if not total_share:
        sites = {n: replace(s, share=1 / len(sites)) for n, s in sites.items()}
    else:
        sites = {n: replace(s, share=s.share / total_share) for n, s in sites.items()}
    count = sum(site.directors for site in sites.values())
    scenario = replace(scenario, directors=count)
    fleet = FleetScenario(
        scenario, sites, hubs, archive_at, links, faults, failover, seen, policy_text, reserves, local
    )
    _check(fleet, path.name)
    return fleet


def _hcl_text(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return f'"{value}"' if isinstance(value, str) else str(value)


def _check(fleet: FleetScenario, file: str) -> None:
    places = {*fleet.sites, *fleet.hubs, ARCHIVE, "outside"}
    for link in fleet.links.values():
        if missing := set(link.ends) - places:
            raise ConfigError(f"{file}:1: path: there is no place '{min(missing)}'")
    for fault in fleet.faults:
        names = fault.name.split("|") if fault.what in NEEDS_PAIR else []
        if missing := set(names) - places:
            raise ConfigError(f"{file}:1: fault '{fault.label}': there is no place '{min(missing)}'")


def drawn(fleet: FleetScenario, seed: int) -> FleetScenario:
    """Return the scenario with the faults shifted by a seed: the duration by up to a tenth, and a start time
    other than 0 by up to 2 s."""
    rng = random.Random(f"faults {seed}")
    faults = []
    for fault in fleet.faults:
        at = fault.when.at_us + int(rng.uniform(0, 2_000_000)) if fault.when.at_us else 0
        faults.append(
            replace(
                fault,
                when=replace(fault.when, at_us=at),
                for_us=int(fault.for_us * rng.uniform(0.9, 1.1)),
            )
        )
    return replace(fleet, faults=tuple(faults))


def spread(fleet: FleetScenario, directors: int) -> FleetScenario:
    """Return the scenario with the same traffic and another total number of directors. The numbers of any two
    sites differ by one at most."""
    count = len(fleet.sites)
    sites = {
        name: replace(site, directors=directors // count + (n < directors % count))
        for n, (name, site) in enumerate(fleet.sites.items())
    }
    return replace(fleet, sites=sites, scenario=replace(fleet.scenario, directors=directors))
