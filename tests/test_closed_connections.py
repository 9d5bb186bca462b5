"""A closed connection releases its memory at once, without a collection of reference cycles."""

from __future__ import annotations

import asyncio
import gc
import weakref
from collections.abc import Awaitable, Callable

import pytest

from onyxwick.net.cache_connection import CacheConnection
from onyxwick.net.front_connection import FrontConnection
from tests.director_harness import (
    DirectorHarness,
    encode_call,
    encode_reply,
    end_client,
    forward_arrivals_to,
    run_scenario,
)

Ending = Callable[[DirectorHarness], Awaitable[None]]


async def _answered(harness: DirectorHarness) -> None:
    cache = harness.add_cache("c0")
    forward_arrivals_to(harness, "c0")
    client = await harness.connect_client()
    client.send(encode_call(1))
    conn = await harness.accept(cache)
    await harness.read_until(conn, b"$0\r\n\r\n")
    conn.send(encode_reply(f"{1:016x}"))
    await harness.read_until(client, b"walk")
    conn.close()
    client.close()


async def _partial(harness: DirectorHarness) -> None:
    client = await harness.connect_client()
    client.send(encode_call(1)[:-8])
    await harness.wait_until(lambda: any(each.parser.partial for each in harness.front.connections))
    client.close()


async def _reset(harness: DirectorHarness) -> None:
    client = await harness.connect_client()
    client.send(encode_call(1)[:-8])
    await harness.wait_until(lambda: any(each.parser.partial for each in harness.front.connections))
    end_client(client, "reset")


async def _invalid(harness: DirectorHarness) -> None:
    client = await harness.connect_client()
    client.send(b"\xc1" * 64)
    await harness.wait_until(lambda: harness.counters.counts["bad.client"])
    client.close()


# Guards against: memory of closed connections that is kept until cycles of references are collected.
@pytest.mark.parametrize("end", [_answered, _partial, _reset, _invalid])
def test_a_closed_connection_is_freed_without_a_collection(
    end: Ending, monkeypatch: pytest.MonkeyPatch
) -> None:
    opened = list[weakref.ref[object]]()
    for kind in (FrontConnection, CacheConnection):
        close = "_close" if kind is FrontConnection else "_on_closed"
        original = getattr(kind, close)

        def remember(self: object, *args: object, original: Callable[..., None] = original) -> None:
            opened.append(weakref.ref(self))
            original(self, *args)

        monkeypatch.setattr(kind, close, remember)

    async def scenario(harness: DirectorHarness) -> None:
        gc.collect()
        gc.disable()
        try:
            await end(harness)
            await harness.wait_until(lambda: opened and not harness.front.connections)
            await harness.wait_until(lambda: not harness.caches.connections)
            await asyncio.sleep(0.1)
            assert [ref() for ref in opened if ref() is not None] == []
        finally:
            gc.enable()

    run_scenario(scenario)
