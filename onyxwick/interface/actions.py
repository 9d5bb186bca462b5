"""Actions: what a router wants done. All times are whole microseconds of the caller's clock.

What is made for each request is not frozen, as a frozen instance takes three times as long to make.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntFlag


class FillOption(IntFlag):
    """How a cache is to fill a miss. The numbers are those of the wire and of traces."""

    NONE = 0
    COALESCE = 1
    """It may wait for a fill of the same object that is under way."""
    ONLY_IF_CACHED = 2
    """The source gives only what it has itself."""
    PARENT_NO_STORE = 4
    """The parent that is the source keeps no copy."""
    STALE_WHILE_REVALIDATE = 8
    """A copy past its freshness is served at once and renewed behind the answer."""


@dataclass(slots=True)
class ForwardRequest:
    """Send a request to a member for what it has (the origin: everything). No fill.

    `timeout_us`: 0: until the client leaves.
    """

    request_id: str
    member: str
    timeout_us: int = 0


@dataclass(slots=True)
class ForwardWithFill:
    """Send a request to a cache, with what it is to do on a miss."""

    request_id: str
    member: str
    fill_source: str
    """Where a miss is filled from; the member itself: it is not filled."""
    retention_rank: int
    """Rank at which the copy is kept; 0: not kept."""
    timeout_us: int = 0
    max_age_us: int = 0
    """Age of the oldest copy that may answer; 0: the class's freshness lifetime."""
    fill_options: FillOption = FillOption.NONE


@dataclass(slots=True)
class CancelAttempt:
    """Stop an attempt that is in flight."""

    request_id: str
    attempt_index: int


@dataclass(slots=True)
class FailRequest:
    """Give the client its final answer: failed. The request may have been executed."""

    request_id: str


@dataclass(slots=True)
class RejectRequest:
    """Give the client its final answer: rejected, with no effect. `retry_after_us`: 0: no time is told."""

    request_id: str
    retry_after_us: int = 0


@dataclass(slots=True)
class SetTimer:
    """Call the router again at `at_us`."""

    at_us: int
    token: str


@dataclass(frozen=True, slots=True)
class LogMessage:
    """Write a line to the log."""

    text: str


@dataclass(frozen=True, slots=True)
class SiteStateChanged:
    """A site or hub is taken to be in another state. `share_away`: of its objects, served elsewhere."""

    site: str
    previous_state: str
    state: str
    share_away: float
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
