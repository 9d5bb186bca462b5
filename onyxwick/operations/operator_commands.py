"""What the operators have ordered through their door, free of I/O: caches left out, the director drained.

A cache that is left out (disabled) is held back from the module and from every send, from the director's yes
until one call lets it back in (enable), whatever the coordinator tells in between. It has restarted meanwhile
and comes back cold: for the module it has just started at the moment it is let back in, so that the cold
budget holds for it. The orders are one value with a version, taken over whole by a successor process
(`door/persisted_commands.py`); of two, the one with the higher version holds.

Rejected: an event of the module's own for a ban. The module knows drains and starts already, and its 740
lines are nearly all used; a cache left out is shown to it as draining, one let back in as just started.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import TypeGuard

from onyxwick.interface import EndpointsChanged, Member, MemberState

S = 1_000_000
BACK_KEPT_US = 40 * S  # a cache let back in is shown as started then for so long: past the longest cold time
MOST_HELD = 4096  # caches left out at once; more are refused
MOST_KNOWN = 8192  # ids of caches ever listed that are remembered, the oldest forgotten first


class OperatorCommandError(Exception):
    """An order that cannot be carried out; the text says why."""


@dataclass(frozen=True, slots=True)
class OperatorCommands:
    """All that the door has ordered. `back`: caches let back in, with the steady microsecond of it.
    `drain_called_at`: monotonic seconds of this process at which a drain was called for; 0: not here."""

    version: int = 0
    drained: bool = False
    held: frozenset[str] = frozenset()
    back: tuple[tuple[str, int], ...] = ()
    drain_called_at: float = field(default=0.0, compare=False)

    def cold_from(self, cache: str) -> int:
        return next((at for name, at in self.back if name == cache), 0)


def disable(orders: OperatorCommands, cache: str, now: int) -> OperatorCommands:
    """Leave a cache out; the same orders where it is out already, as a call again changes nothing."""
    if cache in orders.held:
        return orders
    if len(orders.held) >= MOST_HELD:
        raise OperatorCommandError(f"{MOST_HELD} caches are left out already")
    back = tuple((name, at) for name, at in orders.back if name != cache)
    return replace(orders, version=orders.version + 1, held=orders.held | {cache}, back=back)


def enable(orders: OperatorCommands, cache: str, now: int) -> OperatorCommands:
    """Let a cache back in, cold from now; one call ends the ban however many left it out."""
    if cache not in orders.held:
        return orders
    back = (*((name, at) for name, at in orders.back if now - at < BACK_KEPT_US), (cache, now))
    return replace(orders, version=orders.version + 1, held=orders.held - {cache}, back=back)


def drain(orders: OperatorCommands, drained: bool, called_at: float = 0.0) -> OperatorCommands:
    """Drain the director, or end that; the same orders where it is so: the first call's time holds."""
    if orders.drained is drained:
        return orders
    return replace(orders, version=orders.version + 1, drained=drained, drain_called_at=called_at)


def is_another_drain(before: OperatorCommands, after: OperatorCommands) -> bool:
    """Is the director drained, or no longer, or drained anew, with an end of the first drain in between? One
    that another process was called for has no time here, and is the same where this one is drained."""
    if before.drained is not after.drained:
        return True
    return after.drained and after.drain_called_at not in (0.0, before.drain_called_at)


Change = Callable[[OperatorCommands], OperatorCommands]
"""What a call makes of orders."""


def rebased(theirs: OperatorCommands, changes: Iterable[Change]) -> OperatorCommands:
    """Changes of this process that nobody else has seen, on top of what another process wrote meanwhile."""
    for change in changes:
        theirs = change(theirs)
    return theirs


def newer(mine: OperatorCommands, theirs: OperatorCommands) -> OperatorCommands:
    """Of the orders this process has and those another wrote, the later ones."""
    return theirs if theirs.version > mine.version else mine


def changed(before: OperatorCommands, after: OperatorCommands) -> set[str]:
    """Caches whose showing to the module differs between two orders."""
    return set(before.held ^ after.held) | {name for name, _ in set(before.back) ^ set(after.back)}


def shown(member: Member, orders: OperatorCommands, now: int) -> Member:
    """A row of the list as the module is to see it under these orders."""
    if member.state is not MemberState.READY:
        return member
    if member.address in orders.held:
        return replace(member, state=MemberState.DRAINING)
    back = orders.cold_from(member.address)
    if back and now - back < BACK_KEPT_US and member.started_at_us < back:
        return replace(member, started_at_us=back)
    return member


def shown_list(event: EndpointsChanged, orders: OperatorCommands, now: int) -> EndpointsChanged:
    members = tuple(shown(member, orders, now) for member in event.members)
    return event if members == event.members else replace(event, members=members)


class KnownCaches:
    """Ids of caches ever listed, so that an order for one that never was is refused; the oldest go first."""

    def __init__(self, most: int = MOST_KNOWN) -> None:
        self.most = most
        self.ids: dict[str, None] = {}

    def add(self, ids: tuple[str, ...] | list[str]) -> None:
        for name in ids:
            self.ids.pop(name, None)
            self.ids[name] = None
        while len(self.ids) > self.most:
            del self.ids[next(iter(self.ids))]

    def __contains__(self, name: object) -> bool:
        return name in self.ids


def to_json(orders: OperatorCommands, known: KnownCaches) -> dict[str, object]:
    return {
        "v": 1,
        "version": orders.version,
        "drained": orders.drained,
        "held": sorted(orders.held),
        "back": [[name, at] for name, at in orders.back],
        "known": list(known.ids),
    }


def of_json(data: object) -> tuple[OperatorCommands, list[str]]:
    """Orders and known ids as `to_json` wrote them; ValueError where the text is not such."""
    if not isinstance(data, dict) or data.get("v") != 1:
        raise ValueError("no orders of version 1")
    version, drained = data.get("version"), data.get("drained")
    held, back, known = data.get("held"), data.get("back"), data.get("known")
    if not isinstance(version, int) or not isinstance(drained, bool):
        raise ValueError("no version or no drained")
    if not _names(held) or not _names(known) or not isinstance(back, list):
        raise ValueError("held, known or back are no lists of names")
    pairs = [(row[0], row[1]) for row in back if isinstance(row, list) and len(row) == 2]
    if len(pairs) != len(back) or not all(isinstance(n, str) and isinstance(at, int) for n, at in pairs):
        raise ValueError("back is no list of names with times")
    return OperatorCommands(version, drained, frozenset(held), tuple(pairs)), list(known)


def _names(value: object) -> TypeGuard[list[str]]:
    return isinstance(value, list) and all(isinstance(name, str) for name in value)
