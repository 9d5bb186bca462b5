"""One site's states: every interleaving of a small world, and the cases by name."""

from __future__ import annotations

import copy
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import replace

import pytest

from onyxwick.interface import AttemptEnded, AttemptStatus
from onyxwick.sites.evidence import OVERDUE_US, SPEAKS_US, AttemptEvidence, Evidence, kind_of
from onyxwick.sites.lifecycle import (
    AWAY,
    LEGAL,
    IllegalSiteTransitionError,
    SiteDirective,
    SiteHealthSignals,
    SiteLifecycle,
    SitePhase,
)
from onyxwick.sites.model import SitePolicy
from onyxwick.sites.operator_commands import (
    GATE_US,
    SiteCommand,
    SiteCommandError,
    SiteCommands,
    of_row,
    read_order,
    to_row,
)

S = 1_000_000
TICK = 500_000
POLICY = SitePolicy(confirm_us=S, step_us=TICK, steps=2, back_steps=2, hold_us=S)
WELL = SiteHealthSignals(outside_us=1 << 60, asked=True, answered_us=1 << 60, well_since=1)
# What a director may see at a tick: names of signs, each over those of a site that is well.
WORLD: dict[str, SiteHealthSignals] = {
    "well": WELL,
    "dark": replace(WELL, dark=True, dark_since=1, answered_us=0, well_since=0),
    "cut off": replace(
        WELL, dark=True, dark_since=1, answered_us=0, cut_off=True, outside_us=0, well_since=0
    ),
    "off the list": replace(WELL, listed=0.0, room=0.0, warmth=0.0, answered_us=0, well_since=0),
    "cold": replace(WELL, warmth=0.4),
    "pressed": replace(WELL, pressure=0.9),
    "smaller": replace(WELL, room=0.5, warmth=0.5),
    "nobody asks": replace(WELL, dark=True, dark_since=1, answered_us=0, asked=False, well_since=0),
}
WORDS = (SiteDirective.NONE, SiteDirective.EVACUATE, SiteDirective.RETURN, SiteDirective.HOLD)


def test_an_illegal_step_has_a_name() -> None:
    for phase in SitePhase:
        for to in SitePhase:
            life = SiteLifecycle("north", 0, POLICY)
            life.phase = phase
            if to not in LEGAL[phase]:
                with pytest.raises(IllegalSiteTransitionError, match="site 'north'"):
                    life._enter(to, 1, "")


# ---- the explorer ---------------------------------------------------------------------------------------


