"""The publisher of the distribution tree: numbers events and documents, persists them, and publishes them.

Events come from a coordinator, documents from files. An event is durable before any subscriber receives it.
"""

from __future__ import annotations

import asyncio
import time
from typing import Any

from onyxwick import logs
from onyxwick.config.distribution import DocumentFile, NodeConfig
from onyxwick.config.errors import ConfigError
from onyxwick.core.clock import steady_us, wall_us
from onyxwick.counters import Counters
from onyxwick.distribution.documents import DocumentAssembler, DocumentError
from onyxwick.distribution.durable_feed import DurableFeed
from onyxwick.distribution.fanout import FanOut, FanOutLimits
from onyxwick.distribution.follower import Follower, FollowerState
from onyxwick.distribution.follower_actions import PLAIN_COORDINATOR_LIMITS
from onyxwick.distribution.model import (
    MAX_DOCUMENT_BYTES,
    ORIGIN,
    Cursor,
    DocumentPart,
    FeedEvent,
    Freshness,
    PublishRejectedError,
    PurgeEvent,
    UnknownPayload,
)
from onyxwick.distribution.publisher import Publisher, PublisherLimits
from onyxwick.distribution.replica import FeedSnapshot, Replica
from onyxwick.net.fanout_server import FanOutServer
from onyxwick.net.node_status import node_status
from onyxwick.net.subscription import ReconnectDelays, Subscription
from onyxwick.store.engine import StoreEngine
from onyxwick.store.errors import StoreError
from onyxwick.store.files import DiskFiles

log = logs.get()
FRESHNESS_INTERVAL_S = 0.4
"""Interval of the publisher's freshness notices, which are forwarded with the heartbeats."""
STORE_NAME = b"onyxwick-feed\0\0\0"
"""Identifies the store's files as those of a feed. A store with another name is rejected."""
MIN_FLUSH_DELAY_S = 0.001
US_PER_MS = 1000
US_PER_S = 1e6


