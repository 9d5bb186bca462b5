"""Ages, start times and timers count real time, even if the wall clock is stepped while a director runs."""

from __future__ import annotations

import asyncio
import json
import time
from functools import partial

import pytest

from onyxwick.core.clock import FeedTimestamps
from onyxwick.interface import AttemptStatus, EndpointsChanged, ObjectsPurged, SetTimer, TimerFired
from onyxwick.net.coordinator_feed import CoordinatorFeed
from onyxwick.net.feed_wire import newest_timestamp_us
from tests.director_harness import DirectorHarness, forward_to, run_scenario

HOUR_US = 3_600_000_000


class WallClock:
    """The system's wall clock, shifted by `step_us`, which a test sets."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.step_us, self._real = 0, time.time_ns
        monkeypatch.setattr(time, "time_ns", lambda: self._real() + self.step_us * 1000)

    def true_us(self) -> int:
        """Return the time without the step, as the senders of timestamps have it."""
        return self._real() // 1000


@pytest.fixture
def wall(monkeypatch: pytest.MonkeyPatch) -> WallClock:
    return WallClock(monkeypatch)


def _send_event(feed: CoordinatorFeed, event: dict[str, object]) -> None:
    feed.handle_line(json.dumps({"index": feed.last_index + 1, **event}).encode())


def _send_purge(feed: CoordinatorFeed, timestamp_us: int) -> None:
    _send_event(feed, {"evict": {"ref": "7f3a9c21e0b4d655", "unix_ms": timestamp_us // 1000}})


def _send_start(feed: CoordinatorFeed, started_us: int) -> None:
    row = {"id": "c0", "addr": "127.0.0.1:1", "zone": "edge-1", "kind": "box", "state": "SERVING"}
    servers = [{**row, "weight": 6, "started_ms": started_us // 1000}]
    _send_event(feed, {"endpoints": {"version": 2, "full": False, "servers": servers}})


def test_a_purge_has_its_age_while_the_wall_clock_is_stepped(wall: WallClock) -> None:
    async def scenario(harness: DirectorHarness) -> None:
        feed = CoordinatorFeed(harness.core, harness.counters)
        feed.handle_line(b"0")
        for step_us in (HOUR_US, -HOUR_US, 5_000_000, 0):
            wall.step_us = step_us
            _send_purge(feed, wall.true_us() - 100_000)
            purge = harness.router.events[-1]
            assert isinstance(purge, ObjectsPurged) and purge.age_us < 1_000_000, (step_us, purge)
            before_us = harness.core.now()
            await asyncio.sleep(0.02)
            # The age of a received purge keeps growing.
            assert harness.core.now() - before_us >= 15_000, step_us

    run_scenario(scenario)


def test_a_cache_that_starts_while_the_wall_clock_is_stepped_is_cold(wall: WallClock) -> None:
    async def scenario(harness: DirectorHarness) -> None:
        feed = CoordinatorFeed(harness.core, harness.counters)
        feed.handle_line(b"0")
        for step_us in (HOUR_US, -HOUR_US, 5_000_000, 0):
            wall.step_us = step_us
            _send_start(feed, wall.true_us() - 1_000_000)
            change = harness.router.events[-1]
            assert isinstance(change, EndpointsChanged)
            age_us = harness.core.now() - change.members[0].started_at_us
            assert 0 <= age_us < 2_000_000, (step_us, age_us)

    run_scenario(scenario)


def test_timers_and_deadlines_run_on_while_the_wall_clock_is_an_hour_back(wall: WallClock) -> None:
    async def scenario(harness: DirectorHarness) -> None:
        harness.add_cache("c0")
        harness.router.on_arrival = lambda request: [
            SetTimer(harness.core.now() + 50_000, "hedge"),
            *forward_to(request, "c0"),
        ]
        lifecycle = harness.start(timeout_us=300_000)
        wall.step_us = -HOUR_US
        started_s = time.monotonic()
        await harness.wait_until(lambda: TimerFired("hedge") in harness.router.events)
        assert time.monotonic() - started_s < 0.2
        assert lifecycle.request.request_id in harness.core.lifecycles

    run_scenario(scenario)


def test_a_purge_received_between_a_decision_and_its_attempt_applies_to_it() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        harness.add_cache("c0")
        lifecycle = harness.start()
        await harness.wait_until(lambda: harness.router.events)
        harness.router.on_attempt_ended = lambda request, status: []
        harness.router.on_timer = lambda: forward_to(lifecycle.request.request_id, "c0")
        harness.core.handle(TimerFired("hedge"))
        harness.core.feed.apply_purge(17, None, harness.core.now())
        await harness.wait_until(lambda: harness.router.attempt_statuses() == [AttemptStatus.NOT_SENT])

    run_scenario(scenario)


# ---- timestamps of a feed whose clock differs -------------------------------------------------------------

S_US = 1_000_000


def test_timestamps_of_a_feed_an_hour_behind_count_as_later_never_as_earlier() -> None:
    timestamps, now_us = FeedTimestamps(), 10 * HOUR_US
    timestamps.mark_caught_up(now_us)
    made_us = now_us + S_US  # true time; the feed writes timestamps one hour earlier
    assert timestamps.purge_time_us(made_us - HOUR_US, made_us + 200_000) == made_us + 200_000
    later_us = made_us + 5 * S_US
    timestamps.mark_caught_up(later_us - S_US)
    assert later_us <= timestamps.purge_time_us(later_us - HOUR_US, later_us + 300_000) <= later_us + 300_000
    assert (
        later_us
        <= timestamps.start_time_us("c0", later_us - HOUR_US, later_us + 300_000)
        <= later_us + 300_000
    )


def test_a_start_that_a_live_feed_first_announces_an_hour_late_is_a_start_now() -> None:
    timestamps, now_us = FeedTimestamps(), 10 * HOUR_US
    # Before the feed is live, its timestamp is used.
    assert timestamps.start_time_us("known", now_us - HOUR_US, now_us) == now_us - HOUR_US
    timestamps.mark_caught_up(now_us)
    assert timestamps.start_time_us("c0", now_us - HOUR_US, now_us + S_US) == now_us + S_US
    # The same start is announced again.
    assert timestamps.start_time_us("c0", now_us - HOUR_US, now_us + 9 * S_US) == now_us + S_US
    assert timestamps.start_time_us("known", now_us - HOUR_US, now_us + 9 * S_US) == now_us - HOUR_US
    timestamps.forget("known")
    assert timestamps.start_time_us("known", now_us - HOUR_US, now_us + 9 * S_US) == now_us + 9 * S_US


def test_no_event_is_in_the_future_or_older_than_the_last_heartbeat_of_a_live_feed() -> None:
    timestamps, now_us = FeedTimestamps(), 10 * HOUR_US
    assert timestamps.purge_time_us(now_us + HOUR_US, now_us) == now_us
    assert timestamps.start_time_us("c0", now_us + HOUR_US, now_us) == now_us
    timestamps.mark_caught_up(now_us)
    # The feed's clock was ahead for a moment and is correct again. No purge is taken as an hour old.
    assert timestamps.purge_time_us(now_us - HOUR_US, now_us + S_US) >= now_us


def test_a_start_with_the_clock_an_hour_ahead_is_put_right_by_the_first_live_purge(wall: WallClock) -> None:
    """Guards against configured events that seem an hour old.

    Their purges were dropped, and caches that had just started were taken as warm.
    """

    async def scenario(harness: DirectorHarness) -> None:
        # `now_us` is the time by the feed's clock.
        feed, now_us = CoordinatorFeed(harness.core, harness.counters), wall.true_us() - HOUR_US
        row = {"id": "c0", "addr": "127.0.0.1:1", "zone": "edge-1", "kind": "box", "state": "SERVING"}
        servers = [{**row, "weight": 6, "started_ms": (now_us - 2 * S_US) // 1000}]
        purge = {"shard": 17, "unix_ms": (now_us - 3 * S_US) // 1000}
        events = [{"index": 1, "endpoints": {"full": True, "servers": servers}}, {"index": 2, "evict": purge}]
        feed.load_configured({"index": 2, "updates": events})
        feed.handle_line(b"2")
        live = {"index": 3, "evict": {"ref": "00000000000000aa", "unix_ms": (now_us - 100_000) // 1000}}
        feed.handle_line(json.dumps(live).encode())
        replayed_purge = [
            e for e in harness.router.events if isinstance(e, ObjectsPurged) and e.object_group == 17
        ][-1]
        assert replayed_purge.age_us < 5 * S_US
        change = [e for e in harness.router.events if isinstance(e, EndpointsChanged)][-1]
        assert harness.core.now() - change.members[0].started_at_us < 4 * S_US

    run_scenario(scenario)


def test_a_late_first_purge_after_an_outage_does_not_shift_the_clock_offset() -> None:
    timestamps, now_us = FeedTimestamps(), 10 * HOUR_US
    timestamps.set_newest_known(now_us - S_US, now_us)
    start_us = timestamps.start_time_us("c0", now_us - 2 * S_US, now_us)
    timestamps.mark_caught_up(now_us)
    timestamps.purge_time_us(now_us + 5 * S_US, now_us + 25 * S_US)  # the feed was disconnected for 20 s
    assert timestamps.start_time_us("c0", now_us - 2 * S_US, now_us + 25 * S_US) == start_us
    assert timestamps.start_time_us("c1", now_us + 24 * S_US, now_us + 25 * S_US) <= now_us + 25 * S_US
    assert (
        now_us + 25_900_000
        <= timestamps.purge_time_us(now_us + 25_900_000, now_us + 26 * S_US)
        <= now_us + 26 * S_US
    )


def test_an_impossible_timestamp_makes_no_other_event_seem_older() -> None:
    now_us, row = 10 * HOUR_US, {"started_ms": 5 * HOUR_US // 1000}
    events = [{"evict": {"unix_ms": 1 << 60}}, {"endpoints": {"servers": [row, {"started_ms": "x"}, 3]}}, 7]
    # A list that cannot be read completely gives no timestamp.
    assert newest_timestamp_us(events, now_us) == 0
    assert newest_timestamp_us([events[0], {"endpoints": {"servers": [row]}}], now_us) == 5 * HOUR_US


def _configured_events(feed_now_us: int) -> dict[str, object]:
    """Return configured events by the feed's clock: a start 2 s ago, and purges 3 s and 0.1 s ago."""
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
    """No purge is received over the live feed."""

    async def scenario(harness: DirectorHarness, ahead_us: int) -> None:
        feed = CoordinatorFeed(harness.core, harness.counters)
        feed.load_configured(_configured_events(wall.true_us() - ahead_us))
        purge = next(
            e for e in harness.router.events if isinstance(e, ObjectsPurged) and e.object_group == 17
        )
        assert 2 * S_US < purge.age_us < 4 * S_US, ahead_us
        age_us = harness.core.now() - harness.members.listed["c0"].started_at_us
        assert S_US < age_us < 3 * S_US, ahead_us

    for ahead_us in (HOUR_US, -HOUR_US, 8 * S_US, -8 * S_US, 0):
        run_scenario(partial(scenario, ahead_us=ahead_us))
