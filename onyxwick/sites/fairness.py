"""Evens out the solution for a loss: rejections between demands, and moved load between sites.

Takes a linear program and the rates of its choices (requests per second) and returns rates of nearly the
same value. Rejections are max-min fair between demands, by progressive filling (Bertsekas and Gallager,
"Data Networks", 1992, section 6.5.2).
"""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np
from scipy.sparse import csr_matrix

from onyxwick.sites.constraints import ConstraintBlock
from onyxwick.sites.linear_program import LossProgram
from onyxwick.sites.loss_demand import Choice

MAX_FILLING_ROUNDS = 4
MAX_VALUE_LOSS_SHARE = 0.03  # largest share of the served value that is given up to reject evenly
# Weight of the value relative to the lowest served share; decides between equally fair solutions.
VALUE_TIE_WEIGHT = 1e-2
NEGLIGIBLE = 1e-6  # rates (requests per second) and shares below this count as zero
FLOOR_TOLERANCE = 1 - 1e-7  # minimum rates are multiplied by this, to allow for rounding in the solver
LIMIT_TOLERANCE = 1e-6  # concurrent transfers by which the rates may exceed the limit of a resource


def reject_evenly(program: LossProgram, rates: np.ndarray) -> np.ndarray:
    """Return rates of nearly the same value, with rejections evened out between all demands.

    Classes with nearly the same value per unit of work are treated alike, and no class is rejected entirely
    to gain one percent more value."""
    served = program.demand_matrix @ rates
    if float(np.sum(program.rates - served)) <= NEGLIGIBLE:
        return rates
    fixed: dict[int, float] = {}
    for _ in range(MAX_FILLING_ROUNDS):
        free = [index for index in range(len(program.demands)) if index not in fixed]
        if not free:
            break
        filling = _fill(program, served, fixed, free)
        rates = filling.rates
        served_now = program.demand_matrix @ rates
        lowest = filling.lowest_share + NEGLIGIBLE
        saturated = [index for index in free if served_now[index] <= lowest * program.rates[index]]
        fixed |= {index: float(served_now[index]) for index in saturated or free}
    return rates


@dataclass(frozen=True, slots=True)
class _Filling:
    """The rates of one round, and the lowest served share among the free demands.

    A demand is free until a round fixes its rate."""

    rates: np.ndarray
    lowest_share: float


def _fill(program: LossProgram, served: np.ndarray, fixed: dict[int, float], free: list[int]) -> _Filling:
    """Maximize the lowest served share of the free demands while giving up at most `MAX_VALUE_LOSS_SHARE`
    of the value."""
    constraints = program.base_constraints(program.choice_count + 1)
    value = csr_matrix(program.values.reshape(1, -1))
    total_value = float(program.values @ served)
    least_value = np.array([-total_value * (1 - MAX_VALUE_LOSS_SHARE)])
    constraints.add([ConstraintBlock(-(value @ program.demand_matrix))], least_value)
    floors = np.minimum(served, program.reserves * program.rates)
    for index, rate in fixed.items():
        floors[index] = max(floors[index], rate * FLOOR_TOLERANCE)
    constraints.add([ConstraintBlock(-program.demand_matrix)], -floors * FLOOR_TOLERANCE)
    selected = csr_matrix(
        (np.ones(len(free)), (range(len(free)), free)), shape=(len(free), len(program.demands))
    )
    wanted = ConstraintBlock(csr_matrix(program.rates[free].reshape(-1, 1)), program.choice_count)
    constraints.add([ConstraintBlock(-(selected @ program.demand_matrix)), wanted], np.zeros(len(free)))
    cost = np.zeros(constraints.variable_count)
    cost[: program.choice_count] = [
        -program.values[choice.demand] * VALUE_TIE_WEIGHT / max(NEGLIGIBLE, total_value)
        for choice in program.choices
    ]
    cost[-1] = -1.0
    solution = constraints.minimize(cost, last_variable_max=1.0)
    return _Filling(np.asarray(solution[: program.choice_count]), float(solution[-1]))


def split_classes_alike(program: LossProgram, rates: np.ndarray) -> np.ndarray:
    """Divide all classes of a lost site among places in the same proportions.

    The work at each place and the rate of each demand stay the same. No class, and none of its popular
    objects, is then assigned to a single place. Returns the rates unchanged if a link or parent could
    not carry the new ones."""
    result = rates.copy()
    for site in {demand.load.site for demand in program.demands if demand.is_moved}:
        _split_site_alike(program, rates, result, site)
    fits = np.all(program.use_matrix @ result <= program.limits + LIMIT_TOLERANCE)
    return result if bool(fits) else rates


def _split_site_alike(program: LossProgram, rates: np.ndarray, result: np.ndarray, site: str) -> None:
    moved = [index for index, choice in enumerate(program.choices) if _moves_from(program, choice, site)]
    work_at: dict[str, float] = {}
    served: dict[int, float] = {}
    for index in moved:
        choice = program.choices[index]
        planned = program.topology.classes[program.demands[choice.demand].load.class_name]
        work_at[choice.place] = work_at.get(choice.place, 0.0) + rates[index] * planned.work
        served[choice.demand] = served.get(choice.demand, 0.0) + rates[index]
    total = sum(work_at.values())
    if not total:
        return
    for index in moved:
        choice = program.choices[index]
        result[index] = served[choice.demand] * work_at[choice.place] / total


def _moves_from(program: LossProgram, choice: Choice, site: str) -> bool:
    demand = program.demands[choice.demand]
    return demand.is_moved and demand.load.site == site
