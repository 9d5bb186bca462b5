"""The publisher: takes events in, numbers them, purges and lists before documents.

Documents are sent in parts at a stated rate, so that they neither delay purges nor exceed what a director may
receive. Of a document only its newest version is worth sending: a newer one displaces what is still queued.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass

from onyxwick.distribution.codec import encode_event
from onyxwick.distribution.documents import digest_of, split
from onyxwick.distribution.model import (
    MAX_DOCUMENTS,
    MAX_LINE_BYTES,
    PART_BYTES,
    CacheListChange,
    Cursor,
    DocumentPart,
    FeedEvent,
    Payload,
    PublishRefusedError,
    PurgeEvent,
)
from onyxwick.distribution.replica import MAX_PURGES, Replica

S_US = 1_000_000


@dataclass(frozen=True, slots=True)
class PublisherLimits:
    """`bulk_bytes_per_s`: of documents, per follower; `purges`: held as binding at once, at most;
    `future_ms`: how far ahead of this clock a purge may be dated."""

    bulk_bytes_per_s: float = 8_000.0
    bulk_burst_bytes: float = 49_152.0
    queued: int = 16_384
    purges: int = MAX_PURGES // 2
    future_ms: int = 60_000


class Publisher:
    """Numbers events for one replica, of which it is the only writer."""

    def __init__(self, replica: Replica, now: int, limits: PublisherLimits | None = None) -> None:
        self.replica, self.limits = replica, limits or PublisherLimits()
        self.urgent: deque[PurgeEvent | CacheListChange] = deque()
        self.bulk: deque[DocumentPart] = deque()
        self.counts: Counter[str] = Counter()
        self._versions: dict[str, tuple[int, str]] = {}  # of queued documents: version and digest
        self._allowance, self._filled_at = self.limits.bulk_burst_bytes, now

    def submit(self, payload: PurgeEvent | CacheListChange, now_ms: int) -> None:
        """Queue a purge or a change of the list; PublishRefusedError (and nothing queued) over a bound."""
        if len(self.urgent) >= self.limits.queued:
            raise self._refuse("queue", f"{len(self.urgent)} events are queued, {self.limits.queued} at most")
        if isinstance(payload, PurgeEvent):
            self._check_purge(payload, now_ms)
        self.urgent.append(payload)

    def submit_document(self, name: str, text: str) -> int:
        """Queue a document's newest text; its version. The text that is newest already is not sent again."""
        digest = digest_of(text)
        version, newest = self._newest(name)
        if digest == newest:
            return version
        if version == 0 and len(self.replica.state.documents) + len(self._versions) >= MAX_DOCUMENTS:
            raise self._refuse("documents", f"{MAX_DOCUMENTS} documents at most")
        parts = split(name, version + 1, text)
        self._displace(name)
        self.bulk.extend(parts)
        self._versions[name] = version + 1, digest
        return version + 1

    def due(self, now: int) -> list[FeedEvent]:
        """Number what may be sent now, in its order. The caller makes the events durable, applies them to the
        replica and only then announces them."""
        cursor, out = self.replica.cursor, list[FeedEvent]()
        for payload in self._next_payloads(now):
            cursor = cursor.following()
            out.append(encode_event(cursor, payload))
        return out

    def next_due_us(self, now: int) -> int | None:
        """How long until more of the queue may be sent; None where it is empty."""
        if self.urgent:
            return 0
        if not self.bulk:
            return None
        missing = self._cost(self.bulk[0]) - self._allowed(now)
        return max(0, int(missing / self.limits.bulk_bytes_per_s * S_US) + 1)

    def _check_purge(self, purge: PurgeEvent, now_ms: int) -> None:
        if purge.unix_ms > now_ms + self.limits.future_ms:
            raise self._refuse("future", f"purge dated {purge.unix_ms - now_ms} ms in the future")
        table = self.replica.state.purges
        table.expire(now_ms)
        if len(table) + len(self.urgent) >= self.limits.purges and purge.key not in table.times:
            raise self._refuse("purges", f"{self.limits.purges} purges are binding, no more at once")

    def _refuse(self, bound: str, text: str) -> PublishRefusedError:
        self.counts[f"refused.{bound}"] += 1
        return PublishRefusedError(text)

    def _newest(self, name: str) -> tuple[int, str]:
        if name in self._versions:
            return self._versions[name]
        held = self.replica.state.documents.get(name)
        return (held.version, held.digest) if held is not None else (0, "")

    def _displace(self, name: str) -> None:
        if any(part.name == name for part in self.bulk):
            self.counts["displaced"] += 1
            self.bulk = deque(part for part in self.bulk if part.name != name)

    def _next_payloads(self, now: int) -> list[Payload]:
        out: list[Payload] = list(self.urgent)
        self.urgent.clear()
        allowed = self._allowed(now)
        while self.bulk and self._cost(self.bulk[0]) <= allowed:
            part = self.bulk.popleft()
            allowed -= self._cost(part)
            out.append(part)
            if part.part + 1 == part.parts:
                self._versions.pop(part.name, None)
        self._allowance, self._filled_at = allowed, now
        return out

    def _allowed(self, now: int) -> float:
        """Bytes of documents that may be sent now: a token bucket."""
        earned = (now - self._filled_at) / S_US * self.limits.bulk_bytes_per_s
        return min(self.limits.bulk_burst_bytes, self._allowance + earned)

    @staticmethod
    def _cost(part: DocumentPart) -> float:
        return float(len(part.text.encode()))


def new_history(unix_s: int, earlier: int = 0) -> Cursor:
    """The cursor before the first event of a new history, which is later than an earlier one."""
    return Cursor(max(unix_s, earlier + 1), 0)


assert PART_BYTES * 2 < MAX_LINE_BYTES, "a part has to fit into a line with every character escaped"
