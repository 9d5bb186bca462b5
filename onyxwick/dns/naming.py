"""Converts routed names into requests of the core, and provides the transport whose attempts name a cache."""

from __future__ import annotations

import re
import secrets
from typing import NamedTuple

import dns.name

from onyxwick.core import AttemptOutcome, AttemptSpec, ClientRequest
from onyxwick.interface import AttemptStatus, Idempotency, RequestClass

_match_object_id = re.compile(r"[0-9a-f]{16}").fullmatch
_match_part = re.compile(r"0|[1-9][0-9]{0,8}").fullmatch
CACHES_LABEL = "box"
"""The label below which the targets of SRV records are named."""
REQUEST_ID_BYTES = 8
ROUTED_LABEL_COUNT = 3


class RoutedName(NamedTuple):
    """The labels PART.OBJECT.CLASS of a routed name."""

    class_name: str
    object_id: str
    part: int


class CacheNamingTransport:
    """The transport of the DNS front: an attempt consists of naming the cache to the client.

    A client that has the answer may connect to the cache, so the router must account for an attempt that may
    have been executed. The end of the client's transfer is not observed, so the outcome carries no latency,
    hit or load for the router to learn from.
    """

    async def run(self, order: AttemptSpec) -> AttemptOutcome:
        """Return the attempt's outcome immediately: NOT_SENT if `order` is no longer valid, else OK."""
        if not order.is_still_valid(order):
            return AttemptOutcome(AttemptStatus.NOT_SENT)
        return AttemptOutcome(AttemptStatus.OK, unobserved=True)


def read_routed_name(labels: tuple[str, ...], classes: dict[str, RequestClass]) -> RoutedName | None:
    """Parse class, object and part from PART.OBJECT.CLASS; None if it is not a routed name.

    Classes of writes and of non-idempotent requests have no names: a resolver may repeat a query at any time,
    and a client may use an answer any number of times.
    """
    if len(labels) != ROUTED_LABEL_COUNT:
        return None
    part, object_id, class_name = labels
    request_class = classes.get(class_name)
    if request_class is None or request_class.is_write:
        return None
    if request_class.idempotency is Idempotency.NON_IDEMPOTENT:
        return None
    if not _match_object_id(object_id) or not _match_part(part):
        return None
    return RoutedName(class_name, object_id, int(part))


def has_names_below(labels: tuple[str, ...], classes: dict[str, RequestClass]) -> bool:
    """Return whether routed names exist below a name that is not itself a routed name."""
    if len(labels) >= ROUTED_LABEL_COUNT:
        return False
    return not labels or read_routed_name(("0", "0" * 16, labels[-1]), classes) is not None


def labels_below(name: dns.name.Name, routed: dns.name.Name) -> tuple[str, ...]:
    """Return the labels of a name that precede the zone's routed name, in lower case."""
    below = name.relativize(routed).labels
    return tuple(label.decode("latin-1").lower() for label in below)


def client_request(name: RoutedName, now: int, deadline_us: int, tenant: str) -> ClientRequest:
    """Create the request for a routed name. Its timeout is `deadline_us` from `now`, both in microseconds."""
    return ClientRequest(
        request_id=secrets.token_hex(REQUEST_ID_BYTES),
        class_name=name.class_name,
        object_id=name.object_id,
        part=name.part,
        object_group=None,
        arrived_us=now,
        timeout_us=deadline_us,
        tenant=tenant,
    )
