"""Reads the site topology from the service file's blocks, and its plan file.

The readers return a validated `Topology`. Durations are in microseconds, capacities in concurrent transfers,
and rates per second.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple

from onyxwick.config.cells import is_field_name
from onyxwick.config.errors import ConfigError, suggestion
from onyxwick.config.fields import Fields
from onyxwick.config.hcl import Block, Value
from onyxwick.interface import RouterSettings
from onyxwick.sites.model import (
    DEFAULT_SITE_FIELD,
    ORIGIN_PLACE,
    Hub,
    NetworkLink,
    OfferedLoad,
    PlannedClass,
    Site,
    SitePolicy,
    Topology,
    TopologyError,
)
from onyxwick.sites.plan import SitePlan
from onyxwick.sites.plan_document import plan_from_json
from onyxwick.sites.topology_check import check_topology

S_US = 1_000_000
MINUTE_US = 60 * S_US
MIN_CONFIRM_US = 200_000
MIN_STEP_US = 100_000
MIN_HOLD_US = 500_000
MAX_HOLD_US = 10 * MINUTE_US
MIN_CAPACITY = 0.001
MAX_TRANSFERS = 1e7
MAX_RATE_PER_S = 1e7
MAX_WEIGHT = 1000
MAX_DIRECTORS = 10_000
MAX_CACHES = 100_000
MAX_STEPS = 100
MAX_SITES_PLANNED_AT_START = 24
"""A director computes the plan itself for at most this many sites; beyond, the file must name a plan."""
BLOCKS = ("sites", "site", "hub", "archive", "path", "load")
REQUIRED_BLOCKS = {
    "sites": "{ ... }",
    "site": '"NAME"',
    "archive": "{ ... }",
    "load": '"CLASS"',
}
"""The block types that every topology needs, each with an example of what follows the type."""


class ConfiguredSites(NamedTuple):
    """The topology in a file, and the plan file that it names; None if it names no plan file."""

    topology: Topology
    plan_file: Path | None


@dataclass(frozen=True, slots=True)
class _SitesBlock:
    """The contents of the block `sites`."""

    policy: SitePolicy
    reserves: dict[str, float]
    """The share of each tenant's load that is reserved, by tenant name."""
    plan: str
    """The plan file's path, or empty if there is none."""


# ---- rows ------------------------------------------------------------------------------------------------


def _number_between(value: Value, lowest: float, highest: float) -> float | None:
    """Return the number in a value; None if it is not a number or out of bounds."""
    number = value.plain()
    if isinstance(number, bool) or not isinstance(number, int | float):
        return None
    return float(number) if lowest <= number <= highest else None


def _read_shares(row: Fields, field: str) -> dict[str, float]:
    shares = {}
    for key, value in row.items(field).items():
        share = _number_between(value, 0, 1)
        if share is None:
            raise row.error(field, f"'{key}' has no share between 0 and 1", value.line)
        shares[key] = share
    return shares


def _read_site(row: Fields) -> Site:
    name = row.own_name()
    site = Site(
        name=name,
        zone=row.string("zone", name),
        capacity=row.number("capacity", MIN_CAPACITY, MAX_TRANSFERS),
        directors=row.integer("directors", 0, MAX_DIRECTORS, 1),
        caches=row.integer("boxes", 1, MAX_CACHES, 1),
        failover=_read_shares(row, "failover"),
    )
    row.reject_unknown()
    return site


def _read_hub(row: Fields, name: str) -> Hub:
    hub = Hub(
        name=name,
        zone=row.string("zone", name),
        capacity=row.number("capacity", MIN_CAPACITY, MAX_TRANSFERS),
    )
    row.reject_unknown()
    return hub


