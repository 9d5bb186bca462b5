"""A small HTTP server for the administration API and the operations endpoint, with bounded connections.

Each connection is a task, and each request gets one answer. At the connection limit a new connection
displaces the one that has been open longest, which is the most likely never to finish a call. Times are in
seconds.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable

from onyxwick import logs
from onyxwick.admin.http_messages import (
    MAX_BODY_BYTES,
    MAX_PIPELINED_REQUESTS,
    HttpError,
    HttpRequest,
    MalformedRequestError,
    RequestParser,
    encode_response,
)
from onyxwick.config.address import format_address
from onyxwick.counters import Counters
from onyxwick.net import errors
from onyxwick.net.accept_loop import ACCEPT_PAUSE_S
from onyxwick.net.buffer import ReceiveBuffer
from onyxwick.net.listening import listen
from onyxwick.net.socket_state import seconds_since_received

log = logs.get()
MAX_CONNECTIONS = 16
CALL_TIMEOUT_S = 10.0
MAX_QUEUED_S = 1.0
"""Limit on the reported time that a call waited in the socket; no caller waits longer for its answer."""
MAX_LOGGED_PATH_CHARACTERS = 64
Handler = Callable[[HttpRequest], tuple[int, object] | Awaitable[tuple[int, object]]]
"""Returns the status and JSON data for a request, or raises HttpError for an error status."""


class HttpServer:
    """Serves callers' connections, bounded in number and in the time that a call may take.

    With `one_call_per_connection` a connection is closed after its first answer. `call_timeout_s` limits the
    wait for a complete call, and for the caller to accept an answer. `counter_prefix` is the prefix of the
    server's counter names.
    """

    def __init__(
        self,
        address: tuple[str, int],
        handler: Handler,
        counters: Counters,
        max_connections: int = MAX_CONNECTIONS,
        call_timeout_s: float = CALL_TIMEOUT_S,
        one_call_per_connection: bool = False,
        name: str = "administration API",
        counter_prefix: str = "admin",
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        self.address = address
        self.handler = handler
        self.counters = counters
        self.max_connections = max_connections
        self.call_timeout_s = call_timeout_s
        self.one_call_per_connection = one_call_per_connection
        self.name = name
        self.counter_prefix = counter_prefix
        self.max_body_bytes = max_body_bytes
        self.connections: dict[asyncio.Task[None], None] = {}
        """The tasks of open connections, oldest first."""

    async def run(self, bound: socket.socket | None = None) -> None:
        """Serve until cancelled, on the socket `bound` if it is given, else on a new socket.

        Raises OSError if the server cannot listen on its address.
        """
        with bound or listen(self.address) as sock:
            log.info(f"{self.name} on", address=format_address(self.address))
            try:
                while True:
                    await self._accept(sock)
            finally:
                for task in self.connections:
                    task.cancel()

    async def _accept(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            connection, _ = await loop.sock_accept(sock)
        except OSError as error:
            log.warning("accept failed", error=str(error))
            await asyncio.sleep(ACCEPT_PAUSE_S if errors.is_resource_exhausted(error) else 0)
            return
        connection.setblocking(False)
        if len(self.connections) >= self.max_connections:
            self.counters.add(f"{self.counter_prefix}.displaced")
            next(iter(self.connections)).cancel()
        task = loop.create_task(self._serve(connection))
        self.connections[task] = None
        task.add_done_callback(self._on_ended)

    def _on_ended(self, task: asyncio.Task[None]) -> None:
        self.connections.pop(task, None)

    async def _serve(self, connection: socket.socket) -> None:
        """Serve one connection until it ends."""
        buffer = ReceiveBuffer()
        max_requests = 1 if self.one_call_per_connection else MAX_PIPELINED_REQUESTS
        parser = RequestParser(self.max_body_bytes, max_requests)
        with connection, contextlib.suppress(OSError, TimeoutError):
            while True:
                async with asyncio.timeout(self.call_timeout_s):
                    rejection = await self._receive(connection, buffer, parser)
                requests = parser.take()
                if self.one_call_per_connection:
                    requests = requests[:1]
                for request in requests:  # one by one: a pipeline may ask for any amount of answers
                    await self._send(connection, await self._respond(request))
                    await asyncio.sleep(0)
                # After the last response no further input is processed, and no rejection of it is sent.
                is_last = self.one_call_per_connection and bool(requests)
                if rejection is not None and not is_last:
                    error = {"error": rejection.text}
                    await self._send(connection, encode_response(rejection.status, error, close=True))
                keep_alive = all(request.keep_alive for request in requests)
                if is_last or rejection is not None or not keep_alive:
                    return

    async def _send(self, connection: socket.socket, response: bytes) -> None:
        """Send a response. Raises TimeoutError if the caller does not accept it in time."""
        async with asyncio.timeout(self.call_timeout_s):
            await asyncio.get_running_loop().sock_sendall(connection, response)

    async def _receive(
        self, connection: socket.socket, buffer: ReceiveBuffer, parser: RequestParser
    ) -> HttpError | None:
        """Wait until a call is complete or rejected. Return the rejection, or None if there is none.

        Raises ConnectionError if the caller closes the connection.
        """
        loop = asyncio.get_running_loop()
        rejection: HttpError | None = None
        while not parser.complete and rejection is None:
            if not await buffer.receive(loop, connection):
                raise ConnectionError("the caller closed the connection")
            queued_s = min(seconds_since_received(connection) or 0.0, MAX_QUEUED_S)
            try:
                parser.feed(buffer.take(len(buffer)))
            except HttpError as error:
                rejection = error
                if isinstance(error, MalformedRequestError):
                    self.counters.add(f"bad.{self.counter_prefix}")
                    log.warning(f"bad input to the {self.name}", error=str(error.__cause__))
            for request in parser.complete:
                request.queued_s = queued_s
        return rejection

    async def _respond(self, request: HttpRequest) -> bytes:
        close = self.one_call_per_connection
        try:
            answer = self.handler(request)
            status, data = answer if isinstance(answer, tuple) else await answer
            self.counters.add(f"{self.counter_prefix}.{status}")
            return encode_response(status, data, close=close)
        except HttpError as error:
            self.counters.add(f"{self.counter_prefix}.{error.status}")
            return encode_response(error.status, {"error": error.text}, error.headers, close=close)
        except Exception:
            # An internal error in one call's handler must not stop the server.
            self.counters.add(f"error.{self.counter_prefix}")
            log.exception(
                "internal error in a call",
                method=request.method,
                path=request.path[:MAX_LOGGED_PATH_CHARACTERS],
            )
            return encode_response(500, {"error": "internal error"}, close=close)
