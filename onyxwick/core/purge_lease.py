"""How old a copy may be while the director's purges may be incomplete.

A purge binds a director from the moment it is in the coordinator, whether or not it has arrived. So purges
are acted on under a lease (Gray and Cheriton 1989): once the feed has not confirmed them for `grace_us`, less
the way to a cache, a purge that has not arrived may already bind. Which objects it covers is not known, so no
copy from before the last such purge is accepted, of any object. The limit ends when the feed has confirmed
the purges again, or when the caches have dropped all copies that such a purge covers.

A coordinator that refuses connections is told nothing, so the last purge that may be missing is from before
the first refusal. One that is silent or out of reach counts as stopped, and its purges as told
`STOPPED_NOTIFICATION_US` later. See docs/design/freshness.md. No I/O; times are in steady microseconds.
"""

from __future__ import annotations

WAY_TO_CACHE_US = 100_000
"""The lease ends this long before the grace, as a request needs some time to reach its cache."""
STOPPED_NOTIFICATION_US = 4_000_000
"""What a coordinator that stopped with its connections open would have told counts as told this long after
the stop: protocol of the days in service."""
HEARTBEAT_US = 1_000_000
"""A coordinator writes a line this often, so it may have stopped this long after its last one."""
REFUSAL_LEASE_US = 400_000
"""How long the coordinator is taken not to be running after a refused connection. Connections are tried each
0.2 s."""
RETENTION_MARGIN_US = 1_000_000
"""A copy that a purge covers is not relied upon to be gone until this long after the retention time."""


class PurgeLease:
    """The lease on the purges of one director.

    `grace_us` after a purge no older copy may be served; `retention_us` after it no cache holds one. With
    either at 0 there are no purges, and no limit.
    """

    def __init__(self, grace_us: int = 0, retention_us: int = 0) -> None:
        self.grace_us = grace_us
        self.retention_us = retention_us
        self._is_complete = True
        self._complete_at_us = 0  # up to when the purges are known to be complete
        self._running_since_us = 0  # since when purges may have come that did not arrive
        self._refused_at_us: int | None = None  # the first refusal, unless it may have run since
        self._last_refused_at_us = 0

    def on_started(self, now_us: int) -> None:
        """Record a start: purges may have come at any time after the configuration was written."""
        self._is_complete = False
        self._complete_at_us = 0
        self._running_since_us = now_us
        self._refused_at_us = None

    def on_complete(self) -> None:
        """Record that the feed confirms all purges from now on."""
        self._is_complete = True

    def on_unconfirmed(self, complete_at_us: int) -> None:
        """Record that purges after `complete_at_us` may not have arrived."""
        if not self._is_complete:
            return
        self._is_complete = False
        self._complete_at_us = complete_at_us
        self._running_since_us = complete_at_us
        self._refused_at_us = None

    def on_refused(self, now_us: int) -> None:
        """Record a refused connection: the coordinator is not running, and is told of no purge."""
        if not self._is_refusing(now_us):
            self._refused_at_us = now_us
        self._last_refused_at_us = now_us

    def on_connected(self, now_us: int) -> None:
        """Record a connection to the coordinator, which may be told of purges again."""
        if self._refused_at_us is not None:
            self._refused_at_us = None
            self._running_since_us = now_us

    def oldest_copy_us(self, now_us: int) -> int | None:
        """Return the time before which no copy may have been made; None if there is no limit."""
        if self._is_complete or not self.grace_us or not self.retention_us:
            return None
        last_missing_us = self._last_missing_us(now_us)
        if now_us > last_missing_us + self.retention_us + RETENTION_MARGIN_US:
            return None
        oldest_us = min(last_missing_us, now_us - self.grace_us + WAY_TO_CACHE_US)
        return oldest_us if oldest_us >= self._complete_at_us else None

    def _last_missing_us(self, now_us: int) -> int:
        """Return the time of the last purge that may be missing and may bind."""
        if self._refused_at_us is not None and self._is_refusing(now_us):
            return self._refused_at_us
        since_us = self._running_since_us if self._refused_at_us is None else self._last_refused_at_us
        return min(now_us, since_us + HEARTBEAT_US + STOPPED_NOTIFICATION_US)

    def _is_refusing(self, now_us: int) -> bool:
        since_us = now_us - self._last_refused_at_us
        return self._refused_at_us is not None and since_us <= REFUSAL_LEASE_US
