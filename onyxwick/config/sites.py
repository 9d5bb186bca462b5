"""The one reader of a topology of sites, from the service file's blocks."""

from __future__ import annotations

import json
import re
from pathlib import Path

from onyxwick.config.errors import ConfigError, guess
from onyxwick.config.fields import NAME, Fields
from onyxwick.interface import RouterSettings
from onyxwick.sites.model import (
    ARCHIVE,
    SITE_FIELD,
    Hub,
    OfferedLoad,
    PlannedClass,
    Site,
    SitePolicy,
    Topology,
    TopologyError,
    check,
)
from onyxwick.sites.model import NetworkLink as Way
from onyxwick.sites.plan import SitePlan, of_json

MINUTE_US = 60_000_000
BLOCKS = ("sites", "site", "hub", "archive", "path", "load")
_FIELD = re.compile(r"[A-Za-z][A-Za-z0-9-]{0,63}").fullmatch
MOST_TRANSFERS = 1e7
MOST_RATE = 1e7
MADE_AT_START = 24  # sites up to which a director makes the plan itself; over it the file names one


def _named(row: Fields) -> str:
    if not NAME(row.label):
        raise ConfigError(
            f"{row.file}:{row.block.line}: {row.where}: '{row.label}' is no name of small letters, digits and"
            " hyphens"
        )
    return row.label


def _shares(row: Fields, name: str) -> dict[str, float]:
    out = {}
    for key, value in row.items(name).items():
        share = value.plain()
        if isinstance(share, bool) or not isinstance(share, int | float) or not 0 <= share <= 1:
            raise row.error(name, f"'{key}' has no share between 0 and 1", value.line)
        out[key] = float(share)
    return out


def _site(row: Fields) -> Site:
    name = _named(row)
    out = Site(
        name,
        row.text("zone", name),
        row.number("capacity", 0.001, MOST_TRANSFERS),
        row.whole("directors", 0, 10_000, 1),
        row.whole("boxes", 1, 100_000, 1),
        _shares(row, "failover"),
    )
    row.done()
    return out


def _hub(row: Fields, name: str) -> Hub:
    out = Hub(name, row.text("zone", name), row.number("capacity", 0.001, MOST_TRANSFERS))
    row.done()
    return out


def _paths(top: Fields) -> dict[frozenset[str], Way]:
    out: dict[frozenset[str], Way] = {}
    for row in top.blocks("path", 2):
        one, other = row.block.labels
        ends = frozenset((one, other))
        if len(ends) < 2 or ends in out:
            text = "leads from a place to itself" if len(ends) < 2 else "stands twice, once in each order"
            raise ConfigError(f'{row.file}:{row.block.line}: path "{one}" "{other}" {text}')
        capacity = row.number("capacity", 0, MOST_TRANSFERS, 0)
        out[ends] = Way((one, other), capacity, row.duration("delay", 0, MINUTE_US, 0))
        row.done()
    return out


def _load(row: Fields) -> tuple[PlannedClass, list[OfferedLoad]]:
    name = row.label
    sending = row.duration("sending", 1, MINUTE_US)
    kind = PlannedClass(
        name,
        sending,
        row.duration("fill", 1, MINUTE_US, sending),
        row.share("fill_share", 1.0),
        row.share("relay_share", 1.0),
        row.number("worth", 0.001, 1000, 1),
        row.flag("write", False),
        row.share("shared", 0.0),
    )
    loads = []
    for key, value in row.items("rate_per_s").items():
        rate = value.plain()
        if isinstance(rate, bool) or not isinstance(rate, int | float) or not 0 <= rate <= MOST_RATE:
            raise row.error("rate_per_s", f"'{key}' has no rate of 0 to {MOST_RATE:g} a second", value.line)
        site, _, tenant = key.partition("/")
        loads.append(OfferedLoad(name, site, float(rate), tenant))
    if not loads:
        raise row.error("rate_per_s", 'names no site, as { "north" = 40, "west/yards" = 20 }')
    row.done()
    return kind, loads


