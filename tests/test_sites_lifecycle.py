"""The state machine of one site: exhaustive exploration, single cases, commands and evidence."""

from __future__ import annotations

import copy
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import replace

import pytest

from onyxwick.interface import AttemptEnded, AttemptStatus
from onyxwick.sites.evidence import MAX_FEED_INTERVAL_US, Evidence
from onyxwick.sites.lifecycle import (
    AWAY_PHASES,
    LEGAL_TRANSITIONS,
    IllegalSiteTransitionError,
    SiteDirective,
    SiteHealthSignals,
    SiteLifecycle,
    SitePhase,
)
from onyxwick.sites.member_evidence import OVERDUE_US, AttemptEvidence, classify_attempt
from onyxwick.sites.model import SitePolicy
from onyxwick.sites.operator_commands import (
    ABORT_AFTER_US,
    SiteCommand,
    SiteCommandError,
    SiteCommands,
    command_from_row,
    command_to_row,
    parse_command,
)

S = 1_000_000
TICK = 500_000
POLICY = SitePolicy(confirm_us=S, step_interval_us=TICK, evacuation_steps=2, return_steps=2, hold_us=S)
HEALTHY = SiteHealthSignals(
    outside_received_us=1 << 60, has_demand=True, answered_us=1 << 60, healthy_since_us=1
)
# The signals that a director may observe at a tick, by name, based on the signals of a healthy site.
SIGNALS: dict[str, SiteHealthSignals] = {
    "well": HEALTHY,
    "dark": replace(HEALTHY, unreachable=True, unreachable_since_us=1, answered_us=0, healthy_since_us=0),
    "cut off": replace(
        HEALTHY,
        unreachable=True,
        unreachable_since_us=1,
        answered_us=0,
        cut_off=True,
        outside_received_us=0,
        healthy_since_us=0,
    ),
    "off the list": replace(
        HEALTHY, listed_share=0.0, capacity_share=0.0, warm_share=0.0, answered_us=0, healthy_since_us=0
    ),
    "cold": replace(HEALTHY, warm_share=0.4),
    "pressed": replace(HEALTHY, pressure=0.9),
    "smaller": replace(HEALTHY, capacity_share=0.5, warm_share=0.5),
    "nobody asks": replace(
        HEALTHY, unreachable=True, unreachable_since_us=1, answered_us=0, has_demand=False, healthy_since_us=0
    ),
}
DIRECTIVES = (SiteDirective.NONE, SiteDirective.EVACUATE, SiteDirective.RETURN, SiteDirective.HOLD)


def test_an_illegal_transition_raises_a_named_error() -> None:
    for phase in SitePhase:
        for to in SitePhase:
            lifecycle = SiteLifecycle("north", 0, POLICY)
            lifecycle.phase = phase
            if to not in LEGAL_TRANSITIONS[phase]:
                with pytest.raises(IllegalSiteTransitionError, match="site 'north'"):
                    lifecycle._transition(to, 1, "")


# ---- exhaustive exploration -----------------------------------------------------------------------------


