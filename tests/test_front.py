"""The bound on clients: who makes room for a newcomer."""

from __future__ import annotations

import asyncio
import socket

import pytest

from onyxwick.core import RequestEngine
from onyxwick.core.endpoints import EndpointTable
from onyxwick.counters import Counters
from onyxwick.interface import RejectRequest
from onyxwick.net import fastcgi
from onyxwick.net.cache_pool import CacheConnectionPool
from onyxwick.net.fastcgi_parser import FastCgiParser
from onyxwick.net.front import FastCgiFront
from onyxwick.net.front_connection import FrontConnection
from tests.ground import Ground, ask, call, played
from tests.world import SETTINGS


def test_room_is_made_by_the_answered_then_the_silent_then_the_stuck_and_never_by_who_is_owed() -> None:
    async def play() -> list[str]:
        members, counters = EndpointTable(), Counters()
        core = RequestEngine(SETTINGS, 7, CacheConnectionPool(members, counters, 0), members, counters)
        front = FastCgiFront(core, counters, lambda: True, 3, 1_000_000)
        names = ("busy", "idle", "asking", "silent", "fresh", "stuck", "answered")
        clients, pairs, left = {}, [socket.socketpair() for _ in names], list[str]()
        for name, pair in zip(names, pairs, strict=True):
            clients[name] = client = FrontConnection(front, pair[0])
            front.connections[client] = asyncio.get_running_loop().create_task(asyncio.sleep(60))
            client.complete_calls = int(name not in ("silent", "fresh", "stuck"))
        clients["busy"].open_calls[1] = None  # something is owed to it
        pairs[2][1].send(b"x")  # a request is under way on it
        clients["stuck"].parser.buffer.append(b"\x01\x01")  # half of a record, and then nothing
        for age, name in enumerate(("silent", "idle", "asking", "busy", "stuck"), 1):
            clients[name].last_active_at_s -= age
            clients[name].opened_at_s -= age
        while front._evict_one():
            left += [name for name, c in clients.items() if c.is_closing and name not in left]
        for pair in pairs:
            pair[0].close()
            pair[1].close()
        return left

    # Answered ones first, idle longest first, even one answered a moment ago; then who came and sent nothing,
    # not the one just come; then one stuck in half a call. Never who is owed or has sent what is unread.
    assert asyncio.run(play()) == ["idle", "answered", "silent", "stuck"]


def test_a_body_without_end_is_refused_as_it_grows() -> None:
    parser, kind = FastCgiParser(), fastcgi.RecordType
    parser.buffer.append(fastcgi.encode_record(kind.BEGIN, 1, fastcgi.BEGIN_BODY.pack(1, 1)))
    parser.buffer.append(
        fastcgi.encode_record(kind.PARAMS, 1, b"") + fastcgi.encode_record(kind.STDIN, 1, bytes(48_000))
    )
    assert not list(parser.messages())
    parser.buffer.append(fastcgi.encode_record(kind.STDIN, 1, b"x") * 2)
    (reply,) = parser.messages()
    assert isinstance(reply, fastcgi.FastCgiReply) and reply.stop_reading and b"413" in reply.data


