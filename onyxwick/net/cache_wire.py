"""Attempts and outcomes as the caches' protocol writes them. No sockets."""

from __future__ import annotations

from functools import cache

from onyxwick.core.model import AttemptOutcome, AttemptSpec
from onyxwick.interface import AnswerDetail, AttemptStatus, FillOption
from onyxwick.net import resp

DETAILS = {
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
ENDS = {
    b"data": AttemptStatus.OK,
    b"unchanged": AttemptStatus.OK,
    b"absent": AttemptStatus.MISS,
    b"full": AttemptStatus.OVERLOADED,
    b"failed": AttemptStatus.ERROR,
    b"moot": AttemptStatus.NOT_SENT,
}
HINTS = (
    (FillOption.COALESCE, "share"),
    (FillOption.ONLY_IF_CACHED, "peek"),
    (FillOption.PARENT_NO_STORE, "pass"),
    (FillOption.STALE_WHILE_REVALIDATE, "swr"),
)


@cache
def _hints(flags: FillOption) -> str:
    return "+".join(word for flag, word in HINTS if flag in flags)


def request_bytes(order: AttemptSpec) -> bytes:
    """The command that asks for an attempt, with the time that is left at this moment."""
    request = order.request
    out = {
        "c": request.class_name,
        "k": request.object_id,
        "p": str(request.part),
        "w": str(max(1, order.remaining_us() // 1000)),
    }
    if order.fill_source is not None:
        out["parent"] = order.fill_source
    if order.retention_rank:
        out["shelf"] = str(order.retention_rank)
    if order.max_age_us:
        # Never 0 by rounding: that would ask for the class's fresh time, and let a purged copy pass.
        out["accept"] = str(max(1, order.max_age_us // 1000))
    if order.fill_options:
        out["hints"] = _hints(order.fill_options)
    if request.client_etag:
        out["got"] = request.client_etag
    if request.idempotency_key:
        out["i"] = request.idempotency_key
    fields = ",".join([f"{name}={value}" for name, value in out.items()])
    return resp.command(b"REQ", request.request_id.encode(), fields.encode(), request.body)


def read_outcome(words: list[bytes], report_names: tuple[str, ...]) -> AttemptOutcome:
    """The outcome that one answer `ID WORD FIELDS BODY` tells of; RespError where it is none."""
    if len(words) != 4 or words[1] not in ENDS:
        raise resp.RespError(f"no answer: {[w[:32] for w in words[:2]]!r}")
    _, word, text, body = words
    told = resp.fields(text)
    try:
        waited = int(float(told.get("first") or 0) * 1000)
        load = dict(pair.partition(":")[::2] for pair in told.get("load", "").split(";") if pair)
        report = tuple(float(load.get(name) or 0) for name in report_names) if load else ()
        dated = int(told.get("dated") or 0) * 1000
    except (ValueError, OverflowError):
        raise resp.RespError(f"bad fields {text[:64]!r}") from None
    return AttemptOutcome(
        ENDS[word],
        DETAILS.get(told.get("note", ""), AnswerDetail.NONE),
        waited,
        report,
        body,
        told.get("digest", ""),
        word == b"unchanged",
        dated,
    )
