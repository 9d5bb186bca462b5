"""The rows of a director's store: their keys, schemas and typed records.

A row's value is the MessagePack encoding of [schema, map]. A row with an older schema is upgraded when it is
read; a row with a newer schema is rejected, as it may hold data that this version would lose. The keys of the
maps are the stored format; only this module maps them to fields.
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
"""Rows by their keys."""
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
"""The current schema of each kind of row. The kind is the first part of the row's key."""
UPGRADES: dict[tuple[str, int], Callable[[StoredRow], StoredRow]] = {}
"""Functions that upgrade a row to the next schema, by the row's kind and its present schema."""
PLAN_KEY = "plan/now"
FEED_KEY = "feed/last"
encode_row = msgspec.msgpack.Encoder().encode
_decode_row = msgspec.msgpack.Decoder().decode


def row_kind(key: str) -> str:
    """Return the kind of a row, which is the first part of its key."""
    return key.partition("/")[0]


def pack_row(key: str, row: StoredRow) -> bytes:
    """Encode a row with the current schema of its kind."""
    return encode_row([SCHEMAS[row_kind(key)], row])


def unpack_row(key: str, value: bytes) -> StoredRow:
    """Decode a row and upgrade it to the current schema of its kind.

    Raises StoreUnusableError if it cannot be read, is of an unknown kind or has a newer schema.
    """
    kind = row_kind(key)
    try:
        schema, row = _decode_row(value)
    except (msgspec.MsgspecError, ValueError, TypeError) as error:
        raise StoreUnusableError(f"row '{key}' cannot be read: {error}") from None
    if kind not in SCHEMAS or schema > SCHEMAS[kind]:
        raise StoreUnusableError(f"row '{key}' has schema {schema}, newer than this version supports")
    while schema < SCHEMAS[kind]:
        row = UPGRADES[kind, schema](row)
        schema += 1
    if not isinstance(row, dict):
        raise StoreUnusableError(f"row '{key}' cannot be read: its value is {type(row).__name__}, not a map")
    return row


# ---- drains ---------------------------------------------------------------------------------------------


def drain_key(member: str) -> str:
    """Return the key of a member's drain."""
    return f"drain/{member}"


def drain_row(drain: MemberDrain) -> StoredRow:
    """Convert a drain to a row."""
    return {
        "member": drain.member,
        "by": drain.source.value,
        "since_us": drain.process_started_us,
        "reason": drain.reason,
        "at_us": drain.recorded_at_us,
    }


def drain_of_row(row: StoredRow) -> MemberDrain:
    """Convert a row to a drain. Missing fields get defaults; an unknown source raises StoreUnusableError."""
    try:
        source = DrainSource(row["by"])
    except ValueError:
        raise StoreUnusableError(
            f"the drain of '{row['member']}' has source {row['by']!r}, expected operator or coordinator"
        ) from None
    return MemberDrain(
        row["member"],
        source,
        row.get("since_us", 0),
        row.get("reason", ""),
        row.get("at_us", 0),
    )


# ---- purges ---------------------------------------------------------------------------------------------

PURGE_PREFIX = "purge/"
_PURGE_TIME_DIGITS = 20  # fixed width of the time in the key, which sorts purges by time


def purge_key(purge: RecordedPurge) -> str:
    """Return the key of a purge, which begins with its time."""
    return (
        f"{PURGE_PREFIX}{purge.unix_us:0{_PURGE_TIME_DIGITS}d}/{purge.object_group}/{purge.object_id or ''}"
    )


def purge_key_unix_us(key: str) -> int:
    """Return the time in a purge's key, in Unix microseconds."""
    start = len(PURGE_PREFIX)
    return int(key[start : start + _PURGE_TIME_DIGITS])


def purge_row(purge: RecordedPurge) -> StoredRow:
    """Convert a purge to a row."""
    return {
        "group": purge.object_group,
        "object": purge.object_id,
        "unix_us": purge.unix_us,
        "index": purge.feed_number,
    }


def purge_of_row(row: StoredRow) -> RecordedPurge:
    """Convert a row to a purge. Missing fields get defaults."""
    return RecordedPurge(row["group"], row["object"], row["unix_us"], row.get("index", 0))


# ---- the plan of cells and idempotent calls -------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class StoredPlan:
    """The plan of cells that an API call made: its version, and the plan in the API's JSON format."""

    version: int
    plan: dict[str, Any]


def plan_row(plan: StoredPlan) -> StoredRow:
    """Convert a plan of cells to a row."""
    return {"version": plan.version, "plan": plan.plan}


def plan_of_row(row: StoredRow) -> StoredPlan:
    """Convert a row to a plan of cells."""
    return StoredPlan(int(row["version"]), row["plan"])


@dataclass(frozen=True, slots=True)
class IdempotentCall:
    """The first outcome of a call with an idempotency key. `fingerprint` identifies the call's content."""

    fingerprint: str
    status: int
    data: object
    at_us: int


def call_key(idempotency_key: str) -> str:
    """Return the key of a call's outcome."""
    return f"call/{idempotency_key}"


def call_row(call: IdempotentCall) -> StoredRow:
    """Convert a call's outcome to a row."""
    return {"mark": call.fingerprint, "status": call.status, "data": call.data, "at_us": call.at_us}


def call_of_row(row: StoredRow) -> IdempotentCall:
    """Convert a row to a call's outcome."""
    return IdempotentCall(row["mark"], int(row["status"]), row["data"], row["at_us"])


# ---- write-ahead intents, the feed, site commands -------------------------------------------------------


def intent_key(request_id: str) -> str:
    """Return the key of a request's write-ahead intent."""
    return f"booking/{request_id}"


def intent_row(now: int) -> StoredRow:
    """Build the row of a write-ahead intent recorded at `now`."""
    return {"at_us": now}


def feed_row(number: int) -> StoredRow:
    """Build the row of the last received number of the feed."""
    return {"index": number}


def site_command_key(site: str) -> str:
    """Return the key of the operator's command for a site."""
    return f"siteorder/{site}"
