"""Emulators on loopback: boxes, parents and the origin, speaking the caches' protocol."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial

from onyxwick.config.address import Address
from onyxwick.lab.audit import Given, RecordedSend, Records
from onyxwick.lab.copies import Copy, CopyStore, Truth
from onyxwick.lab.link import EmulatedLink
from onyxwick.lab.model import ScenarioClass, Tier
from onyxwick.net import resp

FILL_PACE = 0.4  # of a request's sending time that a fill takes on the link of its source
COPIES = 20_000  # that one machine keeps


class FillFailedError(Exception):
    """A fill that came to nothing; the text is the note that the answer carries."""


@dataclass(frozen=True, slots=True)
class Ask:
    """What a fill asks its source for. `work_us`: of the source's link."""

    name: str
    part: int
    oldest_us: int
    held_only: bool
    work_us: float


class World:
    """What all machines of a run share: the clock, the truth, the records, and each other."""

    def __init__(self, jobs: dict[str, ScenarioClass], clock: Callable[[], int], groups: int) -> None:
        self.jobs, self.clock, self.groups = jobs, clock, groups
        self.truth, self.records = Truth(), Records()
        self.machines: dict[str, Machine] = {}

    def group(self, name: str) -> int:
        return int(name[-4:], 16) % self.groups

    async def carry(self, to: Machine, source: Machine, ask: Ask) -> Copy:
        """A fill from one machine to another; Unfilled tells why there is none."""
        return await source.give(ask)

    def worked(self, machine: Machine, work_us: float) -> None:
        """A transfer began at a machine's link; who measures use overrides this."""


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a reset, whatever is under way on it."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    writer.transport.abort()


