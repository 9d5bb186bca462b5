"""Decodes the coordinator's events: changes of the endpoint list and purges. Performs no I/O.

Only this module translates the names of that protocol to the terms of the code. Events are parsed JSON. Times
are microseconds in the code and milliseconds on the wire.
"""

from __future__ import annotations

import contextlib
import math
import re
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

# Fields of a change of the endpoint list
ROWS = "servers"
IS_SNAPSHOT = "full"
LIST_VERSION = "version"

# Fields of one row of the endpoint list
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

# Fields of a purge
PURGED_OBJECT = "ref"
PURGED_GROUP = "shard"
PURGED_AT_MS = "unix_ms"

NO_GROUP = -1
"""Group number of a purge that names an object."""
US_PER_MS = 1000
QUOTED_ROW_CHARACTERS = 64
MAX_TEXT_CHARACTERS = 255
"""A name that is longer than this is malformed; the platform's have some ten characters."""
MAX_GROUP = 255
"""Groups of objects are numbered from 0 to this."""
OBJECT_ID_CHARACTERS = 16
_search_name = re.compile(rb'"id"\s*:\s*"([^"\\]{1,255})"').search
_search_state = re.compile(rb'"state"\s*:\s*"([^"\\]*)"').search
MALFORMED_EVENT_ERRORS = (KeyError, ValueError, TypeError, AttributeError, OverflowError)
"""Errors that the functions of this module raise for an event that is not in the expected form."""


class ListUpdate(NamedTuple):
    """A change of the endpoint list, with the addresses of all members in it that are not removed."""

    change: EndpointsChanged
    addresses: dict[str, Address]


@dataclass(frozen=True, slots=True)
class Purge:
    """The objects to purge: one object by name, or all objects of a group if `name` is None."""

    group: int
    name: str | None
    made_at_us: int
    """When the purge was made, by the steady clock of this machine."""


@dataclass(frozen=True, slots=True)
class FeedChanges:
    """The changes that one event contains; None for a kind that it does not contain."""

    endpoints: ListUpdate | None
    purge: Purge | None


def read_changes(
    event: dict[str, Any], stamps: FeedTimestamps, now_us: int, report_bad_row: Callable[[str], None]
) -> FeedChanges:
    """Decode the changes in an event. Raises one of `MALFORMED_EVENT_ERRORS` if that fails.

    `now_us` is a time of the steady clock.
    """
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
    if name is not None and len(str(name)) > OBJECT_ID_CHARACTERS:
        raise ValueError(f"object id of {len(str(name))} characters, expected {OBJECT_ID_CHARACTERS}")
    if group is not None and not 0 <= int(group) <= MAX_GROUP:
        raise ValueError(f"group {int(group)}, expected 0 to {MAX_GROUP}")
    return Purge(
        name=None if name is None else str(name),
        group=NO_GROUP if group is None else int(group),
        made_at_us=stamps.purge_time_us(int(document[PURGED_AT_MS]) * US_PER_MS, now_us),
    )


def suspected_members(text: bytes) -> list[str]:
    """Return the members that an event may make unusable of which only this first part has arrived.

    These are the members whose rows say so, and the one whose row was cut off before its state.
    """
    if b'"%b"' % ENDPOINTS.encode() not in text:
        return []
    names = list[str]()
    for row in text.split(b"{"):
        name, state = _search_name(row), _search_state(row)
        is_ready = state is not None and MEMBER_STATES.get(state[1].decode("latin-1")) is MemberState.READY
        if name is not None and not is_ready:
            names.append(name[1].decode("latin-1"))
    return names


def read_members(
    document: dict[str, Any], stamps: FeedTimestamps, now_us: int, report_bad_row: Callable[[str], None]
) -> ListUpdate:
    """Decode a change of the endpoint list, or the complete list. `now_us` is a time of the steady clock.

    A row that cannot be decoded is reported and left out. Raises KeyError, TypeError or ValueError if the
    document itself cannot be decoded.
    """
    members = list[Member]()
    addresses = dict[str, Address]()
    for row in document[ROWS]:
        try:
            member = _read_member(row, stamps, now_us)
            address = None if member.state is MemberState.REMOVED else read_address(row[ADDRESS])
        except MALFORMED_EVENT_ERRORS as error:
            report_bad_row(f"row {str(row)[:QUOTED_ROW_CHARACTERS]}: {error!r}")
            continue
        members.append(member)
        if address is None:
            stamps.forget(member.address)
        else:
            addresses[member.address] = address
    kind = EndpointListKind.SNAPSHOT if document.get(IS_SNAPSHOT) else EndpointListKind.CHANGE
    if kind is EndpointListKind.SNAPSHOT:
        stamps.forget_all_except(set(addresses))
    version = int(document.get(LIST_VERSION) or 0)
    return ListUpdate(EndpointsChanged(kind, tuple(members), version), addresses)


def _read_member(row: dict[str, Any], stamps: FeedTimestamps, now_us: int) -> Member:
    name = _text(row[NAME])
    return Member(
        address=name,
        zone=_text(row.get(ZONE, "")),
        kind=_text(row.get(KIND, "")),
        cell=int(row.get(CELL) or 0),
        state=MEMBER_STATES[row[STATE]],
        weight=_finite(row.get(WEIGHT) or 0),
        started_at_us=stamps.start_time_us(name, int(row.get(STARTED_MS) or 0) * US_PER_MS, now_us),
    )


def _text(value: object) -> str:
    text = str(value)
    if len(text) > MAX_TEXT_CHARACTERS:
        raise ValueError(f"text of {len(text)} characters, expected at most {MAX_TEXT_CHARACTERS}")
    return text


def _finite(value: Any) -> float:
    number = float(value)
    if not math.isfinite(number):
        raise ValueError(f"number {number}, expected a finite one")
    return number


def newest_timestamp_us(events: Iterable[object], latest_us: int) -> int:
    """Return the newest timestamp in the events, in microseconds of the feed's clock; 0 if there is none.

    Timestamps after `latest_us` are ignored, as a mere step of a clock does not give such timestamps.
    """
    newest_us = 0
    for event in events:
        with contextlib.suppress(*MALFORMED_EVENT_ERRORS):  # reported when the event is applied
            stamps_us = (stamp_ms * US_PER_MS for stamp_ms in _stamps_ms(event))
            newest_us = max(newest_us, *(at_us for at_us in stamps_us if at_us <= latest_us), 0)
    return newest_us


def _stamps_ms(event: Any) -> Iterator[int]:
    yield int((event.get(PURGE) or {}).get(PURGED_AT_MS) or 0)
    for row in (event.get(ENDPOINTS) or {}).get(ROWS) or ():
        yield int(row.get(STARTED_MS) or 0)
