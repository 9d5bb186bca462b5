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

REST_S = 0.25  # a connection just come that has sent nothing keeps its place so long
HALF_REST_S = 1.0  # one in half a call keeps it so long after its last byte


@dataclass(frozen=True, slots=True)
class ConnectionSlot:
    """What the front knows of one connection, in monotonic seconds."""

    calls: int  # calls whole on it so far
    owed: int  # answers it is owed
    pending: int  # bytes of answers not yet written
    half: bool  # part of a call has come
    born: float
    used_at: float  # its last byte in, or its last answer out
    ending: bool  # its end is under way already


def order(
    seat: ConnectionSlot, now: float, rest_s: float = REST_S, half_rest_s: float = HALF_REST_S
) -> tuple[int, float] | None:
    """Where it stands among those that may give up their place (lowest first); None: it keeps its place."""
    if seat.owed or seat.pending or seat.ending:
        return None
    if seat.half:
        return (2, seat.used_at) if now - seat.used_at >= half_rest_s else None
    if seat.calls:
        return 0, seat.used_at
    return (1, seat.born) if now - seat.born >= rest_s else None
