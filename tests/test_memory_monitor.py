"""The monitor's log lines, and its reading of the process's own memory."""

from __future__ import annotations

import mmap
import os
from typing import Any

import pytest

from onyxwick.core.memory_account import HeldKind, MemoryAccount
from onyxwick.lab.process_memory import anonymous_bytes
from onyxwick.net import memory_monitor
from onyxwick.net.memory_monitor import MemoryMonitor, own_anonymous_bytes

TOLD_BYTES = 80_000_000
ALLOCATED_BYTES = 30_000_000


class _RecordedLog:
    def __init__(self) -> None:
        self.lines = list[tuple[str, dict[str, Any]]]()

    def info(self, event: str, **fields: Any) -> None:
        self.lines.append(("info", fields))

    def warning(self, event: str, **fields: Any) -> None:
        self.lines.append(("warning", fields))


# Guards against: a kill for want of memory that the log cannot tell from a planned one.
def test_high_memory_is_logged_at_each_look_and_growth_below_it_once(monkeypatch: pytest.MonkeyPatch) -> None:
    log, held = _RecordedLog(), [17_000_000]
    monkeypatch.setattr(memory_monitor, "log", log)
    account = MemoryAccount()
    account.held[HeldKind.FEED].held_bytes = 4096
    monitor = MemoryMonitor(account, TOLD_BYTES, lambda: held[0])
    for size in (17_000_000, 18_000_000, 21_000_000, 23_000_000, 45_000_000, 45_000_000):
        held[0] = size
        monitor.look()
    assert [(level, fields["anonymous"]) for level, fields in log.lines] == [
        ("info", 17_000_000),
        ("info", 23_000_000),
        ("warning", 45_000_000),
        ("warning", 45_000_000),
    ]
    assert log.lines[0][1]["held"]["feed"] == 4096 and account.process_bytes == 45_000_000


def test_own_memory_is_read_as_the_system_reports_it() -> None:
    content = os.urandom(ALLOCATED_BYTES)
    before = own_anonymous_bytes()
    # Pages of its own: the allocator may give memory that an earlier test has freed and that is resident.
    with mmap.mmap(-1, ALLOCATED_BYTES, mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS) as block:
        block.write(content)
        grown = own_anonymous_bytes() - before
        assert 0.9 * len(block) < grown < 1.5 * len(block)
        assert abs(own_anonymous_bytes() - anonymous_bytes(os.getpid())) < ALLOCATED_BYTES / 2
