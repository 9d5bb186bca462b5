"""Admission control with an adaptive concurrency limit, fair shares between owners and class priorities.

Takes the outcome of each request (late or in time) and each request to admit, with its owner (the tenant or
cell that the request counts towards) and the priority of its class (0 to 1). Returns the reason to reject the
request, or None.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from onyxwick.interface import Idempotency, RequestClass
from onyxwick.subrouters.rejection import AdmissionRejection

MAX_LATE_SHARE = 0.2  # share of late answers above which the limit decreases
LATENESS_SMOOTHING = 0.06  # weight of one answer in the moving average of the late share
DECREASE_FACTOR = 0.85
# Minimum time between two decreases, in multiples of the latency objective.
DECREASE_INTERVAL_OBJECTIVES = 1.0
MIN_LIMIT = 4.0  # lowest limit; a limit so low that no answers arrive could not grow again
# A limit grows only if this share of it is in use; answers in time at low load prove nothing.
MIN_UTILISATION_TO_GROW = 0.5
INITIAL_LIMIT_SHARE = 0.5  # a limit starts at this share of its upper bound
# Share of the limit that the lowest class may not use; the highest class may use all of it.
HIGH_PRIORITY_RESERVE = 0.2
FAIRNESS_UTILISATION = 0.6  # share of the limit in use from which owners are held to their fair shares


def class_priorities(
    classes: Iterable[RequestClass], work_us: Mapping[str, float] | None = None
) -> dict[str, float]:
    """Return each class's priority, from 0 for the class shed first to 1 for the class shed last.

    Writes and other classes that must not run twice are shed last. Otherwise the order is by priority weight
    per microsecond of `work_us`, or by weight alone without `work_us`.
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

    The limit is increased additively and decreased multiplicatively, which makes independent limits on one
    resource converge to efficient and equal shares (Chiu and Jain, "Analysis of the increase and decrease
    algorithms for congestion avoidance", 1989, section 3). By Little's law a limit of n at a mean latency of
    the objective is n/objective answers per second, so late answers at a full limit mean that the resource
    delivers less.
    """

    def __init__(self, upper_bound: float) -> None:
        self.upper_bound = max(MIN_LIMIT, upper_bound)
        self.limit = max(MIN_LIMIT, INITIAL_LIMIT_SHARE * self.upper_bound)
        self.late_share = 0.0
        self.decreased_at_us = 0

    def set_upper_bound(self, upper_bound: float) -> None:
        """Replace the maximum of the limit. A higher limit is lowered to it immediately."""
        self.upper_bound = max(MIN_LIMIT, upper_bound)
        self.limit = min(self.limit, self.upper_bound)

    def record_answer(self, now: int, late: bool, objective_us: int, in_flight: int) -> None:
        """Adapt the limit to an answer at `now` (us), with `in_flight` other requests in progress."""
        self.late_share += LATENESS_SMOOTHING * (late - self.late_share)
        if late:
            interval_passed = now - self.decreased_at_us >= DECREASE_INTERVAL_OBJECTIVES * objective_us
            if self.late_share > MAX_LATE_SHARE and interval_passed:
                self.decreased_at_us = now
                # The decrease starts from the requests in flight if they are fewer than the limit: a limit
                # far above them would take many decreases to have any effect.
                in_use = max(in_flight + 1.0, MIN_LIMIT)
                self.limit = max(MIN_LIMIT, DECREASE_FACTOR * min(self.limit, in_use))
        elif in_flight >= MIN_UTILISATION_TO_GROW * self.limit:
            self.limit = min(self.upper_bound, self.limit + 1 / self.limit)


@dataclass(slots=True)
class OwnerAccount:
    """The weight and the requests in flight of one owner at a gate."""

    weight: float
    in_flight: int = 0


class AdmissionGate:
    """Admits requests up to an adaptive limit.

    Low priorities are rejected earlier, and under load no owner may have more than its fair share. Fair
    shares are weighted max-min over the owners with requests in flight and one additional owner, so that an
    owner without requests is admitted and unused capacity can be used. With `total_weight`, they are computed
    over the weights of all possible owners instead.
    """

    def __init__(self, upper_bound: float, total_weight: float = 0.0) -> None:
        self.adaptive_limit = AdaptiveLimit(upper_bound)
        self.total_weight = total_weight
        self.accounts: dict[str, OwnerAccount] = {}  # owners with requests in flight, by name
        self.in_flight = 0
        self.active_weight = 0.0  # sum of the weights of the owners in `accounts`

    def rejection_reason(self, owner: str, priority: float) -> AdmissionRejection | None:
        """Return the reason to reject one more request of `owner`, or None. `priority` is 0 to 1."""
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
        """Count an admitted request of an owner."""
        account = self.accounts.get(owner)
        if account is None:
            account = self.accounts[owner] = OwnerAccount(weight)
            self.active_weight += weight
        account.in_flight += 1
        self.in_flight += 1

    def release(self, owner: str) -> None:
        """Remove an ended request of an owner. KeyError for an owner without requests in flight."""
        account = self.accounts[owner]
        account.in_flight -= 1
        self.in_flight -= 1
        if not account.in_flight:
            del self.accounts[owner]
            self.active_weight = sum(other.weight for other in self.accounts.values())

    def in_flight_of(self, owner: str) -> int:
        """Return the number of an owner's requests in flight."""
        account = self.accounts.get(owner)
        return account.in_flight if account else 0
