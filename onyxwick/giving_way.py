"""Lets long work in a thread give way to the event loop, which needs the interpreter's lock in each turn.

A thread that computes keeps the lock until another thread has waited for it for the switch interval, 5 ms by
default, in each turn. Work in a `giving_way` block calls `give_way` at each of its steps, which pauses after
each slice of time; the switch interval is shorter meanwhile. Elsewhere `give_way` does nothing. Times are in
seconds.
"""

from __future__ import annotations

import math
import sys
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager

SLICE_S = 0.002
"""Time that work goes on before it pauses."""
PAUSE_S = 0.0005
"""Length of a pause, in which the event loop has the interpreter for itself."""
SWITCH_INTERVAL_S = 0.0005
"""How long the event loop waits for the lock where a step of the work is longer than a slice."""


class _Slice(threading.local):
    """When the slice of the current thread ends; never in a thread that does not give way."""

    ends_at_s = math.inf


_slice = _Slice()


class _SwitchInterval:
    """Shortens the interpreter's switch interval while any thread gives way."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._threads = 0
        self._former_s = 0.0

    def shorten(self) -> None:
        with self._lock:
            if not self._threads:
                self._former_s = sys.getswitchinterval()
                sys.setswitchinterval(SWITCH_INTERVAL_S)
            self._threads += 1

    def restore(self) -> None:
        with self._lock:
            self._threads -= 1
            if not self._threads:
                sys.setswitchinterval(self._former_s)


_switch_interval = _SwitchInterval()


@contextmanager
def giving_way() -> Iterator[None]:
    """Make calls of `give_way` in this thread pause."""
    _switch_interval.shorten()
    _slice.ends_at_s = time.monotonic() + SLICE_S
    try:
        yield
    finally:
        _slice.ends_at_s = math.inf
        _switch_interval.restore()


def give_way() -> None:
    """Pause if this thread gives way and its slice has ended."""
    if time.monotonic() >= _slice.ends_at_s:
        time.sleep(PAUSE_S)
        _slice.ends_at_s = time.monotonic() + SLICE_S
