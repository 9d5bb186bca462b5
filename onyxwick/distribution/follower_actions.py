"""The actions that a follower returns to its caller, and its configuration. Times are in microseconds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from onyxwick.distribution.model import US_PER_S, FeedEvent, Freshness
from onyxwick.distribution.replica import FeedSnapshot


@dataclass(frozen=True, slots=True)
class FollowerLimits:
    """Limits and timeouts of a follower.

    A follower disconnects from a parent that sends no line for `silence_timeout_us`, and from a parent that
    forwards no freshness (the time at which the publisher was reached) for `stale_after_us` (None for a plain
    coordinator, which sends no freshness). `stale_after_us` grows to at most `max_stale_after_us` while all
    parents are stale. `return_to_first_after_us` is how long a follower stays with a parent other than the
    first. If a tick is more than `late_tick_us` late, this process was suspended rather than its parent, and
    the lines buffered in the socket get `grace_us` to be read.
    """

    connect_timeout_us: int = 500_000
    first_line_timeout_us: int = 3 * US_PER_S
    silence_timeout_us: int = 700_000
    stale_after_us: int | None = 3 * US_PER_S
    max_stale_after_us: int = 30 * US_PER_S
    return_to_first_after_us: int = 60 * US_PER_S
    late_tick_us: int = 100_000
    grace_us: int = 300_000
    max_malformed_lines: int = 16
    max_snapshot_bytes: int = 67_108_864


PLAIN_COORDINATOR_LIMITS = FollowerLimits(silence_timeout_us=2_200_000, stale_after_us=None)
"""Limits for a coordinator that sends the number of its last event once per second and no freshness."""


class RetryBackoff(Protocol):
    """Waits with jitter, so that followers that lost a parent at the same time do not reconnect together."""

    def next_delay_us(self) -> int:
        """Return the wait before the next attempt."""
        ...

    def reset(self) -> None:
        """Make the next wait short again after a connection has worked."""
        ...


@dataclass(frozen=True, slots=True)
class ConnectToParent:
    """Open a connection to the parent at index `parent` of the list of parents."""

    parent: int


@dataclass(frozen=True, slots=True)
class SendLine:
    """Write bytes on the connection."""

    data: bytes


@dataclass(frozen=True, slots=True)
class DisconnectFromParent:
    """Close the connection, or abandon the connection attempt."""

    reason: str


@dataclass(frozen=True, slots=True)
class DeliverEvent:
    """Apply the next event or, with `from_snapshot`, a purge from a snapshot that is still being loaded."""

    event: FeedEvent
    from_snapshot: bool = False


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """Replace everything delivered so far by a complete snapshot."""

    snapshot: FeedSnapshot


@dataclass(frozen=True, slots=True)
class RefreshFreshness:
    """Record that the publisher was reached, through any number of nodes."""

    freshness: Freshness


Action = ConnectToParent | SendLine | DisconnectFromParent | DeliverEvent | InstallSnapshot | RefreshFreshness
