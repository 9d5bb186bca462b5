"""The wall clock is stepped while a director runs: ages, starts and timers are spans of real time."""

from __future__ import annotations

import asyncio
import json
import time
from functools import partial

import pytest

from onyxwick.core.clock import FeedTimestamps
from onyxwick.interface import AttemptStatus, EndpointsChanged, ObjectsPurged, SetTimer, TimerFired
from onyxwick.net.coordinator_feed import CoordinatorFeed
from onyxwick.net.feed_wire import newest_stamp_us
from tests.ground import Ground, ask, played

HOUR_US = 3_600_000_000


class WallClock:
    """The system's wall clock, with a step that a test sets."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.step_us, self._real = 0, time.time_ns
        monkeypatch.setattr(time, "time_ns", lambda: self._real() + self.step_us * 1000)

    def true_us(self) -> int:
        """The time as the senders of stamps have it."""
        return self._real() // 1000


@pytest.fixture
def wall(monkeypatch: pytest.MonkeyPatch) -> WallClock:
    return WallClock(monkeypatch)


def _tell(feed: CoordinatorFeed, event: dict[str, object]) -> None:
    feed.handle_line(json.dumps({"index": feed.last_index + 1, **event}).encode())


def _purge(feed: CoordinatorFeed, stamp_us: int) -> None:
    _tell(feed, {"evict": {"ref": "7f3a9c21e0b4d655", "unix_ms": stamp_us // 1000}})


def _start(feed: CoordinatorFeed, started_us: int) -> None:
    row = {"id": "c0", "addr": "127.0.0.1:1", "zone": "edge-1", "kind": "box", "state": "SERVING"}
    servers = [{**row, "weight": 6, "started_ms": started_us // 1000}]
    _tell(feed, {"endpoints": {"version": 2, "full": False, "servers": servers}})


def test_a_purge_has_its_age_while_the_wall_clock_is_stepped(wall: WallClock) -> None:
    async def play(ground: Ground) -> None:
        feed = CoordinatorFeed(ground.core, ground.counters)
        feed.handle_line(b"0")
        for step_us in (HOUR_US, -HOUR_US, 5_000_000, 0):
            wall.step_us = step_us
            _purge(feed, wall.true_us() - 100_000)
            purge = ground.script.events[-1]
            assert isinstance(purge, ObjectsPurged) and purge.age_us < 1_000_000, (step_us, purge)
            before = ground.core.now()
            await asyncio.sleep(0.02)
            assert ground.core.now() - before >= 15_000, step_us  # what was told grows older meanwhile

    played(play)


def test_a_cache_that_starts_while_the_wall_clock_is_stepped_is_cold(wall: WallClock) -> None:
    async def play(ground: Ground) -> None:
        feed = CoordinatorFeed(ground.core, ground.counters)
        feed.handle_line(b"0")
        for step_us in (HOUR_US, -HOUR_US, 5_000_000, 0):
            wall.step_us = step_us
            _start(feed, wall.true_us() - 1_000_000)
            change = ground.script.events[-1]
            assert isinstance(change, EndpointsChanged)
            age_us = ground.core.now() - change.members[0].started_at_us
            assert 0 <= age_us < 2_000_000, (step_us, age_us)

    played(play)


def test_timers_and_deadlines_run_on_while_the_wall_clock_is_an_hour_back(wall: WallClock) -> None:
    async def play(ground: Ground) -> None:
        ground.cache("c0")
        ground.script.arrived = lambda request: [
            SetTimer(ground.core.now() + 50_000, "hedge"),
            *ask(request, "c0"),
        ]
        lifecycle = ground.start(timeout_us=300_000)
        wall.step_us = -HOUR_US
        begun = time.monotonic()
        await ground.until(lambda: TimerFired("hedge") in ground.script.events)
        assert time.monotonic() - begun < 0.2
        assert lifecycle.request.request_id in ground.core.lifecycles

    played(play)


def test_a_purge_received_between_a_decision_and_its_attempt_applies_to_it() -> None:
    async def play(ground: Ground) -> None:
        ground.cache("c0")
        lifecycle = ground.start()
        await ground.until(lambda: ground.script.events)
        ground.script.ended = lambda request, status: []
        ground.script.timer = lambda: ask(lifecycle.request.request_id, "c0")
        ground.core.handle(TimerFired("hedge"))
        ground.core.feed.apply_purge(17, None, ground.core.now())
        await ground.until(lambda: ground.script.ends() == [AttemptStatus.NOT_SENT])

    played(play)


# ---- stamps of a feed whose clock is another one ----------------------------------------------------------

S_US = 1_000_000


def test_timestamps_of_a_feed_an_hour_behind_count_as_later_never_as_earlier() -> None:
    stamps, now = FeedTimestamps(), 10 * HOUR_US
    stamps.mark_caught_up(now)
    made = now + S_US  # true times; the feed writes an hour less
    assert stamps.purge_time_us(made - HOUR_US, made + 200_000) == made + 200_000
    later = made + 5 * S_US
    stamps.mark_caught_up(later - S_US)
    assert later <= stamps.purge_time_us(later - HOUR_US, later + 300_000) <= later + 300_000
    assert later <= stamps.start_time_us("c0", later - HOUR_US, later + 300_000) <= later + 300_000


def test_a_start_that_a_live_feed_first_announces_an_hour_late_is_a_start_now() -> None:
    stamps, now = FeedTimestamps(), 10 * HOUR_US
    assert (
        stamps.start_time_us("known", now - HOUR_US, now) == now - HOUR_US
    )  # before the feed is live: as it says
    stamps.mark_caught_up(now)
    assert stamps.start_time_us("c0", now - HOUR_US, now + S_US) == now + S_US
    assert (
        stamps.start_time_us("c0", now - HOUR_US, now + 9 * S_US) == now + S_US
    )  # the same start, told again
    assert stamps.start_time_us("known", now - HOUR_US, now + 9 * S_US) == now - HOUR_US
    stamps.forget("known")
    assert stamps.start_time_us("known", now - HOUR_US, now + 9 * S_US) == now + 9 * S_US


def test_no_event_is_in_the_future_or_older_than_the_last_heartbeat_of_a_live_feed() -> None:
    stamps, now = FeedTimestamps(), 10 * HOUR_US
    assert stamps.purge_time_us(now + HOUR_US, now) == now
    assert stamps.start_time_us("c0", now + HOUR_US, now) == now
    stamps.mark_caught_up(now)
    # The feed's clock was ahead for a moment, and is right again: no purge is taken for an hour old.
    assert stamps.purge_time_us(now - HOUR_US, now + S_US) >= now


def test_a_start_with_the_clock_an_hour_ahead_is_put_right_by_the_first_live_purge(wall: WallClock) -> None:
    """What the configuration told seemed an hour old: its purges had been dropped, its starts were warm."""

    async def play(ground: Ground) -> None:
        feed, now = (
            CoordinatorFeed(ground.core, ground.counters),
            wall.true_us() - HOUR_US,
        )  # of the feed's clock
        row = {"id": "c0", "addr": "127.0.0.1:1", "zone": "edge-1", "kind": "box", "state": "SERVING"}
        servers = [{**row, "weight": 6, "started_ms": (now - 2 * S_US) // 1000}]
        purge = {"shard": 17, "unix_ms": (now - 3 * S_US) // 1000}
        events = [{"index": 1, "endpoints": {"full": True, "servers": servers}}, {"index": 2, "evict": purge}]
        feed.load_configured({"index": 2, "updates": events})
        feed.handle_line(b"2")
        live = {"index": 3, "evict": {"ref": "00000000000000aa", "unix_ms": (now - 100_000) // 1000}}
        feed.handle_line(json.dumps(live).encode())
        again = [e for e in ground.script.events if isinstance(e, ObjectsPurged) and e.object_group == 17][-1]
        assert again.age_us < 5 * S_US
        change = [e for e in ground.script.events if isinstance(e, EndpointsChanged)][-1]
        assert ground.core.now() - change.members[0].started_at_us < 4 * S_US

    played(play)


def test_a_late_first_purge_after_an_outage_does_not_shift_the_clock_offset() -> None:
    stamps, now = FeedTimestamps(), 10 * HOUR_US
    stamps.anchor(now - S_US, now)
    started = stamps.start_time_us("c0", now - 2 * S_US, now)
    stamps.mark_caught_up(now)
    stamps.purge_time_us(now + 5 * S_US, now + 25 * S_US)  # the feed was away for 20 s
    assert stamps.start_time_us("c0", now - 2 * S_US, now + 25 * S_US) == started
    assert stamps.start_time_us("c1", now + 24 * S_US, now + 25 * S_US) <= now + 25 * S_US
    assert now + 25_900_000 <= stamps.purge_time_us(now + 25_900_000, now + 26 * S_US) <= now + 26 * S_US


def test_an_impossible_timestamp_makes_no_other_event_seem_older() -> None:
    now, row = 10 * HOUR_US, {"started_ms": 5 * HOUR_US // 1000}
    events = [{"evict": {"unix_ms": 1 << 60}}, {"endpoints": {"servers": [row, {"started_ms": "x"}, 3]}}, 7]
    assert newest_stamp_us(events, now) == 0  # a list that cannot be read whole says nothing
    assert newest_stamp_us([events[0], {"endpoints": {"servers": [row]}}], now) == 5 * HOUR_US


def _known(feed_now_us: int) -> dict[str, object]:
    """A configuration's events by the feed's clock: a start 2 s ago, purges 3 s and 0.1 s ago."""
    row = {"id": "c0", "addr": "127.0.0.1:1", "zone": "edge-1", "kind": "box", "state": "SERVING"}
    servers = [{**row, "weight": 6, "started_ms": (feed_now_us - 2 * S_US) // 1000}]
    purges = [
        {"shard": 17, "unix_ms": (feed_now_us - 3 * S_US) // 1000},
        {"ref": "00000000000000aa", "unix_ms": (feed_now_us - 100_000) // 1000},
    ]
    updates = [{"index": 1, "endpoints": {"version": 1, "full": True, "servers": servers}}]
    updates += [{"index": 2 + n, "evict": purge} for n, purge in enumerate(purges)]
    return {"index": 3, "updates": updates}


def test_configured_purges_and_starts_have_their_ages_whatever_the_clock_says_at_the_start(
    wall: WallClock,
) -> None:
    """Though no purge ever comes over the live feed."""

    async def play(ground: Ground, ahead_us: int) -> None:
        feed = CoordinatorFeed(ground.core, ground.counters)
        feed.load_configured(_known(wall.true_us() - ahead_us))
        purge = next(e for e in ground.script.events if isinstance(e, ObjectsPurged) and e.object_group == 17)
        assert 2 * S_US < purge.age_us < 4 * S_US, ahead_us
        age_us = ground.core.now() - ground.members.listed["c0"].started_at_us
        assert S_US < age_us < 3 * S_US, ahead_us

    for ahead_us in (HOUR_US, -HOUR_US, 8 * S_US, -8 * S_US, 0):
        played(partial(play, ahead_us=ahead_us))
