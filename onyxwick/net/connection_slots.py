"""Who gives up a place to a newcomer when all client places are taken; free of I/O.

Design. A connection that has been answered and owes nothing loses nothing by its end: its end is written
after its last answer, so no reset takes that answer along, and a call that crosses the end is sent again by
the client. It goes first, the one idle longest first. Then one that has sent nothing at all for `rest_s`
since it came, as a true client writes its call at once; the oldest first. Last, one stuck in half a call
for `half_rest_s`: a slow writer may still be on its way. What owes an answer, waits to be written or has
bytes unread keeps its place. Rejected: the newest silent one first, which met true clients before their
first call could be read; and a rest after each answer, which under a crowd that asks once and stays kept
nearly every place taken.
"""

from __future__ import annotations

from dataclasses import dataclass

SILENT_GRACE_S = 0.25  # a connection just come that has sent nothing keeps its place so long
PARTIAL_CALL_GRACE_S = 1.0  # one in half a call keeps it so long after its last byte


@dataclass(frozen=True, slots=True)
class ConnectionSlot:
    """What the front knows of one connection, in monotonic seconds."""

    complete_calls: int  # calls whole on it so far
    open_calls: int  # answers it is owed
    unwritten_bytes: int  # bytes of answers not yet written
    has_partial_call: bool  # part of a call has come
    opened_at_s: float
    last_active_at_s: float  # its last byte in, or its last answer out
    is_closing: bool  # its end is under way already


def eviction_rank(
    slot: ConnectionSlot,
    now_s: float,
    silent_grace_s: float = SILENT_GRACE_S,
    partial_call_grace_s: float = PARTIAL_CALL_GRACE_S,
) -> tuple[int, float] | None:
    """Where it stands among those that may give up their place (lowest first); None: it keeps its place."""
    if slot.open_calls or slot.unwritten_bytes or slot.is_closing:
        return None
    if slot.has_partial_call:
        return (2, slot.last_active_at_s) if now_s - slot.last_active_at_s >= partial_call_grace_s else None
    if slot.complete_calls:
        return 0, slot.last_active_at_s
    return (1, slot.opened_at_s) if now_s - slot.opened_at_s >= silent_grace_s else None
