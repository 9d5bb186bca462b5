"""History of one run as observed from outside: calls and their ends, actions of machines, notices, faults.

All times are Unix microseconds of one clock that never jumps. A history is a list of rows. Its file has one
JSON document a line; the first one identifies the run. The checkers (`checkers.py`) read nothing else.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

from onyxwick.lab.audit import Earned, Given, RecordedSend, Records, Taken


class Row(msgspec.Struct, frozen=True, omit_defaults=True):
    """One event. `kind` is call (an accepted request, with its end), earned, sent, gave, ran, drained,
    purged, fell, ended (a director), fault, state (of a site, as reported by a director), used, plan or
    late."""

    kind: str
    at_us: int
    who: str = ""
    what: str = ""
    data: dict[str, Any] = {}


class History(msgspec.Struct):
    """The complete record of one run."""

    scenario: str
    seed: int
    variant: str
    began_us: int  # start of the load
    ended_us: int
    rows: list[Row]

    def of(self, *kinds: str) -> list[Row]:
        """Return the rows of the given kinds, in their order."""
        return [row for row in self.rows if row.kind in kinds]

    def line(self) -> str:
        """Return the command line that repeats the run."""
        return f"onyxwick lab faults run {self.scenario} --seed {self.seed} --variant {self.variant}"


_encode = msgspec.json.Encoder().encode


def write(history: History, path: Path) -> None:
    """Write the history to a file, with its rows in order of time."""
    head = {name: getattr(history, name) for name in ("scenario", "seed", "variant", "began_us", "ended_us")}
    lines = [_encode(head), *map(_encode, sorted(history.rows, key=lambda row: row.at_us))]
    path.write_bytes(b"\n".join(lines) + b"\n")


def read(path: Path) -> History:
    """Read a history from its file. Raises ValueError if the file is no history."""
    lines = path.read_bytes().splitlines()
    try:
        head = msgspec.json.decode(lines[0])
        rows = [msgspec.json.decode(line, type=Row) for line in lines[1:]]
        return History(rows=rows, **head)
    except (IndexError, TypeError, msgspec.MsgspecError) as error:
        raise ValueError(f"{path.name} is no history: {error}") from None


def rows_of(records: Records) -> list[Row]:
    """Convert the records of the emulators and clients to rows."""
    out = []
    for t in records.taken.values():
        data = {
            "tenant": t.tenant,
            "group": t.group,
            "write": t.write,
            "answers": t.answers,
            "left": t.left,
            "verdict": t.verdict,
            "tag": t.tag,
            "class": t.class_name,
            "site": t.site,
            "ended_us": t.ended_us,
            "again": t.again,
        }
        out.append(Row("call", t.sent_us, t.director, t.id, data))
    for e in records.earned:
        data = {"tenant": e.tenant, "class": e.class_name, "site": e.site, "worth": e.worth}
        out.append(Row("earned", e.at_us, e.site, "", data | {"earned": e.earned}))
    out += [Row("sent", s.at_us, s.member, s.id, {"source": s.source}) for s in records.sends]
    out += [Row("gave", g.sent_us, "", g.id, {"tag": g.tag, "dated_us": g.dated_us}) for g in records.given]
    out += [Row("ran", 0, "", request) for request in records.ran]
    out += [Row("drained", told, member, "", {"lifted": lifted}) for member, told, lifted in records.drained]
    out += [
        Row("purged", when, "", "", {"group": group, "told": told}) for group, when, told in records.purged
    ]
    out += [Row("fell", at, member) for member, at in records.fallen]
    out += [Row("ended", 0, name) for name in records.crashed]
    return out


def records_of(rows: Iterable[Row]) -> Records:
    """Convert rows back to records, for the audit of the rules."""
    out = Records()
    for row in rows:
        data = row.data
        match row.kind:
            case "call":
                taken = Taken(row.what, data["tenant"], data["group"], data["write"], row.at_us)
                taken.answers, taken.left, taken.tag = data["answers"], data["left"], data["tag"]
                taken.verdict = data["verdict"]
                out.taken[row.what] = taken
            case "earned":
                names = (data["tenant"], data["class"], data["site"])
                out.earned.append(Earned(row.at_us, *names, data["worth"], data["earned"]))
            case "sent":
                out.sends.append(RecordedSend(row.at_us, row.who, row.what, data["source"]))
            case "gave":
                out.given.append(Given(row.what, data["tag"], data["dated_us"], row.at_us))
            case "ran":
                out.ran.append(row.what)
            case "drained":
                out.drained.append((row.who, row.at_us, data["lifted"]))
            case "purged":
                out.purged.append((data["group"], row.at_us, data["told"]))
            case "fell":
                out.fallen.append((row.who, row.at_us))
            case "ended":
                out.crashed.append(row.who)
    return out
