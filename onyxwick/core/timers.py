"""The router's timers on the event loop. Times in steady microseconds.

A timer never fires early: the router would find nothing due and not set it again. A timer that fires late
after a stall of the process waits until answers that arrived meanwhile have been read.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from onyxwick import logs
from onyxwick.counters import Counters
from onyxwick.interface import TimerFired

log = logs.get()
RETRY_S = 0.1
"""After an error in handling a timer it fires again."""
LATE_TIMER_US = 100_000
"""A timer later than this shows a stall: answers may be waiting unread."""
READ_FIRST_S = 0.01
"""Then it waits this long for what can be read."""
EARLY_MARGIN_S = 0.0005
"""Added to the wait of a timer that the event loop fired early."""


class RouterTimers:
    """Fires the router's timers. `fire` hands the event to the router; `now`: steady microseconds."""

    def __init__(
        self, now: Callable[[], int], fire: Callable[[TimerFired], None], counters: Counters
    ) -> None:
        self.now = now
        self.fire = fire
        self.counters = counters

    def set(self, at_us: int, token: str) -> None:
        """Fire a timer at `at_us`, at once if that is past."""
        delay_s = max(0, at_us - self.now()) / 1e6
        asyncio.get_running_loop().call_later(delay_s, self._due, at_us, token)

    def _due(self, at_us: int, token: str, sockets_read: bool = False) -> None:
        """The event loop has fired a timer. `sockets_read`: it has waited for what can be read."""
        loop = asyncio.get_running_loop()
        late_us = self.now() - at_us
        if late_us < 0:
            loop.call_later(-late_us / 1e6 + EARLY_MARGIN_S, self._due, at_us, token)
            return
        if not sockets_read and late_us > LATE_TIMER_US:
            loop.call_later(READ_FIRST_S, self._due, at_us, token, True)
            return
        try:
            self.fire(TimerFired(token))
        except Exception:  # an error of the router must not stop the director's timers
            self.counters.add("error.timer")
            log.exception("error on a timer", token=token)
            loop.call_later(RETRY_S, self._due, at_us, token)
