"""What of a director lives in its store, as rows: drains, purges, the plan, tenants with zones and keys,
calls.

A row's value is MessagePack of [schema, map]. An older schema is brought up by its upgrades as it is read;
a newer one is refused, as it may hold what this program would forget.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import asdict
from typing import Any

import msgspec

from onyxwick import logs
from onyxwick.interface import EndpointsChanged, MemberState
from onyxwick.store.committer import Committer
from onyxwick.store.encryption import SecretCipher
from onyxwick.store.engine import StoreEngine, StoreLimits, Transaction, WriteOperation
from onyxwick.store.errors import StoreError, StoreUnusableError
from onyxwick.store.files import StoreFiles
from onyxwick.store.recovery import MemberDrain, RecordedPurge, Recovery, RecoveryPhase
from onyxwick.tenants import Tenant, Tenants, read_key, read_zone

log = logs.get()
Row = dict[str, Any]
Rows = dict[str, Row]
SCHEMAS = {
    "tenant": 1,
    "zone": 1,
    "key": 1,
    "gone": 1,
    "plan": 1,
    "drain": 1,
    "purge": 1,
    "feed": 1,
    "call": 1,
    "booking": 1,
    "siteorder": 1,
}
UPGRADES: dict[tuple[str, int], Callable[[Row], Row]] = {}  # (kind, from schema): to the next one
CALL_RETENTION_US = 86_400_000_000  # a call's outcome is told again for a day
MAX_CALLS, MAX_PURGES = 5000, 4096
encode_row, decode = msgspec.msgpack.Encoder().encode, msgspec.msgpack.Decoder().decode


def kind_of(key: str) -> str:
    return key.partition("/")[0]


def pack_row(key: str, row: Row) -> bytes:
    return encode_row([SCHEMAS[kind_of(key)], row])


def unpack_row(key: str, value: bytes) -> Row:
    """Refused for a row of a newer schema, or one that cannot be read."""
    kind = kind_of(key)
    try:
        schema, row = decode(value)
    except (msgspec.MsgspecError, ValueError, TypeError) as error:
        raise StoreUnusableError(f"row '{key}' cannot be read: {error}") from None
    if kind not in SCHEMAS or schema > SCHEMAS[kind]:
        raise StoreUnusableError(f"row '{key}' has schema {schema}, newer than this program knows")
    while schema < SCHEMAS[kind]:
        row = UPGRADES[kind, schema](row)
        schema += 1
    assert isinstance(row, dict)
    return row


def tenant_rows(tenant: Tenant, sealer: SecretCipher) -> Rows:
    """All that is a tenant's own; secrets sealed."""
    token = sealer.encrypt(tenant.token.encode()) if tenant.token else b""
    out: Rows = {f"tenant/{tenant.name}": {"quota_per_s": tenant.quota.per_s, "token": token}}
    for name, zone in tenant.zones.items():
        routed = str(zone.routed) if zone.routed is not None else None
        out[f"zone/{tenant.name}/{name}"] = {"text": zone.data.to_text(relativize=False), "routed": routed}
    for key, secret in tenant.keys.items():
        out[f"key/{tenant.name}/{key}"] = {"secret": sealer.encrypt(secret)}
    return out


def fill_tenant(
    tenant: Tenant, tenants: Tenants, rows: Iterable[tuple[str, Row]], sealer: SecretCipher
) -> None:
    """A tenant's zones and keys from rows. Refused or TenantError where one cannot be used."""
    import base64

    for key, row in rows:
        kind, _, rest = key.partition("/")
        name = rest.partition("/")[2]
        if kind == "zone":
            tenants.add_zone(read_zone(tenant.name, name, row["text"], row["routed"]))
        elif kind == "key":
            secret = sealer.decrypt(row["secret"], key)
            tenant.add_key(*read_key(name, base64.b64encode(secret).decode()))


