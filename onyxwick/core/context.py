"""The state that the parts of the request engine share: the clock, tables, checks and the event handler."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from onyxwick import logs
from onyxwick.core.endpoints import EndpointTable
from onyxwick.core.feed_gate import FeedGate
from onyxwick.core.invariant_model import Violation
from onyxwick.core.invariants import Invariants
from onyxwick.core.model import CacheTransport
from onyxwick.core.reasons import UnservedReason
from onyxwick.core.send_guard import SendGuard
from onyxwick.counters import Counters
from onyxwick.interface import Event, RouterSettings

if TYPE_CHECKING:
    from onyxwick.store.durable_state import DurableState
    from onyxwick.trace.decision_tracer import DecisionTracer

log = logs.get()


class EventHandler(Protocol):
    """Passes events to the router."""

    def __call__(self, *events: Event) -> None:
        """Pass on the events of one instant, and carry out the router's actions on them."""
        ...


class MonotonicTime:
    """A clock in steady microseconds whose readings never decrease, even if the wrapped clock goes back."""

    def __init__(self, clock: Callable[[], int]) -> None:
        self.clock = clock
        self.latest_us = clock()

    def __call__(self) -> int:
        """Return the current time in steady microseconds."""
        self.latest_us = max(self.latest_us, self.clock())
        return self.latest_us


@dataclass(slots=True, eq=False)
class EngineContext:
    """Shared state of one director. `now` returns steady Unix microseconds (see `core/clock.py`)."""

    settings: RouterSettings
    transport: CacheTransport
    endpoints: EndpointTable
    counters: Counters
    now: Callable[[], int]
    handle: EventHandler
    guard: SendGuard
    feed_gate: FeedGate
    invariants: Invariants
    max_open_requests: int
    non_idempotent_classes: frozenset[str]
    tracer: DecisionTracer | None = None
    """Writes the trace; None if no trace is configured."""
    durable: DurableState | None = None
    """State that survives a restart; None if the installation has no disk."""

    def record_unserved(self, reason: UnservedReason, request: str, connection: int = -1) -> None:
        """Count and log why a request was rejected or failed without an answer from a cache."""
        self.counters.add(f"refused.{reason.value}")
        log.info("request not served", reason=reason.value, request=request, connection=connection)


def report_violation(counters: Counters, violation: Violation) -> None:
    """Count and log a violated invariant. Service continues unchanged."""
    counters.add(f"violation.{violation.rule.value}")
    log.error(
        "invariant violated",
        rule=violation.rule.value,
        cause=violation.cause,
        request=violation.request,
        attempt=violation.attempt,
        connection=violation.connection,
        member=violation.member,
    )
