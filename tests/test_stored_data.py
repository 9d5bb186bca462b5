"""Tests that data written by revision 24ddf6c is read correctly and encoded to the same bytes again."""

from __future__ import annotations

import shutil
from pathlib import Path

import msgspec
import pytest
import ujson

from onyxwick.config.cells import plan_of_json
from onyxwick.core.clock import SteadyClock
from onyxwick.distribution import codec
from onyxwick.distribution.documents import DocumentAssembler, document_digest
from onyxwick.distribution.durable_feed import DurableFeed
from onyxwick.distribution.model import (
    Announcement,
    CacheListChange,
    Cursor,
    DocumentPart,
    FeedEvent,
    Freshness,
    PurgeEvent,
    PurgeKey,
    SnapshotBegin,
    SnapshotEnd,
)
from onyxwick.distribution.replica import FeedSnapshot, Replica
from onyxwick.operations.command_codec import WriterClock, commands_to_document
from onyxwick.operations.operator_commands import KnownCaches
from onyxwick.operations.persisted_commands import PersistedCommands
from onyxwick.sites.lifecycle import SiteDirective
from onyxwick.sites.operator_commands import SiteCommand, command_from_row, command_to_row
from onyxwick.store import records
from onyxwick.store.durable_state import DurableState
from onyxwick.store.encryption import SecretCipher
from onyxwick.store.engine import StoreEngine, Transaction, WriteOperation
from onyxwick.store.files import DiskFiles
from onyxwick.store.recovery import DrainSource, MemberDrain, RecordedPurge, RecoveryPhase
from onyxwick.store.row_schema import IdempotentCall, pack_row, unpack_row
from onyxwick.tenants import Tenant, Tenants
from onyxwick.trace.model import NEVER, DecisionReason, NotificationKind, verdict_word
from onyxwick.trace.reader import open_trace
from onyxwick.trace.table import StringTable, Table, concatenate
from onyxwick.zones import read_name
from tests.director_with_store import load_tenants

STORED = Path(__file__).parent / "stored_data" / "24ddf6c"
S = 1_000_000
START_US = 1_800_000_000 * S
START_MS = START_US // 1000
KEY = "b255eHdpY2stc3RvcmVkLWRhdGEtZml4dHVyZS1rZXk="
INSTALLATION = b"onyxwick-fixture"
HISTORY = START_US // S
LONG_TEXT = "".join(f"line {n} of a document in parts\n" for n in range(800))


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    """Copy the stored data, because opening a store may write to it."""
    shutil.copytree(STORED, tmp_path / "stored")
    return tmp_path / "stored"


@pytest.fixture
def state(folder: Path) -> DurableState:
    return DurableState(
        DiskFiles(folder / "store"), SecretCipher([KEY]), INSTALLATION, START_US + 20 * S, 60 * S, True
    )


# ---- a director's store ---------------------------------------------------------------------------------


def test_checkpoint_segments_and_commit_mark_are_read(state: DurableState) -> None:
    engine = state.engine
    assert engine.store_id == INSTALLATION
    assert engine.status() == {
        "store": INSTALLATION.hex(),
        "records": 16,
        "keys": 16,
        "log_bytes": 1185,
        "checkpoint_at": 7,
        "checkpoint_bytes": 1576,
        "segments": 2,
        "torn_bytes": 0,
        "failed": "",
    }
    assert engine.version("tenant/acme") == 2
    assert engine.version("tenant/globex") == 1
    assert engine.get("booking/0000000000000b02") is None


