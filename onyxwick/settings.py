"""Reads a router's settings: the one place where the platform's words for them are mapped to our terms.

The simulator gives them as `path=value` words, a director's configuration as nested JSON with the same paths.
Keys that are not read here are never looked at, as new ones may appear at any time.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TypeVar

from onyxwick.errors import OnyxwickError
from onyxwick.interface import (
    AnswerDetailLevel,
    Idempotency,
    KeyScope,
    RequestClass,
    RequestLimits,
    RouterSettings,
    ServiceRules,
    SiblingFills,
    WeightSource,
)

IDEMPOTENCY = {
    "free": Idempotency.IDEMPOTENT,
    "guarded": Idempotency.WITH_KEY,
    "single_shot": Idempotency.NON_IDEMPOTENT,
}
KEY_SCOPE = {"all": KeyScope.ALL, "zone": KeyScope.ZONE, "cell": KeyScope.CELL}
SIBLING_FILLS = {"off": SiblingFills.NONE, "location": SiblingFills.ZONE, "any": SiblingFills.ANY}
WEIGHT_SOURCE = {"off": WeightSource.NONE, "live": WeightSource.LIVE}  # any other word: nominal
ANSWER_DETAIL = {"all": AnswerDetailLevel.FULL, "hit": AnswerDetailLevel.HIT_ONLY}  # any other word: none
BOOLEAN = {"true": True, "false": False, "1": True, "0": False}
FACTS, RULES, LIMITS = "family_info.", "rules.", "policy_limits."
NO_KIND = -1
Value = TypeVar("Value")


class SettingError(OnyxwickError, ValueError):
    """A setting is missing or cannot be read. `path` names it."""

    def __init__(self, path: str) -> None:
        super().__init__(f"bad or missing setting '{path}'")
        self.path = path


class EmptyNameError(OnyxwickError, ValueError):
    """A name is empty."""


class Pairs:
    """The settings of one router as `path=value`."""

    def __init__(self, values: dict[str, str]) -> None:
        self.values = values

    @classmethod
    def of_words(cls, words: Iterable[str]) -> Pairs:
        """From the simulator's words; words without `=` are ignored."""
        return cls(dict(word.split("=", 1) for word in words if "=" in word))

    @classmethod
    def of_json(cls, tree: object) -> Pairs:
        """The same paths from nested JSON, so that one reader serves the simulator and the sockets."""
        values: dict[str, str] = {}
        _flatten("", tree, values)
        return cls(values)

    def get(self, path: str, read: Callable[[str], Value], default: Value | None = None) -> Value:
        """The value at a path, or the default where there is none; SettingError where it cannot be read."""
        value = self.values.get(path, "")
        if value in ("", "-") and default is not None:
            return default
        try:
            return read(value)
        except (ValueError, KeyError):
            raise SettingError(path) from None

    def column(self, path: str, read: Callable[[str], Value], at: int, default: Value) -> Value:
        """The entry `at` of a list with one entry for each class or zone."""
        values = self.values.get(path, "").split(",")
        if at >= len(values) or not values[at]:
            return default
        return Pairs({path: values[at]}).get(path, read)

    def names(self, path: str) -> list[str]:
        """The names of a list."""
        return self.values.get(path, "").split(",")


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
    """A name as it stands; EmptyNameError where it is empty."""
    if not text:
        raise EmptyNameError("empty name")
    return text


def read_settings(pairs: Pairs) -> RouterSettings:
    """All settings of one router; SettingError names the first that is missing or cannot be read."""
    get, flag = pairs.get, BOOLEAN.__getitem__
    zone = get("az", name)
    zones = pairs.names("zones")
    place = zones.index(zone) if zone in zones else len(zones)
    routers = get("instances", int, 1)
    weight_source = get("weights", name, "off")
    answer_detail = get(FACTS + "detail", name, "off")
    return RouterSettings(
        zone=zone,
        classes=tuple(_read_class(pairs, index) for index in range(get("grades.count", int))),
        rules=_read_rules(pairs),
        limits=_read_limits(pairs),
        parent_kind=_read_kind(pairs, FACTS + "second_tier_kind"),
        origin_kind=_read_kind(pairs, FACTS + "source_kind"),
        router_count=routers,
        zone_router_count=pairs.column(FACTS + "zone_balancers", int, place, routers) or 1,
        router_index=get("self_index", int, 0),
        tick_us=get("quantum_us", int, 1000),
        weight_source=WEIGHT_SOURCE.get(weight_source, WeightSource.NOMINAL),
        subscribe=pairs.values.get("discovery") == "subscribe",
        cache_bypass=get(FACTS + "bypass_allowed", flag, False),
        sibling_fills=get(FACTS + "lateral", SIBLING_FILLS.__getitem__, SiblingFills.NONE),
        coalesces_fills=get(FACTS + "shares_fills", flag, False),
        answer_detail=ANSWER_DETAIL.get(answer_detail, AnswerDetailLevel.NONE),
        transfer_kb_per_s=get(FACTS + "pace_kb_per_s", float, 0.0),
        zone_link_kb_per_s=pairs.column(FACTS + "zone_link_kb_per_s", float, place, 0.0),
        report_names=tuple(report for report in pairs.names("report.names") if report),
        clients_mark_retries=get("clients.marks_retry", flag, False),
    )


