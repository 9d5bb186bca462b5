"""The adapter: the simulator's wire to events, actions to the wire. It holds no decisions.

Run as `python -m onyxwick.simulator_adapter`: reads batches on standard input, writes one reply to each.
"""

from __future__ import annotations

import sys
import traceback
from collections.abc import Iterator
from typing import TextIO, TypeVar

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
from onyxwick.logic import Router
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
MARK_REPEAT, MARK_WRITE = 2, 4
T = TypeVar("T")


class WireError(Exception):
    """A line that cannot be read; its text names the line and the field."""


class WireLine:
    """The values of one line by position, read by kind; errors name the line and the field."""

    def __init__(self, line: str, number: int) -> None:
        self.line, self.number, self.parts = line, number, line.split(" ")

    def fail(self, field: str) -> WireError:
        return WireError(f"line {self.number}: bad or missing field '{field}' in {self.parts[0]!r} line")

    def text(self, at: int, field: str) -> str:
        if at >= len(self.parts) or self.parts[at] in ("", "-"):
            raise self.fail(field)
        return self.parts[at]

    def option(self, at: int) -> str | None:
        return self.parts[at] if at < len(self.parts) and self.parts[at] not in ("", "-") else None

    def whole(self, at: int, field: str, default: int | None = None) -> int:
        value = self.option(at)
        if value is None and default is not None:
            return default
        try:
            return int(value or "")
        except ValueError:
            raise self.fail(field) from None

    def number_at(self, at: int, field: str) -> float:
        value = self.option(at)
        try:
            return float(value) if value is not None else 0.0
        except ValueError:
            raise self.fail(field) from None

    def pick(self, at: int, field: str, table: dict[str, T]) -> T:
        try:
            return table[self.text(at, field)]
        except KeyError:
            raise self.fail(field) from None

    def report(self, at: int, field: str) -> tuple[float, ...]:
        value = self.option(at)
        try:
            return tuple(float(x) if x not in ("", "-") else 0.0 for x in value.split(",")) if value else ()
        except ValueError:
            raise self.fail(field) from None


def read_member(f: WireLine) -> Member:
    if f.parts[0] != "ROW":
        raise f.fail("ROW")
    return Member(
        address=f.text(1, "cache"),
        zone=f.option(2) or "",
        kind=f.option(3) or "",
        cell=f.whole(4, "unit_group", 0),
        state=f.pick(5, "lifecycle", STATE),
        weight=f.number_at(6, "weight"),
        started_at_us=f.whole(7, "since_us", 0),
    )


def read_event(f: WireLine, lines: Iterator[WireLine]) -> Event | None:
    """One event of a running instance; None for a line of a name this adapter does not know."""
    match f.parts[0]:
        case "ACCEPT":
            marks = f.whole(10, "marks", 0)
            return RequestArrived(
                request_id=f.text(2, "job"),
                class_name=f.text(3, "band"),
                tenant=f.option(4),
                object_id=f.option(5) or "",
                expires_in_us=f.whole(6, "expires_in_us"),
                size_kb=f.number_at(7, "kbytes"),
                object_group=None if f.option(8) is None else int(f.number_at(8, "tag")),
                part=int(f.number_at(9, "segment")),
                is_retry=bool(marks & MARK_REPEAT),
                is_write=bool(marks & MARK_WRITE),
            )
        case "ANSWER":
            detail = f.whole(3, "remark", 0)
            return AttemptEnded(
                request_id=f.text(2, "job"),
                detail=AnswerDetail(detail)
                if 0 <= detail <= max(d.value for d in AnswerDetail)
                else AnswerDetail.NONE,
                is_final=f.whole(4, "final", 0) != 0,
                upstream_wait_us=f.whole(5, "upstream_wait_us", 0),
                member=f.text(6, "cache"),
                status=f.pick(7, "how", STATUS),
                latency_us=f.whole(8, "duration_us", 0),
                attempt_index=f.whole(9, "copy", 0),
                load_report=f.report(10, "feedback"),
            )
        case "REMINDER":
            return TimerFired(f.text(2, "nonce"))
        case "LEFT":
            return ClientDisconnected(f.text(2, "job"))
        case "RECALLED":
            return ObjectsPurged(f.whole(2, "bucket", -1), f.option(3), f.whole(4, "copy_age_us", 0))
        case "ACCEPTED":
            return StreamStarted(
                f.text(2, "job"), f.whole(3, "copy", 0), f.text(4, "cache"), f.whole(5, "duration_us", 0)
            )
        case "PEER":
            try:
                return PeerMessage(f.whole(2, "by"), bytes.fromhex(f.option(3) or ""))
            except ValueError:
                raise f.fail("raw") from None
        case "STATUS_BACK":
            return LoadReportReceived(
                f.text(2, "cache"),
                f.pick(3, "how", STATUS),
                f.whole(4, "duration_us", 0),
                f.report(5, "feedback"),
            )
        case "BACKENDS_CHANGED":
            kind, count = f.pick(3, "form", LIST_KIND), f.whole(4, "elements", 0)
            members = []
            for _ in range(count):
                row = next(lines, None)
                if row is None:
                    raise f.fail("elements")
                members.append(read_member(row))
            return EndpointsChanged(kind, tuple(members), f.whole(2, "version", 0))
    return None


