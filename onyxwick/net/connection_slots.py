"""Decides which client connection is evicted for a new one when all connection slots are taken.

The eviction rank of a connection is computed from its `ConnectionSlot`. This module does no I/O; times are
monotonic seconds. Connections are evicted in this order:

1. Connections whose calls are all answered, the longest idle first. Their end of stream is written after the
   last answer, so a client that sends a call while the connection closes sends it again.
2. Connections that have sent nothing for `SILENT_GRACE_S`, the oldest first.
3. Connections that have been stuck in a partial call for `PARTIAL_CALL_GRACE_S`.

A connection with open calls or unwritten answers is never evicted.

Rejected alternatives: evicting the newest silent connection affects clients whose first call is not read yet;
with a grace period after each answer there is no connection to evict when many clients send a single call and
stay connected.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

SILENT_GRACE_S = 0.25
"""How long a new connection that has sent nothing is protected from eviction."""
PARTIAL_CALL_GRACE_S = 1.0
"""How long a connection with a partial call is protected from eviction after its last byte."""
SILENT_LIMIT_S = 2.0
"""A connection that sends nothing, or nothing more of a partial call, is closed after this time."""
PARTIAL_CALL_LIMIT_S = 10.0
"""A connection whose call stays partial is closed after this time, even if it still sends bytes."""
IDLE_LIMIT_S = 4.8
"""An idle connection is closed after this time; the platform's clients close theirs after 4 s."""


class EvictionGroup(IntEnum):
    """The groups of connections that may be evicted, in the order of eviction."""

    ANSWERED = 0
    SILENT = 1
    PARTIAL_CALL = 2


@dataclass(frozen=True, slots=True)
class ConnectionSlot:
    """The state that decides whether a connection keeps its slot; times in monotonic seconds."""

    complete_calls: int
    """Calls received so far."""
    open_calls: int
    """Calls that are not answered yet."""
    unwritten_bytes: int
    """Bytes of answers that are not written yet."""
    has_partial_call: bool
    opened_at_s: float
    last_active_at_s: float
    """When the last byte was received or the last answer was queued."""
    is_closing: bool


def eviction_rank(
    slot: ConnectionSlot,
    now_s: float,
    silent_grace_s: float = SILENT_GRACE_S,
    partial_call_grace_s: float = PARTIAL_CALL_GRACE_S,
) -> tuple[EvictionGroup, float] | None:
    """Return the rank of a connection, the lowest being evicted first; None if it must not be evicted.

    The rank is the eviction group and the time by which connections are ordered within the group.
    """
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
    """Return whether a connection without open calls is silent, stuck in a partial call or idle for too long.

    `partial_call_since_s` is the time when its partial call started. The platform's clients may be idle
    between requests, but not before the first one.
    """
    idle_s = now_s - slot.last_active_at_s
    if slot.has_partial_call:
        return idle_s > SILENT_LIMIT_S or now_s - partial_call_since_s > PARTIAL_CALL_LIMIT_S
    if not slot.complete_calls:
        return now_s - slot.opened_at_s > SILENT_LIMIT_S
    return idle_s > IDLE_LIMIT_S
