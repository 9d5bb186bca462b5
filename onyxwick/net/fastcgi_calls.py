"""Converts FastCGI calls to the core's requests and the core's answers to FastCGI responses. Does no I/O.

Only this module maps the parameter names of the clients' protocol to the names used in the code. Times in
`ClientRequest` are microseconds; the clients' protocol uses milliseconds.
"""

from __future__ import annotations

import re

from onyxwick.core import AnswerStatus, ClientRequest, FinalAnswer
from onyxwick.interface import RequestClass
from onyxwick.net import fastcgi
from onyxwick.net.errors import BadCallError

PATH = b"SCRIPT_NAME"
REQUEST_ID = b"HTTP_X_REQUEST_ID"
OBJECT_ID = b"HTTP_X_OBJECT"
PART = b"HTTP_X_NTH"
OBJECT_GROUP = b"HTTP_X_BATCH"
TIMEOUT_MS = b"HTTP_X_TIMEOUT_MS"
CLIENT_ETAG = b"HTTP_X_GOT"
IS_RETRY = b"HTTP_X_RETRY"
IDEMPOTENCY_KEY = b"HTTP_IDEMPOTENCY_KEY"
"""The names of a call's parameters in the platform's protocol."""
CALL_PATH_PREFIX = b"/call/"

STATUS_LINES = {
    AnswerStatus.SERVED: "200 OK",
    AnswerStatus.REJECTED: "503 Service Unavailable",
    AnswerStatus.FAILED: "502 Bad Gateway",
}

MAX_PART = 65_535
MAX_OBJECT_GROUP = 255
MAX_OWNER_NAME_BYTES = 64
"""The maximum length of the name of a tenant or a site."""
MAX_INTEGER_DIGITS = 12
US_PER_MS = 1000
Params = dict[bytes, bytes]

_match_hex16 = re.compile(rb"[0-9a-fA-F]{16}").fullmatch
# The text that a field of the caches' protocol may hold.
_match_field_text = re.compile(rb"[!-+.-<>-~-]{0,128}").fullmatch


class OwnerFields:
    """The call parameters that name the tenant and the client's site; empty if the installation has none."""

    def __init__(self, tenant_field: str = "", site_field: str = "") -> None:
        self.tenant = _parameter_name(tenant_field)
        self.site = _parameter_name(site_field)


def _parameter_name(field: str) -> bytes:
    return f"HTTP_{field.upper().replace('-', '_')}".encode() if field else b""


def _read_hexadecimal(params: Params, name: bytes) -> str:
    text = params.get(name, b"")
    if not _match_hex16(text):
        raise BadCallError(f"invalid {name.decode()}: {text[:32]!r}, expected 16 hexadecimal digits")
    return text.decode()


def _read_integer(params: Params, name: bytes, minimum: int, maximum: int) -> int:
    text = params.get(name, b"0")
    if not text.isdigit() or not minimum <= int(text[:MAX_INTEGER_DIGITS]) <= maximum:
        raise BadCallError(f"invalid {name.decode()}: {text[:32]!r}, expected {minimum} to {maximum}")
    return int(text)


def _read_owner_name(params: Params, name: bytes, kind: str) -> str | None:
    """Return the tenant or site named in a parameter.

    Returns None if the parameter is absent or the installation has no such field.
    """
    text = params.get(name, b"") if name else b""
    if len(text) > MAX_OWNER_NAME_BYTES or not text.isascii():
        raise BadCallError(
            f"invalid {kind}: {text[:32]!r}, expected at most {MAX_OWNER_NAME_BYTES} ASCII bytes"
        )
    return text.decode() or None


def read_request(
    params: Params, body: bytes, arrived_us: int, classes: dict[str, RequestClass], owner: OwnerFields
) -> ClientRequest:
    """Convert a call to the core's request. Raises BadCallError, which names the invalid parameter."""
    class_name = params[PATH].removeprefix(CALL_PATH_PREFIX).decode("latin-1")
    request_class = classes.get(class_name)
    if request_class is None:
        raise BadCallError("unknown request class in SCRIPT_NAME")  # no cache can serve an unknown class
    client_etag = params.get(CLIENT_ETAG, b"").strip(b'"')
    is_retry = params.get(IS_RETRY, b"0")
    key = params.get(IDEMPOTENCY_KEY, b"")
    if not _match_field_text(client_etag) or not _match_field_text(key) or is_retry not in (b"0", b"1"):
        raise BadCallError("invalid HTTP_X_GOT, HTTP_IDEMPOTENCY_KEY or HTTP_X_RETRY")
    if body and not request_class.is_write:
        raise BadCallError(f"request body of {len(body)} bytes, expected none in a read-only request class")
    max_timeout_ms = 2 * request_class.deadline_us // US_PER_MS
    return ClientRequest(
        request_id=_read_hexadecimal(params, REQUEST_ID),
        class_name=class_name,
        object_id=_read_hexadecimal(params, OBJECT_ID),
        part=_read_integer(params, PART, 0, MAX_PART),
        object_group=_read_integer(params, OBJECT_GROUP, 0, MAX_OBJECT_GROUP)
        if OBJECT_GROUP in params
        else None,
        arrived_us=arrived_us,
        timeout_us=_read_integer(params, TIMEOUT_MS, 1, max_timeout_ms) * US_PER_MS,
        is_retry=is_retry == b"1",
        body=body,
        client_etag=client_etag.decode("latin-1"),
        idempotency_key=key.decode("latin-1"),
        tenant=_read_owner_name(params, owner.tenant, "tenant"),
        client_site=_read_owner_name(params, owner.site, "site"),
    )


def encode_answer(number: int, answer: FinalAnswer) -> bytes:
    """Return the FastCGI records that answer the call with this request number."""
    headers = {"Content-Type": "application/octet-stream"}
    if answer.etag:
        headers["ETag"] = f'"{answer.etag}"'
    if answer.status is AnswerStatus.SERVED and answer.not_modified:
        headers["X-Ok304"] = "1"
    if answer.status is AnswerStatus.REJECTED and answer.retry_after_us:
        headers["Retry-After-Ms"] = str(max(1, answer.retry_after_us // US_PER_MS))
    return fastcgi.encode_response(number, STATUS_LINES[answer.status], headers, answer.body)
