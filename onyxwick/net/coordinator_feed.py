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
from onyxwick.core.clock import FeedStamps
from onyxwick.core.pacing import BackoffPolicy, DoublingTimeout, ReconnectBackoff
from onyxwick.counters import Counters
from onyxwick.interface import EndpointListKind, EndpointsChanged, Member, MemberState
from onyxwick.net.buffer import ReceiveBuffer
from onyxwick.net.feed_race import SILENCE_LIMIT_S, FeedRace
from onyxwick.net.socket_state import unread_bytes, wait_readable

log = logs.get()
LINE_LIMIT_S = 10.0  # for a line whose bytes come without a pause: a whole list on a slow connection
MAX_GAP_CONNECTIONS = 4  # connections on which an event is missing before it is given up
MAX_APPLY_ATTEMPTS = 3  # of an event whose application fails; then it is passed over, as the feed must go on
FIRST_RETRY_US = (
    100_000  # the first wait after a failed or lost connection; the next ones doubled, drawn below
)
MAX_RETRY_US = 1_000_000  # a wait at most: with a connect and a silence, the feed is back well within 4 s
MAX_LINE_BYTES = 4_194_304
LINES_PER_TURN_S = 0.005  # of the loop for lines that came together: a long list has a turn of its own
CATCH_UP_LIMIT_S = 0.25  # for what was told while the process stood still
MAX_CLOCK_STEP_US = 86_400_000_000  # this machine's clock may be behind the feed's by so much
MEMBER_STATES = {
    "SERVING": MemberState.READY,
    "DRAINING": MemberState.DRAINING,
    "DELETED": MemberState.REMOVED,
}


def _read_member(row: dict[str, Any], stamps: FeedStamps, now: int) -> Member:
    name = str(row["id"])
    return Member(
        address=name,
        zone=str(row.get("zone", "")),
        kind=str(row.get("kind", "")),
        cell=int(row.get("cell") or 0),
        state=MEMBER_STATES[row["state"]],
        weight=float(row.get("weight") or 0),
        started_at_us=stamps.start(name, int(row.get("started_ms") or 0) * 1000, now),
    )


