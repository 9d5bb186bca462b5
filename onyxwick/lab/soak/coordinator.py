"""A coordinator that is late, silent, resets connections, writes in pieces or tells its index too early, or
that ends with events which it has not told."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from enum import Enum

from onyxwick.config.address import Address
from onyxwick.lab.machines import CoordinatorEmulator

FIRST_LINE_DELAY_S = 1.0
PIECES, PIECE_PAUSE_S = 8, 0.05
INDEX_LEAD_S = 0.3  # the last index is sent this long before its events
SILENCE_S = 30.0
RESETS = 3  # connections that are reset before one is served
RESET = struct.pack("ii", 1, 0)  # value of SO_LINGER with which a close sends a reset


class CoordinatorBehavior(Enum):
    """What a coordinator does on its connections."""

    PROMPT = "prompt"
    LATE = "late"  # the first line comes a second after the connection
    SILENT = "silent"  # the first connection brings nothing
    PIECES = "pieces"
    INDEX_FIRST = "index_first"
    RESET = "reset"  # the first connections are reset


FAULTY_BEHAVIORS = tuple(CoordinatorBehavior)[1:]


class CoordinatorFailure(Enum):
    """How a coordinator ends that has events which it has not told."""

    IN_EVENT = "in_event"  # in the middle of the first of them
    BEFORE_EVENT = "before_event"  # without a byte of them
    AFTER_INDEX = "after_index"  # once it has told their last index
    SILENT = "silent"  # its connections stay open, and nothing is written any more
    AT_START = "at_start"  # without a byte of them, and the director starts while it is gone


INDEX_READ_S = 0.1  # between the last index and the end of its connection


class SoakCoordinator(CoordinatorEmulator):
    """A coordinator whose behavior the faults set. It applies to connections and events from then on."""

    def __init__(self, address: Address, clock: Callable[[], int]) -> None:
        super().__init__(address, clock)
        self.behavior = CoordinatorBehavior.PROMPT
        self.connections = 0  # since the behavior was set
        self.end: CoordinatorFailure | None = None  # in progress: events are not told
        self.lock = asyncio.Lock()  # held while a fault decides whether connections are accepted

    async def fail_with_events(self, end: CoordinatorFailure, add_events: Callable[[], None]) -> None:
        """Add events, and end before they are told. `restart` undoes it."""
        self.end = end
        add_events()
        if end is CoordinatorFailure.SILENT:
            return
        if end in (CoordinatorFailure.IN_EVENT, CoordinatorFailure.AFTER_INDEX):
            await asyncio.sleep(INDEX_READ_S)
        await self.mute()

    async def restart(self) -> None:
        """Accept connections, and tell all events from now on."""
        silent, self.end = self.end is CoordinatorFailure.SILENT, None
        if not silent:
            await self.listen()
            return
        for writer in list(self.writers):
            writer.transport.abort()

    def behave(self, behavior: CoordinatorBehavior) -> None:
        """Set the behavior, and end the connections so that directors meet it on new ones."""
        self.behavior, self.connections = behavior, 0
        for writer in list(self.writers):
            writer.transport.abort()

    async def begin(self, writer: asyncio.StreamWriter, last: int) -> int:
        """Begin a connection as the behavior says."""
        self.connections += 1
        if self.end is not None:
            await asyncio.sleep(SILENCE_S)
        match self.behavior:
            case CoordinatorBehavior.LATE:
                await asyncio.sleep(FIRST_LINE_DELAY_S)
            case CoordinatorBehavior.SILENT if self.connections == 1:
                await asyncio.sleep(SILENCE_S)
            case CoordinatorBehavior.RESET if self.connections <= RESETS:
                writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                raise ConnectionResetError
            case _:
                pass
        return last

    async def send(self, writer: asyncio.StreamWriter, events: list[bytes]) -> None:
        """Send events as the behavior says, or what is sent of them at an end."""
        if self.end is not None:
            if self.end is CoordinatorFailure.IN_EVENT and events:
                writer.write(events[0][: len(events[0]) // 2])
            if self.end is CoordinatorFailure.AFTER_INDEX:
                writer.write(self.last_index_line())
            await asyncio.sleep(SILENCE_S)
        if self.behavior is CoordinatorBehavior.INDEX_FIRST and events:
            writer.write(self.last_index_line())
            await asyncio.sleep(INDEX_LEAD_S)
        if self.behavior is not CoordinatorBehavior.PIECES:
            await super().send(writer, events)
            return
        data = b"".join(events)
        size = max(1, len(data) // PIECES)
        for at in range(0, len(data), size):
            writer.write(data[at : at + size])
            await asyncio.sleep(PIECE_PAUSE_S)
