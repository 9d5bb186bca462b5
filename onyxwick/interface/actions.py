"""Actions that a router requests from its caller. All times are integer microseconds of the caller's clock.

Dataclasses that are created for each request are not frozen, because creating a frozen instance takes three
times as long.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntFlag


class FillOption(IntFlag):
    """How a cache fills a miss. The values are those of the wire protocol and of traces."""

    NONE = 0
    COALESCE = 1
    """The cache may wait for a fill of the same object that is already in progress."""
    ONLY_IF_CACHED = 2
    """The source answers only with an object that it has cached itself."""
    PARENT_NO_STORE = 4
    """The parent that serves as the source does not store a copy."""
    STALE_WHILE_REVALIDATE = 8
    """A stale copy is served immediately and revalidated in the background."""


@dataclass(slots=True)
class ForwardRequest:
    """Send a request to a member, which answers with its own objects (the origin has all) and fills nothing.

    `timeout_us` limits the attempt; 0 means no limit other than the client's disconnection.
    """

    request_id: str
    member: str
    timeout_us: int = 0


@dataclass(slots=True)
class ForwardWithFill:
    """Send a request to a cache, with instructions for the case of a miss."""

    request_id: str
    member: str
    fill_source: str
    """Address of the member from which a miss is filled; if equal to `member`, a miss is not filled."""
    retention_rank: int
    """Rank at which the cache retains the copy; 0 means that it does not store the copy."""
    timeout_us: int = 0
    max_age_us: int = 0
    """Maximum age of a copy that may be served; 0 means the freshness lifetime of the request's class."""
    fill_options: FillOption = FillOption.NONE


@dataclass(slots=True)
class CancelAttempt:
    """Cancel an attempt that is in flight."""

    request_id: str
    attempt_index: int


@dataclass(slots=True)
class FailRequest:
    """Answer the client finally that its request failed. The request may have been executed."""

    request_id: str


@dataclass(slots=True)
class RejectRequest:
    """Answer the client finally that its request was rejected and had no effect.

    `retry_after_us` is the delay after which the client may retry; 0 means that the answer gives no delay.
    """

    request_id: str
    retry_after_us: int = 0


@dataclass(slots=True)
class SetTimer:
    """Send the router a `TimerFired` event with this token at `at_us`."""

    at_us: int
    token: str


@dataclass(frozen=True, slots=True)
class LogMessage:
    """Write a line to the log."""

    text: str


@dataclass(frozen=True, slots=True)
class SiteStateChanged:
    """Report that the router's view of the state of a site or hub has changed.

    `share_served_elsewhere` is the share of the site's objects that is served elsewhere.
    """

    site: str
    previous_state: str
    state: str
    share_served_elsewhere: float
    reason: str


@dataclass(frozen=True, slots=True)
class SubscribeToEndpoints:
    """Start or end the subscription to changes of the endpoint list."""

    enabled: bool = True


@dataclass(frozen=True, slots=True)
class PollEndpoints:
    """Request the endpoint list once."""


Action = (
    ForwardRequest
    | ForwardWithFill
    | CancelAttempt
    | FailRequest
    | RejectRequest
    | SetTimer
    | LogMessage
    | SiteStateChanged
    | SubscribeToEndpoints
    | PollEndpoints
)
