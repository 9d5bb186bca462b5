"""Draws the fault schedule of a soak from one seed: two or three faults overlap. Free of I/O.

Each director has its own episodes, one after the other with a rest between them. An episode is a pair of
fault kinds that overlap in time, sometimes with a third. Pairs are taken from a shuffled list, so that each
pair is used once before any is repeated; `overlapping_pairs` counts the pairs that overlapped, which shows
the missing ones.
"""

from __future__ import annotations

import itertools
import random
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum
from typing import TypeVar

Value = TypeVar("Value")


class SoakFaultKind(Enum):
    """The kinds of faults. Those in `SHARED_KINDS` concern a cache or the feeds of all directors."""

    CLOCK = "clock"  # the wall clock is stepped, and later stepped back
    ACCEPT = "accept"
    SOCKET = "socket"
    CONNECT = "connect"
    TRANSFER = "transfer"  # short reads and writes, EINTR
    BROKEN = "broken"  # connections to caches and the feed break with network errors
    DISK = "disk"
    STOP = "stop"  # SIGSTOP, SIGCONT
    TERM = "term"
    KILL = "kill"
    TORN_WRITE = "torn_write"  # SIGKILL in the middle of a write
    HANDOVER = "handover"  # a successor process takes over the listening socket
    SHUTDOWNS = "shutdowns"  # two endings in a row, as the origin stops under bookings
    RELOAD = "reload"  # the configuration names another feed address, then SIGHUP
    DRAIN = "drain"
    HOLD = "hold"  # the operators disable a cache
    FEED_LOST = "feed_lost"
    FEED_SLOW = "feed_slow"
    FEED_FAULTY = (
        "feed_faulty"  # the coordinator is late, silent, writes in pieces or resets, and tells a drain
    )
    FEED_ABSENT = "feed_absent"  # the coordinator refuses connections, and returns with a drain
    FEED_BREAK = "feed_break"  # the coordinator ends, or stops with connections open, before it tells purges
    FLEET_KILL = "fleet_kill"  # most directors are killed and started at once, as caches drain
    CLIENTS_LEAVE = "clients_leave"
    CROWD = "crowd"  # many clients connect and send nothing
    CACHE_DRAIN = "cache_drain"
    CACHE_RESTART = "cache_restart"
    CACHE_HANG = "cache_hang"
    CACHE_FORGET = "cache_forget"  # connections to a cache are closed, reset or silently no longer read
    PURGE = "purge"
    CLIENTS_HOARD = "clients_hoard"  # clients begin requests and do not finish them
    CACHE_HOARD = "cache_hoard"  # a cache begins replies and does not finish them
    FEED_HOARD = "feed_hoard"  # the feed tells long lines, and numbers that are out of range


SHARED_KINDS = frozenset(
    {
        SoakFaultKind.CACHE_DRAIN,
        SoakFaultKind.CACHE_RESTART,
        SoakFaultKind.CACHE_HANG,
        SoakFaultKind.CACHE_FORGET,
        SoakFaultKind.PURGE,
        SoakFaultKind.CACHE_HOARD,
        SoakFaultKind.FLEET_KILL,
    }
)
ENDS_PROCESS = frozenset(
    {
        SoakFaultKind.TERM,
        SoakFaultKind.KILL,
        SoakFaultKind.TORN_WRITE,
        SoakFaultKind.HANDOVER,
        SoakFaultKind.FLEET_KILL,
        SoakFaultKind.SHUTDOWNS,
    }
)
PLAYED_IN_EACH_RUN = (SoakFaultKind.SHUTDOWNS, SoakFaultKind.SHUTDOWNS, SoakFaultKind.FEED_BREAK)
"""Kinds with which the first episodes of the first directors begin, so that even a short run plays them."""
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
    SoakFaultKind.FEED_FAULTY: (2.0, 4.0),
    SoakFaultKind.FEED_ABSENT: (0.2, 4.0),
    SoakFaultKind.FEED_BREAK: (6.0, 7.0),
    SoakFaultKind.SHUTDOWNS: (0.05, 3.3),  # from the first ending to the second
    SoakFaultKind.FLEET_KILL: (2.0, 3.0),
    SoakFaultKind.CLIENTS_LEAVE: (0.5, 1.5),
    SoakFaultKind.DRAIN: (0.5, 6.0),
    SoakFaultKind.CROWD: (0.5, 4.0),
    SoakFaultKind.HOLD: (1.0, 4.0),
    SoakFaultKind.CACHE_DRAIN: (1.0, 4.0),
    SoakFaultKind.CACHE_RESTART: (0.5, 1.5),
    SoakFaultKind.CACHE_HANG: (0.5, 2.0),
    SoakFaultKind.CLIENTS_HOARD: (1.0, 3.0),
    SoakFaultKind.CACHE_HOARD: (0.5, 2.0),
}
INSTANT_LENGTH_S = (0.1, 0.1)  # length of the kinds that happen in an instant
STEPS_S = (-3600, -30, -3, 3, 30, 3600)  # steps of the wall clock
QUIET_S, REST_S, THIRD_FAULT_CHANCE = 3.0, (1.0, 4.0), 0.3
LONG_RUN_S, LONG_RUN_QUIET_SHARE = 150.0, 0.5
"""A run of at least this length begins with this share of it without faults."""
FAULT_FREE_END_S = 8.0  # no fault starts in this last part of a run, so that outstanding answers can arrive


