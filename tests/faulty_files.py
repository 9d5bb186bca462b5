"""A folder in memory that keeps apart what is written and what lasts, fails on request and crashes as disks
do.

At a crash each 512-byte page that was written since the file's last sync lasts or not, and so does each
change of the folder since its last sync: any of them, in any order.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from onyxwick.store.errors import StoreBusyError

PAGE = 512


class Crash(Exception):
    """The power is gone."""


@dataclass
class Node:
    """One file: what programs read, what lasts, and which pages differ."""

    now: bytearray = field(default_factory=bytearray)
    lasting: bytearray = field(default_factory=bytearray)
    dirty: set[int] = field(default_factory=set)


class FaultyFiles:
    """`crash_at`: the number of the call at which the power goes. `fail`: calls, by name, that fail from
    now on."""

    def __init__(self) -> None:
        self.entries: dict[str, Node] = {}
        self.lasting_entries: dict[str, Node] = {}
        self.folder_changes: list[tuple[str, Node | None]] = []
        self.calls = 0
        self.crash_at = -1
        self.fail: set[str] = set()
        self.room = 1 << 40
        self.locked = False
        self.ignored: set[str] = set()  # calls that do nothing: planted bugs
        self.log: list[str] = []

    def _call(self, what: str, name: str = "") -> bool:
        """Count a call; True if it is to do nothing."""
        self.calls += 1
        self.log.append(f"{what} {name}".strip())
        if self.calls == self.crash_at:
            raise Crash
        if what in self.fail:
            raise OSError(5, f"Input/output error in {what}")
        return what in self.ignored

    def _link(self, name: str, node: Node | None) -> None:
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
            self._link(name, Node())
        node = self.entries[name]
        taken = data[: self.room]
        self.room -= len(taken)
        if len(node.now) < at + len(taken):
            node.now.extend(bytes(at + len(taken) - len(node.now)))
        node.now[at : at + len(taken)] = taken
        node.dirty |= set(range(at // PAGE, (at + max(1, len(taken)) - 1) // PAGE + 1))
        self._call("write", name)  # after: a crash in a write leaves some of it
        if len(taken) < len(data):
            raise OSError(28, "No space left on device")

    def truncate(self, name: str, size: int) -> None:
        self._call("truncate", name)
        node = self.entries[name]
        node.dirty |= set(range(size // PAGE, len(node.now) // PAGE + 1))
        del node.now[size:]

    def sync(self, name: str) -> None:
        if not self._call("sync", name):
            node = self.entries[name]
            node.lasting, node.dirty = bytearray(node.now), set()

    def sync_folder(self) -> None:
        if not self._call("sync_folder"):
            self.lasting_entries, self.folder_changes = dict(self.entries), []

    def rename(self, name: str, new: str) -> None:
        self._call("rename", name)
        node = self.entries[name]
        self._link(new, node)
        self._link(name, None)

    def remove(self, name: str) -> None:
        self._call("remove", name)
        self._link(name, None)

    def lock(self) -> None:
        if self.locked:
            raise StoreBusyError("open elsewhere")
        self.locked = True

    def close(self) -> None:
        self.locked = False

    def after_crash(self, rng: random.Random) -> FaultyFiles:
        """What is found when the power is back."""
        out = FaultyFiles()
        entries = dict(self.lasting_entries)
        for name, node in self.folder_changes:
            if rng.random() < 0.5:
                if node is None:
                    entries.pop(name, None)
                else:
                    entries[name] = node
        for name, node in entries.items():
            data, size = bytearray(node.lasting), len(node.lasting)
            for page in sorted(node.dirty):
                if rng.random() < 0.5:
                    part = node.now[page * PAGE : (page + 1) * PAGE]
                    if len(data) < page * PAGE:
                        data.extend(bytes(page * PAGE - len(data)))
                    data[page * PAGE : page * PAGE + len(part)] = part
                    size = max(size, page * PAGE + len(part))
            out.entries[name] = Node(bytearray(data), bytearray(data))
        out.lasting_entries = dict(out.entries)
        return out

    def copy(self) -> FaultyFiles:
        out = FaultyFiles()
        out.entries = {n: Node(bytearray(node.now), bytearray(node.now)) for n, node in self.entries.items()}
        out.lasting_entries = dict(out.entries)
        return out
