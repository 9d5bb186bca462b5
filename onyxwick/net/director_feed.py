"""Applies the distribution feed in a director.

Endpoint lists and purges are applied to the core, and documents are passed to their consumers. `DirectorFeed`
is the sink of a director's `Subscription`. A purge that arrives both as an event and in a snapshot is applied
once.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from onyxwick import logs
from onyxwick.core import RequestEngine
from onyxwick.core.clock import FeedTimestamps
from onyxwick.counters import Counters
from onyxwick.distribution.documents import DocumentAssembler, DocumentError
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
from onyxwick.net.errors import UnknownEventError
from onyxwick.net.feed_wire import IS_SNAPSHOT, LIST_VERSION, NO_GROUP, ROWS, US_PER_MS, read_members

log = logs.get()
ANNOUNCEMENT_LIMIT_US = 1_000_000
"""A list is not current if the publisher was not reached for this long. It announces itself each 0.4 s, and
each relay on the way passes that on within 0.2 s."""
ApplyDocument = Callable[[str], None]
"""Applies a document's text. Raises ValueError if it is unusable: the previous version stays in force."""
MALFORMED_PAYLOAD_ERRORS = (KeyError, ValueError, TypeError)


class DirectorFeed:
    """Applies feed events in a director. `documents` maps a document's name to its consumer."""

    def __init__(
        self, core: RequestEngine, counters: Counters, documents: Mapping[str, ApplyDocument] | None = None
    ) -> None:
        self.core = core
        self.counters = counters
        self.documents = dict(documents or {})
        self.purges = PurgeTable()
        self.stamps = FeedTimestamps()
        self.versions: dict[str, tuple[int, str]] = {}  # version and digest of each complete document
        self.cursor = Cursor(0, 0)
        self._assembler = DocumentAssembler()
        self._refreshed_at_us = 0  # when the publisher was last known to be reached
        core.freshness.announcement_limit_us = ANNOUNCEMENT_LIMIT_US

    def deliver(self, event: FeedEvent, from_snapshot: bool) -> None:
        """Apply one event. An invalid event is counted, logged and skipped."""
        self.purges.expire(self.core.now() // US_PER_MS)
        try:
            self._apply(event.payload)
        except MALFORMED_PAYLOAD_ERRORS as error:
            self.counters.add("bad.distribution")
            log.warning("invalid feed event", index=event.cursor.packed, detail=repr(error))
        if not from_snapshot:
            self._advance_cursor(event.cursor)

    def install(self, snapshot: FeedSnapshot) -> None:
        """Apply a complete state, except for its purges, which were delivered before."""
        self._assembler = DocumentAssembler()
        for payload in snapshot.payloads:
            if isinstance(payload, PurgeEvent):
                continue
            try:
                self._apply(payload)
            except MALFORMED_PAYLOAD_ERRORS as error:
                self.counters.add("bad.distribution")
                log.warning("invalid snapshot part", detail=repr(error))
        self._advance_cursor(snapshot.cursor)

    def refresh(self, freshness: Freshness) -> None:
        """Record that the publisher was reached.

        If no event is outstanding, all later events were made after this moment.
        """
        now_us = self.core.now()
        if freshness.cursor <= self.cursor:
            self.stamps.mark_caught_up(now_us)
        self._refreshed_at_us = now_us
        self.core.freshness.on_announced(freshness.cursor.packed, self.cursor.packed, now_us)

    def lost(self, reason: str) -> None:
        """Record that no parent is connected. What the last one has not announced may be outstanding."""
        self.core.freshness.on_lost(self._refreshed_at_us, reason, self.core.now())

    def _advance_cursor(self, cursor: Cursor) -> None:
        self.cursor = cursor
        self.core.feed.record_feed_index(cursor.packed)
        self.core.freshness.on_applied(cursor.packed, self.core.now())

    def _apply(self, payload: Payload) -> None:
        if isinstance(payload, PurgeEvent):
            self._apply_purge(payload)
        elif isinstance(payload, CacheListChange):
            self._apply_list(payload)
        elif isinstance(payload, DocumentPart):
            self._add_document_part(payload)
        else:
            raise UnknownEventError(payload.detail)

    def _apply_list(self, change: CacheListChange) -> None:
        rows = [row.fields for row in change.rows]
        document = {ROWS: rows, IS_SNAPSHOT: change.full, LIST_VERSION: change.version}
        update = read_members(document, self.stamps, self.core.now(), self._report_bad_row)
        self.core.feed.apply_endpoints(update.change, update.addresses)

    def _report_bad_row(self, text: str) -> None:
        self.counters.add("bad.distribution")
        log.warning("invalid feed row", detail=text)

    def _apply_purge(self, purge: PurgeEvent) -> None:
        if self.purges.add(purge):
            group = NO_GROUP if purge.key.object_group is None else purge.key.object_group
            made_at_us = self.stamps.purge_time_us(purge.unix_ms * US_PER_MS, self.core.now())
            self.core.feed.apply_purge(group, purge.key.object_id, made_at_us)

    def _add_document_part(self, part: DocumentPart) -> None:
        try:
            document = self._assembler.add(part)
        except DocumentError as error:
            self.counters.add("bad.document")
            log.warning("invalid document part", name=part.name, detail=str(error))
            return
        if document is not None and self.versions.get(document.name) != (document.version, document.digest):
            self._apply_document(document)

    def _apply_document(self, document: Document) -> None:
        self.versions[document.name] = (document.version, document.digest)
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
            log.info("document applied", name=document.name, version=document.version)