def test_tenants_zones_keys_and_secrets_are_read(state: DurableState) -> None:
    tenants = Tenants()
    assert load_tenants(state, tenants) == 3, "two tenants and the row of a deleted tenant"
    assert sorted(tenants.tenants) == ["acme", "globex"]
    acme = tenants.tenants["acme"]
    assert (acme.quota.tokens_per_s, acme.token) == (300.0, "acme-token-0123456789")
    assert acme.keys == {read_name("update.acme.example."): b"secret-of-the-acme-key"}
    assert set(acme.zones) == {read_name("acme.example."), read_name("static.example.")}
    zone = acme.zones[read_name("acme.example.")]
    assert str(zone.routed) == "edge.acme.example."
    assert "www.acme.example. 300 IN A 192.0.2.80" in zone.data.to_text(relativize=False)
    assert acme.zones[read_name("static.example.")].routed is None
    globex = tenants.tenants["globex"]
    assert (globex.quota.tokens_per_s, globex.token, globex.keys, globex.zones) == (20.0, "", {}, {})
    assert tenants.tenant_of_token("acme-token-0123456789") is acme
    assert state.tenant_operations("acme", acme) == [], "a tenant that was just loaded needs no write"


def test_a_tenant_deleted_by_a_call_stays_deleted(state: DurableState) -> None:
    tenants = Tenants()
    tenants.add(Tenant("initech", 5.0))
    load_tenants(state, tenants)
    assert "initech" not in tenants.tenants


def test_the_plan_is_read(state: DurableState) -> None:
    stored = state.cell_plan()
    assert stored is not None
    plan = plan_of_json(stored.plan, stored.version)
    assert plan.version == 3
    assert plan.cells["cell-a"].members == ("box-1", "box-2")
    assert plan.cells["cell-a"].weight == 2.0
    assert plan.cells["cell-b"].members == ("box-3",)
    assert plan.tenants["acme"].cells == ("cell-a",)
    assert plan.policy.reserved_share == 0.25


def test_drains_purges_intents_and_the_feed_are_read(state: DurableState) -> None:
    recovery = state.recovery
    assert recovery.phase is RecoveryPhase.CHECKING
    assert recovery.last_feed_number == 12
    assert recovery.drains == {
        "box-1": MemberDrain("box-1", DrainSource.COORDINATOR, START_US - 90 * S, "", START_US + 4 * S),
        "box-2": MemberDrain("box-2", DrainSource.OPERATOR, 0, "disk swap", START_US + 5 * S),
    }
    assert recovery.purges == [
        RecordedPurge(3, "00000000000000aa", START_US + 6 * S, 11),
        RecordedPurge(4, None, START_US + 7 * S, 12),
    ]
    assert list(recovery.unresolved_intents) == ["0000000000000b01"]
    assert not recovery.may_send("0000000000000b01")
    assert recovery.may_send("0000000000000b02")


def test_site_commands_are_read(state: DurableState) -> None:
    commands = [command_from_row(row) for row in state.site_command_rows()]
    assert commands == [
        SiteCommand("site-north", SiteDirective.EVACUATE, "exercise", "operator", START_US + 12 * S, 120 * S),
        SiteCommand("site-south", SiteDirective.HOLD, "", "operator", START_US + 13 * S, 0),
    ]
    assert [command_to_row(command) for command in commands] == state.site_command_rows()


def test_the_outcome_of_an_idempotent_call_is_read(state: DurableState) -> None:
    assert state.idempotent_call("create-acme") == IdempotentCall(
        "0123456789abcdef0123456789abcdef",
        201,
        {"name": "acme", "quota_per_s": 250.0, "zones": [], "keys": []},
        START_US + 14 * S,
    )
    assert state.idempotent_call("another") is None


def test_every_row_is_packed_to_the_bytes_that_were_read(state: DurableState) -> None:
    rows = dict(state.engine.scan())
    kinds = {
        "booking",
        "call",
        "drain",
        "feed",
        "gone",
        "key",
        "plan",
        "purge",
        "siteorder",
        "tenant",
        "zone",
    }
    assert {key.partition("/")[0] for key in rows} == kinds
    for key, value in rows.items():
        assert pack_row(key, unpack_row(key, value)) == value, key
    drain = state.recovery.drains["box-2"]
    assert state.drain_operation(drain) == WriteOperation("drain/box-2", rows["drain/box-2"])
    purge = state.recovery.purges[1]
    key = f"purge/{purge.unix_us:020d}/4/"
    assert state.purge_operations(purge, START_US + 8 * S)[0] == WriteOperation(key, rows[key])
    plan, call = state.cell_plan(), state.idempotent_call("create-acme")
    assert plan is not None and call is not None
    assert state.cell_plan_operation(plan) == WriteOperation("plan/now", rows["plan/now"])
    call_operation = state.idempotent_call_operations("create-acme", call, START_US + 15 * S)[0]
    assert call_operation.key == "call/create-acme" and call_operation.value is not None
    row = unpack_row("call/create-acme", call_operation.value)
    assert row == unpack_row("call/create-acme", rows["call/create-acme"])
    assert list(row) == ["mark", "status", "data", "at_us"]
    assert state.feed_number_operation(12) == WriteOperation("feed/last", rows["feed/last"])


