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

US_PER_S = 1_000_000
RE_ENABLED_RETENTION_US = (
    40 * US_PER_S
)  # a cache let back in is shown as started then for so long: past the longest cold time
MAX_DISABLED_CACHES = 4096  # caches left out at once; more are refused
MAX_KNOWN_CACHES = 8192  # ids of caches ever listed that are remembered, the oldest forgotten first


class OperatorCommandError(Exception):
    """An order that cannot be carried out; the text says why."""


@dataclass(frozen=True, slots=True)
class OperatorCommands:
    """All that the door has ordered. `back`: caches let back in, with the steady microsecond of it.
    `drain_called_at`: monotonic seconds of this process at which a drain was called for; 0: not here."""

    version: int = 0
    is_drained: bool = False
    disabled_caches: frozenset[str] = frozenset()
    re_enabled_at_us: tuple[tuple[str, int], ...] = ()
    drain_requested_at_s: float = field(default=0.0, compare=False)

    def cache_re_enabled_at_us(self, cache: str) -> int:
        return next((at for name, at in self.re_enabled_at_us if name == cache), 0)


def disable_cache(commands: OperatorCommands, cache: str, now_us: int) -> OperatorCommands:
    """Leave a cache out; the same orders where it is out already, as a call again changes nothing."""
    if cache in commands.disabled_caches:
        return commands
    if len(commands.disabled_caches) >= MAX_DISABLED_CACHES:
        raise OperatorCommandError(f"{MAX_DISABLED_CACHES} caches are left out already")
    back = tuple((name, at) for name, at in commands.re_enabled_at_us if name != cache)
    return replace(
        commands,
        version=commands.version + 1,
        disabled_caches=commands.disabled_caches | {cache},
        re_enabled_at_us=back,
    )


def enable_cache(commands: OperatorCommands, cache: str, now_us: int) -> OperatorCommands:
    """Let a cache back in, cold from now; one call ends the ban however many left it out."""
    if cache not in commands.disabled_caches:
        return commands
    back = (
        *((name, at) for name, at in commands.re_enabled_at_us if now_us - at < RE_ENABLED_RETENTION_US),
        (cache, now_us),
    )
    return replace(
        commands,
        version=commands.version + 1,
        disabled_caches=commands.disabled_caches - {cache},
        re_enabled_at_us=back,
    )


def set_drained(
    commands: OperatorCommands, is_drained: bool, requested_at_s: float = 0.0
) -> OperatorCommands:
    """Drain the director, or end that; the same orders where it is so: the first call's time holds."""
    if commands.is_drained is is_drained:
        return commands
    return replace(
        commands, version=commands.version + 1, is_drained=is_drained, drain_requested_at_s=requested_at_s
    )


def is_new_drain_state(before: OperatorCommands, after: OperatorCommands) -> bool:
    """Is the director drained, or no longer, or drained anew, with an end of the first drain in between? One
    that another process was called for has no time here, and is the same where this one is drained."""
    if before.is_drained is not after.is_drained:
        return True
    return after.is_drained and after.drain_requested_at_s not in (0.0, before.drain_requested_at_s)


CommandChange = Callable[[OperatorCommands], OperatorCommands]
"""What a call makes of orders."""


def rebase(theirs: OperatorCommands, changes: Iterable[CommandChange]) -> OperatorCommands:
    """Changes of this process that nobody else has seen, on top of what another process wrote meanwhile."""
    for change in changes:
        theirs = change(theirs)
    return theirs


def newer(mine: OperatorCommands, theirs: OperatorCommands) -> OperatorCommands:
    """Of the orders this process has and those another wrote, the later ones."""
    return theirs if theirs.version > mine.version else mine


def changed_caches(before: OperatorCommands, after: OperatorCommands) -> set[str]:
    """Caches whose showing to the module differs between two orders."""
    return set(before.disabled_caches ^ after.disabled_caches) | {
        name for name, _ in set(before.re_enabled_at_us) ^ set(after.re_enabled_at_us)
    }


def member_under_commands(member: Member, commands: OperatorCommands, now_us: int) -> Member:
    """A row of the list as the module is to see it under these orders."""
    if member.state is not MemberState.READY:
        return member
    if member.address in commands.disabled_caches:
        return replace(member, state=MemberState.DRAINING)
    back = commands.cache_re_enabled_at_us(member.address)
    if back and now_us - back < RE_ENABLED_RETENTION_US and member.started_at_us < back:
        return replace(member, started_at_us=back)
    return member


def endpoints_under_commands(
    event: EndpointsChanged, commands: OperatorCommands, now_us: int
) -> EndpointsChanged:
    members = tuple(member_under_commands(member, commands, now_us) for member in event.members)
    return event if members == event.members else replace(event, members=members)


class KnownCaches:
    """Ids of caches ever listed, so that an order for one that never was is refused; the oldest go first."""

    def __init__(self, max_ids: int = MAX_KNOWN_CACHES) -> None:
        self.max_ids = max_ids
        self.ids: dict[str, None] = {}

    def add(self, ids: tuple[str, ...] | list[str]) -> None:
        for name in ids:
            self.ids.pop(name, None)
            self.ids[name] = None
        while len(self.ids) > self.max_ids:
            del self.ids[next(iter(self.ids))]

    def __contains__(self, name: object) -> bool:
        return name in self.ids


def commands_to_json(orders: OperatorCommands, known: KnownCaches) -> dict[str, object]:
    return {
        "v": 1,
        "version": orders.version,
        "drained": orders.is_drained,
        "held": sorted(orders.disabled_caches),
        "back": [[name, at] for name, at in orders.re_enabled_at_us],
        "known": list(known.ids),
    }


def commands_from_json(data: object) -> tuple[OperatorCommands, list[str]]:
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
