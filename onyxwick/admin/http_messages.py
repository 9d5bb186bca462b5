"""HTTP requests, parsed with size limits, and HTTP responses, encoded with JSON bodies."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

import httptools
import ujson

from onyxwick.errors import OnyxwickError

MAX_BODY_BYTES = 524_288
MAX_HEAD_BYTES = 16_384
MAX_PIPELINED_REQUESTS = 1024
REASON_PHRASES = {
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
"""The reason phrase of each status that the server sends."""
NO_CONTENT = 204


class Answer(NamedTuple):
    """The status of a response and the JSON-compatible data of its body."""

    status: int
    data: object = None


class HttpError(OnyxwickError):
    """Raised to answer a call with an error status; `text` becomes the body's field `error`."""

    def __init__(self, status: int, text: str, headers: dict[str, str] | None = None) -> None:
        super().__init__(text)
        self.status = status
        self.text = text
        self.headers = headers or {}


@dataclass(slots=True)
class HttpRequest:
    """One call.

    `keep_alive` states whether another call may follow on the connection; `queued_s` is the number of seconds
    since the call's last bytes arrived in the socket.
    """

    method: str = ""
    path: str = ""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    keep_alive: bool = True
    queued_s: float = 0.0

    def path_parts(self) -> list[str]:
        """Return the segments of the path that are not empty."""
        return [part for part in self.path.split("/") if part]

    def json(self) -> dict[str, object]:
        """Parse the body as a JSON object. Raises HttpError 400 if it is not one."""
        try:
            data = ujson.loads(self.body)
        except ValueError as error:
            raise HttpError(400, f"body is no JSON: {error}") from None
        if not isinstance(data, dict):
            raise HttpError(400, "body is not a JSON object")
        return data


class _ParserCallbacks:
    """Callbacks for httptools' parser, which collect complete requests."""

    def __init__(self, max_body_bytes: int, max_requests: int) -> None:
        self.max_body_bytes = max_body_bytes
        self.max_requests = max_requests
        self.request = HttpRequest()
        self.url = b""
        self.head_bytes = 0
        self.complete: list[HttpRequest] = []
        self.should_keep_alive: Callable[[], bool] = lambda: True
        """The parser's method; it applies to the request that was just completed."""

    def on_url(self, url: bytes) -> None:
        """Append a fragment of the URL. Raises HttpError 431 if the head is too large."""
        self.url += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header. Raises HttpError 431 if the head is too large."""
        self._count_head(len(name) + len(value))
        self.request.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def _count_head(self, size_bytes: int) -> None:
        self.head_bytes += size_bytes
        if self.head_bytes > MAX_HEAD_BYTES:
            raise HttpError(431, "head too large")

    def on_body(self, body: bytes) -> None:
        """Append a fragment of the body. Raises HttpError 413 if the body is too large."""
        self.request.body += body
        if len(self.request.body) > self.max_body_bytes:
            raise HttpError(413, "body too large")

    def on_message_complete(self) -> None:
        """Add the completed request to `complete` and start a new one."""
        self.request.path = self.url.partition(b"?")[0].decode("latin-1")
        self.request.keep_alive = self.should_keep_alive()
        if len(self.complete) < self.max_requests:
            self.complete.append(self.request)
        self.request = HttpRequest()
        self.url = b""
        self.head_bytes = 0


class MalformedRequestError(HttpError):
    """The received bytes are not an HTTP request."""


class RequestParser:
    """Parses the requests of one connection. Of those received at once only `max_requests` are kept."""

    def __init__(
        self, max_body_bytes: int = MAX_BODY_BYTES, max_requests: int = MAX_PIPELINED_REQUESTS
    ) -> None:
        self._callbacks = _ParserCallbacks(max_body_bytes, max_requests)
        self._parser = httptools.HttpRequestParser(self._callbacks)
        self._callbacks.should_keep_alive = self._parser.should_keep_alive

    @property
    def complete(self) -> list[HttpRequest]:
        """Return the complete requests that were not taken yet, in order, without removing them."""
        return self._callbacks.complete

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        Raises HttpError if they are not a request within the size limits. The connection must then be closed,
        because the start of the next request is unknown.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            raise cause if isinstance(cause, HttpError) else HttpError(400, "bad request") from None
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise MalformedRequestError(400, "no HTTP request") from error
        finally:
            for request in self.complete:
                request.method = self._parser.get_method().decode("latin-1")

    def take(self) -> list[HttpRequest]:
        """Return and remove the complete requests."""
        requests = list(self.complete)
        self.complete.clear()
        return requests


def encode_response(
    status: int, data: object, headers: dict[str, str] | None = None, close: bool = False
) -> bytes:
    """Encode a response with a JSON body. `close` announces that the connection closes after it."""
    has_body = status != NO_CONTENT
    body = ujson.dumps(data, escape_forward_slashes=False).encode() + b"\n" if has_body else b""
    lines = [f"HTTP/1.1 {status} {REASON_PHRASES[status]}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if has_body:
        lines += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
    if close:
        lines.append("Connection: close")
    return "\r\n".join((*lines, "", "")).encode() + body
