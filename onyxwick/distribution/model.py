"""Types of the distribution feed: cursors, events, messages of a connection, and errors."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from onyxwick.errors import OnyxwickError

HISTORY_BITS = 32
"""A packed cursor has the event number in this many low bits and the identifier of its history above them."""
MAX_NUMBER = (1 << HISTORY_BITS) - 1
MAX_HISTORY = (1 << 31) - 1
"""Packed cursors stay below 2^63, which every JSON reader in use decodes as an integer."""
MAX_LINE_BYTES = 4_194_304
"""Maximum size of a feed line, the same limit as that of the coordinator's feed."""
US_PER_S = 1_000_000
MAX_DOCUMENT_BYTES = 1_048_576
"""Maximum size of a configuration document, in bytes of UTF-8."""
MAX_DOCUMENTS = 256
"""Maximum number of documents with different names in a feed."""
MAX_PART_BYTES = 12_288
"""Maximum size of a document part in one event: at each hop, a purge waits behind at most one part."""


class DistributionError(OnyxwickError, ValueError):
    """Base of all errors of this package."""


class MalformedLineError(DistributionError):
    """A line is not a message of the feed."""


class PayloadError(DistributionError):
    """The payload of an event with a valid number cannot be read."""


class FeedGapError(DistributionError):
    """The number of an event does not follow the last number in a log."""

    def __init__(self, found: Cursor, last: Cursor) -> None:
        super().__init__(f"feed gap: got event {found} after {last}")
        self.found = found
        self.last = last


class OlderSnapshotError(DistributionError):
    """A snapshot is older than the replica, or belongs to an earlier history."""

    def __init__(self, found: Cursor, current: Cursor) -> None:
        super().__init__(f"snapshot at {found} is older than the replica at {current}")
        self.found = found
        self.current = current


class IllegalTransitionError(DistributionError):
    """A state machine was asked for a transition that its table does not have."""


class PublishRejectedError(DistributionError):
    """The publisher rejects an event; the message names the limit or the field."""


@dataclass(frozen=True, slots=True, order=True)
class Cursor:
    """A position in a history of events: the history's identifier and the number of the last event applied.

    Histories are ordered: a later history has a larger identifier (the Unix time of its start in seconds).
    History 0 is that of a plain coordinator, whose packed cursors are its event numbers.
    """

    history: int
    number: int

    @property
    def packed(self) -> int:
        """Return the cursor as the integer that the feed carries as `index`."""
        return (self.history << HISTORY_BITS) | self.number

    @classmethod
    def unpack(cls, packed: int) -> Cursor:
        """Return the cursor of an `index`. Raises MalformedLineError outside the range 0 to 2^63 - 1."""
        if not 0 <= packed <= (MAX_HISTORY << HISTORY_BITS) | MAX_NUMBER:
            raise MalformedLineError(f"number {packed} is out of range, 0 to 2^63 - 1")
        return cls(packed >> HISTORY_BITS, packed & MAX_NUMBER)

    def following(self) -> Cursor:
        """Return the next event's cursor. Raises DistributionError if the history has no numbers left."""
        if self.number >= MAX_NUMBER:
            raise DistributionError(f"history {self.history} has no numbers left")
        return Cursor(self.history, self.number + 1)


ORIGIN = Cursor(0, 0)
"""The cursor of a follower that has no events."""


@dataclass(frozen=True, slots=True)
class CacheRow:
    """One cache of a list: its id, whether it was deleted, and all its fields, forwarded unchanged."""

    id: str
    deleted: bool
    fields: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class CacheListChange:
    """The changed rows of the list of caches, or with `full` the complete list."""

    rows: tuple[CacheRow, ...]
    full: bool
    version: int


@dataclass(frozen=True, slots=True)
class PurgeKey:
    """The target of a purge: one object or one group of objects. The other field is None."""

    object_id: str | None
    object_group: int | None


@dataclass(frozen=True, slots=True)
class PurgeEvent:
    """Copies of the target `key` made before `unix_ms` (Unix milliseconds) must not be served."""

    key: PurgeKey
    unix_ms: int


@dataclass(frozen=True, slots=True)
class DocumentPart:
    """Part `number` (from 0) of `part_count` of one version of a configuration document."""

    name: str
    version: int
    number: int
    part_count: int
    digest: str
    text: str


@dataclass(frozen=True, slots=True)
class UnknownPayload:
    """A payload that this version cannot read. Relays forward its event; no replica applies it."""

    detail: str


Payload = CacheListChange | PurgeEvent | DocumentPart | UnknownPayload


@dataclass(frozen=True, slots=True)
class Document:
    """A complete configuration document whose digest was verified."""

    name: str
    version: int
    digest: str
    text: str


@dataclass(frozen=True, slots=True)
class FeedEvent:
    """One numbered event with the line that carries it."""

    cursor: Cursor
    payload: Payload
    line: bytes


@dataclass(frozen=True, slots=True)
class Announcement:
    """A heartbeat: the cursor of the sender's last event, sent at regular intervals."""

    cursor: Cursor


@dataclass(frozen=True, slots=True)
class Freshness:
    """The publisher was reached at `published_ms` (Unix milliseconds) and had no event after `cursor`."""

    cursor: Cursor
    published_ms: int


@dataclass(frozen=True, slots=True)
class SnapshotBegin:
    """The next `lines` lines contain the state as of `cursor`."""

    cursor: Cursor
    lines: int


@dataclass(frozen=True, slots=True)
class SnapshotEnd:
    """All lines of the snapshot of `cursor` have been sent; `digest` is the digest of these lines."""

    cursor: Cursor
    digest: str


Message = FeedEvent | Announcement | Freshness | SnapshotBegin | SnapshotEnd
