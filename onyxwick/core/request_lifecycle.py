"""One request on its way: its mailbox, its attempts, and what is told to it. No wire."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field

from onyxwick.core.endpoints import DecisionSnapshot
from onyxwick.core.model import AttemptOutcome, CacheTransport, ClientRequest
from onyxwick.interface import Action, AttemptStatus, ForwardRequest, ForwardWithFill


@dataclass(slots=True)
class AttemptFinished:
    """An attempt has ended: at which member, the attempt's number, how, and after how long (us)."""

    member: str
    number: int
    outcome: AttemptOutcome
    latency_us: int
    sent_us: int = 0


@dataclass(slots=True)
class ClientDeparted:
    """The client has left, or (`overdue`) its time is over and nothing has answered it."""

    overdue: bool = False


@dataclass(slots=True)
class AttemptDecided:
    """An attempt that the module has ordered, and what it was decided on."""

    action: ForwardRequest | ForwardWithFill
    standing: DecisionSnapshot


@dataclass(slots=True)
class RequestReleased:
    """Its director ends: it gets its final answer now. `refusable`: trying it again is harmless."""

    refusable: bool


Mail = Action | AttemptDecided | AttemptFinished | ClientDeparted | RequestReleased


class Mailbox:
    """Mail for the one coroutine that lives a request; lighter than a queue made for many readers."""

    __slots__ = ("mail", "waiting")

    def __init__(self) -> None:
        self.mail: deque[Mail] = deque()
        self.waiting: asyncio.Future[None] | None = None

    def put(self, mail: Mail) -> None:
        """Add one piece, and wake the reader."""
        self.mail.append(mail)
        if self.waiting is not None and not self.waiting.done():
            self.waiting.set_result(None)

    async def get(self) -> Mail:
        """The next piece; waits until there is one."""
        while not self.mail:
            self.waiting = asyncio.get_running_loop().create_future()
            await self.waiting
        return self.mail.popleft()


@dataclass(slots=True, eq=False)
class RequestLifecycle:
    """One request with its mailbox: the module's actions on it, its attempts' ends, its client's leaving."""

    request: ClientRequest
    mailbox: Mailbox = field(default_factory=Mailbox)
    attempts: list[asyncio.Task[AttemptOutcome] | None] = field(default_factory=list)  # None: has ended
    # When each attempt was ordered, in steady us; 0: it is proved that it never ran.
    ordered_at: list[int] = field(default_factory=list)
    ends: list[AttemptStatus | None] = field(default_factory=list)  # how each attempt ended; None: it is out
    client_departed: bool = False  # its client has left
    answered: bool = False  # it has its final answer
    intended: bool = False  # that it will be sent is durable
    transport: CacheTransport | None = None  # a front's own way of carrying out attempts
