"""Runs a director's engine, front and cache connections in the process of the test, for tests of races.

Sockets are real. A scripted router replaces the real router, so that a test forces a race and does not
depend on chance: by a cache whose connections are established when the test says so, by a peer that stops
reading, or by a hook at the point of the race.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable, Iterator

import uvloop

from onyxwick.core import ClientRequest, FinalAnswer, RequestEngine, RequestLifecycle
from onyxwick.core.clock import steady_us
from onyxwick.core.endpoints import EndpointTable
from onyxwick.core.model import AttemptOutcome, AttemptSpec
from onyxwick.counters import Counters
from onyxwick.interface import (
    Action,
    AttemptEnded,
    AttemptStatus,
    EndpointListKind,
    EndpointsChanged,
    Event,
    FillOption,
    ForwardWithFill,
    Member,
    MemberState,
    RequestArrived,
    RouterSettings,
    TimerFired,
)
from onyxwick.net import fastcgi, resp
from onyxwick.net.cache_pool import CacheConnectionPool
from onyxwick.net.coordinator_feed import CoordinatorFeed
from onyxwick.net.front import FastCgiFront
from onyxwick.net.listening import listen
from tests.router_harness import SETTINGS

TIMEOUT_S = 10.0
HIT_REPLY_FIELDS = b"digest=4be0c1927d55a6f3,note=HIT"


class ScriptedRouter:
    """A router that returns scripted actions for arrivals, ended attempts and timers, and records events."""

    def __init__(self) -> None:
        self.events: list[Event] = []
        self.on_arrival: Callable[[str], list[Action]] = lambda request: []
        self.on_attempt_ended: Callable[[str, AttemptStatus], list[Action]] = lambda request, status: []
        self.on_timer: Callable[[], list[Action]] = lambda: []

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        actions = list[Action]()
        for event in events:
            self.events.append(event)
            match event:
                case RequestArrived(request_id=request):
                    actions += self.on_arrival(request)
                case AttemptEnded(request_id=request, status=status):
                    actions += self.on_attempt_ended(request, status)
                case TimerFired():
                    actions += self.on_timer()
                case _:
                    pass
        return actions

    def ejected_count(self) -> int:
        return 0

    def attempt_statuses(self) -> list[AttemptStatus]:
        """Return the statuses of the ended attempts in the order of their events."""
        return [event.status for event in self.events if isinstance(event, AttemptEnded)]


def forward_to(request_id: str, *members: str) -> list[Action]:
    """Return one forward action for each member, without a fill."""
    return [ForwardWithFill(request_id, name, name, 0, 0, 0, FillOption.NONE) for name in members]


class DirectorHarness:
    """A director in the process of the test; `add_cache` adds a member whose socket the test accepts on."""

    def __init__(self, settings: RouterSettings = SETTINGS, connect_timeout_us: int = 5_000_000) -> None:
        self.router, self.members, self.counters = ScriptedRouter(), EndpointTable(), Counters()
        self.caches = CacheConnectionPool(self.members, self.counters, connect_timeout_us)
        self.core = RequestEngine(
            settings, 7, self.caches, self.members, self.counters, make_router=lambda *_: self.router
        )
        self.front = FastCgiFront(self.core, self.counters, lambda: True, 64, 10_000_000)
        self.answers: list[FinalAnswer] = []
        self.open_sockets = list[socket.socket]()
        self.tasks = list[asyncio.Task[None]]()
        self.request_count = 0
        self.accepting = False

    def add_cache(self, name: str, backlog: int = 64) -> socket.socket:
        """Add a READY member and return its listening socket."""
        sock = socket.socket()
        sock.bind(("127.0.0.1", 0))
        sock.listen(backlog)
        sock.setblocking(False)
        self.open_sockets.append(sock)
        self.list_member(MemberState.READY, name, sock.getsockname())
        return sock

    def list_member(self, state: MemberState, name: str, address: tuple[str, int]) -> None:
        """Apply a change of the endpoint list that contains this member alone."""
        row = Member(name, "edge-1", "box", 0, state, 6.0, 0)
        self.core.feed.apply_endpoints(EndpointsChanged(EndpointListKind.CHANGE, (row,)), {name: address})

    def cache_with_full_backlog(self, name: str) -> Iterator[Callable[[], Awaitable[socket.socket]]]:
        """Add a member whose full backlog keeps connections from being established.

        Yields one coroutine function, which closes the connection that fills the backlog and returns the
        director's connection.
        """
        sock = self.add_cache(name, backlog=0)
        filler = socket.create_connection(sock.getsockname())
        self.open_sockets.append(filler)

        async def accept_next() -> socket.socket:
            (await self.accept(sock)).close()
            return await self.accept(sock)

        yield accept_next

    def follow(self, address: tuple[str, int]) -> CoordinatorFeed:
        """Start a task in which the director follows the feed at this address."""
        follower = CoordinatorFeed(self.core, self.counters)
        follower.set_address(address)
        self.tasks.append(asyncio.get_running_loop().create_task(follower.follow()))
        return follower

    async def accept(self, sock: socket.socket) -> socket.socket:
        """Return the next connection to a listening socket."""
        async with asyncio.timeout(TIMEOUT_S):
            conn, _ = await asyncio.get_running_loop().sock_accept(sock)
        self.open_sockets.append(conn)
        return conn

    def request(self, class_name: str = "chunk", **overrides: object) -> ClientRequest:
        """Return a request with the next request id; `overrides` replaces fields by name."""
        self.request_count += 1
        fields: dict[str, object] = {
            "request_id": f"{self.request_count:016x}",
            "class_name": class_name,
            "object_id": "7f3a9c21e0b4d655",
            "part": 0,
            "object_group": 17,
            "arrived_us": steady_us(),
            "timeout_us": 9_000_000,
        }
        return ClientRequest(**{**fields, **overrides})  # type: ignore[arg-type]

    def start(self, class_name: str = "chunk", **overrides: object) -> RequestLifecycle:
        """Start a request in the engine without a client connection; its answer is added to `answers`."""
        lifecycle = self.core.start(self.request(class_name, **overrides), self.answers.append)
        assert lifecycle is not None
        return lifecycle

    async def wait_until(self, condition: Callable[[], object], message: str = "") -> None:
        """Poll until the condition is true; raise TimeoutError after TIMEOUT_S."""
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.005)
        assert condition(), message

    async def read_until(self, conn: socket.socket, delimiter: bytes) -> bytes:
        """Return the bytes received up to and including the read that completes the delimiter."""
        received, loop = b"", asyncio.get_running_loop()
        async with asyncio.timeout(TIMEOUT_S):
            while delimiter not in received:
                chunk = await loop.sock_recv(conn, 65_536)
                assert chunk, received
                received += chunk
        return received

    async def connect_client(self) -> socket.socket:
        """Connect a client to the front; the first call starts the front's listener."""
        loop = asyncio.get_running_loop()
        if not self.accepting:
            self.accepting = True
            self.listener = listen(("127.0.0.1", 0))
            self.open_sockets.append(self.listener)
            self.tasks.append(loop.create_task(self.front.accept(self.listener)))
            self.tasks.append(loop.create_task(self.front.record_loop_ticks()))
        sock = socket.create_connection(self.listener.getsockname())
        sock.setblocking(False)
        self.open_sockets.append(sock)
        return sock

    async def close(self) -> None:
        for task in (*self.tasks, *self.front.connections.values()):
            task.cancel()
        await asyncio.gather(*self.tasks, *self.front.connections.values(), return_exceptions=True)
        await self.caches.close()
        for sock in self.open_sockets:
            sock.close()