class PublisherNode:
    """The publisher, which is also the sink of its subscription to a coordinator, if it has one."""

    def __init__(self, config: NodeConfig) -> None:
        self.config = config
        self.counters = Counters()
        self.replica = Replica(retention_ms=config.retention_ms)
        limits = FanOutLimits(max_subscribers=config.width, admission=config.admission)
        self.fanout = FanOut(self.replica, limits, authoritative=True)
        self.server = FanOutServer(self.fanout, config.listen, self.counters)
        self.durable: DurableFeed | None = None
        upstream = self._open_store()
        bulk_limits = PublisherLimits(bulk_bytes_per_s=config.bulk_bytes_per_s)
        self.publisher = Publisher(self.replica, steady_us(), bulk_limits)
        self.subscription = self._subscribe(upstream)
        self._assembler = DocumentAssembler()
        # The coordinator's cursor to save. It does not advance while documents wait to be published, so that
        # after a restart the coordinator's events after it, which carry them, are read again.
        self._saved_upstream = upstream
        self._flush_timer: asyncio.TimerHandle | asyncio.Handle | None = None
        self._store_failure: asyncio.Future[None]

    def _open_store(self) -> Cursor:
        """Load the durable state, and return the cursor up to which the coordinator was read."""
        now_s = int(time.time())
        if self.config.store is None:
            self.replica.log.restart(Cursor(now_s, 0))
            return ORIGIN
        engine = StoreEngine(DiskFiles(self.config.store), expected_store_id=STORE_NAME)
        self.durable = DurableFeed(engine)
        return self.durable.load(self.replica, now_s)

    def _subscribe(self, upstream: Cursor) -> Subscription | None:
        parents = self.config.parents
        if not parents:
            return None
        delays = ReconnectDelays(self.config.seed, steady_us())
        follower = Follower(1, delays, upstream, PLAIN_COORDINATOR_LIMITS, resets_on_restart=True)
        return Subscription(follower, parents, self, self.counters)

    # ---- input -------------------------------------------------------------------------------------------

    def deliver(self, event: FeedEvent, from_snapshot: bool) -> None:
        """Queue an event of the coordinator. A rejected event is counted and logged."""
        try:
            if isinstance(event.payload, DocumentPart):
                self._add_document_part(event.payload)
            elif isinstance(event.payload, UnknownPayload):
                raise PublishRejectedError(event.payload.detail)
            else:
                self.publisher.submit(event.payload, steady_us() // US_PER_MS)
        except (PublishRejectedError, DocumentError) as error:
            self.counters.add("refused.event")
            log.error("event not published", index=event.cursor.packed, reason=str(error))
        self._schedule(0.0)

    def _add_document_part(self, part: DocumentPart) -> None:
        document = self._assembler.add(part)
        if document is not None:
            self.publisher.submit_document(document.name, document.text)

    def install(self, snapshot: FeedSnapshot) -> None:
        """Publish the state of a coordinator that is a node of another tree.

        The purges of the state were delivered before.
        """
        for payload in snapshot.payloads:
            if not isinstance(payload, PurgeEvent):
                self.deliver(FeedEvent(snapshot.cursor, payload, b""), from_snapshot=True)

    def refresh(self, freshness: Freshness) -> None:
        """Do nothing: a plain coordinator sends no freshness."""

    def publish_files(self, documents: tuple[DocumentFile, ...]) -> None:
        """Publish each document whose file has changed. Raises ConfigError for an unusable one."""
        texts = [(row.name, _read_document(row)) for row in documents]
        for name, text in texts:
            try:
                version = self.publisher.submit_document(name, text)
            except PublishRejectedError as error:
                raise ConfigError(f"document '{name}': {error}") from None
            log.info("document queued", name=name, version=version)
        self._schedule(0.0)

    def reload(self) -> None:
        """Handle SIGHUP: read the documents' files again. If a file is invalid, no document changes."""
        try:
            self.publish_files(self.config.documents)
        except ConfigError as error:
            self.counters.add("reload.bad")
            log.error("reload failed, documents unchanged", error=str(error))

    # ---- output ------------------------------------------------------------------------------------------

    def _schedule(self, delay_s: float) -> None:
        """Publish the queued events after a delay.

        Without a delay, all events queued in this turn of the event loop are published in one transaction.
        """
        if self._flush_timer is not None:
            if delay_s > 0:
                return
            self._flush_timer.cancel()
        loop = asyncio.get_running_loop()
        if delay_s > 0:
            self._flush_timer = loop.call_later(delay_s, self._flush)
        else:
            self._flush_timer = loop.call_soon(self._flush)

    def _flush(self) -> None:
        self._flush_timer = None
        now_us = steady_us()
        events = self.publisher.take_due_events(now_us)
        if not self.publisher.document_queue and self.subscription is not None:
            self._saved_upstream = self.subscription.follower.cursor
        if events:
            if not self._persist(events, now_us):
                return
            for event in events:
                self.replica.apply(event, now_us // US_PER_MS)
            self.server.on_published()
        wait_us = self.publisher.next_due_in_us(now_us)
        if wait_us is not None:
            self._schedule(max(MIN_FLUSH_DELAY_S, wait_us / US_PER_S))

    def _persist(self, events: list[FeedEvent], now_us: int) -> bool:
        """Make events durable before they are published. Returns False if the disk failed.

        The process then ends. The next one reads the events from the coordinator again, as the coordinator's
        cursor was not saved either.
        """
        if self.durable is None:
            return True
        try:
            self.durable.save(events, self._saved_upstream, self.replica.state, now_us)
        except StoreError as error:
            if not self._store_failure.done():
                self._store_failure.set_exception(error)
            return False
        return True

    async def run(self) -> None:
        """Serve until cancelled. Raises StoreError if the disk fails, ConfigError for an invalid document."""
        self._store_failure = asyncio.get_running_loop().create_future()
        self.publish_files(self.config.documents)
        coroutines = [self.server.run(), self._announce_freshness(), self._wait_for_store_failure()]
        if self.subscription is not None:
            coroutines.append(self.subscription.run())
        await asyncio.gather(*coroutines)

    async def _wait_for_store_failure(self) -> None:
        await self._store_failure

    async def _announce_freshness(self) -> None:
        while True:
            if self._is_source_reachable():
                self.fanout.on_freshness(Freshness(self.replica.cursor, wall_us() // US_PER_MS))
            await asyncio.sleep(FRESHNESS_INTERVAL_S)

    def _is_source_reachable(self) -> bool:
        return self.subscription is None or self.subscription.follower.state is FollowerState.FOLLOWING

    def close(self) -> None:
        """Close the store."""
        if self.durable is not None:
            self.durable.engine.close()

    def status(self) -> dict[str, Any]:
        """Return the status as a JSON object."""
        status = node_status(self.config, self.replica, self.fanout, self.server, self.counters)
        return {**status, "queued": len(self.publisher.urgent_queue) + len(self.publisher.document_queue)}


def _read_document(row: DocumentFile) -> str:
    where = f"document '{row.name}': {row.file.name}"
    try:
        data = row.file.read_bytes()
        if len(data) > MAX_DOCUMENT_BYTES:
            raise ConfigError(f"{where} has {len(data)} bytes, limited to {MAX_DOCUMENT_BYTES} bytes")
        return data.decode()
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(f"{where}: {error}") from None
