"""Applies endpoint lists and purges to the store, the run-time checks, the send guard's table and the router.

They are applied in this order. They come from the coordinator's feed or the distribution tree, and after a
restart from the store. Times are in steady microseconds.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import TYPE_CHECKING, NamedTuple

from onyxwick import logs
from onyxwick.core.context import EngineContext
from onyxwick.core.endpoints import Address
from onyxwick.core.memory_account import DEFAULT_LIMIT_BYTES
from onyxwick.interface import EndpointListKind, EndpointsChanged, Member, MemberState, ObjectsPurged

if TYPE_CHECKING:
    from onyxwick.store.durable_state import DurableState


log = logs.get()
MEMBER_BYTES = 3000
"""Memory that a listed member takes in all tables of the director together."""
MAX_LOGGED_MEMBERS = 16


class _ReceivedMember(NamedTuple):
    member: Member
    address: Address


class FeedIntake:
    """Passes the events of the feed to every part of the director that uses them."""

    def __init__(self, context: EngineContext) -> None:
        self.context = context
        self.adjust_endpoints: Callable[[EndpointsChanged, int], EndpointsChanged] | None = None
        """Applies the operators' commands to a list event, given the time, before the router receives it."""
        self.max_members = DEFAULT_LIMIT_BYTES // MEMBER_BYTES
        self.last_index = 0  # index of the last event applied or skipped, for the log
        self._received: dict[str, _ReceivedMember] = {}  # by member id, as received before any adjustment
        self._suspects: frozenset[str] = frozenset()  # members that an event names which was cut off

    def apply_endpoints(self, event: EndpointsChanged, addresses: dict[str, Address]) -> None:
        """Apply a complete endpoint list or a change of it.

        `addresses` has the address of each member that is not removed.
        """
        context = self.context
        event = self._without_excess(event)
        event = self._without_replaced(event, addresses)
        self._remember(event, addresses)
        if context.durable is not None:
            context.durable.record_endpoints(event, context.now())
            event = context.durable.recovery.with_drains(event)
        event = self._with_suspects_draining(event)
        if self.adjust_endpoints is not None:
            event = self.adjust_endpoints(event, context.now())
        self._log_unready(event)
        context.invariants.endpoints_changed(event, context.now())
        context.endpoints.apply(event, addresses)
        context.handle(event)

    def _log_unready(self, event: EndpointsChanged) -> None:
        """Log the members that no request may be sent to any more."""
        unready = [member for member in event.members if member.state is not MemberState.READY]
        for member in unready[:MAX_LOGGED_MEMBERS]:
            if self.context.endpoints.is_ready(member.address):
                log.info(
                    "endpoint not ready",
                    member=member.address,
                    state=member.state.value,
                    after=self.last_index,
                )

    def _without_excess(self, event: EndpointsChanged) -> EndpointsChanged:
        """Return the event without the new members that are more than `max_members`."""
        listed = set() if event.kind is not EndpointListKind.CHANGE else set(self._received)
        if len(listed) + len(event.members) <= self.max_members:
            return event
        members = list[Member]()
        for member in event.members:
            if member.state is MemberState.REMOVED:
                listed.discard(member.address)
            elif member.address not in listed and len(listed) >= self.max_members:
                continue
            else:
                listed.add(member.address)
            members.append(member)
        left_out = len(event.members) - len(members)
        if left_out:
            self.context.counters.add("feed.left_out", left_out)
            log.error("members left out of the endpoint list", members=left_out, limit=self.max_members)
        return replace(event, members=tuple(members))

    def _without_replaced(self, event: EndpointsChanged, addresses: dict[str, Address]) -> EndpointsChanged:
        """Return the event with those members removed whose addresses it gives to other members.

        A new cache may come up at the address of one that has gone before the list tells that it has. A
        complete list tells all members at once, so nobody's address is taken by it.
        """
        if event.kind is not EndpointListKind.CHANGE:
            return event
        named = {member.address for member in event.members}
        taken = {
            addresses[name]
            for name in named & addresses.keys()
            if name not in self._received or self._received[name].address != addresses[name]
        }
        replaced = (
            [row.member for name, row in self._received.items() if row.address in taken and name not in named]
            if taken
            else []
        )
        if not replaced:
            return event
        self.context.counters.add("feed.replaced", len(replaced))
        log.warning(
            "members replaced at their addresses",
            members=[member.address for member in replaced[:MAX_LOGGED_MEMBERS]],
            count=len(replaced),
            after=self.last_index,
        )
        removed = tuple(replace(member, state=MemberState.REMOVED) for member in replaced)
        return replace(event, members=(*removed, *event.members))

    def _remember(self, event: EndpointsChanged, addresses: dict[str, Address]) -> None:
        if event.kind is not EndpointListKind.CHANGE:
            self._received.clear()
        for member in event.members:
            if member.address in addresses:
                self._received[member.address] = _ReceivedMember(member, addresses[member.address])
            else:
                self._received.pop(member.address, None)

    def reapply_members(self, *names: str) -> None:
        """Apply listed members again, after the adjustment of the list has changed for them."""
        listed = self.context.endpoints.listed
        rows = [self._received[name] for name in names if name in self._received and name in listed]
        if rows:
            addresses = {row.member.address: row.address for row in rows}
            members = tuple(row.member for row in rows)
            self.apply_endpoints(EndpointsChanged(EndpointListKind.CHANGE, members), addresses)

    def suspect_members(self, names: Iterable[str]) -> None:
        """Send nothing new to members until the feed has confirmed the list or brought its next event.

        An event that was cut off names them, and may make them unusable.
        """
        listed = frozenset(name for name in names if name in self._received) - self._suspects
        if not listed:
            return
        self._suspects |= listed
        self.context.counters.add("feed.suspected", len(listed))
        log.warning(
            "suspected members",
            members=sorted(listed)[:MAX_LOGGED_MEMBERS],
            count=len(listed),
            after=self.last_index,
        )
        self.reapply_members(*listed)

    def clear_suspects(self) -> None:
        """Use the members again that are suspected, as the feed has told what becomes of them."""
        names, self._suspects = self._suspects, frozenset()
        self.reapply_members(*names)

    def _with_suspects_draining(self, event: EndpointsChanged) -> EndpointsChanged:
        """Return the event with suspected members as draining."""
        if not self._suspects:
            return event
        members = tuple(
            replace(each, state=MemberState.DRAINING)
            if each.address in self._suspects and each.state is MemberState.READY
            else each
            for each in event.members
        )
        return replace(event, members=members)

    def apply_purge(self, object_group: int, object_id: str | None, purged_at_us: int) -> None:
        """Apply a received purge of an object, or of a group if `object_id` is None."""
        context = self.context
        if context.durable is not None:
            context.durable.record_purge(object_group, object_id, purged_at_us, context.now())
        context.invariants.object_purged(object_group, object_id, purged_at_us, context.now())
        context.endpoints.record_purge(object_group, object_id, context.now())
        age_us = max(0, context.now() - purged_at_us)
        context.handle(ObjectsPurged(object_group, object_id, age_us))

    def record_feed_index(self, index: int) -> None:
        """Record that the coordinator's feed was received up to the event number `index`."""
        context = self.context
        self.last_index = index
        self.clear_suspects()
        if context.durable is not None:
            stored_drains = list(context.durable.recovery.drains)
            if context.durable.record_feed_number(index, context.now()):
                self.reapply_members(*stored_drains)

    def restore(self, durable: DurableState) -> None:
        """Take over the stored state, so that stored purges apply from the first request on.

        These are the purges that a cache may not have applied yet.
        """
        context = self.context
        context.durable = durable
        for purge in durable.recovery.purges_to_replay(context.now()):
            purged_at_us = context.now() - purge.age_us
            context.invariants.object_purged(purge.object_group, purge.object_id, purged_at_us, context.now())
            context.endpoints.record_purge(purge.object_group, purge.object_id, context.now())
            context.handle(purge)
