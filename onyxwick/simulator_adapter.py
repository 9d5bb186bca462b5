"""Adapter for the simulator's line protocol on standard input and output; runs many routers in one process.

The input consists of batches of lines. Each line is a name followed by positional values, with `-` for a
missing value. The output for each batch is the actions of its routers, one per line, followed by `READY`. The
adapter maps the protocol's terms to the types of `onyxwick.interface` and makes no decisions. Times are
microseconds of the simulator's clock.

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
from onyxwick.settings import SettingError, SettingValues, read_settings

STATUS_BY_CODE = {
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
STATE_BY_TERM = {"up": MemberState.READY, "draining": MemberState.DRAINING, "removed": MemberState.REMOVED}
LIST_KIND_BY_TERM = {
    "update": EndpointListKind.CHANGE,
    "replace": EndpointListKind.SNAPSHOT,
    "restored": EndpointListKind.RESTORED,
    "unavailable": EndpointListKind.UNAVAILABLE,
}
DETAIL_BY_CODE = {detail.value: detail for detail in AnswerDetail}
RETRY_FLAG = 2
WRITE_FLAG = 4
MISSING_VALUES = ("", "-")
EXIT_BAD_INPUT = 2
Value = TypeVar("Value")


class WireError(OnyxwickError):
    """A line cannot be parsed. The message contains the line's number and the name of the field."""


class WireLine:
    """A line with a name and positional values. Reading a value that cannot be parsed raises `WireError`."""

    def __init__(self, line: str, number: int) -> None:
        self.number = number
        self.values = line.split(" ")

    @property
    def name(self) -> str:
        """Return the first word, which identifies the type of the line."""
        return self.values[0]

    def error(self, field: str) -> WireError:
        """Return the error for a field that is missing or cannot be parsed."""
        return WireError(f"line {self.number}: missing or invalid field '{field}' in {self.name!r} line")

    def optional_text(self, position: int) -> str | None:
        """Return the text at a position, or None if there is no value."""
        if position >= len(self.values) or self.values[position] in MISSING_VALUES:
            return None
        return self.values[position]

    def text(self, position: int, field: str) -> str:
        """Return the text at a position; the value is required."""
        value = self.optional_text(position)
        if value is None:
            raise self.error(field)
        return value

    def integer(self, position: int, field: str, default: int | None = None) -> int:
        """Return the integer at a position, or `default` if there is no value."""
        value = self.optional_text(position)
        if value is None and default is not None:
            return default
        try:
            return int(value or "")
        except ValueError:
            raise self.error(field) from None

    def real(self, position: int, field: str) -> float:
        """Return the number at a position, or 0 if there is no value."""
        value = self.optional_text(position)
        try:
            return float(value) if value is not None else 0.0
        except ValueError:
            raise self.error(field) from None

    def choice(self, position: int, field: str, table: dict[str, Value]) -> Value:
        """Return the entry of `table` for the text at a position; the value is required."""
        try:
            return table[self.text(position, field)]
        except KeyError:
            raise self.error(field) from None

    def load_report(self, position: int, field: str) -> tuple[float, ...]:
        """Return comma-separated numbers, with 0 for each one that is left out."""
        value = self.optional_text(position)
        if not value:
            return ()
        try:
            return tuple(0.0 if part in MISSING_VALUES else float(part) for part in value.split(","))
        except ValueError:
            raise self.error(field) from None


# ---- lines to events ------------------------------------------------------------------------------------


def read_member(line: WireLine) -> Member:
    """Return the member in one row of an endpoint list."""
    if line.name != "ROW":
        raise line.error("ROW")
    return Member(
        address=line.text(1, "cache"),
        zone=line.optional_text(2) or "",
        kind=line.optional_text(3) or "",
        cell=line.integer(4, "unit_group", 0),
        state=line.choice(5, "lifecycle", STATE_BY_TERM),
        weight=line.real(6, "weight"),
        started_at_us=line.integer(7, "since_us", 0),
    )


