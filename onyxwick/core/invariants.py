"""The rules of service as run-time checks, fed by the places that send, repeat, answer and close. No I/O.

Each check goes by what it was told alone, not by the tables of the guards that keep the rule, and never
changes what is served. A violation names the rule, the request, the attempt or connection and the cause;
`report` counts and logs it. Times in steady microseconds; tables are bounded by what is open, listed or
settling.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from functools import wraps
from typing import Concatenate, ParamSpec

from onyxwick.interface import (
    EndpointListKind,
    EndpointsChanged,
    Idempotency,
    Member,
    MemberState,
    RouterSettings,
    WeightSource,
)

DEPARTED_US = 100_000
"""An attempt that begins later than this after its client has left is a lost request."""
TIME_TOLD_US = 150_000
"""By how much the time told to a server may exceed what the client has left."""
LATE_US = 500_000
"""An answer later than this after the request's time is none."""
SOCKET_SLACK_US = 50_000
"""By which each time limit is longer on sockets."""
RECENT_US = 2_000_000
"""4 s after a drain's call no connection may be open with a request younger than this, or idle."""
FEW, FEW_ROOTS, ROOTS = 30, 3, 2
"""Of the slow-start budget: N + 2 x root of N + 2; with N under 30, N + 3 x root of N + 3."""
MOST_SENDS = 4096
"""Sends to one recovering server that are remembered."""


class InvariantRule(Enum):
    """What must hold on every path."""

    SENT_FOR_DEPARTED = "sent_for_departed"
    SENT_AFTER_ANSWER = "sent_after_answer"
    SENT_TO_UNREADY = "sent_to_unready"
    SENT_OVER_PURGE = "sent_over_purge"
    REPEATED_UNSAFELY = "repeated_unsafely"
    TIME_TOLD = "time_told"
    SLOW_START = "slow_start"
    SECOND_ANSWER = "second_answer"
    NO_ANSWER = "no_answer"
    LATE_ANSWER = "late_answer"
    CLOSED_OWING = "closed_owing"
    COMMAND_UNWRITTEN = "command_unwritten"
    HELD_IN_DRAIN = "held_in_drain"
    ANSWER_CUT = "answer_cut"
    OUTLIVED_KILL = "outlived_kill"
    CHECK_FAILED = "check_failed"  # a check could not be made, for a fault of its own


@dataclass(frozen=True, slots=True)
class Violation:
    """One breach: the rule, whose, and the facts that prove it."""

    rule: InvariantRule
    cause: str
    request: str = ""
    attempt: int = -1
    connection: int = -1
    member: str = ""


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """The first bytes of an attempt have gone out. `left_us`: of the time that its server was told;
    `accept_us`: the oldest copy that will do, 0 where the class's own lifetime holds."""

    request: str
    number: int
    member: str
    source: str | None
    accept_us: int
    left_us: int


@dataclass(slots=True)
class _Request:
    class_name: str
    group: int | None
    object: str
    deadline_us: int
    taken_at: int
    departed_at: int = 0
    answered_at: int = 0
    begun: dict[int, int] = field(default_factory=dict)  # attempts that may have run: since when


@dataclass(slots=True)
class _Server:
    info: Member
    unready_since: int = 0
    sends: deque[tuple[int, float]] | None = None  # while it recovers: when, and how many of mean work


def budget(allowed: float) -> float:
    """Requests that a recovering server bears where the settings allow it `allowed`."""
    roots = FEW_ROOTS if allowed < FEW else ROOTS
    return allowed + roots * math.sqrt(max(0.0, allowed)) + roots


Arguments = ParamSpec("Arguments")


def _contained(
    check: Callable[Concatenate[Invariants, Arguments], None],
) -> Callable[Concatenate[Invariants, Arguments], None]:
    """A fault of a check itself is a violation too, and changes nothing of what is served."""

    @wraps(check)
    def contained(self: Invariants, /, *args: Arguments.args, **kwargs: Arguments.kwargs) -> None:
        try:
            check(self, *args, **kwargs)
        except Exception as error:
            self.report(Violation(InvariantRule.CHECK_FAILED, f"{check.__name__}: {error!r}"))

    return contained


