"""Reads the settings of a router and maps the platform's terms to those of `onyxwick.interface`.

The simulator passes settings as `path=value` words; a director's configuration contains them as nested JSON
with the same paths. No other module maps these terms. Unknown keys are ignored, because new keys may appear
at any time.
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
WEIGHT_SOURCE = {"off": WeightSource.NONE, "live": WeightSource.LIVE}  # other values mean nominal
ANSWER_DETAIL = {"all": AnswerDetailLevel.FULL, "hit": AnswerDetailLevel.HIT_ONLY}  # other values mean none
BOOLEAN = {"true": True, "false": False, "1": True, "0": False}
FACTS_PREFIX, RULES_PREFIX, LIMITS_PREFIX = "family_info.", "rules.", "policy_limits."
NO_KIND_INDEX = -1
Value = TypeVar("Value")


class SettingError(OnyxwickError, ValueError):
    """The setting at `path` is missing or cannot be parsed."""

    def __init__(self, path: str) -> None:
        super().__init__(f"missing or invalid setting '{path}'")
        self.path = path


class EmptyNameError(OnyxwickError, ValueError):
    """A setting that must be a name is an empty string."""


class SettingValues:
    """The settings of one router: a text value for each path."""

    def __init__(self, values: dict[str, str]) -> None:
        self.values = values

    @classmethod
    def from_words(cls, words: Iterable[str]) -> SettingValues:
        """Return the settings in the simulator's `path=value` words; words without `=` are ignored."""
        return cls(dict(word.split("=", 1) for word in words if "=" in word))

    @classmethod
    def from_json(cls, tree: object) -> SettingValues:
        """Return the settings in nested JSON.

        The paths are those of the simulator's words, so that `read_settings` reads both sources.
        """
        values: dict[str, str] = {}
        _flatten("", tree, values)
        return cls(values)

    def get(self, path: str, read: Callable[[str], Value], default: Value | None = None) -> Value:
        """Return the value at `path` as parsed by `read`, or `default` if the value is missing, empty or `-`.

        If there is no default, `read` also parses an empty value or `-`, and gets an empty string for a
        missing value. Raises SettingError if `read` raises ValueError or KeyError.
        """
        value = self.values.get(path, "")
        if value in ("", "-") and default is not None:
            return default
        try:
            return read(value)
        except (ValueError, KeyError):
            raise SettingError(path) from None

    def list_entry(self, path: str, read: Callable[[str], Value], index: int, default: Value) -> Value:
        """Return the entry at `index` of a list that has one entry for each class or zone.

        Returns `default` if the list has no such entry; raises SettingError if the entry cannot be parsed.
        """
        values = self.values.get(path, "").split(",")
        if index >= len(values) or not values[index]:
            return default
        return SettingValues({path: values[index]}).get(path, read)

    def name_list(self, path: str) -> list[str]:
        """Return the names of a comma-separated list; a missing list gives one empty name."""
        return self.values.get(path, "").split(",")


def _flatten(path: str, value: object, flat_values: dict[str, str]) -> None:
    if isinstance(value, dict):
        for key, inner in value.items():
            _flatten(f"{path}.{key}" if path else str(key), inner, flat_values)
    elif isinstance(value, list) and any(isinstance(inner, dict) for inner in value):
        flat_values[f"{path}.count"] = str(len(value))
        for index, inner in enumerate(value):
            _flatten(f"{path}.{index}", inner, flat_values)
    elif isinstance(value, list):
        flat_values[path] = ",".join(_wire_text(inner) for inner in value)
    else:
        flat_values[path] = _wire_text(value)


def _wire_text(value: object) -> str:
    """Return a value as text in the simulator's format, in which underscores replace spaces and commas."""
    if isinstance(value, bool):
        return "true" if value else "false"
    return "" if value is None else str(value).replace(" ", "_").replace(",", "_")


def parse_name(text: str) -> str:
    """Return the name unchanged. Raises EmptyNameError if it is empty."""
    if not text:
        raise EmptyNameError("expected a name, got an empty string")
    return text


