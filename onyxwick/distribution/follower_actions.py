"""What a follower asks of its caller, and what it is configured with. Times in microseconds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from onyxwick.distribution.model import US_PER_S, FeedEvent, Freshness
from onyxwick.distribution.replica import FeedSnapshot


@dataclass(frozen=True, slots=True)
class FollowerLimits:
    """`silence_timeout_us`: a parent that sends no line for so long is given up; `stale_after_us`: so is one
    that passes on no freshness (None: a plain coordinator sends none), after at most `max_stale_after_us`
    while all parents are stale; `return_to_first_after_us`: how long to stay with another parent than the
    first. A tick later than `late_tick_us` means that this process was suspended, not its parent: lines that
    wait in the socket get `grace_us` to be read.
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


PLAIN_COORDINATOR = FollowerLimits(silence_timeout_us=2_200_000, stale_after_us=None)
"""For a coordinator that sends its last number once a second and no freshness."""


class RetryBackoff(Protocol):
    """Waits between attempts, with jitter: followers that lost a parent together do not return together."""

    def next_delay_us(self) -> int:
        """The wait before the next attempt."""
        ...

    def reset(self) -> None:
        """A connection has worked: the next wait is short again."""
        ...


@dataclass(frozen=True, slots=True)
class ConnectToParent:
    """Open a connection to the parent at this position of the list of parents."""

    parent: int


@dataclass(frozen=True, slots=True)
class SendLine:
    """Write bytes on the connection."""

    data: bytes


@dataclass(frozen=True, slots=True)
class DisconnectFromParent:
    """Close the connection, or give up the attempt."""

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