def _key(life: SiteLifecycle, now: int) -> tuple[object, ...]:
    """What decides how a life goes on; times relative to now and bounded."""
    passed = [min(8, (now - t) // TICK) for t in (life.since, life.moved_us, max(0, life.hold_until))]
    ahead = max(0, min(8, (life.hold_until - now) // TICK))
    return (
        life.phase,
        round(life.share, 3),
        life.flaps,
        min(2, life.setbacks),
        life.ordered,
        life.seen_dark,
        *passed,
        ahead,
    )


def _breach(
    before: SiteLifecycle, after: SiteLifecycle, signs: SiteHealthSignals, word: SiteDirective
) -> str:
    """The invariant that a step broke, in words."""
    step = 1 / min(POLICY.steps, POLICY.back_steps)
    if not 0.0 <= after.share <= 1.0:
        return f"a share of {after.share}"
    if abs(after.share - before.share) > step + 1e-9 and after.phase is not SitePhase.STEADY:
        return f"the share moved by {after.share - before.share:+.2f} in one step"
    if signs.cut_off and signs.listed > 0 and word is SiteDirective.NONE:
        if after.share != before.share and after.phase not in (SitePhase.RETURNING, SitePhase.STEADY):
            return "cut off, and a share changed"
        if after.phase in AWAY and before.phase not in AWAY:
            return "cut off, and a site was held to be lost"
    if after.phase is SitePhase.STEADY and after.share != 0.0:
        return "steady with objects away"
    if after.phase is SitePhase.EVACUATED and after.share != 1.0:
        return "evacuated with objects at home"
    if (
        not signs.asked
        and signs.listed > 0
        and before.phase is SitePhase.SUSPECT
        and after.phase is SitePhase.LOST
    ):
        return "lost, though nobody asks for it here"
    return ""


def explore(
    step: Callable[[SiteLifecycle, int, SiteHealthSignals, SiteDirective], None],
    depth: int,
    words: tuple[SiteDirective, ...] = WORDS,
) -> tuple[int, list[str]]:
    """Every state that so many ticks of any signs and words lead to, breadth first: how many there are, and
    the shortest way to a breach (empty: none)."""
    begin = SiteLifecycle("north", 0, POLICY)
    seen = {_key(begin, 0)}
    queue: deque[tuple[SiteLifecycle, int, list[str]]] = deque([(begin, 0, [])])
    while queue:
        life, now, way = queue.popleft()
        if len(way) >= depth:
            continue
        for name, signs in WORLD.items():
            for word in words:
                after, then = copy.copy(life), now + TICK
                step(after, then, signs, word)
                path = [*way, f"{name}/{word.value}"]
                if found := _breach(life, after, signs, word):
                    return len(seen), [*path, found]
                key = _key(after, then)
                if key not in seen:
                    seen.add(key)
                    queue.append((after, then, path))
    return len(seen), []


def test_no_interleaving_of_signs_and_orders_breaks_an_invariant() -> None:
    states, breach = explore(lambda life, now, signs, word: life.step(now, signs, word), 7)
    assert not breach, breach
    assert states > 2000


def _ignoring_the_cut(life: SiteLifecycle, now: int, signs: SiteHealthSignals, word: SiteDirective) -> None:
    life.step(now, replace(signs, cut_off=False, outside_us=1 << 60), word)


def _lost_unasked(life: SiteLifecycle, now: int, signs: SiteHealthSignals, word: SiteDirective) -> None:
    life.step(now, replace(signs, asked=True), word)


def _whole_at_once(life: SiteLifecycle, now: int, signs: SiteHealthSignals, word: SiteDirective) -> None:
    life.step(now, signs, word)
    if life.phase is SitePhase.RETURNING:
        life.share = 0.0


def _evacuated_early(life: SiteLifecycle, now: int, signs: SiteHealthSignals, word: SiteDirective) -> None:
    life.step(now, signs, word)
    if life.phase is SitePhase.EVACUATING and life.share > 0:
        life.phase = SitePhase.EVACUATED


def _steady_too_soon(life: SiteLifecycle, now: int, signs: SiteHealthSignals, word: SiteDirective) -> None:
    life.step(now, signs, word)
    if life.phase is SitePhase.RETURNING and life.share < 0.6:
        life.phase = SitePhase.STEADY


def _over_one(life: SiteLifecycle, now: int, signs: SiteHealthSignals, word: SiteDirective) -> None:
    life.step(now, signs, word)
    if life.phase is SitePhase.RETURNING and signs.pressure:
        life.share += 0.4


PLANTED = [_ignoring_the_cut, _lost_unasked, _whole_at_once, _evacuated_early, _steady_too_soon, _over_one]


@pytest.mark.parametrize("bug", PLANTED, ids=lambda bug: bug.__name__)
def test_every_planted_bug_is_found_with_the_way_to_it(
    bug: Callable[[SiteLifecycle, int, SiteHealthSignals, SiteDirective], None],
) -> None:
    _, breach = explore(bug, 7)
    assert breach and len(breach) <= 8


@pytest.mark.parametrize("depth", [4])
def test_from_every_state_a_site_that_is_well_comes_home_in_bounded_time(depth: int) -> None:
    """And one that stays dark is left; whatever came before."""
    for life, now in _all(depth):
        home, lost = copy.copy(life), copy.copy(life)
        for n in range(1, 400):
            signs = replace(WELL, well_since=now, answered_us=now + n * TICK)
            home.step(now + n * TICK, signs)
            dark = replace(WORLD["dark"], dark_since=now, outside_us=now + n * TICK)
            lost.step(now + n * TICK, dark)
        assert home.phase is SitePhase.STEADY, (home.phase, home.why)
        assert lost.phase is SitePhase.EVACUATED, (lost.phase, lost.why)


def _all(depth: int) -> Iterator[tuple[SiteLifecycle, int]]:
    found: dict[tuple[object, ...], tuple[SiteLifecycle, int]] = {}

    def step(life: SiteLifecycle, now: int, signs: SiteHealthSignals, word: SiteDirective) -> None:
        life.step(now, signs, word)
        found.setdefault(_key(life, now), (life, now))

    explore(step, depth, (SiteDirective.NONE, SiteDirective.EVACUATE))
    yield from found.values()


# ---- by name --------------------------------------------------------------------------------------------


def _run(
    life: SiteLifecycle,
    start: int,
    ticks: int,
    signs: SiteHealthSignals,
    word: SiteDirective = SiteDirective.NONE,
) -> int:
    for n in range(ticks):
        life.step(start + (n + 1) * TICK, signs, word)
    return start + ticks * TICK


def test_a_flapping_site_is_returned_to_more_and_more_slowly() -> None:
    """Twenty minutes of 10 s up and 5 s down: far fewer moves than flaps."""
    life, now, holds = SiteLifecycle("north", 0, POLICY), 0, []
    for _ in range(80):
        now = _run(life, now, 10, replace(WORLD["dark"], dark_since=now, outside_us=1 << 60))
        now = _run(life, now, 20, replace(WELL, well_since=now))
        holds.append(life.hold_us)
    assert holds[-1] >= 16 * POLICY.hold_us and life.moves < 60


def test_a_paused_process_looks_again_before_it_acts() -> None:
    life, now = SiteLifecycle("north", 0, POLICY), 0
    now = _run(life, now, 1, WORLD["dark"])
    assert str(life.phase.value) == "suspect"
    life.step(now + 20 * S, WORLD["dark"])
    assert str(life.phase.value) == "steady" and "stopped" in life.why
    gone = SiteLifecycle("north", 0, POLICY)
    now = _run(gone, 0, 12, WORLD["dark"])
    share, phase = gone.share, gone.phase
    gone.step(now + 20 * S, replace(WELL, well_since=1))
    assert (gone.share, gone.phase) == (share, phase), "nothing moves on beliefs of before the pause"


def test_a_director_that_starts_beside_a_cold_site_leaves_its_objects_where_they_are() -> None:
    life = SiteLifecycle("north", 0, POLICY)
    life.began(0, SiteHealthSignals(warmth=0.2))
    assert life.phase is SitePhase.RETURNING and life.share == pytest.approx(0.8)
    fresh = SiteLifecycle("north", 0, POLICY)
    fresh.began(0, SiteHealthSignals(warmth=0.9))
    assert fresh.phase is SitePhase.STEADY


def test_a_site_that_comes_back_smaller_keeps_a_part_away_and_says_so() -> None:
    life = SiteLifecycle("north", 0, POLICY)
    now = _run(life, 0, 12, WORLD["dark"])
    _run(life, now, 60, WORLD["smaller"])
    assert life.phase is SitePhase.RETURNING and life.share == pytest.approx(0.5) and "smaller" in life.why


def test_an_order_goes_before_evidence_and_ordered_installations_wait_for_it() -> None:
    life = SiteLifecycle("north", 0, POLICY)
    now = _run(life, 0, 6, WELL, SiteDirective.EVACUATE)
    assert str(life.phase.value) == "evacuated" and not life.seen_dark
    now = _run(life, now, 20, WELL, SiteDirective.EVACUATE)
    assert str(life.phase.value) == "evacuated", "evidence does not bring back what an order has left"
    _run(life, now, 20, WELL)
    assert str(life.phase.value) == "steady"
    waits = SiteLifecycle("north", 0, replace(POLICY, auto=False))
    now = _run(waits, 0, 20, WORLD["dark"])
    assert waits.phase.value == "lost" and waits.share == 0.0
    _run(waits, now, 6, WORLD["dark"], SiteDirective.EVACUATE)
    assert waits.phase is SitePhase.EVACUATED


def test_a_drill_stays_away_for_its_time_and_gives_way_to_a_real_loss() -> None:
    orders, drilled, other = (
        SiteCommands(),
        SiteLifecycle("north", 0, POLICY),
        SiteLifecycle("west", 0, POLICY),
    )
    orders.take(SiteCommand("north", SiteDirective.EVACUATE, "drill", at_us=0, stay_us=3 * S))
    lives, now, ended = {"north": drilled, "west": other}, 0, []
    for n in range(40):
        now = (n + 1) * TICK
        drilled.step(now, WELL, orders.word("north"))
        ended += orders.step(now, lives, 0.0)
    assert ended == ["north"] and drilled.phase is SitePhase.STEADY and not orders.held
    orders.take(SiteCommand("north", SiteDirective.EVACUATE, "drill", at_us=now, stay_us=300 * S))
    for n in range(6):
        drilled.step(now + n * TICK, WELL, orders.word("north"))
    other.phase = SitePhase.SUSPECT
    orders.step(now + 7 * TICK, lives, 0.0)
    assert orders.word("north") is SiteDirective.RETURN and "west" in orders.turned["north"]


def test_a_drill_whose_gate_fails_turns_back_and_one_overtaken_by_the_loss_ends() -> None:
    orders, life = SiteCommands(), SiteLifecycle("north", 0, POLICY)
    orders.take(SiteCommand("north", SiteDirective.EVACUATE, "drill", stay_us=300 * S))
    for now in (S, S + GATE_US // 2, S + GATE_US):
        orders.step(now, {"north": life}, 0.9)
    assert orders.word("north") is SiteDirective.RETURN and "gate" in orders.turned["north"]
    life.seen_dark, life.phase = True, SitePhase.EVACUATING
    assert (
        orders.step(9 * S, {"north": life}, 0.0) == ["north"] and orders.word("north") is SiteDirective.NONE
    )


def test_orders_are_read_whole_and_kept_as_rows() -> None:
    order = read_order("north", {"word": "evacuate", "reason": "flood", "stay_s": 30}, 7)
    assert of_row(to_row(order)) == order and order.drill
    for data, wanted in (
        ({"word": "leave"}, "one of auto, evacuate"),
        ({"word": "return", "stay_s": 5}, "belongs to a drill"),
        ({"word": "evacuate", "stay_s": "5"}, "no number"),
        ({"word": "evacuate", "stay": 5}, "unknown field 'stay'"),
        ({"word": "hold", "reason": 7}, "no text"),
    ):
        with pytest.raises(SiteCommandError, match=wanted):
            read_order("north", data, 0)
    with pytest.raises(SiteCommandError):
        of_row({"site": "north"})


# ---- evidence -------------------------------------------------------------------------------------------


def _ended(member: str, status: AttemptStatus, latency: int) -> AttemptEnded:
    return AttemptEnded("r", 0, member, status, latency, False)


def _evidence() -> Evidence:
    evidence = Evidence(400_000)
    evidence.listed([(f"n{k}", "north") for k in range(4)] + [("w0", "west"), ("p0", "hub")])
    return evidence


@pytest.mark.parametrize(
    ("status", "latency", "kind"),
    [
        (AttemptStatus.OK, 10, AttemptEvidence.ANSWERED),
        (AttemptStatus.OVERLOADED, 10, AttemptEvidence.ANSWERED),
        (AttemptStatus.CONNECT_FAILED, 1000, AttemptEvidence.REFUSED),
        (AttemptStatus.CONNECT_FAILED, 400_000, AttemptEvidence.UNREACHED),
        (AttemptStatus.RESET, 10, AttemptEvidence.CUT),
        (AttemptStatus.TIMEOUT, 3 * S, AttemptEvidence.SILENT),
        (AttemptStatus.TIMEOUT, 50_000, None),
        (AttemptStatus.CANCELLED, 3 * S, None),
        (AttemptStatus.NOT_SENT, 0, None),
    ],
)
def test_each_end_of_an_attempt_says_what_it_says(
    status: AttemptStatus, latency: int, kind: AttemptEvidence | None
) -> None:
    assert kind_of(_ended("n0", status, latency), 400_000) is kind


def test_a_site_is_dark_when_most_of_it_is_and_nobody_answers() -> None:
    evidence = _evidence()
    for member in ("n0", "n1", "n2"):
        evidence.sent(S, member)
        evidence.ended(S, _ended(member, AttemptStatus.CONNECT_FAILED, 400_000))
    assert evidence.seen(S, "north").mostly_dark and "3 unreached" in evidence.seen(S, "north").cause()
    evidence.sent(2 * S, "n3")
    evidence.ended(2 * S, _ended("n3", AttemptStatus.OVERLOADED, 900_000))
    assert not evidence.seen(2 * S, "north").mostly_dark, "one answers: slow or full, not lost"
    assert not evidence.seen(60 * S, "north").dark, "nothing is believed for long"


def test_silence_alone_counts_once_it_is_overdue_and_one_box_is_not_a_site() -> None:
    evidence = _evidence()
    for member in ("n0", "n1", "n2"):
        evidence.sent(S, member)
    assert not evidence.seen(S + OVERDUE_US, "north").dark
    assert evidence.seen(S + OVERDUE_US + 1, "north").mostly_dark
    one = _evidence()
    one.sent(S, "n0")
    assert not one.seen(3 * S, "north").mostly_dark


def test_what_a_client_takes_back_at_once_leaves_no_silence_behind() -> None:
    evidence = _evidence()
    for member in ("n0", "n1", "n2"):
        evidence.sent(S, member)
        evidence.ended(S + 1000, _ended(member, AttemptStatus.CANCELLED, 1000))
    assert not evidence.seen(20 * S, "north").dark


def test_our_own_cut_is_told_from_the_loss_of_another() -> None:
    evidence = _evidence()
    evidence.fed(S)
    for member in ("n0", "n1", "n2", "p0"):
        evidence.sent(2 * S, member)
        evidence.ended(2 * S, _ended(member, AttemptStatus.CONNECT_FAILED, 400_000))
    assert evidence.cut_off(3 * S, "west"), "all that was tried outside is dark, and nothing was heard since"
    evidence.fed(3 * S)
    assert not evidence.cut_off(3 * S, "west"), "the feed is heard: the outside is there"
    evidence.woke(3 * S)
    assert not evidence.seen(3 * S, "north").dark
    evidence.source(4 * S, "p0", False, 2 * S)
    assert not evidence.seen(4 * S, "hub").dark, "it was asked before the cut ended"


def test_attempts_out_at_the_cut_do_not_hide_it() -> None:
    """They wait since before the last word from outside, and fail after it."""
    evidence = _evidence()
    for member in ("n0", "n1", "n2", "p0"):
        evidence.sent(S, member)
    evidence.ended(S + 200_000, _ended("p0", AttemptStatus.OK, 200_000))
    for member in ("n0", "n1", "n2"):
        evidence.ended(2 * S, _ended(member, AttemptStatus.CONNECT_FAILED, 400_000))
    assert not evidence.cut_off(2 * S, "west"), "the list's source may be silent for so long"
    assert evidence.cut_off(S + 200_000 + SPEAKS_US + 1, "west")


def test_a_busy_place_that_falls_silent_is_seen_and_one_silent_store_is_no_lost_hub() -> None:
    """At a busy place some attempts wait since before its last answer: it is dark all the same."""
    evidence = _evidence()
    for member in ("n0", "n1", "n2"):
        evidence.sent(S, member)
        evidence.sent(S, member)
    evidence.ended(S + 100_000, _ended("n0", AttemptStatus.OK, 100_000))
    for member in ("n0", "n1", "n2"):
        evidence.ended(S + 200_000, _ended(member, AttemptStatus.CONNECT_FAILED, 1000))
    seen = evidence.seen(S + 600_000, "north")
    assert seen.mostly_dark and not seen.only_silent and seen.dark_since == S + 100_000
    evidence.sent(2 * S, "p0")
    evidence.ended(3 * S, _ended("p0", AttemptStatus.TIMEOUT, S))
    assert evidence.seen(3 * S, "hub").dark and not evidence.seen(3 * S, "hub").mostly_dark


def test_another_process_under_a_name_starts_with_a_clean_slate() -> None:
    evidence = _evidence()
    evidence.ended(S, _ended("n0", AttemptStatus.CONNECT_FAILED, 1000))
    evidence.restarted("n0")
    assert evidence.seen(S, "north").tried == 0
    evidence.listed([("w0", "west")])
    assert (
        evidence.seen(S, "north").tried == 0 and evidence.ended(S, _ended("n0", AttemptStatus.OK, 1)) is None
    )