class Machine:
    """One box, parent or origin: a listener, a link that its transfers share, and what it keeps."""

    def __init__(self, world: World, name: str, kind: str, zone: str, tier: Tier, address: Address) -> None:
        self.world, self.name, self.kind, self.zone = world, name, kind, zone
        self.tier, self.address = tier, address
        self.link, self.store = EmulatedLink(tier, world.clock()), CopyStore(COPIES)
        self.waiting: dict[int, asyncio.Future[None]] = {}
        self.joined: dict[tuple[str, int], asyncio.Future[Copy]] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.server: asyncio.Server | None = None
        self.clients: set[asyncio.StreamWriter] = set()
        self.hits = self.fills = 0
        self.connects: list[int] = []  # when each connection came, Unix microseconds

    # ---- life -------------------------------------------------------------------------------------------

    async def listen(self) -> None:
        self.server = await asyncio.start_server(self._client, *self.address)

    async def die(self) -> None:
        """The process ends: its connections are reset, its copies are gone."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.clients):
            reset(writer)
        for future in self.waiting.values():
            future.cancel()
        self.waiting.clear()
        self.store = CopyStore(COPIES)

    def slow_down(self, times: float) -> None:
        """Its link gives a part of what it did, from now on."""
        now = self.world.clock()
        self.link.advance(now)
        self.link.tier = replace(self.tier, capacity=self.tier.capacity / max(1.0, times))
        self._turn()

    async def restart(self) -> None:
        now = self.world.clock()
        self.link = EmulatedLink(self.tier, now, started=now)
        await self.listen()

    # ---- the link ---------------------------------------------------------------------------------------

    def _turn(self) -> None:
        """Let the link's time pass, wake who is done, and set the timer for the next one."""
        now = self.world.clock()
        for number in self.link.advance(now):
            future = self.waiting.pop(number, None)
            if future is not None and not future.done():
                future.set_result(None)
        if self.timer is not None:
            self.timer.cancel()
        end = self.link.next_end(now)
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later((end - now) / 1e6, self._turn) if end is not None else None

    async def transfer(self, work_us: float) -> None:
        self.link.advance(self.world.clock())
        number = self.link.begin(self.world.clock(), work_us)
        self.world.worked(self, work_us)
        future = self.waiting[number] = asyncio.get_running_loop().create_future()
        self._turn()
        try:
            await future
        finally:
            if self.waiting.pop(number, None) is not None:
                self.link.cancel(number)
                self._turn()

    def _asked(self, work_us: float) -> None:
        now = self.world.clock()
        if self.link.asked(now, work_us):
            self.world.records.fallen.append((self.name, now))
            asyncio.get_running_loop().create_task(self.die())

    # ---- copies -----------------------------------------------------------------------------------------

    async def give(self, ask: Ask) -> Copy:
        """A copy for another machine's fill. Unfilled tells why there is none."""
        if self.server is None:
            raise FillFailedError("UP_DOWN")
        self._asked(ask.work_us)
        copy = await self._own(ask)
        await self.transfer(ask.work_us)
        return copy

    async def _own(self, ask: Ask) -> Copy:
        now, world = self.world.clock(), self.world
        if self.kind == "origin":
            await asyncio.sleep(self.tier.wait_us / 1e6)
            return world.truth.copy(ask.name, ask.part, world.group(ask.name), world.clock())
        if copy := self.store.get(ask.name, ask.part, now, ask.oldest_us):
            return copy
        if ask.held_only or self.kind != "parent":
            raise FillFailedError("UP_MISS")
        copy = await world.carry(self, world.machines["origin"], replace(ask, held_only=False))
        self.store.keep(ask.name, ask.part, copy, 1)
        return copy

    async def _fill(
        self, name: str, part: int, oldest_us: int, told: dict[str, str], job: ScenarioClass
    ) -> Copy:
        source = self.world.machines.get(told["parent"])
        if source is None:
            raise FillFailedError("UP_DOWN")
        hints = told.get("hints", "").split("+")
        key, rank = (name, part), int(told.get("shelf", "0"))
        if "share" in hints and (under_way := self.joined.get(key)) is not None:
            return await asyncio.shield(under_way)
        future: asyncio.Future[Copy] = asyncio.get_running_loop().create_future()
        self.joined[key] = future
        future.add_done_callback(lambda done: done.cancelled() or done.exception())
        try:
            work = FILL_PACE * job.sending_us
            ask = Ask(name, part, oldest_us, "peek" in hints, work)
            copy = await self.world.carry(self, source, ask)
            self.fills += 1
            if rank:
                self.store.keep(name, part, copy, rank)
            future.set_result(copy)
            return copy
        except FillFailedError as error:
            future.set_exception(error)
            raise
        finally:
            if not future.done():
                future.cancel()
            if self.joined.get(key) is future:
                del self.joined[key]

    # ---- the wire ---------------------------------------------------------------------------------------

    async def _client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.clients.add(writer)
        self.connects.append(self.world.clock())
        parser, tasks = resp.RespParser(), dict[bytes, asyncio.Task[None]]()
        try:
            while data := await reader.read(65_536):
                if not len(parser.buffer):
                    self._command_began(writer)
                parser.buffer.append(data)
                for words in parser.messages():
                    self._command(words, writer, tasks)
                    self._command_began(writer)  # another one may have begun in the same bytes
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            for task in tasks.values():
                task.cancel()
            self.clients.discard(writer)
            writer.close()

    def _command_began(self, writer: asyncio.StreamWriter) -> None:
        """The first bytes of a command have come; who judges by that overrides this."""

    def _command(
        self, words: list[bytes], writer: asyncio.StreamWriter, tasks: dict[bytes, asyncio.Task[None]]
    ) -> None:
        if words[0] == b"STOP":
            if task := tasks.pop(words[1], None):
                task.cancel()
        elif words[0] in (b"HELO", b"STAT"):
            writer.write(resp.encode_command(words[1], b"well", b"-", b""))
        else:
            task = asyncio.get_running_loop().create_task(self._guarded(words, writer))
            tasks[words[1]] = task
            task.add_done_callback(partial(_forget, tasks, words[1]))

    async def _guarded(self, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        answer = await self._request(words[1].decode(), resp.parse_fields(words[2]))
        if not writer.is_closing():
            writer.write(resp.encode_command(words[1], *answer))

    async def _request(self, request: str, told: dict[str, str]) -> tuple[bytes, bytes, bytes]:
        world, now = self.world, self.world.clock()
        job = world.jobs[told["c"]]
        world.records.sends.append(RecordedSend(now, self.name, request, told.get("parent")))
        self._asked(job.sending_us)
        if job.kind.is_write:
            return await self._write(request, job)
        name, part = told["k"], int(told["p"])
        oldest = int(told.get("accept", "0")) * 1000 or job.kind.freshness_lifetime_us
        note, copy = "HIT", self.store.get(name, part, now, oldest)
        if self.kind == "origin":
            copy = await self._own(Ask(name, part, oldest, False, 0))
        if copy is None and "parent" not in told:
            return b"absent", b"-", b""
        if copy is None:
            try:
                copy, note = await self._fill(name, part, oldest, told, job), "MISS"
            except FillFailedError as error:
                word = b"absent" if str(error) == "UP_MISS" else b"failed"
                return word, f"note={error}".encode(), b""
            waited = (world.clock() - now) / 1000
        else:
            self.hits += 1
            waited = 0.0
        await self.transfer(job.sending_us)
        world.records.given.append(Given(request, copy.tag, copy.dated_us, now))
        fields = f"digest={copy.tag},dated={copy.dated_us // 1000},note={note},first={waited:.1f}"
        return b"data", fields.encode(), copy.tag.encode().ljust(job.bytes, b".")

    async def _write(self, request: str, job: ScenarioClass) -> tuple[bytes, bytes, bytes]:
        """A write runs at the origin, and is recorded as soon as it may have run."""
        origin = self.world.machines["origin"]
        await asyncio.sleep(origin.tier.wait_us / 1e6)
        self.world.records.ran.append(request)
        await origin.transfer(job.sending_us)
        now = self.world.clock()
        tag = f"w{request}"
        self.world.records.given.append(Given(request, tag, now, now))
        return b"data", f"digest={tag},dated={now // 1000},note=MISS_ORIGIN".encode(), b"done"


def _forget(tasks: dict[bytes, asyncio.Task[None]], request: bytes, done: asyncio.Task[None]) -> None:
    if tasks.get(request) is done:
        del tasks[request]


class CoordinatorEmulator:
    """The feed: numbered events, and the last number each second."""

    def __init__(self, address: Address, clock: Callable[[], int]) -> None:
        self.address, self.clock = address, clock
        self.connects: list[int] = []  # when each connection came, Unix microseconds
        self.events: list[bytes] = []
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.clients: set[asyncio.Task[None]] = set()
        self.writers: set[asyncio.StreamWriter] = set()

    def tell(self, line: bytes) -> None:
        self.events.append(line)
        self.changed.set()
        self.changed = asyncio.Event()

    def interject(self, line: bytes) -> None:
        """Send a line that is no event on each open connection."""
        for writer in self.writers:
            if not writer.is_closing():
                writer.write(line)

    async def listen(self) -> None:
        self.server = await asyncio.start_server(self._client, *self.address)

    async def mute(self) -> None:
        """Out of reach: nothing is heard of it, and nobody gets through."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for task in list(self.clients):
            task.cancel()

    async def _client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.clients.add(task)
        self.connects.append(self.clock())
        self.writers.add(writer)
        try:
            await self._feed(reader, writer)
        finally:
            self.clients.discard(task)
            self.writers.discard(writer)
            writer.transport.abort()

    def last_index_line(self) -> bytes:
        """Return the line with the last index alone."""
        return b'{"index":%d}\n' % len(self.events)

    async def begin(self, writer: asyncio.StreamWriter, last: int) -> int:
        """Begin a connection whose director has the events up to `last`; return up to which it has them."""
        return last

    async def send(self, writer: asyncio.StreamWriter, events: list[bytes]) -> None:
        """Send events that are next on a connection."""
        writer.writelines(events)

    async def _feed(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # RuntimeError: a write after the director's end closed the transport (uvloop's way to say so).
        ended = (ConnectionError, ValueError, IndexError, RuntimeError, asyncio.CancelledError)
        with contextlib.suppress(*ended):
            last = int((await reader.readline()).split()[1])
            last = await self.begin(writer, last)
            while True:
                changed = self.changed
                events = self.events[last:]
                await self.send(writer, events)
                last += len(events)
                writer.write(self.last_index_line())
                await writer.drain()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(changed.wait(), 1.0)
