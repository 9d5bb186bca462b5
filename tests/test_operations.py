"""Tests of the operations endpoint without sockets: calls, commands, metrics and the command file."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

from onyxwick.interface import MemberState
from onyxwick.operations import operator_commands as o
from onyxwick.operations.command_codec import commands_from_document
from onyxwick.operations.errors import OperatorCallRejectedError
from onyxwick.operations.metrics import MetricsSnapshot, metrics_document
from onyxwick.operations.persisted_commands import PersistedCommands
from onyxwick.operations.routes import OperatorCall, OperatorCallKind, parse_call
from tests.router_harness import member

S = 1_000_000


@pytest.mark.parametrize(
    ("method", "path", "call"),
    [
        ("GET", "/ready", OperatorCall(OperatorCallKind.READY)),
        ("GET", "/metrics", OperatorCall(OperatorCallKind.METRICS)),
        ("POST", "/caches/disable/s-91af9fb1", OperatorCall(OperatorCallKind.DISABLE, "s-91af9fb1")),
        ("POST", "/caches/enable/s-91af9fb1", OperatorCall(OperatorCallKind.ENABLE, "s-91af9fb1")),
        ("POST", "/drain", OperatorCall(OperatorCallKind.DRAIN)),
        ("POST", "/undrain", OperatorCall(OperatorCallKind.UNDRAIN)),
    ],
)
def test_each_call_of_the_platform_is_known(method: str, path: str, call: OperatorCall) -> None:
    assert parse_call(method, path) == call


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("POST", "/ready", 405),
        ("GET", "/drain", 405),
        ("GET", "/caches/disable/c0", 405),
        ("DELETE", "/undrain", 405),
        ("GET", "/", 404),
        ("GET", "/ready/", 404),
        ("POST", "/caches/disable", 404),
        ("POST", "/caches/disable/c0/more", 404),
        ("POST", "/caches/pause/c0", 404),
        ("POST", "/caches/disable/", 400),
        ("POST", "/caches/disable/" + "x" * 129, 400),
        ("POST", "/caches/disable/c 0", 400),
    ],
)
def test_what_is_no_call_is_a_4xx_with_a_reason(method: str, path: str, status: int) -> None:
    with pytest.raises(OperatorCallRejectedError) as rejected:
        parse_call(method, path)
    assert rejected.value.status == status and rejected.value.reason
    assert (rejected.value.allowed_method != "") is (status == 405)


def test_repeated_calls_change_nothing_and_one_enable_suffices() -> None:
    none = o.OperatorCommands()
    disabled = o.disable_cache(none, "c0", 5 * S)
    assert disabled.disabled_caches == {"c0"} and disabled.version == 1
    assert (
        o.disable_cache(disabled, "c0", 6 * S) is disabled
    )  # a second call returns the same commands without a new version
    enabled = o.enable_cache(disabled, "c0", 7 * S)
    assert enabled.disabled_caches == frozenset()
    assert enabled.re_enabled_at_us("c0") == 7 * S and enabled.version == 2
    assert o.enable_cache(enabled, "c0", 8 * S) is enabled
    assert o.enable_cache(none, "c9", 8 * S) is none  # the cache was never disabled
    assert o.changed_caches(none, disabled) == {"c0"} and o.changed_caches(disabled, enabled) == {"c0"}
    assert not o.changed_caches(enabled, enabled)


def test_a_disabled_cache_is_draining_for_the_router_and_cold_once_it_is_enabled() -> None:
    listed = member("c0", started_at_us=1 * S)
    disabled = o.disable_cache(o.OperatorCommands(), "c0", 5 * S)
    assert o.member_under_commands(listed, disabled, 5 * S).state is MemberState.DRAINING
    assert (
        o.member_under_commands(replace(listed, state=MemberState.REMOVED), disabled, 5 * S).state
        is MemberState.REMOVED
    )
    assert (
        o.member_under_commands(replace(listed, started_at_us=6 * S), disabled, 6 * S).state
        is MemberState.DRAINING
    )  # the cache restarted while it was disabled
    enabled = o.enable_cache(disabled, "c0", 9 * S)
    adjusted = o.member_under_commands(listed, enabled, 9 * S)
    assert (
        adjusted.state is MemberState.READY and adjusted.started_at_us == 9 * S
    )  # cold from the time of the enable call
    assert (
        o.member_under_commands(replace(listed, started_at_us=10 * S), enabled, 10 * S).started_at_us
        == 10 * S
    )  # a later start takes precedence
    assert (
        o.member_under_commands(listed, enabled, 9 * S + o.RE_ENABLED_RETENTION_US).started_at_us == 1 * S
    )  # after the retention, the start time of the list applies
    assert o.member_under_commands(member("c1"), enabled, 9 * S) == member("c1")


def test_a_drain_and_its_end_are_one_version_each() -> None:
    drained = o.set_drained(o.OperatorCommands(), True)
    assert drained.is_drained and drained.version == 1 and o.set_drained(drained, True) is drained
    assert not o.set_drained(drained, False).is_drained and o.is_newer(drained, o.OperatorCommands())
    assert not o.is_newer(o.OperatorCommands(), drained)


def test_known_ids_are_bounded_and_the_oldest_go_first() -> None:
    known = o.KnownCaches(max_ids=3)
    known.add(["a", "b", "c"])
    known.add(["a", "d"])  # 'a' becomes the newest when it is listed again
    assert "b" not in known and all(name in known for name in "acd")


def test_the_file_holds_all_commands_and_is_read_once_for_each_change(tmp_path: Path) -> None:
    mine, theirs = PersistedCommands(tmp_path, "n1"), PersistedCommands(tmp_path, "n1")
    assert theirs.read() is None  # no file exists yet
    commands = o.enable_cache(o.disable_cache(o.OperatorCommands(), "c0", 1 * S), "c0", 2 * S)
    known = o.KnownCaches()
    known.add(["c0", "c1"])
    mine.write(o.set_drained(commands, True), known)
    assert mine.read() is None  # its own write does not count as a change
    stored = theirs.read()
    assert stored is not None and stored.commands == o.set_drained(commands, True)
    assert stored.known_caches == ["c0", "c1"]
    assert theirs.read() is None
    (tmp_path / "onyxwick-orders-n1.json").write_text('{"v": 1, "version": "x"}')
    with pytest.raises(ValueError, match="version"):
        theirs.read()
    assert [p.name for p in tmp_path.iterdir()] == ["onyxwick-orders-n1.json"]  # no temporary file remains


@pytest.mark.parametrize(
    "text",
    [
        "[]",
        '{"v": 2}',
        '{"v": 1, "version": 1, "drained": 0, "held": [], "back": [], "known": []}',
        '{"v": 1, "version": 1, "drained": false, "held": [1], "back": [], "known": []}',
        '{"v": 1, "version": 1, "drained": false, "held": [], "back": [["c0"]], "known": []}',
        '{"v": 1, "version": 1, "drained": false, "held": [], "back": [["c0", "now"]], "known": []}',
    ],
)
def test_a_file_without_operator_commands_is_rejected(text: str) -> None:
    import ujson

    with pytest.raises(ValueError):
        commands_from_document(ujson.loads(text))


def test_the_metrics_are_those_that_the_platform_names() -> None:
    counts = {
        "answer.served.site-video": 7,
        "answer.served.booking": 1,
        "answer.refused.job-sheet": 2,
        "answer.overloaded": 1,
        "request.left": 3,
        "attempt.sent": 12,
        "outcome.ok": 10,
        "outcome.reset": 2,
        "reload.read": 1,
        "memory.released.client_input": 7,
        "memory.released.cache_input": 2,
        "refused.memory": 5,
        "answer.dropped": 1,
    }
    held = {"client_input": 300, "feed": 20}
    document = metrics_document(
        MetricsSnapshot(
            counts,
            open_requests=4,
            listed_members=11,
            ejected_members=1,
            held_bytes=held,
            held_limit_bytes=1000,
            anonymous_bytes=5000,
        )
    )
    assert list(document) == [
        "app_succeeded",
        "app_declined",
        "app_aborted",
        "app_forwards",
        "app_outstanding",
        "app_discovered",
        "app_ejected",
        "app_held_bytes",
        "app_held_limit_bytes",
        "app_memory_bytes",
        "app_memory_released",
        "app_memory_refused",
        "app_feed_index",
        "app_feed_announced",
        "app_feed_age_ms",
        "app_feed_states",
        "app_feed_waited",
        "app_feed_unconfirmed_sends",
        "app_feed_copy_age_limited",
        "app_feed_suspected",
        "app_sighup_applied",
        "app_sighup_rejected",
    ]
    assert document["app_succeeded"] == {"value": 8, "service": {"booking": 1, "site-video": 7}}
    assert document["app_declined"]["value"] == 3 and document["app_aborted"]["value"] == 3
    assert document["app_forwards"] == {"value": 12, "disposition": {"ok": 10, "reset": 2}}
    assert [document[f"app_{name}"]["value"] for name in ("outstanding", "discovered", "ejected")] == [
        4,
        11,
        1,
    ]
    assert document["app_held_bytes"] == {"value": 320, "kind": held}
    assert document["app_memory_released"] == {"value": 9, "kind": {"cache_input": 2, "client_input": 7}}
    assert [
        document[f"app_{name}"]["value"] for name in ("held_limit_bytes", "memory_bytes", "memory_refused")
    ] == [1000, 5000, 6]
    assert document["app_sighup_applied"]["value"] == 1 and document["app_sighup_rejected"]["value"] == 0
