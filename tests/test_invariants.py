"""Each run-time check reports a planted violation of its rule, and nothing in a sound run beside it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace

import pytest

from onyxwick.core.attempt_invariants import slow_start_limit
from onyxwick.core.invariant_model import AttemptStarted, InvariantRule, Violation
from onyxwick.core.invariants import Invariants
from onyxwick.interface import EndpointListKind, EndpointsChanged, Member, MemberState
from tests.ground import FOUND, Ground, ask, call, played
from tests.router_harness import SETTINGS, member

S = 1_000_000
NOW = 1_000 * S


class Checked:
    """Checks over three caches and one request of a class, whose first attempt is `start_attempt`."""

    def __init__(self, kind: str = "chunk") -> None:
        self.found: list[Violation] = []
        work = {c.name: 100_000.0 for c in SETTINGS.classes}
        self.checks = Invariants(SETTINGS, self.found.append, lambda: work)
        self.members(*(member(f"c{n}") for n in range(3)))
        self.checks.request_started("r1", kind, 17, "o1", NOW + 2 * S, NOW)

    def members(self, *rows: Member, now: int = NOW) -> None:
        self.checks.endpoints_changed(EndpointsChanged(EndpointListKind.CHANGE, rows), now)

    def start_attempt(self, now: int = NOW, attempt_index: int = 0, **more: object) -> None:
        facts = {
            "request": "r1",
            "member": "c0",
            "fill_source": None,
            "max_age_us": 0,
            "remaining_us": NOW + 2 * S - now,
        }
        self.checks.attempt_started(AttemptStarted(**{**facts, "attempt_index": attempt_index, **more}), now)  # type: ignore[arg-type]

    @property
    def rules(self) -> list[InvariantRule]:
        return [violation.rule for violation in self.found]


def _departed(c: Checked, late: int) -> None:
    c.checks.client_departed("r1", NOW)
    c.start_attempt(NOW + (110_000 if late else 90_000))


def _answered_before(c: Checked, late: int) -> None:
    if late:
        c.checks.answered("r1", NOW)
    c.start_attempt(NOW + 1)


def _draining(c: Checked, late: int) -> None:
    c.members(replace(member("c0"), state=MemberState.DRAINING), now=NOW)
    c.start_attempt(NOW + SETTINGS.rules.drain_grace_us + (60_000 if late else 40_000), remaining_us=0)


def _gone_source(c: Checked, late: int) -> None:
    c.members(replace(member("c1"), state=MemberState.REMOVED), now=NOW)
    c.start_attempt(
        NOW + SETTINGS.rules.drain_grace_us + (60_000 if late else 40_000), remaining_us=0, fill_source="c1"
    )


def _purged(c: Checked, late: int) -> None:
    c.checks.object_purged(17, None, NOW - 100_000, NOW)
    at = NOW + 500_000  # grace is 0.3 s
    c.start_attempt(at, max_age_us=2 * S if late else 600_000)


def _unbounded_after_a_purge(c: Checked, late: int) -> None:
    c.checks.object_purged(-1, "o1" if late else "o2", NOW - 100_000, NOW)
    c.start_attempt(NOW + 500_000)


def _repeated(c: Checked, late: int) -> None:
    c.start_attempt()
    c.checks.attempt_ended("r1", 0, proves_not_executed=not late)
    c.start_attempt(NOW + 1, attempt_index=1)


def _time_told(c: Checked, late: int) -> None:
    c.start_attempt(remaining_us=2 * S + (160_000 if late else 140_000))


def _cold(c: Checked, late: int) -> None:
    c.members(member("c0", started_at_us=NOW, weight=6.0))
    rules = SETTINGS.rules
    allowed = rules.overload_multiple * rules.warm_up_start_share * 6.0 * rules.overload_window_us / 100_000
    for _ in range(int(slow_start_limit(allowed)) + late):
        c.start_attempt(NOW + 1)


def _answer_twice(c: Checked, late: int) -> None:
    for _ in range(1 + late):
        c.checks.answered("r1", NOW + 1)


def _never_answered(c: Checked, late: int) -> None:
    if not late:
        c.checks.client_departed("r1", NOW)
    c.checks.request_ended("r1")


def _answered_late(c: Checked, late: int) -> None:
    c.checks.answered("r1", NOW + 2 * S + (510_000 if late else 490_000))


def _closed_owing(c: Checked, late: int) -> None:
    c.checks.connection_closed(7, 1, by_client=not late)


def _unwritten(c: Checked, late: int) -> None:
    c.checks.commands_written(3, 3 - late)


def _held(c: Checked, late: int) -> None:
    c.checks.connection_open_after_drain(7, 2 * S - late)


def _held_idle(c: Checked, late: int) -> None:
    c.checks.connection_open_after_drain(7, None if late else 3 * S)


def _cut(c: Checked, late: int) -> None:
    if late:
        c.checks.answer_truncated(7, 1)


def _outlives(c: Checked, late: int) -> None:
    c.checks.process_ended(S + late, S)


def _check_fails(c: Checked, late: int) -> None:
    c.start_attempt(remaining_us=None if late else S)


CASES: list[tuple[InvariantRule, str, Callable[[Checked, int], None]]] = [
    (InvariantRule.SENT_AFTER_CLIENT_DEPARTED, "chunk", _departed),
    (InvariantRule.SENT_AFTER_ANSWER, "chunk", _answered_before),
    (InvariantRule.SENT_TO_UNAVAILABLE_MEMBER, "chunk", _draining),
    (InvariantRule.SENT_TO_UNAVAILABLE_MEMBER, "chunk", _gone_source),
    (InvariantRule.PURGED_COPY_ACCEPTED, "chunk", _purged),
    (InvariantRule.PURGED_COPY_ACCEPTED, "chunk", _unbounded_after_a_purge),
    (InvariantRule.UNSAFE_RETRY, "save", _repeated),
    (InvariantRule.TIMEOUT_EXCEEDS_DEADLINE, "chunk", _time_told),
    (InvariantRule.SLOW_START_LIMIT_EXCEEDED, "chunk", _cold),
    (InvariantRule.DUPLICATE_ANSWER, "chunk", _answer_twice),
    (InvariantRule.NO_ANSWER, "chunk", _never_answered),
    (InvariantRule.LATE_ANSWER, "chunk", _answered_late),
    (InvariantRule.CLOSED_WITH_UNANSWERED_REQUESTS, "chunk", _closed_owing),
    (InvariantRule.OPERATOR_COMMAND_NOT_PERSISTED, "chunk", _unwritten),
    (InvariantRule.OPEN_AFTER_DRAIN, "chunk", _held),
    (InvariantRule.OPEN_AFTER_DRAIN, "chunk", _held_idle),
    (InvariantRule.ANSWER_TRUNCATED, "chunk", _cut),
    (InvariantRule.EXITED_AFTER_KILL_TIME, "chunk", _outlives),
    (InvariantRule.CHECK_FAILED, "chunk", _check_fails),
]


@pytest.mark.parametrize(("rule", "kind", "play"), CASES, ids=[case[2].__name__ for case in CASES])
def test_a_violation_is_reported_and_what_is_just_in_time_is_not(
    rule: InvariantRule, kind: str, play: Callable[[Checked, int], None]
) -> None:
    sound, broken = Checked(kind), Checked(kind)
    play(sound, 0)
    play(broken, 1)
    assert (sound.rules, broken.rules) == ([], [rule])
    assert broken.found[0].cause


def test_every_rule_has_a_planted_violation() -> None:
    assert {rule for rule, _, _ in CASES} == set(InvariantRule)


def test_a_keyed_retry_is_legal_within_its_window_only() -> None:
    for late, found in ((0, []), (1, [InvariantRule.UNSAFE_RETRY])):
        c = Checked("hold")
        c.start_attempt()
        c.start_attempt(NOW + 2 * S + (1 if late else -1), attempt_index=1)
        assert c.rules == found


def test_tables_are_bounded_by_the_purge_retention() -> None:
    c = Checked()
    for n in range(5_000):
        c.checks.object_purged(-1, f"o{n}", NOW + n * 10_000, NOW + n * 10_000)
    assert len(c.checks.attempts.purges) <= 2 * SETTINGS.rules.purge_retention_us / 10_000 + 2
    c.checks.request_ended("r1")
    assert not c.checks.requests


# ---- fed by the running engine ---------------------


def test_a_failure_of_the_guard_is_counted_and_changes_nothing() -> None:
    async def play(ground: Ground) -> None:
        cache = ground.cache("c0")
        ground.script.arrived = lambda request: ask(request, "c0", "c0")
        ground.core.guard.is_retry_permitted = lambda lifecycle, attempt_index: True  # type: ignore[method-assign]  # planted
        lifecycle = ground.start("save")
        conn = await ground.accepted(cache)
        await ground.read(conn, lifecycle.request.request_id.encode())
        await ground.until(lambda: ground.counters.counts["violation.repeated_unsafely"] == 1)
        assert not ground.answers  # it is counted, and served on

    played(play)


def test_a_served_request_violates_nothing_and_its_connections_have_close_reasons() -> None:
    from onyxwick.net import resp

    async def play(ground: Ground) -> None:
        cache, loop = ground.cache("c0"), asyncio.get_running_loop()
        ground.script.arrived = lambda request: ask(request, "c0")
        client = await ground.client()
        await loop.sock_sendall(client, call(1))
        conn = await ground.accepted(cache)
        await ground.read(conn, f"{1:016x}".encode())
        await loop.sock_sendall(conn, resp.encode_command(f"{1:016x}".encode(), b"data", FOUND, b"walk"))
        await ground.read(client, b"walk")
        client.close()
        conn.close()
        counts = ground.counters.counts
        await ground.until(lambda: counts["ended.client.closed_by_peer"] == 1)
        await ground.until(lambda: counts["ended.cache.closed_by_peer"] == 1)
        assert not [name for name in counts if name.startswith("violation.")]
        assert not ground.core.invariants.requests

    played(play)
