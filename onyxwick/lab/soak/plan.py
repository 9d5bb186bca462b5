"""Which faults a soak plays when: drawn whole from one seed, two or three that overlap, no I/O.

Each director has episodes of its own, one after the other with a rest between; an episode is a pair of kinds
that overlap in time, sometimes with a third. Pairs are dealt from a shuffled deck, so that all come up before
one comes again; `pairs_of` counts what overlapped, so that gaps show.
"""

from __future__ import annotations

import itertools
import random
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum
from typing import TypeVar

Drawn = TypeVar("Drawn")


class SoakFaultKind(Enum):
    """What is done. Those of `FLEET` are done to a cache or the feed of all directors."""

    CLOCK = "clock"  # the wall clock is stepped, and back
    ACCEPT = "accept"
    SOCKET = "socket"
    CONNECT = "connect"
    TRANSFER = "transfer"  # short reads and writes, EINTR
    BROKEN = "broken"  # connections to caches and the feed break, with errors of the network
    DISK = "disk"
    STOP = "stop"  # SIGSTOP, SIGCONT
    TERM = "term"
    KILL = "kill"
    TORN_WRITE = "torn_write"  # killed in the middle of a write
    HANDOVER = "handover"  # a successor on the same listening socket
    RELOAD = "reload"  # the feed moves, SIGHUP
    DRAIN = "drain"
    HOLD = "hold"  # the operators leave a cache out
    FEED_LOST = "feed_lost"
    FEED_SLOW = "feed_slow"
    CLIENTS_LEAVE = "clients_leave"
    CROWD = "crowd"  # many clients that connect and say nothing
    CACHE_DRAIN = "cache_drain"
    CACHE_RESTART = "cache_restart"
    CACHE_HANG = "cache_hang"
    CACHE_FORGET = "cache_forget"  # connections to a cache are closed, reset or forgotten without a word
    PURGE = "purge"


FLEET = frozenset(
    {
        SoakFaultKind.CACHE_DRAIN,
        SoakFaultKind.CACHE_RESTART,
        SoakFaultKind.CACHE_HANG,
        SoakFaultKind.CACHE_FORGET,
        SoakFaultKind.PURGE,
    }
)
ENDS_PROCESS = frozenset(
    {SoakFaultKind.TERM, SoakFaultKind.KILL, SoakFaultKind.TORN_WRITE, SoakFaultKind.HANDOVER}
)
LENGTHS_S = {
    SoakFaultKind.CLOCK: (2.0, 5.0),
    SoakFaultKind.ACCEPT: (0.2, 0.8),
    SoakFaultKind.SOCKET: (0.2, 0.5),
    SoakFaultKind.CONNECT: (0.2, 0.5),
    SoakFaultKind.TRANSFER: (1.0, 3.0),
    SoakFaultKind.BROKEN: (0.5, 2.0),
    SoakFaultKind.DISK: (0.5, 3.0),
    SoakFaultKind.STOP: (0.05, 3.0),
    SoakFaultKind.FEED_LOST: (0.5, 4.0),
    SoakFaultKind.FEED_SLOW: (1.0, 4.0),
    SoakFaultKind.CLIENTS_LEAVE: (0.5, 1.5),
    SoakFaultKind.DRAIN: (0.5, 6.0),
    SoakFaultKind.CROWD: (0.5, 4.0),
    SoakFaultKind.HOLD: (1.0, 4.0),
    SoakFaultKind.CACHE_DRAIN: (1.0, 4.0),
    SoakFaultKind.CACHE_RESTART: (0.5, 1.5),
    SoakFaultKind.CACHE_HANG: (0.5, 2.0),
}
AT_ONCE_S = (0.1, 0.1)  # of kinds that are done in an instant
STEPS_S = (-3600, -30, -3, 3, 30, 3600)  # of the wall clock
QUIET_S, REST_S, THIRD = 3.0, (1.0, 4.0), 0.3
LONG_QUIET_FROM_S, LONG_QUIET = 150.0, 0.5  # a run so long is quiet for this share of it first
LAST_S = 8.0  # of a run without new faults: what was owed has time to come


@dataclass(frozen=True, slots=True)
class SoakFault:
    """One fault. `draw`: a number from which its details are taken, the same in each play."""

    number: int
    kind: SoakFaultKind
    director: int
    at_s: float
    for_s: float
    draw: int

    @property
    def until_s(self) -> float:
        """When it ends."""
        return self.at_s + self.for_s


def _sound(pair: Iterable[SoakFaultKind]) -> bool:
    """Can these be played together? Two ends of one process cannot."""
    return sum(kind in ENDS_PROCESS for kind in pair) <= 1


def _deck(rng: random.Random) -> Iterator[tuple[SoakFaultKind, SoakFaultKind]]:
    pairs = [pair for pair in itertools.combinations(SoakFaultKind, 2) if _sound(pair)]
    while True:
        rng.shuffle(pairs)
        yield from pairs


def draw(seed: int, directors: int, duration_s: float) -> list[SoakFault]:
    """All faults of a run in order of time."""
    rng, out = random.Random(f"soak {seed}"), list[SoakFault]()
    deck, numbers = _deck(rng), itertools.count(1)
    quiet = duration_s * LONG_QUIET if duration_s >= LONG_QUIET_FROM_S else QUIET_S
    ready = [quiet + rng.uniform(*REST_S) for _ in range(directors)]
    while min(ready) < duration_s - LAST_S:
        director = ready.index(min(ready))
        at, kinds = ready[director], list(next(deck))
        rng.shuffle(kinds)
        if rng.random() < THIRD:
            third = rng.choice(
                [kind for kind in SoakFaultKind if kind not in kinds and _sound((*kinds, kind))]
            )
            kinds.insert(0, third)
        end = at
        for n, kind in enumerate(kinds):
            length = rng.uniform(*LENGTHS_S.get(kind, AT_ONCE_S))
            begin = at if n == 0 else rng.uniform(at, max(at + 0.05, min(end, at + 1.0)))
            out.append(SoakFault(next(numbers), kind, director, begin, length, rng.getrandbits(32)))
            end = max(end, begin + length)
        ready[director] = end + rng.uniform(*REST_S)
    return sorted(out, key=lambda fault: fault.at_s)


def overlap(one: SoakFault, other: SoakFault) -> bool:
    """Do two faults meet at one director? What is done in an instant works on for a moment."""
    near = one.at_s < other.until_s + 0.5 and other.at_s < one.until_s + 0.5
    return near and (one.director == other.director or one.kind in FLEET or other.kind in FLEET)


def pairs_of(faults: Iterable[SoakFault]) -> Counter[tuple[str, str]]:
    """How often each pair of kinds overlapped."""
    out: Counter[tuple[str, str]] = Counter()
    for one, other in itertools.combinations(sorted(faults, key=lambda fault: fault.at_s), 2):
        if one.kind is not other.kind and overlap(one, other):
            first, second = sorted((one.kind.value, other.kind.value))
            out[(first, second)] += 1
    return out


def gaps(pairs: Counter[tuple[str, str]]) -> list[tuple[str, str]]:
    """Pairs that could be played and were not."""
    all_pairs = (
        tuple(sorted(k.value for k in pair))
        for pair in itertools.combinations(SoakFaultKind, 2)
        if _sound(pair)
    )
    return [(a, b) for a, b in all_pairs if (a, b) not in pairs]


def drawn(fault: SoakFault, values: tuple[Drawn, ...]) -> Drawn:
    """One of some values, by the fault's own number."""
    return values[fault.draw % len(values)]
