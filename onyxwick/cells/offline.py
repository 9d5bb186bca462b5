"""Evaluates a cell plan from files alone, for operators before a change and for measurements."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from onyxwick.cells.model import CellPlan, CellPlanError
from onyxwick.cells.placement import Placement, check_members, compute_placement
from onyxwick.interface import Member, MemberState


@dataclass(frozen=True, slots=True)
class KnownMembers:
    """The members in a director's configuration, the kinds of members that no cell owns, and the director's
    zone."""

    members: list[Member]
    upstream_kinds: tuple[str | None, ...]
    zone: str


NO_KNOWN_MEMBERS = KnownMembers([], (None,), "")


def _read_plan(path: Path) -> CellPlan:
    from onyxwick.config import ConfigError
    from onyxwick.config.service import load

    plan = load(path).cell_plan
    if plan is None:
        raise ConfigError(f"{path.name}: names no cell")
    return plan


def _ignore_unreadable_row(text: str) -> None:
    """Ignore a row of the endpoint list that cannot be read: the summary leaves such rows out."""


def _read_members(config: Path | None) -> KnownMembers:
    if config is None:
        return NO_KNOWN_MEMBERS
    from onyxwick.config import director
    from onyxwick.core.clock import FeedTimestamps, steady_us
    from onyxwick.net.feed_wire import read_members

    director_config = director.load({"RELAY_CONFIG": str(config)})
    members: dict[str, Member] = {}
    for event in director_config.known_events.get("updates") or ():
        if "endpoints" in event:
            timestamps = FeedTimestamps()
            change, _ = read_members(event["endpoints"], timestamps, steady_us(), _ignore_unreadable_row)
            members |= {member.address: member for member in change.members}
    settings = director_config.settings
    return KnownMembers(
        [member for member in members.values() if member.state is not MemberState.REMOVED],
        (settings.parent_kind, settings.origin_kind),
        settings.zone,
    )


def moved_tenants(before: Placement, after: Placement) -> dict[str, dict[str, list[str]]]:
    """Return the tenants whose cells differ between two placements, with their cells in both."""
    moved = {}
    for tenant, cells in after.cells_of_tenant.items():
        previous = before.cells_of_tenant.get(tenant)
        if previous is not None and set(previous) != set(cells):
            moved[tenant] = {"from": list(previous), "to": list(cells)}
    return moved


def plan_summary(file: Path, config: Path | None, against: Path | None) -> dict[str, Any]:
    """Return the cells with their caches and tenants, the tenants moved since an earlier file, and findings.

    The keys are those of the command's JSON output. Raises ConfigError if a file cannot be read."""
    known = _read_members(config)
    placement = compute_placement(_read_plan(file), known.members, known.upstream_kinds)
    findings = []
    if config is not None:
        try:
            check_members(placement, known.members, known.zone)
        except CellPlanError as error:
            findings.append(str(error))
    before = placement
    if against is not None:
        before = compute_placement(_read_plan(against), known.members, known.upstream_kinds)
    cells_of_tenants = placement.cells_of_tenant.values()
    return {
        "cells": {
            cell: {
                "members": placement.members(cell),
                "tenants": sum(cell in cells for cells in cells_of_tenants),
            }
            for cell in placement.plan.cells
        },
        "moved": moved_tenants(before, placement),
        "findings": findings,
    }
