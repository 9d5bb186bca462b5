"""Just enough HTTP for the administration API: httptools parses, bounds are kept, one answer a request."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import httptools
import ujson

from onyxwick import logs
from onyxwick.config.address import format_address
from onyxwick.counters import Counters
from onyxwick.net import errors
from onyxwick.net.accept_loop import ACCEPT_PAUSE_S
from onyxwick.net.buffer import ReceiveBuffer
from onyxwick.net.listening import listen
from onyxwick.net.socket_state import seconds_since_received

log = logs.get()
MOST_BODY, MOST_HEAD = 524_288, 16_384
CLIENTS, IDLE_S = 16, 10.0
MOST_WAITED_S = 1.0  # in the socket, for a call that anybody still waits for
REASONS = {
    200: "OK",
    201: "Created",
    204: "No Content",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


class HttpError(Exception):
    def __init__(self, status: int, text: str, headers: dict[str, str] | None = None) -> None:
        super().__init__(text)
        self.status, self.text, self.headers = status, text, headers or {}


@dataclass(slots=True)
class HttpRequest:
    method: str = ""
    path: str = ""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    keep_alive: bool = True  # may another call follow on its connection?
    waited_s: float = 0.0  # since its last bytes came, as the system counts; a caller waits no longer itself

    def json(self) -> dict[str, object]:
        try:
            data = ujson.loads(self.body)
        except ValueError as error:
            raise HttpError(400, f"body is no JSON: {error}") from None
        if not isinstance(data, dict):
            raise HttpError(400, "body is no JSON object")
        return data


Answer = tuple[int, object]
Handler = Callable[[HttpRequest], Answer | Awaitable[Answer]]


class _Collector:
    """What httptools calls while it parses."""

    def __init__(self) -> None:
        self.request = HttpRequest()
        self.url = b""
        self.size = 0
        self.done: list[HttpRequest] = []
        self.should_keep_alive: Callable[[], bool] = lambda: True  # of the parser, of the call just whole

    def on_url(self, url: bytes) -> None:
        self.url += url
        self._head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._head(len(name) + len(value))
        self.request.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def _head(self, size: int) -> None:
        self.size += size
        if self.size > MOST_HEAD:
            raise HttpError(431, "head too large")

    def on_body(self, body: bytes) -> None:
        self.request.body += body
        if len(self.request.body) > MOST_BODY:
            raise HttpError(413, "body too large")

    def on_message_complete(self) -> None:
        self.request.path = self.url.partition(b"?")[0].decode("latin-1")
        self.request.keep_alive = self.should_keep_alive()
        self.done.append(self.request)
        self.request, self.url, self.size = HttpRequest(), b"", 0


def response(status: int, data: object, headers: dict[str, str] | None = None, close: bool = False) -> bytes:
    body = b"" if status == 204 else ujson.dumps(data, escape_forward_slashes=False).encode() + b"\n"
    lines = [f"HTTP/1.1 {status} {REASONS[status]}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if status != 204:
        lines += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
    lines += ["Connection: close"] if close else []
    return "\r\n".join((*lines, "", "")).encode() + body


class HttpServer:
    """Connections of callers, each one a task; bounded in count and in the time that a call may take.

    `one_call`: a connection carries one call and is closed after its answer. `patience_s`: the longest wait
    for a whole call, and for an answer to be taken. Where all places are taken a newcomer displaces the
    connection that has been open longest, which is the likeliest to be one that never finishes a call.
    """

    def __init__(
        self,
        address: tuple[str, int],
        handler: Handler,
        counters: Counters,
        most: int = CLIENTS,
        patience_s: float = IDLE_S,
        one_call: bool = False,
        name: str = "administration API",
        counted: str = "admin",
    ) -> None:
        self.address, self.handler, self.counters = address, handler, counters
        self.most, self.patience_s, self.one_call, self.name = most, patience_s, one_call, name
        self.counted = counted  # the first word of its counters' names
        self.clients: dict[asyncio.Task[None], None] = {}  # oldest first

    async def run(self, bound: socket.socket | None = None) -> None:
        """Serve until cancelled, on `bound` where the caller has bound it already."""
        loop = asyncio.get_running_loop()
        with bound or listen(self.address) as sock:
            log.info(f"{self.name} on", address=format_address(self.address))
            try:
                while True:
                    try:
                        conn, _ = await loop.sock_accept(sock)
                    except OSError as error:
                        log.warning("accept failed", error=str(error))
                        await asyncio.sleep(ACCEPT_PAUSE_S if errors.is_exhausted(error) else 0)
                        continue
                    conn.setblocking(False)
                    if len(self.clients) >= self.most:
                        self.counters.add(f"{self.counted}.displaced")
                        next(iter(self.clients)).cancel()
                    task = loop.create_task(self._client(conn))
                    self.clients[task] = None
                    task.add_done_callback(self._ended)
            finally:
                for task in self.clients:
                    task.cancel()

    def _ended(self, task: asyncio.Task[None]) -> None:
        self.clients.pop(task, None)

    async def _client(self, conn: socket.socket) -> None:
        loop, buffer, collector = asyncio.get_running_loop(), ReceiveBuffer(), _Collector()
        parser = httptools.HttpRequestParser(collector)
        collector.should_keep_alive = parser.should_keep_alive
        with conn, contextlib.suppress(OSError, TimeoutError):
            while True:
                async with asyncio.timeout(self.patience_s):  # for a whole call, in however many pieces
                    broken = await self._receive_calls(conn, buffer, parser, collector)
                calls = collector.done[:1] if self.one_call else collector.done
                out = [await self._answer(request, self.one_call) for request in calls]
                keeps = all(request.keep_alive for request in calls)
                collector.done.clear()
                answered = bool(out) and self.one_call  # what follows its one call is not read
                if broken is not None and not answered:
                    out.append(response(broken.status, {"error": broken.text}, close=True))
                async with asyncio.timeout(self.patience_s):
                    await loop.sock_sendall(conn, b"".join(out))
                if answered or broken is not None or not keeps:
                    return

    async def _receive_calls(
        self,
        conn: socket.socket,
        buffer: ReceiveBuffer,
        parser: httptools.HttpRequestParser,
        collector: _Collector,
    ) -> HttpError | None:
        """Wait until a call is whole in the collector, or cannot be read, which is returned; ConnectionError
        at the caller's end."""
        loop, broken = asyncio.get_running_loop(), None
        while not collector.done and broken is None:
            if not await buffer.receive(loop, conn):
                raise ConnectionError("the caller has closed")
            waited_s = min(seconds_since_received(conn) or 0.0, MOST_WAITED_S)
            broken = self._parse(parser, collector, buffer.take(len(buffer)))
            for request in collector.done:
                request.waited_s = waited_s
        return broken

    def _parse(
        self, parser: httptools.HttpRequestParser, collector: _Collector, data: bytes
    ) -> HttpError | None:
        """Feed the parser; what it cannot read ends the connection, as its framing is lost."""
        collector.request.method = collector.request.method or ""
        try:
            parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            return cause if isinstance(cause, HttpError) else HttpError(400, "bad request")
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.counters.add(f"bad.{self.counted}")
            log.warning(f"bad input to the {self.name}", error=str(error))
            return HttpError(400, "no HTTP request")
        finally:
            for request in collector.done:
                request.method = parser.get_method().decode("latin-1")
        return None

    async def _answer(self, request: HttpRequest, close: bool = False) -> bytes:
        try:
            answer = self.handler(request)
            status, data = answer if isinstance(answer, tuple) else await answer
            self.counters.add(f"{self.counted}.{status}")
            return response(status, data, close=close)
        except HttpError as error:
            self.counters.add(f"{self.counted}.{error.status}")
            return response(error.status, {"error": error.text}, error.headers, close=close)
        except Exception:
            self.counters.add(f"error.{self.counted}")
            log.exception("error in a call", method=request.method, path=request.path[:64])
            return response(500, {"error": "internal error"}, close=close)