def run_scenario(
    scenario: Callable[[DirectorHarness], Awaitable[None]], settings: RouterSettings = SETTINGS
) -> None:
    """Run the scenario in an event loop with a new harness, and close the harness afterwards."""

    async def run() -> None:
        harness = DirectorHarness(settings)
        try:
            await scenario(harness)
        finally:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TIMEOUT_S):
                    await harness.close()

    uvloop.run(run())


def encode_call(
    number: int,
    request_id: str = "",
    path: str = "/call/chunk",
    keep_connection: bool = True,
    extra_params: dict[str, str] | None = None,
) -> bytes:
    """Encode a complete FastCGI request of a client; `number` is its FastCGI request number."""
    pairs = {
        "SCRIPT_NAME": path,
        "HTTP_X_REQUEST_ID": request_id or f"{number:016x}",
        "HTTP_X_TIMEOUT_MS": "9000",
        "HTTP_X_OBJECT": "7f3a9c21e0b4d655",
        "HTTP_X_NTH": "0",
        "HTTP_X_BATCH": "17",
        **(extra_params or {}),
    }
    begin = fastcgi.BEGIN_BODY.pack(fastcgi.RESPONDER, int(keep_connection))
    params = fastcgi.encode_pairs({name.encode(): value.encode() for name, value in pairs.items()})
    kind = fastcgi.RecordType
    records = ((kind.BEGIN, begin), (kind.PARAMS, params), (kind.PARAMS, b""), (kind.STDIN, b""))
    return b"".join(fastcgi.encode_record(k, number, content) for k, content in records)


def encode_reply(
    request_id: str, word: bytes = b"data", fields: bytes = HIT_REPLY_FIELDS, body: bytes = b"walk"
) -> bytes:
    """Encode the reply of a cache to the attempt of this request."""
    return resp.encode_command(request_id.encode(), word, fields, body)


def forward_arrivals_to(harness: DirectorHarness, *members: str) -> None:
    """Make the scripted router forward each arriving request to all of these members."""
    harness.router.on_arrival = lambda request: forward_to(request, *members)


def on_attempt_error(harness: DirectorHarness, respond: Callable[[str], list[Action]]) -> None:
    """Make the scripted router return the actions of `respond` for each attempt that ends with ERROR."""
    harness.router.on_attempt_ended = lambda request, status: (
        respond(request) if status is AttemptStatus.ERROR else []
    )


CLIENT_DEPARTURES = ("abort", "half-close", "close", "reset")


def end_client(sock: socket.socket, departure: str, number: int = 1) -> None:
    """End a call or its client's connection in one of the ways of CLIENT_DEPARTURES."""
    if departure == "abort":
        sock.send(fastcgi.encode_record(fastcgi.RecordType.ABORT, number, b""))
    elif departure == "half-close":
        sock.shutdown(socket.SHUT_WR)
    else:
        if departure == "reset":
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        sock.close()


class LargeAnswerTransport:
    """A transport whose first answer exceeds the socket buffers; later answers do not arrive in time."""

    def __init__(self) -> None:
        self.runs = 0

    async def run(self, order: AttemptSpec) -> AttemptOutcome:
        self.runs += 1
        if self.runs > 1:
            await asyncio.sleep(TIMEOUT_S)
        return AttemptOutcome(AttemptStatus.OK, body=b"x" * 240_000)


__all__ = [
    "CLIENT_DEPARTURES",
    "HIT_REPLY_FIELDS",
    "TIMEOUT_S",
    "DirectorHarness",
    "LargeAnswerTransport",
    "encode_call",
    "encode_reply",
    "end_client",
    "forward_arrivals_to",
    "forward_to",
    "on_attempt_error",
    "run_scenario",
]