def read_members(
    document: dict[str, Any], stamps: FeedStamps, now_us: int, report_bad_input: Callable[[str], None]
) -> tuple[EndpointsChanged, dict[str, tuple[str, int]]]:
    """A change of the list, or all of it, with the addresses of all rows that are not gone. `now`: steady us.

    A row that cannot be read is passed over and told to `bad`; KeyError, TypeError or ValueError where the
    whole cannot be read.
    """
    members, addresses = list[Member](), dict[str, tuple[str, int]]()
    for row in document["servers"]:
        try:
            member = _read_member(row, stamps, now_us)
            address = None if member.state is MemberState.REMOVED else read_address(row["addr"])
        except (KeyError, ValueError, TypeError, AttributeError) as error:
            report_bad_input(f"row {str(row)[:64]}: {error!r}")
            continue
        members.append(member)
        if address is None:
            stamps.forget(member.address)
        else:
            addresses[member.address] = address
    kind = EndpointListKind.SNAPSHOT if document.get("full") else EndpointListKind.CHANGE
    if kind is EndpointListKind.SNAPSHOT:
        stamps.keep_only(set(addresses))
    return EndpointsChanged(kind, tuple(members), int(document.get("version") or 0)), addresses


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

    `backoff` draws the waits between attempts (core/pacing.py), so that directors that lost the feed together
    do not all reconnect together; `initial_delay_us` is waited before the first connection, where a director
    has what it needs to serve meanwhile and many may come back at once.
    """

    def __init__(self, core: RequestEngine, counters: Counters, seed: int = 0, directors: int = 1) -> None:
        self.core, self.counters = core, counters
        self.backoff = ReconnectBackoff(seed, core.now(), BackoffPolicy(max_delay_us=MAX_RETRY_US), directors)
        self.initial_delay_us = 0
        self.last_index = 0
        self.announced_index = 0  # the last number that a line named alone
        self.address = ("", 0)
        self._silence_limit: asyncio.Timeout | None = None  # how long the connection under way may be silent
        self.sock: socket.socket | None = None  # of the connection that brings lines
        self.buffer, self.line_began_s = ReceiveBuffer(), 0.0  # the latter in monotonic seconds
        core.guard.catch_up = self.catch_up
        self.stamps = FeedStamps()
        self.race: FeedRace | None = None  # by which a connection is found
        self.line_limit = DoublingTimeout(LINE_LIMIT_S, 4)
        self.apply_failures = 0  # of the next event
        self.gap_connections = 0  # connections on which the event after the next one came instead
        self.on_line: Callable[[], None] | None = None  # called with each line that the feed brings

    def load_configured(self, known: dict[str, Any]) -> None:
        """What the configuration tells of the time before the start."""
        events = known.get("updates") or ()
        now = self.core.now()
        if newest_us := newest_stamp_us(events, now + MAX_CLOCK_STEP_US):
            self.stamps.begin(newest_us, now)
        for event in events:
            for _ in range(MAX_APPLY_ATTEMPTS):
                with contextlib.suppress(EventFailedError):
                    self.apply(event)
                    break
        self.last_index = max(self.last_index, int(known.get("index") or 0))

    def apply(self, event: dict[str, Any]) -> None:
        """One event; one that cannot be read is counted and passed over, as waiting would not mend it.

        EventFailedError where applying it failed: it was not taken in, and is to be told again.
        """
        index = int(event["index"])
        if index <= self.last_index:
            return
        try:
            changes = self._changes(event)
        except (KeyError, ValueError, TypeError, AttributeError) as error:
            self.report_bad_input(f"event {index}: {error!r}")
            changes = []
        try:
            for change in changes:
                change()
        except Exception as error:
            self.counters.add("error.event")
            log.exception("error in an event of the coordinator", index=index)
            self.apply_failures += 1
            if self.apply_failures < MAX_APPLY_ATTEMPTS:
                raise EventFailedError(f"event {index} is to be told again") from error
        self.last_index, self.apply_failures = index, 0
        self.core.feed_observed(index)

    def _changes(self, event: dict[str, Any]) -> list[Callable[[], None]]:
        """What an event asks for; KeyError, ValueError, TypeError or AttributeError: it cannot be read."""
        changes: list[Callable[[], None]] = []
        if "endpoints" in event:
            read = read_members(event["endpoints"], self.stamps, self.core.now(), self.report_bad_input)
            changes.append(partial(self.core.list_changed, *read))
        if "evict" in event:
            evict = event["evict"]
            name = None if evict.get("ref") is None else str(evict["ref"])
            group = -1 if evict.get("shard") is None else int(evict["shard"])
            made = self.stamps.purge(int(evict["unix_ms"]) * 1000, self.core.now())
            changes.append(partial(self.core.purged, group, name, made))
        return changes

    def report_bad_input(self, text: str) -> None:
        self.counters.add("bad.coordinator")
        log.warning("bad input of the coordinator", detail=text)

    def handle_line(self, text: bytes) -> None:
        try:
            told = ujson.loads(text)
            if isinstance(told, dict):
                self._check_sequence(int(told["index"]))
                self.apply(told)
            elif isinstance(told, int):
                self._on_announced_index(told)
            else:
                raise ValueError("neither a number nor an event")
        except (ValueError, KeyError, TypeError) as error:
            self.report_bad_input(f"{error!r} in {text[:64]!r}")

    def _check_sequence(self, index: int) -> None:
        """Events that were left out, or came as lines that cannot be read, are asked for again on a new
        connection; OSError. What never comes whole is given up: the feed must get on."""
        if index <= self.last_index + 1:
            self.gap_connections = 0
            return
        self.gap_connections += 1
        if self.gap_connections < MAX_GAP_CONNECTIONS:
            raise OSError("events were left out")
        self.counters.add("error.gap")
        log.error("events never came whole and are given up", first=self.last_index + 1, next=index)
        self.gap_connections, self.last_index = 0, index - 1

    def _on_announced_index(self, number: int) -> None:
        """The last number alone. Events that it counted a second ago and that never came are lost here."""
        if self.last_index < self.announced_index:
            raise OSError(f"event {self.announced_index} never came")
        self.announced_index = number
        if self.last_index >= number:
            self.stamps.caught_up(self.core.now())

    def set_address(self, address: tuple[str, int]) -> None:
        """The feed is at another address from now on; its numbers go on from the last one had."""
        if address != self.address:
            self.address = address
            if (
                self._silence_limit is not None and not self._silence_limit.expired()
            ):  # one that is up goes anyway
                self._silence_limit.reschedule(asyncio.get_running_loop().time())

    async def follow(self) -> None:
        """Keep a connection to the feed until cancelled, wherever `move` has last said that it is."""
        await asyncio.sleep(self.initial_delay_us / 1e6)
        while True:
            try:
                await self._follow_once()
            except (OSError, TimeoutError) as error:
                self.counters.add("coordinator.lost")
                log.info("coordinator lost", error=repr(error), last=self.last_index)
            except Exception:
                self.counters.add("error.coordinator")
                log.exception("error in the coordinator's events")
            finally:
                self._silence_limit = None
            await asyncio.sleep(self.backoff.next_delay_us(FIRST_RETRY_US) / 1e6)

    async def _follow_once(self) -> None:
        address = self.address
        self.announced_index, self.buffer = 0, ReceiveBuffer()
        self.race = FeedRace(address, lambda: b"follow %d\n" % self.last_index)
        async with asyncio.timeout(None) as self._silence_limit:
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
        self.line_began_s = time.monotonic()
        while address == self.address:
            await self._wait_for_bytes(loop, sock)
            if address != self.address:
                break
            with contextlib.suppress(BlockingIOError):  # `catch_up` has taken it in
                if not self.buffer.receive_available(sock):
                    raise OSError("closed by the coordinator")
            while self._handle_lines(LINES_PER_TURN_S):
                await asyncio.sleep(0)  # others have their turn before the next line
            if len(self.buffer) > MAX_LINE_BYTES:
                raise OSError("line too long")
            if not len(self.buffer):
                self.line_began_s = time.monotonic()
            elif time.monotonic() - self.line_began_s > self.line_limit.limit_s:
                self.line_limit.extend()
                raise OSError("a line takes too long")
        raise OSError("the feed has moved")

    async def _wait_for_bytes(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        """Wait for bytes; TimeoutError where none came. After a stop of the process the time is over at once,
        though what came meanwhile stands in the socket."""
        try:
            async with asyncio.timeout(SILENCE_LIMIT_S) as self._silence_limit:
                await wait_readable(loop, sock)
        except TimeoutError:
            if not unread_bytes(sock):
                raise
        finally:
            self._silence_limit = None  # what has ended can't be moved

    def _handle_lines(self, most_s: float) -> bool:
        """Apply the whole lines received, for about so many seconds at most; are there more? OSError where
        the connection is of no more use."""
        end = time.monotonic() + most_s
        while (size := self.buffer.find(b"\n")) >= 0:
            if time.monotonic() > end:
                return True
            if line := self.buffer.take(size + 1).strip():
                self.handle_line(line)
                if self.on_line is not None:
                    self.on_line()
                self.backoff.reset()
                self.line_limit.reset()
            self.line_began_s = time.monotonic()
        return False

    def catch_up(self) -> None:
        """Take in what stands in the feed's socket before its reader's turn, for `CATCH_UP_S` at most."""
        sock, end = self.sock, time.monotonic() + CATCH_UP_LIMIT_S
        if sock is None and self.race is not None:
            sock = self.race.first_readable()
        if sock is None:
            return
        try:
            while not self._handle_lines(max(0.0, end - time.monotonic())) and time.monotonic() < end:
                if not self.buffer.receive_available(sock):
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
