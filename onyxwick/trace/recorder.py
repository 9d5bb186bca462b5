"""The lives of requests as they go on, and blocks of those that have ended. No I/O, no clock of its own.

A request is recorded whole, when its last attempt has ended, or not at all. What cannot be taken is counted.
"""

from __future__ import annotations

from array import array
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from onyxwick.interface import AttemptEnded, AttemptStatus, ForwardRequest, ForwardWithFill, RequestArrived
from onyxwick.trace import format as f
from onyxwick.trace.model import (
    ATTEMPTS,
    LIVES,
    NEVER,
    ONCE,
    OPEN_STATUS,
    RETRY,
    STATUSES,
    WRITE,
    DecisionReason,
    NotificationKind,
    RecordedVerdict,
)

BLOCK_LIVES = 4096  # in one block
BLOCK_US = 1_000_000  # a block is closed after so long, so that little is lost in a crash
MOST_OPEN = 8192  # requests under way that are recorded
MOST_ATTEMPTS = 64  # of one request
MOST_TOLD = 4096  # events of one block
STRINGS_FULL = 60_000
STATUS_NUMBER = {status: STATUSES.index(status.value) for status in AttemptStatus}
U16, U32 = 0xFFFF, 0xFFFFFFFF


@dataclass(slots=True)
class MemberBelief:
    """What was believed of a member when it was chosen."""

    why: int = DecisionReason.UNKNOWN
    pending: int = 0
    room: float = 0.0
    failing: float = 0.0
    warm: float = 1.0


@dataclass(slots=True)
class RecordedAttempt:
    """One attempt."""

    member: str
    source: str
    rank: int
    flags: int
    age_ms: int
    decided: int
    belief: MemberBelief
    sent: int = NEVER
    ended: int = NEVER
    cancel: int = NEVER
    status: int = OPEN_STATUS
    detail: int = 0
    dated: int = 0


@dataclass(slots=True)
class RecordedRequest:
    """One request under way."""

    ask: RequestArrived
    at: int
    cell: str
    once: bool
    tries: list[RecordedAttempt] = field(default_factory=list)
    verdict: int = RecordedVerdict.OPEN
    why: int = DecisionReason.UNKNOWN
    took: int = 0
    after: int = 0
    bytes: int = 0
    job: Any = None  # the module's own, for the cause of the end


def number(name: str) -> int:
    """16 hex digits as a number; any other name by its hash, as all names here are made of such digits."""
    try:
        return int(name, 16) & 0xFFFFFFFFFFFFFFFF
    except ValueError:
        return f.mix64(hash_text(name))


def hash_text(text: str) -> int:
    out = 0xCBF29CE484222325
    for byte in text.encode():  # FNV-1a: the same on every machine, unlike hash()
        out = ((out ^ byte) * 0x100000001B3) & 0xFFFFFFFFFFFFFFFF
    return out


class RecordedBlock:
    """Columns as they fill."""

    def __init__(self, now: int) -> None:
        self.begun = now
        self.lives, self.attempts = f.columns(LIVES), f.columns(ATTEMPTS)
        self.strings: dict[str, int] = {"": 0}
        self.told: list[tuple[int, int, dict[str, Any]]] = []
        self.head = f.BlockHead()
        self.seen: tuple[set[str], set[str], set[str], set[str]] = (set(), set(), set(), set())

    def text(self, value: str) -> int:
        place = self.strings.get(value)
        if place is None:
            place = self.strings[value] = len(self.strings)
        return place

    def add(self, story: RecordedRequest) -> None:
        ask, head = story.ask, self.head
        request, name = number(ask.request_id), number(ask.object_id)
        head.first = min(head.first or story.at, story.at)
        head.last = max(head.last, story.at + story.took)
        head.verdicts |= 1 << story.verdict
        classes, tenants, cells, members = self.seen
        classes.add(ask.class_name)
        tenants.add(ask.tenant or "")
        cells.add(story.cell)
        flags = RETRY * ask.is_retry | WRITE * ask.is_write | ONCE * story.once
        row = (
            request,
            story.at,
            min(U32, ask.expires_in_us),
            self.text(ask.class_name),
            self.text(ask.tenant or ""),
            self.text(story.cell),
            name,
            min(U16, ask.part),
            -1 if ask.object_group is None else min(32767, ask.object_group),
            flags,
            story.verdict,
            story.why,
            min(U32, story.took),
            min(U32, story.after),
            min(U32, story.bytes),
            0,
            len(story.tries),
        )
        for column, value in zip(self.lives.values(), row, strict=True):
            column.append(value)
        for one in story.tries:
            members.add(one.member)
            self._add_try(one)

    def _add_try(self, one: RecordedAttempt) -> None:
        belief = one.belief
        row = (
            one.decided,
            one.sent,
            one.ended,
            one.cancel,
            self.text(one.member),
            self.text(one.source),
            one.rank,
            one.flags,
            min(U32, one.age_ms),
            one.status,
            one.detail,
            belief.why,
            min(U16, belief.pending),
            min(255, int(belief.room * 50)),
            min(255, int(belief.failing * 255)),
            min(255, int(belief.warm * 255)),
            one.dated,
        )
        for column, value in zip(self.attempts.values(), row, strict=True):
            column.append(value)

    def _bloom(self) -> bytes:
        return f.bloom_of([*self.lives["id"], *self.lives["object"]]) if self.lives["id"] else b""

    def sealed(self) -> tuple[f.BlockHead, bytes]:
        """Head and frame. What this costs is the writer's, not the request's."""
        head = self.head
        head.lives, head.attempts = len(self.lives["id"]), len(self.attempts["sent"])
        head.classes, head.tenants, head.cells, head.members = (sorted(names) for names in self.seen)
        head.bloom, head.told = self._bloom(), len(self.told)
        if self.told:
            head.first = min([head.first or self.told[0][1], *(at for _, at, _ in self.told)])
            head.last = max([head.last, *(at for _, at, _ in self.told)])
        body = f.BlockBody(list(self.strings), _bytes(self.lives), _bytes(self.attempts), self.told)
        return head, f.frame(f.BLOCK, f.encode(head), f.encode(body))


