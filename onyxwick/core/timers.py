"""The router's timers on the event loop. Times are in steady microseconds.

A timer never fires early, because the router would then find no due work and would not set the timer again. A
timer that is late after a stall of the process waits until answers that arrived during the stall are read.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from onyxwick import logs
from onyxwick.counters import Counters
from onyxwick.interface import TimerFired

log = logs.get()
RETRY_DELAY_S = 0.1
"""Delay after which a timer fires again if handling it raised an error."""
LATE_TIMER_US = 100_000
"""A timer that is later than this shows a stall, after which answers may be waiting unread."""
LATE_TIMER_DELAY_S = 0.01
"""A timer later than `LATE_TIMER_US` is delayed by this much more, so that waiting input is read first."""
EARLY_MARGIN_S = 0.0005
"""Added to the remaining delay of a timer that the event loop fired early."""


class RouterTimers:
    """Fires the router's timers. `fire` passes the event to the router; `now` returns steady microseconds."""

    def __init__(
        self, now: Callable[[], int], fire: Callable[[TimerFired], None], counters: Counters
    ) -> None:
        self.now = now
        self.fire = fire
        self.counters = counters

    def set(self, at_us: int, token: str) -> None:
        """Set a timer that fires at `at_us`, or at once if that time has passed."""
        delay_s = max(0, at_us - self.now()) / 1e6
        asyncio.get_running_loop().call_later(delay_s, self._fire_or_delay, at_us, token)

    def _fire_or_delay(self, at_us: int, token: str, sockets_read: bool = False) -> None:
        """Fire a timer that the event loop calls, or delay it if it is early, or late with input unread.

        `sockets_read` means that a late timer has already waited for input to be read.
        """
        loop = asyncio.get_running_loop()
        late_us = self.now() - at_us
        if late_us < 0:
            loop.call_later(-late_us / 1e6 + EARLY_MARGIN_S, self._fire_or_delay, at_us, token)
            return
        if not sockets_read and late_us > LATE_TIMER_US:
            loop.call_later(LATE_TIMER_DELAY_S, self._fire_or_delay, at_us, token, True)
            return
        try:
            self.fire(TimerFired(token))
        except Exception:  # an error of the router must not stop the director's timers
            self.counters.add("error.timer")
            log.exception("error on a timer", token=token)
            loop.call_later(RETRY_DELAY_S, self._fire_or_delay, at_us, token)
