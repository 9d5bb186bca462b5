"""The file calls of the store, behind one small interface so that faults can be put in.

Names are plain file names in one folder. What `write` has put in lasts only after `sync` of the file; that
a file exists, has another name or is gone lasts only after `sync_folder`.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import Protocol

from onyxwick.store.errors import StoreBusyError


class Files(Protocol):
    def names(self) -> list[str]: ...
    def read(self, name: str) -> bytes: ...
    def write(self, name: str, at: int, data: bytes) -> None:
        """Put all of `data` at an offset; the file is made if need be. OSError where it cannot be."""

    def truncate(self, name: str, size: int) -> None: ...
    def sync(self, name: str) -> None: ...
    def sync_folder(self) -> None: ...
    def rename(self, name: str, new: str) -> None: ...
    def remove(self, name: str) -> None: ...
    def lock(self) -> None:
        """Keep other processes out; Busy where one is in."""

    def close(self) -> None: ...


class DiskFiles:
    """A real folder."""

    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self.folder = folder
        self.open_files: dict[str, int] = {}
        self.lock_file: int | None = None

    def _file(self, name: str) -> int:
        if name not in self.open_files:
            self.open_files[name] = os.open(self.folder / name, os.O_RDWR | os.O_CREAT, 0o600)
        return self.open_files[name]

    def names(self) -> list[str]:
        return sorted(path.name for path in self.folder.iterdir() if path.is_file())

    def read(self, name: str) -> bytes:
        return (self.folder / name).read_bytes()

    def write(self, name: str, at: int, data: bytes) -> None:
        file, done = self._file(name), 0
        while done < len(data):  # the system may take a part
            done += os.pwrite(file, data[done:], at + done)

    def truncate(self, name: str, size: int) -> None:
        os.ftruncate(self._file(name), size)

    def sync(self, name: str) -> None:
        os.fdatasync(self._file(name))

    def sync_folder(self) -> None:
        folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def _forget(self, name: str) -> None:
        if (file := self.open_files.pop(name, None)) is not None:
            os.close(file)

    def rename(self, name: str, new: str) -> None:
        self._forget(name)
        self._forget(new)
        os.rename(self.folder / name, self.folder / new)

    def remove(self, name: str) -> None:
        self._forget(name)
        os.unlink(self.folder / name)

    def lock(self) -> None:
        if self.lock_file is None:
            file = os.open(self.folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
            try:
                fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                os.close(file)
                raise StoreBusyError(f"{self.folder.name}: another process has this store open") from None
            self.lock_file = file

    def close(self) -> None:
        for name in list(self.open_files):
            self._forget(name)
        if self.lock_file is not None:
            os.close(self.lock_file)
            self.lock_file = None
