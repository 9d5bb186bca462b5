"""The one reader of the settings: the simulator's words and the director's JSON give the same paths."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TypeVar

from onyxwick import interface as i

REPEAT = {"free": i.Repeat.SAFE, "guarded": i.Repeat.KEYED, "single_shot": i.Repeat.UNSAFE}
SCOPE = {"all": i.Scope.ALL, "zone": i.Scope.ZONE, "cell": i.Scope.CELL}
SIBLINGS = {"off": i.Siblings.NONE, "location": i.Siblings.ZONE, "any": i.Siblings.ANY}
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


def read_settings(pairs: Pairs) -> i.Settings:
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
            i.RequestClass(
                name=get(at + "name", name),
                repeat=get(at + "repeat", REPEAT.__getitem__),
                aim_us=get(at + "slo_us", int),
                deadline_us=get(at + "deadline_us", int),
                aim_stretch=get(at + "aim_stretch", float, 0.0),
                worth=get(at + "worth", float, 1.0),
                late_worth=get(at + "late_worth", float, 0.0),
                scope=get(at + "group", SCOPE.__getitem__, i.Scope.CELL),
                window_us=get(at + "window_us", int, 0),
                stream=get(at + "stream", flag, False),
                write=pairs.column(info + "class_write", flag, n, False),
                segmented=pairs.column(info + "segmented", flag, n, False),
                lifetime_us=pairs.column(info + "lifetime_by_class_us", int, n, 0),
                stale_us=pairs.column(info + "usable_after_us", int, n, 0),
                stale_worth=pairs.column(info + "old_copy_worth", float, n, 0.0),
            )
        )
    rules = i.Rules(
        answer_slack_us=get(rule + "grace_to_answer_us", int, 0),
        drain_grace_us=get(rule + "drain_grace_us", int, 0),
        cold_start=get(rule + "start_capacity", float),
        cold_us=get(rule + "cold_us", int),
        overload_multiple=get(rule + "tip_multiple", float),
        overload_window_us=get(rule + "fall_us", int),
        parent_cold_start=get(info + "parent_floor", float, 1.0),
        parent_cold_us=get(info + "upper_cold_us", int, 0),
        parent_overload_multiple=get(info + "parent_fall_multiple", float, 1.0),
        purge_grace_us=get(info + "purge_slack_us", int, 0),
        purge_settles_us=get(info + "purge_settles_us", int, 0),
        origin_overload_multiple=get(info + "origin_fall_multiple", float, 0.0),
        origin_overload_us=get(info + "root_fall_us", int, 0),
        ask_within_us=get(rule + "ask_within_us", int, 0),
    )
    limits = i.Limits(
        attempts=get(limit + "attempts_cap", int),
        cancel=get(limit + "cancel", flag, False),
        second_copies=get(limit + "second_copies", flag, False),
        retry_after=get(limit + "retry_after", flag, False),
        max_retry_after_us=get(limit + "max_retry_after_us", int, 0),
        probes=get(limit + "probes", flag, False),
        peers=get(limit + "peers", flag, False),
        connect_timeout_us=get(limit + "connect_timeout_us", int, 0),
    )
    return i.Settings(
        zone=zone,
        classes=tuple(classes),
        rules=rules,
        limits=limits,
        parent_kind=kinds[parent] if 0 <= parent < len(kinds) else None,
        origin_kind=kinds[origin] if 0 <= origin < len(kinds) else None,
        routers=routers,
        routers_in_zone=pairs.column(info + "zone_balancers", int, place, routers) or 1,
        index=get("self_index", int, 0),
        tick_us=get("quantum_us", int, 1000),
        weights=get("weights", name, "off"),
        subscribe=pairs.values.get("discovery") == "subscribe",
        direct=get(info + "bypass_allowed", flag, False),
        siblings=get(info + "lateral", SIBLINGS.__getitem__, i.Siblings.NONE),
        joins=get(info + "shares_fills", flag, False),
        answers_tell=get(info + "detail", name, "off"),
        pace_kb_per_s=get(info + "pace_kb_per_s", float, 0.0),
        link_kb_per_s=pairs.column(info + "zone_link_kb_per_s", float, place, 0.0),
        report_names=tuple(x for x in pairs.values.get("report.names", "").split(",") if x),
        marks_repeats=get("clients.marks_retry", flag, False),
    )
