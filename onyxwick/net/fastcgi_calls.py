"""FastCGI calls read as core requests, and answers written as FastCGI records. No sockets."""

from __future__ import annotations

import re

from onyxwick.core import AnswerStatus, ClientRequest, FinalAnswer
from onyxwick.interface import RequestClass
from onyxwick.net import fastcgi

STATUS_LINES = {
    AnswerStatus.SERVED: "200 OK",
    AnswerStatus.REJECTED: "503 Service Unavailable",
    AnswerStatus.FAILED: "502 Bad Gateway",
}

_HEX16 = re.compile(rb"[0-9a-fA-F]{16}").fullmatch
_PLAIN = re.compile(rb"[!-+.-<>-~-]{0,128}").fullmatch  # what may stand in a field of the caches' protocol
MAX_PART = 65_535  # of one object
MAX_OWNER_NAME_BYTES = 64  # bytes of a tenant's or site's name
Params = dict[bytes, bytes]


def _hexadecimal(params: Params, name: bytes) -> str:
    text = params.get(name, b"")
    if not _HEX16(text):
        raise ValueError(f"bad {name.decode()}")
    return text.decode()


def _integer(params: Params, name: bytes, lowest: int, highest: int) -> int:
    text = params.get(name, b"0")
    if not text.isdigit() or not lowest <= int(text[:12]) <= highest:
        raise ValueError(f"bad {name.decode()}")
    return int(text)


def read_request(
    params: Params, body: bytes, arrived_us: int, classes: dict[str, RequestClass], owner: OwnerFields
) -> ClientRequest:
    """The core request that a call asks for; ValueError names the field that cannot be used."""
    class_name = params[b"SCRIPT_NAME"].removeprefix(b"/call/").decode("latin-1")
    kind = classes.get(class_name)
    if kind is None:
        raise ValueError("unknown class")  # no cache could use it
    held, again = params.get(b"HTTP_X_GOT", b"").strip(b'"'), params.get(b"HTTP_X_RETRY", b"0")
    key = params.get(b"HTTP_IDEMPOTENCY_KEY", b"")
    if not _PLAIN(held) or not _PLAIN(key) or again not in (b"0", b"1"):
        raise ValueError("bad X_GOT, IDEMPOTENCY_KEY or X_RETRY")
    if body and not kind.is_write:
        raise ValueError("body of a request that writes nothing")
    return ClientRequest(
        request_id=_hexadecimal(params, b"HTTP_X_REQUEST_ID"),
        class_name=class_name,
        object_id=_hexadecimal(params, b"HTTP_X_OBJECT"),
        part=_integer(params, b"HTTP_X_NTH", 0, MAX_PART),
        object_group=_integer(params, b"HTTP_X_BATCH", 0, 255) if b"HTTP_X_BATCH" in params else None,
        arrived_us=arrived_us,
        timeout_us=_integer(params, b"HTTP_X_TIMEOUT_MS", 1, 2 * kind.deadline_us // 1000) * 1000,
        is_retry=again == b"1",
        body=body,
        client_etag=held.decode("latin-1"),
        idempotency_key=key.decode("latin-1"),
        tenant=_owner_name(params, owner.tenant, "tenant"),
        client_site=_owner_name(params, owner.site, "site"),
    )


class OwnerFields:
    """The request fields that name the tenant and the client's site, where the installation tells them
    apart."""

    def __init__(self, tenant_field: str = "", site_field: str = "") -> None:
        self.tenant, self.site = _parameter(tenant_field), _parameter(site_field)


def _parameter(field: str) -> bytes:
    return f"HTTP_{field.upper().replace('-', '_')}".encode() if field else b""


def _owner_name(params: Params, name: bytes, what: str) -> str | None:
    """What a field names; None: the request does not say, or nobody wants to know."""
    text = params.get(name, b"") if name else b""
    if len(text) > MAX_OWNER_NAME_BYTES or not text.isascii():
        raise ValueError(f"bad {what}")
    return text.decode() or None


def encode_answer(number: int, answer: FinalAnswer) -> bytes:
    """The FastCGI records of a final answer to the call of this number."""
    headers = {"Content-Type": "application/octet-stream"}
    if answer.etag:
        headers["ETag"] = f'"{answer.etag}"'
    if answer.status is AnswerStatus.SERVED and answer.not_modified:
        headers["X-Ok304"] = "1"
    if answer.status is AnswerStatus.REJECTED and answer.retry_after_us:
        headers["Retry-After-Ms"] = str(max(1, answer.retry_after_us // 1000))
    return fastcgi.encode_response(number, STATUS_LINES[answer.status], headers, answer.body)
