"""The bound on clients: who makes room for a newcomer."""

from __future__ import annotations

import asyncio
import socket

import pytest

from onyxwick.core import RequestEngine
from onyxwick.core.context import EngineContext
from onyxwick.core.endpoints import EndpointTable
from onyxwick.counters import Counters
from onyxwick.interface import RejectRequest
from onyxwick.net import fastcgi
from onyxwick.net.cache_pool import CacheConnectionPool
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
            front.clients[client] = asyncio.get_running_loop().create_task(asyncio.sleep(60))
            client.calls = int(name not in ("silent", "fresh", "stuck"))
        clients["busy"].open[1] = None  # something is owed to it
        pairs[2][1].send(b"x")  # a request is under way on it
        clients["stuck"].parser.buffer.feed(b"\x01\x01")  # half of a record, and then nothing
        for age, name in enumerate(("silent", "idle", "asking", "busy", "stuck"), 1):
            clients[name].used_at -= age
            clients[name].born -= age
        while front._make_room():
            left += [name for name, c in clients.items() if c.ending and name not in left]
        for pair in pairs:
            pair[0].close()
            pair[1].close()
        return left

    # Answered ones first, idle longest first, even one answered a moment ago; then who came and sent nothing,
    # not the one just come; then one stuck in half a call. Never who is owed or has sent what is unread.
    assert asyncio.run(play()) == ["idle", "answered", "silent", "stuck"]


def test_a_body_without_end_is_refused_as_it_grows() -> None:
    parser, kind = fastcgi.FastCgiParser(), fastcgi.RecordType
    parser.buffer.feed(fastcgi.record(kind.BEGIN, 1, fastcgi.BEGIN_BODY.pack(1, 1)))
    parser.buffer.feed(fastcgi.record(kind.PARAMS, 1, b"") + fastcgi.record(kind.STDIN, 1, bytes(48_000)))
    assert not list(parser.messages())
    parser.buffer.feed(fastcgi.record(kind.STDIN, 1, b"x") * 2)
    (reply,) = parser.messages()
    assert isinstance(reply, fastcgi.FastCgiReply) and reply.last and b"413" in reply.data


def test_the_order_of_places_given_up() -> None:
    from onyxwick.net.connection_slots import HALF_REST_S, REST_S, ConnectionSlot, order

    def seat(**told: object) -> ConnectionSlot:
        fields = {
            "calls": 1,
            "owed": 0,
            "pending": 0,
            "half": False,
            "born": 0.0,
            "used_at": 10.0,
            "ending": False,
        }
        return ConnectionSlot(**{**fields, **told})  # type: ignore[arg-type]

    now = 10.0
    assert order(seat(), now) == (0, 10.0)  # answered this instant: it gives up its place all the same
    assert order(seat(owed=1), now) is None and order(seat(pending=5), now) is None
    assert order(seat(ending=True), now) is None
    assert order(seat(calls=0, born=now - REST_S / 2, used_at=now - REST_S / 2), now) is None  # just come
    assert order(seat(calls=0, born=now - REST_S, used_at=now - REST_S), now) == (1, now - REST_S)
    assert order(seat(calls=0, half=True, used_at=now - HALF_REST_S / 2), now) is None  # a slow writer
    assert order(seat(calls=0, half=True, used_at=now - HALF_REST_S), now) == (2, now - HALF_REST_S)


def test_connections_to_a_member_grow_with_the_share_that_a_director_coming_back_allows_itself() -> None:
    from onyxwick.net.cache_pool import LINKS_LEAST, CacheConnectionPool

    members, counters, share = EndpointTable(), Counters(), [0.2]
    caches = CacheConnectionPool(members, counters, 0, most_links=256, share=lambda: share[0])
    assert caches._most_each() == LINKS_LEAST
    share[0] = 1.0
    assert (
        caches._most_each() == 8
        and CacheConnectionPool(members, counters, 0, most_links=256)._most_each() == 8
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
        monkeypatch.setattr(EngineContext, "record_rejection", lambda _, *line: told.append(line[2]))
        sock = await ground.client()
        sock.send(call(1))
        await ground.read(sock, b"503")
        assert told == [client.number for client in ground.front.clients] != [-1]

    played(play)
