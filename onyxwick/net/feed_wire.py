"""The coordinator's events as its wire writes them: the endpoint list and purges. Free of I/O.

This is the one place where the names of that wire become terms of the code. Input is parsed JSON; times in
the code are microseconds, on the wire milliseconds.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from onyxwick.config.address import Address, read_address
from onyxwick.core.clock import FeedTimestamps
from onyxwick.interface import EndpointListKind, EndpointsChanged, Member, MemberState

INDEX = "index"
ENDPOINTS = "endpoints"
PURGE = "evict"
CONFIGURED_EVENTS = "updates"

# Of a change of the endpoint list
ROWS = "servers"
IS_SNAPSHOT = "full"
LIST_VERSION = "version"

# Of one row
NAME = "id"
ADDRESS = "addr"
ZONE = "zone"
KIND = "kind"
CELL = "cell"
STATE = "state"
WEIGHT = "weight"
STARTED_MS = "started_ms"
MEMBER_STATES = {
    "SERVING": MemberState.READY,
    "DRAINING": MemberState.DRAINING,
    "DELETED": MemberState.REMOVED,
}

# Of a purge
PURGED_OBJECT = "ref"
PURGED_GROUP = "shard"
PURGED_AT_MS = "unix_ms"

NO_GROUP = -1
"""Of a purge that names an object."""
US_PER_MS = 1000
QUOTED_ROW_CHARACTERS = 64
MALFORMED = (KeyError, ValueError, TypeError, AttributeError)
"""What the readers here raise for an event of another form."""


class ListUpdate(NamedTuple):
    """A change of the endpoint list, with the addresses of all rows that are not removed."""

    change: EndpointsChanged
    addresses: dict[str, Address]


@dataclass(frozen=True, slots=True)
class Purge:
    """Objects to be purged: one by name, or all of a group where `name` is None."""

    group: int
    name: str | None
    made_at_us: int
    """By the steady clock of this machine."""


@dataclass(frozen=True, slots=True)
class FeedChanges:
    """What one event changes."""

    endpoints: ListUpdate | None
    purge: Purge | None


def read_changes(
    event: dict[str, Any], stamps: FeedTimestamps, now_us: int, report_bad_row: Callable[[str], None]
) -> FeedChanges:
    """What an event asks for; one of `MALFORMED` where it cannot be read. `now_us`: steady clock."""
    endpoints = None
    purge = None
    if ENDPOINTS in event:
        endpoints = read_members(event[ENDPOINTS], stamps, now_us, report_bad_row)
    if PURGE in event:
        purge = _read_purge(event[PURGE], stamps, now_us)
    return FeedChanges(endpoints, purge)


def _read_purge(document: dict[str, Any], stamps: FeedTimestamps, now_us: int) -> Purge:
    name = document.get(PURGED_OBJECT)
    group = document.get(PURGED_GROUP)
    return Purge(
        name=None if name is None else str(name),
        group=NO_GROUP if group is None else int(group),
        made_at_us=stamps.purge_time_us(int(document[PURGED_AT_MS]) * US_PER_MS, now_us),
    )


def read_members(
    document: dict[str, Any], stamps: FeedTimestamps, now_us: int, report_bad_row: Callable[[str], None]
) -> ListUpdate:
    """A change of the endpoint list, or the complete list. `now_us`: steady clock.

    A row that cannot be read is reported and left out; KeyError, TypeError or ValueError where the document
    itself cannot be read.
    """
    members = list[Member]()
    addresses = dict[str, Address]()
    for row in document[ROWS]:
        try:
            member = _read_member(row, stamps, now_us)
            address = None if member.state is MemberState.REMOVED else read_address(row[ADDRESS])
        except MALFORMED as error:
            report_bad_row(f"row {str(row)[:QUOTED_ROW_CHARACTERS]}: {error!r}")
            continue
        members.append(member)
        if address is None:
            stamps.forget(member.address)
        else:
            addresses[member.address] = address
    kind = EndpointListKind.SNAPSHOT if document.get(IS_SNAPSHOT) else EndpointListKind.CHANGE
    if kind is EndpointListKind.SNAPSHOT:
        stamps.keep_only(set(addresses))
    version = int(document.get(LIST_VERSION) or 0)
    return ListUpdate(EndpointsChanged(kind, tuple(members), version), addresses)


def _read_member(row: dict[str, Any], stamps: FeedTimestamps, now_us: int) -> Member:
    name = str(row[NAME])
    return Member(
        address=name,
        zone=str(row.get(ZONE, "")),
        kind=str(row.get(KIND, "")),
        cell=int(row.get(CELL) or 0),
        state=MEMBER_STATES[row[STATE]],
        weight=float(row.get(WEIGHT) or 0),
        started_at_us=stamps.start_time_us(name, int(row.get(STARTED_MS) or 0) * US_PER_MS, now_us),
    )


def newest_stamp_us(events: Iterable[object], latest_us: int) -> int:
    """The newest time stamp in events, in microseconds of the feed's clock; 0 where there is none.

    Stamps after `latest_us` are no time of a clock that was merely stepped, and are ignored.
    """
    newest_us = 0
    for event in events:
        with contextlib.suppress(*MALFORMED):  # reported where the event is applied
            stamps_us = (stamp_ms * US_PER_MS for stamp_ms in _stamps_ms(event))
            newest_us = max(newest_us, *(at_us for at_us in stamps_us if at_us <= latest_us), 0)
    return newest_us


def _stamps_ms(event: Any) -> Iterator[int]:
    yield int((event.get(PURGE) or {}).get(PURGED_AT_MS) or 0)
    for row in (event.get(ENDPOINTS) or {}).get(ROWS) or ():
        yield int(row.get(STARTED_MS) or 0)