def _read_paths(top: Fields) -> dict[frozenset[str], NetworkLink]:
    links: dict[frozenset[str], NetworkLink] = {}
    for row in top.blocks("path", 2):
        one, other = row.block.labels
        ends = frozenset((one, other))
        if len(ends) < 2 or ends in links:
            problem = "connects a place to itself" if len(ends) < 2 else "is repeated with its ends swapped"
            raise ConfigError.at(row.file, row.line, f'path "{one}" "{other}" {problem}')
        links[ends] = NetworkLink(
            ends=(one, other),
            capacity=row.number("capacity", 0, MAX_TRANSFERS, 0),
            delay_us=row.duration("delay", 0, MINUTE_US, 0),
        )
        row.reject_unknown()
    return links


def _read_class(row: Fields) -> PlannedClass:
    sending_us = row.duration("sending", 1, MINUTE_US)
    return PlannedClass(
        name=row.label,
        transfer_us=sending_us,
        fill_us=row.duration("fill", 1, MINUTE_US, sending_us),
        fill_share=row.fraction("fill_share", 1.0),
        parent_miss_share=row.fraction("relay_share", 1.0),
        priority_weight=row.number("worth", 0.001, MAX_WEIGHT, 1),
        is_write=row.flag("write", False),
        shared_object_share=row.fraction("shared", 0.0),
    )


def _read_loads(row: Fields) -> list[OfferedLoad]:
    """Read the rates of one class, by site or by site and tenant."""
    loads = []
    for key, value in row.items("rate_per_s").items():
        rate = _number_between(value, 0, MAX_RATE_PER_S)
        if rate is None:
            problem = f"'{key}' has no rate of 0 to {MAX_RATE_PER_S:g} a second"
            raise row.error("rate_per_s", problem, value.line)
        site, _, tenant = key.partition("/")
        loads.append(OfferedLoad(row.label, site, rate, tenant))
    if not loads:
        raise row.error("rate_per_s", 'names no site, as { "north" = 40, "west/yards" = 20 }')
    row.reject_unknown()
    return loads


def _read_sites_block(row: Fields | None) -> _SitesBlock:
    if row is None:
        return _SitesBlock(SitePolicy(), {}, "")
    block = _SitesBlock(_read_policy(row), _read_shares(row, "reserves"), row.string("plan", ""))
    if not 0 < block.policy.remote_share < 1:
        problem = "lies between 0 and 1, and is neither: both kinds of directors need a part"
        raise row.error("guests", problem)
    row.reject_unknown()
    return block


def _read_policy(row: Fields) -> SitePolicy:
    site_field = row.string("field", DEFAULT_SITE_FIELD)
    if not is_field_name(site_field):
        raise row.error("field", f"{site_field!r} is not a request field name such as {DEFAULT_SITE_FIELD}")
    usual = SitePolicy()
    return SitePolicy(
        client_site_field=site_field,
        automatic=row.choice("evacuate", ("auto", "ordered"), "auto") == "auto",
        headroom=row.fraction("headroom", usual.headroom),
        confirm_us=row.duration("confirm", MIN_CONFIRM_US, MINUTE_US, usual.confirm_us),
        step_interval_us=row.duration("step", MIN_STEP_US, MINUTE_US, usual.step_interval_us),
        evacuation_steps=row.integer("steps", 1, MAX_STEPS, usual.evacuation_steps),
        return_steps=row.integer("back_steps", 1, MAX_STEPS, usual.return_steps),
        hold_us=row.duration("hold", MIN_HOLD_US, MAX_HOLD_US, usual.hold_us),
        remote_share=row.fraction("guests", usual.remote_share),
        max_trials=row.integer("trials", 1, MAX_STEPS, usual.max_trials),
    )


# ---- the topology ----------------------------------------------------------------------------------------


