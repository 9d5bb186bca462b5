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
from onyxwick.store.encryption import Sealer
from onyxwick.store.engine import StoreEngine, StoreLimits, Transaction, WriteOperation
from onyxwick.store.errors import StoreError, StoreUnusableError
from onyxwick.store.files import Files
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
CALLS_KEPT_US = 86_400_000_000  # a call's outcome is told again for a day
CALLS_MOST, PURGES_MOST = 5000, 4096
encode, decode = msgspec.msgpack.Encoder().encode, msgspec.msgpack.Decoder().decode


def kind_of(key: str) -> str:
    return key.partition("/")[0]


def pack(key: str, row: Row) -> bytes:
    return encode([SCHEMAS[kind_of(key)], row])


def unpack(key: str, value: bytes) -> Row:
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


def tenant_rows(tenant: Tenant, sealer: Sealer) -> Rows:
    """All that is a tenant's own; secrets sealed."""
    token = sealer.seal(tenant.token.encode()) if tenant.token else b""
    out: Rows = {f"tenant/{tenant.name}": {"quota_per_s": tenant.quota.per_s, "token": token}}
    for name, zone in tenant.zones.items():
        routed = str(zone.routed) if zone.routed is not None else None
        out[f"zone/{tenant.name}/{name}"] = {"text": zone.data.to_text(relativize=False), "routed": routed}
    for key, secret in tenant.keys.items():
        out[f"key/{tenant.name}/{key}"] = {"secret": sealer.seal(secret)}
    return out


def fill_tenant(tenant: Tenant, tenants: Tenants, rows: Iterable[tuple[str, Row]], sealer: Sealer) -> None:
    """A tenant's zones and keys from rows. Refused or TenantError where one cannot be used."""
    import base64

    for key, row in rows:
        kind, _, rest = key.partition("/")
        name = rest.partition("/")[2]
        if kind == "zone":
            tenants.add_zone(read_zone(tenant.name, name, row["text"], row["routed"]))
        elif kind == "key":
            secret = sealer.open(row["secret"], key)
            tenant.add_key(*read_key(name, base64.b64encode(secret).decode()))


