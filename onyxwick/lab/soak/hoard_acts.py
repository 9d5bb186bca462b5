"""Faults that make directors hold memory: clients, caches and feeds that begin much and finish nothing."""

from __future__ import annotations

import asyncio
import contextlib
from functools import lru_cache

from onyxwick.config.address import Address
from onyxwick.lab.soak.ground import FaultState, SoakEnvironment
from onyxwick.lab.soak.hoarding import CacheHoard, ClientHoard, hoarding_input
from onyxwick.lab.soak.plan import SoakFault, choose
from onyxwick.lab.soak.process import SoakDirector

HOARDERS = 64
"""Connections of one fault, each of which holds up to 1.5 MB of partial requests."""
HOARDERS_BY_KIND = {ClientHoard.ABORTS: 4, ClientHoard.TOO_LONG: 4, ClientHoard.PINGS: 16}
"""Kinds that take processor time more than memory."""
PIECE_BYTES = 60_000
REST_S = 0.05
"""Between two connections of one client that hoards."""
LONG_LINE_VALUES = 1_000_000
OUT_OF_RANGE_LINES = (b"1e999\n", b'{"index":1e999}\n', b"9" * 400 + b"\n", b"[" * 900 + b"\n")


@lru_cache(maxsize=len(ClientHoard))
def _input(kind: ClientHoard) -> bytes:
    return hoarding_input(kind)


@lru_cache
def _long_list(value: bytes) -> bytes:
    return b"[" + b",".join([value] * LONG_LINE_VALUES) + b"]"


def prepare() -> None:
    """Make the inputs that take long to make, before a run begins to judge times."""
    for kind in ClientHoard:
        _input(kind)


class HoardActions:
    """Plays the faults that hold memory."""

    def __init__(self, soak: SoakEnvironment, state: FaultState) -> None:
        self.soak = soak
        self.state = state

    async def clients(self, fault: SoakFault, director: SoakDirector) -> None:
        """Have many clients send what a kind of hoarding sends, again and again on new connections."""
        kind = choose(fault, tuple(ClientHoard))
        count = HOARDERS_BY_KIND.get(kind, HOARDERS)
        loop = asyncio.get_running_loop()
        tasks = [loop.create_task(self._hoard(director, _input(kind))) for _ in range(count)]
        try:
            await asyncio.sleep(fault.for_s)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _hoard(self, director: SoakDirector, data: bytes) -> None:
        """Hoard on one connection after the other. As the other extra clients, one begins none while each
        transfer moves a single byte."""
        while True:
            if director.takes_connections and not director.transfers_single_bytes:
                with contextlib.suppress(OSError):
                    await self._send_and_hold(director.listen, data)
            await asyncio.sleep(REST_S)

    async def _send_and_hold(self, address: Address, data: bytes) -> None:
        reader, writer = await asyncio.open_connection(*address)
        try:
            for at in range(0, len(data), PIECE_BYTES):
                writer.write(data[at : at + PIECE_BYTES])
                await writer.drain()
            while await reader.read(PIECE_BYTES):
                pass
        finally:
            writer.transport.abort()

    async def cache(self, fault: SoakFault, director: SoakDirector) -> None:
        """Have a server begin its replies and not finish them."""
        if (server := self.state.reserve_server(fault, ("box", "parent"))) is None:
            return
        server.hoarding = choose(fault, tuple(CacheHoard))
        await asyncio.sleep(fault.for_s)
        server.hoarding = None
        self.state.reserved.discard(server.name)

    async def feed(self, fault: SoakFault, director: SoakDirector) -> None:
        """Tell one director an event whose objects take much memory, and lines with numbers out of range."""
        director.feed.tell_unknown(_long_list(choose(fault, (b"[]", b"{}", b'"a"'))))
        for line in OUT_OF_RANGE_LINES:
            director.coordinator.interject(line)
        await asyncio.sleep(fault.for_s)
