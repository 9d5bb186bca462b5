"""The coordinator's events: the list of members and purges, in order and without a gap."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections.abc import Callable, Iterable, Iterator
from functools import partial
from typing import Any

import ujson

from onyxwick import logs
from onyxwick.config.address import read_address
from onyxwick.core import RequestEngine
from onyxwick.core.backoff import BackoffPolicy, DoublingTimeout, ReconnectBackoff
from onyxwick.core.clock import FeedTimestamps
from onyxwick.counters import Counters
from onyxwick.interface import EndpointListKind, EndpointsChanged, Member, MemberState
from onyxwick.net.buffer import Buffer, readable, unread
from onyxwick.net.feed_race import SILENT_S, FeedRace

log = logs.get()
LINE_S = 10.0  # for a line whose bytes come without a pause: a whole list on a slow connection
GAP_TRIES = 4  # connections on which an event is missing before it is given up
APPLY_TRIES = 3  # of an event whose application fails; then it is passed over, as the feed must go on
FIRST_RETRY_US = (
    100_000  # the first wait after a failed or lost connection; the next ones doubled, drawn below
)
MAX_RETRY_US = 1_000_000  # a wait at most: with a connect and a silence, the feed is back well within 4 s
MAX_LINE = 4_194_304
TURN_S = 0.005  # of the loop for lines that came together: a long list has a turn of its own
CATCH_UP_S = 0.25  # for what was told while the process stood still
MOST_STEP_US = 86_400_000_000  # this machine's clock may be behind the feed's by so much
STATES = {"SERVING": MemberState.READY, "DRAINING": MemberState.DRAINING, "DELETED": MemberState.REMOVED}


def _read_member(row: dict[str, Any], stamps: FeedTimestamps, now: int) -> Member:
    name = str(row["id"])
    return Member(
        address=name,
        zone=str(row.get("zone", "")),
        kind=str(row.get("kind", "")),
        cell=int(row.get("cell") or 0),
        state=STATES[row["state"]],
        weight=float(row.get("weight") or 0),
        started_at_us=stamps.start_time_us(name, int(row.get("started_ms") or 0) * 1000, now),
    )


def read_members(
    told: dict[str, Any], stamps: FeedTimestamps, now: int, bad: Callable[[str], None]
) -> tuple[EndpointsChanged, dict[str, tuple[str, int]]]:
    """A change of the list, or all of it, with the addresses of all rows that are not gone. `now`: steady us.

    A row that cannot be read is passed over and told to `bad`; KeyError, TypeError or ValueError where the
    whole cannot be read.
    """
    members, addresses = list[Member](), dict[str, tuple[str, int]]()
    for row in told["servers"]:
        try:
            member = _read_member(row, stamps, now)
            address = None if member.state is MemberState.REMOVED else read_address(row["addr"])
        except (KeyError, ValueError, TypeError, AttributeError) as error:
            bad(f"row {str(row)[:64]}: {error!r}")
            continue
        members.append(member)
        if address is None:
            stamps.forget(member.address)
        else:
            addresses[member.address] = address
    kind = EndpointListKind.SNAPSHOT if told.get("full") else EndpointListKind.CHANGE
    if kind is EndpointListKind.SNAPSHOT:
        stamps.keep_only(set(addresses))
    return EndpointsChanged(kind, tuple(members), int(told.get("version") or 0)), addresses


def newest_stamp_us(events: Iterable[object], latest_us: int) -> int:
    """The newest stamp in events of the feed, in microseconds of its clock; 0 where there is none. What lies
    after `latest_us` is no stamp of a clock that was merely stepped."""
    newest_us = 0
    for event in events:
        with contextlib.suppress(KeyError, ValueError, TypeError, AttributeError):  # told by `apply`
            stamps_us = (stamp_ms * 1000 for stamp_ms in _stamps_ms(event))
            newest_us = max(newest_us, *(at_us for at_us in stamps_us if at_us <= latest_us), 0)
    return newest_us


def _stamps_ms(event: Any) -> Iterator[int]:
    yield int((event.get("evict") or {}).get("unix_ms") or 0)
    for row in (event.get("endpoints") or {}).get("servers") or ():
        yield int(row.get("started_ms") or 0)


class EventFailedError(OSError):
    """An event was read and could not be applied; the connection ends, and it is asked for again."""


class CoordinatorFeed:
    """Follows the coordinator's feed and hands its events to the core.

    `backoff` draws the waits between attempts (core/backoff.py), so that directors that lost the feed at once
    do not all reconnect together; `initial_delay_us` is waited before the first connection, where a director
    has what it needs to serve meanwhile and many may come back at once.
    """

    def __init__(self, core: RequestEngine, counters: Counters, seed: int = 0, directors: int = 1) -> None:
        self.core, self.counters = core, counters
        self.backoff = ReconnectBackoff(seed, core.now(), BackoffPolicy(max_delay_us=MAX_RETRY_US), directors)
        self.initial_delay_us = 0
        self.last = 0
        self.announced = 0  # the last number that a line named alone
        self.address = ("", 0)
        self.limit: asyncio.Timeout | None = None  # how long the connection under way may be silent
        self.sock: socket.socket | None = None  # of the connection that brings lines
        self.buffer, self.line_began = Buffer(), 0.0  # the latter in monotonic seconds
        core.guard.read_pending_feed = self.catch_up
        self.stamps = FeedTimestamps()
        self.race: FeedRace | None = None  # by which a connection is found
        self.line_patience = DoublingTimeout(LINE_S, 4)
        self.failed_tries = 0  # of the next event
        self.gaps = 0  # connections on which the event after the next one came instead
        self.beat: Callable[[], None] | None = None  # called with each line that the feed brings

    def known(self, known: dict[str, Any]) -> None:
        """What the configuration tells of the time before the start."""
        events = known.get("updates") or ()
        now = self.core.now()
        if newest_us := newest_stamp_us(events, now + MOST_STEP_US):
            self.stamps.anchor(newest_us, now)
        for event in events:
            for _ in range(APPLY_TRIES):
                with contextlib.suppress(EventFailedError):
                    self.apply(event)
                    break
        self.last = max(self.last, int(known.get("index") or 0))

    def apply(self, event: dict[str, Any]) -> None:
        """One event; one that cannot be read is counted and passed over, as waiting would not mend it.

        EventFailedError where applying it failed: it was not taken in, and is to be told again.
        """
        index = int(event["index"])
        if index <= self.last:
            return
        try:
            changes = self._changes(event)
        except (KeyError, ValueError, TypeError, AttributeError) as error:
            self.bad(f"event {index}: {error!r}")
            changes = []
        try:
            for change in changes:
                change()
        except Exception as error:
            self.counters.add("error.event")
            log.exception("error in an event of the coordinator", index=index)
            self.failed_tries += 1
            if self.failed_tries < APPLY_TRIES:
                raise EventFailedError(f"event {index} is to be told again") from error
        self.last, self.failed_tries = index, 0
        self.core.feed.record_feed_index(index)

    def _changes(self, event: dict[str, Any]) -> list[Callable[[], None]]:
        """What an event asks for; KeyError, ValueError, TypeError or AttributeError: it cannot be read."""
        changes: list[Callable[[], None]] = []
        if "endpoints" in event:
            read = read_members(event["endpoints"], self.stamps, self.core.now(), self.bad)
            changes.append(partial(self.core.feed.apply_endpoints, *read))
        if "evict" in event:
            evict = event["evict"]
            name = None if evict.get("ref") is None else str(evict["ref"])
            group = -1 if evict.get("shard") is None else int(evict["shard"])
            made = self.stamps.purge_time_us(int(evict["unix_ms"]) * 1000, self.core.now())
            changes.append(partial(self.core.feed.apply_purge, group, name, made))
        return changes

    def bad(self, text: str) -> None:
        self.counters.add("bad.coordinator")
        log.warning("bad input of the coordinator", detail=text)

    def line(self, text: bytes) -> None:
        try:
            told = ujson.loads(text)
            if isinstance(told, dict):
                self._must_follow(int(told["index"]))
                self.apply(told)
            elif isinstance(told, int):
                self._number(told)
            else:
                raise ValueError("neither a number nor an event")
        except (ValueError, KeyError, TypeError) as error:
            self.bad(f"{error!r} in {text[:64]!r}")

    def _must_follow(self, index: int) -> None:
        """Events that were left out, or came as lines that cannot be read, are asked for again on a new
        connection; OSError. What never comes whole is given up: the feed must get on."""
        if index <= self.last + 1:
            self.gaps = 0
            return
        self.gaps += 1
        if self.gaps < GAP_TRIES:
            raise OSError("events were left out")
        self.counters.add("error.gap")
        log.error("events never came whole and are given up", first=self.last + 1, next=index)
        self.gaps, self.last = 0, index - 1

    def _number(self, number: int) -> None:
        """The last number alone. Events that it counted a second ago and that never came are lost here."""
        if self.last < self.announced:
            raise OSError(f"event {self.announced} never came")
        self.announced = number
        if self.last >= number:
            self.stamps.mark_caught_up(self.core.now())

    def move(self, address: tuple[str, int]) -> None:
        """The feed is at another address from now on; its numbers go on from the last one had."""
        if address != self.address:
            self.address = address
            if self.limit is not None and not self.limit.expired():  # one that is up goes anyway
                self.limit.reschedule(asyncio.get_running_loop().time())

    async def follow(self) -> None:
        """Keep a connection to the feed until cancelled, wherever `move` has last said that it is."""
        await asyncio.sleep(self.initial_delay_us / 1e6)
        while True:
            try:
                await self._follow_once()
            except (OSError, TimeoutError) as error:
                self.counters.add("coordinator.lost")
                log.info("coordinator lost", error=repr(error), last=self.last)
            except Exception:
                self.counters.add("error.coordinator")
                log.exception("error in the coordinator's events")
            finally:
                self.limit = None
            await asyncio.sleep(self.backoff.next_delay_us(FIRST_RETRY_US) / 1e6)

    async def _follow_once(self) -> None:
        address = self.address
        self.announced, self.buffer = 0, Buffer()
        self.race = FeedRace(address, lambda: b"follow %d\n" % self.last)
        async with asyncio.timeout(None) as self.limit:
            sock = await self.race.run()
        with sock:
            self.sock, self.race = sock, None
            try:
                await self._read_lines(asyncio.get_running_loop(), sock, address)
            finally:
                self.sock = None

    async def _read_lines(
        self, loop: asyncio.AbstractEventLoop, sock: socket.socket, address: tuple[str, int]
    ) -> None:
        """Take in line after line; any bytes are progress, as a whole list may come slowly."""
        self.line_began = time.monotonic()
        while address == self.address:
            await self._bytes_or_silence(loop, sock)
            if address != self.address:
                break
            with contextlib.suppress(BlockingIOError):  # `catch_up` has taken it in
                if not self.buffer.receive_now(sock):
                    raise OSError("closed by the coordinator")
            while self._take_lines(TURN_S):
                await asyncio.sleep(0)  # others have their turn before the next line
            if len(self.buffer) > MAX_LINE:
                raise OSError("line too long")
            if not len(self.buffer):
                self.line_began = time.monotonic()
            elif time.monotonic() - self.line_began > self.line_patience.limit_s:
                self.line_patience.extend()
                raise OSError("a line takes too long")
        raise OSError("the feed has moved")

    async def _bytes_or_silence(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        """Wait for bytes; TimeoutError where none came. After a stop of the process the time is over at once,
        though what came meanwhile stands in the socket."""
        try:
            async with asyncio.timeout(SILENT_S) as self.limit:
                await readable(loop, sock)
        except TimeoutError:
            if not unread(sock):
                raise
        finally:
            self.limit = None  # what has ended can't be moved

    def _take_lines(self, most_s: float) -> bool:
        """Apply the whole lines received, for about so many seconds at most; are there more? OSError where
        the connection is of no more use."""
        end = time.monotonic() + most_s
        while (size := self.buffer.find(b"\n")) >= 0:
            if time.monotonic() > end:
                return True
            if line := self.buffer.take(size + 1).strip():
                self.line(line)
                if self.beat is not None:
                    self.beat()
                self.backoff.reset()
                self.line_patience.reset()
            self.line_began = time.monotonic()
        return False

    def catch_up(self) -> None:
        """Take in what stands in the feed's socket before its reader's turn, for `CATCH_UP_S` at most."""
        sock, end = self.sock, time.monotonic() + CATCH_UP_S
        if sock is None and self.race is not None:
            sock = self.race.first_readable()
        if sock is None:
            return
        try:
            while not self._take_lines(max(0.0, end - time.monotonic())) and time.monotonic() < end:
                if not self.buffer.receive_now(sock):
                    return  # the reader meets the end too
            return
        except BlockingIOError:
            return
        except OSError as error:
            log.warning("the feed's connection is given up", error=repr(error))
        except Exception:  # whoever is about to send is not to pay for it
            self.counters.add("error.coordinator")
            log.exception("error in the coordinator's events")
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)  # wakes the reader, which begins a new one
