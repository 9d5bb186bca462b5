"""Solves all losses that a plan covers and turns the outcomes into the plan.

The losses are: none, each site, each hub, the caches of each site, and pairs of sites that share a
survivor (a site that takes over load). Capacities are in concurrent transfers.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import combinations

from onyxwick.sites.loss_demand import MAX_SURVIVORS
from onyxwick.sites.loss_outcome import CACHES, LossOutcome, SiteLoss, resource_name
from onyxwick.sites.loss_solver import solve_loss
from onyxwick.sites.model import Topology
from onyxwick.sites.plan import LossKey, LossPlanRow, SitePlan, loss_key

MAX_PAIRS = 2_000
NEGLIGIBLE_CAPACITY = 1e-9
SHARE_DIGITS = 6  # decimal places of shares in a plan


@dataclass(slots=True)
class LossStudy:
    """All solved losses with their outcomes."""

    topology: Topology
    outcomes: dict[LossKey, LossOutcome] = field(default_factory=dict)
    omitted_pairs: int = 0  # pairs that share a survivor but were left out because of `MAX_PAIRS`
    independent_pairs: int = 0  # pairs without a shared survivor; their losses do not affect each other

    def plan(self) -> SitePlan:
        """Return the plan that follows from the outcomes."""
        rows = {key: _plan_row(self.topology, outcome) for key, outcome in self.outcomes.items()}
        return SitePlan(self.topology, rows)

    def findings(self) -> list[str]:
        """Return one sentence for each loss that cannot be fully served, in the order of solving."""
        return [_finding(outcome) for outcome in self.outcomes.values() if not outcome.is_feasible]


def _finding(outcome: LossOutcome) -> str:
    lost = str(outcome.loss)
    head = "With nothing lost" if lost == "nothing" else f"The loss of {lost}"
    rejected = max(0.0, 1 - outcome.served_value / outcome.offered_value)
    missing = ", ".join(
        f"{amount:.1f} more transfers of {resource_name(resource)}"
        for resource, amount in sorted(outcome.missing_capacity.items())
    )
    remedy = f"; it requires {missing}." if missing else "; no stated capacity would help."
    return f"{head} exceeds the capacity: {rejected:.1%} of the requested value is rejected{remedy}"


def _plan_row(topology: Topology, outcome: LossOutcome) -> LossPlanRow:
    lost = outcome.loss.sites | outcome.loss.cache_sites
    local_work = _local_work(topology, outcome)
    guest_shares = {}
    for name, site in topology.sites.items():
        use = outcome.resource_use.get((CACHES, name))
        if name not in lost and use is not None:
            local_share = local_work.get(name, 0.0) / max(NEGLIGIBLE_CAPACITY, site.capacity)
            guest_shares[name] = round(max(0.0, use.share - local_share), SHARE_DIGITS)
    return LossPlanRow(outcome.serving_shares, outcome.served_shares, guest_shares)


def _local_work(topology: Topology, outcome: LossOutcome) -> dict[str, float]:
    """Return by site the concurrent transfers that its caches use for the served reads of its own clients."""
    work = {load.site: 0.0 for load in topology.loads}
    for load in topology.loads:
        planned = topology.classes[load.class_name]
        served = outcome.served_shares.get((load.site, load.class_name, load.tenant), 1.0)
        work[load.site] += 0.0 if planned.is_write else load.rate_per_s * planned.work * served
    return work


def _survivors(topology: Topology, site: str) -> set[str]:
    return set(topology.nearest(site, topology.sites)[:MAX_SURVIVORS])


def _pairs(study: LossStudy) -> list[tuple[str, str]]:
    """Return the pairs of sites with overlapping survivors, those with the least spare capacity first.

    A survivor is a site that may take the load of a lost site. Pairs whose losses do not affect each other
    (independent pairs) and pairs beyond `MAX_PAIRS` (omitted pairs) are only counted, in the study."""
    topology = study.topology
    survivors = {site: _survivors(topology, site) for site in topology.sites}
    by_spare_capacity = []
    for one, other in combinations(topology.sites, 2):
        shared = survivors[one] & survivors[other]
        if other not in survivors[one] and one not in survivors[other] and not shared:
            study.independent_pairs += 1
            continue
        spare = sum(
            _spare_capacity(study, one, survivor) + _spare_capacity(study, other, survivor)
            for survivor in shared
        )
        by_spare_capacity.append((spare, one, other))
    by_spare_capacity.sort()
    study.omitted_pairs = max(0, len(by_spare_capacity) - MAX_PAIRS)
    return [(one, other) for _, one, other in by_spare_capacity[:MAX_PAIRS]]


def _spare_capacity(study: LossStudy, lost: str, survivor: str) -> float:
    """Return the concurrent transfers that the caches of a survivor have left after the loss of one site."""
    outcome = study.outcomes.get(loss_key([lost]))
    use = outcome.resource_use.get((CACHES, survivor)) if outcome is not None else None
    capacity = study.topology.sites[survivor].capacity
    return capacity - use.used if use is not None else capacity


def losses_to_solve(study: LossStudy, pairs: bool) -> Iterator[SiteLoss]:
    """Yield the losses in the order of solving.

    Pairs are last, as they are chosen by the capacity that remains after the single losses."""
    topology = study.topology
    yield SiteLoss()
    for site in topology.sites:
        yield SiteLoss(frozenset([site]))
    for hub in topology.hubs:
        yield SiteLoss(hubs=frozenset([hub]))
    for site in topology.sites:
        yield SiteLoss(cache_sites=frozenset([site]))
    if pairs and len(topology.sites) > 2:
        for one, other in _pairs(study):
            yield SiteLoss(frozenset([one, other]))


def study_losses(topology: Topology, pairs: bool = True) -> LossStudy:
    """Solve every loss. Raises PlanUnsolvedError if the solver finds no solution for one of them."""
    study = LossStudy(topology)
    for loss in losses_to_solve(study, pairs):
        study.outcomes[loss_key(loss.sites, loss.hubs, loss.cache_sites)] = solve_loss(topology, loss)
    return study
