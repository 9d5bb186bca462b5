"""Runs the reader and the writer of a connection until the first of them ends."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine


async def run_until_one_ends(*works: Coroutine[None, None, None]) -> BaseException | None:
    """Run all coroutines until one ends, then cancel the others. Returns the first error, or None.

    The error is returned and not raised: its traceback would refer to this frame and so to the tasks, a cycle
    of references that would keep the connection's memory.
    """
    loop = asyncio.get_running_loop()
    tasks = [loop.create_task(work) for work in works]
    try:
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        errors = [task.exception() for task in done]
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    return next((error for error in errors if error is not None), None)