def test_the_order_of_eviction() -> None:
    from onyxwick.net.connection_slots import (
        PARTIAL_CALL_GRACE_S,
        SILENT_GRACE_S,
        ConnectionSlot,
        eviction_rank,
    )

    def slot(**changed: object) -> ConnectionSlot:
        fields = {
            "complete_calls": 1,
            "open_calls": 0,
            "unwritten_bytes": 0,
            "has_partial_call": False,
            "opened_at_s": 0.0,
            "last_active_at_s": 10.0,
            "is_closing": False,
        }
        return ConnectionSlot(**{**fields, **changed})  # type: ignore[arg-type]

    def silent(since_s: float) -> ConnectionSlot:
        return slot(complete_calls=0, opened_at_s=now_s - since_s, last_active_at_s=now_s - since_s)

    def partial(since_s: float) -> ConnectionSlot:
        return slot(complete_calls=0, has_partial_call=True, last_active_at_s=now_s - since_s)

    now_s = 10.0
    assert eviction_rank(slot(), now_s) == (0, 10.0)  # evicted although it was answered this instant
    assert eviction_rank(slot(open_calls=1), now_s) is None
    assert eviction_rank(slot(unwritten_bytes=5), now_s) is None
    assert eviction_rank(slot(is_closing=True), now_s) is None
    assert eviction_rank(silent(SILENT_GRACE_S / 2), now_s) is None
    assert eviction_rank(silent(SILENT_GRACE_S), now_s) == (1, now_s - SILENT_GRACE_S)
    assert eviction_rank(partial(PARTIAL_CALL_GRACE_S / 2), now_s) is None  # a slow writer
    assert eviction_rank(partial(PARTIAL_CALL_GRACE_S), now_s) == (2, now_s - PARTIAL_CALL_GRACE_S)


def test_connections_to_a_member_grow_with_the_share_that_a_director_coming_back_allows_itself() -> None:
    from onyxwick.net.cache_pool import MIN_CONNECTIONS_PER_MEMBER, CacheConnectionPool

    members, counters, share = EndpointTable(), Counters(), [0.2]
    caches = CacheConnectionPool(members, counters, 0, max_connections=256, warm_up_share=lambda: share[0])
    assert caches._max_per_member() == MIN_CONNECTIONS_PER_MEMBER
    share[0] = 1.0
    assert (
        caches._max_per_member() == 8
        and CacheConnectionPool(members, counters, 0, max_connections=256)._max_per_member() == 8
    )


def test_the_key_of_a_call_goes_on_to_the_cache_and_a_bad_one_is_refused() -> None:
    """A cache knows by it a repeat of what it has done; without it a request is not the client's any more."""

    async def play(ground: Ground) -> None:
        cache = ground.cache("c0")
        ground.script.arrived = lambda request: ask(request, "c0")
        sock = await ground.client()
        good = {"HTTP_X_TIMEOUT_MS": "3000", "HTTP_IDEMPOTENCY_KEY": "695b5a21afb805f3"}
        sock.send(call(1, path="/call/hold", more=good))
        got = await ground.read(await ground.accepted(cache), b"$0\r\n\r\n")
        assert b",i=695b5a21afb805f3" in got
        sock.send(call(2, path="/call/hold", more={**good, "HTTP_IDEMPOTENCY_KEY": "a,k=b"}))
        await ground.read(sock, b"400 Bad Request")
        assert ground.counters.counts["bad.client"] == 1

    played(play)


def test_the_feed_is_called_again_after_waits_drawn_below_a_bound_that_doubles() -> None:
    from onyxwick.net.coordinator_feed import FIRST_RETRY_US, MAX_RETRY_US, CoordinatorFeed

    async def play() -> list[list[int]]:
        members, counters = EndpointTable(), Counters()
        core = RequestEngine(SETTINGS, 7, CacheConnectionPool(members, counters, 0), members, counters)
        feeds = [CoordinatorFeed(core, counters, seed, 40) for seed in (1, 2)]
        return [[feed.backoff.next_delay_us(FIRST_RETRY_US) for _ in range(8)] for feed in feeds]

    one, two = asyncio.run(play())
    assert one != two  # two directors that lost the feed together do not call again together
    assert all(row[0] <= FIRST_RETRY_US and max(row) <= MAX_RETRY_US for row in (one, two))


def test_a_refusal_is_logged_with_its_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    told = list[int]()

    async def play(ground: Ground) -> None:
        ground.script.arrived = lambda request: [RejectRequest(request)]
        monkeypatch.setattr(ground.core, "refused", lambda *line: told.append(line[2]))
        sock = await ground.client()
        sock.send(call(1))
        await ground.read(sock, b"503")
        assert told == [client.number for client in ground.front.connections] != [-1]

    played(play)
