"""The linear program of one loss: the rates at which demands are served at places.

The solution first satisfies the tenants' reserves, then serves the highest value (priority weight per
second) that caches, links, parents and the origin can carry with the stated headroom. Among solutions of
equal value it has the least congestion (a piecewise linear convex cost of utilization, Fortz and Thorup
2000) and the shortest paths. Rates are in requests per second, uses and limits in concurrent transfers.
"""

from __future__ import annotations

import numpy as np
from scipy.sparse import csr_matrix

from onyxwick.sites.constraints import ConstraintBlock, Constraints, negative_identity
from onyxwick.sites.loss_demand import OpenDemands, RemainingResources
from onyxwick.sites.loss_outcome import Resource

# The pieces of the congestion cost: the utilization of a resource at which a piece starts, and its slope.
CONGESTION_COST = (
    *((0.3, 0.3), (0.4, 0.6), (0.5, 1.0), (0.55, 1.4), (0.6, 2.0), (0.65, 2.8), (0.7, 4.0)),
    *((0.75, 5.6), (0.8, 8.0), (0.85, 11.0), (0.9, 16.0), (0.95, 22.0)),
)
CONGESTION_WEIGHT = 1e-3  # largest share of the total value that is given up to avoid congestion
CONGESTION_SCALE = 16
# Weight of the delay as a share of the total value; delay only decides between otherwise equal solutions.
DELAY_WEIGHT = 1e-6
RESERVE_WEIGHT = 100.0  # a request within a tenant's reserve that is not served costs its value times this
NEGLIGIBLE_CAPACITY = 1e-9
NEGLIGIBLE_MISSING_TRANSFERS = 1e-4


