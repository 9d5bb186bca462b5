"""The operator commands as one versioned value, and their effect on the endpoint list. No I/O.

A disabled cache is excluded from every send from the moment of the call until a call enables it again,
regardless of what the coordinator announces in between. The router receives a disabled cache as draining. A
cache may have been restarted while it was disabled, so the router receives an enabled cache as just started,
and its slow start applies. A successor process takes over the commands (`persisted_commands`). Of two sets of
commands, the one with the higher version takes precedence.

Times are in steady microseconds, unless a name says otherwise.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from onyxwick.interface import EndpointsChanged, Member, MemberState
from onyxwick.operations.errors import OperatorCommandError

RE_ENABLED_RETENTION_US = 40_000_000
"""How long the time at which a cache was enabled counts as its start time; longer than any warm-up."""
MAX_DISABLED_CACHES = 4096
"""Maximum number of caches disabled at the same time; further calls are rejected."""
MAX_KNOWN_CACHES = 8192
"""Maximum number of remembered ids of listed caches; the oldest are forgotten first."""


class ReEnabledCache(NamedTuple):
    """A cache that was enabled again, and the time at which it was."""

    cache: str
    at_us: int


@dataclass(frozen=True, slots=True)
class OperatorCommands:
    """All commands in effect."""

    version: int = 0
    is_drained: bool = False
    disabled_caches: frozenset[str] = frozenset()
    re_enabled: tuple[ReEnabledCache, ...] = ()
    drain_requested_at_s: float = field(default=0.0, compare=False)
    """Monotonic time at which this process was asked to drain; 0 if it was not asked."""

    def re_enabled_at_us(self, cache: str) -> int:
        """Return the time at which a cache was enabled again, or 0 if it was not enabled recently."""
        return next((row.at_us for row in self.re_enabled if row.cache == cache), 0)


def disable_cache(commands: OperatorCommands, cache: str, now_us: int) -> OperatorCommands:
    """Disable a cache. Returns the same commands if it is disabled already.

    Raises OperatorCommandError if `MAX_DISABLED_CACHES` are disabled.
    """
    if cache in commands.disabled_caches:
        return commands
    if len(commands.disabled_caches) >= MAX_DISABLED_CACHES:
        raise OperatorCommandError(cache, MAX_DISABLED_CACHES)
    return replace(
        commands,
        version=commands.version + 1,
        disabled_caches=commands.disabled_caches | {cache},
        re_enabled=tuple(row for row in commands.re_enabled if row.cache != cache),
    )


def enable_cache(commands: OperatorCommands, cache: str, now_us: int) -> OperatorCommands:
    """Enable a cache, which is cold from now on. One call suffices, however many calls disabled it."""
    if cache not in commands.disabled_caches:
        return commands
    recent = (row for row in commands.re_enabled if now_us - row.at_us < RE_ENABLED_RETENTION_US)
    return replace(
        commands,
        version=commands.version + 1,
        disabled_caches=commands.disabled_caches - {cache},
        re_enabled=(*recent, ReEnabledCache(cache, now_us)),
    )


def set_drained(
    commands: OperatorCommands, is_drained: bool, requested_at_s: float = 0.0
) -> OperatorCommands:
    """Start or end the drain of the director.

    Returns the same commands if the director is in this state already, so the time of the first call remains.
    """
    if commands.is_drained is is_drained:
        return commands
    return replace(
        commands,
        version=commands.version + 1,
        is_drained=is_drained,
        drain_requested_at_s=requested_at_s,
    )


def is_new_drain_state(before: OperatorCommands, after: OperatorCommands) -> bool:
    """Return whether a drain has started or ended, or a second drain has started after the end of the first.

    A drain that was requested from another process has no request time here. Such a drain counts as the same
    drain if this process is already drained.
    """
    if before.is_drained is not after.is_drained:
        return True
    return after.is_drained and after.drain_requested_at_s not in (0.0, before.drain_requested_at_s)


def is_newer(commands: OperatorCommands, other: OperatorCommands) -> bool:
    """Return whether commands take precedence over other commands, of this process or another."""
    return commands.version > other.version


CommandChange = Callable[[OperatorCommands], OperatorCommands]
"""Returns the commands after one call, given the commands in effect before it."""


def rebase(base: OperatorCommands, changes: Iterable[CommandChange]) -> OperatorCommands:
    """Apply unwritten changes of this process to the commands that another process has written meanwhile."""
    for change in changes:
        base = change(base)
    return base


def changed_caches(before: OperatorCommands, after: OperatorCommands) -> set[str]:
    """Return the caches that the router receives differently under two sets of commands."""
    disabled = before.disabled_caches ^ after.disabled_caches
    re_enabled = set(before.re_enabled) ^ set(after.re_enabled)
    return set(disabled) | {row.cache for row in re_enabled}


def member_under_commands(member: Member, commands: OperatorCommands, now_us: int) -> Member:
    """Return a listed member as the router receives it under these commands."""
    if member.state is not MemberState.READY:
        return member
    if member.address in commands.disabled_caches:
        return replace(member, state=MemberState.DRAINING)
    enabled_at_us = commands.re_enabled_at_us(member.address)
    is_recent = bool(enabled_at_us) and now_us - enabled_at_us < RE_ENABLED_RETENTION_US
    if is_recent and member.started_at_us < enabled_at_us:
        return replace(member, started_at_us=enabled_at_us)
    return member


def endpoints_under_commands(
    event: EndpointsChanged, commands: OperatorCommands, now_us: int
) -> EndpointsChanged:
    """Return a change of the endpoint list as the router receives it, or the same event if nothing
    differs."""
    members = tuple(member_under_commands(member, commands, now_us) for member in event.members)
    return event if members == event.members else replace(event, members=members)


class KnownCaches:
    """Ids of the caches that were ever listed; a call for any other cache is rejected.

    The number of ids is limited; the oldest are forgotten first.
    """

    def __init__(self, max_ids: int = MAX_KNOWN_CACHES) -> None:
        self.max_ids = max_ids
        self.ids: dict[str, None] = {}

    def add(self, ids: Iterable[str]) -> None:
        """Remember ids. Ids that are known already become the newest."""
        for name in ids:
            self.ids.pop(name, None)
            self.ids[name] = None
        while len(self.ids) > self.max_ids:
            del self.ids[next(iter(self.ids))]

    def __contains__(self, name: object) -> bool:
        """Return whether an id is known."""
        return name in self.ids
