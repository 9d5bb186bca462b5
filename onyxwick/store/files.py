"""The store's file calls, behind a small interface so that tests can inject faults.

Names are plain file names in one folder. A write is durable only after `sync` of the file; the creation,
renaming or removal of a file is durable only after `sync_folder`. Offsets and sizes are in bytes.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import Protocol

from onyxwick.store.errors import StoreBusyError

LOCK_FILE = "lock"


class StoreFiles(Protocol):
    """The files of one folder. A call that the disk or the operating system rejects raises OSError."""

    def names(self) -> list[str]:
        """List the names of all files in the folder, sorted."""

    def read(self, name: str) -> bytes:
        """Read all bytes of a file."""

    def write(self, name: str, offset: int, data: bytes) -> None:
        """Write all of `data` at an offset; the file is created if it does not exist."""

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size."""

    def sync(self, name: str) -> None:
        """Make a file's content durable."""

    def sync_folder(self) -> None:
        """Make the creation, renaming and removal of the folder's files durable."""

    def rename(self, name: str, new: str) -> None:
        """Rename a file; an existing file with the new name is replaced."""

    def remove(self, name: str) -> None:
        """Remove a file from the folder."""

    def lock(self) -> None:
        """Lock the folder. Raises StoreBusyError if another process has it locked."""

    def close(self) -> None:
        """Close all files and release the lock."""


class DiskFiles:
    """A folder on disk, created if it does not exist. Each method is described in `StoreFiles`."""

    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self.folder = folder
        self.open_files: dict[str, int] = {}  # file descriptors by name
        self.lock_descriptor: int | None = None

    def _descriptor(self, name: str) -> int:
        if name not in self.open_files:
            self.open_files[name] = os.open(self.folder / name, os.O_RDWR | os.O_CREAT, 0o600)
        return self.open_files[name]

    def names(self) -> list[str]:
        """List the names of all files in the folder, sorted."""
        return sorted(path.name for path in self.folder.iterdir() if path.is_file())

    def read(self, name: str) -> bytes:
        """Read all bytes of a file."""
        return (self.folder / name).read_bytes()

    def write(self, name: str, offset: int, data: bytes) -> None:
        """Write all of `data` at an offset; the file is created if it does not exist."""
        descriptor = self._descriptor(name)
        done = 0
        while done < len(data):  # one call may write only a part of the data
            done += os.pwrite(descriptor, data[done:], offset + done)

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size."""
        os.ftruncate(self._descriptor(name), size)

    def sync(self, name: str) -> None:
        """Make a file's content durable."""
        os.fdatasync(self._descriptor(name))

    def sync_folder(self) -> None:
        """Make the creation, renaming and removal of the folder's files durable."""
        descriptor = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def _close_file(self, name: str) -> None:
        if (descriptor := self.open_files.pop(name, None)) is not None:
            os.close(descriptor)

    def rename(self, name: str, new: str) -> None:
        """Rename a file; an existing file with the new name is replaced."""
        self._close_file(name)
        self._close_file(new)
        os.rename(self.folder / name, self.folder / new)

    def remove(self, name: str) -> None:
        """Remove a file from the folder."""
        self._close_file(name)
        os.unlink(self.folder / name)

    def lock(self) -> None:
        """Lock the folder. Raises StoreBusyError if another process has it locked."""
        if self.lock_descriptor is not None:
            return
        descriptor = os.open(self.folder / LOCK_FILE, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            raise StoreBusyError(f"{self.folder.name}: another process has this store open") from None
        self.lock_descriptor = descriptor

    def close(self) -> None:
        """Close all files and release the lock."""
        for name in list(self.open_files):
            self._close_file(name)
        if self.lock_descriptor is not None:
            os.close(self.lock_descriptor)
            self.lock_descriptor = None