def read_sites(top: Fields, folder: Path) -> ConfiguredSites | None:
    """Read the topology from a file's blocks; None if the file has no topology blocks.

    Raises ConfigError, which names file, line and field, also if the topology is incomplete. The plan file's
    path is relative to `folder`.
    """
    blocks = [block for block in top.block.blocks if block.type in BLOCKS]
    if not blocks:
        return None
    _check_complete(top, blocks)
    sites = _read_sites_block(top.single_block("sites"))
    topology = _read_topology(top, sites)
    if not sites.plan and len(topology.sites) > MAX_SITES_PLANNED_AT_START:
        line = next(block.line for block in blocks if block.type == "sites")
        problem = (
            f"is missing; for more than {MAX_SITES_PLANNED_AT_START} sites compute the plan beforehand with"
            " `onyxwick sites plan FILE --out PLAN.json`"
        )
        raise ConfigError.at(top.file, line, problem, "sites.plan")
    return ConfiguredSites(topology, folder / sites.plan if sites.plan else None)


def _check_complete(top: Fields, blocks: list[Block]) -> None:
    """Raise ConfigError if one of the blocks that every topology needs is missing."""
    for kind, example in REQUIRED_BLOCKS.items():
        if any(block.type == kind for block in blocks):
            continue
        first = min(blocks, key=lambda block: BLOCKS.index(block.type))
        problem = (
            f"block '{first.type}' without any block '{kind}': a topology needs it, as in {kind} {example}"
        )
        raise ConfigError.at(top.file, first.line, problem)


def _read_topology(top: Fields, sites: _SitesBlock) -> Topology:
    archive = top.single_block("archive")
    assert archive is not None, "_check_complete requires the block 'archive'"
    classes: dict[str, PlannedClass] = {}
    loads: list[OfferedLoad] = []
    for row in top.blocks("load", 1):
        classes[row.label] = _read_class(row)
        loads += _read_loads(row)
    topology = Topology(
        sites={site.name: site for site in map(_read_site, top.blocks("site", 1))},
        hubs={row.label: _read_hub(row, row.own_name()) for row in top.blocks("hub", 1)},
        origin=_read_hub(archive, ORIGIN_PLACE),
        classes=classes,
        loads=tuple(loads),
        links=_read_paths(top),
        tenant_reserves=sites.reserves,
        policy=sites.policy,
    )
    try:
        check_topology(topology)
    except TopologyError as error:
        raise _located(top, error) from None
    return topology


def _located(top: Fields, error: TopologyError) -> ConfigError:
    """Convert a topology error to a ConfigError with the file and line of the block that it names."""
    for block in top.block.blocks_of(error.kind):
        if error.name in (*block.labels, "") or " - ".join(block.labels) == error.name:
            label = " ".join((error.kind, *block.labels))
            return ConfigError.at(top.file, block.line, f"{label}: {error.field}: {error.reason}")
    return ConfigError.at(top.file, 1, str(error))


# ---- the plan, and the settings --------------------------------------------------------------------------


def read_plan(top: Topology, path: Path) -> SitePlan:
    """Read a plan written by `onyxwick sites plan`. Raises ConfigError if it does not match the topology."""
    try:
        return plan_from_json(top, json.loads(path.read_text()))
    except OSError as error:
        problem = f"{path.name}: {error.strerror}; `onyxwick sites plan` writes it"
        raise ConfigError(problem, file=path.name) from None
    except (ValueError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path.name}: {error}", file=path.name) from None


def check_against(top: Topology, settings: RouterSettings, file: str) -> None:
    """Raise ConfigError if the topology does not match the director's own zone and classes."""
    if top.site_of_zone(settings.zone) is None:
        hint = suggestion(settings.zone, [site.zone for site in top.sites.values()])
        raise ConfigError.at(file, 1, f"no block 'site' has this director's zone '{settings.zone}'{hint}")
    classes = {each.name: each for each in settings.classes}
    for name, planned in top.classes.items():
        if name not in classes:
            hint = suggestion(name, classes)
            raise ConfigError.at(file, 1, f"load '{name}' is no class of the settings{hint}")
        if classes[name].is_write is not planned.is_write:
            expected = "is a write" if classes[name].is_write else "is no write"
            problem = f"load '{name}': field 'write': the class {expected} by the settings"
            raise ConfigError.at(file, 1, problem)
