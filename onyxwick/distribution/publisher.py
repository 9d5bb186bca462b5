"""The publisher: queues events and numbers them, with purges and lists before documents.

Documents are sent in parts at a configured rate, so that they neither delay purges nor exceed the rate at
which a director may receive them. Only the newest version of a document has to be sent: it replaces queued
parts of an older version. Times are in microseconds, except where a name ends in `_ms`.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass
from typing import NamedTuple

from onyxwick.distribution.codec import encode_event
from onyxwick.distribution.documents import document_digest, split_document
from onyxwick.distribution.model import (
    MAX_DOCUMENTS,
    MAX_LINE_BYTES,
    MAX_PART_BYTES,
    US_PER_S,
    CacheListChange,
    Cursor,
    DocumentPart,
    FeedEvent,
    Payload,
    PublishRejectedError,
    PurgeEvent,
)
from onyxwick.distribution.replica import MAX_PURGES, Replica


@dataclass(frozen=True, slots=True)
class PublisherLimits:
    """Limits of a publisher.

    `bulk_bytes_per_s` is the rate at which each follower is sent documents; `max_purges` is how many
    purges may be in effect at the same time; `max_future_ms` is how far ahead of the publisher's clock a
    purge may be dated.
    """

    bulk_bytes_per_s: float = 8_000.0
    bulk_burst_bytes: float = 49_152.0
    max_queued: int = 16_384
    max_purges: int = MAX_PURGES // 2
    max_future_ms: int = 60_000


class DocumentVersion(NamedTuple):
    """A version of a document and the digest of its text; version 0 if the document does not exist."""

    version: int
    digest: str


class Publisher:
    """Numbers the events of one replica. It is the only writer of that replica."""

    def __init__(self, replica: Replica, now: int, limits: PublisherLimits | None = None) -> None:
        self.replica = replica
        self.limits = limits or PublisherLimits()
        self.urgent_queue: deque[PurgeEvent | CacheListChange] = deque()
        self.document_queue: deque[DocumentPart] = deque()
        self.counts: Counter[str] = Counter()
        self._queued_versions: dict[str, DocumentVersion] = {}
        self._allowance_bytes = self.limits.bulk_burst_bytes
        self._refilled_at_us = now

    def submit(self, payload: PurgeEvent | CacheListChange, now_ms: int) -> None:
        """Queue a purge or a change of the list of caches.

        Raises PublishRejectedError and queues nothing if a limit is exceeded.
        """
        queued = len(self.urgent_queue)
        if queued >= self.limits.max_queued:
            raise self._reject(
                "queue", f"{queued} events are queued, at most {self.limits.max_queued} are allowed"
            )
        if isinstance(payload, PurgeEvent):
            self._check_purge(payload, now_ms)
        self.urgent_queue.append(payload)

    def submit_document(self, name: str, text: str) -> int:
        """Queue the newest text of a document and return its version.

        A text that equals the newest version is not sent again. Raises PublishRejectedError if there are too
        many documents or the document is too large.
        """
        digest = document_digest(text)
        newest = self._newest_version(name)
        if digest == newest.digest:
            return newest.version
        known = len(self.replica.state.documents) + len(self._queued_versions)
        if newest.version == 0 and known >= MAX_DOCUMENTS:
            raise self._reject("documents", f"{MAX_DOCUMENTS} documents exist, no more are accepted")
        version = newest.version + 1
        parts = split_document(name, version, text)
        self._preempt(name)
        self.document_queue.extend(parts)
        self._queued_versions[name] = DocumentVersion(version, digest)
        return version

    def take_due_events(self, now: int) -> list[FeedEvent]:
        """Number the events that may be sent now and return them in order.

        The caller makes the events durable, applies them to the replica and only then announces them.
        """
        cursor = self.replica.cursor
        events = []
        for payload in self._take_due_payloads(now):
            cursor = cursor.following()
            events.append(encode_event(cursor, payload))
        return events

    def next_due_in_us(self, now: int) -> int | None:
        """Return the time until the next queued event may be sent, or None if nothing is queued."""
        if self.urgent_queue:
            return 0
        if not self.document_queue:
            return None
        missing_bytes = _part_bytes(self.document_queue[0]) - self._allowed_bytes(now)
        return max(0, int(missing_bytes / self.limits.bulk_bytes_per_s * US_PER_S) + 1)

    def _check_purge(self, purge: PurgeEvent, now_ms: int) -> None:
        if purge.unix_ms > now_ms + self.limits.max_future_ms:
            raise self._reject("future", f"purge is dated {purge.unix_ms - now_ms} ms in the future")
        table = self.replica.state.purges
        table.expire(now_ms)
        is_new = purge.key not in table.unix_ms_by_key
        if is_new and len(table) + len(self.urgent_queue) >= self.limits.max_purges:
            raise self._reject(
                "purges", f"{self.limits.max_purges} purges are in effect, no more are accepted"
            )

    def _reject(self, bound: str, text: str) -> PublishRejectedError:
        self.counts[f"refused.{bound}"] += 1
        return PublishRejectedError(text)

    def _newest_version(self, name: str) -> DocumentVersion:
        if name in self._queued_versions:
            return self._queued_versions[name]
        published = self.replica.state.documents.get(name)
        if published is None:
            return DocumentVersion(0, "")
        return DocumentVersion(published.version, published.digest)

    def _preempt(self, name: str) -> None:
        """Drop queued parts of an older version of a document."""
        if any(part.name == name for part in self.document_queue):
            self.counts["displaced"] += 1
            self.document_queue = deque(part for part in self.document_queue if part.name != name)

    def _take_due_payloads(self, now: int) -> list[Payload]:
        payloads: list[Payload] = list(self.urgent_queue)
        self.urgent_queue.clear()
        allowed_bytes = self._allowed_bytes(now)
        while self.document_queue and _part_bytes(self.document_queue[0]) <= allowed_bytes:
            part = self.document_queue.popleft()
            allowed_bytes -= _part_bytes(part)
            payloads.append(part)
            if part.number + 1 == part.part_count:
                self._queued_versions.pop(part.name, None)
        self._allowance_bytes = allowed_bytes
        self._refilled_at_us = now
        return payloads

    def _allowed_bytes(self, now: int) -> float:
        """Return how many bytes of documents the token bucket allows to be sent now."""
        refilled_bytes = (now - self._refilled_at_us) / US_PER_S * self.limits.bulk_bytes_per_s
        return min(self.limits.bulk_burst_bytes, self._allowance_bytes + refilled_bytes)


def _part_bytes(part: DocumentPart) -> float:
    return float(len(part.text.encode()))


def new_history(unix_s: int, earlier: int = 0) -> Cursor:
    """Return the cursor before the first event of a new history.

    The new history is later than the history with the identifier `earlier`.
    """
    return Cursor(max(unix_s, earlier + 1), 0)


assert MAX_PART_BYTES * 2 < MAX_LINE_BYTES, (
    "a document part must fit into a line with every character escaped"
)
