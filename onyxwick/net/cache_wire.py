"""Encoding of attempts and decoding of replies in the caches' protocol. Performs no I/O.

Only this module translates between the field names and words of that protocol and the terms of the code.
Times are microseconds in the code and milliseconds on the wire.
"""

from __future__ import annotations

from functools import cache
from typing import NamedTuple

from onyxwick.core.model import AttemptOutcome, AttemptSpec
from onyxwick.interface import AnswerDetail, AttemptStatus, FillOption
from onyxwick.net import resp
from onyxwick.net.errors import RespProtocolError

REQUEST_COMMAND = b"REQ"
CANCEL_COMMAND = b"STOP"

# Fields of a request
CLASS = "c"
OBJECT_ID = "k"
PART = "p"
TIMEOUT_MS = "w"
FILL_SOURCE = "parent"
RETENTION_RANK = "shelf"
MAX_AGE_MS = "accept"
FILL_OPTIONS = "hints"
CLIENT_ETAG = "got"
IDEMPOTENCY_KEY = "i"
WIRE_FILL_OPTIONS = (
    (FillOption.COALESCE, "share"),
    (FillOption.ONLY_IF_CACHED, "peek"),
    (FillOption.PARENT_NO_STORE, "pass"),
    (FillOption.STALE_WHILE_REVALIDATE, "swr"),
)

# Fields of a reply
FIRST_BYTE_MS = "first"
LOAD_REPORT = "load"
DATED_MS = "dated"
DETAIL = "note"
ETAG = "digest"
UNCHANGED = b"unchanged"
WORDS_PER_REPLY = 4
"""Number of elements of a reply: `ID WORD FIELDS BODY`."""
STATUS_BY_REPLY_WORD = {
    b"data": AttemptStatus.OK,
    UNCHANGED: AttemptStatus.OK,
    b"absent": AttemptStatus.MISS,
    b"full": AttemptStatus.OVERLOADED,
    b"failed": AttemptStatus.ERROR,
    b"moot": AttemptStatus.NOT_SENT,
}
DETAIL_BY_NOTE = {
    "HIT": AnswerDetail.HIT,
    "MISS": AnswerDetail.FILLED,
    "MISS_ORIGIN": AnswerDetail.FILLED_FROM_ORIGIN,
    "COLLAPSED": AnswerDetail.COALESCED,
    "STALE": AnswerDetail.STALE,
    "UP_BUSY": AnswerDetail.SOURCE_REJECTED,
    "UP_DOWN": AnswerDetail.SOURCE_UNREACHABLE,
    "UP_MISS": AnswerDetail.SOURCE_MISS,
    "NO_FILL": AnswerDetail.NO_FILL_SLOT,
    "ORIGIN_ERR": AnswerDetail.ORIGIN_FAILED,
}
US_PER_MS = 1000
MAX_FIELDS_BYTES = 16_384
"""Fields of a reply that are longer than this are rejected; the platform's take some hundred bytes."""
QUOTED_WORD_BYTES = 32
QUOTED_FIELDS_BYTES = 64


@cache
def _encode_fill_options(options: FillOption) -> str:
    return "+".join(word for option, word in WIRE_FILL_OPTIONS if option in options)


def encode_attempt(spec: AttemptSpec) -> bytes:
    """Encode the command that starts an attempt, with the time that remains at the moment of the call."""
    request = spec.request
    fields = {
        CLASS: request.class_name,
        OBJECT_ID: request.object_id,
        PART: str(request.part),
        TIMEOUT_MS: str(max(1, spec.remaining_us() // US_PER_MS)),
    }
    if spec.fill_source is not None:
        fields[FILL_SOURCE] = spec.fill_source
    if spec.retention_rank:
        fields[RETENTION_RANK] = str(spec.retention_rank)
    if spec.max_age_us:
        # The age must not be rounded down to 0: a cache would then apply the freshness of the class and
        # accept a purged copy.
        fields[MAX_AGE_MS] = str(max(1, spec.max_age_us // US_PER_MS))
    if spec.fill_options:
        fields[FILL_OPTIONS] = _encode_fill_options(spec.fill_options)
    if request.client_etag:
        fields[CLIENT_ETAG] = request.client_etag
    if request.idempotency_key:
        fields[IDEMPOTENCY_KEY] = request.idempotency_key
    text = ",".join([f"{name}={value}" for name, value in fields.items()])
    return resp.encode_command(REQUEST_COMMAND, request.request_id.encode(), text.encode(), request.body)


def encode_cancel(request_id: bytes) -> bytes:
    """Encode the command that cancels an attempt."""
    return resp.encode_command(CANCEL_COMMAND, request_id)


class CacheReply(NamedTuple):
    """One reply: the id of the attempt that it answers, and the outcome of that attempt."""

    request_id: bytes
    outcome: AttemptOutcome


def decode_reply(words: list[bytes], report_names: tuple[str, ...]) -> CacheReply:
    """Decode the reply in one RESP array. Raises RespProtocolError if it is not a valid reply.

    `report_names` lists the values of the load report that are copied to the outcome, in this order.
    """
    if len(words) != WORDS_PER_REPLY or words[1] not in STATUS_BY_REPLY_WORD:
        start = [word[:QUOTED_WORD_BYTES] for word in words[:2]]
        raise RespProtocolError(f"invalid reply {start!r}, expected ID WORD FIELDS BODY")
    request_id, word, text, body = words
    if len(text) > MAX_FIELDS_BYTES:
        raise RespProtocolError(f"reply fields of {len(text)} bytes, expected at most {MAX_FIELDS_BYTES}")
    fields = resp.parse_fields(text)
    try:
        first_byte_us = int(float(fields.get(FIRST_BYTE_MS) or 0) * US_PER_MS)
        report = _load_report(fields.get(LOAD_REPORT, ""), report_names)
        dated_us = int(fields.get(DATED_MS) or 0) * US_PER_MS
    except (ValueError, OverflowError):
        raise RespProtocolError(f"invalid reply fields {text[:QUOTED_FIELDS_BYTES]!r}") from None
    outcome = AttemptOutcome(
        STATUS_BY_REPLY_WORD[word],
        DETAIL_BY_NOTE.get(fields.get(DETAIL, ""), AnswerDetail.NONE),
        first_byte_us,
        report,
        body,
        fields.get(ETAG, ""),
        word == UNCHANGED,
        dated_us,
    )
    return CacheReply(request_id, outcome)


def _load_report(text: str, names: tuple[str, ...]) -> tuple[float, ...]:
    """Return the named values of `name:value;name:value`.

    An absent value is 0. The result is empty if there is no report.
    """
    if not text:
        return ()
    values = dict([pair.partition(":")[::2] for pair in text.split(";") if pair])
    if not values:
        return ()
    return tuple(float(values.get(name) or 0) for name in names)
