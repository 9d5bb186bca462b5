"""Decides when each stage of a graceful shutdown starts, and how it treats each client connection.

From the time of a drain call or of SIGTERM the module computes a `ShutdownSchedule` with the absolute start
of each stage. From the stage and the state of one connection it computes a `ConnectionStep`. It does no I/O;
all times are monotonic seconds.

Time limits are met by the clock alone. No stage waits for a condition that a client could keep false: a
connection that never becomes idle, a request that never ends, a peer that never closes. No connection is
closed before its stage either: an answer in transit to a slow reader has until the last stage.

See docs/design/endings.md.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from enum import Enum, IntEnum

DRAIN_LIMIT_S = 4.0
"""From this long after a drain call, no open connection may be idle, or have a request that arrived within
the last `RECENT_REQUEST_S`."""
RECENT_REQUEST_S = 2.0
"""Age in seconds below which a request counts as recent for `DRAIN_LIMIT_S`."""
DRAIN_STAGE_STARTS_S = (0.0, 1.0, 2.6, 3.0, 3.4)
"""Time from a drain call to the start of each stage. Requests are accepted for 1 s, half of
`RECENT_REQUEST_S`, because a long turn of the event loop or a pause of the process may delay the reading of a
request. The last stage starts 0.6 s before `DRAIN_LIMIT_S` for the same reason, and for peers that do not
close their side."""

MAX_COUNTED_DEADLINE_S = 3.0
KILL_GRACE_S = 0.7
"""SIGKILL comes this long, plus the longest deadline (at most `MAX_COUNTED_DEADLINE_S`), after SIGTERM."""
CLOSED_BEFORE_KILL_S = 0.25
"""Time before SIGKILL at which all connections are closed."""
RELEASE_BEFORE_KILL_S = 0.45
"""Time before SIGKILL at which requests without a final answer get one."""
PARTIAL_REQUESTS_BEFORE_KILL_S = 0.6
"""Time before SIGKILL from which partly received requests are no longer waited for."""
MIN_ACCEPT_S = 0.45
"""Shortest time after SIGTERM for which new connections are accepted, unless a successor serves. Like
`MAX_ACCEPT_S` it is longer than the 0.4 s for which clients may still connect."""
MAX_ACCEPT_S = 0.75
"""Longest time after SIGTERM for which new connections are accepted."""
GUARANTEED_UNTIL_S = 0.7
"""Without a successor, and if the longest deadline is over 0.6 s, a termination rejects no new request before
this long after SIGTERM. The deadline of a request that arrives later may be after SIGKILL; such a request too
must be answered before SIGKILL."""
FINAL_FLUSH_S = 0.1
"""Time from the last stage to the exit of the process, in which the last written bytes are sent."""

PARTIAL_REQUEST_IDLE_S = 1.0
"""The rest of a partly received request is awaited while its last byte is younger than this."""
FIRST_REQUEST_WAIT_S = 1.0
"""A new connection has this long to send its first request."""
MAX_IN_FLIGHT_BYTES = 32_768
"""With more answer bytes in flight than this, the peer would see the end of the connection late, and send
requests that cross it."""
DELIVERY_SETTLE_S = 0.2
"""Before the stage `RELEASE_REQUESTS`, a connection is kept open for this long after more than
`MAX_IN_FLIGHT_BYTES` were last in flight on it. A slow reader's own buffer holds as many bytes again, which
cannot be observed here."""


class ShutdownKind(Enum):
    """Kind of a shutdown: a drain by the operators, or the end of the process."""

    DRAIN = "drain"
    TERMINATION = "termination"
    HANDOVER = "handover"
    """A termination while a successor process serves on the same listening socket."""


class ShutdownStage(IntEnum):
    """Stages of a shutdown, in this order. Each stage also does what the earlier stages do."""

    SERVING = 0
    CLOSE_IDLE = 1
    """Each connection is closed as soon as it is idle."""
    REJECT_NEW = 2
    """New requests are rejected, so that each connection becomes idle."""
    CLOSE_PARTIAL = 3
    """Partly received requests, and first requests on new connections, are no longer awaited."""
    RELEASE_REQUESTS = 4
    """Requests without a final answer get one."""
    CLOSE_ALL = 5
    """All connections are closed, even if more input arrives."""

    @property
    def metric_key(self) -> str:
        """Name of the stage in counters and log lines."""
        return _STAGE_METRIC_KEYS[self]


_STAGE_METRIC_KEYS = {
    ShutdownStage.SERVING: "serving",
    ShutdownStage.CLOSE_IDLE: "ends_free",
    ShutdownStage.REJECT_NEW: "refuses",
    ShutdownStage.CLOSE_PARTIAL: "ends_half_calls",
    ShutdownStage.RELEASE_REQUESTS: "gives_back",
    ShutdownStage.CLOSE_ALL: "closed",
}


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """The start times of all stages after `SERVING`, in their order.

    In a termination, new connections are accepted until `accept_until_s`. From `fail_at_s` on, requests that
    may not be rejected are failed.
    """

    kind: ShutdownKind
    started_at_s: float
    stage_starts_s: tuple[float, ...]
    accept_until_s: float = 0.0
    fail_at_s: float = math.inf

    def stage(self, now_s: float) -> ShutdownStage:
        """Return the stage in force at `now_s`, even if the caller skipped earlier stages."""
        return ShutdownStage(sum(start_s <= now_s for start_s in self.stage_starts_s))

    def stage_start_s(self, stage: ShutdownStage) -> float:
        """Return the start time of a stage after `SERVING`."""
        return self.stage_starts_s[stage - 1]

    def with_earliest_starts(self, other: ShutdownSchedule) -> ShutdownSchedule:
        """Return this schedule with each stage no later than in `other`, which is also in force.

        `fail_at_s` stays: `other` may leave requests open beyond its last stage.
        """
        starts_s = tuple(min(pair) for pair in zip(self.stage_starts_s, other.stage_starts_s, strict=True))
        return replace(self, stage_starts_s=starts_s)


def drain_schedule(requested_at_s: float) -> ShutdownSchedule:
    """Return the schedule of a drain that the operators requested at `requested_at_s`."""
    starts_s = tuple(requested_at_s + after_s for after_s in DRAIN_STAGE_STARTS_S)
    return ShutdownSchedule(ShutdownKind.DRAIN, requested_at_s, starts_s)


def kill_after_s(max_deadline_s: float) -> float:
    """Return the seconds from SIGTERM to the earliest SIGKILL.

    `max_deadline_s` is the longest deadline of all request classes.
    """
    return min(MAX_COUNTED_DEADLINE_S, max_deadline_s) + KILL_GRACE_S


def termination_schedule(
    sent_at_s: float, received_at_s: float, max_deadline_s: float, has_successor: bool
) -> ShutdownSchedule:
    """Return the schedule after a SIGTERM that may have been sent as early as `sent_at_s`.

    The process may have been paused between `sent_at_s` and `received_at_s`. The time of SIGKILL is computed
    from `sent_at_s`, and the time until which new connections are accepted from `received_at_s`.
    """
    kill_s = kill_after_s(max_deadline_s)
    close_partial_s = kill_s - PARTIAL_REQUESTS_BEFORE_KILL_S
    release_s = kill_s - RELEASE_BEFORE_KILL_S
    close_all_s = kill_s - CLOSED_BEFORE_KILL_S
    if has_successor:
        offsets_s = (0.0, 0.0, close_partial_s, release_s, close_all_s)
        starts_s = [sent_at_s + offset_s for offset_s in offsets_s]
        kind = ShutdownKind.HANDOVER
        accept_until_s = received_at_s
    else:
        accept_s = max(MIN_ACCEPT_S, min(MAX_ACCEPT_S, close_partial_s))
        reject_s = min(close_partial_s, (GUARANTEED_UNTIL_S + release_s) / 2)
        offsets_s = (min(accept_s, reject_s), reject_s, close_partial_s, release_s, close_all_s)
        starts_s = [sent_at_s + offset_s for offset_s in offsets_s]
        kind = ShutdownKind.TERMINATION
        accept_until_s = received_at_s + accept_s
        # The last stage waits until no more connections are accepted: new connections are answered and
        # closed, never reset.
        starts_s[-1] = max(starts_s[-1], accept_until_s)
    return ShutdownSchedule(kind, sent_at_s, tuple(starts_s), accept_until_s, sent_at_s + release_s)


class ConnectionStep(Enum):
    """Action that a stage requires on a connection."""

    KEEP = "keep"
    RELEASE_REQUESTS = "give_back"
    """Give the connection's requests their final answers."""
    READ_REMAINING = "hear_last"
    """Read the input that has arrived, and none that arrives later."""
    CLOSE = "end"
    """Write the connection's end of stream."""


