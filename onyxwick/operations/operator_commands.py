"""The operators' commands as one versioned value, and what they change in the endpoint list. No I/O.

A disabled cache is excluded from every send from the moment of the call until one call enables it again,
whatever the coordinator announces in between. The router gets it as draining. It may have been restarted
meanwhile, so the router gets an enabled cache as just started, and its slow start applies. A successor
process takes the commands over (`persisted_commands`); of two sets the one with the higher version holds.

Times in steady microseconds, unless a name says otherwise.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from onyxwick.interface import EndpointsChanged, Member, MemberState
from onyxwick.operations.errors import OperatorCommandError

RE_ENABLED_RETENTION_US = 40_000_000
"""For so long an enabled cache counts as started when it was enabled: longer than any warm-up."""
MAX_DISABLED_CACHES = 4096
"""Disabled at once; more calls are rejected."""
MAX_KNOWN_CACHES = 8192
"""Ids of listed caches that are remembered; the oldest are forgotten first."""


class ReEnabledCache(NamedTuple):
    """A cache that was enabled again, and when."""

    cache: str
    at_us: int


@dataclass(frozen=True, slots=True)
class OperatorCommands:
    """All commands in force."""

    version: int = 0
    is_drained: bool = False
    disabled_caches: frozenset[str] = frozenset()
    re_enabled: tuple[ReEnabledCache, ...] = ()
    drain_requested_at_s: float = field(default=0.0, compare=False)
    """Monotonic time of this process at which the drain was requested; 0: not requested here."""

    def re_enabled_at_us(self, cache: str) -> int:
        """When a cache was enabled again; 0: not lately."""
        return next((row.at_us for row in self.re_enabled if row.cache == cache), 0)


def disable_cache(commands: OperatorCommands, cache: str, now_us: int) -> OperatorCommands:
    """Disable a cache; the same commands where it is disabled already.

    OperatorCommandError where `MAX_DISABLED_CACHES` are disabled.
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
    """Enable a cache, cold from now on; one call suffices, however many have disabled it."""
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
    """Drain the director, or end the drain; the same commands where it is so: the first call's time holds."""
    if commands.is_drained is is_drained:
        return commands
    return replace(
        commands,
        version=commands.version + 1,
        is_drained=is_drained,
        drain_requested_at_s=requested_at_s,
    )


def is_new_drain_state(before: OperatorCommands, after: OperatorCommands) -> bool:
    """Whether a drain has begun or ended, or a second one has begun after the end of the first.

    A drain that another process was asked for has no time here, and is the same where this one is drained.
    """
    if before.is_drained is not after.is_drained:
        return True
    return after.is_drained and after.drain_requested_at_s not in (0.0, before.drain_requested_at_s)


def is_newer(commands: OperatorCommands, than: OperatorCommands) -> bool:
    """Whether commands take precedence over others, of this process or another one."""
    return commands.version > than.version


CommandChange = Callable[[OperatorCommands], OperatorCommands]
"""What one call makes of the commands in force."""


def rebase(theirs: OperatorCommands, changes: Iterable[CommandChange]) -> OperatorCommands:
    """Apply changes of this process, not written yet, to what another process has written meanwhile."""
    for change in changes:
        theirs = change(theirs)
    return theirs


def changed_caches(before: OperatorCommands, after: OperatorCommands) -> set[str]:
    """Caches that the router gets differently under two sets of commands."""
    disabled = before.disabled_caches ^ after.disabled_caches
    re_enabled = set(before.re_enabled) ^ set(after.re_enabled)
    return set(disabled) | {row.cache for row in re_enabled}


def member_under_commands(member: Member, commands: OperatorCommands, now_us: int) -> Member:
    """A listed member as the router gets it under these commands."""
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
    """A change of the list as the router gets it; the same event where nothing differs."""
    members = tuple(member_under_commands(member, commands, now_us) for member in event.members)
    return event if members == event.members else replace(event, members=members)


class KnownCaches:
    """Ids of caches that were ever listed: a call for any other is rejected. Bounded; the oldest go first."""

    def __init__(self, max_ids: int = MAX_KNOWN_CACHES) -> None:
        self.max_ids = max_ids
        self.ids: dict[str, None] = {}

    def add(self, ids: Iterable[str]) -> None:
        """Remember ids; those known already become the newest."""
        for name in ids:
            self.ids.pop(name, None)
            self.ids[name] = None
        while len(self.ids) > self.max_ids:
            del self.ids[next(iter(self.ids))]

    def __contains__(self, name: object) -> bool:
        """Whether an id is known."""
        return name in self.ids
