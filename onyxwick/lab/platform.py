"""What the platform tells a director: its settings and its configuration file."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from onyxwick.config.address import Address, format_address
from onyxwick.interface import Idempotency
from onyxwick.lab.model import Scenario

ZONE, HUB = "depot-1", "hub"


@dataclass(frozen=True, slots=True)
class PlatformLayout:
    """Where a director stands: its zone, the directors there, and its number among all of them."""

    zone: str = ZONE
    directors_here: int = 1
    directors: int = 1
    zones: tuple[str, ...] = (HUB, ZONE)


def settings(scenario: Scenario, place: PlatformLayout | None = None) -> dict[str, Any]:
    """The director's settings, as the platform gives them."""
    at = place or PlatformLayout(directors_here=scenario.directors, directors=scenario.directors)
    boxes, parents = scenario.boxes, scenario.parents
    kinds = [job.kind for job in scenario.jobs]
    grades = [
        {
            "name": k.name,
            "repeat": "free" if k.idempotency is Idempotency.IDEMPOTENT else "single_shot",
            "slo_us": k.latency_objective_us,
            "deadline_us": k.deadline_us,
            "aim_stretch": k.latency_objective_stretch,
            "worth": k.priority_weight,
            "group": "all",
        }
        for k in kinds
    ]
    return {
        "az": at.zone,
        "instances": at.directors,
        "kinds": ["box", "parent", "origin"],
        "zones": list(at.zones),
        "weights": "nominal",
        "discovery": "automatic",
        "grades": grades,
        "family_info": {
            "class_write": [k.is_write for k in kinds],
            "lifetime_by_class_us": [k.freshness_lifetime_us for k in kinds],
            "second_tier_kind": 1,
            "source_kind": 2,
            "zone_balancers": [at.directors_here if zone == at.zone else 0 for zone in at.zones],
            "parent_floor": parents.cold_share,
            "upper_cold_us": parents.cold_us,
            "parent_fall_multiple": parents.fall_multiple,
            "purge_settles_us": scenario.purge_done_us,
            "purge_slack_us": 1_000_000,
            "lateral": "any",
            "bypass_allowed": True,
            "shares_fills": True,
            "detail": "all",
            "segmented": [k.segmented for k in kinds],
        },
        "policy_limits": {
            "attempts_cap": 6,
            "cancel": True,
            "second_copies": True,
            "retry_after": True,
            "max_retry_after_us": 500_000,
            "connect_timeout_us": 400_000,
        },
        "rules": {
            "start_capacity": boxes.cold_share,
            "cold_us": boxes.cold_us,
            "tip_multiple": boxes.fall_multiple,
            "fall_us": 3_000_000,
            "drain_grace_us": 500_000,
            "grace_to_answer_us": 8_000,
        },
    }


def configuration(
    name: str,
    seed: int,
    listen: Address,
    coordinator: Address,
    known: dict[str, Any],
    told: dict[str, Any],
    sockets: int = 1024,
    memory_mb: int = 192,
) -> dict[str, Any]:
    """A director's file, as the platform writes it."""
    return {
        "name": name,
        "listen": format_address(listen),
        "seed": f"{seed:x}",
        "limits": {"cores": 1, "memory_mb": memory_mb, "sockets": sockets},
        "coordinator": format_address(coordinator),
        "known": known,
        "settings": told,
    }