@dataclass(frozen=True, slots=True)
class SoakFault:
    """One fault. `draw`: a random number that fixes its details, the same in each run of the plan."""

    number: int
    kind: SoakFaultKind
    director: int
    at_s: float
    for_s: float
    draw: int

    @property
    def until_s(self) -> float:
        """The end of the fault, in seconds from the start of the run."""
        return self.at_s + self.for_s


def _can_overlap(pair: Iterable[SoakFaultKind]) -> bool:
    """Return whether these kinds can overlap: at most one of them may end the process."""
    return sum(kind in ENDS_PROCESS for kind in pair) <= 1


def _shuffled_pairs(rng: random.Random) -> Iterator[tuple[SoakFaultKind, SoakFaultKind]]:
    pairs = [pair for pair in itertools.combinations(SoakFaultKind, 2) if _can_overlap(pair)]
    while True:
        rng.shuffle(pairs)
        yield from pairs


def _with_required(kinds: list[SoakFaultKind], kind: SoakFaultKind) -> list[SoakFaultKind]:
    """Return an episode that begins with `kind`, and the other kinds that can overlap with it."""
    return [kind, *(other for other in kinds if other is not kind and _can_overlap((kind, other)))][:2]


def draw_faults(seed: int, directors: int, duration_s: float) -> list[SoakFault]:
    """Return all faults of a run in order of time."""
    rng, out = random.Random(f"soak {seed}"), list[SoakFault]()
    pairs, numbers = _shuffled_pairs(rng), itertools.count(1)
    quiet = duration_s * LONG_RUN_QUIET_SHARE if duration_s >= LONG_RUN_S else QUIET_S
    ready = [quiet + rng.uniform(*REST_S) for _ in range(directors)]
    required = [(number, kind) for number, kind in enumerate(PLAYED_IN_EACH_RUN) if number < directors]
    while min(ready) < duration_s - FAULT_FREE_END_S:
        director = ready.index(min(ready))
        at, kinds = ready[director], list(next(pairs))
        rng.shuffle(kinds)
        if required and director == required[0][0]:
            kinds = _with_required(kinds, required.pop(0)[1])
        if rng.random() < THIRD_FAULT_CHANCE:
            third = rng.choice(
                [kind for kind in SoakFaultKind if kind not in kinds and _can_overlap((*kinds, kind))]
            )
            kinds.insert(0, third)
        end = at
        for n, kind in enumerate(kinds):
            length = rng.uniform(*LENGTHS_S.get(kind, INSTANT_LENGTH_S))
            begin = at if n == 0 else rng.uniform(at, max(at + 0.05, min(end, at + 1.0)))
            out.append(SoakFault(next(numbers), kind, director, begin, length, rng.getrandbits(32)))
            end = max(end, begin + length)
        ready[director] = end + rng.uniform(*REST_S)
    return sorted(out, key=lambda fault: fault.at_s)


def overlap(one: SoakFault, other: SoakFault) -> bool:
    """Return whether two faults overlap at one director.

    Each counts as 0.5 s longer than it is, because the effects of an instant fault last for a moment.
    """
    near = one.at_s < other.until_s + 0.5 and other.at_s < one.until_s + 0.5
    return near and (one.director == other.director or one.kind in SHARED_KINDS or other.kind in SHARED_KINDS)


def overlapping_pairs(faults: Iterable[SoakFault]) -> Counter[tuple[str, str]]:
    """Return how often each pair of kinds overlapped."""
    out: Counter[tuple[str, str]] = Counter()
    for one, other in itertools.combinations(sorted(faults, key=lambda fault: fault.at_s), 2):
        if one.kind is not other.kind and overlap(one, other):
            first, second = sorted((one.kind.value, other.kind.value))
            out[(first, second)] += 1
    return out


def missing_pairs(pairs: Counter[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the pairs that can be played and were not."""
    all_pairs = (
        tuple(sorted(k.value for k in pair))
        for pair in itertools.combinations(SoakFaultKind, 2)
        if _can_overlap(pair)
    )
    return [(a, b) for a, b in all_pairs if (a, b) not in pairs]


def choose(fault: SoakFault, values: tuple[Value, ...]) -> Value:
    """Return one of the values, chosen by the fault's draw."""
    return values[fault.draw % len(values)]
