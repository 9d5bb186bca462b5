"""The sending side of a node: selects the bytes that each subscriber is sent next.

Each subscriber has a cursor into one shared log, so the memory per subscriber does not grow with the events
and a slow subscriber does not delay the others. A subscriber whose cursor is no longer covered by the log
gets a snapshot. Times are in microseconds.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from onyxwick.distribution.admission import AdmissionLimits, SubscriberAdmission
from onyxwick.distribution.codec import encode_announcement, encode_freshness
from onyxwick.distribution.model import ORIGIN, US_PER_S, Cursor, Freshness
from onyxwick.distribution.replica import Replica, lines_within
from onyxwick.distribution.transitions import check_transition


class SubscriberState(Enum):
    """The state of a subscriber; `TRANSITIONS` lists the legal transitions."""

    CONNECTED = "connected"
    ADMITTED = "admitted"
    LOADING = "loading"
    LIVE = "live"
    CLOSED = "closed"


_S = SubscriberState
TRANSITIONS: dict[SubscriberState, frozenset[SubscriberState]] = {
    _S.CONNECTED: frozenset({_S.ADMITTED, _S.CLOSED}),
    _S.ADMITTED: frozenset({_S.LOADING, _S.LIVE, _S.CLOSED}),
    _S.LOADING: frozenset({_S.LIVE, _S.CLOSED}),
    _S.LIVE: frozenset({_S.LOADING, _S.CLOSED}),
    _S.CLOSED: frozenset(),
}


@dataclass(frozen=True, slots=True)
class FanOutLimits:
    """Limits of one node.

    `follow_timeout_us` is the time within which a subscriber must send its request. A subscriber that reads
    nothing for `stalled_timeout_us` is closed.
    """

    max_subscribers: int = 256
    high_water_bytes: int = 65_536
    heartbeat_interval_us: int = 200_000
    follow_timeout_us: int = 2 * US_PER_S
    stalled_timeout_us: int = 10 * US_PER_S
    admission: AdmissionLimits = field(default_factory=AdmissionLimits)


@dataclass(slots=True, eq=False)
class Subscriber:
    """One subscriber connection; `snapshot_position` is the index of the next snapshot line to send to it."""

    connected_at_us: int
    state: SubscriberState = SubscriberState.CONNECTED
    cursor: Cursor = ORIGIN
    admitted_at_us: int = 0
    snapshot_lines: tuple[bytes, ...] = ()
    snapshot_cursor: Cursor = ORIGIN
    snapshot_position: int = 0
    progress_at_us: int = 0

    def transition(self, state: SubscriberState) -> None:
        """Change the state. Raises IllegalTransitionError if `TRANSITIONS` does not allow the change."""
        check_transition(TRANSITIONS, self.state, state)
        self.state = state


class FanOut:
    """All subscribers of one node. The caller does I/O and calls `next_bytes` when a socket is writable.

    `authoritative` means that this node is the publisher, so that no subscriber can be ahead of it.
    """

    def __init__(
        self, replica: Replica, limits: FanOutLimits | None = None, authoritative: bool = False
    ) -> None:
        self.replica = replica
        self.limits = limits or FanOutLimits()
        self.authoritative = authoritative
        self.admission = SubscriberAdmission(self.limits.admission)
        self.subscribers: set[Subscriber] = set()
        self.counts: Counter[str] = Counter()
        self.pending_freshness_line = b""
        self._next_heartbeat_us = 0

    # ---- connections ----------------------------------------------------------------------------------

    def on_connected(self, now: int) -> Subscriber | None:
        """Register a new connection. Returns None if the node already has `max_subscribers`."""
        if len(self.subscribers) >= self.limits.max_subscribers:
            self.counts["refused.width"] += 1
            return None
        subscriber = Subscriber(connected_at_us=now, progress_at_us=now)
        self.subscribers.add(subscriber)
        return subscriber

    def on_follow(self, subscriber: Subscriber, cursor: Cursor, now: int) -> bool:
        """Handle a subscriber's request to follow from a cursor.

        Returns False if the request is rejected; the caller must then close the connection. A relay that is
        slightly behind the subscriber sends it nothing until the relay has caught up. At the publisher
        (`authoritative`), a subscriber that is ahead proves that events were lost because the disk is an
        older copy, so its request is rejected.
        """
        if not self._may_follow(cursor):
            return False
        wait_us = self.admission.wait_us(now)
        if wait_us is None:
            self.counts["refused.rate"] += 1
            return False
        subscriber.transition(SubscriberState.ADMITTED)
        subscriber.cursor = cursor
        subscriber.admitted_at_us = now + wait_us
        subscriber.progress_at_us = now + wait_us
        self.counts["admitted"] += 1
        return True

    def _may_follow(self, cursor: Cursor) -> bool:
        own = self.replica.cursor
        if own == ORIGIN or cursor.history > own.history:
            self.counts["refused.earlier_history"] += 1
            return False
        if self.authoritative and cursor > own:
            self.counts["refused.diverged"] += 1
            return False
        return True

    def on_closed(self, subscriber: Subscriber) -> None:
        """Remove a subscriber whose connection has closed."""
        self.subscribers.discard(subscriber)
        if subscriber.state is not SubscriberState.CLOSED:
            subscriber.transition(SubscriberState.CLOSED)
        subscriber.snapshot_lines = ()

    def close_reason(self, subscriber: Subscriber, unsent_bytes: int, now: int) -> str:
        """Return why a subscriber must be closed, or an empty string if it may stay.

        An idle subscriber with nothing unsent counts as making progress. A subscriber that reads nothing
        occupies memory.
        """
        if subscriber.state is SubscriberState.CONNECTED:
            waited_us = now - subscriber.connected_at_us
            return "no 'follow N' request received" if waited_us > self.limits.follow_timeout_us else ""
        if unsent_bytes < self.limits.high_water_bytes:
            subscriber.progress_at_us = max(subscriber.progress_at_us, now)
            return ""
        is_stalled = now - subscriber.progress_at_us > self.limits.stalled_timeout_us
        return "reads nothing" if is_stalled else ""

    # ---- bytes to send --------------------------------------------------------------------------------

    def next_bytes(self, subscriber: Subscriber, free_bytes: int, now: int) -> bytes:
        """Return the next bytes for a subscriber whose send buffer has `free_bytes` free.

        The result is empty if there is nothing to send now.
        """
        if free_bytes <= 0 or not self._may_send(subscriber, now):
            return b""
        if subscriber.state is SubscriberState.LOADING:
            data = self._next_snapshot_bytes(subscriber, free_bytes)
        elif subscriber.cursor >= self.replica.cursor:
            return b""
        elif self.replica.log.can_resume(subscriber.cursor):
            data, subscriber.cursor = self.replica.log.lines_after(subscriber.cursor, free_bytes)
        else:
            self._begin_snapshot(subscriber, now)
            data = self._next_snapshot_bytes(subscriber, free_bytes)
        if data:
            subscriber.progress_at_us = now
        return data

    def _may_send(self, subscriber: Subscriber, now: int) -> bool:
        if subscriber.state is SubscriberState.ADMITTED and now >= subscriber.admitted_at_us:
            subscriber.transition(SubscriberState.LIVE)
        return subscriber.state in (SubscriberState.LIVE, SubscriberState.LOADING)

    def _begin_snapshot(self, subscriber: Subscriber, now: int) -> None:
        subscriber.transition(SubscriberState.LOADING)
        snapshot = self.replica.snapshot_lines(now // 1000)
        subscriber.snapshot_cursor = snapshot.cursor
        subscriber.snapshot_lines = snapshot.lines
        subscriber.snapshot_position = 0
        self.counts["snapshots"] += 1

    def _next_snapshot_bytes(self, subscriber: Subscriber, free_bytes: int) -> bytes:
        lines = lines_within(subscriber.snapshot_lines, subscriber.snapshot_position, free_bytes)
        subscriber.snapshot_position += len(lines)
        if subscriber.snapshot_position == len(subscriber.snapshot_lines):
            subscriber.snapshot_lines = ()
            subscriber.cursor = subscriber.snapshot_cursor
            subscriber.transition(SubscriberState.LIVE)
        return b"".join(lines)

    # ---- heartbeats -----------------------------------------------------------------------------------

    def on_freshness(self, message: Freshness) -> None:
        """Record that the publisher was reached. The next heartbeat forwards this."""
        if message.cursor <= self.replica.cursor:
            self.pending_freshness_line = encode_freshness(message.cursor, message.published_ms)

    def heartbeat(self, now: int) -> bytes:
        """Return the lines to send now to each subscriber that `is_current`; empty between two heartbeats."""
        if now < self._next_heartbeat_us:
            return b""
        self._next_heartbeat_us = now + self.limits.heartbeat_interval_us
        lines = self.pending_freshness_line + encode_announcement(self.replica.cursor)
        self.pending_freshness_line = b""
        return lines

    def is_current(self, subscriber: Subscriber) -> bool:
        """Return whether a subscriber has been sent every event."""
        return subscriber.state is SubscriberState.LIVE and subscriber.cursor == self.replica.cursor

    def count_behind(self) -> int:
        """Return the number of subscribers that have not been sent every event."""
        return sum(not self.is_current(subscriber) for subscriber in self.subscribers)
