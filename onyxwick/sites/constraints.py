"""Inequality constraints of a linear program, assembled from blocks, and the call to the solver.

All variables are at least 0. The solver is HiGHS, called through scipy. Importing this module imports
scipy, so only commands and worker threads import it, never the request path.
"""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np
from scipy.optimize import linprog
from scipy.sparse import csr_matrix, vstack

from onyxwick.errors import OnyxwickError


class PlanUnsolvedError(OnyxwickError):
    """HiGHS found no solution; `reason` is the message of the solver."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


@dataclass(frozen=True, slots=True)
class ConstraintBlock:
    """A matrix whose columns are placed in the constraints starting at `first_column`."""

    matrix: csr_matrix
    first_column: int = 0


class Constraints:
    """Rows of coefficients; for each row, coefficients times variables are at most the limit of the row."""

    def __init__(self, variable_count: int) -> None:
        self.variable_count = variable_count
        self.coefficients = csr_matrix((0, variable_count))
        self.limits = np.zeros(0)

    def add(self, blocks: list[ConstraintBlock], limits: np.ndarray) -> None:
        """Add one row for each of `limits`, with the coefficients of the blocks placed side by side."""
        self.coefficients = vstack([self.coefficients, self._widen(blocks)], format="csr")
        self.limits = np.concatenate([self.limits, limits])

    def _widen(self, blocks: list[ConstraintBlock]) -> csr_matrix:
        rows, columns, values = [], [], []
        for block in blocks:
            entries = block.matrix.tocoo()
            rows.append(entries.row)
            columns.append(entries.col + block.first_column)
            values.append(entries.data)
        shape = (blocks[0].matrix.shape[0], self.variable_count)
        positions = (np.concatenate(rows), np.concatenate(columns))
        return csr_matrix((np.concatenate(values), positions), shape=shape)

    def minimize(self, cost: np.ndarray, last_variable_max: float | None = None) -> np.ndarray:
        """Return the values of the variables that minimize the cost. Raises PlanUnsolvedError if HiGHS
        finds no solution."""
        bounds: list[tuple[float, float | None]] = [(0.0, None)] * len(cost)
        if last_variable_max is not None:
            bounds[-1] = (0.0, last_variable_max)
        result = linprog(cost, A_ub=self.coefficients, b_ub=self.limits, bounds=bounds, method="highs")
        if result.x is None:
            raise PlanUnsolvedError(str(result.message))
        return np.asarray(result.x)


def negative_identity(size: int) -> csr_matrix:
    """Return a matrix with -1 on the diagonal, which gives each row a slack variable."""
    return csr_matrix((-np.ones(size), (range(size), range(size))), shape=(size, size))
