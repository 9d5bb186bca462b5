"""The copies that a machine keeps, and what is true at the origin. Time in, no I/O."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from hashlib import blake2b


@dataclass(frozen=True, slots=True)
class Copy:
    tag: str
    dated_us: int  # when the origin gave it out


class Truth:
    """Purges as they truly happened: what decides whether an answer was too old."""

    def __init__(self) -> None:
        self.purged_at: dict[int, list[int]] = {}  # group: times

    def purge(self, group: int, at_us: int) -> None:
        self.purged_at.setdefault(group, []).append(at_us)

    def last_before(self, group: int, at_us: int) -> int:
        """The newest purge of a group up to a time; 0 for none."""
        return max((t for t in self.purged_at.get(group, ()) if t <= at_us), default=0)

    def copy(self, name: str, part: int, group: int, now: int) -> Copy:
        version = self.last_before(group, now)
        tag = blake2b(f"{name}/{part}/{version}".encode(), digest_size=8).hexdigest()
        return Copy(tag, now)


class CopyStore:
    """Least recently used copies go first, of the lowest rank."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.ranks: dict[int, OrderedDict[tuple[str, int], Copy]] = {0: OrderedDict()}
        self.rank_of: dict[tuple[str, int], int] = {}

    def get(self, name: str, part: int, now: int, oldest_us: int) -> Copy | None:
        """A copy no older than `oldest_us` (0: any)."""
        key = (name, part)
        rank = self.rank_of.get(key)
        if rank is None:
            return None
        copy = self.ranks[rank][key]
        if oldest_us and now - copy.dated_us > oldest_us:
            return None
        self.ranks[rank].move_to_end(key)
        return copy

    def keep(self, name: str, part: int, copy: Copy, rank: int) -> None:
        key = (name, part)
        if (held := self.rank_of.pop(key, None)) is not None:
            rank = max(rank, held)
            del self.ranks[held][key]
        self.ranks.setdefault(rank, OrderedDict())[key] = copy
        self.rank_of[key] = rank
        while len(self.rank_of) > self.most:
            least = min(r for r, held_copies in self.ranks.items() if held_copies)
            gone, _ = self.ranks[least].popitem(last=False)
            del self.rank_of[gone]

    def purge(self, names: set[str], before_us: int) -> None:
        """Drop what was given out before a purge."""
        for key in [k for k in self.rank_of if k[0] in names]:
            rank = self.rank_of[key]
            if self.ranks[rank][key].dated_us < before_us:
                del self.ranks[rank][key], self.rank_of[key]
