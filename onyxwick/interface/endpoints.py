"""The endpoint list: the members and their states, as announced by the coordinator."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class MemberState(Enum):
    """State of a listed member, which decides whether requests may be sent to it."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


class EndpointListKind(Enum):
    """Kind of an announcement of the endpoint list."""

    CHANGE = "change"
    """Contains some members; all others are unchanged."""
    SNAPSHOT = "full"
    """Contains all members; a member that it does not name is removed."""
    RESTORED = "cached"
    """Contains all members as known before a restart of the router; may be outdated."""
    UNAVAILABLE = "failed"
    """The list could not be retrieved."""


@dataclass(frozen=True, slots=True)
class Member:
    """A member of the endpoint list: a cache, a parent (the tier behind the caches) or the origin."""

    address: str
    """Identifies the member; only the transport knows the network address on which the member listens."""
    zone: str
    kind: str
    cell: int
    state: MemberState
    weight: float
    """Relative capacity; `RouterSettings.weight_source` says how it is measured."""
    started_at_us: int
    """Start time of the member's process; 0 means unknown or long ago."""
