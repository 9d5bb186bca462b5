"""The coordinator's feed: slow and incomplete lines, events that fail, process stalls, and reconnects."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import time

import pytest

from onyxwick.core import RequestEngine
from onyxwick.core.endpoints import EndpointTable
from onyxwick.counters import Counters
from onyxwick.interface import AttemptStatus
from onyxwick.net import coordinator_feed, feed_gaps, resp
from onyxwick.net.cache_pool import CacheConnectionPool
from onyxwick.net.coordinator_feed import FIRST_RETRY_US, MAX_RETRY_US, CoordinatorFeed
from onyxwick.net.feed_wire import suspected_members
from onyxwick.net.listening import listen
from tests.director_harness import (
    HIT_REPLY_FIELDS,
    TIMEOUT_S,
    DirectorHarness,
    encode_call,
    forward_to,
    run_scenario,
)
from tests.router_harness import SETTINGS

ROW = {"addr": "127.0.0.1:1", "zone": "edge-1", "kind": "box", "state": "SERVING", "weight": 6}


def _list_line(index: int, rows: int) -> bytes:
    servers = [
        {
            "id": f"c{n}",
            "addr": "127.0.0.1:1",
            "zone": "edge-1",
            "kind": "box",
            "state": "SERVING",
            "weight": 6,
        }
        for n in range(rows)
    ]
    return json.dumps({"index": index, "endpoints": {"version": 2, "servers": servers}}).encode() + b"\n"


def test_a_list_that_arrives_slower_than_the_silence_limit_is_applied(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(coordinator_feed, "SILENCE_LIMIT_S", 0.2)

    async def scenario(harness: DirectorHarness) -> None:
        feed, line = socket.create_server(("127.0.0.1", 0)), _list_line(1, 200)
        feed.setblocking(False)
        harness.open_sockets.append(feed)
        subscription = CoordinatorFeed(harness.core, harness.counters)
        subscription.set_address(feed.getsockname())
        harness.tasks.append(asyncio.get_running_loop().create_task(subscription.follow()))
        conn = await harness.accept(feed)
        await harness.read_until(conn, b"follow 0\n")
        # The line takes longer than the silence limit in total, but no pause is that long.
        for at in range(0, len(line), 2000):
            await asyncio.get_running_loop().sock_sendall(conn, line[at : at + 2000])
            await asyncio.sleep(0.05)
        await harness.wait_until(lambda: "c199" in harness.members.listed)

    run_scenario(scenario)


def test_an_event_that_cannot_be_applied_is_requested_again_and_the_feed_goes_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(harness: DirectorHarness) -> None:
        subscription = CoordinatorFeed(harness.core, harness.counters)
        failures_left = 2
        applied = list[str | None]()

        def purged(group: int, name: str | None, made: int) -> None:
            nonlocal failures_left
            if name == "a" * 16 and failures_left:
                failures_left -= 1
                raise KeyError("injected error")
            applied.append(name)

        monkeypatch.setattr(harness.core.feed, "apply_purge", purged)
        first, second = (
            json.dumps({"index": n, "evict": {"ref": ref * 16, "unix_ms": 1}}).encode()
            for n, ref in ((1, "a"), (2, "b"))
        )
        for _ in range(2):
            with pytest.raises(OSError):
                subscription.handle_line(first)
            assert subscription.last_index == 0
        subscription.handle_line(first)
        subscription.handle_line(second)
        assert applied == ["a" * 16, "b" * 16] and subscription.last_index == 2

    run_scenario(scenario)


def test_a_line_that_is_never_complete_does_not_stop_the_feed() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        subscription = CoordinatorFeed(harness.core, harness.counters)
        event = json.dumps({"index": 2, "evict": {"ref": "b" * 16, "unix_ms": 1}}).encode()
        for connection in range(feed_gaps.MAX_GAP_CONNECTIONS):
            subscription.handle_line(b'{"index":1,"evi')
            if connection < feed_gaps.MAX_GAP_CONNECTIONS - 1:
                with pytest.raises(OSError):
                    subscription.handle_line(event)
        subscription.handle_line(event)
        assert subscription.last_index == 2 and harness.counters.counts["error.gap"] == 1

    run_scenario(scenario)


def _purge_lines(first: int, count: int) -> bytes:
    events = ({"index": first + n, "evict": {"shard": 1, "unix_ms": 1}} for n in range(count))
    return b"".join(json.dumps(event).encode() + b"\n" for event in events)


async def _stall_process(
    harness: DirectorHarness, stop_s: float, events: bytes
) -> tuple[CoordinatorFeed, socket.socket]:
    """Stall the process while a call and events arrive. Returns the feed and the idle cache connection."""
    cache, loop = harness.add_cache("c0"), asyncio.get_running_loop()
    harness.router.on_arrival = lambda request: forward_to(request, "c0")
    feed = listen(("127.0.0.1", 0))
    harness.open_sockets.append(feed)
    subscription = harness.follow(feed.getsockname())
    feed_connection = await harness.accept(feed)
    await harness.read_until(feed_connection, b"follow 0\n")
    client = await harness.connect_client()
    await loop.sock_sendall(client, encode_call(1))
    conn = await harness.accept(cache)
    await harness.read_until(conn, f"{1:016x}".encode())
    await loop.sock_sendall(conn, resp.encode_command(f"{1:016x}".encode(), b"data", HIT_REPLY_FIELDS, b"x"))
    await harness.read_until(client, b"200 OK")
    client.send(encode_call(2))
    feed_connection.send(events)
    time.sleep(stop_s)
    return subscription, conn


@pytest.mark.parametrize("stop_s", [0.7, 2.6])
def test_after_a_stall_nothing_is_sent_to_a_cache_that_was_drained_meanwhile(stop_s: float) -> None:
    """The drain event is queued in the feed's socket behind many other events.

    The stall exceeds the grace period of a drain and, in the second case, the feed's silence limit.
    """

    async def scenario(harness: DirectorHarness) -> None:
        row = {"id": "c0", "addr": "127.0.0.1:1", "zone": "edge-1", "kind": "box", "state": "DRAINING"}
        drain = {"index": 401, "endpoints": {"version": 2, "servers": [row]}}
        events = _purge_lines(1, 400) + json.dumps(drain).encode() + b"\n"
        subscription, _ = await _stall_process(harness, stop_s, events)
        await harness.wait_until(lambda: len(harness.router.attempt_statuses()) == 2)
        assert (
            harness.router.attempt_statuses()[1] is AttemptStatus.NOT_SENT and subscription.last_index == 401
        )

    run_scenario(scenario)


def test_a_feed_error_after_a_stall_delays_no_send(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(harness: DirectorHarness) -> None:
        def fails(index: int) -> None:
            raise RuntimeError("planted")

        monkeypatch.setattr(harness.core.feed, "record_feed_index", fails)
        _, conn = await _stall_process(harness, 0.3, _purge_lines(1, 1))
        await harness.read_until(conn, f"{2:016x}".encode())
        assert harness.counters.counts["error.coordinator"] == 1

    run_scenario(scenario)


def test_an_unreadable_row_leaves_the_others_of_its_list() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        feed = CoordinatorFeed(harness.core, harness.counters)
        rows = [{"id": "c0", **ROW}, {"id": "c1", **ROW, "state": "UNHEARD-OF"}, {"id": "c2", **ROW}]
        event = {"index": 1, "endpoints": {"version": 2, "full": True, "servers": rows}}
        feed.handle_line(json.dumps(event).encode())
        assert set(harness.members.listed) == {"c0", "c2"} and harness.counters.counts["bad.coordinator"] == 1

    run_scenario(scenario)


def test_a_feed_whose_address_changes_while_bytes_arrive_is_followed_there() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        old, new = socket.create_server(("127.0.0.1", 0)), socket.create_server(("127.0.0.1", 0))
        for feed in (old, new):
            feed.setblocking(False)
            harness.open_sockets.append(feed)
        subscription = CoordinatorFeed(harness.core, harness.counters)
        subscription.set_address(old.getsockname())
        # The address changes while a line is being handled.
        subscription.on_line = lambda: subscription.set_address(new.getsockname())
        harness.tasks.append(asyncio.get_running_loop().create_task(subscription.follow()))
        conn = await harness.accept(old)
        await harness.read_until(conn, b"follow 0\n")
        while True:  # lines keep arriving at intervals below the silence limit
            with contextlib.suppress(OSError):  # the feed has already closed this connection
                await asyncio.get_running_loop().sock_sendall(conn, b"0\n")
            try:
                moved, _ = new.accept()
                break
            except BlockingIOError:
                await asyncio.sleep(0.05)
        harness.open_sockets.append(moved)
        assert not harness.counters.counts["error.coordinator"]

    async def bounded(harness: DirectorHarness) -> None:
        async with asyncio.timeout(TIMEOUT_S / 4):
            await scenario(harness)

    run_scenario(bounded)


def test_the_feed_reconnects_after_waits_drawn_below_a_bound_that_doubles() -> None:
    async def scenario() -> list[list[int]]:
        members, counters = EndpointTable(), Counters()
        core = RequestEngine(SETTINGS, 7, CacheConnectionPool(members, counters, 0), members, counters)
        feeds = [CoordinatorFeed(core, counters, seed, 40) for seed in (1, 2)]
        return [[feed.backoff.next_delay_us(FIRST_RETRY_US) for _ in range(8)] for feed in feeds]

    one, two = asyncio.run(scenario())
    assert one != two  # directors that lost the feed at the same time do not reconnect at the same time
    assert all(row[0] <= FIRST_RETRY_US and max(row) <= MAX_RETRY_US for row in (one, two))


# Guards against: the last index alone is taken for the event of that index, which is then never applied.
@pytest.mark.parametrize("announced", [b'{"index":1}', b"1"])
def test_an_event_is_applied_although_its_index_was_announced_before(announced: bytes) -> None:
    async def scenario(harness: DirectorHarness) -> None:
        feed = CoordinatorFeed(harness.core, harness.counters)
        feed.handle_line(announced)
        assert feed.last_index == 0 and feed.announced_index == 1
        feed.handle_line(_list_line(1, 3))
        assert set(harness.members.listed) == {"c0", "c1", "c2"} and feed.last_index == 1

    run_scenario(scenario)


# Guards against: a feed that announces an event and never sends it is connected to anew for ever, or an index
# announced in error makes the director drop the events up to it.
def test_an_announced_event_that_never_comes_is_doubted_and_applied_if_it_comes() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        feed = CoordinatorFeed(harness.core, harness.counters)
        for connection in range(feed_gaps.MAX_GAP_CONNECTIONS):
            feed.announced_index = 0  # as at the start of each connection
            feed.handle_line(b'{"index":1}')
            if connection < feed_gaps.MAX_GAP_CONNECTIONS - 1:
                with pytest.raises(OSError):
                    feed.handle_line(b'{"index":1}')
        for _ in range(3):
            feed.handle_line(b'{"index":1}')
        assert feed.last_index == 0 and harness.counters.counts["error.gap"] == 1
        feed.handle_line(_list_line(1, 3))
        assert set(harness.members.listed) == {"c0", "c1", "c2"} and feed.last_index == 1
        feed.handle_line(b'{"index":2}')  # announced for the first time: it is missed again
        with pytest.raises(OSError):
            feed.handle_line(b'{"index":2}')

    run_scenario(scenario)


def _row(name: str, state: str) -> str:
    return f'{{"id":"{name}","addr":"127.0.0.1:1","state":"{state}","started_ms":0}}'


# Guards against: a cut-off event is ignored though it says which members drain, or takes ready ones out.
@pytest.mark.parametrize(
    ("text", "names"),
    [
        (_row("c0", "SERVING") + "," + _row("c1", "DRAINING") + "," + _row("c2", "DELETED"), ["c1", "c2"]),
        (_row("c0", "SERVING") + ',{"id":"c1","addr":"127', ["c1"]),
        (_row("c0", "SERVING") + ',{"id":"c1","state":"DRAIN', ["c1"]),
        (_row("c0", "SERVING") + ',{"id":"c1', []),
        ('{"id" : "c1", "addr"', ["c1"]),
        ("", []),
    ],
)
def test_a_cut_off_event_puts_the_suspected_members_that_it_may_make_unusable(
    text: str, names: list[str]
) -> None:
    line = '{"index":41,"endpoints":{"version":7,"full":false,"servers":[' + text
    assert suspected_members(line.encode()) == names


def test_a_cut_off_purge_suspects_no_member() -> None:
    assert suspected_members(b'{"index":42,"evict":{"id":"7f3a9c21e0b4d655","unix') == []
