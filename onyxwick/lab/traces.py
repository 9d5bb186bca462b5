"""Stand-in traces at size: several directors, an hour of requests with every event of each life, clocks that
disagree, and breaches of each rule planted where they are asked for. Made by columns, not by a run."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import numpy as np

from onyxwick.trace import format as f
from onyxwick.trace.merge import TraceFileWriter
from onyxwick.trace.model import (
    CLIENT_RETRY_FLAG,
    NEVER,
    NON_IDEMPOTENT_FLAG,
    STATUS_WORDS,
    US_PER_S,
    WRITE_FLAG,
    DecisionReason,
    NotificationKind,
    RecordedVerdict,
)
from onyxwick.trace.table import Column, StringTable, Table

CLASSES: list[dict[str, Any]] = [
    {"name": "site-video", "worth": 2.0, "late_worth": 0.1, "aim_us": 600_000, "sending_us": 60_000},
    {"name": "job-sheet", "worth": 1.0, "late_worth": 0.1, "aim_us": 300_000, "sending_us": 30_000},
    {
        "name": "booking",
        "worth": 3.0,
        "late_worth": 0.0,
        "aim_us": 600_000,
        "sending_us": 20_000,
        "once": True,
    },
]
SHARES = (0.52, 0.45, 0.03)
RULES = {
    "drain_grace_us": 500_000.0,
    "purge_grace_us": 1_000_000.0,
    "cold_start": 0.18,
    "cold_us": 17e6,
    "overload_multiple": 4.0,
    "overload_window_us": 3e6,
    "parent_cold_start": 0.07,
    "parent_cold_us": 20e6,
    "parent_overload_multiple": 2.0,
}
BOXES, PARENTS, TENANTS = 12, 3, 40
CHUNK = 4096
START = 1_772_434_800 * US_PER_S  # a Monday in March
BREACHES = ("one answer", "booking once", "drain", "not listed", "purge", "cold")


@dataclass(slots=True)
class TraceClock:
    """How far a director's clock is off, and how it drifts; `step_at` and `step_us`: it goes back then."""

    offset_us: float = 0.0
    drift_ppm: float = 0.0
    step_at: int = 0
    step_us: int = 0

    def of(self, true: Column) -> Column:
        out = true + self.offset_us + (true - START) * self.drift_ppm * 1e-6
        stepped: Column = np.where((true >= self.step_at) & (self.step_at > 0), out - self.step_us, out)
        return stepped


@dataclass(slots=True)
class Stand:
    """What is made: a folder of files, and what was planted in them."""

    paths: list[Path] = field(default_factory=list)
    requests: int = 0
    planted: dict[str, list[str]] = field(default_factory=dict)


