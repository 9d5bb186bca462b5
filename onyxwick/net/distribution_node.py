"""A process of the distribution tree: the publisher at its root, or a relay between it and the directors."""

from __future__ import annotations

import asyncio
import signal
import time
from typing import Any

import ujson

from onyxwick import logs
from onyxwick.config.distribution import DocumentFile, NodeConfig, Role
from onyxwick.config.errors import ConfigError
from onyxwick.core.clock import steady_us, wall_us
from onyxwick.counters import Counters
from onyxwick.distribution.documents import Assembler, DocumentError
from onyxwick.distribution.durable import DurableFeed
from onyxwick.distribution.fanout import FanOut, FanOutLimits
from onyxwick.distribution.follower import PLAIN_COORDINATOR, Follower, FollowerLimits, FollowerState
from onyxwick.distribution.model import (
    MAX_DOCUMENT_BYTES,
    ORIGIN,
    Cursor,
    DocumentPart,
    FeedEvent,
    Freshness,
    PublishRefusedError,
    PurgeEvent,
    UnknownPayload,
)
from onyxwick.distribution.publisher import Publisher, PublisherLimits
from onyxwick.distribution.replica import FeedSnapshot, Replica
from onyxwick.net.fanout_server import FanOutServer
from onyxwick.net.subscription import ReconnectDelays, Subscription
from onyxwick.store.engine import StoreEngine
from onyxwick.store.errors import StoreError
from onyxwick.store.files import DiskFiles

log = logs.get()
FRESHNESS_INTERVAL_S = 0.4
"""How often the publisher says that it is reached; passed on with the heartbeats."""
STORE_NAME = b"onyxwick-feed\0\0\0"
"""Identifies the store's files as a feed's: a store of something else is refused."""