@dataclass(frozen=True, slots=True)
class ConnectionState:
    """Observed state of one connection. Times are in seconds, sizes in bytes."""

    request_count: int
    """Number of requests received completely so far."""
    unanswered: int
    """Number of requests that have no answer yet."""
    unwritten_bytes: int
    """Answer bytes that this process has not written yet."""
    since_delivered_s: float
    """Time since more than `MAX_IN_FLIGHT_BYTES` were last in flight on the connection."""
    has_partial_request: bool
    has_unread_input: bool
    """Input is waiting in the socket."""
    age_s: float
    idle_s: float
    """Time since the last byte was received or the last answer was written."""


def next_step(stage: ShutdownStage, connection: ConnectionState) -> ConnectionStep:
    """Return the step that a stage requires on a connection.

    A connection is closed if it has no unanswered request, no unsent bytes and no expected request.
    """
    if stage is ShutdownStage.SERVING:
        return ConnectionStep.KEEP
    if connection.unanswered:
        released = stage >= ShutdownStage.RELEASE_REQUESTS
        return ConnectionStep.RELEASE_REQUESTS if released else ConnectionStep.KEEP
    if connection.has_unread_input:
        return ConnectionStep.READ_REMAINING if stage is ShutdownStage.CLOSE_ALL else ConnectionStep.KEEP
    if connection.unwritten_bytes:
        return ConnectionStep.KEEP
    if stage < ShutdownStage.CLOSE_PARTIAL and _expects_request(connection):
        return ConnectionStep.KEEP
    if stage < ShutdownStage.RELEASE_REQUESTS and connection.since_delivered_s < DELIVERY_SETTLE_S:
        return ConnectionStep.KEEP
    return ConnectionStep.CLOSE


def _expects_request(connection: ConnectionState) -> bool:
    if connection.has_partial_request:
        return connection.idle_s < PARTIAL_REQUEST_IDLE_S
    return not connection.request_count and connection.age_s < FIRST_REQUEST_WAIT_S
