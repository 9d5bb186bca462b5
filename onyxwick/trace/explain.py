"""Explains one request in plain sentences.

The module takes the row of a request in a table and returns lines of text for a terminal. Their wording is
part of the command's output.
"""

from __future__ import annotations

from datetime import UTC, datetime

from onyxwick.trace.model import (
    CLIENT_RETRY_FLAG,
    NEVER,
    NOT_ENDED_STATUS,
    STATUS_WORDS,
    US_PER_S,
    DecisionReason,
    RecordedVerdict,
)
from onyxwick.trace.table import Table

CHOICE_TEXTS = {
    DecisionReason.UNKNOWN: "",
    DecisionReason.HOME_CACHE: "the first box in the object's order",
    DecisionReason.ALTERNATED: "the second box in its order, as two take turns over a hot part",
    DecisionReason.OTHERS_EJECTED: "as the boxes before it were ejected",
    DecisionReason.OTHERS_WARMING_UP: "as the boxes before it were cold and their budget spent",
    DecisionReason.OTHERS_AT_LIMIT: "as the boxes before it had no room",
    DecisionReason.OTHERS_TRIED: "as the boxes before it had been tried",
    DecisionReason.CACHES_BYPASSED: "past the boxes",
    DecisionReason.HEDGED: "as a second copy, the first being overdue",
}
FINAL_TEXTS = {
    DecisionReason.ANSWERED: "by that attempt's answer",
    DecisionReason.NO_TIME: "as its time was over",
    DecisionReason.ATTEMPTS_EXHAUSTED: "as all allowed attempts were spent",
    DecisionReason.NO_CACHE: "as no box could take it",
    DecisionReason.NO_FILL_SOURCE: "as the box lacked it and no source could fill it",
    DecisionReason.POSSIBLY_EXECUTED: "as it may have run and must not run twice",
    DecisionReason.RETRY_BUDGET_EMPTY: "as the retry budget was spent",
    DecisionReason.LOAD_SHED: "as its cell did not let it in",
    DecisionReason.CLIENT_LEFT: "as the client had left",
}
DETAIL_TEXTS = {
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
VERDICT_TEXTS = {
    RecordedVerdict.SERVED: "It was served",
    RecordedVerdict.REJECTED: "It was refused",
    RecordedVerdict.FAILED: "It failed",
    RecordedVerdict.CLIENT_LEFT: "Its client left",
    RecordedVerdict.OPEN: "It was still under way when the trace ends",
}


def _ms(us: int) -> str:
    return f"{us / 1000:.1f} ms"


def _time(unix_us: int) -> str:
    return datetime.fromtimestamp(unix_us / US_PER_S, UTC).strftime("%Y-%m-%d %H:%M:%S.%f")[:-3]


def _reason(number: int) -> DecisionReason:
    known = number in (*CHOICE_TEXTS, *FINAL_TEXTS)
    return DecisionReason(number) if known else DecisionReason.UNKNOWN


def explain_request(table: Table, row: int) -> list[str]:
    """Return the lines for the request in one row: its arrival, each attempt, and its final answer."""
    lines = [_arrival(table, row)]
    first = int(table.starts[row])
    for index in range(int(table.requests["attempts"][row])):
        lines.append(f"Attempt {index}: " + _attempt(table, first + index))
    lines.append(_final_answer(table, row))
    retry_after_us = int(table.requests["after"][row])
    if retry_after_us:
        lines.append(f"It was told to come back after {_ms(retry_after_us)}.")
    return lines


def _arrival(table: Table, row: int) -> str:
    requests = table.requests
    object_id = f"{int(requests['object'][row]):016x}"
    tenant = f" of tenant {table.name('tenant', row)}" if table.name("tenant", row) else ""
    cell = f", in cell {table.name('cell', row)}" if table.name("cell", row) else ""
    retry = ", a client's retry" if int(requests["flags"][row]) & CLIENT_RETRY_FLAG else ""
    return (
        f"Request {int(requests['id'][row]):016x}{tenant} came to director {table.name('director', row)} at"
        f" {_time(int(requests['at'][row]))} UTC: class {table.name('class', row)}, object {object_id}, part"
        f" {int(requests['part'][row])}{cell}{retry}. Its client would wait"
        f" {_ms(int(requests['left'][row]))}."
    )


def _final_answer(table: Table, row: int) -> str:
    requests = table.requests
    verdict = RecordedVerdict(int(requests["verdict"][row]))
    reason = FINAL_TEXTS.get(_reason(int(requests["why"][row])), "")
    size = f" with {int(requests['bytes'][row])} bytes" if verdict is RecordedVerdict.SERVED else ""
    after = f" after {_ms(int(requests['took'][row]))}" if verdict is not RecordedVerdict.OPEN else ""
    return f"{VERDICT_TEXTS[verdict]}{after}{size}{', ' + reason if reason else ''}."


def _attempt(table: Table, at: int) -> str:
    values = {name: int(column[at]) for name, column in table.attempts.items()}
    member = table.strings[values["member"]]
    source = table.strings[values["source"]]
    choice = CHOICE_TEXTS.get(_reason(values["why"]), "")
    text = f"at {_ms(values['decided'])} {member} was chosen" + (f", {choice}" if choice else "")
    if source:
        text += f"; a miss was to be filled from {source} at rank {values['rank']}"
    else:
        text += "; nothing was to be filled"
    text += (
        f". Believed of {member}: {values['pending']} attempts under way, room {values['room'] / 50:.2f},"
        f" failing {values['failing'] / 255:.0%}, warm {values['warm'] / 255:.0%}."
    )
    text += f" Sent at {_ms(values['sent'])}." if values["sent"] != NEVER else " It was never sent."
    if values["cancel"] != NEVER:
        text += f" Called off at {_ms(values['cancel'])}."
    return text + _attempt_end(values)


def _attempt_end(values: dict[str, int]) -> str:
    number = values["status"]
    if number == NOT_ENDED_STATUS:
        return " How it ended is not in the trace."
    status = STATUS_WORDS[number] if number < len(STATUS_WORDS) else str(number)
    detail = DETAIL_TEXTS.get(values["detail"], "")
    return f" It ended at {_ms(values['ended'])}: {status}" + (f", {detail}." if detail else ".")
