"""Keeps the background tasks of a director running, by restarting a task after an error."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine

from onyxwick import logs
from onyxwick.counters import Counters

log = logs.get()
RESTART_DELAY_S = 0.1


class TaskSupervisor:
    """Starts tasks and restarts failed ones. Failures are counted as `error.NAME`."""

    def __init__(self, counters: Counters) -> None:
        self.counters = counters

    def start(self, name: str, work: Callable[[], Coroutine[None, None, None]]) -> asyncio.Task[None]:
        """Run `work` in a task until it returns or is cancelled."""
        return asyncio.get_running_loop().create_task(self._run(name, work))

    async def _run(self, name: str, work: Callable[[], Coroutine[None, None, None]]) -> None:
        while True:
            try:
                return await work()
            except Exception:  # a task that serves the whole director must continue after an error
                self.counters.add(f"error.{name}")
                log.exception("error in a background task", task=name)
                await asyncio.sleep(RESTART_DELAY_S)