def _key(lifecycle: SiteLifecycle, now: int) -> tuple[object, ...]:
    """Return the state that determines the further behavior, with times relative to now and bounded."""
    passed = [
        min(8, (now - t) // TICK)
        for t in (lifecycle.phase_started_us, lifecycle.share_changed_us, max(0, lifecycle.hold_until_us))
    ]
    ahead = max(0, min(8, (lifecycle.hold_until_us - now) // TICK))
    return (
        lifecycle.phase,
        round(lifecycle.moved_share, 3),
        lifecycle.flaps,
        min(2, lifecycle.setbacks),
        lifecycle.evacuated_by_command,
        lifecycle.was_unreachable,
        *passed,
        ahead,
    )


def _violation(
    before: SiteLifecycle, after: SiteLifecycle, signals: SiteHealthSignals, directive: SiteDirective
) -> str:
    """Return a description of the invariant that a step violated; empty if none."""
    step = 1 / min(POLICY.evacuation_steps, POLICY.return_steps)
    if not 0.0 <= after.moved_share <= 1.0:
        return f"moved share outside 0 to 1: {after.moved_share}"
    if abs(after.moved_share - before.moved_share) > step + 1e-9 and after.phase is not SitePhase.STEADY:
        return f"moved share changed by {after.moved_share - before.moved_share:+.2f} in one step"
    if signals.cut_off and signals.listed_share > 0 and directive is SiteDirective.NONE:
        if after.moved_share != before.moved_share and after.phase not in (
            SitePhase.RETURNING,
            SitePhase.STEADY,
        ):
            return "moved share changed while the director was isolated"
        if after.phase in AWAY_PHASES and before.phase not in AWAY_PHASES:
            return "site considered lost while the director was isolated"
    if after.phase is SitePhase.STEADY and after.moved_share != 0.0:
        return "steady, but objects are moved"
    if after.phase is SitePhase.EVACUATED and after.moved_share != 1.0:
        return "evacuated, but not all objects are moved"
    if (
        not signals.has_demand
        and signals.listed_share > 0
        and before.phase is SitePhase.SUSPECT
        and after.phase is SitePhase.LOST
    ):
        return "lost, but without demand at this director"
    return ""


def explore(
    step: Callable[[SiteLifecycle, int, SiteHealthSignals, SiteDirective], None],
    depth: int,
    directives: tuple[SiteDirective, ...] = DIRECTIVES,
) -> tuple[int, list[str]]:
    """Explore all states that `depth` ticks with any signals and directives can reach, breadth first.

    Returns the number of states and the shortest sequence of steps to a violation (empty if there is
    none)."""
    begin = SiteLifecycle("north", 0, POLICY)
    seen = {_key(begin, 0)}
    queue: deque[tuple[SiteLifecycle, int, list[str]]] = deque([(begin, 0, [])])
    while queue:
        lifecycle, now, steps = queue.popleft()
        if len(steps) >= depth:
            continue
        for name, signals in SIGNALS.items():
            for directive in directives:
                after, then = copy.copy(lifecycle), now + TICK
                step(after, then, signals, directive)
                path = [*steps, f"{name}/{directive.value}"]
                if found := _violation(lifecycle, after, signals, directive):
                    return len(seen), [*path, found]
                key = _key(after, then)
                if key not in seen:
                    seen.add(key)
                    queue.append((after, then, path))
    return len(seen), []


def test_no_interleaving_of_signals_and_directives_breaks_an_invariant() -> None:
    states, violation = explore(
        lambda lifecycle, now, signals, directive: lifecycle.step(now, signals, directive), 7
    )
    assert not violation, violation
    assert states > 2000


def _ignoring_isolation(
    lifecycle: SiteLifecycle, now: int, signals: SiteHealthSignals, directive: SiteDirective
) -> None:
    lifecycle.step(now, replace(signals, cut_off=False, outside_received_us=1 << 60), directive)


def _lost_without_demand(
    lifecycle: SiteLifecycle, now: int, signals: SiteHealthSignals, directive: SiteDirective
) -> None:
    lifecycle.step(now, replace(signals, has_demand=True), directive)


def _returned_in_one_step(
    lifecycle: SiteLifecycle, now: int, signals: SiteHealthSignals, directive: SiteDirective
) -> None:
    lifecycle.step(now, signals, directive)
    if lifecycle.phase is SitePhase.RETURNING:
        lifecycle.moved_share = 0.0


def _evacuated_too_early(
    lifecycle: SiteLifecycle, now: int, signals: SiteHealthSignals, directive: SiteDirective
) -> None:
    lifecycle.step(now, signals, directive)
    if lifecycle.phase is SitePhase.EVACUATING and lifecycle.moved_share > 0:
        lifecycle.phase = SitePhase.EVACUATED


def _steady_too_early(
    lifecycle: SiteLifecycle, now: int, signals: SiteHealthSignals, directive: SiteDirective
) -> None:
    lifecycle.step(now, signals, directive)
    if lifecycle.phase is SitePhase.RETURNING and lifecycle.moved_share < 0.6:
        lifecycle.phase = SitePhase.STEADY


def _moved_share_over_one(
    lifecycle: SiteLifecycle, now: int, signals: SiteHealthSignals, directive: SiteDirective
) -> None:
    lifecycle.step(now, signals, directive)
    if lifecycle.phase is SitePhase.RETURNING and signals.pressure:
        lifecycle.moved_share += 0.4


PLANTED_BUGS = [
    _ignoring_isolation,
    _lost_without_demand,
    _returned_in_one_step,
    _evacuated_too_early,
    _steady_too_early,
    _moved_share_over_one,
]


@pytest.mark.parametrize("bug", PLANTED_BUGS, ids=lambda bug: bug.__name__)
def test_every_planted_bug_is_found_with_the_steps_to_it(
    bug: Callable[[SiteLifecycle, int, SiteHealthSignals, SiteDirective], None],
) -> None:
    _, violation = explore(bug, 7)
    assert violation and len(violation) <= 8


@pytest.mark.parametrize("depth", [4])
def test_from_every_state_a_healthy_site_becomes_steady_in_bounded_time(depth: int) -> None:
    """From every state, a site that stays unreachable becomes evacuated, too."""
    for lifecycle, now in _reachable_states(depth):
        healthy, lost = copy.copy(lifecycle), copy.copy(lifecycle)
        for n in range(1, 400):
            signals = replace(HEALTHY, healthy_since_us=now, answered_us=now + n * TICK)
            healthy.step(now + n * TICK, signals)
            unreachable_signals = replace(
                SIGNALS["dark"], unreachable_since_us=now, outside_received_us=now + n * TICK
            )
            lost.step(now + n * TICK, unreachable_signals)
        assert healthy.phase is SitePhase.STEADY, (healthy.phase, healthy.reason)
        assert lost.phase is SitePhase.EVACUATED, (lost.phase, lost.reason)


def _reachable_states(depth: int) -> Iterator[tuple[SiteLifecycle, int]]:
    found: dict[tuple[object, ...], tuple[SiteLifecycle, int]] = {}

    def step(
        lifecycle: SiteLifecycle, now: int, signals: SiteHealthSignals, directive: SiteDirective
    ) -> None:
        lifecycle.step(now, signals, directive)
        found.setdefault(_key(lifecycle, now), (lifecycle, now))

    explore(step, depth, (SiteDirective.NONE, SiteDirective.EVACUATE))
    yield from found.values()


# ---- single cases ---------------------------------------------------------------------------------------


def _step_repeatedly(
    lifecycle: SiteLifecycle,
    start: int,
    ticks: int,
    signals: SiteHealthSignals,
    directive: SiteDirective = SiteDirective.NONE,
) -> int:
    for n in range(ticks):
        lifecycle.step(start + (n + 1) * TICK, signals, directive)
    return start + ticks * TICK


def test_a_flapping_site_is_returned_to_more_and_more_slowly() -> None:
    """In 20 minutes of 10 s up and 5 s down there are far fewer transitions than flaps."""
    lifecycle, now, holds = SiteLifecycle("north", 0, POLICY), 0, []
    for _ in range(80):
        now = _step_repeatedly(
            lifecycle,
            now,
            10,
            replace(SIGNALS["dark"], unreachable_since_us=now, outside_received_us=1 << 60),
        )
        now = _step_repeatedly(lifecycle, now, 20, replace(HEALTHY, healthy_since_us=now))
        holds.append(lifecycle.hold_us)
    assert holds[-1] >= 16 * POLICY.hold_us and lifecycle.transition_count < 60


def test_a_paused_process_observes_again_before_it_acts() -> None:
    lifecycle, now = SiteLifecycle("north", 0, POLICY), 0
    now = _step_repeatedly(lifecycle, now, 1, SIGNALS["dark"])
    assert str(lifecycle.phase.value) == "suspect"
    lifecycle.step(now + 20 * S, SIGNALS["dark"])
    assert str(lifecycle.phase.value) == "steady" and "process was paused" in lifecycle.reason
    gone = SiteLifecycle("north", 0, POLICY)
    now = _step_repeatedly(gone, 0, 12, SIGNALS["dark"])
    share, phase = gone.moved_share, gone.phase
    gone.step(now + 20 * S, replace(HEALTHY, healthy_since_us=1))
    assert (gone.moved_share, gone.phase) == (share, phase), (
        "observations from before the pause must not move anything"
    )


def test_a_director_that_starts_beside_a_cold_site_leaves_its_objects_where_they_are() -> None:
    lifecycle = SiteLifecycle("north", 0, POLICY)
    lifecycle.start(0, SiteHealthSignals(warm_share=0.2))
    assert lifecycle.phase is SitePhase.RETURNING and lifecycle.moved_share == pytest.approx(0.8)
    fresh = SiteLifecycle("north", 0, POLICY)
    fresh.start(0, SiteHealthSignals(warm_share=0.9))
    assert fresh.phase is SitePhase.STEADY


def test_a_site_that_returns_smaller_keeps_a_share_elsewhere_with_a_reason() -> None:
    lifecycle = SiteLifecycle("north", 0, POLICY)
    now = _step_repeatedly(lifecycle, 0, 12, SIGNALS["dark"])
    _step_repeatedly(lifecycle, now, 60, SIGNALS["smaller"])
    assert (
        lifecycle.phase is SitePhase.RETURNING
        and lifecycle.moved_share == pytest.approx(0.5)
        and "returned with less capacity" in lifecycle.reason
    )


def test_a_command_goes_before_evidence_and_manual_installations_wait_for_it() -> None:
    lifecycle = SiteLifecycle("north", 0, POLICY)
    now = _step_repeatedly(lifecycle, 0, 6, HEALTHY, SiteDirective.EVACUATE)
    assert str(lifecycle.phase.value) == "evacuated" and not lifecycle.was_unreachable
    now = _step_repeatedly(lifecycle, now, 20, HEALTHY, SiteDirective.EVACUATE)
    assert str(lifecycle.phase.value) == "evacuated", "healthy signals must not end an evacuation by command"
    _step_repeatedly(lifecycle, now, 20, HEALTHY)
    assert str(lifecycle.phase.value) == "steady"
    waits = SiteLifecycle("north", 0, replace(POLICY, automatic=False))
    now = _step_repeatedly(waits, 0, 20, SIGNALS["dark"])
    assert waits.phase.value == "lost" and waits.moved_share == 0.0
    _step_repeatedly(waits, now, 6, SIGNALS["dark"], SiteDirective.EVACUATE)
    assert waits.phase is SitePhase.EVACUATED


def test_an_exercise_stays_away_for_its_time_and_yields_to_an_actual_loss() -> None:
    commands, exercised, other = (
        SiteCommands(),
        SiteLifecycle("north", 0, POLICY),
        SiteLifecycle("west", 0, POLICY),
    )
    commands.apply(SiteCommand("north", SiteDirective.EVACUATE, "drill", issued_at_us=0, exercise_us=3 * S))
    lifecycles, now, ended = {"north": exercised, "west": other}, 0, []
    for n in range(40):
        now = (n + 1) * TICK
        exercised.step(now, HEALTHY, commands.directive_for("north"))
        ended += commands.step_exercises(now, lifecycles, 0.0)
    assert ended == ["north"] and exercised.phase is SitePhase.STEADY and not commands.active
    commands.apply(
        SiteCommand("north", SiteDirective.EVACUATE, "drill", issued_at_us=now, exercise_us=300 * S)
    )
    for n in range(6):
        exercised.step(now + n * TICK, HEALTHY, commands.directive_for("north"))
    other.phase = SitePhase.SUSPECT
    commands.step_exercises(now + 7 * TICK, lifecycles, 0.0)
    assert (
        commands.directive_for("north") is SiteDirective.RETURN
        and "west" in commands.exercise_end_reasons["north"]
    )


def test_an_exercise_ends_under_overload_and_when_overtaken_by_an_actual_loss() -> None:
    commands, lifecycle = SiteCommands(), SiteLifecycle("north", 0, POLICY)
    commands.apply(SiteCommand("north", SiteDirective.EVACUATE, "drill", exercise_us=300 * S))
    for now in (S, S + ABORT_AFTER_US // 2, S + ABORT_AFTER_US):
        commands.step_exercises(now, {"north": lifecycle}, 0.9)
    assert (
        commands.directive_for("north") is SiteDirective.RETURN
        and "overload" in commands.exercise_end_reasons["north"]
    )
    lifecycle.was_unreachable, lifecycle.phase = True, SitePhase.EVACUATING
    assert (
        commands.step_exercises(9 * S, {"north": lifecycle}, 0.0) == ["north"]
        and commands.directive_for("north") is SiteDirective.NONE
    )


def test_commands_are_parsed_completely_and_stored_as_rows() -> None:
    command = parse_command("north", {"word": "evacuate", "reason": "flood", "stay_s": 30}, 7)
    assert command_from_row(command_to_row(command)) == command and command.is_exercise
    for document, expected_text in (
        ({"word": "leave"}, "expected one of auto, evacuate"),
        ({"word": "return", "stay_s": 5}, "only allowed with the word evacuate"),
        ({"word": "evacuate", "stay_s": "5"}, "not a number"),
        ({"word": "evacuate", "stay": 5}, "unknown field 'stay'"),
        ({"word": "hold", "reason": 7}, "not a string"),
    ):
        with pytest.raises(SiteCommandError, match=expected_text):
            parse_command("north", document, 0)
    with pytest.raises(SiteCommandError):
        command_from_row({"site": "north"})


def test_a_stored_command_keeps_the_field_names_that_earlier_versions_wrote() -> None:
    """A row that version 24ddf6c wrote is decoded and encoded without change."""
    row = {
        "site": "north",
        "word": "evacuate",
        "reason": "flood",
        "by": "operator",
        "at_us": 5,
        "stay_us": 3_000_000,
    }
    command = command_from_row(row)
    assert command == SiteCommand("north", SiteDirective.EVACUATE, "flood", "operator", 5, 3_000_000)
    assert command_to_row(command) == row and list(command_to_row(command)) == list(row)
    with pytest.raises(SiteCommandError):
        command_from_row({**row, "more": 1})


# ---- evidence -------------------------------------------------------------------------------------------


def _ended(member: str, status: AttemptStatus, latency: int) -> AttemptEnded:
    return AttemptEnded("r", 0, member, status, latency, False)


def _evidence() -> Evidence:
    evidence = Evidence(400_000)
    evidence.set_members([(f"n{k}", "north") for k in range(4)] + [("w0", "west"), ("p0", "hub")])
    return evidence


@pytest.mark.parametrize(
    ("status", "latency", "kind"),
    [
        (AttemptStatus.OK, 10, AttemptEvidence.ANSWERED),
        (AttemptStatus.OVERLOADED, 10, AttemptEvidence.ANSWERED),
        (AttemptStatus.CONNECT_FAILED, 1000, AttemptEvidence.REFUSED),
        (AttemptStatus.CONNECT_FAILED, 400_000, AttemptEvidence.UNREACHABLE),
        (AttemptStatus.RESET, 10, AttemptEvidence.RESET),
        (AttemptStatus.TIMEOUT, 3 * S, AttemptEvidence.SILENT),
        (AttemptStatus.TIMEOUT, 50_000, None),
        (AttemptStatus.CANCELLED, 3 * S, None),
        (AttemptStatus.NOT_SENT, 0, None),
    ],
)
def test_each_end_of_an_attempt_is_classified(
    status: AttemptStatus, latency: int, kind: AttemptEvidence | None
) -> None:
    assert classify_attempt(_ended("n0", status, latency), 400_000) is kind


def test_a_site_is_unreachable_when_most_of_it_is_and_no_cache_answers() -> None:
    evidence = _evidence()
    for member in ("n0", "n1", "n2"):
        evidence.record_sent(S, member)
        evidence.record_attempt_ended(S, _ended(member, AttemptStatus.CONNECT_FAILED, 400_000))
    assert (
        evidence.observe(S, "north").is_mostly_unreachable
        and "3 unreached" in evidence.observe(S, "north").cause()
    )
    evidence.record_sent(2 * S, "n3")
    evidence.record_attempt_ended(2 * S, _ended("n3", AttemptStatus.OVERLOADED, 900_000))
    assert not evidence.observe(2 * S, "north").is_mostly_unreachable, (
        "one member answers, so the site is slow or full but not lost"
    )
    assert not evidence.observe(60 * S, "north").unreachable, "observations must expire"


def test_silence_alone_counts_once_it_is_overdue_and_one_cache_is_not_a_site() -> None:
    evidence = _evidence()
    for member in ("n0", "n1", "n2"):
        evidence.record_sent(S, member)
    assert not evidence.observe(S + OVERDUE_US, "north").unreachable
    assert evidence.observe(S + OVERDUE_US + 1, "north").is_mostly_unreachable
    one = _evidence()
    one.record_sent(S, "n0")
    assert not one.observe(3 * S, "north").is_mostly_unreachable


def test_an_attempt_cancelled_at_once_leaves_no_silence_behind() -> None:
    evidence = _evidence()
    for member in ("n0", "n1", "n2"):
        evidence.record_sent(S, member)
        evidence.record_attempt_ended(S + 1000, _ended(member, AttemptStatus.CANCELLED, 1000))
    assert not evidence.observe(20 * S, "north").unreachable


def test_isolation_of_this_director_is_distinguished_from_the_loss_of_another_site() -> None:
    evidence = _evidence()
    evidence.record_feed(S)
    for member in ("n0", "n1", "n2", "p0"):
        evidence.record_sent(2 * S, member)
        evidence.record_attempt_ended(2 * S, _ended(member, AttemptStatus.CONNECT_FAILED, 400_000))
    assert evidence.is_cut_off(3 * S, "west"), (
        "all tried members outside are unreachable, and nothing was received since"
    )
    evidence.record_feed(3 * S)
    assert not evidence.is_cut_off(3 * S, "west"), "a feed message was received, so the network works"
    evidence.discard_failures(3 * S)
    assert not evidence.observe(3 * S, "north").unreachable
    evidence.record_fill_source(4 * S, "p0", False, 2 * S)
    assert not evidence.observe(4 * S, "hub").unreachable, "the fill was requested before the isolation ended"


def test_attempts_in_flight_at_the_isolation_do_not_hide_it() -> None:
    """They were sent before the last answer from outside, and fail after it."""
    evidence = _evidence()
    for member in ("n0", "n1", "n2", "p0"):
        evidence.record_sent(S, member)
    evidence.record_attempt_ended(S + 200_000, _ended("p0", AttemptStatus.OK, 200_000))
    for member in ("n0", "n1", "n2"):
        evidence.record_attempt_ended(2 * S, _ended(member, AttemptStatus.CONNECT_FAILED, 400_000))
    assert not evidence.is_cut_off(2 * S, "west"), (
        "the source of the endpoint list may be silent for this long"
    )
    assert evidence.is_cut_off(S + 200_000 + MAX_FEED_INTERVAL_US + 1, "west")


def test_a_busy_place_that_falls_silent_is_detected_and_one_silent_parent_is_no_lost_hub() -> None:
    """At a busy place some attempts were sent before its last answer; it is unreachable nevertheless."""
    evidence = _evidence()
    for member in ("n0", "n1", "n2"):
        evidence.record_sent(S, member)
        evidence.record_sent(S, member)
    evidence.record_attempt_ended(S + 100_000, _ended("n0", AttemptStatus.OK, 100_000))
    for member in ("n0", "n1", "n2"):
        evidence.record_attempt_ended(S + 200_000, _ended(member, AttemptStatus.CONNECT_FAILED, 1000))
    seen = evidence.observe(S + 600_000, "north")
    assert seen.is_mostly_unreachable and not seen.is_only_silent and seen.unreachable_since_us == S + 100_000
    evidence.record_sent(2 * S, "p0")
    evidence.record_attempt_ended(3 * S, _ended("p0", AttemptStatus.TIMEOUT, S))
    assert (
        evidence.observe(3 * S, "hub").unreachable
        and not evidence.observe(3 * S, "hub").is_mostly_unreachable
    )


def test_another_process_under_an_address_starts_without_observations() -> None:
    evidence = _evidence()
    evidence.record_attempt_ended(S, _ended("n0", AttemptStatus.CONNECT_FAILED, 1000))
    evidence.forget_member("n0")
    assert evidence.observe(S, "north").tried == 0
    evidence.set_members([("w0", "west")])
    assert (
        evidence.observe(S, "north").tried == 0
        and evidence.record_attempt_ended(S, _ended("n0", AttemptStatus.OK, 1)) is None
    )