def test_records_name_who_wrote_them_and_are_encoded_to_the_same_bytes() -> None:
    data = (STORED / "store" / "log-0000000005").read_bytes()
    store, segment, before = records.decode_segment_header(data, "log-0000000005")
    assert (store, segment) == (INSTALLATION, 5)
    written = records.encode_segment_header(store, segment, before)
    for found in records.decode_records(data, len(written), before):
        payload = records.decode_payload(found.payload, found.number)
        assert payload.author == "administration API"
        assert payload.at_us in [START_US + n * S for n in (13, 14, 15)]
        written += records.encode_record(found.number, records.encode_payload(payload))
    assert found.number == 16
    assert written == data
    checkpoint = (STORED / "store" / "checkpoint-00000000000000000007").read_bytes()
    store, number, rows = records.decode_checkpoint(checkpoint, "checkpoint")
    assert (store, number, len(rows)) == (INSTALLATION, 7, 10)
    header = records.encode_checkpoint_header(store, number, len(rows))
    part = records.encode_record(1, records.encode_payload(records.RecordPayload(0, "", rows)))
    assert header + part == checkpoint
    mark = (STORED / "store" / "mark").read_bytes()
    slots = records.decode_commit_marks(mark)
    assert max(number for _, number, _ in slots) == 16
    for store, number, turn in slots:
        at = (turn % 2) * records.COMMIT_MARK_SLOT_BYTES
        slot = records.encode_commit_mark(store, number, turn)
        assert mark[at : at + len(slot)] == slot


def test_a_store_goes_on_and_is_read_again_after_a_compaction(folder: Path) -> None:
    engine = StoreEngine(DiskFiles(folder / "store"), expected_store_id=INSTALLATION)
    rows = dict(engine.scan())
    engine.commit(Transaction((WriteOperation("tenant/globex", None),), "test", START_US))
    engine.compact()
    engine.close()
    again = StoreEngine(DiskFiles(folder / "store"), expected_store_id=INSTALLATION)
    del rows["tenant/globex"]
    assert dict(again.scan()) == rows
    assert again.last_record_number == 17
    again.close()


# ---- operator commands ----------------------------------------------------------------------------------


class LaterClock(SteadyClock):
    """A clock whose time is after all times in the stored file."""

    def __call__(self) -> int:
        return START_US + 10 * S


def test_persisted_operator_commands_are_read_and_written_alike(folder: Path) -> None:
    persisted = PersistedCommands(folder / "commands", "director-1", LaterClock())
    data = ujson.loads(persisted.path.read_text())
    stored = persisted.read()
    assert stored is not None
    commands = stored.commands
    assert (commands.version, commands.is_drained) == (4, True)
    assert commands.disabled_caches == {"box-1"}
    assert commands.re_enabled == (("box-2", START_US + S),)
    assert stored.known_caches == ["box-1", "box-2", "box-3"]
    known = KnownCaches()
    known.add(stored.known_caches)
    assert commands_to_document(commands, known, WriterClock("fixture-boot", 0)) == data


# ---- traces ---------------------------------------------------------------------------------------------


