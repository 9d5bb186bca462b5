"""The termination of a director's process, from SIGTERM to the time by which it must have exited.

Times are in monotonic seconds.
"""

from __future__ import annotations

import asyncio
import time

from onyxwick.core.invariants import Invariants
from onyxwick.core.shutdown import ShutdownSchedule, kill_after_s, termination_schedule


class Termination:
    """State of a termination by SIGTERM.

    `max_deadline_s` is the longest deadline of all request classes.
    """

    def __init__(self, max_deadline_s: float) -> None:
        self.max_deadline_s = max_deadline_s
        self.requested = asyncio.Event()
        self.schedule: ShutdownSchedule | None = None
        """Start times of the shutdown stages; None until the termination is requested."""
        self.kill_at_s = 0.0
        """Time at which SIGKILL may come, computed from the receipt of SIGTERM."""

    def request(self, sent_at_s: float, received_at_s: float, has_successor: bool) -> None:
        """Start the termination on receipt of SIGTERM. A second SIGTERM has no effect.

        SIGTERM may have been sent as early as `sent_at_s`, before a stall.
        """
        if self.schedule is not None:
            return
        self.kill_at_s = received_at_s + kill_after_s(self.max_deadline_s)
        self.schedule = termination_schedule(sent_at_s, received_at_s, self.max_deadline_s, has_successor)
        self.requested.set()

    def check_exit(self, invariants: Invariants) -> None:
        """Check that the process, which is about to exit, exits in time."""
        if self.schedule is None:
            return
        allowed_s = kill_after_s(self.max_deadline_s)
        after_s = time.monotonic() - self.kill_at_s + allowed_s
        invariants.process_ended(int(after_s * 1e6), int(allowed_s * 1e6))