def _policy(row: Fields | None) -> tuple[SitePolicy, dict[str, float], str]:
    if row is None:
        return SitePolicy(), {}, ""
    field = row.text("field", SITE_FIELD)
    if not _FIELD(field):
        raise row.error("field", f"{field!r} is no name of a request field, as {SITE_FIELD}")
    usual = SitePolicy()
    policy = SitePolicy(
        field,
        row.choice("evacuate", ("auto", "ordered"), "auto") == "auto",
        row.share("headroom", usual.headroom),
        row.duration("confirm", 200_000, MINUTE_US, usual.confirm_us),
        row.duration("step", 100_000, MINUTE_US, usual.step_us),
        row.whole("steps", 1, 100, usual.steps),
        row.whole("back_steps", 1, 100, usual.back_steps),
        row.duration("hold", 500_000, 10 * MINUTE_US, usual.hold_us),
        row.share("guests", usual.guests),
        row.whole("trials", 1, 100, usual.trials),
    )
    reserves, plan = _shares(row, "reserves"), row.text("plan", "")
    if not 0 < policy.guests < 1:
        raise row.error("guests", "lies between 0 and 1, and is neither: both kinds of directors need a part")
    row.done()
    return policy, reserves, plan


def _where(top: Fields, error: TopologyError) -> ConfigError:
    """A topology's error with the file and line of the row that it names."""
    for block in top.block.of(error.kind):
        if error.name in (*block.labels, "") or " - ".join(block.labels) == error.name:
            label = " ".join((error.kind, *block.labels))
            return ConfigError(f"{top.file}:{block.line}: {label}: {error.field}: {error.text}")
    return ConfigError(f"{top.file}:1: {error}")


def read_sites(top: Fields, folder: Path) -> tuple[Topology, Path | None] | None:
    """The topology in a file's blocks and the file with its plan, if it names one; None where there is none.

    ConfigError names file, line and field; a topology that is half written is an error too.
    """
    rows = {kind: [b for b in top.block.blocks if b.type == kind] for kind in BLOCKS}
    if not any(rows.values()):
        return None
    for kind, what in (("sites", "{ ... }"), ("site", '"NAME"'), ("archive", "{ ... }"), ("load", '"CLASS"')):
        if not rows[kind]:
            found = next(b for blocks in rows.values() for b in blocks)
            text = f"block '{found.type}' without any block '{kind}': sites are told whole, as {kind} {what}"
            raise ConfigError(f"{top.file}:{found.line}: {text}")
    policy, reserves, plan = _policy(top.block_of("sites"))
    archive = top.block_of("archive")
    assert archive is not None
    kinds: dict[str, PlannedClass] = {}
    loads: list[OfferedLoad] = []
    for row in top.blocks("load", 1):
        one, told = _load(row)
        kinds[one.name] = one
        loads += told
    topology = Topology(
        {site.name: site for site in map(_site, top.blocks("site", 1))},
        {row.label: _hub(row, _named(row)) for row in top.blocks("hub", 1)},
        _hub(archive, ARCHIVE),
        kinds,
        tuple(loads),
        _paths(top),
        reserves,
        policy,
    )
    try:
        check(topology)
    except TopologyError as error:
        raise _where(top, error) from None
    if not plan and len(topology.sites) > MADE_AT_START:
        line = next(b.line for b in rows["sites"])
        raise ConfigError(
            f"{top.file}:{line}: field 'sites.plan': is missing; for over {MADE_AT_START} sites the plan is"
            " made beforehand, by `onyxwick sites plan FILE --out PLAN.json`"
        )
    return topology, folder / plan if plan else None


def read_plan(top: Topology, path: Path) -> SitePlan:
    """A plan that `onyxwick sites plan` has written; ConfigError where it cannot be used for this
    topology."""
    try:
        return of_json(top, json.loads(path.read_text()))
    except OSError as error:
        raise ConfigError(f"{path.name}: {error.strerror}; `onyxwick sites plan` writes it") from None
    except (ValueError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path.name}: {error}") from None


def check_against(top: Topology, settings: RouterSettings, file: str) -> None:
    """ConfigError where a topology does not fit what the director is told of itself and its classes."""
    if top.of_zone(settings.zone) is None:
        hint = guess(settings.zone, [site.zone for site in top.sites.values()])
        text = f"no block 'site' has this director's zone '{settings.zone}'{hint}"
        raise ConfigError(f"{file}:1: {text}")
    classes = {c.name: c for c in settings.classes}
    for name, kind in top.kinds.items():
        if name not in classes:
            raise ConfigError(f"{file}:1: load '{name}' is no class of the settings{guess(name, classes)}")
        if classes[name].is_write is not kind.write:
            told = "is a write" if classes[name].is_write else "is no write"
            raise ConfigError(f"{file}:1: load '{name}': field 'write': the class {told} by the settings")