def test_a_trace_file_is_read() -> None:
    with open_trace(STORED / "trace" / "director-1-00000000000000ff-000001.owt") as trace:
        assert trace.indexed
        assert trace.header.director == "director-1"
        assert trace.header.run == "00000000000000ff"
        assert (trace.header.unix_us, trace.header.mono_us) == (START_US, 5 * S)
        assert [row["name"] for row in trace.header.classes] == ["site-video", "job-sheet", "booking"]
        assert [row["aim_us"] for row in trace.header.classes] == [600_000] * 3
        strings = StringTable()
        tables = [table for _, table in trace.tables(strings)]
        assert not trace.losses
    assert [len(table) for table in tables] == [3, 3]
    _check_requests(concatenate(tables, strings), strings)
    notifications = [
        (kind, at - START_US, data) for table in tables for kind, at, data in table.notifications
    ]
    assert [(NotificationKind(kind).name, at) for kind, at, _ in notifications] == [
        ("START", 0),
        ("CLOCK", 0),
        ("LIST", 0),
        ("SENT", 20_000),
        ("PURGE", 150_000),
        ("CONFIG", 160_000),
        ("SITE", 170_000),
        ("STOP", 300_000),
    ]
    assert notifications[1][2] == {"unix_us": START_US, "mono_us": 5 * S}
    assert notifications[2][2]["members"][0] == ["box-1", "zone-a", "cache", "ready", 1.0, 0]
    assert notifications[3][2] == {"id": 3, "member": "box-1", "class": "booking"}
    assert notifications[4][2] == {"group": 3, "object": None, "age_us": 0}
    assert notifications[6][2] == {"site": "site-north", "was": "steady", "now": "away"}


def _check_requests(table: Table, strings: StringTable) -> None:
    lives, attempts = table.requests, table.attempts
    assert lives["id"].tolist() == [1, 2, 3, 4, 5, 0xEE]
    assert (lives["at"] - START_US).tolist() == [0, 10_000, 20_000, 30_000, 40_000, 200_000]
    assert [verdict_word(v) for v in lives["verdict"].tolist()] == [
        "served",
        "served",
        "failed",
        "refused",
        "left",
        "open",
    ]
    assert [DecisionReason(v).value for v in lives["why"].tolist()] == [20, 20, 25, 27, 28, 0]
    assert lives["took"].tolist() == [9_100, 9_100, 9_100, 200, 9_100, 100_000]
    assert lives["after"].tolist() == [0, 0, 0, 2 * S, 0, 0]
    assert lives["bytes"].tolist() == [100, 101, 102, 0, 104, 0]
    assert lives["group"].tolist() == [0, 1, 2, 3, 4, -1]
    assert lives["flags"].tolist() == [0, 0, 4, 0, 0, 0]
    classes = [strings[n] for n in lives["class"].tolist()]
    assert classes == ["site-video", "job-sheet", "booking", "site-video", "job-sheet", "job-sheet"]
    assert [strings[n] for n in lives["cell"].tolist()] == ["cell-0", "cell-1"] * 2 + ["cell-0", ""]
    assert lives["attempts"].tolist() == [1, 2, 2, 0, 2, 1]
    members = [strings[n] for n in attempts["member"].tolist()]
    assert members == ["box-1", "box-1", "origin", "box-1", "origin", "box-1", "origin", "box-1"]
    assert attempts["status"].tolist() == [0, 3, 0, 5, 0, 6, 0, 255]
    assert attempts["why"].tolist() == [1, 1, 7, 1, 7, 1, 7, 1]
    assert attempts["sent"].tolist() == [500, 500, 4_500, 500, 4_500, 500, 4_500, NEVER]
    assert attempts["cancel"].tolist() == [NEVER, 3_000, NEVER, 3_000, NEVER, 3_000, NEVER, NEVER]
    assert attempts["pending"].tolist()[0] == 2
    assert attempts["room"].tolist()[0] == 25
    assert attempts["failing"].tolist()[0] == 63


# ---- the distribution feed ------------------------------------------------------------------------------


def _check_feed(replica: Replica) -> None:
    assert replica.cursor == Cursor(HISTORY, 9)
    assert replica.state.list_version == 8
    assert {name: row.fields for name, row in replica.state.rows.items()} == {
        "cache-1": {"id": "cache-1", "address": "10.0.0.1:8080", "state": "SERVING", "rack": "r1"},
        "cache-2": {"id": "cache-2", "address": "10.0.0.2:8080", "state": "DRAINING", "rack": "r1"},
    }
    assert replica.state.purges.unix_ms_by_key == {
        PurgeKey("job/42", None): START_MS,
        PurgeKey(None, 17): START_MS + 5,
    }
    documents = replica.state.documents
    assert {name: document.version for name, document in documents.items()} == {"quotas": 2, "long": 1}
    assert documents["quotas"].text == '{"quotas": {"acme": 300}}'
    assert documents["long"].text == LONG_TEXT
    assert documents["long"].digest == document_digest(LONG_TEXT)


