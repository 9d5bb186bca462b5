"""Decides which client connection is evicted for a new one when all connection slots are taken. Free of I/O.

Input is a `ConnectionSlot` for each open connection, times in monotonic seconds; output is an eviction rank.

Evicted first is a connection that has been answered and has nothing open, the longest idle one first: its end
is written behind its last answer, so a call that crosses the close is sent again by the client. Next, the
oldest connection that has sent nothing for `SILENT_GRACE_S`; last, one that is stuck in a partial call for
`PARTIAL_CALL_GRACE_S`. A connection with open calls or unwritten answers is never evicted.

Alternatives weighed: evicting the newest silent connection hits clients whose first call is not read yet; a
grace period after each answer leaves no connection to evict when many clients ask once and stay.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

SILENT_GRACE_S = 0.25
"""How long a new connection that has sent nothing keeps its slot."""
PARTIAL_CALL_GRACE_S = 1.0
"""How long a connection with a partial call keeps its slot after its last byte."""
SILENT_LIMIT_S = 2.0
"""After so long a connection that has sent nothing, or nothing more of a partial call, is closed."""
PARTIAL_CALL_LIMIT_S = 10.0
"""After so long a partial call closes its connection although bytes keep coming."""
IDLE_LIMIT_S = 4.8
"""After so long an idle connection is closed; the platform's clients close theirs after 4 s."""


class EvictionGroup(IntEnum):
    """Connections that may be evicted, in the order of their eviction."""

    ANSWERED = 0
    SILENT = 1
    PARTIAL_CALL = 2


@dataclass(frozen=True, slots=True)
class ConnectionSlot:
    """What decides on the slot of one connection; times in monotonic seconds."""

    complete_calls: int
    """Calls received so far."""
    open_calls: int
    """Calls that are not answered yet."""
    unwritten_bytes: int
    """Bytes of answers that are not written yet."""
    has_partial_call: bool
    opened_at_s: float
    last_active_at_s: float
    """When its last byte was received or its last answer posted."""
    is_closing: bool


def eviction_rank(
    slot: ConnectionSlot,
    now_s: float,
    silent_grace_s: float = SILENT_GRACE_S,
    partial_call_grace_s: float = PARTIAL_CALL_GRACE_S,
) -> tuple[EvictionGroup, float] | None:
    """The connection's rank, the lowest evicted first: group and time of entry; None if it is kept."""
    if slot.open_calls or slot.unwritten_bytes or slot.is_closing:
        return None
    if slot.has_partial_call:
        if now_s - slot.last_active_at_s < partial_call_grace_s:
            return None
        return EvictionGroup.PARTIAL_CALL, slot.last_active_at_s
    if slot.complete_calls:
        return EvictionGroup.ANSWERED, slot.last_active_at_s
    if now_s - slot.opened_at_s < silent_grace_s:
        return None
    return EvictionGroup.SILENT, slot.opened_at_s


def exceeds_deadline(slot: ConnectionSlot, now_s: float, partial_call_since_s: float) -> bool:
    """Whether a connection without open calls has been silent, stuck in a partial call or idle for too long.

    `partial_call_since_s`: when its partial call began. The platform's clients may be idle between requests,
    but not before the first.
    """
    idle_s = now_s - slot.last_active_at_s
    if slot.has_partial_call:
        return idle_s > SILENT_LIMIT_S or now_s - partial_call_since_s > PARTIAL_CALL_LIMIT_S
    if not slot.complete_calls:
        return now_s - slot.opened_at_s > SILENT_LIMIT_S
    return idle_s > IDLE_LIMIT_S
