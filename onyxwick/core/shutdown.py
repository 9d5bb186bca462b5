"""When a director that is drained or told to end does what: a schedule of stages in real time, and one
decision for each connection. No I/O; all times are monotonic seconds.

A promise that names a time is kept by that time. No stage waits for a condition that a client could keep
false: a connection that never comes free, a call that is never whole, a side that is never closed. The other
way round, nothing is cut off before its stage: an answer on its way to a slow reader has until the last one.

See docs/design/endings.md.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from enum import Enum, IntEnum

HELD_AFTER_S = 4.0
"""So long after a drain's call no connection may be held idle, or with a request from the last `RECENT_S`."""
RECENT_S = 2.0
DRAIN_BEGINS_S = (0.0, 1.0, 2.6, 3.0, 3.4)
"""From a drain's call to each stage. Calls are taken for 1 s, half of `RECENT_S`: a turn of the loop, or a
stop of the process, may be so long before a call is read. The last stage leaves 0.6 s for the same, and for
peers that do not close their side."""

LONGEST_DEADLINE_S, KILL_GRACE_S = 3.0, 0.7
"""SIGKILL comes the longest deadline, counted as so long at most, and the grace after SIGTERM."""
CLOSED_BEFORE_KILL_S, GIVES_BACK_BEFORE_KILL_S, HALF_CALLS_BEFORE_KILL_S = 0.25, 0.45, 0.6
NEWCOMERS_S, NEWCOMERS_MOST_S = 0.45, 0.75
"""For so long after SIGTERM new connections are accepted, at least and at most: they come for up to 0.4 s."""
LAST_CALLS_S = 0.7
"""What comes later than this after SIGTERM must be answered by SIGKILL."""
LAST_WORDS_S = 0.1
"""From the last stage to the process's own end: what was written last goes out."""

HALF_CALL_REST_S = 1.0
"""A call that is being written is waited for while its last byte is younger than this."""
FIRST_CALL_S = 1.0
"""A connection that has just come is left so long for its first call."""
IN_FLIGHT_BYTES = 32_768
"""On their way to the peer: with more it would see the end late, and write calls that cross it."""
DELIVERY_SETTLES_S = 0.2
"""After so many were last on their way: a slow reader's own buffer holds as much again, which nobody sees."""


class ShutdownKind(Enum):
    """What ends."""

    DRAIN = "drain"
    TERMINATION = "termination"
    HANDOVER = "handover"  # a termination while a successor serves on the same listening socket


class ShutdownStage(IntEnum):
    """How far an ending is, in this order."""

    SERVING = 0
    ENDS_FREE = 1  # a connection ends as soon as nothing is owed on it
    REFUSES = 2  # new calls are refused, so that each connection comes free
    ENDS_HALF_CALLS = 3  # calls that are being written, and first calls, are waited for no longer
    GIVES_BACK = 4  # what is still owed gets its final answer now
    CLOSED = 5  # ends are written, whatever still comes


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """Begins of the stages after `SERVING`, in their order. `accept_until`: new connections are taken until
    then, after a termination. `fails_at`: from then on what is owed and may not be refused is failed."""

    kind: ShutdownKind
    begun_at: float
    begins: tuple[float, ...]
    accept_until: float = 0.0
    fails_at: float = math.inf

    def stage(self, now: float) -> ShutdownStage:
        """The stage that holds at this time, however late it is looked at."""
        return ShutdownStage(sum(begin <= now for begin in self.begins))

    def begins_at(self, stage: ShutdownStage) -> float:
        """When a stage after `SERVING` begins."""
        return self.begins[stage - 1]

    def with_earlier(self, other: ShutdownSchedule) -> ShutdownSchedule:
        """This one, with each stage no later than in another one that holds too."""
        begins = tuple(min(pair) for pair in zip(self.begins, other.begins, strict=True))
        return replace(self, begins=begins)


def drain_schedule(called_at: float) -> ShutdownSchedule:
    """Of a drain that the operators called for at this time."""
    return ShutdownSchedule(
        ShutdownKind.DRAIN, called_at, tuple(called_at + after for after in DRAIN_BEGINS_S)
    )


def kill_after_s(longest_deadline_s: float) -> float:
    """From SIGTERM to the earliest SIGKILL."""
    return min(LONGEST_DEADLINE_S, longest_deadline_s) + KILL_GRACE_S


def termination_schedule(
    sent_at: float, heard_at: float, longest_deadline_s: float, successor: bool
) -> ShutdownSchedule:
    """Of a SIGTERM that may have been sent as early as `sent_at` and was heard at `heard_at`: between the
    two the process stood still. SIGKILL is reckoned from the first, newcomers from the second."""
    kill_s = kill_after_s(longest_deadline_s)
    half = kill_s - HALF_CALLS_BEFORE_KILL_S
    gives_back, closed = kill_s - GIVES_BACK_BEFORE_KILL_S, kill_s - CLOSED_BEFORE_KILL_S
    newcomers = max(NEWCOMERS_S, min(NEWCOMERS_MOST_S, half))
    if successor:
        begins = (0.0, 0.0, half, gives_back, closed)
        handover = tuple(sent_at + after for after in begins)
        return ShutdownSchedule(ShutdownKind.HANDOVER, sent_at, handover, heard_at, sent_at + gives_back)
    refuses = min(half, (LAST_CALLS_S + gives_back) / 2)
    begins = (min(newcomers, refuses), refuses, half, gives_back, closed)
    accept_until = heard_at + newcomers
    stages = [sent_at + after for after in begins]
    stages[-1] = max(stages[-1], accept_until)  # newcomers are told so, not reset
    return ShutdownSchedule(
        ShutdownKind.TERMINATION, sent_at, tuple(stages), accept_until, sent_at + gives_back
    )


class ConnectionStep(Enum):
    """What is done with a connection."""

    KEEP = "keep"
    GIVE_BACK = "give_back"  # final answers for what is owed on it
    HEAR_LAST = "hear_last"  # what has come is taken in, and nothing after it
    END = "end"  # its end is written


@dataclass(frozen=True, slots=True)
class ConnectionState:
    """What is known of one connection. Spans in seconds, sizes in bytes."""

    calls: int  # whole ones so far
    owed: int  # answers
    unwritten: int  # of answers, by this process
    delivered_s: float  # since more than `IN_FLIGHT_BYTES` were last on their way
    half_call: bool
    unread: bool  # something stands in its socket
    age_s: float
    rest_s: float  # since its last byte in, or its last answer out


def next_step(stage: ShutdownStage, connection: ConnectionState) -> ConnectionStep:
    """What a stage asks for. A connection without anything owed, on its way or expected ends."""
    if stage is ShutdownStage.SERVING:
        return ConnectionStep.KEEP
    if connection.owed:
        return ConnectionStep.GIVE_BACK if stage >= ShutdownStage.GIVES_BACK else ConnectionStep.KEEP
    if connection.unread:
        return ConnectionStep.HEAR_LAST if stage is ShutdownStage.CLOSED else ConnectionStep.KEEP
    if connection.unwritten:
        return ConnectionStep.KEEP
    if stage < ShutdownStage.ENDS_HALF_CALLS and _expects_call(connection):
        return ConnectionStep.KEEP
    if stage < ShutdownStage.GIVES_BACK and connection.delivered_s < DELIVERY_SETTLES_S:
        return ConnectionStep.KEEP
    return ConnectionStep.END


def _expects_call(connection: ConnectionState) -> bool:
    if connection.half_call:
        return connection.rest_s < HALF_CALL_REST_S
    return not connection.calls and connection.age_s < FIRST_CALL_S