class DurableState:
    """An open store with its recovery. Used in the event loop alone."""

    def __init__(
        self,
        files: Files,
        sealer: Sealer,
        installation: bytes,
        now: int,
        settles_us: int,
        bookings: bool = False,
        limits: StoreLimits | None = None,
    ) -> None:
        self.recovery = Recovery(now, settles_us)
        self.recovery.opened(now)
        self.sealer, self.bookings = sealer, bookings
        try:
            self.engine = StoreEngine(files, limits, installation)
            self._replay(now)
        except StoreError as error:
            self.recovery.refuse(now, str(error))
            raise
        self.committer: Committer | None = None
        self.unsaved = 0
        self.notes: set[asyncio.Task[None]] = set()

    def _rows(self, prefix: str) -> list[tuple[str, Row]]:
        return [(key, unpack(key, value)) for key, value in self.engine.scan(prefix)]

    def _replay(self, now: int) -> None:
        drains = [MemberDrain(**row) for _, row in self._rows("drain/")]
        purges = [RecordedPurge(**row) for _, row in self._rows("purge/")]
        bookings = [key.partition("/")[2] for key, _ in self._rows("booking/")]
        feed = self.engine.get("feed/last")
        reached = int(unpack("feed/last", feed)["index"]) if feed else 0
        self.recovery.replayed(now, drains, purges, bookings, reached)

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
            token = self.sealer.open(row["token"], key).decode() if row["token"] else ""
            tenant = Tenant(name, float(row["quota_per_s"]), token)
            tenants.add(tenant)
            own = self._rows(f"zone/{name}/") + self._rows(f"key/{name}/")
            fill_tenant(tenant, tenants, own, self.sealer)
        return len(rows) + len(gone)

    def plan(self) -> Row | None:
        """The plan of cells that a call has made, with its version; None: the file's holds."""
        value = self.engine.get("plan/now")
        return unpack("plan/now", value) if value else None

    def changes(self, prefixes: Iterable[str], rows: Mapping[str, Row]) -> list[WriteOperation]:
        """What makes the rows under some prefixes be these. A sealed secret that is the same one is left."""
        held = {key: row for prefix in prefixes for key, row in self._rows(prefix)}
        ops = [WriteOperation(key, None) for key in held if key not in rows]
        for key, row in rows.items():
            if key not in held or self._plain(key, held[key]) != self._plain(key, row):
                ops.append(WriteOperation(key, pack(key, row)))
        return ops

    def _plain(self, key: str, row: Row) -> Row:
        """A row with its secrets open: sealing the same secret twice gives other bytes."""
        sealed = {"tenant": "token", "key": "secret"}.get(kind_of(key))
        if sealed is None or not row[sealed]:
            return row
        return {**row, sealed: self.sealer.open(row[sealed], key)}

    def tenant_changes(self, name: str, tenant: Tenant | None) -> list[WriteOperation]:
        """Ops after a tenant was changed, or (None) deleted."""
        prefixes = (f"tenant/{name}", f"zone/{name}/", f"key/{name}/", f"gone/{name}")
        rows = tenant_rows(tenant, self.sealer) if tenant else {f"gone/{name}": Row()}
        exact = [op for op in self.changes(prefixes, rows) if _of_tenant(op.key, name)]
        return exact

    # ---- commits ----------------------------------------------------------------------------------------

    async def commit(self, ops: list[WriteOperation], by: str) -> None:
        """Durable when it returns; StoreError: nothing of it holds."""
        if ops:
            assert self.committer is not None
            await self.committer.commit(Transaction(tuple(ops), by, time.time_ns() // 1000))

    async def note(self, ops: list[WriteOperation], by: str) -> None:
        """The same for what others can tell again: a failure is logged and counted, and nobody waits."""
        try:
            await self.commit(ops, by)
        except StoreError as error:
            self.unsaved += 1
            log.warning("not recorded", by=by, error=str(error))

    # ---- drains, purges, the feed -----------------------------------------------------------------------

    def list_told(self, event: EndpointsChanged, now: int) -> None:
        """What the coordinator drains or takes away is remembered, until it says otherwise."""
        ops = []
        for m in event.members:
            held = self.engine.get(f"drain/{m.address}")
            by = unpack(f"drain/{m.address}", held)["by"] if held else ""
            if m.state is not MemberState.READY and not held:
                ops.append(self.drain_op(MemberDrain(m.address, "coordinator", m.started_at_us, "", now)))
            elif (
                m.state is MemberState.READY
                and by == "coordinator"
                and self.recovery.phase is RecoveryPhase.SERVING
            ):
                # Not before the feed is heard: the list of a start may be older than what is recorded.
                ops.append(WriteOperation(f"drain/{m.address}", None))
        self._later(ops)

    def purge_told(self, group: int, name: str | None, unix_us: int, now: int) -> None:
        self._later(self.purge_ops(RecordedPurge(group, name, unix_us), now))

    def index_told(self, index: int, now: int) -> bool:
        """The feed has been heard up to a number; True where that ends the recovery's checking."""
        ended = self.recovery.heard(now, index)
        if index > self.recovery.reached:  # a start tells old numbers once more
            self.recovery.reached = index
            self._later([self.feed_op(index)])
        return ended

    def _later(self, ops: list[WriteOperation]) -> None:
        """Recorded as soon as the disk has it; the coordinator can tell it again, so nobody waits."""
        if ops and self.committer is not None:
            task = asyncio.get_running_loop().create_task(self.note(ops, "coordinator"))
            self.notes.add(task)
            task.add_done_callback(self.notes.discard)

    def drain_op(self, drain: MemberDrain) -> WriteOperation:
        return WriteOperation(f"drain/{drain.member}", pack(f"drain/{drain.member}", asdict(drain)))

    def purge_ops(self, purge: RecordedPurge, now: int) -> list[WriteOperation]:
        """A purge, and the end of those that all machines must have done."""
        key = f"purge/{purge.unix_us:020d}/{purge.group}/{purge.object or ''}"
        ops = [WriteOperation(key, pack(key, asdict(purge)))]
        held = list(self.engine.keys("purge/"))
        over = max(0, len(held) - PURGES_MOST)
        done = now - self.recovery.settles_us
        ops += [
            WriteOperation(old, None)
            for n, old in enumerate(held)
            if old != key and (n < over or int(old[6:26]) < done)
        ]
        return ops

    def feed_op(self, index: int) -> WriteOperation:
        return WriteOperation("feed/last", pack("feed/last", {"index": index}))

    def site_orders(self) -> list[Row]:
        """What operators have ordered of sites (`sites/operator_commands.py`), as it stood last."""
        return [row for _, row in self._rows("siteorder/")]

    def site_order_op(self, site: str, row: Row | None) -> WriteOperation:
        key = f"siteorder/{site}"
        return WriteOperation(key, pack(key, row) if row is not None else None)

    # ---- calls ------------------------------------------------------------------------------------------

    def call(self, key: str) -> Row | None:
        """The first outcome of a call with an idempotency key."""
        value = self.engine.get(f"call/{key}")
        return unpack(f"call/{key}", value) if value else None

    def call_ops(self, key: str, row: Row, now: int) -> list[WriteOperation]:
        ops = [WriteOperation(f"call/{key}", pack(f"call/{key}", row))]
        rows = self._rows("call/")
        if len(rows) >= CALLS_MOST:
            rows.sort(key=lambda pair: pair[1]["at_us"])
            ops += [WriteOperation(k, None) for k, _ in rows[: len(rows) // 10]]
        else:
            ops += [WriteOperation(k, None) for k, r in rows if now - r["at_us"] > CALLS_KEPT_US]
        return ops

    # ---- bookings ---------------------------------------------------------------------------------------

    async def intend(self, request: str, now: int) -> None:
        """Recorded before a request that must not run twice is sent."""
        key = f"booking/{request}"
        await self.commit([WriteOperation(key, pack(key, {"at_us": now}))], "core")

    async def ended(self, request: str) -> None:
        await self.note([WriteOperation(f"booking/{request}", None)], "core")


def _of_tenant(key: str, name: str) -> bool:
    """A prefix `tenant/ab` also finds tenant `abc`."""
    return key.split("/")[1] == name


__all__ = ["DurableState", "Row", "Rows", "pack", "unpack"]
