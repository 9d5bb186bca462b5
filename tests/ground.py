"""One director's engine, front and connections to caches in the test's process, for tests of races.

Sockets are real; a scripted router takes the real one's place, so that a race is forced, not left to chance.
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
from onyxwick.net import fastcgi
from onyxwick.net.cache_pool import CacheConnectionPool
from onyxwick.net.coordinator_feed import CoordinatorFeed
from onyxwick.net.front import FastCgiFront
from onyxwick.net.listening import listen
from tests.router_harness import SETTINGS, member

PATIENCE_S = 10.0
FOUND = b"digest=4be0c1927d55a6f3,note=HIT"


class Script:
    """A router that returns the scripted actions for arrivals, ends and timers, and keeps all events."""

    def __init__(self) -> None:
        self.events: list[Event] = []
        self.arrived: Callable[[str], list[Action]] = lambda request: []
        self.ended: Callable[[str, AttemptStatus], list[Action]] = lambda request, status: []
        self.timer: Callable[[], list[Action]] = lambda: []

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        out = list[Action]()
        for event in events:
            self.events.append(event)
            match event:
                case RequestArrived(request_id=request):
                    out += self.arrived(request)
                case AttemptEnded(request_id=request, status=status):
                    out += self.ended(request, status)
                case TimerFired():
                    out += self.timer()
                case _:
                    pass
        return out

    def ejected_count(self) -> int:
        return 0

    def ends(self) -> list[AttemptStatus]:
        return [event.status for event in self.events if isinstance(event, AttemptEnded)]


def ask(request: str, *members: str) -> list[Action]:
    return [ForwardWithFill(request, name, name, 0, 0, 0, FillOption.NONE) for name in members]


class Ground:
    """One director without a process; `cache` makes a member whose socket the test holds."""

    def __init__(self, settings: RouterSettings = SETTINGS, connect_us: int = 5_000_000) -> None:
        self.script, self.members, self.counters = Script(), EndpointTable(), Counters()
        self.caches = CacheConnectionPool(self.members, self.counters, connect_us)
        self.core = RequestEngine(
            settings, 7, self.caches, self.members, self.counters, make_router=lambda *_: self.script
        )
        self.front = FastCgiFront(self.core, self.counters, lambda: True, 64, 10_000_000)
        self.answers: list[FinalAnswer] = []
        self.opened = list[socket.socket]()
        self.tasks = list[asyncio.Task[None]]()
        self.asked = 0
        self.accepting = False

    def cache(self, name: str, backlog: int = 64) -> socket.socket:
        sock = socket.socket()
        sock.bind(("127.0.0.1", 0))
        sock.listen(backlog)
        sock.setblocking(False)
        self.opened.append(sock)
        self.list(MemberState.READY, name, sock.getsockname())
        return sock

    def list(self, state: MemberState, name: str, address: tuple[str, int]) -> None:
        row = Member(name, "edge-1", "box", 0, state, 6.0, 0)
        self.core.feed.apply_endpoints(EndpointsChanged(EndpointListKind.CHANGE, (row,)), {name: address})

    def held(self, name: str) -> Iterator[Callable[[], Awaitable[socket.socket]]]:
        """A member that accepts no connection until the value is awaited, which gives the next one."""
        sock = self.cache(name, backlog=0)
        filler = socket.create_connection(sock.getsockname())
        self.opened.append(filler)

        async def accept_next() -> socket.socket:
            (await self.accepted(sock)).close()
            return await self.accepted(sock)

        yield accept_next

    def follow(self, address: tuple[str, int]) -> CoordinatorFeed:
        """The director follows the feed at this address from now on."""
        follower = CoordinatorFeed(self.core, self.counters)
        follower.set_address(address)
        self.tasks.append(asyncio.get_running_loop().create_task(follower.follow()))
        return follower

    async def accepted(self, sock: socket.socket) -> socket.socket:
        async with asyncio.timeout(PATIENCE_S):
            conn, _ = await asyncio.get_running_loop().sock_accept(sock)
        self.opened.append(conn)
        return conn

    def request(self, kind: str = "chunk", **more: object) -> ClientRequest:
        self.asked += 1
        fields: dict[str, object] = {
            "request_id": f"{self.asked:016x}",
            "class_name": kind,
            "object_id": "7f3a9c21e0b4d655",
            "part": 0,
            "object_group": 17,
            "arrived_us": steady_us(),
            "timeout_us": 9_000_000,
        }
        return ClientRequest(**{**fields, **more})  # type: ignore[arg-type]

    def start(self, kind: str = "chunk", **more: object) -> RequestLifecycle:
        lifecycle = self.core.start(self.request(kind, **more), self.answers.append)
        assert lifecycle is not None
        return lifecycle

    async def until(self, true: Callable[[], object], what: str = "") -> None:
        async with asyncio.timeout(PATIENCE_S):
            while not true():
                await asyncio.sleep(0.005)
        assert true(), what

    async def read(self, conn: socket.socket, mark: bytes) -> bytes:
        got, loop = b"", asyncio.get_running_loop()
        async with asyncio.timeout(PATIENCE_S):
            while mark not in got:
                more = await loop.sock_recv(conn, 65_536)
                assert more, got
                got += more
        return got

    async def client(self) -> socket.socket:
        """A client of the front, which accepts from now on."""
        loop = asyncio.get_running_loop()
        if not self.accepting:
            self.accepting = True
            self.listener = listen(("127.0.0.1", 0))
            self.opened.append(self.listener)
            self.tasks.append(loop.create_task(self.front.accept(self.listener)))
            self.tasks.append(loop.create_task(self.front.record_loop_ticks()))
        sock = socket.create_connection(self.listener.getsockname())
        sock.setblocking(False)
        self.opened.append(sock)
        return sock

    async def close(self) -> None:
        for task in (*self.tasks, *self.front.connections.values()):
            task.cancel()
        await asyncio.gather(*self.tasks, *self.front.connections.values(), return_exceptions=True)
        await self.caches.close()
        for sock in self.opened:
            sock.close()


def played(play: Callable[[Ground], Awaitable[None]], settings: RouterSettings = SETTINGS) -> None:
    async def run() -> None:
        ground = Ground(settings)
        try:
            await play(ground)
        finally:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(PATIENCE_S):
                    await ground.close()

    uvloop.run(run())


def call(
    number: int,
    request: str = "",
    path: str = "/call/chunk",
    keep: bool = True,
    more: dict[str, str] | None = None,
) -> bytes:
    """A client's whole call; `more`: further parameters."""
    pairs = {
        "SCRIPT_NAME": path,
        "HTTP_X_REQUEST_ID": request or f"{number:016x}",
        "HTTP_X_TIMEOUT_MS": "9000",
        "HTTP_X_OBJECT": "7f3a9c21e0b4d655",
        "HTTP_X_NTH": "0",
        "HTTP_X_BATCH": "17",
        **(more or {}),
    }
    begin = fastcgi.BEGIN_BODY.pack(fastcgi.RESPONDER, int(keep))
    params = fastcgi.encode_pairs({name.encode(): value.encode() for name, value in pairs.items()})
    kind = fastcgi.RecordType
    records = ((kind.BEGIN, begin), (kind.PARAMS, params), (kind.PARAMS, b""), (kind.STDIN, b""))
    return b"".join(fastcgi.encode_record(k, number, content) for k, content in records)


__all__ = ["FOUND", "PATIENCE_S", "Ground", "ask", "call", "member", "played"]