def read_settings(pairs: SettingValues) -> RouterSettings:
    """Return all settings of one router.

    Raises SettingError for the first setting that is missing or cannot be parsed.
    """
    get, flag = pairs.get, BOOLEAN.__getitem__
    zone = get("az", parse_name)
    zones = pairs.name_list("zones")
    zone_index = zones.index(zone) if zone in zones else len(zones)
    instance_count = get("instances", int, 1)
    weight_source = get("weights", parse_name, "off")
    answer_detail = get(FACTS_PREFIX + "detail", parse_name, "off")
    return RouterSettings(
        zone=zone,
        classes=tuple(_read_class(pairs, index) for index in range(get("grades.count", int))),
        rules=_read_rules(pairs),
        limits=_read_limits(pairs),
        parent_kind=_read_kind(pairs, FACTS_PREFIX + "second_tier_kind"),
        origin_kind=_read_kind(pairs, FACTS_PREFIX + "source_kind"),
        router_count=instance_count,
        zone_router_count=pairs.list_entry(FACTS_PREFIX + "zone_balancers", int, zone_index, instance_count)
        or 1,
        router_index=get("self_index", int, 0),
        tick_us=get("quantum_us", int, 1000),
        weight_source=WEIGHT_SOURCE.get(weight_source, WeightSource.NOMINAL),
        subscribe=pairs.values.get("discovery") == "subscribe",
        cache_bypass=get(FACTS_PREFIX + "bypass_allowed", flag, False),
        sibling_fills=get(FACTS_PREFIX + "lateral", SIBLING_FILLS.__getitem__, SiblingFills.NONE),
        coalesces_fills=get(FACTS_PREFIX + "shares_fills", flag, False),
        answer_detail=ANSWER_DETAIL.get(answer_detail, AnswerDetailLevel.NONE),
        transfer_kb_per_s=get(FACTS_PREFIX + "pace_kb_per_s", float, 0.0),
        zone_link_kb_per_s=pairs.list_entry(FACTS_PREFIX + "zone_link_kb_per_s", float, zone_index, 0.0),
        report_names=tuple(report for report in pairs.name_list("report.names") if report),
        clients_mark_retries=get("clients.marks_retry", flag, False),
    )


def _read_kind(pairs: SettingValues, path: str) -> str | None:
    """Return the member kind whose index in the list `kinds` is set at `path`, or None if there is none."""
    kinds = pairs.name_list("kinds")
    index = pairs.get(path, int, NO_KIND_INDEX)
    return kinds[index] if 0 <= index < len(kinds) else None


def _read_class(pairs: SettingValues, index: int) -> RequestClass:
    get, list_entry, flag = pairs.get, pairs.list_entry, BOOLEAN.__getitem__
    prefix = f"grades.{index}."
    return RequestClass(
        name=get(prefix + "name", parse_name),
        idempotency=get(prefix + "repeat", IDEMPOTENCY.__getitem__),
        latency_objective_us=get(prefix + "slo_us", int),
        deadline_us=get(prefix + "deadline_us", int),
        latency_objective_stretch=get(prefix + "aim_stretch", float, 0.0),
        priority_weight=get(prefix + "worth", float, 1.0),
        late_priority_weight=get(prefix + "late_worth", float, 0.0),
        key_scope=get(prefix + "group", KEY_SCOPE.__getitem__, KeyScope.CELL),
        key_window_us=get(prefix + "window_us", int, 0),
        stream=get(prefix + "stream", flag, False),
        is_write=list_entry(FACTS_PREFIX + "class_write", flag, index, False),
        segmented=list_entry(FACTS_PREFIX + "segmented", flag, index, False),
        freshness_lifetime_us=list_entry(FACTS_PREFIX + "lifetime_by_class_us", int, index, 0),
        stale_grace_us=list_entry(FACTS_PREFIX + "usable_after_us", int, index, 0),
        stale_priority_weight=list_entry(FACTS_PREFIX + "old_copy_worth", float, index, 0.0),
    )


def _read_rules(pairs: SettingValues) -> ServiceRules:
    get = pairs.get
    return ServiceRules(
        answer_grace_us=get(RULES_PREFIX + "grace_to_answer_us", int, 0),
        drain_grace_us=get(RULES_PREFIX + "drain_grace_us", int, 0),
        warm_up_start_share=get(RULES_PREFIX + "start_capacity", float),
        warm_up_us=get(RULES_PREFIX + "cold_us", int),
        overload_multiple=get(RULES_PREFIX + "tip_multiple", float),
        overload_window_us=get(RULES_PREFIX + "fall_us", int),
        parent_warm_up_start_share=get(FACTS_PREFIX + "parent_floor", float, 1.0),
        parent_warm_up_us=get(FACTS_PREFIX + "upper_cold_us", int, 0),
        parent_overload_multiple=get(FACTS_PREFIX + "parent_fall_multiple", float, 1.0),
        purge_grace_us=get(FACTS_PREFIX + "purge_slack_us", int, 0),
        purge_retention_us=get(FACTS_PREFIX + "purge_settles_us", int, 0),
        origin_overload_multiple=get(FACTS_PREFIX + "origin_fall_multiple", float, 0.0),
        origin_overload_window_us=get(FACTS_PREFIX + "root_fall_us", int, 0),
        max_poll_interval_us=get(RULES_PREFIX + "ask_within_us", int, 0),
    )


def _read_limits(pairs: SettingValues) -> RequestLimits:
    get, flag = pairs.get, BOOLEAN.__getitem__
    return RequestLimits(
        max_attempts=get(LIMITS_PREFIX + "attempts_cap", int),
        cancellation=get(LIMITS_PREFIX + "cancel", flag, False),
        hedging=get(LIMITS_PREFIX + "second_copies", flag, False),
        retry_after=get(LIMITS_PREFIX + "retry_after", flag, False),
        max_retry_after_us=get(LIMITS_PREFIX + "max_retry_after_us", int, 0),
        health_checks=get(LIMITS_PREFIX + "probes", flag, False),
        gossip=get(LIMITS_PREFIX + "peers", flag, False),
        connect_timeout_us=get(LIMITS_PREFIX + "connect_timeout_us", int, 0),
    )
