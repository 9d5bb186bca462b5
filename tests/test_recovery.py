"""Tests of the recovery state machine, and of the reconnect back-off of directors that start together."""

from __future__ import annotations

from dataclasses import replace

import pytest

from onyxwick.core.backoff import BackoffPolicy, ReconnectBackoff
from onyxwick.interface import (
    EndpointListKind,
    EndpointsChanged,
    MemberState,
    ObjectsPurged,
)
from onyxwick.store.recovery import (
    TRANSITIONS,
    DrainSource,
    IllegalRecoveryPhaseError,
    MemberDrain,
    RecordedPurge,
    Recovery,
    RecoveryPhase,
)
from tests.router_harness import CACHES, ORIGIN, PARENTS, US_PER_S, member

ROWS = (*CACHES, *PARENTS, ORIGIN)


def _recovered(drains: list[MemberDrain], reached: int = 5, now: int = 100 * US_PER_S) -> Recovery:
    recovery = Recovery(now, 6 * US_PER_S)
    recovery.on_opened(now)
    recovery.on_replayed(
        now,
        drains,
        [RecordedPurge(1, None, now - 2 * US_PER_S), RecordedPurge(2, "o", now - 9 * US_PER_S)],
        ["b1"],
        reached,
    )
    return recovery


# ---- state machine --------------------------------------------------------------------------------------


def test_only_legal_transitions_are_possible() -> None:
    for phase in RecoveryPhase:
        for to in RecoveryPhase:
            recovery = Recovery(0, US_PER_S)
            recovery.phase = phase
            if to not in TRANSITIONS[phase]:
                with pytest.raises(IllegalRecoveryPhaseError):
                    recovery._transition(to, 1)


def test_until_the_feed_is_received_the_stricter_state_holds_and_then_the_coordinators() -> None:
    recovery = _recovered(
        [MemberDrain("c0", DrainSource.COORDINATOR, 0), MemberDrain("c1", DrainSource.OPERATOR, 0)]
    )
    event = EndpointsChanged(EndpointListKind.SNAPSHOT, ROWS)
    states = {m.address: m.state for m in recovery.with_drains(event).members}
    assert states["c0"] is states["c1"] is MemberState.DRAINING and states["c2"] is MemberState.READY
    assert not recovery.on_feed_number(101 * US_PER_S, 4) and recovery.status()["phase"] == "checking"
    assert recovery.on_feed_number(101 * US_PER_S, 5) and recovery.status()["phase"] == "serving"
    states = {m.address: m.state for m in recovery.with_drains(event).members}
    assert states["c0"] is MemberState.READY, "the coordinator did not repeat the drain, so it is lifted"
    assert states["c1"] is MemberState.DRAINING, "only an operator lifts an operator's drain"
    assert recovery.lift_drain("c1") and not recovery.lift_drain("c1")
    assert recovery.with_drains(event) is event


def test_another_process_under_a_drained_name_is_not_drained_by_the_coordinator() -> None:
    recovery = _recovered(
        [
            MemberDrain("c0", DrainSource.COORDINATOR, 50 * US_PER_S),
            MemberDrain("c1", DrainSource.OPERATOR, 50 * US_PER_S),
        ]
    )
    new = EndpointsChanged(
        EndpointListKind.CHANGE,
        (member("c0", started_at_us=90 * US_PER_S), member("c1", started_at_us=90 * US_PER_S)),
    )
    assert [m.state for m in recovery.with_drains(new).members] == [MemberState.READY, MemberState.DRAINING]
    removed = EndpointsChanged(EndpointListKind.CHANGE, (replace(member("c1"), state=MemberState.REMOVED),))
    assert recovery.with_drains(removed).members[0].state is MemberState.REMOVED


def test_a_feed_that_is_never_received_keeps_the_drains_and_does_not_block_the_service() -> None:
    recovery = _recovered([MemberDrain("c0", DrainSource.COORDINATOR)])
    assert recovery.may_serve and not recovery.on_tick(109 * US_PER_S)
    assert recovery.on_tick(111 * US_PER_S) and recovery.phase is RecoveryPhase.SERVING
    assert recovery.is_drained(member("c0")) and "not received" in recovery.reason


def test_a_feed_received_late_lifts_the_coordinators_drains_once_and_keeps_the_operators() -> None:
    recovery = _recovered(
        [MemberDrain("c0", DrainSource.COORDINATOR), MemberDrain("c1", DrainSource.OPERATOR)], reached=5
    )
    assert recovery.on_tick(111 * US_PER_S) and recovery.feed_overdue
    assert not recovery.on_feed_number(112 * US_PER_S, 4)  # the store had recorded number 5
    assert recovery.on_feed_number(113 * US_PER_S, 5) and not recovery.feed_overdue
    assert not recovery.is_drained(member("c0")) and recovery.is_drained(member("c1"))
    assert not recovery.on_feed_number(114 * US_PER_S, 6)  # no drain is left to lift


def test_purges_that_may_not_be_carried_out_are_replayed_and_intents_are_not_sent_again() -> None:
    recovery = _recovered([])
    assert recovery.purges_to_replay(101 * US_PER_S) == [ObjectsPurged(1, None, 3 * US_PER_S)]
    assert not recovery.may_send("b1") and recovery.may_send("b2")


def test_directors_that_start_together_do_not_connect_together() -> None:
    """With 3 and with 40 directors: connections in any 100 ms, and the mean rate limit during the ramp."""
    for directors, most in ((3, 3), (40, 8)):
        backs = [ReconnectBackoff(n * 7919, 0, BackoffPolicy(), directors) for n in range(directors)]
        windows = [0] * 21
        for back in backs:
            windows[back.initial_delay_us // 100_000] += 1
        assert max(windows) <= most and sum(windows) == directors
        shares = [
            sum(b.ramp_share(at) for b in backs) / directors for at in range(0, 14 * US_PER_S, US_PER_S)
        ]
        assert shares == sorted(shares) and shares[0] <= 0.21 and shares[-1] == 1.0
    alone = ReconnectBackoff(1, 0, BackoffPolicy(), 1)
    assert alone.may_connect(0)
    tries = [[back.next_delay_us(100_000) for _ in range(12)] for back in backs]
    assert all(max(row) <= 8 * US_PER_S for row in tries) and len({row[3] for row in tries}) == 40
    backs[0].reset()
    assert backs[0].next_delay_us(100_000) <= 100_000
