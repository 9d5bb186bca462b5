"""The state of one open request: its mailbox, its attempts, and the messages it receives. No I/O.

All decisions on a request, ends of its attempts and events of its client pass through one mailbox with one
reader. So events that occur in the same turn of the event loop are handled in a definite order.
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
    """An attempt at `member` has ended. `sent_us` is the steady time of its first byte, or 0 if not sent."""

    member: str
    attempt_index: int
    outcome: AttemptOutcome
    latency_us: int
    sent_us: int = 0


@dataclass(slots=True)
class ClientDeparted:
    """The client has disconnected, or (`deadline_exceeded`) no longer waits, as the deadline has passed."""

    deadline_exceeded: bool = False


@dataclass(slots=True)
class AttemptDecided:
    """An attempt that the router has decided, and the state on which it was decided."""

    action: ForwardRequest | ForwardWithFill
    snapshot: DecisionSnapshot


@dataclass(slots=True)
class RequestReleased:
    """The request gets its final answer now, because the director is shutting down."""

    is_retry_safe: bool
    """The client may retry, so the request is rejected. Otherwise it is failed."""


@dataclass(slots=True)
class FeedUsable:
    """The list may be sent on again, for which the request waited."""


@dataclass(slots=True)
class FeedWaitExpired:
    """The request's time is almost over, and it still waits for the feed before its first attempt."""


LifecycleMessage = (
    Action
    | AttemptDecided
    | AttemptFinished
    | ClientDeparted
    | RequestReleased
    | FeedUsable
    | FeedWaitExpired
)


class Mailbox:
    """Queue of messages for the one coroutine that runs a request.

    It is lighter than a queue for many readers.
    """

    __slots__ = ("_reader", "messages")

    def __init__(self) -> None:
        self.messages: deque[LifecycleMessage] = deque()
        self._reader: asyncio.Future[None] | None = None

    def put(self, message: LifecycleMessage) -> None:
        """Add a message and wake the reader."""
        self.messages.append(message)
        if self._reader is not None and not self._reader.done():
            self._reader.set_result(None)

    async def get(self) -> LifecycleMessage:
        """Wait until there is a message, and return the oldest one."""
        while not self.messages:
            self._reader = asyncio.get_running_loop().create_future()
            await self._reader
        return self.messages.popleft()


@dataclass(slots=True, eq=False)
class RequestLifecycle:
    """State of one open request. The lists are indexed by attempt."""

    request: ClientRequest
    mailbox: Mailbox = field(default_factory=Mailbox)
    attempts: list[asyncio.Task[AttemptOutcome] | None] = field(default_factory=list)
    """Task of each attempt; None if the attempt has ended."""
    started_at_us: list[int] = field(default_factory=list)
    """Steady time at which each attempt was started; 0 if it was certainly not executed."""
    statuses: list[AttemptStatus | None] = field(default_factory=list)
    """Final status of each attempt; None while it is in flight."""
    client_departed: bool = False
    answered: bool = False
    intent_recorded: bool = False
    """The store has durably recorded that the request will be sent."""
    is_waiting_for_feed: bool = False
    """`FeedUsable` follows."""
    arrival_is_held: bool = False
    """The router has not been notified of the request, as the list is too old to decide on."""
    held_attempts: list[AttemptDecided] = field(default_factory=list)
    """Attempts that wait for the feed, in the order of their indices, after those in `attempts`."""
    transport: CacheTransport | None = None
    """Transport that a front passed in for this request; None to use the engine's."""
