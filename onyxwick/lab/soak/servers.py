"""Emulated caches, parents and the origin of a soak: they record what they receive, and hang on request."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import cast
from weakref import WeakKeyDictionary

from onyxwick.config.address import Address
from onyxwick.lab.link import EmulatedLink
from onyxwick.lab.machines import Machine, World, reset
from onyxwick.lab.model import Tier
from onyxwick.lab.soak.hoarding import CacheHoard, hoarding_reply
from onyxwick.lab.soak.model import Sent, ServerWork, SoakRecords
from onyxwick.net import resp
from onyxwick.net.socket_state import seconds_since_received

S = 1_000_000
FORGOTTEN_OPEN_S = 8.0
"""A forgotten connection stays open for this time."""


class ConnectionLoss(Enum):
    """The ways in which a server ends its connections."""

    CLOSED = "closed"
    RESET = "reset"
    FORGOTTEN = "forgotten"  # no longer read, with no sign to the peer


class SoakServer(Machine):
    """A machine that only records what it receives; the oracle judges the records."""

    def __init__(
        self,
        world: World,
        name: str,
        kind: str,
        zone: str,
        tier: Tier,
        address: Address,
        records: SoakRecords,
    ) -> None:
        super().__init__(world, name, kind, zone, tier, address)
        self.soak = records
        # When the first bytes were received: `began` for the present command of each connection, `arrived`
        # for each command whose task has not run yet.
        self.began: WeakKeyDictionary[asyncio.StreamWriter, int] = WeakKeyDictionary()
        self.arrived: dict[str, int] = {}
        self.answering = asyncio.Event()
        self.answering.set()
        self.hoarding: CacheHoard | None = None  # replies begin like this and do not end

    def hang(self, hung: bool) -> None:
        """Stop answering with connections left open, or answer again."""
        if hung:
            self.answering.clear()
        else:
            self.answering.set()

    def end_connections(self, how: ConnectionLoss) -> None:
        """End all connections that are open now, idle or not. New ones are accepted."""
        loop = asyncio.get_running_loop()
        for writer in list(self.clients):
            if how is ConnectionLoss.CLOSED:
                writer.close()
            elif how is ConnectionLoss.RESET:
                reset(writer)
            else:
                cast("asyncio.Transport", writer.transport).pause_reading()
                loop.call_later(FORGOTTEN_OPEN_S, writer.transport.abort)

    def cold_start(self) -> None:
        """Make the link of this server cold from now on."""
        now = self.world.clock()
        self.link = EmulatedLink(self.tier, now, started=now)

    def _asked(self, work_us: float) -> None:
        now = self.world.clock()
        self.link.asked(now, work_us)
        self.soak.asked.append(ServerWork(now, self.name, work_us))

    def _command(
        self, words: list[bytes], writer: asyncio.StreamWriter, tasks: dict[bytes, asyncio.Task[None]]
    ) -> None:
        if words[0] == b"REQ" and self.hoarding is not None:
            writer.write(hoarding_reply(self.hoarding, words[1]))
            return
        if words[0] not in (b"STOP", b"HELO", b"STAT"):
            self.arrived[words[1].decode()] = self.began[writer]
        super()._command(words, writer, tasks)

    def _command_began(self, writer: asyncio.StreamWriter) -> None:
        # The lab may read some event-loop turns late. The director is judged by when the bytes were received.
        waited_s = seconds_since_received(writer.get_extra_info("socket")) or 0.0
        self.began[writer] = self.world.clock() - int(waited_s * S)

    async def _request(self, request: str, told: dict[str, str]) -> tuple[bytes, bytes, bytes]:
        now = self.world.clock()
        arrived = self.arrived.pop(request, now)
        accept = int(told.get("accept", "0")) * 1000
        sent = Sent(arrived, self.name, request, told.get("parent"), int(told.get("w", "0")) * 1000, accept)
        self.soak.sent.append(sent)
        await self.answering.wait()
        word, fields, body = await super()._request(request, told)
        if word == b"data":
            given = resp.parse_fields(fields)
            row = given["digest"], int(given["dated"]) * 1000, now
            self.soak.given.setdefault(request, []).append(row)
        await self.answering.wait()
        return word, fields, body
