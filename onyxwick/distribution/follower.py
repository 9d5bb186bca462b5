"""The receiving side of the feed: a follower that resumes from its cursor at one of several parents.

Its inputs are the events of its connection and the passing of time; its outputs are actions for the caller.
It never delivers an event twice, out of order or across a gap, and never installs a snapshot older than its
cursor. Times are in microseconds.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from enum import Enum

from onyxwick.distribution.codec import decode, encode_follow
from onyxwick.distribution.follower_actions import (
    Action,
    ConnectToParent,
    DeliverEvent,
    DisconnectFromParent,
    FollowerLimits,
    InstallSnapshot,
    RefreshFreshness,
    RetryBackoff,
    SendLine,
)
from onyxwick.distribution.model import (
    ORIGIN,
    Announcement,
    Cursor,
    DistributionError,
    FeedEvent,
    Freshness,
    MalformedLineError,
    Message,
    PurgeEvent,
    SnapshotBegin,
    SnapshotEnd,
    UnknownPayload,
)
from onyxwick.distribution.snapshot_loading import SnapshotLoad
from onyxwick.distribution.transitions import check_transition


class FollowerState(Enum):
    """The state of a follower; `TRANSITIONS` lists the legal transitions."""

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
CONNECTED_STATES = (_S.REQUESTED, _S.FOLLOWING, _S.LOADING)


class Follower:
    """One follower that has `parents` parents to choose from.

    With `resets_on_restart`, event numbers that go back mean that the coordinator has restarted, and the feed
    is read again from its first event. A plain coordinator has no histories that would distinguish the
    numbers before its restart from those after it.
    """

    def __init__(
        self,
        parents: int,
        backoff: RetryBackoff,
        cursor: Cursor = ORIGIN,
        limits: FollowerLimits | None = None,
        resets_on_restart: bool = False,
    ) -> None:
        if parents < 1:
            raise DistributionError(f"follower has {parents} parents, expected at least 1")
        self.parents = parents
        self.backoff = backoff
        self.cursor = cursor
        self.limits = limits or FollowerLimits()
        self.resets_on_restart = resets_on_restart
        self.state = FollowerState.STOPPED
        self.parent = 0
        self.counts: Counter[str] = Counter()
        self.fresh_at_us: int | None = None  # time at which freshness was last received
        self.published_ms = 0  # Unix milliseconds at which that freshness was published
        self.deadline_us: int | None = None  # latest time for the next call of `on_tick`
        self._announced: Cursor | None = None
        self._malformed_lines = 0
        self._connected_at_us = 0
        self._stale_since_us: int | None = None
        self._stale_after_us = self.limits.stale_after_us or 0
        self._load: SnapshotLoad | None = None

    def staleness_us(self, now: int) -> int | None:
        """Return the greatest possible age of the state; None before any freshness was received."""
        return None if self.fresh_at_us is None else max(0, now - self.fresh_at_us)

    # ---- inputs ---------------------------------------------------------------------------------------

    def start(self, now: int, delay_us: int = 0) -> Sequence[Action]:
        """Connect to a parent, after `delay_us` if it is not 0."""
        if delay_us > 0:
            self._transition(FollowerState.WAITING, now + delay_us)
            return ()
        return self._connect(now)

    def stop(self) -> Sequence[Action]:
        """Stop following and close the connection, if there is one."""
        previous = self.state
        if previous is FollowerState.STOPPED:
            return ()
        self._transition(FollowerState.STOPPED, None)
        self._load = None
        return () if previous is FollowerState.WAITING else (DisconnectFromParent("stopped"),)

    def on_connected(self, now: int) -> Sequence[Action]:
        """Send the follow request on a newly established connection."""
        self._transition(FollowerState.REQUESTED, now + self.limits.first_line_timeout_us)
        self._announced = None
        self._malformed_lines = 0
        self._connected_at_us = now
        self._stale_since_us = None
        return (SendLine(encode_follow(self.cursor)),)

    def on_connection_lost(self, now: int, reason: str) -> Sequence[Action]:
        """Handle a connection that has failed or closed: the next parent is tried after the backoff."""
        if self.state in (FollowerState.STOPPED, FollowerState.WAITING):
            return ()
        self.counts["lost"] += 1
        self._load = None
        self.parent = (self.parent + 1) % self.parents
        self._transition(FollowerState.WAITING, now + self.backoff.next_delay_us())
        return ()

    def on_line(self, now: int, line: bytes) -> Sequence[Action]:
        """Handle one line received on the connection."""
        if self.state not in CONNECTED_STATES:
            return ()
        self.deadline_us = now + self.limits.silence_timeout_us
        try:
            message = decode(line)
        except MalformedLineError:
            return self._on_malformed_line(now)
        if self._load is not None and not isinstance(message, SnapshotBegin | SnapshotEnd):
            return self._on_snapshot_line(now, self._load, message, line)
        match message:
            case FeedEvent():
                return self._on_event(now, message)
            case Announcement(cursor):
                return self._on_announcement(now, cursor)
            case Freshness():
                return self._on_freshness(now, message)
            case SnapshotBegin():
                return self._on_snapshot_begin(now, message)
            case SnapshotEnd():
                return self._on_snapshot_end(now, message)

    def on_tick(self, now: int) -> Sequence[Action]:
        """Handle the passing of time. It must be called by `deadline_us` at the latest."""
        if self.deadline_us is None or now < self.deadline_us:
            return ()
        if self.state is FollowerState.WAITING:
            return self._connect(now)
        if now - self.deadline_us > self.limits.late_tick_us:
            self.counts["late_tick"] += 1
            self.deadline_us = now + self.limits.grace_us
            return ()
        return self._give_up(now, f"silent while {self.state.value}")

    # ---- the connection -------------------------------------------------------------------------------

    def _transition(self, state: FollowerState, deadline_us: int | None) -> None:
        check_transition(TRANSITIONS, self.state, state)
        self.state = state
        self.deadline_us = deadline_us

    def _connect(self, now: int) -> Sequence[Action]:
        self._transition(FollowerState.CONNECTING, now + self.limits.connect_timeout_us)
        return (ConnectToParent(self.parent),)

    def _give_up(self, now: int, reason: str) -> Sequence[Action]:
        self.counts[f"gave_up.{reason.split()[0]}"] += 1
        self.on_connection_lost(now, reason)
        return (DisconnectFromParent(reason),)

    def _confirm_parent(self) -> None:
        """Record that the parent serves this follower, so that its events are accepted."""
        if self.state is FollowerState.REQUESTED:
            self._transition(FollowerState.FOLLOWING, self.deadline_us)
        self.backoff.reset()

    def _on_malformed_line(self, now: int) -> Sequence[Action]:
        self.counts["bad.line"] += 1
        self._malformed_lines += 1
        if self._malformed_lines >= self.limits.max_malformed_lines:
            return self._give_up(now, "malformed lines")
        return ()

    # ---- events ---------------------------------------------------------------------------------------

    def _on_event(self, now: int, event: FeedEvent) -> Sequence[Action]:
        if event.cursor <= self.cursor:
            self.counts["duplicate"] += 1
            return ()
        if event.cursor.packed != self.cursor.packed + 1:
            return self._give_up(now, f"gap before {event.cursor}")
        self._confirm_parent()
        self.cursor = event.cursor
        if isinstance(event.payload, UnknownPayload):
            self.counts["bad.event"] += 1  # requesting the event again would return the same line
        return (DeliverEvent(event),)

    def _on_announcement(self, now: int, cursor: Cursor) -> Sequence[Action]:
        if self._announced is not None and self._announced > self.cursor:
            # The events that the previous heartbeat announced have not arrived.
            return self._give_up(now, f"gap: announced event {self._announced} did not arrive")
        if cursor < self.cursor:
            return self._on_parent_behind(now)
        self._announced = cursor
        self._confirm_parent()
        return self._review_parent(now)

    def _on_parent_behind(self, now: int) -> Sequence[Action]:
        """Handle a parent that is behind: a relay that lags, or a coordinator after a restart."""
        self.counts["behind"] += 1
        if not self.resets_on_restart:
            return ()
        self.cursor = ORIGIN
        return self._give_up(now, "restart of the coordinator")

    def _on_freshness(self, now: int, message: Freshness) -> Sequence[Action]:
        if message.published_ms <= self.published_ms:
            return ()
        self.published_ms = message.published_ms
        self.fresh_at_us = now
        self._stale_after_us = self.limits.stale_after_us or 0
        return (RefreshFreshness(message),)

    def _review_parent(self, now: int) -> Sequence[Action]:
        """Leave a parent that has lost its path to the publisher, or return to the first parent."""
        if self._is_parent_stale(now):
            self._stale_after_us = min(self.limits.max_stale_after_us, 2 * self._stale_after_us)
            return self._give_up(now, "stale parent")
        if self.parent != 0 and now - self._connected_at_us > self.limits.return_to_first_after_us:
            self.parent = self.parents - 1  # the next parent after the last is the first
            return self._give_up(now, "return to the first parent")
        return ()

    def _is_parent_stale(self, now: int) -> bool:
        """Return whether freshness is overdue, even after `grace_us` to read lines buffered in the socket."""
        since_us = max(self._connected_at_us, self.fresh_at_us or 0)
        has_other_parent = self.parents >= 2
        is_overdue = now - since_us > self._stale_after_us
        if self.limits.stale_after_us is None or not has_other_parent or not is_overdue:
            self._stale_since_us = None
            return False
        if self._stale_since_us is None:
            self._stale_since_us = now
        return now - self._stale_since_us >= self.limits.grace_us

    # ---- snapshots ------------------------------------------------------------------------------------

    def _on_snapshot_begin(self, now: int, message: SnapshotBegin) -> Sequence[Action]:
        if self.state is FollowerState.LOADING:
            return self._give_up(now, "snapshot within a snapshot")
        if message.cursor <= self.cursor:
            self.counts["refused.snapshot"] += 1
            return self._give_up(now, "stepback: snapshot is not newer than the follower's state")
        self._transition(FollowerState.LOADING, self.deadline_us)
        self._load = SnapshotLoad(message)
        return ()

    def _on_snapshot_line(
        self, now: int, load: SnapshotLoad, message: Message, line: bytes
    ) -> Sequence[Action]:
        if not isinstance(message, FeedEvent) or message.cursor != load.begin.cursor:
            return self._give_up(now, "snapshot interleaved with other lines")
        load.add(message, line)
        if load.exceeds(self.limits.max_snapshot_bytes):
            return self._give_up(now, "snapshot exceeds its maximum size or its number of lines")
        # A purge takes effect at once, even if the snapshot is never completed: an early purge is harmless.
        return (DeliverEvent(message, from_snapshot=True),) if isinstance(message.payload, PurgeEvent) else ()

    def _on_snapshot_end(self, now: int, message: SnapshotEnd) -> Sequence[Action]:
        load = self._load
        self._load = None
        snapshot = load.finish(message) if load is not None else None
        if snapshot is None:
            return self._give_up(now, "snapshot incomplete or its digest does not match")
        self._transition(FollowerState.FOLLOWING, self.deadline_us)
        self.backoff.reset()
        self.cursor = message.cursor
        self.counts["snapshots"] += 1
        return (InstallSnapshot(snapshot),)