class Invariants:
    """All checks of one director. `work_us`: mean sending time by class, as far as known."""

    def __init__(
        self,
        settings: RouterSettings,
        report: Callable[[Violation], None],
        work_us: Callable[[], Mapping[str, float]] = dict,
    ) -> None:
        self.settings, self.rules, self.report, self.work_us = settings, settings.rules, report, work_us
        self.classes = {c.name: c for c in settings.classes}
        self.requests: dict[str, _Request] = {}
        self.servers: dict[str, _Server] = {}
        self.removed: dict[str, int] = {}  # servers that have left the list: since when
        self.purges: dict[tuple[int | None, str | None], tuple[int, int]] = {}  # made and received

    # ---- what is known -----------------------------------------------------------------------------------

    @_contained
    def list_changed(self, event: EndpointsChanged, now: int) -> None:
        """The list was received, whole or in part, as the director is to see it."""
        if event.kind is EndpointListKind.UNAVAILABLE:
            return
        if event.kind is not EndpointListKind.CHANGE:
            named = {m.address for m in event.members}
            for name in [name for name in self.servers if name not in named]:
                self._remove(name, now)
        for m in event.members:
            if m.state is MemberState.REMOVED:
                self._remove(m.address, now)
                continue
            server = self.servers.get(m.address)
            if server is None:
                server = self.servers[m.address] = _Server(m)
                self.removed.pop(m.address, None)
            elif m.started_at_us != server.info.started_at_us:
                server.sends = None
            server.info = m
            server.unready_since = 0 if m.state is MemberState.READY else server.unready_since or now

    def _remove(self, name: str, now: int) -> None:
        if self.servers.pop(name, None) is not None:
            self.removed[name] = now
            while len(self.removed) > MOST_SENDS:
                del self.removed[next(iter(self.removed))]

    @_contained
    def purged(self, group: int, name: str | None, made: int, now: int) -> None:
        """A purge of one object or of a group was received, which was made then."""
        key = (group, None) if name is None else (None, name)
        before = self.purges.pop(key, (0, 0))
        self.purges[key] = max(made, before[0]), now
        oldest = next(iter(self.purges))
        while self.purges[oldest][1] < now - 2 * self.rules.purge_retention_us:
            del self.purges[oldest]
            oldest = next(iter(self.purges))

    # ---- requests ----------------------------------------------------------------------------------------

    @_contained
    def request_started(
        self, request: str, class_name: str, group: int | None, name: str, deadline_us: int, now: int
    ) -> None:
        """A request was taken: from now on it is owed one final answer."""
        self.requests[request] = _Request(class_name, group, name, deadline_us, now)

    @_contained
    def client_departed(self, request: str, now: int) -> None:
        """Its client has closed or cancelled; it is owed no answer."""
        if (known := self.requests.get(request)) is not None and not known.departed_at:
            known.departed_at = now

    @_contained
    def answered(self, request: str, now: int) -> None:
        """Its final answer was given to its connection."""
        known = self.requests.get(request)
        if known is None:
            return
        if known.answered_at:
            self._broken(
                InvariantRule.SECOND_ANSWER, f"{now - known.answered_at} us after the first", request
            )
        known.answered_at = now
        due = max(known.deadline_us, known.taken_at)  # one that came too late is answered at once
        if now > due + LATE_US:
            self._broken(InvariantRule.LATE_ANSWER, f"{now - due} us after its time", request)

    @_contained
    def request_ended(self, request: str) -> None:
        """Nothing more will come of it."""
        known = self.requests.pop(request, None)
        if known is not None and not known.answered_at and not known.departed_at:
            self._broken(
                InvariantRule.NO_ANSWER, "it ended with neither an answer nor its client's leaving", request
            )

    @_contained
    def connection_closed(self, connection: int, owed: int, by_client: bool) -> None:
        """A client's connection is closed while so many answers are owed on it."""
        if owed and not by_client:
            cause = f"{owed} answers were owed"
            self.report(Violation(InvariantRule.CLOSED_OWING, cause, connection=connection))

    # ---- endings -----------------------------------------------------------------------------------------

    @_contained
    def held_in_drain(self, connection: int, youngest_us: int | None) -> None:
        """A connection is open when a drain has had its time. `youngest_us`: the age of its youngest request
        that waits for an answer; None: it is idle."""
        if youngest_us is None or youngest_us < RECENT_US:
            cause = "idle" if youngest_us is None else f"its youngest request came {youngest_us} us ago"
            self.report(Violation(InvariantRule.HELD_IN_DRAIN, cause, connection=connection))

    @_contained
    def answer_cut(self, connection: int, on_its_way: int) -> None:
        """The director closes a connection with bytes of answers on their way, before its last stage."""
        self.report(
            Violation(
                InvariantRule.ANSWER_CUT, f"{on_its_way} bytes were on their way", connection=connection
            )
        )

    @_contained
    def process_ended(self, after_us: int, kill_after_us: int) -> None:
        """The process ends so long after it was told to; SIGKILL may come after `kill_after_us`."""
        if after_us > kill_after_us:
            cause = f"{after_us} us after SIGTERM, {kill_after_us} us are allowed"
            self.report(Violation(InvariantRule.OUTLIVED_KILL, cause))

    # ---- attempts ----------------------------------------------------------------------------------------

    @_contained
    def attempt_begun(self, begun: AttemptStarted, now: int) -> None:
        """The first bytes of an attempt have gone out."""
        known = self.requests.get(begun.request)
        if known is None:
            return
        self._check_wanted(known, begun, now)
        self._check_ready(begun, now)
        self._check_purges(known, begun, now)
        self._check_repeat(known, begun, now)
        left = known.deadline_us - now
        if begun.left_us > left + TIME_TOLD_US:
            self._broken_by(InvariantRule.TIME_TOLD, f"told {begun.left_us} us, {left} us are left", begun)
        self._check_slow_start(known, begun, now)
        known.begun.setdefault(begun.number, now)

    @_contained
    def attempt_ended(self, request: str, number: int, proves_unrun: bool) -> None:
        """An attempt has ended; `proves_unrun`: for certain it never ran."""
        known = self.requests.get(request)
        if known is not None and proves_unrun:
            known.begun.pop(number, None)

    def _check_wanted(self, known: _Request, begun: AttemptStarted, now: int) -> None:
        if known.departed_at and now - known.departed_at > DEPARTED_US:
            cause = f"{now - known.departed_at} us after its client left"
            self._broken_by(InvariantRule.SENT_FOR_DEPARTED, cause, begun)
        if known.answered_at:
            cause = f"{now - known.answered_at} us after its final answer"
            self._broken_by(InvariantRule.SENT_AFTER_ANSWER, cause, begun)

    def _check_ready(self, begun: AttemptStarted, now: int) -> None:
        for name in (begun.member, begun.source):
            if name is None:
                continue
            server = self.servers.get(name)
            since = self.removed.get(name, 0) if server is None else server.unready_since
            late = now - since
            if since and late > self.rules.drain_grace_us + SOCKET_SLACK_US:
                self._broken_by(
                    InvariantRule.SENT_TO_UNREADY, f"{name} is draining or gone for {late} us", begun
                )

    def _check_purges(self, known: _Request, begun: AttemptStarted, now: int) -> None:
        kind = self.classes.get(known.class_name)
        if kind is None or kind.is_write or begun.member not in self.servers:
            return
        if self.servers[begun.member].info.kind == self.settings.origin_kind:
            return
        accepted = begun.accept_us or kind.freshness_lifetime_us or now
        for key in ((known.group, None), (None, known.object)):
            made, received = self.purges.get(key, (0, 0))
            bound = received + self.rules.purge_grace_us + SOCKET_SLACK_US
            settled = made + self.rules.purge_retention_us  # caches have done it by themselves then
            if made and bound < now < settled and now - accepted < made - SOCKET_SLACK_US:
                cause = f"copies of {accepted} us would do, it was purged {now - made} us ago"
                self._broken_by(InvariantRule.SENT_OVER_PURGE, cause, begun)

    def _check_repeat(self, known: _Request, begun: AttemptStarted, now: int) -> None:
        kind = self.classes.get(known.class_name)
        others = [at for number, at in known.begun.items() if number != begun.number]
        if kind is None or kind.idempotency is Idempotency.IDEMPOTENT or not others:
            return
        if kind.idempotency is Idempotency.NON_IDEMPOTENT or now - min(others) > kind.key_window_us:
            cause = f"an attempt that may have run began {now - min(others)} us ago"
            self._broken_by(InvariantRule.REPEATED_UNSAFELY, cause, begun)

    def _check_slow_start(self, known: _Request, begun: AttemptStarted, now: int) -> None:
        for name in {begun.member, begun.source}:
            server = self.servers.get(name) if name is not None else None
            if (
                server is not None
                and server.info.started_at_us
                and self.settings.weight_source != WeightSource.NONE
            ):
                self._count_send(server, known.class_name, begun, now)

    def _count_send(self, server: _Server, class_name: str, begun: AttemptStarted, now: int) -> None:
        rules, m = self.rules, server.info
        parent = m.kind == self.settings.parent_kind
        start, rise = (
            (rules.parent_warm_up_start_share, rules.parent_warm_up_us)
            if parent
            else (rules.warm_up_start_share, rules.warm_up_us)
        )
        age = now - m.started_at_us
        work = self.work_us()
        if age >= rise or not work or m.weight <= 0 or m.kind == self.settings.origin_kind:
            server.sends = None
            return
        mean = sum(work.values()) / len(work)
        sends = server.sends
        if sends is None:
            sends = server.sends = deque(maxlen=MOST_SENDS)
        while sends and sends[0][0] <= now - rules.overload_window_us:
            sends.popleft()
        sends.append((now, work.get(class_name, mean) / mean))
        share = start + (1 - start) * max(0, age) / rise
        multiple = rules.parent_overload_multiple if parent else rules.overload_multiple
        allowed = multiple * share * m.weight * rules.overload_window_us / mean
        got = sum(cost for _, cost in sends)
        if got > budget(allowed):
            cause = f"{got:.1f} requests of mean work in the window, {allowed:.1f} are allowed"
            self._broken_by(InvariantRule.SLOW_START, cause, begun)

    # ---- what was promised to operators ------------------------------------------------------------------

    @_contained
    def commands_written(self, ordered: int, written: int) -> None:
        """The operators' file takes writes: versions of what was ordered and of what stands in it."""
        if written < ordered:
            cause = f"version {written} is written, {ordered} was ordered"
            self.report(Violation(InvariantRule.COMMAND_UNWRITTEN, cause))

    def _broken(self, rule: InvariantRule, cause: str, request: str) -> None:
        self.report(Violation(rule, cause, request))

    def _broken_by(self, rule: InvariantRule, cause: str, begun: AttemptStarted) -> None:
        self.report(Violation(rule, cause, begun.request, begun.number, member=begun.member))
