"""Distribution trees on a simulated clock under seeded faults, and injected bugs that must be caught."""

from __future__ import annotations

import itertools

import pytest

from onyxwick.distribution.follower import Follower, FollowerState
from onyxwick.distribution.follower_actions import DeliverEvent
from onyxwick.distribution.model import Cursor, FeedEvent, PurgeKey, SnapshotBegin
from onyxwick.distribution.replica import EventLog, PurgeTable
from onyxwick.distribution.snapshot_loading import SnapshotLoad
from tests.feed_world import LineFaults, S, SimulatedNode, SimulatedTree, check_earlier_states_are_rejected

# ---- trees under faults ---------------------------------------------------------------------------


def build_tree(
    seed: int, faults: LineFaults | None = None, leaves: int = 12, log_bytes: int = 200_000
) -> SimulatedTree:
    world = SimulatedTree(seed, faults)
    world.add("r0", "root", log_bytes=log_bytes)
    world.add("r1", "root", "r0", log_bytes=log_bytes)
    world.add("r2", "root", "r1", log_bytes=log_bytes)
    world.run(2)
    for n in range(leaves):
        world.add(f"d{n}", f"r{n % 3}", f"r{(n + 1) % 3}")
    world.run(3)
    return world


def publish_for(world: SimulatedTree, seconds: float) -> None:
    """Publish purges, changes of the list of caches and documents for a number of seconds."""
    for step in range(int(seconds * 10)):
        for _ in range(2):
            world.publish_purge(f"{world.rng.getrandbits(64):016x}")
        if step % 5 == 0:
            world.publish_change(f"c{world.rng.randrange(30)}", deleted=world.rng.random() < 0.3)
        if step % 17 == 0:
            world.publish_document(f"doc{step % 3}", f"{step}" * world.rng.randrange(1, 20_000))
        world.run(0.1)


def run_idle(world: SimulatedTree, seconds: float = 12) -> None:
    world.faults = LineFaults()
    world.run(seconds)
    world.check_order()
    world.check_converged()


@pytest.mark.parametrize("seed", range(4))
def test_a_tree_without_faults_delivers_every_purge_once(seed: int) -> None:
    world = build_tree(seed)
    publish_for(world, 10)
    run_idle(world, 6)
    for node in world.nodes.values():
        if node.parents:
            assert not world.missing_purges(node)
            assert node.follower is not None
            assert node.follower.counts["lost"] == 0


@pytest.mark.parametrize("seed", range(6))
def test_lost_repeated_reordered_and_truncated_lines_lose_and_repeat_nothing(seed: int) -> None:
    world = build_tree(seed, LineFaults(drop=0.004, repeat=0.01, swap=0.01, garble=0.004))
    publish_for(world, 15)
    run_idle(world)
    lost = sum(n.follower.counts["lost"] for n in world.nodes.values() if n.follower is not None)
    assert lost > 5, "the faults broke connections"
    for node in world.nodes.values():
        # A truncated event line is valid JSON only if it is complete, so no event is lost or misread.
        assert not node.parents or not world.missing_purges(node), node.name


def _random_fault(world: SimulatedTree) -> None:
    relays = [world.nodes[f"r{n}"] for n in range(3)]
    leaves = [node for node in world.nodes.values() if node.name.startswith("d")]
    node = world.rng.choice(relays + leaves)
    match world.rng.randrange(4):
        case 0:
            world.kill(node)
            world.call_later(world.rng.randrange(3 * S), lambda: world.restart(node))
        case 1:
            node.paused = True
            world.call_later(world.rng.randrange(4 * S), lambda: setattr(node, "paused", False))
        case 2:
            other = world.rng.choice(relays)
            cut = frozenset((node.name, other.name))
            world.cut_pairs.add(cut)
            world.call_later(world.rng.randrange(4 * S), lambda: world.cut_pairs.discard(cut))
        case _:
            cuts = {frozenset((name, "root")) for name in ("r0", "r1", "r2")}
            world.cut_pairs |= cuts
            world.call_later(world.rng.randrange(2 * S), lambda: world.cut_pairs.difference_update(cuts))


@pytest.mark.parametrize("seed", range(8))
def test_kills_pauses_and_cuts_converge_to_one_state(seed: int) -> None:
    world = build_tree(100 + seed, log_bytes=20_000)
    for _ in range(8):
        if all(node.alive and not node.paused for node in world.nodes.values()):
            _random_fault(world)
        publish_for(world, 2)
    world.run(5)
    run_idle(world, 25)
    for node in world.nodes.values():
        if node.name.startswith("d"):
            assert not world.missing_purges(node), f"{node.name} lacks purges"
        numbers = [cursor for cursor in node.cursors]
        restarts = sum(b <= a for a, b in itertools.pairwise(numbers))
        assert restarts <= 8, "the cursor goes back only after a restart with an empty replica"