def test_a_publishers_store_is_read(folder: Path) -> None:
    engine = StoreEngine(DiskFiles(folder / "feed" / "publisher"), expected_store_id=INSTALLATION)
    replica = Replica()
    assert DurableFeed(engine).load(replica, START_US // S + 99) == Cursor(0, 9)
    _check_feed(replica)
    lines = (STORED / "feed" / "snapshot.lines").read_bytes().splitlines(keepends=True)
    assert sorted(replica.snapshot_lines(START_MS + 30_000)[1][1:-1]) == sorted(lines[1:-1])
    engine.close()


def test_a_snapshots_lines_are_read_and_written_alike() -> None:
    lines = (STORED / "feed" / "snapshot.lines").read_bytes().splitlines(keepends=True)
    begin, *body, end = [codec.decode(line) for line in lines]
    assert begin == SnapshotBegin(Cursor(HISTORY, 9), 7)
    assert isinstance(end, SnapshotEnd)
    digest = codec.LinesDigest()
    for line in lines[1:-1]:
        digest.add(line)
    assert end == SnapshotEnd(Cursor(HISTORY, 9), digest.hex_digest())
    payloads = tuple(event.payload for event in body if isinstance(event, FeedEvent))
    assert len(payloads) == 7
    replica = Replica()
    replica.install(FeedSnapshot(begin.cursor, payloads))
    _check_feed(replica)
    assert replica.snapshot_lines(START_MS + 30_000) == (Cursor(HISTORY, 9), tuple(lines))


def test_a_logs_lines_are_read_and_written_alike() -> None:
    lines = (STORED / "feed" / "log.lines").read_bytes().splitlines(keepends=True)
    replica = Replica()
    replica.log.restart(Cursor(HISTORY, 0))
    kinds = []
    for line in lines:
        event = codec.decode(line)
        assert isinstance(event, FeedEvent)
        assert codec.encode_event(event.cursor, event.payload).line == line
        kinds.append(type(event.payload))
        replica.apply(event, START_MS)
    expected = [CacheListChange, PurgeEvent, PurgeEvent, CacheListChange, *[DocumentPart] * 5]
    assert kinds == expected
    _check_feed(replica)


def test_every_kind_of_message_is_read_and_written_alike() -> None:
    lines = (STORED / "feed" / "messages.lines").read_bytes().splitlines(keepends=True)
    cursor = Cursor(HISTORY, 9)
    assert codec.decode(lines[0]) == Announcement(cursor)
    assert codec.encode_announcement(cursor) == lines[0]
    assert codec.decode(lines[1]) == Freshness(cursor, START_MS + 30_000)
    assert codec.encode_freshness(cursor, START_MS + 30_000) == lines[1]
    assembler = DocumentAssembler()
    parts = [codec.decode(line) for line in lines[2:4]]
    documents = []
    for event in parts:
        assert isinstance(event, FeedEvent) and isinstance(event.payload, DocumentPart)
        documents.append(assembler.add(event.payload))
    assert documents[0] is None and documents[1] is not None
    assert (documents[1].name, documents[1].version, documents[1].text) == ("long", 9, "x" * 20_000)
    assert codec.decode_follow(lines[4]) == cursor
    assert codec.encode_follow(cursor) == lines[4]


def test_rows_are_message_pack_of_schema_and_map(state: DurableState) -> None:
    value = state.engine.get("drain/box-2")
    assert value is not None
    assert msgspec.msgpack.decode(value) == [
        1,
        {
            "member": "box-2",
            "by": "operator",
            "since_us": 0,
            "reason": "disk swap",
            "at_us": START_US + 5 * S,
        },
    ]
