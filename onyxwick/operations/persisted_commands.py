"""Stores the operator commands in a file of the folder that a process and its successor share (`$TMPDIR`).

The file is written under a temporary name and renamed, so that a reader finds either the old or the new
content, never a partial one. A lock on the folder keeps two processes that write at the same time from
overwriting content that they have not read. The file is read at startup and again whenever it has changed:
commands given to the other process also apply to this one.
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
from typing import NamedTuple

import ujson

from onyxwick.core.clock import SteadyClock, steady_us
from onyxwick.operations.command_codec import (
    StoredCommands,
    WriterClock,
    commands_from_document,
    commands_to_document,
)
from onyxwick.operations.errors import CommandFileError
from onyxwick.operations.operator_commands import KnownCaches, OperatorCommands, ReEnabledCache

MAX_FILE_BYTES = 1_000_000
LOCK_ATTEMPTS = 5
LOCK_RETRY_S = 0.002
"""Pause between two attempts to lock the folder; the other process holds its lock for one read and one
write."""
BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")


def _lock(folder: int) -> None:
    """Lock an open folder. Raises OSError if the other process does not release its lock."""
    for _ in range(LOCK_ATTEMPTS - 1):
        with contextlib.suppress(BlockingIOError):
            return fcntl.flock(folder, fcntl.LOCK_EX | fcntl.LOCK_NB)
        time.sleep(LOCK_RETRY_S)
    fcntl.flock(folder, fcntl.LOCK_EX | fcntl.LOCK_NB)


@cache
def boot_id() -> str:
    """Return the id of this boot of the machine, or an empty string if it is unknown.

    Within one boot, the monotonic clocks of all processes agree.
    """
    try:
        return BOOT_ID_FILE.read_text().strip()
    except OSError:
        return ""


class _FileStamp(NamedTuple):
    """File attributes that change whenever the file is replaced or written."""

    inode: int
    size_bytes: int
    modified_ns: int


class PersistedCommands:
    """One command file. Its I/O on the given folder is blocking."""

    def __init__(self, folder: Path, name: str, clock: SteadyClock = steady_us) -> None:
        self.clock = clock
        self.path = folder / f"onyxwick-orders-{name or 'director'}.json"
        self.last_stamp: _FileStamp | None = None
        """The stamp of the content that was last read or written."""

    @contextlib.contextmanager
    def locked(self) -> Iterator[None]:
        """Keep the other process of an upgrade from writing between a read and a write of this process.

        Raises OSError if the other process does not release the lock (it may be stopped) or the folder cannot
        be opened. The lock is released when its holder is killed.
        """
        folder = os.open(self.path.parent, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            _lock(folder)
            yield
        finally:
            os.close(folder)

    def _stamp(self) -> _FileStamp | None:
        try:
            status = os.stat(self.path)
        except FileNotFoundError:
            return None
        return _FileStamp(status.st_ino, status.st_size, status.st_mtime_ns)

    def read(self) -> StoredCommands | None:
        """Return the commands in the file, or None if it has not changed since it was last read or written.

        Raises CommandFileError if the file has no valid commands, and OSError if it cannot be read.
        """
        stamp = self._stamp()
        if stamp is None or stamp == self.last_stamp:
            return None
        if stamp.size_bytes > MAX_FILE_BYTES:
            raise CommandFileError(f"{self.path.name} is larger than {MAX_FILE_BYTES} bytes")
        content = self.path.read_bytes()
        self.last_stamp = stamp  # set only after the read, so that a read that failed is retried
        stored = commands_from_document(_parse(content))
        return replace(stored, commands=self._in_steady_time(stored))

    def _in_steady_time(self, stored: StoredCommands) -> OperatorCommands:
        """Convert times from the steady clock of another process to that of this process.

        Both clocks advance with the machine's monotonic clock, which is not affected by a step of the wall
        clock between the starts of the processes. The later of the stored and the converted time is used, so
        that no cache is taken for warmer than it is.
        """
        shift_us = 0
        if stored.clock is not None and stored.clock.boot_id == boot_id():
            shift_us = self.clock.offset_us - stored.clock.offset_us
        now_us = self.clock()
        re_enabled = tuple(
            ReEnabledCache(row.cache, min(now_us, max(row.at_us, row.at_us + shift_us)))
            for row in stored.commands.re_enabled
        )
        return replace(stored.commands, re_enabled=re_enabled)

    def write(self, commands: OperatorCommands, known: KnownCaches) -> int:
        """Replace the content of the file. Returns the version read back; raises OSError on failure."""
        temporary_path = self.path.with_name(f".{self.path.name}.{os.getpid()}")
        clock = WriterClock(boot_id(), self.clock.offset_us)
        temporary_path.write_text(ujson.dumps(commands_to_document(commands, known, clock)))
        os.replace(temporary_path, self.path)
        self.last_stamp = self._stamp()
        return commands_from_document(_parse(self.path.read_bytes())).commands.version


def _parse(content: bytes) -> object:
    try:
        return ujson.loads(content)
    except ValueError as error:
        raise CommandFileError(f"command file is not valid JSON: {error}") from None
