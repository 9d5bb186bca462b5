"""Emulated caches, parents and the origin of a soak: they write down what comes, and hang when told."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import cast
from weakref import WeakKeyDictionary

from onyxwick.config.address import Address
from onyxwick.lab.link import EmulatedLink
from onyxwick.lab.machines import Machine, World, reset
from onyxwick.lab.model import Tier
from onyxwick.lab.soak.model import Asked, Sent, SoakRecords
from onyxwick.net import resp
from onyxwick.net.socket_state import seconds_since_received

S = 1_000_000
FORGOTTEN_S = 8.0
"""A connection that was forgotten stays open so long."""


class ConnectionLoss(Enum):
    """How a server ends its connections."""

    CLOSED = "closed"
    RESET = "reset"
    FORGOTTEN = "forgotten"  # nothing is read any more, and nobody is told


class SoakServer(Machine):
    """A machine that judges nothing: the oracle does, from what is written down here."""

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
        # When the first bytes came of the command that a connection is at, and of those whose task is to run.
        self.began: WeakKeyDictionary[asyncio.StreamWriter, int] = WeakKeyDictionary()
        self.arrived: dict[str, int] = {}
        self.answering = asyncio.Event()
        self.answering.set()

    def hang(self, hung: bool) -> None:
        """Say nothing more, with connections open, or answer again."""
        if hung:
            self.answering.clear()
        else:
            self.answering.set()

    def end_connections(self, how: ConnectionLoss) -> None:
        """All that are open now, at rest or not; new ones come up."""
        loop = asyncio.get_running_loop()
        for writer in list(self.clients):
            if how is ConnectionLoss.CLOSED:
                writer.close()
            elif how is ConnectionLoss.RESET:
                reset(writer)
            else:
                cast("asyncio.Transport", writer.transport).pause_reading()
                loop.call_later(FORGOTTEN_S, writer.transport.abort)

    def cold_start(self) -> None:
        """Its link is cold from now on."""
        now = self.world.clock()
        self.link = EmulatedLink(self.tier, now, started=now)

    def _asked(self, work_us: float) -> None:
        now = self.world.clock()
        self.link.asked(now, work_us)
        self.soak.asked.append(Asked(now, self.name, work_us))

    def _command(
        self, words: list[bytes], writer: asyncio.StreamWriter, tasks: dict[bytes, asyncio.Task[None]]
    ) -> None:
        if words[0] not in (b"STOP", b"HELO", b"STAT"):
            self.arrived[words[1].decode()] = self.began[writer]
        super()._command(words, writer, tasks)

    def _command_began(self, writer: asyncio.StreamWriter) -> None:
        # The lab may be some turns late in reading: when the bytes came is what the director is judged by.
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
