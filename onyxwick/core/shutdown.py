"""Decides when each stage of a graceful shutdown starts, and what is done with each client connection in it.

Inputs: the time of a drain call or of SIGTERM, the present time, and the state of one connection. Outputs:
a `ShutdownSchedule` with the absolute start of each stage, and a `ConnectionStep`. No I/O; all times are
monotonic seconds.

A limit that names a time is kept by the clock. No stage waits for a condition that a client could keep false:
a connection that never becomes idle, a request that never ends, a peer that never closes. Nothing is closed
before its stage either: an answer on its way to a slow reader has until the last one.

See docs/design/endings.md.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from enum import Enum, IntEnum

DRAIN_LIMIT_S = 4.0
"""This long after a drain call no connection may be open idle, or with a request of the last
`RECENT_REQUEST_S`."""
RECENT_REQUEST_S = 2.0
DRAIN_STAGE_STARTS_S = (0.0, 1.0, 2.6, 3.0, 3.4)
"""From a drain call to each stage. Requests are accepted for 1 s, half of `RECENT_REQUEST_S`: a long turn of
the event loop, or a pause of the process, may pass before a request is read. The last stage leaves 0.6 s for
the same, and for peers that do not close their side."""

MAX_COUNTED_DEADLINE_S = 3.0
KILL_GRACE_S = 0.7
"""SIGKILL comes this long, plus the longest deadline (`MAX_COUNTED_DEADLINE_S` at most), after SIGTERM."""
CLOSED_BEFORE_KILL_S = 0.25
RELEASE_BEFORE_KILL_S = 0.45
PARTIAL_REQUESTS_BEFORE_KILL_S = 0.6
MIN_ACCEPT_S = 0.45
MAX_ACCEPT_S = 0.75
"""For how long after SIGTERM new connections are accepted; clients may still connect for 0.4 s."""
GUARANTEED_UNTIL_S = 0.7
"""A request that arrives later than this after SIGTERM must be answered before SIGKILL."""
FINAL_FLUSH_S = 0.1
"""From the last stage to the exit of the process, for the last bytes written to go out."""

PARTIAL_REQUEST_IDLE_S = 1.0
"""A partly received request is waited for while its last byte is younger than this."""
FIRST_REQUEST_WAIT_S = 1.0
"""A new connection is given this long for its first request."""
IN_FLIGHT_BYTES = 32_768
"""With more bytes on their way, the peer would see the end late and write requests that cross it."""
DELIVERY_SETTLE_S = 0.2
"""Waited after that many bytes were last on their way: a slow reader's own buffer holds as much again, which
cannot be observed here."""


class ShutdownKind(Enum):
    """What is being shut down, and why."""

    DRAIN = "drain"
    TERMINATION = "termination"
    HANDOVER = "handover"
    """A termination while a successor serves on the same listening socket."""


class ShutdownStage(IntEnum):
    """How far a shutdown has got, in this order. Each stage includes what the ones before it do."""

    SERVING = 0
    CLOSE_IDLE = 1
    """A connection is closed as soon as it is idle."""
    REJECT_NEW = 2
    """New requests are rejected, so that each connection becomes idle."""
    CLOSE_PARTIAL = 3
    """Partly received requests, and first requests, are no longer waited for."""
    RELEASE_REQUESTS = 4
    """Requests without a final answer get one now."""
    CLOSE_ALL = 5
    """Connections are closed, whatever still arrives."""

    @property
    def metric_key(self) -> str:
        """The stage as counters and log lines name it."""
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
    """When each stage after `SERVING` starts, in their order.

    `accept_until_s`: after a termination, new connections are accepted until then. `fail_at_s`: from then on,
    requests that may not be rejected are failed.
    """

    kind: ShutdownKind
    started_at_s: float
    stage_starts_s: tuple[float, ...]
    accept_until_s: float = 0.0
    fail_at_s: float = math.inf

    def stage(self, now_s: float) -> ShutdownStage:
        """The stage in force at this time, however late it is asked for."""
        return ShutdownStage(sum(start_s <= now_s for start_s in self.stage_starts_s))

    def stage_start_s(self, stage: ShutdownStage) -> float:
        """When a stage after `SERVING` starts."""
        return self.stage_starts_s[stage - 1]

    def earliest_of(self, other: ShutdownSchedule) -> ShutdownSchedule:
        """This schedule, with each stage no later than in `other`, which is in force too."""
        starts_s = tuple(min(pair) for pair in zip(self.stage_starts_s, other.stage_starts_s, strict=True))
        return replace(self, stage_starts_s=starts_s)


def drain_schedule(requested_at_s: float) -> ShutdownSchedule:
    """The schedule of a drain that the operators requested at this time."""
    starts_s = tuple(requested_at_s + after_s for after_s in DRAIN_STAGE_STARTS_S)
    return ShutdownSchedule(ShutdownKind.DRAIN, requested_at_s, starts_s)


def kill_after_s(max_deadline_s: float) -> float:
    """Seconds from SIGTERM to the earliest SIGKILL, for the longest deadline of all request classes."""
    return min(MAX_COUNTED_DEADLINE_S, max_deadline_s) + KILL_GRACE_S


def termination_schedule(
    sent_at_s: float, received_at_s: float, max_deadline_s: float, has_successor: bool
) -> ShutdownSchedule:
    """The schedule of a SIGTERM that may have been sent as early as `sent_at_s`.

    The process may have been paused between then and `received_at_s`. The time of SIGKILL is computed from
    the first, the time for new connections from the second.
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
        # New connections are answered and closed, never reset.
        starts_s[-1] = max(starts_s[-1], accept_until_s)
    return ShutdownSchedule(kind, sent_at_s, tuple(starts_s), accept_until_s, sent_at_s + release_s)


class ConnectionStep(Enum):
    """What is done with a connection."""

    KEEP = "keep"
    RELEASE_REQUESTS = "give_back"
    """Its requests get their final answers."""
    READ_REMAINING = "hear_last"
    """What has arrived is read, and nothing after it."""
    CLOSE = "end"
    """Its end is written."""


@dataclass(frozen=True, slots=True)
class ConnectionState:
    """What is known of one connection. Spans in seconds, sizes in bytes."""

    request_count: int
    """Requests received completely so far."""
    unanswered: int
    """Requests that have no answer yet."""
    unwritten_bytes: int
    """Bytes of answers that this process has not written yet."""
    since_delivered_s: float
    """Time since more than `IN_FLIGHT_BYTES` were last on their way."""
    has_partial_request: bool
    has_unread_input: bool
    """Something is waiting in its socket."""
    age_s: float
    idle_s: float
    """Time since the last byte received, or the last answer written."""


def next_step(stage: ShutdownStage, connection: ConnectionState) -> ConnectionStep:
    """What a stage requires of a connection: one with nothing unanswered, unsent or expected is closed."""
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
