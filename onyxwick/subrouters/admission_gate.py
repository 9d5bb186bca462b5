"""How many requests are admitted at once, and from whom: an adaptive limit, fair between owners, by class
priority.

In: the end of each request (late or in time) and each request that asks for admission, with its owner and its
class's priority (0 to 1). Out: a reason to reject it, or None.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from onyxwick.interface import Idempotency, RequestClass
from onyxwick.subrouters.rejection import AdmissionRejection

MAX_LATE_SHARE = 0.2  # of the latest answers; above it the limit falls
LATENESS_WEIGHT = 0.06  # of one answer in that share
DECREASE_FACTOR = 0.85
DECREASE_INTERVAL_OBJECTIVES = 1.0  # latency objectives that pass between two decreases
MIN_LIMIT = 4.0  # answers must keep coming for a limit to grow again
MIN_UTILISATION_TO_GROW = 0.5  # of the limit: answers in time at low load prove nothing
INITIAL_LIMIT_SHARE = 0.5  # of the upper bound
HIGH_PRIORITY_RESERVE = 0.2  # of the limit that the lowest class may not use, the highest all
FAIRNESS_UTILISATION = 0.6  # of the limit in use from which each owner is held to its fair share


def class_priorities(
    classes: Iterable[RequestClass], work_us: Mapping[str, float] | None = None
) -> dict[str, float]:
    """Each class's priority, 0 for the first to be shed and 1 for the last.

    What must not run twice is shed last, then by priority weight for each microsecond of `work_us` (without
    it, by weight alone).
    """
    work = work_us or {}
    order = sorted(
        classes,
        key=lambda request_class: (
            request_class.idempotency is Idempotency.NON_IDEMPOTENT or request_class.is_write,
            request_class.priority_weight / max(1.0, work.get(request_class.name, 1.0)),
            request_class.name,
        ),
    )
    last = max(1, len(order) - 1)
    return {request_class.name: rank / last for rank, request_class in enumerate(order)}


class AdaptiveLimit:
    """A concurrency limit learned from whether answers arrive within their class's latency objective.

    Additive increase, multiplicative decrease, which makes independent limits on one resource converge to
    efficient and equal shares (Chiu and Jain, "Analysis of the increase and decrease algorithms for
    congestion avoidance", 1989, section 3). By Little's law a limit of n at a mean latency of the objective
    is n/objective answers a second: late answers at a full limit mean that the resource gives less.
    """

    def __init__(self, upper_bound: float) -> None:
        self.upper_bound = max(MIN_LIMIT, upper_bound)
        self.limit = max(MIN_LIMIT, INITIAL_LIMIT_SHARE * self.upper_bound)
        self.late_share = 0.0
        self.decreased_at_us = 0

    def set_upper_bound(self, upper_bound: float) -> None:
        """Never exceed this many requests; the limit falls to it at once."""
        self.upper_bound = max(MIN_LIMIT, upper_bound)
        self.limit = min(self.limit, self.upper_bound)

    def record_answer(self, now: int, late: bool, objective_us: int, in_flight: int) -> None:
        """One answer at `now` (us), with `in_flight` other requests under way."""
        self.late_share += LATENESS_WEIGHT * (late - self.late_share)
        if late:
            rested = now - self.decreased_at_us >= DECREASE_INTERVAL_OBJECTIVES * objective_us
            if self.late_share > MAX_LATE_SHARE and rested:
                self.decreased_at_us = now
                # From what is in use: a limit far above it would need many decreases to bind at all.
                in_use = max(in_flight + 1.0, MIN_LIMIT)
                self.limit = max(MIN_LIMIT, DECREASE_FACTOR * min(self.limit, in_use))
        elif in_flight >= MIN_UTILISATION_TO_GROW * self.limit:
            self.limit = min(self.upper_bound, self.limit + 1 / self.limit)


@dataclass(slots=True)
class OwnerAccount:
    """One owner's requests in flight at a gate."""

    weight: float
    in_flight: int = 0


class AdmissionGate:
    """Admits up to an adaptive limit: low priorities are rejected earlier, and under load no owner may have
    more than its fair share.

    A fair share is weighted max-min over the owners with requests in flight and one newcomer, so that an
    owner with none is admitted and unused capacity can be used; or, with `total_weight`, over the weights of
    all owners that could come.
    """

    def __init__(self, upper_bound: float, total_weight: float = 0.0) -> None:
        self.adaptive_limit = AdaptiveLimit(upper_bound)
        self.total_weight = total_weight
        self.accounts: dict[str, OwnerAccount] = {}  # of owners with requests in flight
        self.in_flight = 0
        self.active_weight = 0.0  # of the owners in `accounts`

    def rejection_reason(self, owner: str, priority: float) -> AdmissionRejection | None:
        """Why one more request of `owner` is not admitted, or None. `priority`: 0 to 1."""
        limit = self.adaptive_limit.limit * (1 - HIGH_PRIORITY_RESERVE * (1 - priority))
        if self.in_flight >= limit:
            return AdmissionRejection.LIMIT_REACHED
        account = self.accounts.get(owner)
        if self.in_flight < FAIRNESS_UTILISATION * limit or account is None:
            return None
        sharing_weight = self.total_weight or self.active_weight + self.active_weight / len(self.accounts)
        exceeds_fair_share = account.in_flight + 1 > limit * account.weight / sharing_weight
        return AdmissionRejection.FAIR_SHARE_EXCEEDED if exceeds_fair_share else None

    def admit(self, owner: str, weight: float) -> None:
        """Count one more request of an owner."""
        account = self.accounts.get(owner)
        if account is None:
            account = self.accounts[owner] = OwnerAccount(weight)
            self.active_weight += weight
        account.in_flight += 1
        self.in_flight += 1

    def release(self, owner: str) -> None:
        """One of an owner's requests has ended. KeyError for an owner with none."""
        account = self.accounts[owner]
        account.in_flight -= 1
        self.in_flight -= 1
        if not account.in_flight:
            del self.accounts[owner]
            self.active_weight = sum(other.weight for other in self.accounts.values())

    def in_flight_of(self, owner: str) -> int:
        """An owner's requests in flight."""
        account = self.accounts.get(owner)
        return account.in_flight if account else 0
