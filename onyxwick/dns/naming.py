"""From a routed name to a core request, and the attempt that consists of naming a cache."""

from __future__ import annotations

import re
import secrets

import dns.name

from onyxwick.core import AttemptOutcome, AttemptSpec, ClientRequest
from onyxwick.interface import AttemptStatus, Idempotency, RequestClass

_OBJECT = re.compile(r"[0-9a-f]{16}").fullmatch
_PART = re.compile(r"0|[1-9][0-9]{0,8}").fullmatch
BOXES = "box"  # label under which the targets of SRV records stand


class Naming:
    """The transport of the DNS front: the attempt is the naming itself.

    Whoever asked may well go where it was told, so the module is charged with an attempt that may have run.
    Nobody here sees how that went: the outcome carries no latency, hit or load that it could learn from.
    """

    async def run(self, order: AttemptSpec) -> AttemptOutcome:
        if not order.is_still_valid():
            return AttemptOutcome(AttemptStatus.NOT_SENT)
        return AttemptOutcome(AttemptStatus.OK, unobserved=True)


def read_name(labels: tuple[str, ...], classes: dict[str, RequestClass]) -> tuple[str, str, int] | None:
    """Class, object and part of PART.OBJECT.CLASS, or None where there is no such name.

    A class whose requests must never run twice has no names: a resolver asks again as it likes, and whoever
    holds the answer may use it any number of times.
    """
    if len(labels) != 3:
        return None
    part, name, class_name = labels
    kind = classes.get(class_name)
    if kind is None or kind.is_write or kind.idempotency is Idempotency.NON_IDEMPOTENT:
        return None
    return (class_name, name, int(part)) if _OBJECT(name) and _PART(part) else None


def labels_below(name: dns.name.Name, routed: dns.name.Name) -> tuple[str, ...]:
    below = name.relativize(routed).labels
    return tuple(label.decode("latin-1").lower() for label in below)


def request(asked: tuple[str, str, int], now: int, deadline_us: int, tenant: str) -> ClientRequest:
    class_name, name, part = asked
    return ClientRequest(
        request_id=secrets.token_hex(8),
        class_name=class_name,
        object_id=name,
        part=part,
        object_group=None,
        arrived_us=now,
        timeout_us=deadline_us,
        tenant=tenant,
    )
