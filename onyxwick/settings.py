"""The one reader of the settings: the simulator's words and the director's JSON give the same paths."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TypeVar

from onyxwick.interface import (
    Idempotency,
    KeyScope,
    RequestClass,
    RequestLimits,
    RouterSettings,
    ServiceRules,
    SiblingFills,
)

REPEAT = {
    "free": Idempotency.IDEMPOTENT,
    "guarded": Idempotency.WITH_KEY,
    "single_shot": Idempotency.NON_IDEMPOTENT,
}
SCOPE = {"all": KeyScope.ALL, "zone": KeyScope.ZONE, "cell": KeyScope.CELL}
SIBLINGS = {"off": SiblingFills.NONE, "location": SiblingFills.ZONE, "any": SiblingFills.ANY}
BOOL = {"true": True, "false": False, "1": True, "0": False}
T = TypeVar("T")


class SettingError(ValueError):
    """A setting that is missing or cannot be read; its text names the path."""


class Pairs:
    """The settings of an instance as path=value. Unknown keys are never looked at."""

    def __init__(self, values: dict[str, str]) -> None:
        self.values = values

    @classmethod
    def of_words(cls, words: Iterable[str]) -> Pairs:
        return cls(dict(word.split("=", 1) for word in words if "=" in word))

    @classmethod
    def of_json(cls, tree: object) -> Pairs:
        """The same paths from nested JSON, so that one reader serves the simulator and the sockets."""
        values: dict[str, str] = {}
        _flatten("", tree, values)
        return cls(values)

    def get(self, path: str, read: Callable[[str], T], default: T | None = None) -> T:
        value = self.values.get(path, "")
        if value in ("", "-") and default is not None:
            return default
        try:
            return read(value)
        except (ValueError, KeyError):
            raise SettingError(f"bad or missing setting '{path}'") from None

    def column(self, path: str, read: Callable[[str], T], at: int, default: T) -> T:
        """One value of a list that runs along the classes or the zones."""
        values = self.values.get(path, "").split(",")
        if at >= len(values) or not values[at]:
            return default
        return Pairs({path: values[at]}).get(path, read)


def _flatten(path: str, value: object, out: dict[str, str]) -> None:
    if isinstance(value, dict):
        for key, inner in value.items():
            _flatten(f"{path}.{key}" if path else str(key), inner, out)
    elif isinstance(value, list) and any(isinstance(inner, dict) for inner in value):
        out[f"{path}.count"] = str(len(value))
        for place, inner in enumerate(value):
            _flatten(f"{path}.{place}", inner, out)
    elif isinstance(value, list):
        out[path] = ",".join(_plain(inner) for inner in value)
    else:
        out[path] = _plain(value)


def _plain(value: object) -> str:
    """A value as the simulator's wire writes it: spaces and commas arrive there as underscores."""
    if isinstance(value, bool):
        return "true" if value else "false"
    return "" if value is None else str(value).replace(" ", "_").replace(",", "_")


def name(text: str) -> str:
    if not text:
        raise ValueError(text)
    return text


def read_settings(pairs: Pairs) -> RouterSettings:
    get, flag = pairs.get, BOOL.__getitem__
    zone = get("az", name)
    zones = pairs.values.get("zones", "").split(",")
    place = zones.index(zone) if zone in zones else len(zones)
    kinds = pairs.values.get("kinds", "").split(",")
    parent, origin = (get(f"family_info.{x}_kind", int, -1) for x in ("second_tier", "source"))
    routers = get("instances", int, 1)
    info, rule, limit = "family_info.", "rules.", "policy_limits."
    classes = []
    for n in range(get("grades.count", int)):
        at = f"grades.{n}."
        classes.append(
            RequestClass(
                name=get(at + "name", name),
                idempotency=get(at + "repeat", REPEAT.__getitem__),
                latency_objective_us=get(at + "slo_us", int),
                deadline_us=get(at + "deadline_us", int),
                latency_objective_stretch=get(at + "aim_stretch", float, 0.0),
                priority_weight=get(at + "worth", float, 1.0),
                late_priority_weight=get(at + "late_worth", float, 0.0),
                key_scope=get(at + "group", SCOPE.__getitem__, KeyScope.CELL),
                key_window_us=get(at + "window_us", int, 0),
                stream=get(at + "stream", flag, False),
                is_write=pairs.column(info + "class_write", flag, n, False),
                segmented=pairs.column(info + "segmented", flag, n, False),
                freshness_lifetime_us=pairs.column(info + "lifetime_by_class_us", int, n, 0),
                stale_grace_us=pairs.column(info + "usable_after_us", int, n, 0),
                stale_priority_weight=pairs.column(info + "old_copy_worth", float, n, 0.0),
            )
        )
    rules = ServiceRules(
        answer_grace_us=get(rule + "grace_to_answer_us", int, 0),
        drain_grace_us=get(rule + "drain_grace_us", int, 0),
        warm_up_start_share=get(rule + "start_capacity", float),
        warm_up_us=get(rule + "cold_us", int),
        overload_multiple=get(rule + "tip_multiple", float),
        overload_window_us=get(rule + "fall_us", int),
        parent_warm_up_start_share=get(info + "parent_floor", float, 1.0),
        parent_warm_up_us=get(info + "upper_cold_us", int, 0),
        parent_overload_multiple=get(info + "parent_fall_multiple", float, 1.0),
        purge_grace_us=get(info + "purge_slack_us", int, 0),
        purge_retention_us=get(info + "purge_settles_us", int, 0),
        origin_overload_multiple=get(info + "origin_fall_multiple", float, 0.0),
        origin_overload_window_us=get(info + "root_fall_us", int, 0),
        max_poll_interval_us=get(rule + "ask_within_us", int, 0),
    )
    limits = RequestLimits(
        max_attempts=get(limit + "attempts_cap", int),
        cancellation=get(limit + "cancel", flag, False),
        hedging=get(limit + "second_copies", flag, False),
        retry_after=get(limit + "retry_after", flag, False),
        max_retry_after_us=get(limit + "max_retry_after_us", int, 0),
        health_checks=get(limit + "probes", flag, False),
        gossip=get(limit + "peers", flag, False),
        connect_timeout_us=get(limit + "connect_timeout_us", int, 0),
    )
    return RouterSettings(
        zone=zone,
        classes=tuple(classes),
        rules=rules,
        limits=limits,
        parent_kind=kinds[parent] if 0 <= parent < len(kinds) else None,
        origin_kind=kinds[origin] if 0 <= origin < len(kinds) else None,
        router_count=routers,
        zone_router_count=pairs.column(info + "zone_balancers", int, place, routers) or 1,
        router_index=get("self_index", int, 0),
        tick_us=get("quantum_us", int, 1000),
        weight_source=get("weights", name, "off"),
        subscribe=pairs.values.get("discovery") == "subscribe",
        cache_bypass=get(info + "bypass_allowed", flag, False),
        sibling_fills=get(info + "lateral", SIBLINGS.__getitem__, SiblingFills.NONE),
        coalesces_fills=get(info + "shares_fills", flag, False),
        answer_detail=get(info + "detail", name, "off"),
        transfer_kb_per_s=get(info + "pace_kb_per_s", float, 0.0),
        zone_link_kb_per_s=pairs.column(info + "zone_link_kb_per_s", float, place, 0.0),
        report_names=tuple(x for x in pairs.values.get("report.names", "").split(",") if x),
        clients_mark_retries=get("clients.marks_retry", flag, False),
    )
