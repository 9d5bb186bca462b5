"""A folder in memory that keeps written and durable content apart, fails on request and loses power.

At a loss of power each 512-byte page that was written since the file's last sync is durable or not, and so is
each change of the folder since its last sync: any of them, in any order.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from onyxwick.store.errors import StoreBusyError

PAGE_BYTES = 512


class PowerLoss(Exception):
    """The power was lost."""


@dataclass
class FileContent:
    """One file: what programs read, what is durable, and which pages differ."""

    now: bytearray = field(default_factory=bytearray)
    durable: bytearray = field(default_factory=bytearray)
    dirty: set[int] = field(default_factory=set)


class FaultyFiles:
    """Power is lost at the call with number `crash_at_call`; calls in `failing_calls`, by name, fail.

    `free_bytes`: of the disk.
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
        self.ignored_calls: set[str] = set()  # by name: planted bugs
        self.log: list[str] = []

    def _count_call(self, what: str, name: str = "") -> bool:
        """Count a call; True if it is to be ignored."""
        self.calls += 1
        self.log.append(f"{what} {name}".strip())
        if self.calls == self.crash_at_call:
            raise PowerLoss
        if what in self.failing_calls:
            raise OSError(5, f"Input/output error in {what}")
        return what in self.ignored_calls

    def _link(self, name: str, node: FileContent | None) -> None:
        if node is None:
            self.entries.pop(name, None)
        else:
            self.entries[name] = node
        self.folder_changes.append((name, node))

    def names(self) -> list[str]:
        return sorted(self.entries)

    def read(self, name: str) -> bytes:
        return bytes(self.entries[name].now)

    def write(self, name: str, at: int, data: bytes) -> None:
        if name not in self.entries:
            self._link(name, FileContent())
        node = self.entries[name]
        taken = data[: self.free_bytes]
        self.free_bytes -= len(taken)
        if len(node.now) < at + len(taken):
            node.now.extend(bytes(at + len(taken) - len(node.now)))
        node.now[at : at + len(taken)] = taken
        node.dirty |= set(range(at // PAGE_BYTES, (at + max(1, len(taken)) - 1) // PAGE_BYTES + 1))
        self._count_call("write", name)  # after: a crash in a write leaves a part of it
        if len(taken) < len(data):
            raise OSError(28, "No space left on device")

    def truncate(self, name: str, size: int) -> None:
        self._count_call("truncate", name)
        node = self.entries[name]
        node.dirty |= set(range(size // PAGE_BYTES, len(node.now) // PAGE_BYTES + 1))
        del node.now[size:]

    def sync(self, name: str) -> None:
        if not self._count_call("sync", name):
            node = self.entries[name]
            node.durable, node.dirty = bytearray(node.now), set()

    def sync_folder(self) -> None:
        if not self._count_call("sync_folder"):
            self.durable_entries, self.folder_changes = dict(self.entries), []

    def rename(self, name: str, new: str) -> None:
        self._count_call("rename", name)
        node = self.entries[name]
        self._link(new, node)
        self._link(name, None)

    def remove(self, name: str) -> None:
        self._count_call("remove", name)
        self._link(name, None)

    def lock(self) -> None:
        if self.locked:
            raise StoreBusyError("open elsewhere")
        self.locked = True

    def close(self) -> None:
        self.locked = False

    def after_crash(self, rng: random.Random) -> FaultyFiles:
        """What is found when the power has returned."""
        out = FaultyFiles()
        entries = dict(self.durable_entries)
        for name, node in self.folder_changes:
            if rng.random() < 0.5:
                if node is None:
                    entries.pop(name, None)
                else:
                    entries[name] = node
        for name, node in entries.items():
            data, size = bytearray(node.durable), len(node.durable)
            for page in sorted(node.dirty):
                if rng.random() < 0.5:
                    part = node.now[page * PAGE_BYTES : (page + 1) * PAGE_BYTES]
                    if len(data) < page * PAGE_BYTES:
                        data.extend(bytes(page * PAGE_BYTES - len(data)))
                    data[page * PAGE_BYTES : page * PAGE_BYTES + len(part)] = part
                    size = max(size, page * PAGE_BYTES + len(part))
            out.entries[name] = FileContent(bytearray(data), bytearray(data))
        out.durable_entries = dict(out.entries)
        return out

    def copy(self) -> FaultyFiles:
        out = FaultyFiles()
        out.entries = {
            n: FileContent(bytearray(node.now), bytearray(node.now)) for n, node in self.entries.items()
        }
        out.durable_entries = dict(out.entries)
        return out