def read_list(line: WireLine, following: Iterator[WireLine]) -> EndpointsChanged:
    """Return an endpoint list, whose rows are the lines that follow `line`."""
    kind = line.choice(3, "form", LIST_KIND_BY_TERM)
    members = []
    for _ in range(line.integer(4, "elements", 0)):
        row = next(following, None)
        if row is None:
            raise line.error("elements")
        members.append(read_member(row))
    return EndpointsChanged(kind, tuple(members), line.integer(2, "version", 0))


def _read_request(line: WireLine) -> RequestArrived:
    request_flags = line.integer(10, "marks", 0)
    return RequestArrived(
        request_id=line.text(2, "job"),
        class_name=line.text(3, "band"),
        tenant=line.optional_text(4),
        object_id=line.optional_text(5) or "",
        expires_in_us=line.integer(6, "expires_in_us"),
        size_kb=line.real(7, "kbytes"),
        object_group=None if line.optional_text(8) is None else int(line.real(8, "tag")),
        part=int(line.real(9, "segment")),
        is_retry=bool(request_flags & RETRY_FLAG),
        is_write=bool(request_flags & WRITE_FLAG),
    )


def _read_attempt_end(line: WireLine) -> AttemptEnded:
    return AttemptEnded(
        request_id=line.text(2, "job"),
        detail=DETAIL_BY_CODE.get(line.integer(3, "remark", 0), AnswerDetail.NONE),
        is_final=line.integer(4, "final", 0) != 0,
        upstream_wait_us=line.integer(5, "upstream_wait_us", 0),
        member=line.text(6, "cache"),
        status=line.choice(7, "how", STATUS_BY_CODE),
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
        status=line.choice(3, "how", STATUS_BY_CODE),
        latency_us=line.integer(4, "duration_us", 0),
        report=line.load_report(5, "feedback"),
    )


EVENT_READERS: dict[str, Callable[[WireLine], Event]] = {
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
    """Return the event in a line, or None if the line's name is unknown."""
    if line.name == "BACKENDS_CHANGED":
        return read_list(line, following)
    reader = EVENT_READERS.get(line.name)
    return None if reader is None else reader(line)


# ---- actions to lines -----------------------------------------------------------------------------------


def write_action(instance: int, action: Action) -> str:
    """Return the line for an action of a router instance."""
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
    """Return the line for an action that does not belong to a single request."""
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
    """The router instances of one process; they share nothing."""

    def __init__(self) -> None:
        self.routers: dict[int, Router] = {}

    def handle_batch(self, now_us: int, lines: list[WireLine]) -> list[str]:
        """Process the lines of one point in time and return the action lines, instance by instance.

        Raises `WireError` for a line that cannot be parsed or that names an unknown instance.
        """
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
        """Return the action lines of one router, or a single `PANIC` line if the router raises an error."""
        try:
            actions = self.routers[instance].handle(now_us, events)
            return [write_action(instance, action) for action in actions]
        except Exception as error:  # an error in one router must not stop the other routers of this process
            traceback.print_exc(file=sys.stderr)
            return [f"PANIC {instance} {' '.join(f'{type(error).__name__}: {error}'.split())}"]


def _start_router(line: WireLine, now_us: int) -> Router:
    try:
        settings = read_settings(SettingValues.from_words(line.values[3:]))
    except SettingError as error:
        raise WireError(f"line {line.number}: {error}") from None
    return Router(settings, line.integer(2, "entropy"), now_us)


def serve(source: TextIO, sink: TextIO) -> None:
    """Answer batches until the end of the input. Raises `WireError` for a line that cannot be parsed."""
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
    """Serve the simulator on standard input and output, and return the exit status."""
    sys.stdin.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    try:
        serve(sys.stdin, sys.stdout)
    except WireError as error:
        print(f"onyxwick.simulator_adapter: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(main())
