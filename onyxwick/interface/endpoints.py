"""The endpoint list: members and their states, as the coordinator announces them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class MemberState(Enum):
    """Whether a listed member may be sent requests."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


class EndpointListKind(Enum):
    """What an announcement of the list is."""

    CHANGE = "change"
    """Some members; all others are as before."""
    SNAPSHOT = "full"
    """All members; what is not named is gone."""
    RESTORED = "cached"
    """All members as they were before a restart of the router; may be outdated."""
    UNAVAILABLE = "failed"
    """The list could not be had."""


@dataclass(frozen=True, slots=True)
class Member:
    """One member of the list: a cache, a parent (the tier behind the caches) or the origin."""

    address: str
    """Its identity; where it listens is known to the transport alone."""
    zone: str
    kind: str
    cell: int
    state: MemberState
    weight: float
    """Relative capacity; what it stands for is told by `RouterSettings.weight_source`."""
    started_at_us: int
    """Start of its process; 0: not known, or long ago."""
