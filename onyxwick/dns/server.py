"""The DNS front's server over UDP and TCP, with limits on queries and connections."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import TYPE_CHECKING, cast

from onyxwick import logs
from onyxwick.background_work import BackgroundWork
from onyxwick.config.address import format_address
from onyxwick.config.service import ServiceConfig
from onyxwick.core import RequestEngine
from onyxwick.counters import Counters
from onyxwick.dns.messages import is_query
from onyxwick.dns.query_handler import QueryHandler, SendBytes
from onyxwick.dns.routed_names import RoutedNames
from onyxwick.net.buffer import ReceiveBuffer
from onyxwick.net.listening import listen

if TYPE_CHECKING:
    from onyxwick.store.durable_state import DurableState

log = logs.get()
MAX_OPEN_QUERIES = 512
"""Maximum number of queries in progress. Further UDP queries are dropped, and their clients repeat them."""
MAX_TCP_CONNECTIONS = 32
TCP_TIMEOUT_S = 10.0
"""Limit on the wait for a complete message, and on the wait for the client to accept an answer."""
ACCEPT_PAUSE_S = 0.05
LENGTH_BYTES = 2
"""The size of the length prefix of each message over TCP."""


class DnsFront:
    """Listens on one address over UDP and TCP. Each UDP query and each TCP connection has its own task."""

    def __init__(
        self,
        core: RequestEngine,
        counters: Counters,
        config: ServiceConfig,
        durable: DurableState | None = None,
        work: BackgroundWork | None = None,
    ) -> None:
        self.counters = counters
        self.address = config.dns_address
        routed_names = RoutedNames(core, counters, config.dns_deadline_us)
        self.handler = QueryHandler(config.tenants, routed_names, counters, durable, work or BackgroundWork())
        self.query_tasks: set[asyncio.Task[None]] = set()
        self.tcp_tasks: set[asyncio.Task[None]] = set()

    def on_message(self, wire: bytes, over_udp: bool, send: SendBytes) -> None:
        """Start answering one message. `send` is called later with the answer's bytes."""
        if not is_query(wire):
            self.handler.count_bad_input("not a query")
            return
        if len(self.query_tasks) >= MAX_OPEN_QUERIES:
            self.counters.add("dns.dropped")
            return
        task = asyncio.get_running_loop().create_task(self.handler.handle(wire, over_udp, send))
        self.query_tasks.add(task)
        task.add_done_callback(self.query_tasks.discard)

    async def run(self) -> None:
        """Serve until cancelled. Raises OSError if the server cannot listen on its address."""
        loop = asyncio.get_running_loop()
        assert self.address is not None
        transport, _ = await loop.create_datagram_endpoint(lambda: _Udp(self), local_addr=self.address)
        with listen(self.address) as sock:
            log.info("DNS front on", address=format_address(self.address))
            try:
                await self._accept(sock)
            finally:
                transport.close()
                for task in (*self.tcp_tasks, *self.query_tasks):
                    task.cancel()

    async def _accept(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                connection, _ = await loop.sock_accept(sock)
            except OSError as error:
                self.counters.add("error.accept")
                log.warning("accept failed", error=str(error))
                await asyncio.sleep(ACCEPT_PAUSE_S)
                continue
            connection.setblocking(False)
            if len(self.tcp_tasks) >= MAX_TCP_CONNECTIONS:
                connection.close()
                continue
            task = loop.create_task(self._serve_tcp(connection))
            self.tcp_tasks.add(task)
            task.add_done_callback(self.tcp_tasks.discard)

    async def _serve_tcp(self, connection: socket.socket) -> None:
        """Serve one TCP connection: answer its length-prefixed messages one at a time, in order."""
        loop = asyncio.get_running_loop()
        buffer = ReceiveBuffer()
        with connection, contextlib.suppress(OSError, TimeoutError):
            while True:
                wire = await _receive_message(connection, buffer)
                if wire is None:
                    return
                if not is_query(wire):
                    self.handler.count_bad_input("not a query")
                    return
                answers: list[bytes] = []
                await self.handler.handle(wire, False, answers.append)
                async with asyncio.timeout(TCP_TIMEOUT_S):
                    for answer in answers:
                        length = len(answer).to_bytes(LENGTH_BYTES, "big")
                        await loop.sock_sendall(connection, length + answer)


async def _receive_message(connection: socket.socket, buffer: ReceiveBuffer) -> bytes | None:
    """Receive the next complete message, in any number of pieces; None if the client has closed."""
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(TCP_TIMEOUT_S):
        while len(buffer) < LENGTH_BYTES or len(buffer) < _framed_bytes(buffer):
            if not await buffer.receive(loop, connection):
                return None
    return buffer.take(_framed_bytes(buffer))[LENGTH_BYTES:]


def _framed_bytes(buffer: ReceiveBuffer) -> int:
    return LENGTH_BYTES + int.from_bytes(buffer.peek(LENGTH_BYTES), "big")


class _Udp(asyncio.DatagramProtocol):
    def __init__(self, front: DnsFront) -> None:
        self.front = front
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # This is a cast because isinstance would fail: uvloop's UDP transport does not derive from asyncio's
        # classes, but has their methods.
        self.transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: tuple[str | object, int]) -> None:
        assert self.transport is not None
        transport = self.transport
        self.front.on_message(data, True, lambda wire: transport.sendto(wire, addr))
