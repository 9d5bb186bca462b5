"""What the parts of the request engine share: clock, tables, checks, and where events are handed in."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from onyxwick import logs
from onyxwick.core.endpoints import EndpointTable
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
    """Hands events to the router."""

    def __call__(self, *events: Event) -> None:
        """Hand over the events of one instant, and carry out the router's actions on them."""
        ...


class MonotonicTime:
    """Steady microseconds from a clock that may go back; the readings never do."""

    def __init__(self, clock: Callable[[], int]) -> None:
        self.clock = clock
        self.latest_us = clock()

    def __call__(self) -> int:
        """The time now."""
        self.latest_us = max(self.latest_us, self.clock())
        return self.latest_us


@dataclass(slots=True, eq=False)
class EngineContext:
    """One director's shared state. `now`: steady microseconds on the Unix scale (core/clock.py)."""

    settings: RouterSettings
    transport: CacheTransport
    endpoints: EndpointTable
    counters: Counters
    now: Callable[[], int]
    handle: EventHandler
    guard: SendGuard
    invariants: Invariants
    max_open_requests: int
    non_idempotent_classes: frozenset[str]
    tracer: DecisionTracer | None = None
    """Writes a trace, where one is configured."""
    durable: DurableState | None = None
    """What outlasts a restart, where the installation has a disk."""

    def record_unserved(self, reason: UnservedReason, request: str, connection: int = -1) -> None:
        """Count and log that a request is rejected or failed without a cache's answer, for this reason."""
        self.counters.add(f"refused.{reason.value}")
        log.info("request not served", reason=reason.value, request=request, connection=connection)


def report_violation(counters: Counters, violation: Violation) -> None:
    """Count and log a violated invariant; what is served goes on."""
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
