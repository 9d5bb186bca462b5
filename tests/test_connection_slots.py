"""Which client connection is evicted for a new one."""

from __future__ import annotations

import asyncio
import socket

from onyxwick.core import RequestEngine
from onyxwick.core.endpoints import EndpointTable
from onyxwick.counters import Counters
from onyxwick.net.cache_pool import CacheConnectionPool
from onyxwick.net.connection_slots import (
    PARTIAL_CALL_GRACE_S,
    SILENT_GRACE_S,
    ConnectionSlot,
    eviction_rank,
)
from onyxwick.net.front import FastCgiFront
from onyxwick.net.front_connection import FrontConnection
from tests.router_harness import SETTINGS


def test_eviction_takes_answered_then_silent_then_stuck_connections_and_never_one_with_open_calls() -> None:
    async def scenario() -> list[str]:
        members, counters = EndpointTable(), Counters()
        core = RequestEngine(SETTINGS, 7, CacheConnectionPool(members, counters, 0), members, counters)
        front = FastCgiFront(core, counters, lambda: True, 3, 1_000_000)
        names = ("busy", "idle", "asking", "silent", "fresh", "stuck", "answered")
        clients = {}
        pairs = [socket.socketpair() for _ in names]
        evicted = list[str]()
        for name, pair in zip(names, pairs, strict=True):
            clients[name] = client = FrontConnection(front, pair[0])
            front.connections[client] = asyncio.get_running_loop().create_task(asyncio.sleep(60))
            client.complete_calls = int(name not in ("silent", "fresh", "stuck"))
        clients["busy"].open_calls[1] = None  # an open call
        pairs[2][1].send(b"x")  # unread bytes
        clients["stuck"].parser.buffer.append(b"\x01\x01")  # a partial record
        for age, name in enumerate(("silent", "idle", "asking", "busy", "stuck"), 1):
            clients[name].last_active_at_s -= age
            clients[name].opened_at_s -= age
        while front._evict_one():
            evicted += [name for name, c in clients.items() if c.is_closing and name not in evicted]
        for pair in pairs:
            pair[0].close()
            pair[1].close()
        return evicted

    # First the answered connections, the longest idle first, including one that was answered just now; then
    # the silent ones, but not the newest; then the one that is stuck in a partial call. A connection with an
    # open call or unread bytes is never evicted.
    assert asyncio.run(scenario()) == ["idle", "answered", "silent", "stuck"]


def test_the_order_of_eviction() -> None:
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
    assert eviction_rank(slot(), now_s) == (0, 10.0)  # may be evicted although it was answered just now
    assert eviction_rank(slot(open_calls=1), now_s) is None
    assert eviction_rank(slot(unwritten_bytes=5), now_s) is None
    assert eviction_rank(slot(is_closing=True), now_s) is None
    assert eviction_rank(silent(SILENT_GRACE_S / 2), now_s) is None
    assert eviction_rank(silent(SILENT_GRACE_S), now_s) == (1, now_s - SILENT_GRACE_S)
    assert eviction_rank(partial(PARTIAL_CALL_GRACE_S / 2), now_s) is None  # a client that writes slowly
    assert eviction_rank(partial(PARTIAL_CALL_GRACE_S), now_s) == (2, now_s - PARTIAL_CALL_GRACE_S)
