"""The schedule of a shutdown, and the effect of each stage on a connection. Uses no sockets."""

from __future__ import annotations

from dataclasses import replace

import pytest

from onyxwick.core.shutdown import (
    DRAIN_LIMIT_S,
    RECENT_REQUEST_S,
    ConnectionState,
    ConnectionStep,
    ShutdownStage,
    drain_schedule,
    kill_after_s,
    next_step,
    termination_schedule,
)

IDLE = ConnectionState(1, 0, 0, 60.0, False, False, 60.0, 60.0)


def test_a_drain_rejects_requests_early_enough_to_close_every_connection() -> None:
    schedule = drain_schedule(100.0)
    assert schedule.stage(99.9) is ShutdownStage.SERVING and schedule.stage(100.0) is ShutdownStage.CLOSE_IDLE
    assert schedule.stage_start_s(ShutdownStage.REJECT_NEW) + 1.0 <= 100.0 + DRAIN_LIMIT_S - RECENT_REQUEST_S
    assert schedule.stage_start_s(ShutdownStage.CLOSE_ALL) + 0.5 < 100.0 + DRAIN_LIMIT_S
    assert schedule.stage(1e9) is ShutdownStage.CLOSE_ALL


@pytest.mark.parametrize("longest_s", [0.0, 0.05, 0.3, 0.8, 1.5, 3.0, 15.0])
@pytest.mark.parametrize("successor", [False, True])  # whether a successor serves on the same socket
@pytest.mark.parametrize("stalled_s", [0.0, 0.5, 30.0])
def test_a_termination_ends_before_sigkill(longest_s: float, successor: bool, stalled_s: float) -> None:
    schedule = termination_schedule(100.0, 100.0 + stalled_s, longest_s, successor)
    kill_at = 100.0 + kill_after_s(longest_s)
    assert list(schedule.stage_starts_s) == sorted(schedule.stage_starts_s)
    assert schedule.stage_start_s(ShutdownStage.RELEASE_REQUESTS) <= schedule.fail_at_s <= kill_at - 0.2
    accept_s = schedule.accept_until_s - 100.0 - stalled_s
    assert accept_s == 0.0 if successor else 0.4 < accept_s < 0.8
    if not stalled_s:
        assert schedule.stage_start_s(ShutdownStage.CLOSE_ALL) <= kill_at - 0.2


def test_a_termination_keeps_the_stages_of_an_earlier_drain() -> None:
    both = termination_schedule(102.0, 102.0, 3.0, False).with_earliest_starts(drain_schedule(100.0))
    assert both.stage_starts_s == drain_schedule(100.0).stage_starts_s
    assert both.fail_at_s == termination_schedule(102.0, 102.0, 3.0, False).fail_at_s


@pytest.mark.parametrize(
    ("state", "steps"),  # one step for each stage, from SERVING to CLOSE_ALL
    [
        (IDLE, "keep end end end end end"),
        (replace(IDLE, unanswered=1), "keep keep keep keep give_back give_back"),
        (replace(IDLE, unanswered=1, has_unread_input=True), "keep keep keep keep give_back give_back"),
        (replace(IDLE, has_unread_input=True), "keep keep keep keep keep hear_last"),
        (replace(IDLE, unwritten_bytes=9), "keep keep keep keep keep keep"),
        (replace(IDLE, has_partial_request=True, idle_s=0.4), "keep keep keep end end end"),
        (replace(IDLE, has_partial_request=True, idle_s=1.4), "keep end end end end end"),
        (replace(IDLE, request_count=0, age_s=0.4), "keep keep keep end end end"),
        (replace(IDLE, request_count=0, age_s=1.4), "keep end end end end end"),
        (replace(IDLE, since_delivered_s=0.1), "keep keep keep keep end end"),
    ],
)
def test_each_stage_takes_the_expected_step_with_a_connection(state: ConnectionState, steps: str) -> None:
    assert [next_step(stage, state) for stage in ShutdownStage] == [
        ConnectionStep(name) for name in steps.split()
    ]
