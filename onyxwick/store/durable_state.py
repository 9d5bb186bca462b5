"""A director's state in its store.

It consists of tenants, the plan of cells, drains, purges, the last received number of the feed, operators'
commands for sites, the outcomes of idempotent API calls, and write-ahead intents (non-idempotent requests
that were about to be sent).

Rows are read as typed records and changed by write operations that this module builds and commits. A change
that a caller is promised is committed before the call is answered; a change that the coordinator can send
again is committed in the background. Times are in Unix microseconds.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable, Mapping

from onyxwick import logs
from onyxwick.interface import EndpointsChanged, Member, MemberState
from onyxwick.store import row_schema as schema
from onyxwick.store.committer import Committer
from onyxwick.store.encryption import SecretCipher
from onyxwick.store.engine import StoreEngine, StoreLimits, Transaction, WriteOperation
from onyxwick.store.errors import SecretUnreadableError, StoreError, StoreFailedError
from onyxwick.store.files import StoreFiles
from onyxwick.store.recovery import DrainSource, MemberDrain, RecordedPurge, Recovery, RecoveryPhase
from onyxwick.store.row_schema import IdempotentCall, StoredPlan, StoredRow, pack_row, unpack_row
from onyxwick.store.tenant_rows import (
    UnusedRowError,
    add_tenant,
    deleted_tenant_key,
    has_readable_secret,
    is_of_tenant,
    key_prefix,
    part_name,
    tenant_key,
    tenant_prefixes,
    tenant_rows,
    with_plain_secret,
    zone_prefix,
    zone_row,
)
from onyxwick.tenants import Tenant, Tenants
from onyxwick.zones import TenantZone, UnreadZone

__all__ = ["DurableState"]

log = logs.get()
CALL_RETENTION_US = 86_400_000_000
"""How long the outcome of an idempotent call is stored for repeated calls: one day."""
MAX_STORED_CALLS = 5000
MAX_PURGES = 4096
CALLS_DELETED_DIVISOR = 10  # at MAX_STORED_CALLS, the oldest 1/10 of the calls are deleted


class DurableState:
    """An open store with its recovery. It may only be used in the event loop.

    Raises StoreError if the store cannot be opened; the reason is then recorded in the recovery.
    """

    def __init__(
        self,
        files: StoreFiles,
        cipher: SecretCipher,
        installation_id: bytes,
        now: int,
        purge_retention_us: int,
        records_intents: bool = False,
        limits: StoreLimits | None = None,
    ) -> None:
        self.recovery = Recovery(now, purge_retention_us)
        self.recovery.on_opened(now)
        self.cipher = cipher
        self.records_intents = records_intents
        self._known_texts: dict[str, tuple[int, str]] = {}
        """By the key of a zone's row, a version of the row and the text object that it was found to hold."""
        self.change_lock = asyncio.Lock()
        """Held from the operations of a change of tenants to its commit, as they depend on what is stored."""
        self._is_plan_replaced = False  # by a reload, which may come before `start`
        self.unused_rows: dict[str, UnusedRowError] = {}
        """Why rows of tenants could not be used at the start, by their keys."""
        try:
            self.engine = StoreEngine(files, limits, installation_id)
            self._replay(now)
        except StoreError as error:
            self.recovery.on_unusable(now, str(error))
            raise
        self.committer: Committer | None = None
        self.failed_background_commits = 0
        self.background_commits: set[asyncio.Task[None]] = set()

    def _rows(self, prefix: str) -> list[tuple[str, StoredRow]]:
        return [(key, unpack_row(key, value)) for key, value in self.engine.scan(prefix)]

    def _row(self, key: str) -> StoredRow | None:
        value = self.engine.get(key)
        return unpack_row(key, value) if value else None

    def _replay(self, now: int) -> None:
        drains = [schema.drain_of_row(row) for _, row in self._rows(schema.drain_key(""))]
        purges = [schema.purge_of_row(row) for _, row in self._rows(schema.PURGE_PREFIX)]
        intents = [key.partition("/")[2] for key, _ in self._rows(schema.intent_key(""))]
        feed = self._row(schema.FEED_KEY)
        last_feed_number = int(feed["index"]) if feed else 0
        self.recovery.on_replayed(now, drains, purges, intents, last_feed_number)

    def start(self) -> None:
        """Start to accept commits. Must be called while the event loop is running."""
        self.committer = Committer(self.engine)
        if self._is_plan_replaced:
            self.forget_cell_plan()

    async def close(self) -> None:
        """Write the pending commits and close the files."""
        if self.committer is not None:
            await self.committer.close()
        else:
            self.engine.close()

    # ---- tenants ----------------------------------------------------------------------------------------

    def load_tenants(self, tenants: Tenants) -> int:
        """Replace tenants of the service file by stored ones, and remove tenants that an API call deleted.

        Zones are added as unread; `stored_zone` returns their rows. Returns the number of stored and deleted
        tenants. A row that cannot be used is logged and kept, and the others are served. Raises
        SecretUnreadableError if the key file decrypts no secret at all.
        """
        deleted = [key.partition("/")[2] for key, _ in self._rows(deleted_tenant_key(""))]
        stored = {key.partition("/")[2]: row for key, row in self._rows(tenant_key(""))}
        for name in (*deleted, *stored):  # all of them first: a zone may have moved from one to another
            if name in tenants.tenants:
                tenants.remove(name)
        for name, row in stored.items():
            zone_keys = list(self.engine.keys(zone_prefix(name)))
            self._make_room(tenants, zone_keys)
            key_rows = self._rows(key_prefix(name))
            self.unused_rows |= add_tenant(tenants, name, row, zone_keys, key_rows, self.cipher)
        self._report_unused_rows()
        return len(stored) + len(deleted)

    def _make_room(self, tenants: Tenants, zone_keys: Iterable[str]) -> None:
        """Remove zones of the service file's tenants that a stored tenant has as well."""
        for key in zone_keys:
            zone = tenants.zone_of_text(part_name(key))
            if zone is not None and self._row(tenant_key(zone.tenant)) is None:
                log.error("zone of the service file not used", zone=str(zone.name), tenant=zone.tenant)
                tenants.remove_zone(zone)

    def stored_zone(self, zone: UnreadZone) -> StoredRow:
        """Return the row of a zone that is not parsed yet. Raises StoreError if it cannot be decoded."""
        row = self._row(zone.row_key)
        assert row is not None, "a call that would delete it is rejected"
        return row

    def stored_bytes(self, zone: UnreadZone) -> int:
        """Return the length of a zone's row."""
        return len(self.engine.get(zone.row_key) or b"")

    def on_zone_read(self, unread: UnreadZone, zone: TenantZone) -> None:
        """Note that a zone is stored as it was just parsed."""
        self._known_texts[unread.row_key] = (self.engine.version(unread.row_key), zone.text)

    def on_zone_unusable(self, unread: UnreadZone, error: UnusedRowError) -> None:
        """Log and keep a row from which no zone can be parsed."""
        self.unused_rows[unread.row_key] = error
        log.error("stored row not used", row=unread.row_key, error=str(error))

    def _report_unused_rows(self) -> None:
        """Log the rows that are not used. Raises SecretUnreadableError if no secret can be decrypted."""
        errors = self.unused_rows.values()
        unreadable = [error for error in errors if isinstance(error, SecretUnreadableError)]
        if unreadable and not self._decrypts_any_secret():
            raise unreadable[0]
        for key, error in self.unused_rows.items():
            log.error("stored row not used", row=key, error=str(error))

    def _decrypts_any_secret(self) -> bool:
        rows = self._rows(tenant_key("")) + self._rows("key/")
        return any(has_readable_secret(key, row, self.cipher) for key, row in rows)

    def tenant_operations(self, name: str, tenant: Tenant | None) -> list[WriteOperation]:
        """Return the operations to commit after a tenant was changed, or deleted if `tenant` is None.

        Rows that are not read yet or not used stay as they are, unless the tenant is deleted or was not used
        itself.
        """
        if tenant is None or tenant_key(name) in self.unused_rows:
            for key in [key for key in self.unused_rows if is_of_tenant(key, name)]:
                del self.unused_rows[key]
        rows = tenant_rows(tenant, self.cipher) if tenant else {deleted_tenant_key(name): StoredRow()}
        unread = {zone.row_key for zone in tenant.unread.values()} if tenant else set[str]()
        operations = self._operations_for(tenant_prefixes(name), rows, unread)
        return [operation for operation in operations if is_of_tenant(operation.key, name)]

    def zone_operations(self, tenant: Tenant, changed: TenantZone) -> list[WriteOperation]:
        """Return the operations to commit before a changed copy of a tenant's zone is served.

        The first change of a tenant of the service file writes all its rows, as stored rows replace it.
        """
        key, row = zone_row(changed)
        if self._row(tenant_key(tenant.name)) is None:
            rows = tenant_rows(tenant, self.cipher) | {key: row}
            return self._operations_for(tenant_prefixes(tenant.name), rows, set())
        return [WriteOperation(key, pack_row(key, row))]

    def _operations_for(
        self, prefixes: Iterable[str], rows: Mapping[str, StoredRow], unread: set[str]
    ) -> list[WriteOperation]:
        """Return the operations that replace all rows under some prefixes by `rows`, but for unread ones.

        A row that differs only in the encrypted bytes of the same secret is not rewritten.
        """
        stored = [key for prefix in prefixes for key in self.engine.keys(prefix)]
        kept = rows.keys() | self.unused_rows.keys() | unread
        operations = [WriteOperation(key, None) for key in stored if key not in kept]
        for key, row in rows.items():
            if not self._is_stored(key, row):
                operations.append(WriteOperation(key, pack_row(key, row)))
        return operations

    def _is_stored(self, key: str, row: StoredRow) -> bool:
        """Return whether a row is stored like this. Of a zone's long text, a version is compared once."""
        version = self.engine.version(key)
        text = row.get("text")
        known = self._known_texts.get(key)
        if text is not None and known is not None and known[0] == version and known[1] is text:
            return True
        stored = self._row(key)
        if stored is None or self._with_plain_secret(key, stored) != self._with_plain_secret(key, row):
            return False
        if text is not None:
            self._known_texts[key] = (version, text)
        return True

    def _with_plain_secret(self, key: str, row: StoredRow) -> StoredRow:
        return with_plain_secret(key, row, self.cipher)

    # ---- the plan of cells ------------------------------------------------------------------------------

    def cell_plan(self) -> StoredPlan | None:
        """Return the plan of cells that an API call made; None if the service file's plan applies."""
        row = self._row(schema.PLAN_KEY)
        return schema.plan_of_row(row) if row is not None else None

    def forget_cell_plan(self) -> None:
        """Delete the plan that an API call made, as a reload has replaced it by the service file's plan."""
        self._is_plan_replaced = True
        if self.committer is not None and self._row(schema.PLAN_KEY) is not None:
            self._commit_in_background([WriteOperation(schema.PLAN_KEY, None)], "reload")

    def cell_plan_operation(self, plan: StoredPlan) -> WriteOperation:
        """Return the operation to commit after the plan was changed."""
        return WriteOperation(schema.PLAN_KEY, pack_row(schema.PLAN_KEY, schema.plan_row(plan)))

    # ---- commits ----------------------------------------------------------------------------------------

    async def commit(self, operations: list[WriteOperation], author: str) -> None:
        """Commit operations and return once they are durable.

        Raises StoreError if they are not acknowledged. After a StoreFailedError they may still be present
        when the store is reopened.
        """
        if not operations:
            return
        if self.committer is None:
            raise StoreFailedError("the store accepts no commits before `start` is called")
        await self.committer.commit(Transaction(tuple(operations), author, time.time_ns() // 1000))

    async def commit_best_effort(self, operations: list[WriteOperation], author: str) -> None:
        """Commit operations that can be received again. A failure is logged and counted, not raised."""
        try:
            await self.commit(operations, author)
        except StoreError as error:
            self.failed_background_commits += 1
            log.warning("background commit failed", by=author, error=str(error))

    def _commit_in_background(self, operations: list[WriteOperation], author: str = "coordinator") -> None:
        """Commit changes that can be received or made again, without waiting for the result."""
        if operations and self.committer is not None:
            commit = self.commit_best_effort(operations, author)
            task = asyncio.get_running_loop().create_task(commit)
            self.background_commits.add(task)
            task.add_done_callback(self.background_commits.discard)

    # ---- drains, purges, the feed -----------------------------------------------------------------------

    def record_endpoints(self, event: EndpointsChanged, now: int) -> None:
        """Record members that the coordinator drains or removes, until its list shows them as ready."""
        operations = (self._endpoint_operation(member, now) for member in event.members)
        self._commit_in_background([operation for operation in operations if operation is not None])

    def _endpoint_operation(self, member: Member, now: int) -> WriteOperation | None:
        key = schema.drain_key(member.address)
        row = self._row(key)
        if member.state is not MemberState.READY:
            if row is not None:
                return None
            drain = MemberDrain(member.address, DrainSource.COORDINATOR, member.started_at_us, "", now)
            return self.drain_operation(drain)
        drain_source = schema.drain_of_row(row).source if row is not None else None
        # A drain is lifted only after the feed has been received, because the endpoint list at start may be
        # older than the recorded drain.
        if drain_source is DrainSource.COORDINATOR and self.recovery.phase is RecoveryPhase.SERVING:
            return WriteOperation(key, None)
        return None

    def record_purge(self, group: int, object_id: str | None, unix_us: int, now: int) -> None:
        """Record a purge of an object, or of a group if `object_id` is None."""
        self._commit_in_background(self.purge_operations(RecordedPurge(group, object_id, unix_us), now))

    def record_feed_number(self, number: int, now: int) -> bool:
        """Record up to which number the feed was received.

        Returns True if that changes the drains or the phase of the recovery.
        """
        changed = self.recovery.on_feed_number(now, number)
        if number > self.recovery.last_feed_number:  # after a start, older numbers are received again
            self.recovery.last_feed_number = number
            self._commit_in_background([self.feed_number_operation(number)])
        return changed

    def drain_operation(self, drain: MemberDrain) -> WriteOperation:
        """Return the operation that records a drain."""
        key = schema.drain_key(drain.member)
        return WriteOperation(key, pack_row(key, schema.drain_row(drain)))

    def lift_operations(self, member: str) -> list[WriteOperation]:
        """Return the operations that remove a member's drain; empty if it is not drained."""
        if member not in self.recovery.drains:
            return []
        return [WriteOperation(schema.drain_key(member), None)]

    def purge_operations(self, purge: RecordedPurge, now: int) -> list[WriteOperation]:
        """Return the operations that record a purge and delete those that all caches must have carried out.

        The oldest purges above MAX_PURGES are deleted too.
        """
        new_key = schema.purge_key(purge)
        stored = list(self.engine.keys(schema.PURGE_PREFIX))
        excess = max(0, len(stored) - MAX_PURGES)
        expired_us = now - self.recovery.purge_retention_us
        redundant = [
            key
            for position, key in enumerate(stored)
            if key != new_key and (position < excess or schema.purge_key_unix_us(key) < expired_us)
        ]
        write = WriteOperation(new_key, pack_row(new_key, schema.purge_row(purge)))
        return [write, *(WriteOperation(key, None) for key in redundant)]

    def feed_number_operation(self, number: int) -> WriteOperation:
        """Return the operation that records the last received number of the feed."""
        return WriteOperation(schema.FEED_KEY, pack_row(schema.FEED_KEY, schema.feed_row(number)))

    # ---- site commands ----------------------------------------------------------------------------------

    def site_command_rows(self) -> list[StoredRow]:
        """Return the operators' commands for sites, in the format of `sites/operator_commands.py`."""
        return [row for _, row in self._rows(schema.site_command_key(""))]

    def site_command_operation(self, site: str, row: StoredRow | None) -> WriteOperation:
        """Return the operation that records a site's command, or deletes it if `row` is None."""
        key = schema.site_command_key(site)
        return WriteOperation(key, pack_row(key, row) if row is not None else None)

    # ---- idempotent calls -------------------------------------------------------------------------------

    def idempotent_call(self, idempotency_key: str) -> IdempotentCall | None:
        """Return the first outcome of the call with an idempotency key; None if there is none."""
        row = self._row(schema.call_key(idempotency_key))
        return schema.call_of_row(row) if row is not None else None

    def idempotent_call_operations(
        self, idempotency_key: str, call: IdempotentCall, now: int
    ) -> list[WriteOperation]:
        """Return the operations that record a call's outcome and delete old outcomes.

        From MAX_STORED_CALLS on these are the oldest ones, otherwise those that have expired.
        """
        key = schema.call_key(idempotency_key)
        write = WriteOperation(key, pack_row(key, schema.call_row(call)))
        stored = self._rows(schema.call_key(""))
        if len(stored) >= MAX_STORED_CALLS:
            stored.sort(key=lambda pair: pair[1]["at_us"])
            dropped = [old for old, _ in stored[: len(stored) // CALLS_DELETED_DIVISOR]]
        else:
            dropped = [old for old, row in stored if now - row["at_us"] > CALL_RETENTION_US]
        return [write, *(WriteOperation(old, None) for old in dropped)]

    # ---- write-ahead intents ----------------------------------------------------------------------------

    async def record_intent(self, request_id: str, now: int) -> None:
        """Record durably that a non-idempotent request is about to be sent.

        If this raises StoreError, the request must not be sent.
        """
        key = schema.intent_key(request_id)
        await self.commit([WriteOperation(key, pack_row(key, schema.intent_row(now)))], "core")

    async def resolve_intent(self, request_id: str) -> None:
        """Delete the intent of a request that has ended."""
        await self.commit_best_effort([WriteOperation(schema.intent_key(request_id), None)], "core")
