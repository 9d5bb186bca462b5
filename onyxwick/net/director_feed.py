"""What a director does with the distribution feed: lists and purges to its core, documents to who asked."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from onyxwick import logs
from onyxwick.core import RequestEngine
from onyxwick.core.clock import FeedTimestamps
from onyxwick.counters import Counters
from onyxwick.distribution.documents import Assembler, DocumentError
from onyxwick.distribution.model import (
    CacheListChange,
    Cursor,
    Document,
    DocumentPart,
    FeedEvent,
    Freshness,
    Payload,
    PurgeEvent,
)
from onyxwick.distribution.replica import FeedSnapshot, PurgeTable
from onyxwick.net.coordinator_feed import read_members

log = logs.get()
ApplyDocument = Callable[[str], None]
"""Takes a document's text; ValueError where it cannot be used: the last good one then stays in force."""


class DirectorFeed:
    """The sink of a director's subscription.

    `documents` names who takes which document. A purge that came by itself and again in a snapshot is
    applied once.
    """

    def __init__(
        self, core: RequestEngine, counters: Counters, documents: Mapping[str, ApplyDocument] | None = None
    ) -> None:
        self.core, self.counters = core, counters
        self.documents = dict(documents or {})
        self.purges, self.stamps = PurgeTable(), FeedTimestamps()
        self.versions: dict[str, tuple[int, str]] = {}  # of each document seen whole: version and digest
        self.cursor = Cursor(0, 0)
        self._assembler = Assembler()

    def deliver(self, event: FeedEvent, from_snapshot: bool) -> None:
        """One event; one that cannot be used is counted and logged, and the feed goes on."""
        self.purges.expire(self.core.now() // 1000)
        try:
            self._apply(event.payload)
        except (KeyError, ValueError, TypeError) as error:
            self.counters.add("bad.distribution")
            log.warning("bad event of the feed", index=event.cursor.packed, detail=repr(error))
        if not from_snapshot:
            self._reached(event.cursor)

    def install(self, snapshot: FeedSnapshot) -> None:
        """A whole state. Its purges have been delivered before."""
        self._assembler = Assembler()
        for payload in snapshot.payloads:
            if isinstance(payload, PurgeEvent):
                continue
            try:
                self._apply(payload)
            except (KeyError, ValueError, TypeError) as error:
                self.counters.add("bad.distribution")
                log.warning("bad part of a snapshot", detail=repr(error))
        self._reached(snapshot.cursor)

    def refresh(self, freshness: Freshness) -> None:
        """The publisher was reached: where nothing is outstanding, what comes next happened after this."""
        if freshness.cursor <= self.cursor:
            self.stamps.mark_caught_up(self.core.now())

    def _reached(self, cursor: Cursor) -> None:
        self.cursor = cursor
        self.core.feed.record_feed_index(cursor.packed)

    def _apply(self, payload: Payload) -> None:
        if isinstance(payload, PurgeEvent):
            self._purge(payload)
        elif isinstance(payload, CacheListChange):
            rows = [row.fields for row in payload.rows]
            changed = {"servers": rows, "full": payload.full, "version": payload.version}
            self.core.feed.apply_endpoints(
                *read_members(changed, self.stamps, self.core.now(), self._bad_row)
            )
        elif isinstance(payload, DocumentPart):
            self._document_part(payload)
        else:
            raise ValueError(payload.detail)

    def _bad_row(self, text: str) -> None:
        self.counters.add("bad.distribution")
        log.warning("bad row of the feed", detail=text)

    def _purge(self, purge: PurgeEvent) -> None:
        if self.purges.add(purge):
            group = -1 if purge.key.shard is None else purge.key.shard
            made = self.stamps.purge_time_us(purge.unix_ms * 1000, self.core.now())
            self.core.feed.apply_purge(group, purge.key.ref, made)

    def _document_part(self, part: DocumentPart) -> None:
        try:
            document = self._assembler.add(part)
        except DocumentError as error:
            self.counters.add("bad.document")
            log.warning("bad part of a document", name=part.name, detail=str(error))
            return
        if document is not None and self.versions.get(document.name) != (document.version, document.digest):
            self._document(document)

    def _document(self, document: Document) -> None:
        self.versions[document.name] = document.version, document.digest
        apply = self.documents.get(document.name)
        if apply is None:
            return
        try:
            apply(document.text)
        except ValueError as error:
            self.counters.add("refused.document")
            log.error(
                "document refused, the last good one stays",
                name=document.name,
                version=document.version,
                reason=str(error),
            )
        else:
            self.counters.add("document.applied")
            log.info("document in force", name=document.name, version=document.version)
