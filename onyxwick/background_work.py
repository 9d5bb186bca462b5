"""Work whose length a caller chooses, done in a thread, one piece at a time and charged to its owner.

The event loop goes on meanwhile, and the thread gives way to it (`giving_way`). The owners take turns. One
with too much work waiting is refused, so that none can fill the queue for the others; so is one that has not
yet paid for the processor time of its earlier work.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable
from typing import Generic, NamedTuple, TypeVar

from onyxwick.giving_way import giving_way
from onyxwick.tenant_errors import TooManyCallsError
from onyxwick.work_quota import WorkQuota

MAX_WAITING = 4
"""Maximum number of pieces of work of one owner that wait or are done, but for what is admitted in debt."""
MS_PER_S = 1000
FULL_QUEUE_RETRY_S = 1.0
"""Least time that is told to an owner whose queue is full."""
Result = TypeVar("Result")


class Price(NamedTuple):
    """Whom a piece of work is charged to, what it changes, and how long it is expected to take."""

    quota: WorkQuota
    subject: str
    expected_ms: float


class _Done(NamedTuple, Generic[Result]):
    """The outcome of a piece of work in its thread: a result or an error, and the processor time."""

    result: Result | None
    error: Exception | None
    processor_ms: float


class BackgroundWork:
    """Does pieces of work in a thread, one at a time; the owners take turns, each one's are done in order."""

    def __init__(self) -> None:
        self._is_busy = False
        self._queues: dict[str, deque[asyncio.Event]] = {}
        """By owner, its pieces that wait for their turn; the owner whose turn is next comes first."""
        self._open: dict[str, int] = {}
        """By owner, the number of its pieces that wait or are done."""
        self._tasks: set[asyncio.Task[object]] = set()
        self._longest_ms = 0.0
        """Processor time of the longest recent piece, which decreases with each shorter one."""

    async def do(self, owner: str, work: Callable[[], Result], price: Price | None = None) -> Result:
        """Do `work` in a thread and return its result, or raise its error.

        The processor time that it took is charged, also if it fails. Raises TooManyCallsError if the owner
        has `MAX_WAITING` pieces of work waiting, or has not paid for its earlier work.
        """
        queue_s = self._full_queue_s(owner)
        if price is not None:
            price.quota.admit(price.subject, price.expected_ms, queue_s)
        elif queue_s is not None:
            raise TooManyCallsError(f"earlier calls of '{owner}' are not done yet", queue_s)
        self._open[owner] = self._open.get(owner, 0) + 1
        # A thread cannot be cancelled: the work of a caller that leaves keeps its place and its price.
        task = asyncio.get_running_loop().create_task(self._do(owner, work, price))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        done = await asyncio.shield(task)
        if done.error is not None:
            raise done.error
        return done.result  # type: ignore[return-value]

    def _full_queue_s(self, owner: str) -> float | None:
        """Return how long the owner's queue is expected to stay full; None if it has room."""
        if self._open.get(owner, 0) < MAX_WAITING:
            return None
        turns = 1 + len(self._queues)  # the piece that is done, and one of each owner that waits
        return max(FULL_QUEUE_RETRY_S, 2 * turns * self._longest_ms / MS_PER_S)

    async def _do(self, owner: str, work: Callable[[], Result], price: Price | None) -> _Done[Result]:
        try:
            await self._wait_for_turn(owner)
            try:
                done = await asyncio.to_thread(_measured, work)
            finally:
                self._end_turn()
        finally:
            self._open[owner] -= 1
            if not self._open[owner]:
                del self._open[owner]
        self._longest_ms = max(done.processor_ms, (self._longest_ms + done.processor_ms) / 2)
        if price is not None:
            price.quota.settle(price.expected_ms, done.processor_ms)
        return done

    async def _wait_for_turn(self, owner: str) -> None:
        if not self._is_busy:
            self._is_busy = True
            return
        turn = asyncio.Event()
        self._queues.setdefault(owner, deque()).append(turn)
        await turn.wait()

    def _end_turn(self) -> None:
        """Give the turn to the next owner, which then waits behind the others."""
        owner = next(iter(self._queues), None)
        if owner is None:
            self._is_busy = False
            return
        queue = self._queues.pop(owner)
        queue.popleft().set()
        if queue:
            self._queues[owner] = queue


def _measured(work: Callable[[], Result]) -> _Done[Result]:
    """Do a piece of work, giving way to the event loop, and measure its processor time."""
    began_s = time.thread_time()
    result: Result | None = None
    error: Exception | None = None
    with giving_way():
        try:
            result = work()
        except Exception as raised:  # raised again in the event loop, once it is charged
            error = raised
    return _Done(result, error, (time.thread_time() - began_s) * MS_PER_S)
