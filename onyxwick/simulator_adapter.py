"""The simulator's adapter: its line protocol on standard input and output, for many routers in one process.

Input: batches of lines, each a name and values by position; `-` stands for no value. Output: for each batch
the actions of its routers, one a line, and `READY`. It maps the protocol's words to the types of
`onyxwick.interface` and holds no decisions. Times are microseconds of the simulator's clock.

Run as `python -m onyxwick.simulator_adapter`.
"""

from __future__ import annotations

import sys
import traceback
from collections.abc import Callable, Iterator
from typing import TextIO, TypeVar

from onyxwick.errors import OnyxwickError
from onyxwick.interface import (
    Action,
    AnswerDetail,
    AttemptEnded,
    AttemptStatus,
    CancelAttempt,
    ClientDisconnected,
    EndpointListKind,
    EndpointsChanged,
    Event,
    FailRequest,
    ForwardRequest,
    ForwardWithFill,
    LoadReportReceived,
    LogMessage,
    Member,
    MemberState,
    ObjectsPurged,
    PeerMessage,
    PollEndpoints,
    RejectRequest,
    RequestArrived,
    SetTimer,
    SiteStateChanged,
    StreamStarted,
    SubscribeToEndpoints,
    TimerFired,
)
from onyxwick.routing import Router
from onyxwick.settings import Pairs, SettingError, read_settings

STATUS = {
    "100": AttemptStatus.OK,
    "301": AttemptStatus.ERROR,
    "302": AttemptStatus.OVERLOADED,
    "303": AttemptStatus.TIMEOUT,
    "304": AttemptStatus.CONNECT_FAILED,
    "305": AttemptStatus.RESET,
    "306": AttemptStatus.CANCELLED,
    "307": AttemptStatus.NOT_SENT,
    "101": AttemptStatus.MISS,
}
STATE = {"up": MemberState.READY, "draining": MemberState.DRAINING, "removed": MemberState.REMOVED}
LIST_KIND = {
    "update": EndpointListKind.CHANGE,
    "replace": EndpointListKind.SNAPSHOT,
    "restored": EndpointListKind.RESTORED,
    "unavailable": EndpointListKind.UNAVAILABLE,
}
DETAIL = {detail.value: detail for detail in AnswerDetail}
RETRY_MARK = 2
WRITE_MARK = 4
NO_VALUE = ("", "-")
EXIT_BAD_INPUT = 2
Value = TypeVar("Value")


class WireError(OnyxwickError):
    """A line that cannot be read. The message names the line by its number, and the field."""


class WireLine:
    """One line: its name and its values by position. A value that cannot be read raises `WireError`."""

    def __init__(self, line: str, number: int) -> None:
        self.number = number
        self.values = line.split(" ")

    @property
    def name(self) -> str:
        """The first word, which says what the line is."""
        return self.values[0]

    def error(self, field: str) -> WireError:
        """The error of a field that is missing or cannot be read."""
        return WireError(f"line {self.number}: bad or missing field '{field}' in {self.name!r} line")

    def optional_text(self, position: int) -> str | None:
        """A word, or None where there is none."""
        if position >= len(self.values) or self.values[position] in NO_VALUE:
            return None
        return self.values[position]

    def text(self, position: int, field: str) -> str:
        """A word that must be there."""
        value = self.optional_text(position)
        if value is None:
            raise self.error(field)
        return value

    def integer(self, position: int, field: str, default: int | None = None) -> int:
        """A whole number; `default` where there is none."""
        value = self.optional_text(position)
        if value is None and default is not None:
            return default
        try:
            return int(value or "")
        except ValueError:
            raise self.error(field) from None

    def real(self, position: int, field: str) -> float:
        """A number; 0 where there is none."""
        value = self.optional_text(position)
        try:
            return float(value) if value is not None else 0.0
        except ValueError:
            raise self.error(field) from None

    def choice(self, position: int, field: str, table: dict[str, Value]) -> Value:
        """One of the words of a table, mapped."""
        try:
            return table[self.text(position, field)]
        except KeyError:
            raise self.error(field) from None

    def load_report(self, position: int, field: str) -> tuple[float, ...]:
        """Numbers separated by commas; 0 where one is left out."""
        value = self.optional_text(position)
        if not value:
            return ()
        try:
            return tuple(0.0 if part in NO_VALUE else float(part) for part in value.split(","))
        except ValueError:
            raise self.error(field) from None


