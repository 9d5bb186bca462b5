"""Types of the distribution feed: cursors, events, messages of a connection, and named errors."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from onyxwick.errors import OnyxwickError

HISTORY_BITS = 32
"""A packed cursor is the history's identifier above this many bits of the event's number in it."""
MAX_NUMBER = (1 << HISTORY_BITS) - 1
MAX_HISTORY = (1 << 31) - 1
"""Packed cursors stay below 2^63, which every JSON reader in use here reads as an integer."""
MAX_LINE_BYTES = 4_194_304
"""Longest line of a feed, the same bound as the coordinator's feed has."""
US_PER_S = 1_000_000
MAX_DOCUMENT_BYTES = 1_048_576
"""Longest configuration document, in bytes of UTF-8."""
MAX_DOCUMENTS = 256
"""Documents with different names that a feed carries."""
MAX_PART_BYTES = 12_288
"""Bytes of a document in one event: a purge waits behind no more than one of them at each hop."""


class DistributionError(OnyxwickError, ValueError):
    """Base of all errors of this package."""


class MalformedLineError(DistributionError):
    """A line that is no message of the feed."""


class PayloadError(DistributionError):
    """The payload of an event with a valid number cannot be read."""


class FeedGapError(DistributionError):
    """An event's number does not follow the last one of a log."""

    def __init__(self, found: Cursor, last: Cursor) -> None:
        super().__init__(f"event {found} after {last}")
        self.found = found
        self.last = last


class OlderSnapshotError(DistributionError):
    """A snapshot is older than the replica, or belongs to an earlier history."""

    def __init__(self, found: Cursor, current: Cursor) -> None:
        super().__init__(f"snapshot of {found} under {current}")
        self.found = found
        self.current = current


class IllegalTransitionError(DistributionError):
    """A state machine was asked for a transition that its table does not have."""


class PublishRejectedError(DistributionError):
    """The publisher rejects an event; the message names the bound or the field."""


@dataclass(frozen=True, slots=True, order=True)
class Cursor:
    """A place in a history of events: its identifier and the number of the last event applied.

    Histories are ordered: a later one has a larger identifier (Unix seconds of its beginning). History 0
    is that of a plain coordinator, whose packed cursors are its event numbers.
    """

    history: int
    number: int

    @property
    def packed(self) -> int:
        """The cursor as the one integer that the feed carries as `index`."""
        return (self.history << HISTORY_BITS) | self.number

    @classmethod
    def unpack(cls, packed: int) -> Cursor:
        """The cursor of an `index`; MalformedLineError outside 0 to 2^63 - 1."""
        if not 0 <= packed <= (MAX_HISTORY << HISTORY_BITS) | MAX_NUMBER:
            raise MalformedLineError(f"number {packed} is out of range, 0 to 2^63 - 1")
        return cls(packed >> HISTORY_BITS, packed & MAX_NUMBER)

    def following(self) -> Cursor:
        """The cursor of the next event in the same history."""
        if self.number >= MAX_NUMBER:
            raise DistributionError(f"history {self.history} has no numbers left")
        return Cursor(self.history, self.number + 1)


ORIGIN = Cursor(0, 0)
"""The cursor of a follower that has no events."""


@dataclass(frozen=True, slots=True)
class CacheRow:
    """One cache of a list: its id, whether it was deleted, and all its fields, passed on unchanged."""

    id: str
    deleted: bool
    fields: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class CacheListChange:
    """Changed rows of the list of caches; with `full` the complete list."""

    rows: tuple[CacheRow, ...]
    full: bool
    version: int


@dataclass(frozen=True, slots=True)
class PurgeKey:
    """What a purge names: one object or one group of them; the other field is None."""

    object_id: str | None
    object_group: int | None


@dataclass(frozen=True, slots=True)
class PurgeEvent:
    """Copies made before `unix_ms` (Unix milliseconds) of what `key` names must not be served."""

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
    """A payload that this version cannot read. Relays pass its event on; no replica applies it."""

    detail: str


Payload = CacheListChange | PurgeEvent | DocumentPart | UnknownPayload


@dataclass(frozen=True, slots=True)
class Document:
    """A complete configuration document, its digest verified."""

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
    """The number of the sender's last event, sent at regular intervals as heartbeat."""

    cursor: Cursor


@dataclass(frozen=True, slots=True)
class Freshness:
    """The publisher was reached at `published_ms` (Unix milliseconds) and had no event behind `cursor`."""

    cursor: Cursor
    published_ms: int


@dataclass(frozen=True, slots=True)
class SnapshotBegin:
    """The next `lines` lines hold the state as of `cursor`."""

    cursor: Cursor
    lines: int


@dataclass(frozen=True, slots=True)
class SnapshotEnd:
    """All lines of the snapshot of `cursor` have been sent; `digest` is of these lines."""

    cursor: Cursor
    digest: str


Message = FeedEvent | Announcement | Freshness | SnapshotBegin | SnapshotEnd
