"""Emulated caches, parents and the origin of a soak: they write down what comes, and hang when told."""

from __future__ import annotations

import asyncio

from onyxwick.config.address import Address
from onyxwick.lab.link import Link
from onyxwick.lab.machines import Machine, World
from onyxwick.lab.model import Tier
from onyxwick.lab.soak.model import Asked, Records, Sent
from onyxwick.net import resp


class SoakServer(Machine):
    """A machine that judges nothing: the oracle does, from what is written down here."""

    def __init__(
        self, world: World, name: str, kind: str, zone: str, tier: Tier, address: Address, records: Records
    ) -> None:
        super().__init__(world, name, kind, zone, tier, address)
        self.soak = records
        self.answering = asyncio.Event()
        self.answering.set()

    def hang(self, hung: bool) -> None:
        """Say nothing more, with connections open, or answer again."""
        if hung:
            self.answering.clear()
        else:
            self.answering.set()

    def cold_start(self) -> None:
        """Its link is cold from now on."""
        now = self.world.clock()
        self.link = Link(self.tier, now, started=now)

    def _asked(self, work_us: float) -> None:
        now = self.world.clock()
        self.link.asked(now, work_us)
        self.soak.asked.append(Asked(now, self.name, work_us))

    async def _request(self, request: str, told: dict[str, str]) -> tuple[bytes, bytes, bytes]:
        now = self.world.clock()
        accept = int(told.get("accept", "0")) * 1000
        sent = Sent(now, self.name, request, told.get("parent"), int(told.get("w", "0")) * 1000, accept)
        self.soak.sent.append(sent)
        await self.answering.wait()
        word, fields, body = await super()._request(request, told)
        if word == b"data":
            given = resp.fields(fields)
            row = given["digest"], int(given["dated"]) * 1000, now
            self.soak.given.setdefault(request, []).append(row)
        await self.answering.wait()
        return word, fields, body
