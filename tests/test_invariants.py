"""Each run-time check reports a planted violation of its rule, and nothing for a permitted sequence."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace

import pytest

from onyxwick.core.attempt_invariants import slow_start_limit
from onyxwick.core.invariant_model import AttemptStarted, InvariantRule, Violation
from onyxwick.core.invariants import Invariants
from onyxwick.interface import EndpointListKind, EndpointsChanged, Member, MemberState
from tests.director_harness import HIT_REPLY_FIELDS, DirectorHarness, encode_call, forward_to, run_scenario
from tests.router_harness import SETTINGS, member

S_US = 1_000_000
NOW_US = 1_000 * S_US


class ChecksUnderTest:
    """The checks with three listed caches and one admitted request; `start_attempt` starts its attempts."""

    def __init__(self, kind: str = "chunk") -> None:
        self.violations: list[Violation] = []
        work_us = {c.name: 100_000.0 for c in SETTINGS.classes}
        self.checks = Invariants(SETTINGS, self.violations.append, lambda: work_us)
        self.members(*(member(f"c{n}") for n in range(3)))
        self.checks.request_started("r1", kind, 17, "o1", NOW_US + 2 * S_US, NOW_US)

    def members(self, *rows: Member, now_us: int = NOW_US) -> None:
        self.checks.endpoints_changed(EndpointsChanged(EndpointListKind.CHANGE, rows), now_us)

    def start_attempt(self, now_us: int = NOW_US, attempt_index: int = 0, **overrides: object) -> None:
        fields = {
            "request": "r1",
            "member": "c0",
            "fill_source": None,
            "max_age_us": 0,
            "remaining_us": NOW_US + 2 * S_US - now_us,
        }
        self.checks.attempt_started(
            AttemptStarted(**{**fields, "attempt_index": attempt_index, **overrides}),  # type: ignore[arg-type]
            now_us,
        )

    @property
    def rules(self) -> list[InvariantRule]:
        return [violation.rule for violation in self.violations]


def _sent_after_departure(harness: ChecksUnderTest, excess: int) -> None:
    harness.checks.client_departed("r1", NOW_US)
    harness.start_attempt(NOW_US + (110_000 if excess else 90_000))


def _sent_after_answer(harness: ChecksUnderTest, excess: int) -> None:
    if excess:
        harness.checks.answered("r1", NOW_US)
    harness.start_attempt(NOW_US + 1)


def _sent_to_draining_member(harness: ChecksUnderTest, excess: int) -> None:
    harness.members(replace(member("c0"), state=MemberState.DRAINING), now_us=NOW_US)
    harness.start_attempt(
        NOW_US + SETTINGS.rules.drain_grace_us + (60_000 if excess else 40_000), remaining_us=0
    )


def _sent_with_removed_source(harness: ChecksUnderTest, excess: int) -> None:
    harness.members(replace(member("c1"), state=MemberState.REMOVED), now_us=NOW_US)
    harness.start_attempt(
        NOW_US + SETTINGS.rules.drain_grace_us + (60_000 if excess else 40_000),
        remaining_us=0,
        fill_source="c1",
    )


def _purged_copy_accepted(harness: ChecksUnderTest, excess: int) -> None:
    harness.checks.object_purged(17, None, NOW_US - 100_000, NOW_US)
    sent_at_us = NOW_US + 500_000  # after the purge grace of 0.3 s
    harness.start_attempt(sent_at_us, max_age_us=2 * S_US if excess else 600_000)


def _unlimited_age_after_purge(harness: ChecksUnderTest, excess: int) -> None:
    harness.checks.object_purged(-1, "o1" if excess else "o2", NOW_US - 100_000, NOW_US)
    harness.start_attempt(NOW_US + 500_000)


def _retried(harness: ChecksUnderTest, excess: int) -> None:
    harness.start_attempt()
    harness.checks.attempt_ended("r1", 0, proves_not_executed=not excess)
    harness.start_attempt(NOW_US + 1, attempt_index=1)


def _timeout_exceeds_deadline(harness: ChecksUnderTest, excess: int) -> None:
    harness.start_attempt(remaining_us=2 * S_US + (160_000 if excess else 140_000))


def _sends_to_cold_member(harness: ChecksUnderTest, excess: int) -> None:
    harness.members(member("c0", started_at_us=NOW_US, weight=6.0))
    rules = SETTINGS.rules
    allowed = rules.overload_multiple * rules.warm_up_start_share * 6.0 * rules.overload_window_us / 100_000
    for _ in range(int(slow_start_limit(allowed)) + excess):
        harness.start_attempt(NOW_US + 1)


def _answered_twice(harness: ChecksUnderTest, excess: int) -> None:
    for _ in range(1 + excess):
        harness.checks.answered("r1", NOW_US + 1)


def _never_answered(harness: ChecksUnderTest, excess: int) -> None:
    if not excess:
        harness.checks.client_departed("r1", NOW_US)
    harness.checks.request_ended("r1")


def _answered_late(harness: ChecksUnderTest, excess: int) -> None:
    harness.checks.answered("r1", NOW_US + 2 * S_US + (510_000 if excess else 490_000))


def _closed_with_unanswered_request(harness: ChecksUnderTest, excess: int) -> None:
    harness.checks.connection_closed(7, 1, by_client=not excess)


def _command_not_persisted(harness: ChecksUnderTest, excess: int) -> None:
    harness.checks.commands_written(3, 3 - excess)


def _open_after_drain(harness: ChecksUnderTest, excess: int) -> None:
    harness.checks.connection_open_after_drain(7, 2 * S_US - excess)


def _idle_after_drain(harness: ChecksUnderTest, excess: int) -> None:
    harness.checks.connection_open_after_drain(7, None if excess else 3 * S_US)


def _answer_truncated(harness: ChecksUnderTest, excess: int) -> None:
    if excess:
        harness.checks.answer_truncated(7, 1)


def _exits_after_kill_time(harness: ChecksUnderTest, excess: int) -> None:
    harness.checks.process_ended(S_US + excess, S_US)


def _check_raises_error(harness: ChecksUnderTest, excess: int) -> None:
    harness.start_attempt(remaining_us=None if excess else S_US)


CASES: list[tuple[InvariantRule, str, Callable[[ChecksUnderTest, int], None]]] = [
    (InvariantRule.SENT_AFTER_CLIENT_DEPARTED, "chunk", _sent_after_departure),
    (InvariantRule.SENT_AFTER_ANSWER, "chunk", _sent_after_answer),
    (InvariantRule.SENT_TO_UNAVAILABLE_MEMBER, "chunk", _sent_to_draining_member),
    (InvariantRule.SENT_TO_UNAVAILABLE_MEMBER, "chunk", _sent_with_removed_source),
    (InvariantRule.PURGED_COPY_ACCEPTED, "chunk", _purged_copy_accepted),
    (InvariantRule.PURGED_COPY_ACCEPTED, "chunk", _unlimited_age_after_purge),
    (InvariantRule.UNSAFE_RETRY, "save", _retried),
    (InvariantRule.TIMEOUT_EXCEEDS_DEADLINE, "chunk", _timeout_exceeds_deadline),
    (InvariantRule.SLOW_START_LIMIT_EXCEEDED, "chunk", _sends_to_cold_member),
    (InvariantRule.DUPLICATE_ANSWER, "chunk", _answered_twice),
    (InvariantRule.NO_ANSWER, "chunk", _never_answered),
    (InvariantRule.LATE_ANSWER, "chunk", _answered_late),
    (InvariantRule.CLOSED_WITH_UNANSWERED_REQUESTS, "chunk", _closed_with_unanswered_request),
    (InvariantRule.OPERATOR_COMMAND_NOT_PERSISTED, "chunk", _command_not_persisted),
    (InvariantRule.OPEN_AFTER_DRAIN, "chunk", _open_after_drain),
    (InvariantRule.OPEN_AFTER_DRAIN, "chunk", _idle_after_drain),
    (InvariantRule.ANSWER_TRUNCATED, "chunk", _answer_truncated),
    (InvariantRule.EXITED_AFTER_KILL_TIME, "chunk", _exits_after_kill_time),
    (InvariantRule.CHECK_FAILED, "chunk", _check_raises_error),
]


@pytest.mark.parametrize(("rule", "kind", "play"), CASES, ids=[case[2].__name__ for case in CASES])
def test_a_violation_is_reported_and_what_is_just_in_time_is_not(
    rule: InvariantRule, kind: str, play: Callable[[ChecksUnderTest, int], None]
) -> None:
    sound, broken = ChecksUnderTest(kind), ChecksUnderTest(kind)
    play(sound, 0)
    play(broken, 1)
    assert (sound.rules, broken.rules) == ([], [rule])
    assert broken.violations[0].cause


def test_every_rule_has_a_planted_violation() -> None:
    assert {rule for rule, _, _ in CASES} == set(InvariantRule)


def test_a_keyed_retry_is_legal_within_its_window_only() -> None:
    for excess, found in ((0, []), (1, [InvariantRule.UNSAFE_RETRY])):
        harness = ChecksUnderTest("hold")
        harness.start_attempt()
        harness.start_attempt(NOW_US + 2 * S_US + (1 if excess else -1), attempt_index=1)
        assert harness.rules == found


def test_tables_are_bounded_by_the_purge_retention() -> None:
    harness = ChecksUnderTest()
    for n in range(5_000):
        harness.checks.object_purged(-1, f"o{n}", NOW_US + n * 10_000, NOW_US + n * 10_000)
    assert len(harness.checks.attempts.purges) <= 2 * SETTINGS.rules.purge_retention_us / 10_000 + 2
    harness.checks.request_ended("r1")
    assert not harness.checks.requests


# ---- called by the running engine ------------------


def test_a_failure_of_the_guard_is_counted_and_changes_nothing() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        cache = harness.add_cache("c0")
        harness.router.on_arrival = lambda request: forward_to(request, "c0", "c0")
        harness.core.guard.is_retry_permitted = lambda lifecycle, attempt_index: True  # type: ignore[method-assign]  # planted fault
        lifecycle = harness.start("save")
        conn = await harness.accept(cache)
        await harness.read_until(conn, lifecycle.request.request_id.encode())
        await harness.wait_until(lambda: harness.counters.counts["violation.repeated_unsafely"] == 1)
        assert not harness.answers  # the violation is counted, and the request continues

    run_scenario(scenario)


def test_a_served_request_violates_nothing_and_its_connections_have_close_reasons() -> None:
    from onyxwick.net import resp

    async def scenario(harness: DirectorHarness) -> None:
        cache, loop = harness.add_cache("c0"), asyncio.get_running_loop()
        harness.router.on_arrival = lambda request: forward_to(request, "c0")
        client = await harness.connect_client()
        await loop.sock_sendall(client, encode_call(1))
        conn = await harness.accept(cache)
        await harness.read_until(conn, f"{1:016x}".encode())
        await loop.sock_sendall(
            conn, resp.encode_command(f"{1:016x}".encode(), b"data", HIT_REPLY_FIELDS, b"walk")
        )
        await harness.read_until(client, b"walk")
        client.close()
        conn.close()
        counts = harness.counters.counts
        await harness.wait_until(lambda: counts["ended.client.closed_by_peer"] == 1)
        await harness.wait_until(lambda: counts["ended.cache.closed_by_peer"] == 1)
        assert not [name for name in counts if name.startswith("violation.")]
        assert not harness.core.invariants.requests

    run_scenario(scenario)