def test_a_region_cut_for_longer_than_the_log_catches_up_by_snapshot() -> None:
    world = build_tree(7, log_bytes=10_000)
    cuts = {frozenset((name, "root")) for name in ("r0", "r1", "r2")}
    world.cut_pairs |= cuts
    publish_for(world, 20)
    leaves = [node for node in world.nodes.values() if node.name.startswith("d")]
    ages = [node.follower.staleness_us(world.now) for node in leaves if node.follower is not None]
    assert all(age is not None and age > 18 * S for age in ages), "the staleness shows the partition"
    assert all(node.replica.state.rows is not None for node in leaves)
    world.cut_pairs.clear()
    before = world.now
    while any(node.replica.cursor != world.root.replica.cursor for node in leaves):
        world.run(0.1)
        assert world.now - before < 5 * S
    run_idle(world, 3)
    assert all(node.installed >= 2 for node in leaves)
    assert all(not world.missing_purges(node) for node in leaves)


def test_a_slow_link_falls_back_to_snapshots_and_delays_no_other() -> None:
    world = build_tree(9, log_bytes=8_000)
    slow: SimulatedNode = world.nodes["d0"]
    assert slow.parent_link is not None
    slow.parent_link.free_at_us = world.now + 8 * S  # nothing arrives for 8 s
    publish_for(world, 8)
    well = [world.nodes[f"d{n}"] for n in range(1, 12)]
    assert all(not world.missing_purges(node) or len(world.missing_purges(node)) <= 4 for node in well)
    run_idle(world, 15)
    assert not world.missing_purges(slow)


# ---- planted bugs ---------------------------------------------------------------------------------------


def _takes_anything(self: Follower, now: int, event: FeedEvent) -> list[object]:
    if event.cursor <= self.cursor:
        return []
    self._confirm_parent()
    self.cursor = event.cursor  # a gap is not detected
    return [DeliverEvent(event)]


def _takes_twice(self: Follower, now: int, event: FeedEvent) -> list[object]:
    if event.cursor.packed > self.cursor.packed + 1:
        return list(self._give_up(now, "gap"))
    self._confirm_parent()
    self.cursor = max(self.cursor, event.cursor)  # an earlier event is delivered again
    return [DeliverEvent(event)]


def _forgets_purges(self: PurgeTable, now_ms: int) -> list[PurgeKey]:
    dropped = list(self.unix_ms_by_key)[:-1]
    for key in dropped:
        del self.unix_ms_by_key[key]
    return dropped


def _trusts_announcements(self: Follower, now: int, cursor: Cursor) -> list[object]:
    self._confirm_parent()
    return []


def _begins_anywhere(self: EventLog, cursor: Cursor) -> bool:
    return True  # a follower behind the log gets only the remaining events


def _step_back(self: Follower, now: int, message: SnapshotBegin) -> list[object]:
    self._transition(FollowerState.LOADING, self.deadline_us)
    self._load = SnapshotLoad(message)
    return []


PLANTED = {
    "a gap is not detected": (Follower, "_on_event", _takes_anything),
    "an event is delivered again": (Follower, "_on_event", _takes_twice),
    "compaction forgets binding purges": (PurgeTable, "expire", _forgets_purges),
    "a lost event is not detected": (Follower, "_on_announcement", _trusts_announcements),
    "a follower behind the log gets no snapshot": (EventLog, "can_resume", _begins_anywhere),
    "an earlier state is loaded": (Follower, "_on_snapshot_begin", _step_back),
}


def _trial() -> None:
    """Run the tests for the injected bugs: line faults, a partition beyond the log, a stale parent."""
    test_lost_repeated_reordered_and_truncated_lines_lose_and_repeat_nothing(0)
    test_a_region_cut_for_longer_than_the_log_catches_up_by_snapshot()
    check_earlier_states_are_rejected()


def test_the_trial_passes_without_a_planted_bug() -> None:
    _trial()


@pytest.mark.parametrize("name", PLANTED)
def test_planted_bugs_are_caught(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    owner, method, wrong = PLANTED[name]
    monkeypatch.setattr(owner, method, wrong)
    with pytest.raises(Exception):  # noqa: B017 - an assertion or an error of the replica
        _trial()