def write_action(instance: int, action: Action) -> str:
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
        case SetTimer(at, token):
            return f"SET_ALARM {instance} {at} {token}"
        case SiteStateChanged(site, _, state):
            return f"TRACE {instance} site {site} {state}"
        case LogMessage(text):
            return f"TRACE {instance} {' '.join(text.split())}"
        case SubscribeToEndpoints(on):
            return f"TAIL {instance} {int(on)}"
        case PollEndpoints():
            return f"SNAPSHOT {instance}"


class SimulatorAdapter:
    """The instances of one process, each with its own router and nothing shared."""

    def __init__(self) -> None:
        self.routers: dict[int, Router] = {}

    def batch(self, now: int, lines: list[WireLine]) -> list[str]:
        replies: list[str] = []
        queue: dict[int, list[Event]] = {}
        walk = iter(lines)
        for f in walk:
            instance = f.whole(1, "i")
            if f.parts[0] == "ENLIST":
                try:
                    settings = read_settings(Pairs.of_words(f.parts[3:]))
                except SettingError as error:
                    raise WireError(f"line {f.number}: {error}") from None
                self.routers[instance] = Router(settings, f.whole(2, "entropy"), now)
                queue[instance] = []
            elif f.parts[0] == "KILL":
                self.routers.pop(instance, None)
                queue.pop(instance, None)
            else:
                event = read_event(f, walk)
                if event is None:
                    continue
                if instance not in self.routers:
                    raise f.fail("i (unknown instance)")
                queue.setdefault(instance, []).append(event)
        for instance, events in queue.items():
            replies += self.ask(instance, now, events)
        return replies

    def ask(self, instance: int, now: int, events: list[Event]) -> list[str]:
        try:
            return [write_action(instance, a) for a in self.routers[instance].handle(now, events)]
        except Exception as error:
            traceback.print_exc(file=sys.stderr)
            return [f"PANIC {instance} {' '.join(f'{type(error).__name__}: {error}'.split())}"]


def serve(source: TextIO, sink: TextIO) -> None:
    drill, batch, now = SimulatorAdapter(), list[WireLine](), -1
    for number, raw in enumerate(source, 1):
        line = raw.rstrip("\r\n")
        if not line:
            continue
        f = WireLine(line, number)
        if f.parts[0] == "BATCH":
            batch, now = [], f.whole(1, "clock")
        elif f.parts[0] == "FLUSH":
            if now < 0:
                raise WireError(f"line {number}: 'FLUSH' without 'BATCH'")
            sink.write("".join(reply + "\n" for reply in drill.batch(now, batch)) + "READY\n")
            sink.flush()
            now = -1
        elif now < 0:
            raise WireError(f"line {number}: {f.parts[0]!r} outside a batch")
        else:
            batch.append(f)


def main() -> int:
    sys.stdin.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    try:
        serve(sys.stdin, sys.stdout)
    except WireError as error:
        print(f"onyxwick.simulator_adapter: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