def _bytes(columns: dict[str, array[int]]) -> dict[str, bytes]:
    return {name: column.tobytes() for name, column in columns.items()}


class Recorder:
    """Takes note of what a core does. `full` gets blocks that are to be written; False: it has no room."""

    def __init__(
        self, now: int, full: Callable[[RecordedBlock], bool], once: frozenset[str] = frozenset()
    ) -> None:
        self.full, self.once = full, once
        self.stories: dict[str, RecordedRequest] = {}
        self.block = RecordedBlock(now)
        self.dropped = 0

    # ---- what happens -----------------------------------------------------------------------------------

    def arrived(self, now: int, ask: RequestArrived, cell: str = "") -> None:
        if len(self.stories) >= MOST_OPEN or ask.request_id in self.stories:
            self.dropped += 1
            return
        self.stories[ask.request_id] = RecordedRequest(ask, now, cell, ask.class_name in self.once)

    def decided(self, now: int, action: ForwardRequest | ForwardWithFill, belief: MemberBelief) -> None:
        story = self.stories.get(action.request_id)
        if story is None:
            return
        if len(story.tries) >= MOST_ATTEMPTS:
            del self.stories[action.request_id]  # whole or not at all
            self.dropped += 1
            return
        after = min(now - story.at, NEVER - 1)
        if isinstance(action, ForwardRequest):
            story.tries.append(RecordedAttempt(action.member, "", 0, 0, 0, after, belief))
            return
        source = "" if action.fill_source == action.member else action.fill_source
        age = action.max_age_us // 1000
        story.tries.append(
            RecordedAttempt(
                action.member, source, action.retention_rank, int(action.fill_options), age, after, belief
            )
        )

    def sent(self, request: str, attempt: int, at: int) -> None:
        """The first byte of an attempt has gone out."""
        story = self.stories.get(request)
        if story is None or not 0 <= attempt < len(story.tries):
            return
        story.tries[attempt].sent = max(0, min(at - story.at, NEVER - 1))

    def note_once(self, now: int, request: str, member: str) -> None:
        """A write that must not run twice is about to be sent: told at once, for the case of a crash."""
        story = self.stories.get(request)
        if story is not None and story.once:
            self.told(
                now,
                NotificationKind.SENT,
                {"id": number(request), "member": member, "class": story.ask.class_name},
            )

    def cancelled(self, now: int, request: str, attempt: int) -> None:
        story = self.stories.get(request)
        if story is not None and 0 <= attempt < len(story.tries):
            story.tries[attempt].cancel = min(now - story.at, NEVER - 1)

    def ended(self, now: int, event: AttemptEnded, dated_us: int) -> None:
        story = self.stories.get(event.request_id)
        if story is None or not 0 <= event.attempt_index < len(story.tries):
            return
        one = story.tries[event.attempt_index]
        one.ended, one.status = min(now - story.at, NEVER - 1), STATUS_NUMBER[event.status]
        one.detail, one.dated = event.detail.value, dated_us
        self._close(now, event.request_id, story)

    def finished(
        self, now: int, request: str, verdict: RecordedVerdict, why: DecisionReason, after: int, size: int
    ) -> None:
        """The final answer, or the client's leaving; only the first of them counts."""
        story = self.stories.get(request)
        if story is None or story.verdict:
            return
        story.verdict, story.why, story.took = verdict, why, max(0, now - story.at)
        story.after, story.bytes = after, size
        self._close(now, request, story)

    def told(self, now: int, kind: NotificationKind, data: dict[str, Any]) -> None:
        if len(self.block.told) >= MOST_TOLD:
            self.flush(now)
        if len(self.block.told) < MOST_TOLD:
            self.block.told.append((int(kind), now, data))

    # ---- blocks -----------------------------------------------------------------------------------------

    def _close(self, now: int, request: str, story: RecordedRequest) -> None:
        if story.verdict and all(one.status != OPEN_STATUS for one in story.tries):
            del self.stories[request]
            self.block.add(story)
            if len(self.block.lives["id"]) >= BLOCK_LIVES or len(self.block.strings) >= STRINGS_FULL:
                self.flush(now)

    def tick(self, now: int) -> None:
        """Called from time to time: closes a block that is old enough."""
        if now - self.block.begun >= BLOCK_US:
            self.flush(now)

    def flush(self, now: int) -> None:
        block = self.block
        if not block.lives["id"] and not block.told and not self.dropped:
            block.begun = now
            return
        block.head.open, block.head.dropped = len(self.stories), self.dropped
        if self.full(block):
            self.dropped, self.block = 0, RecordedBlock(now)
        else:  # the writer is behind: these are left out whole, and the next block says how many
            self.dropped += len(block.lives["id"])
            told = block.told
            self.block = RecordedBlock(now)
            self.block.told = told[-MOST_TOLD:]

    def finish(self, now: int) -> None:
        """At the end, what is under way is recorded as open."""
        for request, story in list(self.stories.items()):
            story.took = story.took or max(0, now - story.at)
            del self.stories[request]
            self.block.add(story)
        self.told(now, NotificationKind.STOP, {})
        self.flush(now)