# ---- lines to events ------------------------------------------------------------------------------------


def read_member(line: WireLine) -> Member:
    """One row of a list."""
    if line.name != "ROW":
        raise line.error("ROW")
    return Member(
        address=line.text(1, "cache"),
        zone=line.optional_text(2) or "",
        kind=line.optional_text(3) or "",
        cell=line.integer(4, "unit_group", 0),
        state=line.choice(5, "lifecycle", STATE),
        weight=line.real(6, "weight"),
        started_at_us=line.integer(7, "since_us", 0),
    )


def read_list(line: WireLine, following: Iterator[WireLine]) -> EndpointsChanged:
    """A list, whose rows are the lines that follow."""
    kind = line.choice(3, "form", LIST_KIND)
    members = []
    for _ in range(line.integer(4, "elements", 0)):
        row = next(following, None)
        if row is None:
            raise line.error("elements")
        members.append(read_member(row))
    return EndpointsChanged(kind, tuple(members), line.integer(2, "version", 0))


def _read_request(line: WireLine) -> RequestArrived:
    marks = line.integer(10, "marks", 0)
    return RequestArrived(
        request_id=line.text(2, "job"),
        class_name=line.text(3, "band"),
        tenant=line.optional_text(4),
        object_id=line.optional_text(5) or "",
        expires_in_us=line.integer(6, "expires_in_us"),
        size_kb=line.real(7, "kbytes"),
        object_group=None if line.optional_text(8) is None else int(line.real(8, "tag")),
        part=int(line.real(9, "segment")),
        is_retry=bool(marks & RETRY_MARK),
        is_write=bool(marks & WRITE_MARK),
    )


def _read_attempt_end(line: WireLine) -> AttemptEnded:
    return AttemptEnded(
        request_id=line.text(2, "job"),
        detail=DETAIL.get(line.integer(3, "remark", 0), AnswerDetail.NONE),
        is_final=line.integer(4, "final", 0) != 0,
        upstream_wait_us=line.integer(5, "upstream_wait_us", 0),
        member=line.text(6, "cache"),
        status=line.choice(7, "how", STATUS),
        latency_us=line.integer(8, "duration_us", 0),
        attempt_index=line.integer(9, "copy", 0),
        load_report=line.load_report(10, "feedback"),
    )


def _read_purge(line: WireLine) -> ObjectsPurged:
    return ObjectsPurged(
        object_group=line.integer(2, "bucket", -1),
        object_id=line.optional_text(3),
        age_us=line.integer(4, "copy_age_us", 0),
    )


def _read_stream_start(line: WireLine) -> StreamStarted:
    return StreamStarted(
        request_id=line.text(2, "job"),
        attempt_index=line.integer(3, "copy", 0),
        member=line.text(4, "cache"),
        latency_us=line.integer(5, "duration_us", 0),
    )


def _read_peer_message(line: WireLine) -> PeerMessage:
    sender = line.integer(2, "by")
    try:
        return PeerMessage(sender, bytes.fromhex(line.optional_text(3) or ""))
    except ValueError:
        raise line.error("raw") from None


def _read_health_check(line: WireLine) -> LoadReportReceived:
    return LoadReportReceived(
        member=line.text(2, "cache"),
        status=line.choice(3, "how", STATUS),
        latency_us=line.integer(4, "duration_us", 0),
        report=line.load_report(5, "feedback"),
    )


READERS: dict[str, Callable[[WireLine], Event]] = {
    "ACCEPT": _read_request,
    "ANSWER": _read_attempt_end,
    "REMINDER": lambda line: TimerFired(line.text(2, "nonce")),
    "LEFT": lambda line: ClientDisconnected(line.text(2, "job")),
    "RECALLED": _read_purge,
    "ACCEPTED": _read_stream_start,
    "PEER": _read_peer_message,
    "STATUS_BACK": _read_health_check,
}


def read_event(line: WireLine, following: Iterator[WireLine]) -> Event | None:
    """One event of a running instance; None for a line of a name this adapter does not know."""
    if line.name == "BACKENDS_CHANGED":
        return read_list(line, following)
    reader = READERS.get(line.name)
    return None if reader is None else reader(line)


# ---- actions to lines -----------------------------------------------------------------------------------


