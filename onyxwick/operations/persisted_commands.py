"""The door's orders in a file of the folder that a process and its successor share (`$TMPDIR`).

Written whole under a new name and moved into place, so that a reader finds the old text or the new one, never
half of one, and under a lock on the folder, so that of two processes that write at once neither overwrites
what it has not read. Read at the start, and again whenever the file has changed: what the other process was
told binds here too. Nothing else is kept; a folder that the platform empties at each start holds nothing
stale.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import time
from collections.abc import Iterator
from dataclasses import replace
from functools import cache
from pathlib import Path

import ujson

from onyxwick.core.clock import SteadyClock, steady_us
from onyxwick.operations.operator_commands import (
    KnownCaches,
    OperatorCommands,
    commands_from_json,
    commands_to_json,
)

MAX_FILE_BYTES = 1_000_000  # a larger file is no file of ours
LOCK_ATTEMPTS, LOCK_RETRY_S = 5, 0.002  # the other process holds its lock for a read and a write


def _lock(folder: int) -> None:
    for _ in range(LOCK_ATTEMPTS - 1):
        with contextlib.suppress(BlockingIOError):
            return fcntl.flock(folder, fcntl.LOCK_EX | fcntl.LOCK_NB)
        time.sleep(LOCK_RETRY_S)
    fcntl.flock(folder, fcntl.LOCK_EX | fcntl.LOCK_NB)


@cache
def boot_id() -> str:
    """Which start of the machine this is: monotonic clocks of two processes agree within one."""
    try:
        return Path("/proc/sys/kernel/random/boot_id").read_text().strip()
    except OSError:
        return ""


class PersistedCommands:
    """One file of orders; I/O through the standard calls on the folder it is given."""

    def __init__(self, folder: Path, name: str, clock: SteadyClock = steady_us) -> None:
        self.clock = clock
        self.path = folder / f"onyxwick-orders-{name or 'director'}.json"
        self.last_stamp: tuple[int, int, int] | None = (
            None  # inode, size and time of the text last read or written
        )

    @contextlib.contextmanager
    def locked(self) -> Iterator[None]:
        """Keep the other process of an upgrade from writing between a read and a write of this one; OSError
        where it does not let go (it may be stopped) or the folder cannot be opened. A kill lets go."""
        folder = os.open(self.path.parent, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            _lock(folder)
            yield
        finally:
            os.close(folder)

    def _stamp(self) -> tuple[int, int, int] | None:
        try:
            told = os.stat(self.path)
        except FileNotFoundError:
            return None
        return told.st_ino, told.st_size, told.st_mtime_ns

    def read(self) -> tuple[OperatorCommands, list[str]] | None:
        """The orders in the file where it has changed since it was last seen; None where it has not.

        ValueError where the file is no file of orders; OSError where it cannot be read.
        """
        stamp = self._stamp()
        if stamp is None or stamp == self.last_stamp:
            return None
        if stamp[1] > MAX_FILE_BYTES:
            raise ValueError(f"{self.path.name} is larger than {MAX_FILE_BYTES} bytes")
        text = self.path.read_bytes()
        self.last_stamp = stamp  # only now: an error before passes, and the file is read again
        data = ujson.loads(text)
        orders, known = commands_from_json(data)
        return self._in_steady_time(orders, data.get("clock")), known

    def _in_steady_time(self, orders: OperatorCommands, clock: object) -> OperatorCommands:
        """Times of another process's steady clock in this one's. Both run with the machine's monotonic clock,
        which a step of the wall clock between their starts does not move; of the two readings the later
        holds, so that no cache is taken for warmer than it is."""
        shift = 0
        if (
            isinstance(clock, dict)
            and clock.get("boot") == boot_id()
            and isinstance(clock.get("offset"), int)
        ):
            shift = self.clock.offset_us - clock["offset"]
        now = self.clock()
        back = tuple((name, min(now, max(at, at + shift))) for name, at in orders.re_enabled_at_us)
        return replace(orders, re_enabled_at_us=back)

    def write(self, orders: OperatorCommands, known: KnownCaches) -> int:
        """The orders whole, in place of what was there; the version that stands there now. OSError where the
        folder takes nothing."""
        draft = self.path.with_name(f".{self.path.name}.{os.getpid()}")
        clock = {"boot": boot_id(), "offset": self.clock.offset_us}
        draft.write_text(ujson.dumps({**commands_to_json(orders, known), "clock": clock}))
        os.replace(draft, self.path)
        self.last_stamp = self._stamp()
        return commands_from_json(ujson.loads(self.path.read_bytes()))[0].version
