"""HTTP requests and responses of the small server: parsed under bounds on size, encoded as JSON."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

import httptools
import ujson

from onyxwick.errors import OnyxwickError

MAX_BODY_BYTES = 524_288
MAX_HEAD_BYTES = 16_384
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
"""The reason phrase of each status that is sent."""
NO_CONTENT = 204


class Answer(NamedTuple):
    """The status of a response and the data of its body, as JSON can hold it."""

    status: int
    data: object = None


class HttpError(OnyxwickError):
    """A call is answered with an error status; `text` is the body's field `error`."""

    def __init__(self, status: int, text: str, headers: dict[str, str] | None = None) -> None:
        super().__init__(text)
        self.status = status
        self.text = text
        self.headers = headers or {}


@dataclass(slots=True)
class HttpRequest:
    """One call. `keep_alive`: another may follow on its connection; `queued_s`: seconds since its last bytes
    arrived in the socket."""

    method: str = ""
    path: str = ""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    keep_alive: bool = True
    queued_s: float = 0.0

    def json(self) -> dict[str, object]:
        """The body as a JSON object; HttpError 400 where it is none."""
        try:
            data = ujson.loads(self.body)
        except ValueError as error:
            raise HttpError(400, f"body is no JSON: {error}") from None
        if not isinstance(data, dict):
            raise HttpError(400, "body is no JSON object")
        return data


class _ParserCallbacks:
    """Called by httptools while it parses; collects complete requests."""

    def __init__(self) -> None:
        self.request = HttpRequest()
        self.url = b""
        self.head_bytes = 0
        self.complete: list[HttpRequest] = []
        self.should_keep_alive: Callable[[], bool] = lambda: True  # the parser's, of the call just completed

    def on_url(self, url: bytes) -> None:
        """A part of the URL."""
        self.url += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header."""
        self._count_head(len(name) + len(value))
        self.request.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def _count_head(self, size_bytes: int) -> None:
        self.head_bytes += size_bytes
        if self.head_bytes > MAX_HEAD_BYTES:
            raise HttpError(431, "head too large")

    def on_body(self, body: bytes) -> None:
        """A part of the body."""
        self.request.body += body
        if len(self.request.body) > MAX_BODY_BYTES:
            raise HttpError(413, "body too large")

    def on_message_complete(self) -> None:
        """The request is complete."""
        self.request.path = self.url.partition(b"?")[0].decode("latin-1")
        self.request.keep_alive = self.should_keep_alive()
        self.complete.append(self.request)
        self.request = HttpRequest()
        self.url = b""
        self.head_bytes = 0


class MalformedRequestError(HttpError):
    """The bytes are no HTTP request."""


class RequestParser:
    """The requests of one connection."""

    def __init__(self) -> None:
        self._callbacks = _ParserCallbacks()
        self._parser = httptools.HttpRequestParser(self._callbacks)
        self._callbacks.should_keep_alive = self._parser.should_keep_alive

    @property
    def complete(self) -> list[HttpRequest]:
        """Requests that are complete and not yet taken, in order."""
        return self._callbacks.complete

    def feed(self, data: bytes) -> None:
        """Take in bytes. HttpError where they are no request within the bounds: the connection has to end,
        as its framing is lost."""
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
        """The complete requests, which are removed."""
        requests = list(self.complete)
        self.complete.clear()
        return requests


def encode_response(
    status: int, data: object, headers: dict[str, str] | None = None, close: bool = False
) -> bytes:
    """A response with a JSON body; `close`: it is the last one of its connection."""
    has_body = status != NO_CONTENT
    body = ujson.dumps(data, escape_forward_slashes=False).encode() + b"\n" if has_body else b""
    lines = [f"HTTP/1.1 {status} {REASONS[status]}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if has_body:
        lines += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
    if close:
        lines.append("Connection: close")
    return "\r\n".join((*lines, "", "")).encode() + body
