"""The state of one open request: its mailbox, its attempts, and the messages that reach it. No I/O.

All decisions on a request, ends of its attempts and events of its client pass through one mailbox with one
reader, so that of two events in the same turn of the loop one comes first.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field

from onyxwick.core.endpoints import DecisionSnapshot
from onyxwick.core.model import AttemptOutcome, CacheTransport, ClientRequest
from onyxwick.interface import Action, AttemptStatus, ForwardRequest, ForwardWithFill


@dataclass(slots=True)
class AttemptFinished:
    """An attempt has ended at `member`. `sent_us`: steady time of its first byte; 0: not sent."""

    member: str
    attempt_index: int
    outcome: AttemptOutcome
    latency_us: int
    sent_us: int = 0


@dataclass(slots=True)
class ClientDeparted:
    """The client has disconnected, or (`deadline_exceeded`) waits no longer, as its deadline has passed."""

    deadline_exceeded: bool = False


@dataclass(slots=True)
class AttemptDecided:
    """An attempt that the router has decided, and what it was decided on."""

    action: ForwardRequest | ForwardWithFill
    snapshot: DecisionSnapshot


@dataclass(slots=True)
class RequestReleased:
    """The director is shutting down: the request gets its final answer now."""

    is_retry_safe: bool
    """The client may send it again, so it is rejected; else it is failed."""


LifecycleMessage = Action | AttemptDecided | AttemptFinished | ClientDeparted | RequestReleased


class Mailbox:
    """Messages for the one coroutine that runs a request; lighter than a queue made for many readers."""

    __slots__ = ("_reader", "messages")

    def __init__(self) -> None:
        self.messages: deque[LifecycleMessage] = deque()
        self._reader: asyncio.Future[None] | None = None

    def put(self, message: LifecycleMessage) -> None:
        """Add a message, and wake the reader."""
        self.messages.append(message)
        if self._reader is not None and not self._reader.done():
            self._reader.set_result(None)

    async def get(self) -> LifecycleMessage:
        """Return the next message; wait until there is one."""
        while not self.messages:
            self._reader = asyncio.get_running_loop().create_future()
            await self._reader
        return self.messages.popleft()


@dataclass(slots=True, eq=False)
class RequestLifecycle:
    """One open request. The lists are indexed by attempt."""

    request: ClientRequest
    mailbox: Mailbox = field(default_factory=Mailbox)
    attempts: list[asyncio.Task[AttemptOutcome] | None] = field(default_factory=list)
    """None: it has ended."""
    started_at_us: list[int] = field(default_factory=list)
    """When each attempt was started (steady); 0: it is certain that it was not executed."""
    statuses: list[AttemptStatus | None] = field(default_factory=list)
    """How each attempt ended; None: it is in flight."""
    client_departed: bool = False
    answered: bool = False
    intent_recorded: bool = False
    """The store has durably recorded that it will be sent."""
    transport: CacheTransport | None = None
    """A front's own transport for this request; None: the engine's."""