def clocks(count: int) -> list[TraceClock]:
    """The first is right; the second 800 ms ahead and drifting by 200 ppm; the third steps back by 2 s."""
    some = [
        TraceClock(),
        TraceClock(800_000.0, 200.0),
        TraceClock(-350_000.0, -40.0, START + 1200 * US_PER_S, 2 * US_PER_S),
    ]
    return (some * (count // len(some) + 1))[:count]


def _events(duration_us: int) -> list[tuple[int, int, dict[str, Any]]]:
    """What the coordinator has to tell, by true time: lists, a drain and its lifting, a restart, purges."""
    rows = [[f"box-{n}", "depot-1", "box", "ready", 6.0, 0] for n in range(BOXES)]
    rows += [[f"parent-{n}", "hub", "parent", "ready", 30.0, 0] for n in range(PARENTS)]
    rows.append(["origin", "hub", "origin", "ready", 60.0, 0])
    out: list[tuple[int, int, dict[str, Any]]] = [
        (START - US_PER_S // 2, NotificationKind.LIST, {"members": rows, "full": True, "version": 1})
    ]
    changes: list[tuple[float, list[Any]]] = [
        (0.25, ["box-3", "depot-1", "box", "draining", 6.0, 0]),
        (0.35, ["box-3", "depot-1", "box", "ready", 6.0, 0]),
        (0.5, ["box-7", "depot-1", "box", "gone", 6.0, 0]),
    ]
    back = START + int(0.55 * duration_us)
    changes.append((0.55, ["box-7", "depot-1", "box", "ready", 1.0, back]))
    for version, (share, row) in enumerate(changes, 2):
        told = {"members": [row], "full": False, "version": version}
        out.append((START + int(share * duration_us), NotificationKind.LIST, told))
    for n in range(1, 40):
        at = START + duration_us * n // 40
        out.append((at, NotificationKind.PURGE, {"group": n % 64, "object": None, "unix_us": at - 300_000}))
    return sorted(out, key=lambda e: e[0])


class Maker:
    """One director's file."""

    def __init__(
        self, folder: Path, n: int, clock: TraceClock, rate_per_s: float, duration_us: int, seed: int
    ) -> None:
        self.rng = np.random.default_rng((seed, n))
        self.name, self.clock, self.duration_us = f"n{n}", clock, duration_us
        self.rate = rate_per_s
        self.strings = StringTable()
        header = f.FileHeader((1, 0), self.name, f"{n + 1:016x}", START, 0, CLASSES, RULES)
        self.path = folder / f"{self.name}-{header.run}-000001.owt"
        self.writer = TraceFileWriter(self.path, header)
        self.told = self._told()
        self.numbers = {
            "class": np.array([self.strings.number(c["name"]) for c in CLASSES]),
            "tenant": np.array([self.strings.number(f"tenant-{t}") for t in range(TENANTS)]),
            "box": np.array([self.strings.number(f"box-{b}") for b in range(BOXES)]),
            "parent": np.array([self.strings.number(f"parent-{p}") for p in range(PARENTS)]),
        }
        self.cell = np.array([self.strings.number(f"cell-{c}") for c in range(4)])
        self.origin = self.strings.number("origin")
        self.strings.number("box-99")

    def _told(self) -> list[f.Notification]:
        """In this director's own clock, each some milliseconds late; with both clocks each second."""
        out = [
            f.Notification(
                int(NotificationKind.START), int(self.clock.of(np.array([START - US_PER_S]))[0]), {}
            )
        ]
        for at, kind, data in _events(self.duration_us):
            late = int(self.rng.exponential(15_000))
            out.append(f.Notification(int(kind), int(self.clock.of(np.array([at + late]))[0]), data))
        seconds = START + np.arange(0, self.duration_us, US_PER_S)
        shown = np.maximum.accumulate(self.clock.of(seconds))  # a core's clock never goes back
        mono = (seconds - START) * (1 + self.clock.drift_ppm * 1e-6)
        out += [
            f.Notification(int(NotificationKind.CLOCK), int(u), {"mono_us": int(m)})
            for u, m in zip(shown, mono, strict=True)
        ]
        return sorted(out, key=lambda t: t[1])

    # ---- one chunk of requests --------------------------------------------------------------------------

    def chunk(self, begin_us: int, end_us: int) -> Table:
        """Requests that arrive in a span of true time."""
        rng, count = self.rng, self.rng.poisson(self.rate * (end_us - begin_us) / US_PER_S)
        true = np.sort(rng.integers(begin_us, end_us, count))
        kind = rng.choice(3, count, p=SHARES)
        objects = rng.zipf(1.2, count) % 50_000
        tries = 1 + (rng.random(count) < 0.06).astype(np.int64)
        tries[kind == 2] = 1
        verdict = np.where(rng.random(count) < 0.985, RecordedVerdict.SERVED, RecordedVerdict.REJECTED)
        verdict[rng.random(count) < 0.004] = RecordedVerdict.CLIENT_LEFT
        hit = rng.random(count) < 0.72
        took = (rng.lognormal(11.3, 0.5, count) + np.where(hit, 0, 90_000)).astype(np.int64)
        lives = {
            "id": rng.integers(1, 2**63, count).astype(np.uint64),
            "at": np.maximum.accumulate(self.clock.of(true)).astype(np.int64),
            "left": np.full(count, 3_000_000),
            "class": self.numbers["class"][kind],
            "tenant": self.numbers["tenant"][objects % TENANTS],
            "cell": self.cell[objects % 4],
            "object": (objects.astype(np.uint64) * np.uint64(0x9E3779B97F4A7C15)),
            "part": rng.integers(0, 14, count),
            "group": objects % 64,
            "flags": np.where(rng.random(count) < 0.02, CLIENT_RETRY_FLAG, 0)
            | np.where(kind == 2, WRITE_FLAG | NON_IDEMPOTENT_FLAG, 0),
            "verdict": verdict.astype(np.int64),
            "why": np.where(
                verdict == RecordedVerdict.SERVED, DecisionReason.ANSWERED, DecisionReason.NO_CACHE
            ),
            "took": took,
            "after": np.where(verdict == RecordedVerdict.REJECTED, 300_000, 0),
            "bytes": np.where(verdict == RecordedVerdict.SERVED, rng.integers(2_000, 60_000, count), 0),
            "director": np.full(count, self.strings.number(self.name)),
            "attempts": tries,
        }
        return Table(lives, self._attempts(lives, true, kind, objects, hit), self.strings)

    def _attempts(
        self, lives: dict[str, Column], true: Column, kind: Column, objects: Column, hit: Column
    ) -> dict[str, Column]:
        rng, tries = self.rng, lives["attempts"]
        owner = np.repeat(np.arange(len(true)), tries)
        count = len(owner)
        first = np.concatenate(([True], owner[1:] != owner[:-1])) if count else np.zeros(0, bool)
        final = np.concatenate((owner[1:] != owner[:-1], [True])) if count else np.zeros(0, bool)
        took = lives["took"][owner]
        decided = np.where(first, 0, took // 3)
        sent = decided + rng.integers(50, 900, count)
        ended = np.where(final, took, np.maximum(took // 3, sent + 1))
        well = final & (lives["verdict"][owner] == RecordedVerdict.SERVED)
        status = np.where(well, 0, STATUS_WORDS.index("full"))
        box = (objects[owner] + np.where(first, 0, 1)) % BOXES
        box = self._kept(box, true[owner] + sent)
        write = kind[owner] == 2
        member = np.where(write, self.origin, self.numbers["box"][box])
        source = np.where(write, 0, self.numbers["parent"][objects[owner] % PARENTS])
        detail = np.where(well & hit[owner], 1, np.where(well, 2, 0))
        dated = np.where(well & ~write, true[owner] - rng.integers(0, 250_000, count), 0)
        dated = np.where(detail == 2, true[owner], dated)
        return {
            "decided": decided,
            "sent": sent,
            "ended": ended,
            "cancel": np.full(count, NEVER),
            "member": member,
            "source": source,
            "rank": np.where(write, 0, 1 + 2 * (objects[owner] < 200)),
            "flags": np.where(write, 0, 1),
            "age": np.where(kind[owner] == 1, 12_000, 0),
            "status": status,
            "detail": detail,
            "why": np.where(first, DecisionReason.HOME_CACHE, DecisionReason.OTHERS_TRIED),
            "pending": rng.integers(0, 12, count),
            "room": rng.integers(30, 60, count),
            "failing": rng.integers(0, 12, count),
            "warm": np.full(count, 255),
            "dated": dated.astype(np.int64),
        }

    def _kept(self, box: Column, true: Column) -> Column:
        """Boxes that drain or are gone get nothing, and one that has started little."""
        d = self.duration_us
        out = box.copy()
        drained = (out == 3) & (true >= START + 0.25 * d) & (true < START + 0.35 * d + US_PER_S)
        out[drained] = 4
        away = (out == 7) & (true >= START + 0.5 * d) & (true < START + 0.55 * d + 18 * US_PER_S)
        out[away] = 8
        return out

    # ---- the file ---------------------------------------------------------------------------------------

    def write(self, plant: dict[str, int] | None = None) -> dict[str, list[str]]:
        """The whole file; the ids of what was planted."""
        planted: dict[str, list[str]] = {}
        span = max(US_PER_S, int(CHUNK / self.rate * US_PER_S))
        begins = list(range(START, START + self.duration_us, span))
        at = 0
        for n, begin in enumerate(begins):
            end = min(begin + span, START + self.duration_us)
            table = self.chunk(begin, end)
            if plant and begin <= START + int(0.3 * self.duration_us) < end:
                planted |= self._plant(table, {r: c for r, c in plant.items() if r != "cold"})
            if plant and "cold" in plant and begin <= START + int(0.56 * self.duration_us) < end:
                planted["cold"] = self._push_over(table, plant["cold"])
            limit = int(self.clock.of(np.array([end]))[0]) if n < len(begins) - 1 else 1 << 62
            until = at
            while until < len(self.told) and self.told[until][1] < limit:
                until += 1
            table.notifications, at = self.told[at:until], until
            self.writer.add(table)
        self.writer.close()
        return planted

    def _plant(self, table: Table, plant: dict[str, int]) -> dict[str, list[str]]:
        """Breaches of each rule that is asked for, in requests of their own, while box-3 drains."""
        out: dict[str, list[str]] = {}
        lives, attempts, starts = table.requests, table.attempts, table.starts
        served = np.flatnonzero((lives["verdict"] == RecordedVerdict.SERVED) & (lives["attempts"] == 1))
        reads, bookings = (
            served[lives["flags"][served] & NON_IDEMPOTENT_FLAG == 0],
            served[lives["flags"][served] & NON_IDEMPOTENT_FLAG != 0],
        )
        used: set[int] = set()
        for rule, count in plant.items():
            fit = self._fit(rule, table, reads, bookings)
            rows = np.array([row for row in fit.tolist() if row not in used][:count], np.int64)
            used |= set(rows.tolist())
            for row in rows.tolist():
                self._breach(rule, lives, attempts, row, int(starts[row]))
            if rule == "booking once":
                self._twice(table, rows)
                starts = table.starts
            out[rule] = [f"{int(lives['id'][row]):016x}" for row in rows]
        return out

    def _twice(self, table: Table, rows: Column) -> None:
        """Each of some requests gets its attempt once more, a little later."""
        at = table.starts[rows]
        for name, column in table.attempts.items():
            table.attempts[name] = np.insert(column, at + 1, column[at])
        table.requests["attempts"][rows] += 1

    def _push_over(self, table: Table, count: int) -> list[str]:
        """So many requests in a row go to box-7, which has just started."""
        since = float(self.clock.of(np.array([START + int(0.55 * self.duration_us)]))[0])
        late = (table.requests["at"] > since + US_PER_S) & (table.requests["attempts"] == 1)
        rows = np.flatnonzero(late & (table.requests["flags"] & NON_IDEMPOTENT_FLAG == 0))[:count]
        table.attempts["member"][table.starts[rows]] = self.numbers["box"][7]
        return [f"{int(table.requests['id'][row]):016x}" for row in rows]

    def _fit(self, rule: str, table: Table, reads: Column, bookings: Column) -> Column:
        """Requests in which a rule can be broken."""
        if rule == "booking once":
            return bookings
        if rule == "drain":
            edges = self.clock.of(START + np.array([0.26, 0.34]) * self.duration_us)
            at = table.requests["at"][reads]
            inside: Column = reads[(at > edges[0]) & (at < edges[1])]
            return inside
        if rule != "purge":
            return reads
        return np.array([row for row in reads.tolist() if self._purged(table.requests, row)], np.int64)

    def _purged(self, lives: dict[str, Column], row: int) -> int:
        """The newest purge of a request's group that binds it, or 0."""
        group, at = int(lives["group"][row]), int(lives["at"][row])
        binding = [
            d["unix_us"]
            for k, t, d in self.told
            if k == NotificationKind.PURGE and d["group"] == group and t + 1_200_000 < at
        ]
        return max(binding, default=0)

    def _breach(
        self, rule: str, lives: dict[str, Column], attempts: dict[str, Column], row: int, at: int
    ) -> None:
        match rule:
            case "one answer":
                lives["verdict"][row] = RecordedVerdict.OPEN
            case "not listed":
                attempts["member"][at] = self.strings.number("box-99")
            case "drain":
                attempts["member"][at] = self.numbers["box"][3]  # it drains at that time
            case "purge":
                attempts["dated"][at] = self._purged(lives, row) - 5 * US_PER_S
            case "booking once":
                pass  # its second attempt is put in by `_twice`
            case _:
                raise ValueError(rule)


def make(
    folder: Path, directors: int = 3, rate_per_s: float = 170.0, duration_s: int = 3600, seed: int = 1
) -> Stand:
    """Stand-in traces of some directors over the same time."""
    folder.mkdir(parents=True, exist_ok=True)
    out = Stand()
    for n, clock in enumerate(clocks(directors)):
        maker = Maker(folder, n, clock, rate_per_s, duration_s * US_PER_S, seed)
        maker.write()
        out.paths.append(maker.path)
        out.requests += maker.writer.request_count
    return out
