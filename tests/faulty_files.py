"""In-memory store files that separate written from durable content and simulate disk errors and power loss.

After a power loss, any subset of the 512-byte pages that were written since the file's last sync is durable,
and any subset of the folder's changes since its last sync, whatever the order in which they were made.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from onyxwick.store.errors import StoreBusyError

PAGE_BYTES = 512


class PowerLoss(Exception):
    """The simulated power was lost."""


@dataclass
class FileContent:
    """One file: the content that programs read, the durable content, and the pages written since the sync."""

    now: bytearray = field(default_factory=bytearray)
    durable: bytearray = field(default_factory=bytearray)
    dirty: set[int] = field(default_factory=set)


class FaultyFiles:
    """A folder of files in memory that fails on request.

    Power is lost at the call with number `crash_at_call`. Calls whose names are in `failing_calls` raise
    OSError; `sync` and `sync_folder` do nothing if named in `ignored_calls`. `free_bytes` is the disk's free
    space.
    """

    def __init__(self) -> None:
        self.entries: dict[str, FileContent] = {}
        self.durable_entries: dict[str, FileContent] = {}
        self.folder_changes: list[tuple[str, FileContent | None]] = []
        self.calls = 0
        self.crash_at_call = -1
        self.failing_calls: set[str] = set()
        self.free_bytes = 1 << 40
        self.locked = False
        self.ignored_calls: set[str] = set()  # names of sync calls that do nothing, to plant bugs
        self.log: list[str] = []

    def _count_call(self, call: str, name: str = "") -> bool:
        """Count a call; True if it is to be ignored."""
        self.calls += 1
        self.log.append(f"{call} {name}".strip())
        if self.calls == self.crash_at_call:
            raise PowerLoss
        if call in self.failing_calls:
            raise OSError(5, f"Input/output error in {call}")
        return call in self.ignored_calls

    def _link(self, name: str, file: FileContent | None) -> None:
        if file is None:
            self.entries.pop(name, None)
        else:
            self.entries[name] = file
        self.folder_changes.append((name, file))

    def names(self) -> list[str]:
        return sorted(self.entries)

    def read(self, name: str) -> bytes:
        return bytes(self.entries[name].now)

    def write(self, name: str, offset: int, data: bytes) -> None:
        if name not in self.entries:
            self._link(name, FileContent())
        file = self.entries[name]
        written = data[: self.free_bytes]
        self.free_bytes -= len(written)
        if len(file.now) < offset + len(written):
            file.now.extend(bytes(offset + len(written) - len(file.now)))
        file.now[offset : offset + len(written)] = written
        file.dirty |= set(range(offset // PAGE_BYTES, (offset + max(1, len(written)) - 1) // PAGE_BYTES + 1))
        self._count_call("write", name)  # counted after the write, so that a crash can leave a part of it
        if len(written) < len(data):
            raise OSError(28, "No space left on device")

    def truncate(self, name: str, size: int) -> None:
        self._count_call("truncate", name)
        file = self.entries[name]
        file.dirty |= set(range(size // PAGE_BYTES, len(file.now) // PAGE_BYTES + 1))
        del file.now[size:]

    def sync(self, name: str) -> None:
        if not self._count_call("sync", name):
            file = self.entries[name]
            file.durable, file.dirty = bytearray(file.now), set()

    def sync_folder(self) -> None:
        if not self._count_call("sync_folder"):
            self.durable_entries, self.folder_changes = dict(self.entries), []

    def rename(self, name: str, new: str) -> None:
        self._count_call("rename", name)
        file = self.entries[name]
        self._link(new, file)
        self._link(name, None)

    def remove(self, name: str) -> None:
        self._count_call("remove", name)
        self._link(name, None)

    def lock(self) -> None:
        if self.locked:
            raise StoreBusyError("the store is already open")
        self.locked = True

    def close(self) -> None:
        self.locked = False

    def after_crash(self, rng: random.Random) -> FaultyFiles:
        """Return the files as found after a power loss; `rng` chooses which unsynced changes are durable."""
        result = FaultyFiles()
        entries = dict(self.durable_entries)
        for name, file in self.folder_changes:
            if rng.random() < 0.5:
                if file is None:
                    entries.pop(name, None)
                else:
                    entries[name] = file
        for name, file in entries.items():
            data, size = bytearray(file.durable), len(file.durable)
            for page in sorted(file.dirty):
                if rng.random() < 0.5:
                    part = file.now[page * PAGE_BYTES : (page + 1) * PAGE_BYTES]
                    if len(data) < page * PAGE_BYTES:
                        data.extend(bytes(page * PAGE_BYTES - len(data)))
                    data[page * PAGE_BYTES : page * PAGE_BYTES + len(part)] = part
                    size = max(size, page * PAGE_BYTES + len(part))
            result.entries[name] = FileContent(bytearray(data), bytearray(data))
        result.durable_entries = dict(result.entries)
        return result

    def copy(self) -> FaultyFiles:
        result = FaultyFiles()
        result.entries = {
            n: FileContent(bytearray(file.now), bytearray(file.now)) for n, file in self.entries.items()
        }
        result.durable_entries = dict(result.entries)
        return result
