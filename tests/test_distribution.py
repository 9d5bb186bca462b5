"""Tests of each state machine of the distribution tree."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Mapping
from dataclasses import replace
from pathlib import Path

import pytest

from onyxwick.config.distribution import Role
from onyxwick.core.clock import wall_us
from onyxwick.counters import Counters
from onyxwick.distribution import codec
from onyxwick.distribution.admission import AdmissionLimits, SubscriberAdmission
from onyxwick.distribution.documents import DocumentAssembler, DocumentError, split_document
from onyxwick.distribution.durable_feed import DurableFeed
from onyxwick.distribution.fanout import FanOut, FanOutLimits, SubscriberState
from onyxwick.distribution.follower import TRANSITIONS, Follower, FollowerState
from onyxwick.distribution.follower_actions import (
    PLAIN_COORDINATOR_LIMITS,
    ConnectToParent,
    DeliverEvent,
    DisconnectFromParent,
    InstallSnapshot,
    SendLine,
)
from onyxwick.distribution.model import (
    MAX_DOCUMENT_BYTES,
    Announcement,
    CacheListChange,
    CacheRow,
    Cursor,
    FeedEvent,
    FeedGapError,
    Freshness,
    IllegalTransitionError,
    MalformedLineError,
    OlderSnapshotError,
    PublishRejectedError,
    PurgeEvent,
    PurgeKey,
    UnknownPayload,
)
from onyxwick.distribution.publisher import Publisher, PublisherLimits, new_history
from onyxwick.distribution.replica import FeedSnapshot, Replica
from onyxwick.distribution.tree import TreeError, TreeLimits, plan_tree
from onyxwick.lab.scale.small import node_config
from onyxwick.net.publisher_node import PublisherNode
from onyxwick.net.subscription import Subscription
from onyxwick.store.engine import StoreEngine
from onyxwick.store.errors import StoreError
from tests.faulty_files import FaultyFiles
from tests.feed_world import (
    HISTORY,
    NOW_MS,
    START,
    ImmediateBackoff,
    S,
    check_earlier_states_are_rejected,
    connected_follower,
    filled_replica,
    purge_event,
)

# ---- the follower ---------------------------------------------------------------------------------------


def test_a_follower_delivers_only_the_next_event() -> None:
    follower = connected_follower()
    taken = follower.on_line(START, purge_event(6).line.strip())
    assert taken == (DeliverEvent(purge_event(6)),), (
        "the event has the line feed with which a relay forwards it"
    )
    assert follower.on_line(START, purge_event(6).line) == ()
    assert follower.counts["duplicate"] == 1
    (action,) = follower.on_line(START, purge_event(8).line)
    assert isinstance(action, DisconnectFromParent)
    assert "gap" in action.reason
    assert follower.cursor.number == 6
    assert follower.on_tick(START) == (ConnectToParent(1),), "the next parent is tried from the same cursor"
    assert follower.on_connected(START) == (SendLine(b"follow %d\n" % Cursor(HISTORY, 6).packed),)


# Guards against: a publisher takes the coordinator's last number alone for the event of that number.
def test_the_last_number_alone_is_an_announcement_in_both_forms() -> None:
    for line in (b"41\n", b'{"index":41}\n'):
        assert codec.decode(line) == Announcement(Cursor.unpack(41))


def test_an_announced_event_that_does_not_arrive_ends_the_connection() -> None:
    follower = connected_follower()
    assert follower.on_line(START, codec.encode_announcement(Cursor(HISTORY, 7))) == ()
    (action,) = follower.on_line(START, codec.encode_announcement(Cursor(HISTORY, 7)))
    assert isinstance(action, DisconnectFromParent)


def test_a_silent_parent_is_given_up_within_its_time() -> None:
    follower = connected_follower()
    follower.on_line(START, codec.encode_announcement(Cursor(HISTORY, 5)))
    assert follower.on_tick(START + 699_999) == ()
    (action,) = follower.on_tick(START + 700_000)
    assert isinstance(action, DisconnectFromParent)
    assert follower.state is FollowerState.WAITING


def test_a_suspended_follower_does_not_give_up_its_parent() -> None:
    follower = connected_follower()
    follower.on_line(START, codec.encode_announcement(Cursor(HISTORY, 5)))
    late = START + 5 * S
    assert follower.on_tick(late) == (), (
        "after its own suspension, the follower first reads the lines received meanwhile"
    )
    follower.on_line(late + 1_000, codec.encode_announcement(Cursor(HISTORY, 5)))
    assert follower.on_tick(late + 500_000) == ()
    assert follower.state is FollowerState.FOLLOWING
    follower.on_tick(late + 5 * S)
    (action,) = follower.on_tick(late + 5 * S + 300_000)
    assert isinstance(action, DisconnectFromParent), (
        "a parent that stays silent is given up after the grace time"
    )


def test_a_snapshot_of_an_earlier_state_or_history_is_rejected() -> None:
    check_earlier_states_are_rejected()


def test_a_snapshot_is_installed_when_complete_and_its_purges_at_once() -> None:
    lines = filled_replica(9).snapshot_lines(NOW_MS)[1]
    for cut in range(1, len(lines)):
        follower = connected_follower()
        actions = [a for line in lines[:cut] for a in follower.on_line(START, line)]
        assert all(isinstance(a, DeliverEvent) and a.from_snapshot for a in actions)
        assert follower.cursor == Cursor(HISTORY, 5), "the cursor stays until the snapshot is complete"
    follower = connected_follower()
    actions = [a for line in lines for a in follower.on_line(START, line)]
    assert isinstance(actions[-1], InstallSnapshot)
    assert follower.cursor == Cursor(HISTORY, 9)
    assert follower.on_line(START, purge_event(10).line) == (DeliverEvent(purge_event(10)),)


def test_a_snapshot_mixed_with_other_lines_or_incomplete_is_dropped() -> None:
    begin, *body, end = filled_replica(9).snapshot_lines(NOW_MS)[1]
    for wrong in ([*body[:-1], end], [*body, body[0], end], [purge_event(10).line], [begin]):
        follower = connected_follower()
        follower.on_line(START, begin)
        actions = [a for line in wrong for a in follower.on_line(START, line)]
        assert any(isinstance(a, DisconnectFromParent) for a in actions)
        assert not any(isinstance(a, InstallSnapshot) for a in actions)
        assert follower.cursor == Cursor(HISTORY, 5)


def test_a_parent_cut_off_from_the_publisher_is_left_and_staleness_is_reported() -> None:
    follower, now = connected_follower(), START
    beat = codec.encode_announcement(Cursor(HISTORY, 5))
    follower.on_line(now, codec.encode_freshness(Cursor(HISTORY, 5), NOW_MS))
    while follower.state is FollowerState.FOLLOWING or now == START:
        now += 200_000
        follower.on_line(now, beat)
        assert now < START + 5 * S
    assert follower.staleness_us(now) == now - START
    assert follower.parent == 1
    # The other parent is equally stale. The next staleness check is later, so that followers of a partitioned
    # region do not keep reconnecting all at once.
    follower.on_tick(now)
    follower.on_connected(now)
    since = now
    while follower.state is not FollowerState.WAITING:
        now += 200_000
        follower.on_line(now, beat)
    assert now - since > 5 * S


def test_a_follower_returns_to_its_first_parent() -> None:
    follower = connected_follower()
    follower.on_connection_lost(START, "reset")
    follower.on_tick(START)
    follower.on_connected(START)
    now, fresh = START, itertools.count(NOW_MS)
    while follower.state is not FollowerState.WAITING:
        now += 200_000
        follower.on_line(now, codec.encode_freshness(Cursor(HISTORY, 5), next(fresh)))
        follower.on_line(now, codec.encode_announcement(Cursor(HISTORY, 5)))
        assert now < START + 70 * S
    assert now > START + 60 * S
    assert follower.parent == 0


def test_a_restarted_plain_coordinator_is_read_from_its_first_event() -> None:
    follower = Follower(1, ImmediateBackoff(), Cursor(0, 40), resets_on_restart=True)
    follower.start(START)
    follower.on_connected(START)
    (action,) = follower.on_line(START, b"3\n")
    assert isinstance(action, DisconnectFromParent)
    follower.on_tick(START)
    assert follower.on_connected(START) == (SendLine(b"follow 0\n"),)


def test_only_transitions_of_the_tables_are_possible() -> None:
    follower = Follower(1, ImmediateBackoff())
    with pytest.raises(IllegalTransitionError):
        follower.on_connected(START)
    assert all(FollowerState.STOPPED in TRANSITIONS[s] for s in FollowerState if s.value != "stopped")
    subscriber = FanOut(filled_replica(1)).on_connected(START)
    assert subscriber is not None
    with pytest.raises(IllegalTransitionError):
        subscriber.transition(SubscriberState.LIVE)


# ---- bad input ------------------------------------------------------------------------------------------


def test_a_line_cut_at_each_byte_is_harmless() -> None:
    row = CacheRow("c1", False, {"id": "c1", "addr": "10.0.0.1:5050", "state": "SERVING"})
    document = split_document("quotas", 1, "x" * 40)[0]
    payloads = (purge_event(6).payload, CacheListChange((row,), True, 3), document)
    tried = 0
    for payload in payloads:
        line = codec.encode_event(Cursor(HISTORY, 6), payload).line
        for cut in range(len(line) - 1):
            follower = connected_follower()
            actions = follower.on_line(START, line[:cut])
            assert actions == ()
            assert follower.cursor == Cursor(HISTORY, 5)
            assert follower.counts["bad.line"] == 1 or cut == 0
            tried += 1
    assert tried > 300


@pytest.mark.parametrize(
    "line",
    [
        b'{"index":%d,"mystery":1}',
        b'{"index":%d,"evict":7}',
        b'{"index":%d,"evict":{"ref":"a"}}',
        b'{"index":%d,"endpoints":{"servers":[{"id":"a","state":"ODD"}]}}',
        b'{"index":%d,"document":{"name":"a","version":1,"part":2,"parts":2,"digest":"","text":""}}',
    ],
)
def test_an_event_that_cannot_be_read_is_passed_on_and_counted(line: bytes) -> None:
    follower = connected_follower()
    (forwarded,) = follower.on_line(START, line % Cursor(HISTORY, 6).packed)
    assert isinstance(forwarded, DeliverEvent)
    assert isinstance(forwarded.event.payload, UnknownPayload)
    assert follower.counts["bad.event"] == 1
    relay = filled_replica(5)
    relay.apply(forwarded.event, NOW_MS)
    forwarded_line = line % Cursor(HISTORY, 6).packed + b"\n"
    assert relay.log.lines[-1] == forwarded_line, "a newer reader may understand the payload"
    assert follower.on_line(START, purge_event(7).line) == (DeliverEvent(purge_event(7)),)


def test_numbers_out_of_range_and_endless_garbage_are_rejected() -> None:
    for line in (b"-1", b"9223372036854775808", b"true", b"[]", b'{"index":-4,"evict":{}}', b"\xff\xfe"):
        with pytest.raises(MalformedLineError):
            codec.decode(line)
    follower = connected_follower()
    actions = [a for _ in range(20) for a in follower.on_line(START, b"garbage")]
    assert [type(a) for a in actions] == [DisconnectFromParent]
    with pytest.raises(MalformedLineError):
        codec.decode_follow(b"follow 99999999999999999999999")


def test_a_line_of_five_megabytes_is_skipped_and_the_feed_goes_on() -> None:
    async def main() -> tuple[list[int], int]:
        big = b'{"index":2,"document":{"text":"' + b"x" * 5_000_000 + b'"}}\n'
        small = [codec.encode_event(Cursor(0, n), purge_event(n).payload).line for n in (1, 3)]

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readline()
            writer.write(small[0] + big + small[1])
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        delivered: list[int] = []

        class Sink:
            def deliver(self, event: FeedEvent, from_snapshot: bool) -> None:
                delivered.append(event.cursor.number)

            def install(self, snapshot: FeedSnapshot) -> None: ...

            def refresh(self, freshness: Freshness) -> None: ...

        follower = Follower(1, ImmediateBackoff(), limits=PLAIN_COORDINATOR_LIMITS)
        address = server.sockets[0].getsockname()
        task = asyncio.create_task(Subscription(follower, [address], Sink(), Counters()).run())
        async with asyncio.timeout(10):
            while 3 not in delivered:
                await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        server.close()
        return delivered, follower.counts["bad.event"]

    assert asyncio.run(main()) == ([1, 2, 3], 1)
    assert codec.decode(codec.oversized_line_stub(b'{"index":7,"document":{"te')) == FeedEvent(
        Cursor(0, 7),
        UnknownPayload("event has no known payload field, only ['index', 'oversized']"),
        b'{"index":7,"oversized":true}\n',
    )
    with pytest.raises(MalformedLineError):
        codec.decode(codec.oversized_line_stub(b"x" * 64))


def test_documents_over_the_bound_or_with_wrong_parts_are_rejected() -> None:
    publisher = Publisher(filled_replica(0), START)
    with pytest.raises(PublishRejectedError, match="at most"):
        publisher.submit_document("big", "x" * (MAX_DOCUMENT_BYTES + 1))
    assert not publisher.document_queue
    parts = split_document("a", 1, "\u00e9" * 60_000)
    assert len(parts) > 3
    collector = DocumentAssembler()
    with pytest.raises(DocumentError):
        collector.add(parts[1])
    for part in parts[:-1]:
        assert collector.add(part) is None
    document = collector.add(parts[-1])
    assert document is not None
    assert document.text == "\u00e9" * 60_000
    collector.add(parts[0])
    with pytest.raises(DocumentError):
        collector.add(parts[2])


# ---- publisher, replica, fan-out ------------------------------------------------------------------------


def test_purges_are_sent_before_documents_and_documents_at_their_rate() -> None:
    limits = PublisherLimits(bulk_bytes_per_s=10_000, bulk_burst_bytes=20_000)
    replica = filled_replica(0)
    publisher = Publisher(replica, START, limits)
    publisher.submit_document("a", "x" * 60_000)
    publisher.submit(PurgeEvent(PurgeKey("p", None), NOW_MS), NOW_MS)
    sent, now, sizes = list[FeedEvent](), START, list[int]()
    while True:
        events = publisher.take_due_events(now)
        for event in events:
            replica.apply(event, NOW_MS)
        sent += events
        sizes.append(sum(len(e.line) for e in events))
        wait = publisher.next_due_in_us(now)
        if wait is None:
            break
        now += wait
    assert isinstance(sent[0].payload, PurgeEvent)
    assert [e.cursor.number for e in sent] == list(range(1, len(sent) + 1))
    assert replica.state.documents["a"].text == "x" * 60_000
    assert now - START >= 3.9 * S, "40 KB beyond the burst at 10 KB per second"
    assert publisher.submit_document("a", "x" * 60_000) == 1, "the same text is not sent again"
    assert not publisher.document_queue


def test_a_newer_document_preempts_queued_parts_of_the_older() -> None:
    replica = filled_replica(0)
    publisher = Publisher(replica, START, PublisherLimits(bulk_burst_bytes=13_000))
    publisher.submit_document("a", "x" * 50_000)
    for event in publisher.take_due_events(START):
        replica.apply(event, NOW_MS)
    publisher.submit_document("a", "short")
    assert len(publisher.document_queue) == 1
    for event in publisher.take_due_events(START + 10 * S):
        replica.apply(event, NOW_MS)
    assert replica.state.documents["a"].text == "short"


def test_the_publisher_rejects_over_its_bounds_and_keeps_its_queue() -> None:
    publisher = Publisher(filled_replica(0), START, PublisherLimits(max_queued=4, max_purges=3))
    for n in range(3):
        publisher.submit(PurgeEvent(PurgeKey(f"p{n}", None), NOW_MS), NOW_MS)
    with pytest.raises(PublishRejectedError, match="are in effect"):
        publisher.submit(PurgeEvent(PurgeKey("p9", None), NOW_MS), NOW_MS)
    with pytest.raises(PublishRejectedError, match="future"):
        publisher.submit(PurgeEvent(PurgeKey("p1", None), NOW_MS + 90_000), NOW_MS)
    publisher.submit(CacheListChange((), False, 1), NOW_MS)
    with pytest.raises(PublishRejectedError, match="queued"):
        publisher.submit(CacheListChange((), False, 1), NOW_MS)
    assert len(publisher.take_due_events(START)) == 4


def test_a_replica_rejects_gaps_and_earlier_states() -> None:
    replica = filled_replica(3)
    with pytest.raises(FeedGapError):
        replica.apply(purge_event(5), NOW_MS)
    with pytest.raises(OlderSnapshotError):
        replica.install(FeedSnapshot(Cursor(HISTORY, 2), ()))
    replica.install(FeedSnapshot(Cursor(HISTORY + 1, 0), ()))
    assert replica.cursor == Cursor(HISTORY + 1, 0)


def test_a_subscriber_behind_the_bounded_log_gets_a_snapshot_with_all_binding_purges() -> None:
    replica = filled_replica(2_000, log_bytes=20_000)
    assert replica.log.size_bytes <= 20_000
    fanout = FanOut(replica)
    subscriber = fanout.on_connected(START)
    assert subscriber is not None
    assert fanout.on_follow(subscriber, Cursor(HISTORY, 3), START)
    data = b"".join(iter(lambda: fanout.next_bytes(subscriber, 60_000, START), b""))
    messages = [codec.decode(line) for line in data.splitlines()]
    purges = [m for m in messages if isinstance(m, FeedEvent)]
    assert len(purges) == 2_000, "the snapshot has every purge that may still be in effect"
    assert subscriber.state is SubscriberState.LIVE
    assert subscriber.cursor == replica.cursor
    assert not subscriber.snapshot_lines


def test_purges_leave_snapshots_only_after_their_retention() -> None:
    replica = filled_replica(10)
    late = NOW_MS + replica.retention_ms
    assert len(replica.snapshot_lines(late)[1]) == 2 + 10
    replica.apply(purge_event(11), late + 6)
    assert {key.object_id for key in replica.state.purges.unix_ms_by_key} == {
        f"{n:016x}" for n in range(6, 12)
    }


def test_many_subscribers_share_one_snapshot() -> None:
    fanout, rows = FanOut(filled_replica(500, log_bytes=5_000)), []
    for _ in range(20):
        subscriber = fanout.on_connected(START)
        assert subscriber is not None
        fanout.on_follow(subscriber, Cursor(HISTORY, 1), START)
        assert fanout.next_bytes(subscriber, 100, START)
        rows.append(subscriber.snapshot_lines)
    assert len({id(lines) for lines in rows}) == 1


def test_a_stalled_subscriber_delays_no_other_and_is_closed() -> None:
    replica = filled_replica(5)
    fanout = FanOut(replica, FanOutLimits(high_water_bytes=1_000))
    stuck, well = fanout.on_connected(START), fanout.on_connected(START)
    assert stuck is not None
    assert well is not None
    for subscriber in (stuck, well):
        assert fanout.on_follow(subscriber, replica.cursor, START)
    for number in range(6, 200):
        replica.apply(purge_event(number), NOW_MS)
        assert fanout.next_bytes(well, 1_000, START)
        assert fanout.next_bytes(stuck, 0, START) == b""
    assert fanout.is_current(well)
    assert fanout.close_reason(stuck, 1_000, START + 10 * S) == ""
    assert fanout.close_reason(stuck, 1_000, START + 10 * S + 1) == "reads nothing"
    assert fanout.close_reason(well, 0, START + 60 * S) == ""


def test_a_publisher_with_an_older_disk_rejects_followers_ahead_of_it() -> None:
    root, relay = FanOut(filled_replica(5), authoritative=True), FanOut(filled_replica(5))
    ahead = Cursor(HISTORY, 9)
    for fanout, taken in ((root, False), (relay, True)):
        subscriber = fanout.on_connected(START)
        assert subscriber is not None
        assert fanout.on_follow(subscriber, ahead, START) is taken
        assert fanout.next_bytes(subscriber, 9_000, START) == b""
    assert root.counts["refused.diverged"] == 1
    subscriber = relay.on_connected(START)
    assert subscriber is not None
    assert not relay.on_follow(subscriber, Cursor(HISTORY + 1, 1), START), (
        "the cursor belongs to a later history"
    )


def test_admission_keeps_its_rate_and_its_bound() -> None:
    admission = SubscriberAdmission(AdmissionLimits(per_s=50, burst=10, max_wait_us=2 * S))
    waits = [admission.wait_us(START) for _ in range(300)]
    let_in = [w for w in waits if w is not None]
    assert waits.count(None) > 0
    assert max(let_in) <= 2 * S
    assert sum(w <= 0 for w in let_in) == 10
    assert 100 <= len(let_in) <= 111, "2 s at 50 per second, and the burst"
    assert admission.wait_us(START + 20 * S) == 0


def test_the_feed_survives_a_restart_of_the_publisher() -> None:
    disk = FaultyFiles()
    replica, feed = Replica(), DurableFeed(StoreEngine(disk))
    assert feed.load(replica, HISTORY) == Cursor(0, 0)
    publisher = Publisher(replica, START)
    row = CacheRow("c1", False, {"id": "c1", "addr": "10.0.0.1:5050", "state": "SERVING"})
    publisher.submit(PurgeEvent(PurgeKey(None, 7), NOW_MS), NOW_MS)
    publisher.submit(CacheListChange((row,), True, 4), NOW_MS)
    publisher.submit_document("quotas", "y" * 30_000)
    events = publisher.take_due_events(START)
    feed.save(events, Cursor(0, 2), replica.state, START)
    for event in events:
        replica.apply(event, NOW_MS)
    feed.engine.close()
    again, reopened = Replica(), DurableFeed(StoreEngine(disk))
    assert reopened.load(again, HISTORY + 60) == Cursor(0, 2)
    assert again.cursor == replica.cursor
    assert list(again.state.payloads()) == list(replica.state.payloads())
    assert new_history(HISTORY - 5, earlier=HISTORY) == Cursor(HISTORY + 1, 0)


def test_the_tree_is_bounded_and_a_lost_relay_spreads_over_all_others() -> None:
    relays, leaves = [f"r{n}" for n in range(12)], [f"d{n}" for n in range(1000)]
    rows = plan_tree("root", relays, leaves)
    assert all(len(set(rows[leaf])) == 2 for leaf in leaves)
    for position, relay in enumerate(relays):
        assert rows[relay][0] == "root"
        assert set(rows[relay][1:]) <= set(relays[:position]), "the tree has no cycle"
    first = [sum(rows[leaf][0] == relay for leaf in leaves) for relay in relays]
    assert max(first) <= 1.1 * 1000 / 12 + 1
    lost = [rows[leaf][1] for leaf in leaves if rows[leaf][0] == "r3"]
    assert len(set(lost)) == 11
    assert max(lost.count(relay) for relay in relays) <= 20
    fewer = plan_tree("root", [r for r in relays if r != "r3"], leaves)
    moved = sum(fewer[leaf][0] != rows[leaf][0] for leaf in leaves if rows[leaf][0] != "r3")
    assert moved < 150, "children of the other relays stay, except for the bound on load"
    with pytest.raises(TreeError, match="relays would be enough"):
        plan_tree("root", relays[:3], leaves, TreeLimits(max_children=100))


def test_a_lost_rack_leaves_every_director_one_parent() -> None:
    relays, leaves = [f"r{n}" for n in range(12)], [f"d{n}" for n in range(1000)]
    racks = {relay: f"rack-{n % 3}" for n, relay in enumerate(relays)}

    def cut_off(rows: Mapping[str, tuple[str, ...]]) -> int:
        return sum(all(racks[parent] == "rack-0" for parent in rows[leaf]) for leaf in leaves)

    assert cut_off(plan_tree("root", relays, leaves)) > 50, (
        "without failure domains a rack takes both parents"
    )
    rows = plan_tree("root", relays, leaves, domains=racks)
    assert cut_off(rows) == 0
    for position in (0, 1):
        loads = [sum(rows[leaf][position] == relay for leaf in leaves) for relay in relays]
        assert max(loads) <= 1.1 * 1000 / 12 + 1


def test_a_publisher_whose_disk_fails_announces_nothing_and_ends(tmp_path: Path) -> None:
    async def main() -> PublisherNode:
        listen = ("127.79.9.1", 7400)
        root = PublisherNode(replace(node_config("root", Role.PUBLISHER, listen), store=tmp_path / "store"))
        assert root.durable is not None
        files = FaultyFiles()
        root.durable.engine.log.files = files
        files.failing_calls.add("write")
        running = asyncio.create_task(root.run())
        await asyncio.sleep(0)
        payload = PurgeEvent(PurgeKey("a", None), wall_us() // 1000)
        root.deliver(codec.encode_event(Cursor(0, 1), payload), from_snapshot=False)
        with pytest.raises(StoreError):
            async with asyncio.timeout(5):
                await running
        return root

    root = asyncio.run(main())
    assert root.replica.cursor.number == 0
    assert not root.replica.log.lines
