"""From a routed name to a request of the core, and the transport whose attempt is naming a cache."""

from __future__ import annotations

import re
import secrets
from typing import NamedTuple

import dns.name

from onyxwick.core import AttemptOutcome, AttemptSpec, ClientRequest
from onyxwick.interface import AttemptStatus, Idempotency, RequestClass

_OBJECT = re.compile(r"[0-9a-f]{16}").fullmatch
_PART = re.compile(r"0|[1-9][0-9]{0,8}").fullmatch
CACHES_LABEL = "box"
"""The label below which the targets of SRV records stand."""
REQUEST_ID_BYTES = 8
ROUTED_LABELS = 3


class RoutedName(NamedTuple):
    """The labels PART.OBJECT.CLASS of a routed name."""

    class_name: str
    object_id: str
    part: int


class CacheNaming:
    """The transport of the DNS front: the attempt consists of naming the cache.

    A client that has the answer may well connect to the cache, so the router is charged with an attempt that
    was possibly executed. Its end is not observed: the outcome carries no latency, hit or load to learn from.
    """

    async def run(self, order: AttemptSpec) -> AttemptOutcome:
        """The attempt's outcome, at once."""
        if not order.is_still_valid():
            return AttemptOutcome(AttemptStatus.NOT_SENT)
        return AttemptOutcome(AttemptStatus.OK, unobserved=True)


def read_routed_name(labels: tuple[str, ...], classes: dict[str, RequestClass]) -> RoutedName | None:
    """Class, object and part of PART.OBJECT.CLASS, or None where there is no such name.

    A class of non-idempotent requests has no names: a resolver repeats queries as it likes, and a client may
    use an answer any number of times.
    """
    if len(labels) != ROUTED_LABELS:
        return None
    part, object_id, class_name = labels
    request_class = classes.get(class_name)
    if request_class is None or request_class.is_write:
        return None
    if request_class.idempotency is Idempotency.NON_IDEMPOTENT:
        return None
    if not _OBJECT(object_id) or not _PART(part):
        return None
    return RoutedName(class_name, object_id, int(part))


def has_names_below(labels: tuple[str, ...], classes: dict[str, RequestClass]) -> bool:
    """Does a name that is no routed name have some below it?"""
    if len(labels) >= ROUTED_LABELS:
        return False
    return not labels or read_routed_name(("0", "0" * 16, labels[-1]), classes) is not None


def labels_below(name: dns.name.Name, routed: dns.name.Name) -> tuple[str, ...]:
    """The labels of a name that stand before a zone's routed name, in lower case."""
    below = name.relativize(routed).labels
    return tuple(label.decode("latin-1").lower() for label in below)


def client_request(name: RoutedName, now: int, deadline_us: int, tenant: str) -> ClientRequest:
    """The request that a query for a routed name makes; `deadline_us` from `now` on, both in microseconds."""
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
