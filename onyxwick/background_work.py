"""Work whose length a caller chooses, done in a thread, one piece at a time and charged to its owner.

The event loop goes on meanwhile, and the thread gives way to it (`giving_way`). An owner with too much work
waiting is refused, so that none can fill the queue for the others.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TypeVar

from onyxwick.giving_way import giving_way
from onyxwick.tenant_errors import TooManyCallsError

MAX_WAITING = 4
"""Maximum number of pieces of work of one owner that wait or are done."""
Result = TypeVar("Result")


class BackgroundWork:
    """Does pieces of work in a thread in the order in which they come, one at a time."""

    def __init__(self) -> None:
        self._lock = asyncio.Lock()
        self._waiting: dict[str, int] = {}

    async def do(self, owner: str, work: Callable[[], Result]) -> Result:
        """Do `work` in a thread and return its result, or raise its error.

        Raises TooManyCallsError if the owner has `MAX_WAITING` pieces of work waiting.
        """
        waiting = self._waiting.get(owner, 0)
        if waiting >= MAX_WAITING:
            raise TooManyCallsError(f"{waiting} earlier calls of '{owner}' are not done yet")
        self._waiting[owner] = waiting + 1
        try:
            async with self._lock:
                return await asyncio.to_thread(_give_way_during, work)
        finally:
            self._waiting[owner] -= 1
            if not self._waiting[owner]:
                del self._waiting[owner]


def _give_way_during(work: Callable[[], Result]) -> Result:
    with giving_way():
        return work()
