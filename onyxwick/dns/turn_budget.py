"""Bounds the time that DNS messages take of one turn of the event loop, which all fronts share."""

from __future__ import annotations

import asyncio
import time
from types import TracebackType

TURN_LIMIT_S = 0.005
"""Messages that are not begun after this time of a turn wait for a later one."""


class TurnBudget:
    """The time spent in this turn. `wait` comes before a message, and `with budget:` around its work.

    A block may not contain an `await`: it would count the time of others.
    """

    def __init__(self, limit_s: float = TURN_LIMIT_S) -> None:
        self.limit_s = limit_s
        self.spent_s = 0.0
        self._began_s = 0.0
        self._is_reset_due = False

    async def wait(self) -> None:
        """Wait for a turn in which time is left."""
        while self.spent_s >= self.limit_s:
            await asyncio.sleep(0)

    def __enter__(self) -> None:
        if not self._is_reset_due:
            self._is_reset_due = True
            asyncio.get_running_loop().call_soon(self._reset)
        self._began_s = time.perf_counter()

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.spent_s += time.perf_counter() - self._began_s

    def _reset(self) -> None:
        self.spent_s = 0.0
        self._is_reset_due = False
