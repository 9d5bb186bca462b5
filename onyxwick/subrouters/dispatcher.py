"""The base class that dispatches events to subrouters and collects their actions.

Takes the events of one instant (microseconds) and returns the actions of all subrouters, with timer tokens
prefixed by the name of the subrouter. A request belongs to one subrouter at a time, until it is answered and
its last attempt has ended. Purges are stored, so that a subrouter that starts later applies them too.

State is bounded: `MAX_REMEMBERED_PURGES`, `MAX_COUNTER_NAMES`, and one record for each request in progress.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import deque
from dataclasses import dataclass, replace
from typing import Generic, Protocol, TypeVar

from onyxwick.interface import (
    Action,
    AttemptEnded,
    ClientDisconnected,
    EndpointListKind,
    EndpointsChanged,
    Event,
    Member,
    MemberState,
    ObjectsPurged,
    RequestArrived,
    RequestClass,
    RequestRouter,
    SetTimer,
    StreamStarted,
    TimerFired,
)

TICK_INTERVAL_US = 100_000
REBALANCE_TICKS = 5  # ticks between two divisions of the parents' budget
MAX_REMEMBERED_PURGES = 4096
MAX_COUNTER_NAMES = 4096


class Subrouter(Protocol):
    """A router to which a dispatcher assigns requests, and the state that the dispatcher keeps for it."""

    name: str
    reported_members: dict[str, Member]  # the endpoint list last sent to the router, by address

    @property
    def router(self) -> RequestRouter:
        """Return the router that handles the dispatched events."""
        ...


@dataclass(slots=True)
class RequestOwner:
    """The subrouter of a request, recorded from its arrival until its last attempt has ended."""

    assigned_to: str  # name of the subrouter
    request_class: RequestClass
    arrived_at_us: int
    attempts_in_flight: int = 0
    answered: bool = False  # the final answer is decided; attempts may still be in flight


SubrouterType = TypeVar("SubrouterType", bound=Subrouter)
OwnerType = TypeVar("OwnerType", bound=RequestOwner)


class SubrouterDispatcher(ABC, Generic[SubrouterType, OwnerType]):
    """Base class of routers that distribute requests among subrouters."""

    TIMER_TOKEN: str  # token of the dispatcher's own tick
    TOKEN_SEPARATOR: str  # separates a subrouter's name from its timer token

    def __init__(self, now: int, subrouters: dict[str, SubrouterType]) -> None:
        """`subrouters` are the active subrouters by name. The subclass adds and removes entries."""
        self.now = now
        self._subrouters = subrouters
        self.requests: dict[str, OwnerType] = {}
        self.counts: dict[str, int] = {}
        # By request id, the reason why the last `handle` rejected a request without asking a subrouter.
        self.rejection_reason_by_request: dict[str, str] = {}
        self.ticks = 0
        self._purges: deque[tuple[int, ObjectsPurged]] = deque(maxlen=MAX_REMEMBERED_PURGES)
        self._pending_actions: list[Action] = []

    # ---- implemented by a subclass -------------------------------------------------------------------

    @abstractmethod
    def _on_request_arrived(self, request: RequestArrived) -> None:
        """Reject a request, or assign it to a subrouter and dispatch it there."""

    @abstractmethod
    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        """Account for an ended attempt and dispatch the event to the subrouter that ordered the attempt."""

    @abstractmethod
    def _on_endpoints_changed(self, event: EndpointsChanged) -> None:
        """Apply a changed endpoint list. The dispatcher notifies the subrouters afterwards."""

    @abstractmethod
    def _on_other_event(self, event: Event) -> None:
        """Handle an event of a type that this class does not dispatch itself."""

    @abstractmethod
    def _on_action(self, subrouter: SubrouterType, action: Action) -> None:
        """Account for a subrouter's action and emit the resulting actions. Not called for timers."""

    @abstractmethod
    def _on_tick(self) -> None:
        """Do periodic work, every `TICK_INTERVAL_US`."""

    @abstractmethod
    def _members_for(self, subrouter: SubrouterType) -> dict[str, Member]:
        """Return the endpoint list of one subrouter, by address."""

    @abstractmethod
    def _release(self, owner: OwnerType) -> None:
        """Release the capacity that a finished request occupied."""

    def _on_answered(self, owner: OwnerType) -> None:
        """Handle a request whose final answer is decided.

        Called again for each of its attempts that ends later."""

    # ---- events --------------------------------------------------------------------------------------

    def ejected_count(self) -> int:
        """Count the members ejected by the subrouters. A member counts once per subrouter that ejected it."""
        return sum(subrouter.router.ejected_count() for subrouter in self._subrouters.values())

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """Dispatch the events of the instant `now` (us) and return the resulting actions."""
        self.now = now
        self.rejection_reason_by_request.clear()
        for event in events:
            self._handle_event(event)
        actions = self._pending_actions
        self._pending_actions = []
        return actions

    def _handle_event(self, event: Event) -> None:
        match event:
            case RequestArrived():
                self._on_request_arrived(event)
            case AttemptEnded():
                self._on_attempt_ended(event)
            case StreamStarted(request_id=request_id):
                self._dispatch_to_owner(request_id, event)
            case ClientDisconnected(request_id=request_id):
                self._dispatch_to_owner(request_id, event)
                if owner := self.requests.get(request_id):
                    self._finish(request_id, owner)
            case EndpointsChanged(kind=EndpointListKind.UNAVAILABLE):
                self._dispatch_to_all(event)
            case EndpointsChanged():
                self._on_endpoints_changed(event)
                self._report_members()
            case ObjectsPurged():
                self._purges.append((self.now, event))
                self._dispatch_to_all(event)
            case TimerFired(token):
                self._on_timer(token)
            case _:
                self._on_other_event(event)

    # ---- timers --------------------------------------------------------------------------------------

    def _schedule_tick(self) -> None:
        self._pending_actions.append(SetTimer(self.now + TICK_INTERVAL_US, self.TIMER_TOKEN))

    def _on_timer(self, token: str) -> None:
        if token == self.TIMER_TOKEN:
            self._schedule_tick()
            self.ticks += 1
            self._on_tick()
            return
        name, separator, inner_token = token.partition(self.TOKEN_SEPARATOR)
        subrouter = self._subrouters.get(name)
        if separator and subrouter is not None:
            self._dispatch(subrouter, [TimerFired(inner_token)])

    # ---- subrouters ----------------------------------------------------------------------------------

    def _dispatch(self, subrouter: SubrouterType, events: list[Event]) -> None:
        """Dispatch events to one subrouter, then account for its actions and emit them."""
        for action in subrouter.router.handle(self.now, events):
            if isinstance(action, SetTimer):
                token = f"{subrouter.name}{self.TOKEN_SEPARATOR}{action.token}"
                self._pending_actions.append(SetTimer(action.at_us, token))
            else:
                self._on_action(subrouter, action)

    def _dispatch_to_all(self, event: Event) -> None:
        for subrouter in self._subrouters.values():
            self._dispatch(subrouter, [event])

    def _dispatch_to_owner(self, request_id: str, event: Event) -> None:
        if owner := self.requests.get(request_id):
            self._dispatch(self._subrouters[owner.assigned_to], [event])

    def _replay_purges(self, subrouter: SubrouterType) -> None:
        """Dispatch the stored purges to a new subrouter, with their ages increased to the present."""
        aged: list[Event] = [
            replace(purge, age_us=purge.age_us + self.now - at) for at, purge in self._purges
        ]
        self._dispatch(subrouter, aged)

    def _report_members(self) -> None:
        """Dispatch to each subrouter the changes of its endpoint list since the last report."""
        for subrouter in list(self._subrouters.values()):
            known = subrouter.reported_members
            members = self._members_for(subrouter)
            changed = [member for address, member in members.items() if known.get(address) != member]
            removed = [
                replace(member, state=MemberState.REMOVED)
                for address, member in known.items()
                if address not in members
            ]
            subrouter.reported_members = members
            if changed or removed:
                change = EndpointsChanged(EndpointListKind.CHANGE, (*changed, *removed))
                self._dispatch(subrouter, [change])

    # ---- requests ------------------------------------------------------------------------------------

    def _finish(self, request_id: str, owner: OwnerType) -> None:
        """Record that a request's final answer is decided."""
        owner.answered = True
        self._forget_if_ended(request_id, owner)

    def _forget_if_ended(self, request_id: str, owner: OwnerType) -> None:
        """Forget a request once it is answered and none of its attempts is in flight."""
        if not owner.answered:
            return
        self._on_answered(owner)
        if owner.attempts_in_flight <= 0 and self.requests.pop(request_id, None) is not None:
            self._release(owner)

    def _count(self, name: str) -> None:
        if name in self.counts or len(self.counts) < MAX_COUNTER_NAMES:
            self.counts[name] = self.counts.get(name, 0) + 1

    # ---- for the trace -------------------------------------------------------------------------------

    def router_of(self, request_id: str) -> RequestRouter | None:
        """Return the innermost router that handles a request; None if the request is not in progress."""
        router = self._assigned_router(request_id)
        if isinstance(router, SubrouterDispatcher):
            return router.router_of(request_id)
        return router

    def cell_of(self, request_id: str) -> str:
        """Return the name of a request's subrouter, with nested subrouters' names after a slash.

        Empty if the request is not in progress."""
        router = self._assigned_router(request_id)
        if router is None:
            return ""
        name = self.requests[request_id].assigned_to
        nested = router.cell_of(request_id) if isinstance(router, SubrouterDispatcher) else ""
        return f"{name}/{nested}" if nested else name

    def _assigned_router(self, request_id: str) -> RequestRouter | None:
        owner = self.requests.get(request_id)
        subrouter = self._subrouters.get(owner.assigned_to) if owner is not None else None
        return subrouter.router if subrouter is not None else None