def write_action(instance: int, action: Action) -> str:
    """The line of an action of an instance."""
    match action:
        case ForwardRequest(request, member, timeout):
            return f"ASSIGN {instance} {request} {member} {timeout}"
        case ForwardWithFill(request, member, source, rank, timeout, age, flags):
            return f"DELIVER_VIA {instance} {request} {member} {timeout} {source} {rank} {age} {int(flags)}"
        case CancelAttempt(request, attempt):
            return f"ABORT_ATTEMPT {instance} {request} {attempt}"
        case FailRequest(request):
            return f"GIVE_UP {instance} {request}"
        case RejectRequest(request, after):
            return f"REFUSE {instance} {request} {after}"
        case _:
            return _write_other_action(instance, action)


def _write_other_action(
    instance: int,
    action: SetTimer | SiteStateChanged | LogMessage | SubscribeToEndpoints | PollEndpoints,
) -> str:
    """The line of an action that is of no single request."""
    match action:
        case SetTimer(at_us, token):
            return f"SET_ALARM {instance} {at_us} {token}"
        case SiteStateChanged(site, _, state):
            return f"TRACE {instance} site {site} {state}"
        case LogMessage(text):
            return f"TRACE {instance} {' '.join(text.split())}"
        case SubscribeToEndpoints(enabled):
            return f"TAIL {instance} {int(enabled)}"
        case PollEndpoints():
            return f"SNAPSHOT {instance}"


class SimulatorAdapter:
    """The instances of one process, each with a router of its own and nothing shared."""

    def __init__(self) -> None:
        self.routers: dict[int, Router] = {}

    def handle_batch(self, now_us: int, lines: list[WireLine]) -> list[str]:
        """The actions on the lines of one instant, instance by instance; `WireError` on a bad line."""
        events: dict[int, list[Event]] = {}
        remaining = iter(lines)
        for line in remaining:
            instance = line.integer(1, "i")
            if line.name == "ENLIST":
                self.routers[instance] = _start_router(line, now_us)
                events[instance] = []
            elif line.name == "KILL":
                self.routers.pop(instance, None)
                events.pop(instance, None)
            else:
                event = read_event(line, remaining)
                if event is None:
                    continue
                if instance not in self.routers:
                    raise line.error("i (unknown instance)")
                events.setdefault(instance, []).append(event)
        replies: list[str] = []
        for instance, batch in events.items():
            replies += self.handle_events(instance, now_us, batch)
        return replies

    def handle_events(self, instance: int, now_us: int, events: list[Event]) -> list[str]:
        """The lines of one router's actions, or the one line that tells of its fault."""
        try:
            actions = self.routers[instance].handle(now_us, events)
            return [write_action(instance, action) for action in actions]
        except Exception as error:  # a fault of one router must not end the others of this process
            traceback.print_exc(file=sys.stderr)
            return [f"PANIC {instance} {' '.join(f'{type(error).__name__}: {error}'.split())}"]


def _start_router(line: WireLine, now_us: int) -> Router:
    try:
        settings = read_settings(Pairs.of_words(line.values[3:]))
    except SettingError as error:
        raise WireError(f"line {line.number}: {error}") from None
    return Router(settings, line.integer(2, "entropy"), now_us)


def serve(source: TextIO, sink: TextIO) -> None:
    """Answer batches until the input ends; `WireError` on a line that cannot be read."""
    adapter = SimulatorAdapter()
    batch: list[WireLine] = []
    now_us: int | None = None
    for number, raw in enumerate(source, 1):
        text = raw.rstrip("\r\n")
        if not text:
            continue
        line = WireLine(text, number)
        if line.name == "BATCH":
            batch = []
            now_us = line.integer(1, "clock")
        elif line.name == "FLUSH":
            if now_us is None:
                raise WireError(f"line {number}: 'FLUSH' without 'BATCH'")
            replies = adapter.handle_batch(now_us, batch)
            sink.write("".join(reply + "\n" for reply in replies) + "READY\n")
            sink.flush()
            now_us = None
        elif now_us is None:
            raise WireError(f"line {number}: {line.name!r} outside a batch")
        else:
            batch.append(line)


def main() -> int:
    """Serve standard input and output; the exit status."""
    sys.stdin.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    try:
        serve(sys.stdin, sys.stdout)
    except WireError as error:
        print(f"onyxwick.simulator_adapter: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(main())