class DurableState:
    """An open store with its recovery. Used in the event loop alone."""

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
        self.cipher, self.records_intents = cipher, records_intents
        try:
            self.engine = StoreEngine(files, limits, installation_id)
            self._replay(now)
        except StoreError as error:
            self.recovery.on_unusable(now, str(error))
            raise
        self.committer: Committer | None = None
        self.failed_background_commits = 0
        self.background_commits: set[asyncio.Task[None]] = set()

    def _rows(self, prefix: str) -> list[tuple[str, Row]]:
        return [(key, unpack_row(key, value)) for key, value in self.engine.scan(prefix)]

    def _replay(self, now: int) -> None:
        drains = [MemberDrain(**row) for _, row in self._rows("drain/")]
        purges = [RecordedPurge(**row) for _, row in self._rows("purge/")]
        bookings = [key.partition("/")[2] for key, _ in self._rows("booking/")]
        feed = self.engine.get("feed/last")
        reached = int(unpack_row("feed/last", feed)["index"]) if feed else 0
        self.recovery.on_replayed(now, drains, purges, bookings, reached)

    def start(self) -> None:
        """Begin to take commits; called where the event loop runs."""
        self.committer = Committer(self.engine)

    async def close(self) -> None:
        if self.committer is not None:
            await self.committer.close()
        else:
            self.engine.close()

    # ---- tenants ----------------------------------------------------------------------------------------

    def load_tenants(self, tenants: Tenants) -> int:
        """The store's tenants over the file's: what was changed by a call goes before what the file says, and
        what was deleted by one stays deleted. How many rows there were."""
        gone = [key.partition("/")[2] for key, _ in self._rows("gone/")]
        for name in gone:
            if name in tenants.tenants:
                tenants.remove(name)
        rows = self._rows("tenant/")
        for key, row in rows:
            name = key.partition("/")[2]
            if name in tenants.tenants:
                tenants.remove(name)
            token = self.cipher.decrypt(row["token"], key).decode() if row["token"] else ""
            tenant = Tenant(name, float(row["quota_per_s"]), token)
            tenants.add(tenant)
            own = self._rows(f"zone/{name}/") + self._rows(f"key/{name}/")
            fill_tenant(tenant, tenants, own, self.cipher)
        return len(rows) + len(gone)

    def cell_plan(self) -> Row | None:
        """The plan of cells that a call has made, with its version; None: the file's holds."""
        value = self.engine.get("plan/now")
        return unpack_row("plan/now", value) if value else None

    def changes(self, prefixes: Iterable[str], rows: Mapping[str, Row]) -> list[WriteOperation]:
        """What makes the rows under some prefixes be these. A sealed secret that is the same one is left."""
        held = {key: row for prefix in prefixes for key, row in self._rows(prefix)}
        ops = [WriteOperation(key, None) for key in held if key not in rows]
        for key, row in rows.items():
            if key not in held or self._plain(key, held[key]) != self._plain(key, row):
                ops.append(WriteOperation(key, pack_row(key, row)))
        return ops

    def _plain(self, key: str, row: Row) -> Row:
        """A row with its secrets open: sealing the same secret twice gives other bytes."""
        sealed = {"tenant": "token", "key": "secret"}.get(kind_of(key))
        if sealed is None or not row[sealed]:
            return row
        return {**row, sealed: self.cipher.decrypt(row[sealed], key)}

    def tenant_operations(self, name: str, tenant: Tenant | None) -> list[WriteOperation]:
        """Ops after a tenant was changed, or (None) deleted."""
        prefixes = (f"tenant/{name}", f"zone/{name}/", f"key/{name}/", f"gone/{name}")
        rows = tenant_rows(tenant, self.cipher) if tenant else {f"gone/{name}": Row()}
        exact = [op for op in self.changes(prefixes, rows) if _of_tenant(op.key, name)]
        return exact

    # ---- commits ----------------------------------------------------------------------------------------

    async def commit(self, ops: list[WriteOperation], by: str) -> None:
        """Durable when it returns; StoreError: nothing of it holds."""
        if ops:
            assert self.committer is not None
            await self.committer.commit(Transaction(tuple(ops), by, time.time_ns() // 1000))

    async def commit_best_effort(self, ops: list[WriteOperation], by: str) -> None:
        """The same for what others can tell again: a failure is logged and counted, and nobody waits."""
        try:
            await self.commit(ops, by)
        except StoreError as error:
            self.failed_background_commits += 1
            log.warning("not recorded", by=by, error=str(error))

    # ---- drains, purges, the feed -----------------------------------------------------------------------

    def record_endpoints(self, event: EndpointsChanged, now: int) -> None:
        """What the coordinator drains or takes away is remembered, until it says otherwise."""
        ops = []
        for m in event.members:
            held = self.engine.get(f"drain/{m.address}")
            by = unpack_row(f"drain/{m.address}", held)["by"] if held else ""
            if m.state is not MemberState.READY and not held:
                ops.append(
                    self.drain_operation(MemberDrain(m.address, "coordinator", m.started_at_us, "", now))
                )
            elif (
                m.state is MemberState.READY
                and by == "coordinator"
                and self.recovery.phase is RecoveryPhase.SERVING
            ):
                # Not before the feed is heard: the list of a start may be older than what is recorded.
                ops.append(WriteOperation(f"drain/{m.address}", None))
        self._later(ops)

    def record_purge(self, group: int, name: str | None, unix_us: int, now: int) -> None:
        self._later(self.purge_operations(RecordedPurge(group, name, unix_us), now))

    def record_feed_number(self, index: int, now: int) -> bool:
        """The feed has been heard up to a number; True where that ends the recovery's checking."""
        ended = self.recovery.on_feed_number(now, index)
        if index > self.recovery.last_feed_number:  # a start tells old numbers once more
            self.recovery.last_feed_number = index
            self._later([self.feed_number_operation(index)])
        return ended

    def _later(self, ops: list[WriteOperation]) -> None:
        """Recorded as soon as the disk has it; the coordinator can tell it again, so nobody waits."""
        if ops and self.committer is not None:
            task = asyncio.get_running_loop().create_task(self.commit_best_effort(ops, "coordinator"))
            self.background_commits.add(task)
            task.add_done_callback(self.background_commits.discard)

    def drain_operation(self, drain: MemberDrain) -> WriteOperation:
        return WriteOperation(f"drain/{drain.member}", pack_row(f"drain/{drain.member}", asdict(drain)))

    def purge_operations(self, purge: RecordedPurge, now: int) -> list[WriteOperation]:
        """A purge, and the end of those that all machines must have done."""
        key = f"purge/{purge.unix_us:020d}/{purge.group}/{purge.object or ''}"
        ops = [WriteOperation(key, pack_row(key, asdict(purge)))]
        held = list(self.engine.keys("purge/"))
        over = max(0, len(held) - MAX_PURGES)
        done = now - self.recovery.purge_retention_us
        ops += [
            WriteOperation(old, None)
            for n, old in enumerate(held)
            if old != key and (n < over or int(old[6:26]) < done)
        ]
        return ops

    def feed_number_operation(self, index: int) -> WriteOperation:
        return WriteOperation("feed/last", pack_row("feed/last", {"index": index}))

    def site_command_rows(self) -> list[Row]:
        """What operators have ordered of sites (`sites/operator_commands.py`), as it stood last."""
        return [row for _, row in self._rows("siteorder/")]

    def site_command_operation(self, site: str, row: Row | None) -> WriteOperation:
        key = f"siteorder/{site}"
        return WriteOperation(key, pack_row(key, row) if row is not None else None)

    # ---- calls ------------------------------------------------------------------------------------------

    def idempotent_call(self, key: str) -> Row | None:
        """The first outcome of a call with an idempotency key."""
        value = self.engine.get(f"call/{key}")
        return unpack_row(f"call/{key}", value) if value else None

    def idempotent_call_operations(self, key: str, row: Row, now: int) -> list[WriteOperation]:
        ops = [WriteOperation(f"call/{key}", pack_row(f"call/{key}", row))]
        rows = self._rows("call/")
        if len(rows) >= MAX_CALLS:
            rows.sort(key=lambda pair: pair[1]["at_us"])
            ops += [WriteOperation(k, None) for k, _ in rows[: len(rows) // 10]]
        else:
            ops += [WriteOperation(k, None) for k, r in rows if now - r["at_us"] > CALL_RETENTION_US]
        return ops

    # ---- bookings ---------------------------------------------------------------------------------------

    async def record_intent(self, request: str, now: int) -> None:
        """Recorded before a request that must not run twice is sent."""
        key = f"booking/{request}"
        await self.commit([WriteOperation(key, pack_row(key, {"at_us": now}))], "core")

    async def resolve_intent(self, request: str) -> None:
        await self.commit_best_effort([WriteOperation(f"booking/{request}", None)], "core")


def _of_tenant(key: str, name: str) -> bool:
    """A prefix `tenant/ab` also finds tenant `abc`."""
    return key.split("/")[1] == name


__all__ = ["DurableState", "Row", "Rows", "pack_row", "unpack_row"]
