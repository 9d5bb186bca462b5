"""The sending side of a node: which bytes each subscriber gets next.

Subscribers pull: each has a cursor into the one log that all share, so its memory does not grow with events,
and a slow one delays nobody. One that falls behind the log is given a snapshot.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from onyxwick.distribution.admission import AdmissionLimits, SubscriberAdmission
from onyxwick.distribution.codec import encode_announcement, encode_freshness
from onyxwick.distribution.model import ORIGIN, Cursor, Freshness, IllegalTransitionError
from onyxwick.distribution.replica import Replica

S_US = 1_000_000


class SubscriberState(Enum):
    """Where a subscriber stands; `TRANSITIONS` has the legal steps."""

    CONNECTED = "connected"
    ADMITTED = "admitted"
    LOADING = "loading"
    LIVE = "live"
    CLOSED = "closed"


TRANSITIONS: dict[SubscriberState, frozenset[SubscriberState]] = {
    SubscriberState.CONNECTED: frozenset({SubscriberState.ADMITTED, SubscriberState.CLOSED}),
    SubscriberState.ADMITTED: frozenset(
        {SubscriberState.LOADING, SubscriberState.LIVE, SubscriberState.CLOSED}
    ),
    SubscriberState.LOADING: frozenset({SubscriberState.LIVE, SubscriberState.CLOSED}),
    SubscriberState.LIVE: frozenset({SubscriberState.LOADING, SubscriberState.CLOSED}),
    SubscriberState.CLOSED: frozenset(),
}


@dataclass(frozen=True, slots=True)
class FanOutLimits:
    """Bounds of one node. `stuck_us`: a subscriber that takes nothing for so long is closed."""

    width: int = 256
    high_water_bytes: int = 65_536
    heartbeat_us: int = 200_000
    follow_us: int = 2 * S_US
    stuck_us: int = 10 * S_US
    admission: AdmissionLimits = field(default_factory=AdmissionLimits)


@dataclass(slots=True, eq=False)
class Subscriber:
    """One connection. `unsent_bytes` is what its socket has not taken yet, as last reported."""

    since: int
    state: SubscriberState = SubscriberState.CONNECTED
    cursor: Cursor = ORIGIN
    admitted_at: int = 0
    snapshot: tuple[bytes, ...] = ()
    snapshot_cursor: Cursor = ORIGIN
    snapshot_place: int = 0
    progress_at: int = 0

    def enter(self, state: SubscriberState) -> None:
        """Change the state; IllegalTransitionError where the table does not allow it."""
        if state not in TRANSITIONS[self.state]:
            raise IllegalTransitionError(f"from {self.state.value} to {state.value}")
        self.state = state


class FanOut:
    """All subscribers of one node. The caller moves bytes: it asks `take` whenever a socket has room.

    `authoritative`: this node is the publisher, behind which no subscriber can be.
    """

    def __init__(
        self, replica: Replica, limits: FanOutLimits | None = None, authoritative: bool = False
    ) -> None:
        self.replica, self.limits, self.authoritative = replica, limits or FanOutLimits(), authoritative
        self.admission = SubscriberAdmission(self.limits.admission)
        self.subscribers: set[Subscriber] = set()
        self.counts: Counter[str] = Counter()
        self.freshness: bytes = b""
        self._beat_at = 0

    def connect(self, now: int) -> Subscriber | None:
        """A new connection; None where the node has its full width already."""
        if len(self.subscribers) >= self.limits.width:
            self.counts["refused.width"] += 1
            return None
        subscriber = Subscriber(since=now, progress_at=now)
        self.subscribers.add(subscriber)
        return subscriber

    def follow(self, subscriber: Subscriber, cursor: Cursor, now: int) -> bool:
        """The subscriber's request to follow from a cursor; False: it is refused and to be closed.

        A relay that is a little behind the subscriber sends it nothing until it has caught up. At the
        publisher (`authoritative`) the same is proof of lost events: its disk is an older copy. That is
        refused.
        """
        if not self._may_follow(cursor):
            return False
        wait = self.admission.wait_us(now)
        if wait is None:
            self.counts["refused.rate"] += 1
            return False
        subscriber.enter(SubscriberState.ADMITTED)
        subscriber.cursor, subscriber.admitted_at, subscriber.progress_at = cursor, now + wait, now + wait
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

    def close(self, subscriber: Subscriber) -> None:
        """The connection is gone."""
        self.subscribers.discard(subscriber)
        if subscriber.state is not SubscriberState.CLOSED:
            subscriber.enter(SubscriberState.CLOSED)
        subscriber.snapshot = ()

    def take(self, subscriber: Subscriber, room: int, now: int) -> bytes:
        """The next bytes for a subscriber whose socket has room for so many; empty: nothing to send now."""
        if room <= 0 or not self._may_send(subscriber, now):
            return b""
        if subscriber.state is SubscriberState.LOADING:
            data = self._take_snapshot(subscriber, room)
        elif subscriber.cursor >= self.replica.cursor:
            return b""
        elif self.replica.log.can_resume(subscriber.cursor):
            data, subscriber.cursor = self.replica.log.lines_after(subscriber.cursor, room)
        else:
            self._begin_snapshot(subscriber, now)
            data = self._take_snapshot(subscriber, room)
        if data:
            subscriber.progress_at = now
        return data

    def _may_send(self, subscriber: Subscriber, now: int) -> bool:
        if subscriber.state is SubscriberState.ADMITTED and now >= subscriber.admitted_at:
            subscriber.enter(SubscriberState.LIVE)
        return subscriber.state in (SubscriberState.LIVE, SubscriberState.LOADING)

    def _begin_snapshot(self, subscriber: Subscriber, now: int) -> None:
        subscriber.enter(SubscriberState.LOADING)
        subscriber.snapshot_cursor, subscriber.snapshot = self.replica.snapshot_lines(now // 1000)
        subscriber.snapshot_place = 0
        self.counts["snapshots"] += 1

    def _take_snapshot(self, subscriber: Subscriber, room: int) -> bytes:
        lines, parts, size = subscriber.snapshot, list[bytes](), 0
        place = subscriber.snapshot_place
        while place < len(lines) and (not parts or size + len(lines[place]) <= room):
            parts.append(lines[place])
            size += len(lines[place])
            place += 1
        subscriber.snapshot_place = place
        if place == len(lines):
            subscriber.snapshot, subscriber.cursor = (), subscriber.snapshot_cursor
            subscriber.enter(SubscriberState.LIVE)
        return b"".join(parts)

    def fresh(self, message: Freshness) -> None:
        """The publisher was reached; passed on with the next heartbeat."""
        if message.cursor <= self.replica.cursor:
            self.freshness = encode_freshness(message.cursor, message.published_ms)

    def heartbeat(self, now: int) -> bytes:
        """The line due now for each subscriber that `is_current`; empty between two heartbeats."""
        if now < self._beat_at:
            return b""
        self._beat_at = now + self.limits.heartbeat_us
        line, self.freshness = self.freshness + encode_announcement(self.replica.cursor), b""
        return line

    def is_current(self, subscriber: Subscriber) -> bool:
        """Has a subscriber been given all there is?"""
        return subscriber.state is SubscriberState.LIVE and subscriber.cursor == self.replica.cursor

    def expired(self, subscriber: Subscriber, unsent_bytes: int, now: int) -> str:
        """Why a subscriber is to be closed, or an empty text.

        One with nothing unsent makes progress by being idle; one that reads nothing holds a place and memory.
        """
        if subscriber.state is SubscriberState.CONNECTED:
            return "no line 'follow N'" if now - subscriber.since > self.limits.follow_us else ""
        if unsent_bytes < self.limits.high_water_bytes:
            subscriber.progress_at = max(subscriber.progress_at, now)
            return ""
        return "reads nothing" if now - subscriber.progress_at > self.limits.stuck_us else ""

    def behind(self) -> int:
        """Subscribers that have not been given all there is."""
        return sum(not self.is_current(subscriber) for subscriber in self.subscribers)