def _read_kind(pairs: Pairs, path: str) -> str | None:
    """A kind of member, given as its place among `kinds`; None where there is none."""
    kinds = pairs.names("kinds")
    place = pairs.get(path, int, NO_KIND)
    return kinds[place] if 0 <= place < len(kinds) else None


def _read_class(pairs: Pairs, index: int) -> RequestClass:
    get, column, flag = pairs.get, pairs.column, BOOLEAN.__getitem__
    at = f"grades.{index}."
    return RequestClass(
        name=get(at + "name", name),
        idempotency=get(at + "repeat", IDEMPOTENCY.__getitem__),
        latency_objective_us=get(at + "slo_us", int),
        deadline_us=get(at + "deadline_us", int),
        latency_objective_stretch=get(at + "aim_stretch", float, 0.0),
        priority_weight=get(at + "worth", float, 1.0),
        late_priority_weight=get(at + "late_worth", float, 0.0),
        key_scope=get(at + "group", KEY_SCOPE.__getitem__, KeyScope.CELL),
        key_window_us=get(at + "window_us", int, 0),
        stream=get(at + "stream", flag, False),
        is_write=column(FACTS + "class_write", flag, index, False),
        segmented=column(FACTS + "segmented", flag, index, False),
        freshness_lifetime_us=column(FACTS + "lifetime_by_class_us", int, index, 0),
        stale_grace_us=column(FACTS + "usable_after_us", int, index, 0),
        stale_priority_weight=column(FACTS + "old_copy_worth", float, index, 0.0),
    )


def _read_rules(pairs: Pairs) -> ServiceRules:
    get = pairs.get
    return ServiceRules(
        answer_grace_us=get(RULES + "grace_to_answer_us", int, 0),
        drain_grace_us=get(RULES + "drain_grace_us", int, 0),
        warm_up_start_share=get(RULES + "start_capacity", float),
        warm_up_us=get(RULES + "cold_us", int),
        overload_multiple=get(RULES + "tip_multiple", float),
        overload_window_us=get(RULES + "fall_us", int),
        parent_warm_up_start_share=get(FACTS + "parent_floor", float, 1.0),
        parent_warm_up_us=get(FACTS + "upper_cold_us", int, 0),
        parent_overload_multiple=get(FACTS + "parent_fall_multiple", float, 1.0),
        purge_grace_us=get(FACTS + "purge_slack_us", int, 0),
        purge_retention_us=get(FACTS + "purge_settles_us", int, 0),
        origin_overload_multiple=get(FACTS + "origin_fall_multiple", float, 0.0),
        origin_overload_window_us=get(FACTS + "root_fall_us", int, 0),
        max_poll_interval_us=get(RULES + "ask_within_us", int, 0),
    )


def _read_limits(pairs: Pairs) -> RequestLimits:
    get, flag = pairs.get, BOOLEAN.__getitem__
    return RequestLimits(
        max_attempts=get(LIMITS + "attempts_cap", int),
        cancellation=get(LIMITS + "cancel", flag, False),
        hedging=get(LIMITS + "second_copies", flag, False),
        retry_after=get(LIMITS + "retry_after", flag, False),
        max_retry_after_us=get(LIMITS + "max_retry_after_us", int, 0),
        health_checks=get(LIMITS + "probes", flag, False),
        gossip=get(LIMITS + "peers", flag, False),
        connect_timeout_us=get(LIMITS + "connect_timeout_us", int, 0),
    )
