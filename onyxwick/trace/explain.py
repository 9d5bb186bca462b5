"""One request's story in plain sentences."""

from __future__ import annotations

from datetime import UTC, datetime

from onyxwick.trace.model import NEVER, OPEN_STATUS, STATUSES, DecisionReason, RecordedVerdict
from onyxwick.trace.table import Table

CHOICES = {
    DecisionReason.UNKNOWN: "",
    DecisionReason.HOME: "the first box in the object's order",
    DecisionReason.TURN: "the second box in its order, as two take turns over a hot part",
    DecisionReason.EJECTED: "as the boxes before it were ejected",
    DecisionReason.COLD: "as the boxes before it were cold and their budget spent",
    DecisionReason.FULL: "as the boxes before it had no room",
    DecisionReason.TRIED: "as the boxes before it had been tried",
    DecisionReason.DIRECT: "past the boxes",
    DecisionReason.SECOND_COPY: "as a second copy, the first being overdue",
}
ENDS = {
    DecisionReason.ANSWERED: "by that attempt's answer",
    DecisionReason.NO_TIME: "as its time was over",
    DecisionReason.NO_ATTEMPTS: "as all allowed attempts were spent",
    DecisionReason.NO_BOX: "as no box could take it",
    DecisionReason.NO_SOURCE: "as the box lacked it and no source could fill it",
    DecisionReason.MAY_HAVE_RUN: "as it may have run and must not run twice",
    DecisionReason.NO_RETRIES: "as the retry budget was spent",
    DecisionReason.SHED: "as its cell did not let it in",
    DecisionReason.CLIENT_LEFT: "as the client had left",
}
DETAILS = {
    1: "a hit",
    2: "filled",
    3: "filled by way of the origin",
    4: "joined to a fill under way",
    5: "an ageing copy",
    6: "its source refused",
    7: "its source was lost",
    8: "its source lacked it",
    9: "no place for a fill",
    10: "the origin failed",
}
VERDICTS = {
    RecordedVerdict.SERVED: "It was served",
    RecordedVerdict.REFUSED: "It was refused",
    RecordedVerdict.FAILED: "It failed",
    RecordedVerdict.LEFT: "Its client left",
    RecordedVerdict.OPEN: "It was still under way when the trace ends",
}


def _ms(us: int) -> str:
    return f"{us / 1000:.1f} ms"


def _time(unix_us: int) -> str:
    return datetime.fromtimestamp(unix_us / 1e6, UTC).strftime("%Y-%m-%d %H:%M:%S.%f")[:-3]


def explain(table: Table, row: int) -> list[str]:
    """The story of the request in one row of a table."""
    lives = table.lives
    flags = int(lives["flags"][row])
    name = f"{int(lives['object'][row]):016x}"
    who = f" of tenant {table.name('tenant', row)}" if table.name("tenant", row) else ""
    cell = f", in cell {table.name('cell', row)}" if table.name("cell", row) else ""
    again = ", a client's retry" if flags & 1 else ""
    out = [
        f"Request {int(lives['id'][row]):016x}{who} came to director {table.name('director', row)} at"
        f" {_time(int(lives['at'][row]))} UTC: class {table.name('class', row)}, object {name}, part"
        f" {int(lives['part'][row])}{cell}{again}. Its client would wait {_ms(int(lives['left'][row]))}."
    ]
    start = int(table.starts[row])
    for n in range(int(lives["attempts"][row])):
        out.append(f"Attempt {n}: " + _attempt(table, start + n))
    verdict = RecordedVerdict(int(lives["verdict"][row]))
    why = ENDS.get(DecisionReason(int(lives["why"][row])), "")
    took, after = int(lives["took"][row]), int(lives["after"][row])
    tail = f" with {int(lives['bytes'][row])} bytes" if verdict is RecordedVerdict.SERVED else ""
    when = f" after {_ms(took)}" if verdict is not RecordedVerdict.OPEN else ""
    out.append(f"{VERDICTS[verdict]}{when}{tail}{', ' + why if why else ''}.")
    if after:
        out.append(f"It was told to come back after {_ms(after)}.")
    return out


def _attempt(table: Table, at: int) -> str:
    a = {name: int(column[at]) for name, column in table.attempts.items()}
    member, source = table.strings[a["member"]], table.strings[a["source"]]
    why = CHOICES.get(
        DecisionReason(a["why"]) if a["why"] in DecisionReason._value2member_map_ else DecisionReason.UNKNOWN,
        "",
    )
    text = f"at {_ms(a['decided'])} {member} was chosen" + (f", {why}" if why else "")
    text += (
        f"; a miss was to be filled from {source} at rank {a['rank']}"
        if source
        else "; nothing was to be filled"
    )
    text += (
        f". Believed of {member}: {a['pending']} attempts under way, room {a['room'] / 50:.2f}, failing"
        f" {a['failing'] / 255:.0%}, warm {a['warm'] / 255:.0%}."
    )
    text += f" Sent at {_ms(a['sent'])}." if a["sent"] != NEVER else " It was never sent."
    if a["cancel"] != NEVER:
        text += f" Called off at {_ms(a['cancel'])}."
    if a["status"] == OPEN_STATUS:
        return text + " How it ended is not in the trace."
    status = STATUSES[a["status"]] if a["status"] < len(STATUSES) else str(a["status"])
    detail = DETAILS.get(a["detail"], "")
    return text + f" It ended at {_ms(a['ended'])}: {status}" + (f", {detail}." if detail else ".")
