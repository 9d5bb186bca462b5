"""Solves one loss: which site serves which load, what is rejected, and which capacity is missing."""

from __future__ import annotations

import numpy as np

from onyxwick.sites.fairness import reject_evenly, split_classes_alike
from onyxwick.sites.linear_program import LossProgram
from onyxwick.sites.loss_demand import RemainingResources, open_demands
from onyxwick.sites.loss_outcome import LossOutcome, ResourceUse, SiteLoss
from onyxwick.sites.model import Topology

NEGLIGIBLE_SHARE = 1e-6  # a serving site with no more than this share of a class's moved requests is left out
# A demand counts as fully served if at least this share of its requests is served.
FULLY_SERVED_SHARE = 1 - 1e-4


def solve_loss(topology: Topology, loss: SiteLoss) -> LossOutcome:
    """Return the outcome of one loss. Raises PlanUnsolvedError if the solver finds no solution."""
    remaining = RemainingResources(topology, loss)
    undecided = open_demands(remaining)
    classes = topology.classes
    offered = sum(load.rate_per_s * classes[load.class_name].priority_weight for load in topology.loads)
    undecided_value = sum(
        demand.rate_per_s * classes[demand.load.class_name].priority_weight for demand in undecided.demands
    )
    outcome = LossOutcome(loss, offered_value=offered)
    outcome.served_value = offered - undecided_value
    program = LossProgram(remaining, undecided)
    if not program.choices:
        loads = [demand.load for demand in undecided.demands]
        outcome.served_shares = {(load.site, load.class_name, load.tenant): 0.0 for load in loads}
        return outcome
    rates = split_classes_alike(program, reject_evenly(program, program.highest_value()))
    _set_serving_shares(outcome, program, rates)
    _set_served_shares(outcome, program, rates)
    _set_resource_use(outcome, program, rates)
    outcome.served_value += float((program.demand_matrix @ rates) @ program.values)
    if not outcome.is_feasible:
        outcome.missing_capacity = program.missing_capacity()
    return outcome


def _set_serving_shares(outcome: LossOutcome, program: LossProgram, rates: np.ndarray) -> None:
    moved: dict[tuple[str, str], dict[str, float]] = {}
    for choice, rate in zip(program.choices, rates, strict=True):
        demand = program.demands[choice.demand]
        if demand.is_moved:
            shares = moved.setdefault((demand.load.site, demand.load.class_name), {})
            shares[choice.place] = shares.get(choice.place, 0.0) + float(rate)
    for key, shares in moved.items():
        total = sum(shares.values())
        outcome.serving_shares[key] = (
            {site: rate / total for site, rate in shares.items() if rate > NEGLIGIBLE_SHARE * total}
            if total
            else {}
        )


def _set_served_shares(outcome: LossOutcome, program: LossProgram, rates: np.ndarray) -> None:
    offered: dict[tuple[str, str, str], float] = {}
    served: dict[tuple[str, str, str], float] = {}
    for demand, rate in zip(program.demands, program.demand_matrix @ rates, strict=True):
        key = (demand.load.site, demand.load.class_name, demand.load.tenant)
        offered[key] = offered.get(key, 0.0) + demand.rate_per_s
        served[key] = served.get(key, 0.0) + float(rate)
    outcome.served_shares = {
        key: max(0.0, served[key] / rate)
        for key, rate in offered.items()
        if served[key] < rate * FULLY_SERVED_SHARE
    }


def _set_resource_use(outcome: LossOutcome, program: LossProgram, rates: np.ndarray) -> None:
    capacity = program.remaining.capacity
    fixed_use = program.fixed_use
    for resource, amount in zip(program.resources, program.use_matrix @ rates, strict=True):
        used = float(amount) + fixed_use.get(resource, 0.0)
        outcome.resource_use[resource] = ResourceUse(used, capacity(resource))
    for resource, amount in fixed_use.items():
        if resource not in outcome.resource_use:
            outcome.resource_use[resource] = ResourceUse(amount, capacity(resource))
