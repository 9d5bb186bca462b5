"""What a plan would do, from files alone: for operators before a change, and for measurements."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from onyxwick.cells.model import CellPlan, PlanError
from onyxwick.cells.placement import Placement, check_members, place
from onyxwick.interface import Member, MemberState


def _plan(path: Path) -> CellPlan:
    from onyxwick.config import ConfigError
    from onyxwick.config.service import load

    plan = load(path).cell_plan
    if plan is None:
        raise ConfigError(f"{path.name}: names no cell")
    return plan


def _passed_over(text: str) -> None:
    """A row that cannot be read says nothing here."""


def _members(config: Path | None) -> tuple[list[Member], tuple[str | None, ...], str]:
    if config is None:
        return [], (None,), ""
    from onyxwick.config import director as relay
    from onyxwick.core.clock import FeedTimestamps, steady_us
    from onyxwick.net.feed_wire import read_members

    told = relay.load({"RELAY_CONFIG": str(config)})
    listed: dict[str, Member] = {}
    for event in told.known_events.get("updates") or ():
        if "endpoints" in event:
            change, _ = read_members(event["endpoints"], FeedTimestamps(), steady_us(), _passed_over)
            listed |= {m.address: m for m in change.members}
    kinds = (told.settings.parent_kind, told.settings.origin_kind)
    return [m for m in listed.values() if m.state is not MemberState.REMOVED], kinds, told.settings.zone


def moved(before: Placement, after: Placement) -> dict[str, dict[str, list[str]]]:
    """Tenants that have other cells in the one than in the other."""
    out = {}
    for tenant, cells in after.home_of.items():
        old = before.home_of.get(tenant)
        if old is not None and set(old) != set(cells):
            out[tenant] = {"from": list(old), "to": list(cells)}
    return out


def planned(file: Path, config: Path | None, against: Path | None) -> dict[str, Any]:
    """Cells with their boxes and tenants, what would move against an earlier file, and findings."""
    members, kinds, zone = _members(config)
    placement = place(_plan(file), members, kinds)
    findings = []
    if config is not None:
        try:
            check_members(placement, members, zone)
        except PlanError as error:
            findings.append(str(error))
    before = place(_plan(against), members, kinds) if against else placement
    homes = placement.home_of.values()
    return {
        "cells": {
            cell: {"members": placement.members(cell), "tenants": sum(cell in home for home in homes)}
            for cell in placement.plan.cells
        },
        "moved": moved(before, placement),
        "findings": findings,
    }
