"""Scenarios from HCL."""

from __future__ import annotations

from pathlib import Path

from onyxwick.config import ConfigError, hcl
from onyxwick.config.fields import REQUIRED, Fields
from onyxwick.interface import Idempotency, RequestClass
from onyxwick.lab.model import Happening, Scenario, ScenarioClass, ScenarioFault, ScenarioLoad, Tier

MINUTE = 60_000_000
REPEATS = {"free": Idempotency.IDEMPOTENT, "once": Idempotency.NON_IDEMPOTENT}
MOST_EXTENDED = 4  # files over each other
WHAT = ("purge", "drain", "lift", "kill", "start", "service", "crash", "mute", "unmute", "api")


def _tier(row: Fields, start: float, rise_us: int, multiple: float) -> Tier:
    out = Tier(
        row.integer("count", 1, 200, 1),
        row.number("capacity", 0.1, 10_000),
        row.fraction("cold_share", start),
        row.duration("cold", 0, MINUTE, rise_us),
        row.number("fall_multiple", 1, 100, multiple),
        row.duration("wait", 0, MINUTE, 0),
    )
    row.reject_unknown()
    return out


def _job(row: Fields) -> ScenarioClass:
    repeat = REPEATS[row.choice("repeat", REPEATS, "free")]
    kind = RequestClass(
        row.label,
        repeat,
        row.duration("aim", 1000, MINUTE),
        row.duration("deadline", 1000, MINUTE),
        latency_objective_stretch=row.number("stretch", 0, 100, 0),
        priority_weight=row.number("worth", 0.01, 1000, 1),
        is_write=repeat is Idempotency.NON_IDEMPOTENT,
        segmented=True,
        freshness_lifetime_us=row.duration("fresh", 0, MINUTE, 0),
    )
    out = ScenarioClass(
        kind,
        row.duration("sending", 1000, MINUTE),
        row.integer("bytes", 1, 200_000, 2000),
        row.integer("parts", 1, 100, 1),
    )
    row.reject_unknown()
    return out


def _fault(row: Fields, classes: set[str]) -> ScenarioFault:
    out = ScenarioFault(
        row.label,
        row.duration("begin", 0, 10 * MINUTE),
        row.duration("end", 0, 10 * MINUTE),
        row.number("factor", 0, 1000, 1),
        row.flag("unique", False),
        row.string("only", "") or None,
        row.flag("never_reads", False),
    )
    if out.only and out.only not in classes:
        raise row.error("only", f"'{out.only}' is no class")
    row.reject_unknown()
    return out


def _load(row: Fields, classes: set[str]) -> ScenarioLoad:
    mix = []
    for name, value in row.items("mix").items():
        if name not in classes or not isinstance(value.data, int | float) or value.data < 0:
            raise row.error("mix", f"'{name}' is no class with a share", value.line)
        mix.append((name, float(value.data)))
    out = ScenarioLoad(
        row.label,
        row.number("rate_per_s", 0, 10_000),
        row.integer("objects", 1, 1_000_000, 100),
        row.number("zipf", 0, 4, 0.9),
        tuple(mix),
        tuple(_fault(fault, classes) for fault in row.blocks("misbehaves", 1)),
    )
    if not mix:
        raise row.error("mix", "names no class")
    row.reject_unknown()
    return out


def _happening(row: Fields) -> Happening:
    at, what = row.duration("at", 0, 10 * MINUTE), row.choice("what", WHAT)
    out = Happening(at, what, row.string("name", "" if what in ("mute", "unmute") else REQUIRED))
    row.reject_unknown()
    return out


def extended(path: Path, depth: int = 0) -> hcl.Block:
    """The file's blocks over those of the file that its `scenario` extends: a block of the same type and
    labels is replaced, of `scenario` each attribute by itself; what happens is added."""
    own = hcl.read(path)
    head = next(own.blocks_of("scenario"), None)
    base_name = head.attributes.pop("extends", None) if head else None
    if head is None or base_name is None:
        return own
    if depth >= MOST_EXTENDED:
        raise ConfigError(f"{path.name}:{base_name.line}: files extend each other in a circle")
    base = extended(path.parent / str(base_name.data), depth + 1)
    above = next(base.blocks_of("scenario"))
    above.attributes |= head.attributes
    mine = {(block.type, *block.labels) for block in own.blocks if block.type != "happens"}
    kept = [b for b in base.blocks if b is above or (b.type, *b.labels) not in mine]
    base.blocks = kept + [block for block in own.blocks if block is not head]
    return base


def _needed(top: Fields, name: str) -> Fields:
    found = top.single_block(name)
    if found is None:
        raise ConfigError(f"{top.file}:1: block '{name}' is missing")
    return found


def read(path: Path) -> Scenario:
    """A scenario from its file; ConfigError names file, line and field."""
    return read_blocks(extended(path), path)


def read_blocks(block: hcl.Block, path: Path) -> Scenario:
    """A scenario from a file's blocks, those of the files that it extends included."""
    top = Fields(block, path.name)
    head = _needed(top, "scenario")
    jobs = tuple(_job(row) for row in top.blocks("class", 1))
    names = {job.kind.name for job in jobs}
    service = head.string("service", "")
    bounds = head.items("least")
    out = Scenario(
        name=path.stem,
        duration_us=head.duration("duration", 1_000_000, 10 * MINUTE),
        counted_from_us=head.duration("counted_from", 0, 10 * MINUTE, 0),
        directors=head.integer("directors", 1, 64, 1),
        boxes=_tier(_needed(top, "boxes"), 0.18, 17_000_000, 4.0),
        parents=_tier(_needed(top, "parents"), 0.07, 20_000_000, 2.0),
        origin=_tier(_needed(top, "origin"), 1.0, 0, 100.0),
        jobs=jobs,
        loads=tuple(_load(row, names) for row in top.blocks("tenant", 1)),
        happenings=tuple(_happening(row) for row in top.blocks("happens")),
        service=path.parent / service if service else None,
        store=head.flag("store", False),
        told_after_us=head.duration("told_after", 0, MINUTE, 200_000),
        purge_done_us=head.duration("purge_done", 0, MINUTE, 6_000_000),
        warm_objects=head.integer("warm_objects", 0, 100_000, 0),
        bounds=tuple((name, float(value.data)) for name, value in bounds.items()),
    )
    head.reject_unknown()
    top.reject_unknown()
    return out
