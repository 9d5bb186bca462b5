"""The operators' door without sockets: its calls, its orders, its figures and its file."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

from onyxwick.interface import MemberState
from onyxwick.operations import operator_commands as o
from onyxwick.operations.metrics import figures
from onyxwick.operations.persisted_commands import PersistedCommands
from onyxwick.operations.routes import OperatorCall, OperatorCallKind, OperatorCallRejectedError, route
from tests.world import member

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
    assert route(method, path) == call


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
    with pytest.raises(OperatorCallRejectedError) as refused:
        route(method, path)
    assert refused.value.status == status and refused.value.text
    assert (refused.value.allow != "") is (status == 405)


def test_calls_again_change_nothing_and_one_enable_ends_the_ban() -> None:
    none = o.OperatorCommands()
    out = o.disable(none, "c0", 5 * S)
    assert out.held == {"c0"} and out.version == 1
    assert o.disable(out, "c0", 6 * S) is out  # a second call: the same orders, no new version
    back = o.enable(out, "c0", 7 * S)
    assert back.held == frozenset() and back.cold_from("c0") == 7 * S and back.version == 2
    assert o.enable(back, "c0", 8 * S) is back
    assert o.enable(none, "c9", 8 * S) is none  # listed, never left out: nothing to end
    assert o.changed(none, out) == {"c0"} and o.changed(out, back) == {"c0"} and not o.changed(back, back)


def test_a_cache_left_out_is_shown_draining_whatever_the_list_says_and_comes_back_cold() -> None:
    told = member("c0", started_at_us=1 * S)
    out = o.disable(o.OperatorCommands(), "c0", 5 * S)
    assert o.shown(told, out, 5 * S).state is MemberState.DRAINING
    assert o.shown(replace(told, state=MemberState.REMOVED), out, 5 * S).state is MemberState.REMOVED
    assert (
        o.shown(replace(told, started_at_us=6 * S), out, 6 * S).state is MemberState.DRAINING
    )  # restarted meanwhile
    back = o.enable(out, "c0", 9 * S)
    seen = o.shown(told, back, 9 * S)
    assert seen.state is MemberState.READY and seen.started_at_us == 9 * S  # cold from the call back
    assert (
        o.shown(replace(told, started_at_us=10 * S), back, 10 * S).started_at_us == 10 * S
    )  # a later start holds
    assert o.shown(told, back, 9 * S + o.BACK_KEPT_US).started_at_us == 1 * S  # long after, the list's own
    assert o.shown(member("c1"), back, 9 * S) == member("c1")


def test_a_drain_and_its_end_are_one_version_each() -> None:
    drained = o.drain(o.OperatorCommands(), True)
    assert drained.drained and drained.version == 1 and o.drain(drained, True) is drained
    assert not o.drain(drained, False).drained and o.newer(drained, o.OperatorCommands()) is drained


def test_known_ids_are_bounded_and_the_oldest_go_first() -> None:
    known = o.KnownCaches(most=3)
    known.add(["a", "b", "c"])
    known.add(["a", "d"])  # 'a' listed again is young again
    assert "b" not in known and all(name in known for name in "acd")


def test_the_file_holds_the_orders_whole_and_is_read_once_for_each_change(tmp_path: Path) -> None:
    mine, theirs = PersistedCommands(tmp_path, "n1"), PersistedCommands(tmp_path, "n1")
    assert theirs.read() is None  # nothing yet
    orders, known = o.enable(o.disable(o.OperatorCommands(), "c0", 1 * S), "c0", 2 * S), o.KnownCaches()
    known.add(["c0", "c1"])
    mine.write(o.drain(orders, True), known)
    assert mine.read() is None  # what it wrote itself is no news to it
    read = theirs.read()
    assert read is not None and read[0] == o.drain(orders, True) and read[1] == ["c0", "c1"]
    assert theirs.read() is None
    (tmp_path / "onyxwick-orders-n1.json").write_text('{"v": 1, "version": "x"}')
    with pytest.raises(ValueError, match="version"):
        theirs.read()
    assert [p.name for p in tmp_path.iterdir()] == ["onyxwick-orders-n1.json"]  # no draft is left behind


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
def test_a_file_that_is_no_file_of_orders_is_refused(text: str) -> None:
    import ujson

    with pytest.raises(ValueError):
        o.of_json(ujson.loads(text))


def test_the_figures_are_those_that_the_platform_names() -> None:
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
    }
    shown = figures(counts, outstanding=4, discovered=11, ejected=1)
    assert list(shown) == [
        "app_succeeded",
        "app_declined",
        "app_aborted",
        "app_forwards",
        "app_outstanding",
        "app_discovered",
        "app_ejected",
        "app_sighup_applied",
        "app_sighup_rejected",
    ]
    assert shown["app_succeeded"] == {"value": 8, "service": {"booking": 1, "site-video": 7}}
    assert shown["app_declined"]["value"] == 3 and shown["app_aborted"]["value"] == 3
    assert shown["app_forwards"] == {"value": 12, "disposition": {"ok": 10, "reset": 2}}
    assert [shown[f"app_{name}"]["value"] for name in ("outstanding", "discovered", "ejected")] == [4, 11, 1]
    assert shown["app_sighup_applied"]["value"] == 1 and shown["app_sighup_rejected"]["value"] == 0