class LossProgram:
    """The linear program for the resources and demands that remain after a loss.

    Its variables are the rate of each choice; for each demand the part of its reserve that is not served;
    and for each resource and piece of the congestion cost the utilization above the start of the
    piece."""

    def __init__(self, remaining: RemainingResources, open_demands: OpenDemands) -> None:
        self.remaining = remaining
        self.topology = remaining.topology
        self.demands = open_demands.demands
        self.fixed_use = open_demands.fixed_use
        self.choices = remaining.choices(self.demands)
        self.choice_count = len(self.choices)
        self.resources = sorted({resource for choice in self.choices for resource in choice.uses})
        self.limits = np.array([self._limit(resource) for resource in self.resources])
        self.rates = np.array([demand.rate_per_s for demand in self.demands])
        classes = [self.topology.classes[demand.load.class_name] for demand in self.demands]
        self.values = np.array([planned.priority_weight for planned in classes])
        reserves = self.topology.tenant_reserves
        self.reserves = np.array([reserves.get(demand.load.tenant, 0.0) for demand in self.demands])
        self.use_matrix = self._build_use_matrix()
        self.demand_matrix = self._build_demand_matrix()

    def _limit(self, resource: Resource) -> float:
        usable = (1 - self.topology.policy.headroom) * self.remaining.capacity(resource)
        return max(0.0, usable - self.fixed_use.get(resource, 0.0))

    def _usable_capacity(self, resource: Resource) -> float:
        usable = (1 - self.topology.policy.headroom) * self.remaining.capacity(resource)
        return max(NEGLIGIBLE_CAPACITY, usable)

    def _build_use_matrix(self) -> csr_matrix:
        """Return a matrix of resources by choices: concurrent transfers for each request per second."""
        row_of = {resource: row for row, resource in enumerate(self.resources)}
        rows, columns, values = [], [], []
        for column, choice in enumerate(self.choices):
            for resource, work in choice.uses.items():
                rows.append(row_of[resource])
                columns.append(column)
                values.append(work)
        return csr_matrix((values, (rows, columns)), shape=(len(self.resources), self.choice_count))

    def _build_demand_matrix(self) -> csr_matrix:
        """Return a matrix of demands by choices: 1 if the choice serves the demand."""
        rows = [choice.demand for choice in self.choices]
        shape = (len(self.demands), self.choice_count)
        return csr_matrix((np.ones(self.choice_count), (rows, range(self.choice_count))), shape=shape)

    def base_constraints(self, variable_count: int) -> Constraints:
        """Return constraints that keep each resource within its limit and each demand within its rate."""
        constraints = Constraints(variable_count)
        constraints.add([ConstraintBlock(self.use_matrix)], self.limits)
        constraints.add([ConstraintBlock(self.demand_matrix)], self.rates)
        return constraints

    # ---- highest value -------------------------------------------------------------------------------

    def highest_value(self) -> np.ndarray:
        """Return the rates of the choices that serve reserves first, then the highest value, with the least
        congestion and the shortest paths among equal solutions. Raises PlanUnsolvedError if there is none."""
        demand_count = len(self.demands)
        piece_count = len(self.resources) * len(CONGESTION_COST)
        first_piece = self.choice_count + demand_count
        constraints = self.base_constraints(first_piece + piece_count)
        unserved_reserve = ConstraintBlock(negative_identity(demand_count), self.choice_count)
        constraints.add([ConstraintBlock(-self.demand_matrix), unserved_reserve], -self.reserves * self.rates)
        self._add_congestion(constraints, first_piece)
        solution = constraints.minimize(self._value_cost(constraints.variable_count, first_piece))
        return np.asarray(solution[: self.choice_count])

    def _value_cost(self, variable_count: int, first_piece: int) -> np.ndarray:
        total_value = float(self.rates @ self.values) or 1.0
        delays_us = np.array([choice.delay_us for choice in self.choices])
        rates = np.array([self.rates[choice.demand] for choice in self.choices])
        longest = float((delays_us * rates).max(initial=0.0)) or 1.0
        cost = np.zeros(variable_count)
        cost[: self.choice_count] = [-self.values[choice.demand] for choice in self.choices]
        cost[: self.choice_count] += DELAY_WEIGHT * total_value * delays_us / longest
        cost[self.choice_count : first_piece] = RESERVE_WEIGHT * self.values
        slopes = np.diff([0.0, *(slope for _, slope in CONGESTION_COST)])
        resource_count = len(self.resources)
        congestion = np.tile(slopes, resource_count) * CONGESTION_WEIGHT * total_value
        cost[first_piece:] = congestion / max(1, resource_count) / CONGESTION_SCALE
        return cost

    def _add_congestion(self, constraints: Constraints, first_piece: int) -> None:
        """Constrain the variable of each piece to at least the utilization of its resource above the start
        of the piece."""
        resource_count = len(self.resources)
        pieces_each = len(CONGESTION_COST)
        piece_count = resource_count * pieces_each
        scale = np.array([1 / self._usable_capacity(resource) for resource in self.resources])
        spread = csr_matrix(
            (
                np.repeat(scale, pieces_each),
                (range(piece_count), np.repeat(range(resource_count), pieces_each)),
            ),
            shape=(piece_count, resource_count),
        )
        fixed = np.array([self.fixed_use.get(resource, 0.0) for resource in self.resources])
        starts = np.tile([start for start, _ in CONGESTION_COST], resource_count)
        starts = starts - np.repeat(fixed * scale, pieces_each)
        above_start = ConstraintBlock(negative_identity(piece_count), first_piece)
        constraints.add([ConstraintBlock(spread @ self.use_matrix), above_start], starts)

    # ---- missing capacity ----------------------------------------------------------------------------

    def missing_capacity(self) -> dict[Resource, float]:
        """Return the additional concurrent transfers of each resource, with the smallest total, that would
        avoid all rejections. Raises PlanUnsolvedError if there is no solution."""
        resource_count = len(self.resources)
        constraints = Constraints(self.choice_count + resource_count)
        added = ConstraintBlock(negative_identity(resource_count), self.choice_count)
        constraints.add([ConstraintBlock(self.use_matrix), added], self.limits)
        can_be_served = np.asarray(self.demand_matrix.sum(axis=1)).ravel() > 0
        constraints.add([ConstraintBlock(-self.demand_matrix)], -np.where(can_be_served, self.rates, 0.0))
        cost = np.concatenate([np.zeros(self.choice_count), np.ones(resource_count)])
        solution = constraints.minimize(cost)
        missing = solution[self.choice_count :] / (1 - self.topology.policy.headroom)
        return {
            resource: float(amount)
            for resource, amount in zip(self.resources, missing, strict=True)
            if amount > NEGLIGIBLE_MISSING_TRANSFERS
        }
