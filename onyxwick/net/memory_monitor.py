"""Logs what the process holds, often enough to tell an end for want of memory from any other.

A process that is killed logs nothing. Its last `memory held` line is at most `INTERVAL_S` old if it held more
than half of the memory that it was told, and tells what for. Sizes are bytes.
"""

from __future__ import annotations

import asyncio
import contextlib
import resource
from collections.abc import Callable
from pathlib import Path

from onyxwick import logs
from onyxwick.core.memory_account import MemoryAccount

log = logs.get()
INTERVAL_S = 1.0
HIGH_SHARE = 0.5
"""Above this share of the memory told, each look is logged, as a warning."""
GROWTH_SHARE = 1 / 16
"""Below it, a look is logged once the process has grown by this share since the last line."""
STATUS_FILE = Path("/proc/self/statm")


def own_anonymous_bytes() -> int:
    """Return the memory that this process has allocated, without mapped files; 0 if it cannot be read.

    Source: proc_pid_statm(5), resident less shared pages.
    """
    with contextlib.suppress(OSError, ValueError, IndexError):
        fields = STATUS_FILE.read_text().split()
        return (int(fields[1]) - int(fields[2])) * resource.getpagesize()
    return 0


class MemoryMonitor:
    """Looks at the memory of this process once in `INTERVAL_S`; it may use `told_bytes`."""

    def __init__(
        self,
        account: MemoryAccount,
        told_bytes: int,
        anonymous_bytes: Callable[[], int] = own_anonymous_bytes,
    ) -> None:
        self.account = account
        self.told_bytes = told_bytes
        self.anonymous_bytes = anonymous_bytes
        self._logged_bytes = 0

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            self.look()
            await asyncio.sleep(INTERVAL_S)

    def look(self) -> None:
        """Read the memory once, and log it if it is high or has grown."""
        held_bytes = self.anonymous_bytes()
        self.account.process_bytes = held_bytes
        is_high = held_bytes > HIGH_SHARE * self.told_bytes
        has_grown = held_bytes - self._logged_bytes > GROWTH_SHARE * self.told_bytes
        if not is_high and not has_grown:
            return
        self._logged_bytes = held_bytes
        write = log.warning if is_high else log.info
        write(
            "memory held",
            anonymous=held_bytes,
            told=self.told_bytes,
            accounted=self.account.total_bytes(),
            limit=self.account.limit_bytes,
            peak=self.account.peak_bytes,
            held=self.account.by_kind(),
        )
