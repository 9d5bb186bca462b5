"""The rows of a director's store: their keys, their schemas, and the typed records that they stand for.

A row's value is MessagePack of [schema, map]. A row of an older schema is upgraded as it is read; one of a
newer schema is refused, as it may hold what this program would lose. The keys of the maps are the stored
format: they are mapped to fields here and nowhere else.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from onyxwick.store.errors import StoreUnusableError
from onyxwick.store.recovery import DrainSource, MemberDrain, RecordedPurge

StoredRow = dict[str, Any]
StoredRows = dict[str, StoredRow]
"""Rows by key."""
SCHEMAS = {
    "tenant": 1,
    "zone": 1,
    "key": 1,
    "gone": 1,
    "plan": 1,
    "drain": 1,
    "purge": 1,
    "feed": 1,
    "call": 1,
    "booking": 1,
    "siteorder": 1,
}
"""The present schema of each kind of row; the kind is a key's first part."""
UPGRADES: dict[tuple[str, int], Callable[[StoredRow], StoredRow]] = {}
"""By kind and schema, the upgrade to the next schema."""
PLAN_KEY = "plan/now"
FEED_KEY = "feed/last"
encode_row = msgspec.msgpack.Encoder().encode
_decode_row = msgspec.msgpack.Decoder().decode


def row_kind(key: str) -> str:
    """A key's first part."""
    return key.partition("/")[0]


def pack_row(key: str, row: StoredRow) -> bytes:
    """A row's bytes under its present schema."""
    return encode_row([SCHEMAS[row_kind(key)], row])


def unpack_row(key: str, value: bytes) -> StoredRow:
    """A row in its present schema; StoreUnusableError where it cannot be read, or has a newer one."""
    kind = row_kind(key)
    try:
        schema, row = _decode_row(value)
    except (msgspec.MsgspecError, ValueError, TypeError) as error:
        raise StoreUnusableError(f"row '{key}' cannot be read: {error}") from None
    if kind not in SCHEMAS or schema > SCHEMAS[kind]:
        raise StoreUnusableError(f"row '{key}' has schema {schema}, newer than this program knows")
    while schema < SCHEMAS[kind]:
        row = UPGRADES[kind, schema](row)
        schema += 1
    if not isinstance(row, dict):
        raise StoreUnusableError(f"row '{key}' cannot be read: it holds {type(row).__name__}, not a map")
    return row


# ---- drains ---------------------------------------------------------------------------------------------


def drain_key(member: str) -> str:
    """The key of a member's drain."""
    return f"drain/{member}"


def drain_row(drain: MemberDrain) -> StoredRow:
    """A drain as it is stored."""
    return {
        "member": drain.member,
        "by": drain.by.value,
        "since_us": drain.since_us,
        "reason": drain.reason,
        "at_us": drain.at_us,
    }


def drain_of_row(row: StoredRow) -> MemberDrain:
    """A stored drain."""
    return MemberDrain(row["member"], DrainSource(row["by"]), row["since_us"], row["reason"], row["at_us"])


# ---- purges ---------------------------------------------------------------------------------------------

PURGE_PREFIX = "purge/"
_PURGE_TIME_DIGITS = 20  # of the key, so that purges are in the order of their times


def purge_key(purge: RecordedPurge) -> str:
    """The key of a purge, which begins with its time."""
    return f"{PURGE_PREFIX}{purge.unix_us:0{_PURGE_TIME_DIGITS}d}/{purge.group}/{purge.object or ''}"


def purge_key_unix_us(key: str) -> int:
    """The time in a purge's key, in Unix microseconds."""
    start = len(PURGE_PREFIX)
    return int(key[start : start + _PURGE_TIME_DIGITS])


def purge_row(purge: RecordedPurge) -> StoredRow:
    """A purge as it is stored."""
    return {
        "group": purge.group,
        "object": purge.object,
        "unix_us": purge.unix_us,
        "index": purge.index,
    }


def purge_of_row(row: StoredRow) -> RecordedPurge:
    """A stored purge."""
    return RecordedPurge(row["group"], row["object"], row["unix_us"], row["index"])


# ---- the plan of cells and idempotent calls -------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class StoredPlan:
    """The plan of cells that a call has made: its version, and the plan in the API's JSON form."""

    version: int
    plan: dict[str, Any]


def plan_row(plan: StoredPlan) -> StoredRow:
    """A plan as it is stored."""
    return {"version": plan.version, "plan": plan.plan}


def plan_of_row(row: StoredRow) -> StoredPlan:
    """A stored plan."""
    return StoredPlan(int(row["version"]), row["plan"])


@dataclass(frozen=True, slots=True)
class IdempotentCall:
    """The first outcome of a call with an idempotency key; `fingerprint` tells the call from others."""

    fingerprint: str
    status: int
    data: object
    at_us: int


def call_key(idempotency_key: str) -> str:
    """The key of a call's outcome."""
    return f"call/{idempotency_key}"


def call_row(call: IdempotentCall) -> StoredRow:
    """A call's outcome as it is stored."""
    return {"mark": call.fingerprint, "status": call.status, "data": call.data, "at_us": call.at_us}


def call_of_row(row: StoredRow) -> IdempotentCall:
    """A stored call."""
    return IdempotentCall(row["mark"], int(row["status"]), row["data"], row["at_us"])


# ---- write-ahead intents, the feed, site commands -------------------------------------------------------


def intent_key(request_id: str) -> str:
    """The key of the write-ahead intent of a request."""
    return f"booking/{request_id}"


def intent_row(now: int) -> StoredRow:
    """A write-ahead intent as it is stored."""
    return {"at_us": now}


def feed_row(number: int) -> StoredRow:
    """The last number of the feed as it is stored."""
    return {"index": number}


def site_command_key(site: str) -> str:
    """The key of the operator's command for a site."""
    return f"siteorder/{site}"
