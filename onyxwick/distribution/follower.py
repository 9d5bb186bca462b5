"""The receiving side: one follower that resumes from its cursor at one of several parents.

Fed with what happened on the connection and with time; answers with actions. It never delivers an event
twice, out of order or over a gap, and never installs a snapshot older than what it has.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from onyxwick.distribution.codec import LinesDigest, decode, encode_follow
from onyxwick.distribution.model import (
    ORIGIN,
    Announcement,
    Cursor,
    FeedEvent,
    Freshness,
    IllegalTransitionError,
    MalformedLineError,
    Payload,
    PurgeEvent,
    SnapshotBegin,
    SnapshotEnd,
    UnknownPayload,
)
from onyxwick.distribution.replica import FeedSnapshot

S_US = 1_000_000


class FollowerState(Enum):
    """Where a follower stands; `TRANSITIONS` has the legal steps."""

    STOPPED = "stopped"
    WAITING = "waiting"
    CONNECTING = "connecting"
    REQUESTED = "requested"
    FOLLOWING = "following"
    LOADING = "loading"


_S = FollowerState
TRANSITIONS: dict[FollowerState, frozenset[FollowerState]] = {
    _S.STOPPED: frozenset({_S.CONNECTING, _S.WAITING}),
    _S.WAITING: frozenset({_S.CONNECTING, _S.STOPPED}),
    _S.CONNECTING: frozenset({_S.REQUESTED, _S.WAITING, _S.STOPPED}),
    _S.REQUESTED: frozenset({_S.FOLLOWING, _S.LOADING, _S.WAITING, _S.STOPPED}),
    _S.FOLLOWING: frozenset({_S.LOADING, _S.WAITING, _S.STOPPED}),
    _S.LOADING: frozenset({_S.FOLLOWING, _S.WAITING, _S.STOPPED}),
}


@dataclass(frozen=True, slots=True)
class FollowerLimits:
    """Times in microseconds. `silence_us`: a parent that sends no line for so long is given up;
    `stale_us`: one that passes on no freshness for so long (None: a plain coordinator sends none);
    `return_us`: how long to stay with another parent than the first; a tick later than `late_tick_us` says
    that this process stood still, not its parent: what waits in the socket is given `grace_us` to be read.
    """

    connect_us: int = 500_000
    first_line_us: int = 3 * S_US
    silence_us: int = 700_000
    stale_us: int | None = 3 * S_US
    stale_most_us: int = 30 * S_US
    return_us: int = 60 * S_US
    late_tick_us: int = 100_000
    grace_us: int = 300_000
    bad_lines: int = 16
    snapshot_bytes: int = 67_108_864


PLAIN_COORDINATOR = FollowerLimits(silence_us=2_200_000, stale_us=None)
"""For a coordinator that sends its last number once a second and no freshness."""


class RetryBackoff(Protocol):
    """Waits between attempts, drawn so that followers that lost a parent together do not return together."""

    def next_delay_us(self) -> int:
        """The wait before the next attempt."""
        ...

    def reset(self) -> None:
        """A connection has worked: the next wait is short again."""
        ...


@dataclass(frozen=True, slots=True)
class ConnectToParent:
    """Open a connection to the parent of this place in the list of parents."""

    parent: int


@dataclass(frozen=True, slots=True)
class SendLine:
    """Write bytes on the connection."""

    data: bytes


@dataclass(frozen=True, slots=True)
class DisconnectFromParent:
    """Close the connection, or give up its attempt."""

    reason: str


@dataclass(frozen=True, slots=True)
class DeliverEvent:
    """The next event, or (`from_snapshot`) a purge of a snapshot that is still being loaded."""

    event: FeedEvent
    from_snapshot: bool = False


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """A snapshot is complete: it replaces all that was delivered before."""

    snapshot: FeedSnapshot


@dataclass(frozen=True, slots=True)
class RefreshFreshness:
    """The publisher was reached, through however many nodes."""

    freshness: Freshness


Action = ConnectToParent | SendLine | DisconnectFromParent | DeliverEvent | InstallSnapshot | RefreshFreshness


class Follower:
    """One follower; `restarts` says that a coordinator whose numbers go back has restarted and is to be read
    from its first event (a plain coordinator has no histories to tell the two apart)."""

    def __init__(
        self,
        parents: int,
        backoff: RetryBackoff,
        cursor: Cursor = ORIGIN,
        limits: FollowerLimits | None = None,
        restarts: bool = False,
    ) -> None:
        if parents < 1:
            raise ValueError("a follower needs a parent")
        self.parents, self.backoff, self.cursor = parents, backoff, cursor
        self.limits, self.restarts = limits or FollowerLimits(), restarts
        self.state = FollowerState.STOPPED
        self.parent = 0
        self.counts: Counter[str] = Counter()
        self.fresh_at: int | None = None  # when freshness was last received, microseconds
        self.published_ms = 0
        self.deadline: int | None = None  # when `tick` is to be called at the latest
        self._announced: Cursor | None = None
        self._bad = 0
        self._joined_at = 0
        self._stale_from: int | None = None
        self._stale_wait_us = self.limits.stale_us or 0
        self._load: _Load | None = None

    def age_us(self, now: int) -> int | None:
        """How old the view may be; None before the first sign of the publisher."""
        return None if self.fresh_at is None else max(0, now - self.fresh_at)

    # ---- inputs ---------------------------------------------------------------------------------------

    def start(self, now: int, delay_us: int = 0) -> Sequence[Action]:
        """Begin, after a delay if one is given."""
        if delay_us > 0:
            self._enter(FollowerState.WAITING, now + delay_us)
            return ()
        return self._connect(now)

    def stop(self) -> Sequence[Action]:
        """End for good."""
        was = self.state
        if was is FollowerState.STOPPED:
            return ()
        self._enter(FollowerState.STOPPED, None)
        self._load = None
        return () if was is FollowerState.WAITING else (DisconnectFromParent("stopped"),)

    def connected(self, now: int) -> Sequence[Action]:
        """The connection has come up."""
        self._enter(FollowerState.REQUESTED, now + self.limits.first_line_us)
        self._announced, self._bad, self._joined_at, self._stale_from = None, 0, now, None
        return (SendLine(encode_follow(self.cursor)),)

    def lost(self, now: int, reason: str) -> Sequence[Action]:
        """The connection has failed or ended; the next parent is tried after a wait."""
        if self.state in (FollowerState.STOPPED, FollowerState.WAITING):
            return ()
        self.counts["lost"] += 1
        self._load = None
        self.parent = (self.parent + 1) % self.parents
        self._enter(FollowerState.WAITING, now + self.backoff.next_delay_us())
        return ()

    def line(self, now: int, line: bytes) -> Sequence[Action]:
        """One line of the connection under way."""
        if self.state not in (FollowerState.REQUESTED, FollowerState.FOLLOWING, FollowerState.LOADING):
            return ()
        self.deadline = now + self.limits.silence_us
        try:
            message = decode(line)
        except MalformedLineError:
            return self._malformed(now)
        if self.state is FollowerState.LOADING and not isinstance(message, SnapshotBegin | SnapshotEnd):
            return self._loading(now, message, line)
        match message:
            case FeedEvent():
                return self._event(now, message)
            case Announcement(cursor):
                return self._announcement(now, cursor)
            case Freshness():
                return self._fresh(now, message)
            case SnapshotBegin():
                return self._snapshot_begin(now, message)
            case SnapshotEnd():
                return self._snapshot_end(now, message)

    def tick(self, now: int) -> Sequence[Action]:
        """Time has passed; due at `deadline` at the latest."""
        if self.deadline is None or now < self.deadline:
            return ()
        if self.state is FollowerState.WAITING:
            return self._connect(now)
        if now - self.deadline > self.limits.late_tick_us:
            self.counts["late_tick"] += 1
            self.deadline = now + self.limits.grace_us
            return ()
        return self._give_up(now, f"silent while {self.state.value}")

    # ---- the connection -------------------------------------------------------------------------------

    def _enter(self, state: FollowerState, deadline: int | None) -> None:
        if state not in TRANSITIONS[self.state]:
            raise IllegalTransitionError(f"from {self.state.value} to {state.value}")
        self.state, self.deadline = state, deadline

    def _connect(self, now: int) -> Sequence[Action]:
        self._enter(FollowerState.CONNECTING, now + self.limits.connect_us)
        return (ConnectToParent(self.parent),)

    def _give_up(self, now: int, reason: str) -> Sequence[Action]:
        self.counts[f"gave_up.{reason.split()[0]}"] += 1
        self.lost(now, reason)
        return (DisconnectFromParent(reason),)

    def _working(self) -> None:
        """The parent serves us: events are taken from it."""
        if self.state is FollowerState.REQUESTED:
            self._enter(FollowerState.FOLLOWING, self.deadline)
        self.backoff.reset()

    def _malformed(self, now: int) -> Sequence[Action]:
        self.counts["bad.line"] += 1
        self._bad += 1
        return self._give_up(now, "malformed lines") if self._bad >= self.limits.bad_lines else ()

    # ---- events ---------------------------------------------------------------------------------------

    def _event(self, now: int, event: FeedEvent) -> Sequence[Action]:
        if event.cursor <= self.cursor:
            self.counts["duplicate"] += 1
            return ()
        if event.cursor.packed != self.cursor.packed + 1:
            return self._give_up(now, f"gap before {event.cursor}")
        self._working()
        self.cursor = event.cursor
        if isinstance(event.payload, UnknownPayload):
            self.counts["bad.event"] += 1  # asking again would not mend it
        return (DeliverEvent(event),)

    def _announcement(self, now: int, cursor: Cursor) -> Sequence[Action]:
        if self._announced is not None and self._announced > self.cursor:
            # Events that were counted a heartbeat ago have not come since.
            return self._give_up(now, f"gap: {self._announced} never came")
        if cursor < self.cursor:
            return self._behind(now)
        self._announced = cursor
        self._working()
        return self._review_parent(now)

    def _behind(self, now: int) -> Sequence[Action]:
        """A parent announces less than we have: a relay that lags, or a plain coordinator after a restart."""
        self.counts["behind"] += 1
        if not self.restarts:
            return ()
        self.cursor = ORIGIN
        return self._give_up(now, "restart of the coordinator")

    def _fresh(self, now: int, message: Freshness) -> Sequence[Action]:
        if message.published_ms <= self.published_ms:
            return ()
        self.published_ms, self.fresh_at = message.published_ms, now
        self._stale_wait_us = self.limits.stale_us or 0
        return (RefreshFreshness(message),)

    def _review_parent(self, now: int) -> Sequence[Action]:
        """Leave a parent that is cut off from the publisher, or return to the first one."""
        if self._is_stale(now):
            self._stale_wait_us = min(self.limits.stale_most_us, 2 * self._stale_wait_us)
            return self._give_up(now, "stale parent")
        if self.parent != 0 and now - self._joined_at > self.limits.return_us:
            self.parent = self.parents - 1  # the one after it is the first
            return self._give_up(now, "return to the first parent")
        return ()

    def _is_stale(self, now: int) -> bool:
        """Has freshness been missing for too long, and was still missing after what waited had been read?"""
        since = max(self._joined_at, self.fresh_at or 0)
        if self.limits.stale_us is None or self.parents < 2 or now - since <= self._stale_wait_us:
            self._stale_from = None
            return False
        if self._stale_from is None:
            self._stale_from = now
        return now - self._stale_from >= self.limits.grace_us

    # ---- snapshots ------------------------------------------------------------------------------------

    def _snapshot_begin(self, now: int, message: SnapshotBegin) -> Sequence[Action]:
        if self.state is FollowerState.LOADING:
            return self._give_up(now, "snapshot within a snapshot")
        if message.cursor <= self.cursor:
            self.counts["refused.snapshot"] += 1
            return self._give_up(now, "stepback: snapshot of an earlier state")
        self._enter(FollowerState.LOADING, self.deadline)
        self._load = _Load(message)
        return ()

    def _loading(self, now: int, message: object, line: bytes) -> Sequence[Action]:
        load = self._load
        assert load is not None
        if not isinstance(message, FeedEvent) or message.cursor != load.begin.cursor:
            return self._give_up(now, "snapshot mixed with other lines")
        load.size += len(line)
        load.digest.add(line)
        load.payloads.append(message.payload)
        if load.size > self.limits.snapshot_bytes or len(load.payloads) > load.begin.lines:
            return self._give_up(now, "snapshot over its bound")
        # A purge binds at once, whatever becomes of the rest; taking one in early can do no harm.
        return (DeliverEvent(message, from_snapshot=True),) if isinstance(message.payload, PurgeEvent) else ()

    def _snapshot_end(self, now: int, message: SnapshotEnd) -> Sequence[Action]:
        load, self._load = self._load, None
        if load is None or message.cursor != load.begin.cursor or message.digest != load.digest.text():
            return self._give_up(now, "snapshot cut short")
        self._enter(FollowerState.FOLLOWING, self.deadline)
        self.backoff.reset()
        self.cursor = message.cursor
        self.counts["snapshots"] += 1
        return (InstallSnapshot(FeedSnapshot(message.cursor, tuple(load.payloads))),)


class _Load:
    """A snapshot that is being received."""

    def __init__(self, begin: SnapshotBegin) -> None:
        self.begin = begin
        self.payloads: list[Payload] = []
        self.digest = LinesDigest()
        self.size = 0
