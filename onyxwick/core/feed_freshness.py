"""How old the director's knowledge of the coordinator's events is, and whether requests may be sent on it.

An event binds a director from the moment it is in the coordinator, whether or not it has arrived. So the list
and the purges are acted on under a lease (Gray and Cheriton 1989): for `LIST_LEASE_US` after the last moment
at which nothing can have been outstanding. A feed that brings its lines renews the lease all the time, and so
does a coordinator that refuses connections, as it is not running and is told nothing. Once the lease has
expired, requests wait for the feed, for a limited time: a director without a coordinator must serve on.

The states, their transitions and the bounds are in docs/design/freshness.md. This module does no I/O; times
are in steady microseconds.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from onyxwick.core.purge_lease import PurgeLease

LIST_LEASE_US = 400_000
"""How long the list is acted on after it was last known to be complete.

A drain must be followed 0.5 s after the coordinator was notified of it; the rest is for the way to a cache.
"""
START_WAIT_US = 2_200_000
"""Longest wait of a start for the feed: with the interpreter's own start, a director without a coordinator is
ready within 3 s."""
START_CONNECTED_WAIT_US = 5_000_000
"""Longest wait of a start while a connection to the coordinator is established: it is there, and may be
answering a whole fleet that has just started. A director must be ready within 6 s."""
REFUSED_SETTLE_US = 500_000
"""A start, or a director whose lease had expired, accepts that the coordinator is not running once its
connections were refused for this long. A coordinator that is only being restarted, and was told of an event
before, is back by then."""
JOIN_SETTLE_US = 100_000
"""A new connection that brought events, and then nothing for this long, has brought all: the coordinator
sends what it has at once, and tells its last index up to a second later."""
RECONNECT_WAIT_US = 1_500_000
"""Longest wait of a running director's requests for a lost feed, from the first of them on: a connection that
brings nothing is joined by another after 1.2 s."""
RECONNECT_CONNECTED_WAIT_US = 2_500_000
"""Longest wait of a running director's requests while a connection to the coordinator is established."""

REOPEN_INTERVAL_US = 10_000_000
"""An overdue feed that can be reached again is waited for anew at most this often, so that a coordinator
which ends each connection does not keep requests waiting."""


class FeedState(Enum):
    """What the director knows about its feed. The values appear in log lines and metrics."""

    NOT_FOLLOWED = "not_followed"
    """There is no feed: the list never changes."""
    STARTING = "starting"
    """Only the list of the configuration or the store is known; events may have followed it."""
    JOINED = "joined"
    """A connection brings lines, but has not told its last index yet."""
    BEHIND = "behind"
    """The feed has announced an event that is not applied yet."""
    CURRENT = "current"
    """All events up to now are applied."""
    LOST = "lost"
    """No connection brings lines."""
    ABSENT = "absent"
    """The coordinator refuses connections: it is not running, so no event can be outstanding."""
    OVERDUE = "overdue"
    """The longest wait is over: requests are sent on the list as it is known."""


@dataclass(frozen=True, slots=True)
class FeedStateChange:
    """A transition, for the log. `age_us` is the age of the list then; None if it was never complete."""

    previous: FeedState
    state: FeedState
    reason: str
    age_us: int | None


@dataclass(frozen=True, slots=True)
class FeedGauges:
    """What is known of the feed at one moment, for metrics. `age_ms` is -1 if the list was never complete."""

    index: int = 0
    announced_index: int = 0
    age_ms: int = 0


