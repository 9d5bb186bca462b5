"""The race for a connection to the feed: slow, silent and refused connections."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from contextlib import ExitStack
from typing import Any

import pytest
import uvloop

from onyxwick.net import feed_race
from onyxwick.net.feed_race import FeedRace, PendingConnection

SILENCE_S = 0.3
GREETING = b"follow 7\n"


@pytest.fixture(autouse=True)
def _short_limits(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(feed_race, "FIRST_LINE_LIMIT_S", SILENCE_S)
    monkeypatch.setattr(feed_race, "CONNECT_LIMIT_S", SILENCE_S / 2)


class StubFeed:
    """A listener whose accepted connections the tests write to."""

    def __init__(self) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.setblocking(False)
        self.race = FeedRace(self.sock.getsockname(), lambda: GREETING)
        self.opened: list[socket.socket] = []

    async def accepted(self) -> socket.socket:
        loop = asyncio.get_running_loop()
        conn, _ = await loop.sock_accept(self.sock)
        self.opened.append(conn)
        assert await loop.sock_recv(conn, 64) == GREETING
        return conn

    def close(self) -> None:
        for sock in (self.sock, *self.opened):
            sock.close()


async def _is_closed(conn: socket.socket) -> bool:
    with contextlib.suppress(ConnectionResetError):
        return await asyncio.get_running_loop().sock_recv(conn, 64) == b""
    return True


def test_a_slow_connection_wins_although_others_were_tried() -> None:
    async def play() -> None:
        feed, loop = StubFeed(), asyncio.get_running_loop()
        race = loop.create_task(feed.race.run())
        slow, other = await feed.accepted(), await feed.accepted()
        await loop.sock_sendall(slow, b"7\n")
        with await race as winner:
            assert winner.getpeername() == feed.sock.getsockname()
            assert winner.getsockname() == slow.getpeername()
            assert winner.recv(64) == b"7\n"  # the race has not read any of the bytes
        assert await _is_closed(other)
        feed.close()

    uvloop.run(asyncio.wait_for(play(), 20 * SILENCE_S))


def test_silent_connections_cost_one_wait_each_and_are_bounded() -> None:
    async def play() -> None:
        feed, loop = StubFeed(), asyncio.get_running_loop()
        started_s = time.monotonic()
        race = loop.create_task(feed.race.run())
        silent = [await feed.accepted() for _ in range(feed_race.MAX_CONCURRENT_CONNECTIONS)]
        last = await feed.accepted()
        assert time.monotonic() - started_s < (feed_race.MAX_CONCURRENT_CONNECTIONS + 1.5) * SILENCE_S
        assert await _is_closed(silent[0])  # the oldest was stopped
        assert len(feed.race.attempts) <= feed_race.MAX_CONCURRENT_CONNECTIONS
        await loop.sock_sendall(last, b"7\n")
        (await race).close()
        for conn in silent[1:]:
            assert await _is_closed(conn)
        feed.close()

    uvloop.run(asyncio.wait_for(play(), 40 * SILENCE_S))


def test_refused_connects_beside_a_silent_one_are_not_retried_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    started = 0

    async def play() -> None:
        feed, loop = StubFeed(), asyncio.get_running_loop()
        race = loop.create_task(feed.race.run())
        silent = await feed.accepted()
        feed.sock.close()  # connects are refused from now on
        await asyncio.sleep(3 * SILENCE_S)
        await loop.sock_sendall(silent, b"7\n")
        (await race).close()
        feed.close()

    class CountingConnection(PendingConnection):
        def __init__(self, *arguments: Any) -> None:
            nonlocal started
            started += 1
            super().__init__(*arguments)

    monkeypatch.setattr(feed_race, "PendingConnection", CountingConnection)
    uvloop.run(asyncio.wait_for(play(), 40 * SILENCE_S))
    assert 2 <= started <= 7


def test_the_error_of_the_last_connection_is_raised_where_none_is_left() -> None:
    async def play() -> None:
        feed = StubFeed()
        feed.sock.close()
        with pytest.raises(ConnectionRefusedError):
            await feed.race.run()

    uvloop.run(asyncio.wait_for(play(), 20 * SILENCE_S))


def test_a_winner_read_before_the_end_of_the_race_stays_the_winner() -> None:
    async def play() -> None:
        feed, loop = StubFeed(), asyncio.get_running_loop()
        race = loop.create_task(feed.race.run())
        first, second = await feed.accepted(), await feed.accepted()
        second.send(b"7\n")
        time.sleep(0.01)  # the race has not run its next check yet
        chosen = feed.race.first_readable()
        assert chosen is not None and chosen.recv(64) == b"7\n"
        first.send(b"7\n")
        with await race as winner:
            assert winner is chosen
        assert await _is_closed(first)
        feed.close()

    uvloop.run(asyncio.wait_for(play(), 20 * SILENCE_S))


def test_the_winner_is_closed_when_the_race_is_cancelled() -> None:
    async def play() -> None:
        feed, loop = StubFeed(), asyncio.get_running_loop()
        race = loop.create_task(feed.race.run())
        conn = await feed.accepted()
        conn.send(b"7\n")
        time.sleep(0.01)
        chosen = feed.race.first_readable()
        race.cancel()
        await asyncio.gather(race, return_exceptions=True)
        assert chosen is not None and chosen.fileno() < 0
        feed.close()

    uvloop.run(asyncio.wait_for(play(), 20 * SILENCE_S))


# Guards against: connection requests that a full queue dropped are waited for until the system repeats them.
def test_a_coordinator_whose_queue_was_full_is_joined_soon_after_it_has_room(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(feed_race, "CONNECT_LIMIT_S", 0.8)
    drain_grace_s = 0.5

    async def play() -> None:
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0), backlog=0) as listener, ExitStack() as fillers:
            listener.setblocking(False)
            for _ in range(4):
                filler = fillers.enter_context(socket.socket())
                filler.setblocking(False)
                with contextlib.suppress(BlockingIOError):
                    filler.connect(listener.getsockname())
            race = loop.create_task(FeedRace(listener.getsockname(), lambda: GREETING).run())
            await asyncio.sleep(1.05)  # the first request was just repeated, and dropped again
            assert not race.done()
            listener.listen(64)
            freed_s = time.monotonic()
            while True:
                connection, _ = await loop.sock_accept(listener)
                fillers.enter_context(connection)
                if await _first_bytes(connection) == GREETING:
                    break
            connection.send(b"7\n")
            (await race).close()
            assert time.monotonic() - freed_s < drain_grace_s

    uvloop.run(asyncio.wait_for(play(), 10))


async def _first_bytes(connection: socket.socket) -> bytes:
    """Return what a connection sends at once; empty if it sends nothing."""
    try:
        async with asyncio.timeout(0.02):
            return await asyncio.get_running_loop().sock_recv(connection, 64)
    except TimeoutError:
        return b""