class RelayNode:
    """Follows its parents and passes everything on."""

    def __init__(self, config: NodeConfig) -> None:
        self.config, self.counters = config, Counters()
        self.replica = Replica(retention_ms=config.retention_ms)
        self.fanout = FanOut(self.replica, _fanout_limits(config))
        self.server = FanOutServer(self.fanout, config.listen, self.counters)
        follower = Follower(
            len(config.parents), ReconnectDelays(config.seed, steady_us()), limits=FollowerLimits()
        )
        self.subscription = Subscription(follower, config.parents, self, self.counters)

    def deliver(self, event: FeedEvent, from_snapshot: bool) -> None:
        """Take in one event and pass it on. Purges of a snapshot are passed on when it is whole."""
        if from_snapshot:
            return
        self.replica.apply(event, steady_us() // 1000)
        self.server.on_published()

    def install(self, snapshot: FeedSnapshot) -> None:
        """Take in a whole state; subscribers with earlier cursors are given it as a snapshot too."""
        self.replica.install(snapshot)
        self.server.on_published()

    def refresh(self, freshness: Freshness) -> None:
        """Pass on that the publisher was reached."""
        self.fanout.fresh(freshness)

    async def run(self) -> None:
        """Serve until cancelled."""
        await asyncio.gather(self.server.run(), self.subscription.run())

    def reload(self) -> None:
        """Nothing of a relay can change under way."""
        log.info("a relay has nothing to read again")

    def close(self) -> None:
        """Nothing to close beside the sockets."""

    def status(self) -> dict[str, Any]:
        """Figures for SIGUSR1 and the exit."""
        now, follower = steady_us(), self.subscription.follower
        age = follower.age_us(now)
        return {
            **_status(self.config, self.replica, self.fanout, self.server, self.counters),
            "parent": follower.parent,
            "state": follower.state.value,
            "age_ms": None if age is None else age // 1000,
            "follower": dict(follower.counts),
        }


class PublisherNode:
    """Numbers the events of a coordinator and documents from files, makes them durable, publishes them."""

    def __init__(self, config: NodeConfig) -> None:
        self.config, self.counters = config, Counters()
        self.replica = Replica(retention_ms=config.retention_ms)
        self.fanout = FanOut(self.replica, _fanout_limits(config), authoritative=True)
        self.server = FanOutServer(self.fanout, config.listen, self.counters)
        self.durable: DurableFeed | None = None
        upstream = self._open_store()
        limits = PublisherLimits(bulk_bytes_per_s=config.bulk_bytes_per_s)
        self.publisher = Publisher(self.replica, steady_us(), limits)
        self._assembler = Assembler()
        # What was read upstream while documents waited to be sent is read again after a restart.
        self._saved_upstream = upstream
        self._flush_timer: asyncio.TimerHandle | asyncio.Handle | None = None
        self._store_failure: asyncio.Future[None]
        self.subscription: Subscription | None = None
        if config.parents:
            follower = Follower(
                1, ReconnectDelays(config.seed, steady_us()), upstream, PLAIN_COORDINATOR, restarts=True
            )
            self.subscription = Subscription(follower, config.parents, self, self.counters)

    def _open_store(self) -> Cursor:
        if self.config.store is None:
            self.replica.log.restart(Cursor(int(time.time()), 0))
            return ORIGIN
        engine = StoreEngine(DiskFiles(self.config.store), store=STORE_NAME)
        self.durable = DurableFeed(engine)
        return self.durable.load(self.replica, int(time.time()))

    # ---- what comes in --------------------------------------------------------------------------------

    def deliver(self, event: FeedEvent, from_snapshot: bool) -> None:
        """An event of the coordinator; refused ones are counted and logged."""
        try:
            if isinstance(event.payload, DocumentPart):
                self._document_part(event.payload)
            elif isinstance(event.payload, UnknownPayload):
                raise PublishRefusedError(event.payload.detail)
            else:
                self.publisher.submit(event.payload, steady_us() // 1000)
        except (PublishRefusedError, DocumentError) as error:
            self.counters.add("refused.event")
            log.error("event not published", index=event.cursor.packed, reason=str(error))
        self._schedule(0.0)

    def _document_part(self, part: DocumentPart) -> None:
        document = self._assembler.add(part)
        if document is not None:
            self.publisher.submit_document(document.name, document.text)

    def install(self, snapshot: FeedSnapshot) -> None:
        """The coordinator is a node of another tree: its state is published here, its purges were already."""
        for payload in snapshot.payloads:
            if not isinstance(payload, PurgeEvent):
                self.deliver(FeedEvent(snapshot.cursor, payload, b""), from_snapshot=True)

    def refresh(self, freshness: Freshness) -> None:
        """A plain coordinator sends none."""

    def publish_files(self, documents: tuple[DocumentFile, ...]) -> None:
        """Publish each document whose file has changed; ConfigError names one that cannot be read."""
        texts = [(row.name, _read_document(row)) for row in documents]
        for name, text in texts:
            try:
                version = self.publisher.submit_document(name, text)
            except PublishRefusedError as error:
                raise ConfigError(f"document '{name}': {error}") from None
            log.info("document", name=name, version=version)
        self._schedule(0.0)

    # ---- what goes out --------------------------------------------------------------------------------

    def _schedule(self, delay_s: float) -> None:
        """Publish what has been queued, all of one turn of the loop in one transaction."""
        if self._flush_timer is not None:
            if delay_s > 0:
                return
            self._flush_timer.cancel()
        loop = asyncio.get_running_loop()
        self._flush_timer = (
            loop.call_soon(self._flush) if delay_s <= 0 else loop.call_later(delay_s, self._flush)
        )

    def _flush(self) -> None:
        self._flush_timer = None
        now = steady_us()
        events = self.publisher.due(now)
        if not self.publisher.bulk and self.subscription is not None:
            self._saved_upstream = self.subscription.follower.cursor
        if events:
            if not self._persist(events, now):
                return
            for event in events:
                self.replica.apply(event, now // 1000)
            self.server.on_published()
        wait_us = self.publisher.next_due_us(now)
        if wait_us is not None:
            self._schedule(max(0.001, wait_us / 1e6))

    def _persist(self, events: list[FeedEvent], now: int) -> bool:
        """Make events durable before they are announced; False: the disk failed, and this process ends.

        What was not saved is read anew from the coordinator by the next process: its cursor was not saved.
        """
        if self.durable is None:
            return True
        try:
            self.durable.save(events, self._saved_upstream, self.replica.state, now)
        except StoreError as error:
            if not self._store_failure.done():
                self._store_failure.set_exception(error)
            return False
        return True

    async def _wait_for_store_failure(self) -> None:
        await self._store_failure

    async def run(self) -> None:
        """Serve until cancelled; StoreError where the disk fails."""
        self._store_failure = asyncio.get_running_loop().create_future()
        self.publish_files(self.config.documents)
        work = [self.server.run(), self._announce_freshness(), self._wait_for_store_failure()]
        if self.subscription is not None:
            work.append(self.subscription.run())
        await asyncio.gather(*work)

    async def _announce_freshness(self) -> None:
        while True:
            if self._is_source_reachable():
                self.fanout.fresh(Freshness(self.replica.cursor, wall_us() // 1000))
            await asyncio.sleep(FRESHNESS_INTERVAL_S)

    def _is_source_reachable(self) -> bool:
        return self.subscription is None or self.subscription.follower.state is FollowerState.FOLLOWING

    def reload(self) -> None:
        """Read the documents' files again; a bad one changes nothing."""
        try:
            self.publish_files(self.config.documents)
        except ConfigError as error:
            self.counters.add("reload.bad")
            log.error("documents kept as they were", error=str(error))

    def close(self) -> None:
        """Close the store."""
        if self.durable is not None:
            self.durable.engine.close()

    def status(self) -> dict[str, Any]:
        """Figures for SIGUSR1 and the exit."""
        out = _status(self.config, self.replica, self.fanout, self.server, self.counters)
        return {**out, "queued": len(self.publisher.urgent) + len(self.publisher.bulk)}


def _read_document(row: DocumentFile) -> str:
    try:
        data = row.file.read_bytes()
        if len(data) > MAX_DOCUMENT_BYTES:
            raise ConfigError(
                f"document '{row.name}': {row.file.name} has {len(data)} bytes, {MAX_DOCUMENT_BYTES} at most"
            )
        return data.decode()
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(f"document '{row.name}': {row.file.name}: {error}") from None


def _fanout_limits(config: NodeConfig) -> FanOutLimits:
    return FanOutLimits(width=config.width, admission=config.admission)


def _status(
    config: NodeConfig, replica: Replica, fanout: FanOut, server: FanOutServer, counters: Counters
) -> dict[str, Any]:
    return {
        "name": config.name,
        "role": config.role.value,
        "history": replica.cursor.history,
        "number": replica.cursor.number,
        "subscribers": len(fanout.subscribers),
        "behind": fanout.behind(),
        "log_bytes": replica.log.size,
        "caches": len(replica.state.rows),
        "purges": len(replica.state.purges),
        "documents": {name: row.version for name, row in replica.state.documents.items()},
        "bad_documents": replica.bad_documents,
        "sent_bytes": server.sent_bytes,
        "cpu_s": round(time.process_time(), 3),
        "fanout": dict(fanout.counts),
        "counters": dict(counters.counts),
    }


async def run(config: NodeConfig) -> None:
    """One node until SIGTERM or SIGINT; prints its status on SIGUSR1 and at the end, reads documents again
    on SIGHUP."""
    node = PublisherNode(config) if config.role is Role.PUBLISHER else RelayNode(config)
    loop, ending = asyncio.get_running_loop(), asyncio.Event()

    def print_status() -> None:
        print(ujson.dumps(node.status(), escape_forward_slashes=False), flush=True)

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ending.set)
    loop.add_signal_handler(signal.SIGUSR1, print_status)
    loop.add_signal_handler(signal.SIGHUP, node.reload)
    serving, asked = loop.create_task(node.run()), loop.create_task(ending.wait())
    log.info("distribution node", name=config.name, role=config.role.value)
    try:
        await asyncio.wait((serving, asked), return_when=asyncio.FIRST_COMPLETED)
        if serving.done():
            serving.result()
    finally:
        for task in (serving, asked):
            task.cancel()
        await asyncio.gather(serving, asked, return_exceptions=True)
        print_status()
        node.close()