class FeedFreshness:
    """The freshness of one director's list and purges.

    `on_change` is called for each transition, and `on_usable` whenever requests that waited may be sent.
    """

    def __init__(self, purge_lease: PurgeLease | None = None) -> None:
        self.state = FeedState.NOT_FOLLOWED
        self.purge_lease = purge_lease or PurgeLease()
        self.on_change: Callable[[FeedStateChange], None] | None = None
        self.on_usable: Callable[[], None] | None = None
        self.announced_index = 0
        self.announcement_limit_us: int | None = None
        """Set for a feed whose connection may outlive the one to its source: a list that was announced to be
        complete longer ago than this is not current."""
        self._started_at_us = 0
        self._confirmed_at_us: int | None = None  # while not CURRENT: when the list was last complete
        self._announced_at_us = 0  # when the last index was announced up to which all events were applied
        self._unhandled_since_us: int | None = None  # since when input waits to be applied
        self._event_applied_at_us: int | None = None  # while JOINED: when the last event was applied
        self._is_event_missing = False  # an event was announced and is not applied, on any connection
        self._missing_announced_at_us = 0  # when its index was announced
        self._is_connected = False  # a connection is established, and has not brought anything yet
        self._reopened_at_us: int | None = None  # when an overdue feed was last waited for anew
        self._refused_since_us: int | None = None
        self._waiting_since_us: int | None = None  # since when requests wait, of a director that has started
        self._overdue_until_current = False

    # ---- questions ---------------------------------------------------------------------------------------

    def age_us(self, now_us: int) -> int | None:
        """Return how long ago the list was last known to be complete; None if it never was."""
        confirmed_at_us = self._last_confirmed_us(now_us)
        return None if confirmed_at_us is None else max(0, now_us - confirmed_at_us)

    @property
    def is_overdue(self) -> bool:
        """Whether the longest wait is over, and nothing has confirmed the list since."""
        return self._overdue_until_current

    def is_confirmed(self) -> bool:
        """Return whether a feed confirms the list at present, or none is followed."""
        return self.state in (FeedState.NOT_FOLLOWED, FeedState.CURRENT)

    def may_send(self, now_us: int) -> bool:
        """Return whether requests may be sent on the list as it is known."""
        if self.state is FeedState.NOT_FOLLOWED or self._overdue_until_current:
            return True
        if self._has_settled(now_us):
            self._become_current("events are applied, and no more came", now_us)
        if self._is_within_lease(now_us):
            return True
        if self._waiting_since_us is None:
            self._waiting_since_us = now_us
        if now_us < self.wait_ends_at_us():
            return False
        if self.state is FeedState.CURRENT:
            self._leave_current(self._last_confirmed_us(now_us) or now_us)
        self._overdue_until_current = True
        self._enter(FeedState.OVERDUE, "the longest wait is over", now_us)
        return True

    def _is_within_lease(self, now_us: int) -> bool:
        age_us = self.age_us(now_us)
        return age_us is not None and age_us <= LIST_LEASE_US

    def _has_settled(self, now_us: int) -> bool:
        """Return whether a new connection has brought events and then nothing more."""
        if self.state is not FeedState.JOINED or self._event_applied_at_us is None:
            return False
        return self._unhandled_since_us is None and now_us - self._event_applied_at_us >= JOIN_SETTLE_US

    def next_check_at_us(self) -> int:
        """Return when requests that may not be sent now should ask again, if no input comes before."""
        if self.state is FeedState.JOINED and self._event_applied_at_us is not None:
            return min(self.wait_ends_at_us(), self._event_applied_at_us + JOIN_SETTLE_US)
        return self.wait_ends_at_us()

    def wait_ends_at_us(self) -> int:
        """Return until when requests wait at most that may not be sent now."""
        if self._confirmed_at_us is None and self._reopened_at_us is None:
            wait_us = START_CONNECTED_WAIT_US if self._is_connected else START_WAIT_US
            return self._started_at_us + wait_us
        wait_us = RECONNECT_CONNECTED_WAIT_US if self._is_connected else RECONNECT_WAIT_US
        return (self._waiting_since_us or 0) + wait_us

    def is_ready(self, now_us: int) -> bool:
        """Return whether the start's wait for the feed is over, so that clients may come.

        Changes nothing, so that any thread may ask.
        """
        was_overdue = self._overdue_until_current or self._reopened_at_us is not None
        if self.state is FeedState.NOT_FOLLOWED or was_overdue:
            return True
        is_confirmed = self._confirmed_at_us is not None or self._has_settled(now_us)
        return is_confirmed or now_us >= self.wait_ends_at_us()

    def _last_confirmed_us(self, now_us: int) -> int | None:
        if self.state is not FeedState.CURRENT:
            return self._confirmed_at_us
        limit_us = self.announcement_limit_us
        if limit_us is not None and now_us - self._announced_at_us > limit_us:
            return self._announced_at_us
        return now_us if self._unhandled_since_us is None else self._unhandled_since_us

    # ---- inputs ------------------------------------------------------------------------------------------

    def on_started(self, now_us: int) -> None:
        """Begin the wait for the feed: the list that is known may be of any age."""
        self._started_at_us = now_us
        self.purge_lease.on_started(now_us)
        self._enter(FeedState.STARTING, "started", now_us)

    def on_stall(self, stalled_us: int, now_us: int) -> None:
        """Lengthen the wait by a time in which the process stood still, as the feed could bring nothing.

        A feed with an announcement limit is not read right after a stall, so its next announcement counts.
        """
        if self.announcement_limit_us is not None and self.state is FeedState.CURRENT:
            self._leave_current(now_us - stalled_us)
            self._enter(FeedState.JOINED, "stall", now_us)
        self._started_at_us += stalled_us
        if self._waiting_since_us is not None:
            self._waiting_since_us += stalled_us

    def on_connected(self, now_us: int) -> None:
        """Record that a connection is established, which has not brought anything yet.

        A coordinator that can be reached again is waited for anew, though the longest wait was over.
        """
        self.purge_lease.on_connected(now_us)
        if self._is_connected:
            return
        self._is_connected = True
        last_us = self._reopened_at_us
        if self._overdue_until_current and (last_us is None or now_us - last_us >= REOPEN_INTERVAL_US):
            self._reopened_at_us = now_us
            self._end_wait()
            self._enter(FeedState.LOST, "connected again, not heard yet", now_us)

    def on_joined(self, now_us: int) -> None:
        """Record a connection that has brought its first bytes."""
        self.purge_lease.on_connected(now_us)
        self._refused_since_us = None
        self._event_applied_at_us = None
        self._unhandled_since_us = None
        self.announced_index = 0
        self._enter(FeedState.JOINED, "first bytes received", now_us)

    def on_input(self, now_us: int) -> None:
        """Record bytes of the feed that are not applied yet, received or partly received at `now_us`."""
        if self._unhandled_since_us is None:
            self._unhandled_since_us = now_us

    def on_input_applied(self, now_us: int) -> None:
        """Record that all bytes received so far are applied."""
        if self._unhandled_since_us is None:
            return
        waited = now_us - self._unhandled_since_us > LIST_LEASE_US
        self._unhandled_since_us = None
        if self.state is FeedState.CURRENT:
            self._end_wait()
            if waited:
                self._notify_usable()

    def on_announced(self, index: int, applied_index: int, now_us: int) -> None:
        """Record the last index that the feed announces, and the index up to which events are applied."""
        self.announced_index = index
        if applied_index >= index:
            had_expired = self.state is FeedState.CURRENT and not self._is_within_lease(now_us)
            self._announced_at_us = now_us
            self._become_current("all announced events are applied", now_us)
            if had_expired:
                self._end_wait()
                self._notify_usable()
            return
        if self.state is FeedState.CURRENT:
            self._leave_current(self._announced_at_us)
        self._is_event_missing = True
        self._missing_announced_at_us = now_us
        self._enter(FeedState.BEHIND, f"event {index} announced, {applied_index} applied", now_us)

    def on_applied(self, applied_index: int, now_us: int) -> None:
        """Record that events are applied up to an index."""
        if self.state is FeedState.JOINED and self.announcement_limit_us is None:
            self._event_applied_at_us = now_us
        if self.state is FeedState.BEHIND and applied_index >= self.announced_index:
            self._become_current("all announced events are applied", now_us)
            self._announced_at_us = self._missing_announced_at_us

    def on_lost(self, heard_at_us: int, reason: str, now_us: int) -> None:
        """Record the end of the connection. `heard_at_us`: nothing was outstanding on it up to this time.

        Bytes that were not applied are a part of an event, which is missing from then on.
        """
        self._is_connected = False
        if self._unhandled_since_us is not None:
            self._is_event_missing = True
        if self.state is FeedState.CURRENT:
            self._leave_current(heard_at_us)
        self._unhandled_since_us = None
        self._enter(FeedState.LOST, reason, now_us)

    def on_refused(self, now_us: int) -> None:
        """Record that the coordinator refused a connection: it is not running, and is told of no event.

        That confirms the list only if no event is known to be missing from it.
        """
        self._is_connected = False
        self.purge_lease.on_refused(now_us)
        if self._is_event_missing:
            return
        if self._refused_since_us is None:
            self._refused_since_us = now_us
        confirmed_at_us = self._last_confirmed_us(now_us)
        was_complete = confirmed_at_us is not None and now_us - confirmed_at_us <= LIST_LEASE_US
        if not was_complete and now_us - self._refused_since_us < REFUSED_SETTLE_US:
            return
        self._confirmed_at_us = now_us
        self._end_wait()
        self._enter(FeedState.ABSENT, "connection refused", now_us)
        self._notify_usable()

    # ---- transitions -------------------------------------------------------------------------------------

    def _become_current(self, reason: str, now_us: int) -> None:
        if self.state is FeedState.CURRENT:
            return
        self._enter(FeedState.CURRENT, reason, now_us)
        self.purge_lease.on_complete()
        self._is_event_missing = False
        self._confirmed_at_us = now_us
        self._announced_at_us = now_us
        self._unhandled_since_us = None
        self._refused_since_us = None
        self._end_wait()
        self._notify_usable()

    def _leave_current(self, complete_at_us: int) -> None:
        """Stop the lease's renewal: the list was last known to be complete at `complete_at_us`."""
        if self._unhandled_since_us is not None:
            complete_at_us = min(complete_at_us, self._unhandled_since_us)
        self._confirmed_at_us = complete_at_us
        self.purge_lease.on_unconfirmed(complete_at_us)
        self._unhandled_since_us = None
        self._end_wait()

    def _end_wait(self) -> None:
        self._waiting_since_us = None
        self._overdue_until_current = False

    def _enter(self, state: FeedState, reason: str, now_us: int) -> None:
        if state is self.state:
            return
        change = FeedStateChange(self.state, state, reason, self._age_since_confirmed_us(now_us))
        self.state = state
        if self.on_change is not None:
            self.on_change(change)

    def _age_since_confirmed_us(self, now_us: int) -> int | None:
        return None if self._confirmed_at_us is None else max(0, now_us - self._confirmed_at_us)

    def _notify_usable(self) -> None:
        if self.on_usable is not None:
            self.on_usable()
