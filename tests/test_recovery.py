"""What a director may decide before, while and after it has its state back; and how many come back
together."""

from __future__ import annotations

import asyncio
import json
import random
from dataclasses import replace
from pathlib import Path

import pytest

from onyxwick.admin.api import Api
from onyxwick.admin.durable_api import DurableApi
from onyxwick.admin.http import HttpError, HttpRequest
from onyxwick.core import AttemptOutcome, AttemptSpec, ClientRequest, RequestEngine
from onyxwick.core.backoff import BackoffPolicy, ReconnectBackoff
from onyxwick.core.endpoints import EndpointTable
from onyxwick.core.model import AnswerStatus, FinalAnswer
from onyxwick.counters import Counters
from onyxwick.interface import (
    AnswerDetail,
    AttemptStatus,
    EndpointListKind,
    EndpointsChanged,
    MemberState,
    ObjectsPurged,
)
from onyxwick.store import StoreFailedError, StoreFullError, StoreUnusableError
from onyxwick.store.durable_state import DurableState
from onyxwick.store.encryption import SecretCipher, generate_key, read_key_file
from onyxwick.store.recovery import (
    TRANSITIONS,
    DrainSource,
    IllegalRecoveryPhaseError,
    MemberDrain,
    RecordedPurge,
    Recovery,
    RecoveryPhase,
)
from onyxwick.tenants import Tenants
from tests.faulty_files import FaultyFiles
from tests.world import CACHES, ORIGIN, PARENTS, SETTINGS, S, member

KEY = generate_key()
ROWS = (*CACHES, *PARENTS, ORIGIN)
ADDRESSES = {m.address: ("127.0.0.1", 9) for m in ROWS}


def _recovered(drains: list[MemberDrain], reached: int = 5, now: int = 100 * S) -> Recovery:
    recovery = Recovery(now, 6 * S)
    recovery.on_opened(now)
    recovery.on_replayed(
        now,
        drains,
        [RecordedPurge(1, None, now - 2 * S), RecordedPurge(2, "o", now - 9 * S)],
        ["b1"],
        reached,
    )
    return recovery


# ---- the machine ----------------------------------------------------------------------------------------


def test_only_legal_migration_transitions_are_possible() -> None:
    for phase in RecoveryPhase:
        for to in RecoveryPhase:
            recovery = Recovery(0, S)
            recovery.phase = phase
            if to not in TRANSITIONS[phase]:
                with pytest.raises(IllegalRecoveryPhaseError):
                    recovery._transition(to, 1)


def test_until_the_feed_is_heard_the_stricter_word_wins_and_then_the_coordinators() -> None:
    recovery = _recovered(
        [MemberDrain("c0", DrainSource.COORDINATOR, 0), MemberDrain("c1", DrainSource.OPERATOR, 0)]
    )
    event = EndpointsChanged(EndpointListKind.SNAPSHOT, ROWS)
    states = {m.address: m.state for m in recovery.with_drains(event).members}
    assert states["c0"] is states["c1"] is MemberState.DRAINING and states["c2"] is MemberState.READY
    assert not recovery.on_feed_number(101 * S, 4) and recovery.status()["phase"] == "checking"
    assert recovery.on_feed_number(101 * S, 5) and recovery.status()["phase"] == "serving"
    states = {m.address: m.state for m in recovery.with_drains(event).members}
    assert states["c0"] is MemberState.READY, "the coordinator has not told of a drain again: it was lifted"
    assert states["c1"] is MemberState.DRAINING, "an operator's drain is lifted by an operator alone"
    assert recovery.lift_drain("c1") and not recovery.lift_drain("c1")
    assert recovery.with_drains(event) is event


def test_another_process_under_a_drained_name_is_not_drained_by_the_coordinators_word() -> None:
    recovery = _recovered(
        [MemberDrain("c0", DrainSource.COORDINATOR, 50 * S), MemberDrain("c1", DrainSource.OPERATOR, 50 * S)]
    )
    new = EndpointsChanged(
        EndpointListKind.CHANGE, (member("c0", started_at_us=90 * S), member("c1", started_at_us=90 * S))
    )
    assert [m.state for m in recovery.with_drains(new).members] == [MemberState.READY, MemberState.DRAINING]
    gone = EndpointsChanged(EndpointListKind.CHANGE, (replace(member("c1"), state=MemberState.REMOVED),))
    assert recovery.with_drains(gone).members[0].state is MemberState.REMOVED


def test_a_feed_that_is_never_heard_keeps_the_drains_and_does_not_hold_the_service() -> None:
    recovery = _recovered([MemberDrain("c0", DrainSource.COORDINATOR)])
    assert recovery.may_serve and not recovery.on_tick(109 * S)
    assert recovery.on_tick(111 * S) and recovery.phase is RecoveryPhase.SERVING
    assert recovery.is_drained(member("c0")) and "not heard" in recovery.reason


def test_a_feed_heard_late_lifts_the_coordinators_drains_once_and_keeps_the_operators() -> None:
    recovery = _recovered(
        [MemberDrain("c0", DrainSource.COORDINATOR), MemberDrain("c1", DrainSource.OPERATOR)], reached=5
    )
    assert recovery.on_tick(111 * S) and recovery.feed_overdue
    assert not recovery.on_feed_number(112 * S, 4)  # not yet as far as the store had come
    assert recovery.on_feed_number(113 * S, 5) and not recovery.feed_overdue
    assert not recovery.is_drained(member("c0")) and recovery.is_drained(member("c1"))
    assert not recovery.on_feed_number(114 * S, 6)  # nothing more to lift


def test_purges_that_may_not_be_done_are_told_again_and_bookings_are_not_sent_again() -> None:
    recovery = _recovered([])
    assert recovery.purges_to_replay(101 * S) == [ObjectsPurged(1, None, 3 * S)]
    assert not recovery.may_send("b1") and recovery.may_send("b2")


def test_directors_that_start_together_do_not_call_together() -> None:
    """At 3 and at 40: the calls of the first 100 ms, and the limits that all allow themselves."""
    for directors, most in ((3, 3), (40, 8)):
        backs = [ReconnectBackoff(n * 7919, 0, BackoffPolicy(), directors) for n in range(directors)]
        windows = [0] * 21
        for back in backs:
            windows[back.initial_delay_us // 100_000] += 1
        assert max(windows) <= most and sum(windows) == directors
        shares = [sum(b.ramp_share(at) for b in backs) / directors for at in range(0, 14 * S, S)]
        assert shares == sorted(shares) and shares[0] <= 0.21 and shares[-1] == 1.0
    alone = ReconnectBackoff(1, 0, BackoffPolicy(), 1)
    assert alone.may_connect(0)
    tries = [[back.next_delay_us(100_000) for _ in range(12)] for back in backs]
    assert all(max(row) <= 8 * S for row in tries) and len({row[3] for row in tries}) == 40
    backs[0].reset()
    assert backs[0].next_delay_us(100_000) <= 100_000


# ---- rows -----------------------------------------------------------------------------------------------


def _durable(files: FaultyFiles, bookings: bool = False) -> DurableState:
    return DurableState(files, SecretCipher([KEY]), b"installation-one", 100 * S, 6 * S, bookings)


def test_keys_rotate_and_a_wrong_key_is_refused(tmp_path: Path) -> None:
    old, new = generate_key(), generate_key()
    sealed = SecretCipher([old]).encrypt(b"secret")
    both = SecretCipher([new, old])
    assert both.decrypt(sealed, "x") == b"secret"
    again = both.reencrypt(sealed)
    assert SecretCipher([new]).decrypt(again, "x") == b"secret" and b"secret" not in again
    with pytest.raises(StoreUnusableError, match="key/x: no key of the key file opens it"):
        SecretCipher([new]).decrypt(sealed, "key/x")
    (tmp_path / "keys").write_text(f"# newest first\n{new}\n{old}\n")
    assert read_key_file(tmp_path / "keys").decrypt(sealed, "x") == b"secret"
    for text in ("", "# none\n", "short\n"):
        (tmp_path / "keys").write_text(text)
        with pytest.raises(StoreUnusableError):
            read_key_file(tmp_path / "keys")


def test_a_row_of_a_newer_schema_is_refused() -> None:
    from onyxwick.store.row_schema import encode_row, unpack_row

    with pytest.raises(StoreUnusableError, match="schema 9, newer"):
        unpack_row("drain/c0", encode_row([9, {}]))
    with pytest.raises(StoreUnusableError, match="cannot be read"):
        unpack_row("drain/c0", b"\xc1")


# ---- the API --------------------------------------------------------------------------------------------


class Nothing:
    async def run(self, order: AttemptSpec) -> AttemptOutcome:
        return AttemptOutcome(AttemptStatus.OK, AnswerDetail.HIT)


class Depot:
    """A core, the API and a store, over files that outlive it."""

    def __init__(self, files: FaultyFiles, bookings: bool = False) -> None:
        self.files = files
        self.durable = _durable(files, bookings)
        self.durable.start()
        self.core = RequestEngine(SETTINGS, 7, Nothing(), EndpointTable(), Counters())
        self.core.context.durable = self.durable
        self.tenants = Tenants()
        self.durable.load_tenants(self.tenants)
        self.core.feed.apply_endpoints(EndpointsChanged(EndpointListKind.SNAPSHOT, ROWS), ADDRESSES)
        self.api = DurableApi(
            Api(self.tenants, Counters(), "operator-token-1", dict), self.durable, self.core
        )

    async def call(self, method: str, path: str, data: object = None, key: str = "") -> tuple[int, object]:
        head = {"authorization": "Bearer operator-token-1"} | ({"idempotency-key": key} if key else {})
        body = json.dumps(data).encode() if data is not None else b""
        try:
            return await self.api(HttpRequest(method, path, head, body))
        except HttpError as error:
            return error.status, error.text


ZONE = "@ 60 IN SOA ns. a. {} 1 1 1 60\n@ 60 IN NS ns.\n"


def test_what_the_api_acknowledged_is_there_after_a_restart() -> None:
    async def play() -> None:
        depot = Depot(FaultyFiles())
        assert (await depot.call("POST", "/tenants", {"name": "yard", "quota_per_s": 5, "token": "t" * 16}))[
            0
        ] == 201
        zone = {"text": ZONE.format(7)}
        assert (await depot.call("PUT", "/tenants/yard/zones/yard.test.", zone))[0] == 201
        assert (
            await depot.call("PUT", "/tenants/yard/keys/k.test.", {"secret": "b255eHdpY2stdGVzdC1rZXk="})
        )[0] == 201
        assert (await depot.call("PUT", "/drains/c1", {"reason": "disk"}))[0] == 200
        assert (await depot.call("POST", "/tenants", {"name": "gone"}))[0] == 201
        assert (await depot.call("DELETE", "/tenants/gone"))[0] == 204
        assert not depot.core.endpoints.is_ready("c1") and depot.core.endpoints.is_ready("c0")
        assert b"onyxwick-test-key" not in b"".join(depot.files.read(n) for n in depot.files.names())
        again = Depot(depot.files.after_crash(random.Random(1)))
        tenant = again.tenants.tenants["yard"]
        assert set(again.tenants.tenants) == {"yard"} and tenant.quota.per_s == 5 and tenant.token == "t" * 16
        assert [z.data.get_soa().serial for z in tenant.zones.values()] == [7]
        assert list(tenant.keys.values()) == [b"onyxwick-test-key"]
        assert not again.core.endpoints.is_ready("c1"), "the drain holds before the first request"
        assert (await again.call("DELETE", "/drains/c1"))[1] == {"member": "c1", "lifted": True}
        assert again.core.endpoints.is_ready("c1")

    asyncio.run(play())


def test_the_same_call_is_done_once_and_tells_its_first_outcome_again() -> None:
    async def play() -> None:
        depot = Depot(FaultyFiles())
        first = await depot.call("POST", "/tenants", {"name": "yard"}, key="k1")
        again = Depot(depot.files.after_crash(random.Random(2)))
        assert await again.call("POST", "/tenants", {"name": "yard"}, key="k1") == first and first[0] == 201
        assert (await again.call("POST", "/tenants", {"name": "yard"}, key="k2"))[0] == 409
        assert (await again.call("POST", "/tenants", {"name": "other"}, key="k1"))[0] == 409
        assert list(again.tenants.tenants) == ["yard"]

    asyncio.run(play())


def test_what_cannot_be_made_durable_is_not_done() -> None:
    async def play() -> None:
        depot = Depot(FaultyFiles())
        await depot.call("POST", "/tenants", {"name": "yard", "quota_per_s": 5})
        await depot.call("PUT", "/tenants/yard/zones/yard.test.", {"text": ZONE.format(1)})
        depot.files.fail.add("sync")
        for method, path, data in (
            ("PATCH", "/tenants/yard", {"quota_per_s": 9}),
            ("PUT", "/tenants/yard/zones/yard.test.", {"text": ZONE.format(2)}),
            ("DELETE", "/tenants/yard", None),
            ("POST", "/tenants", {"name": "new"}),
            ("PUT", "/drains/c0", {}),
        ):
            status, text = await depot.call(method, path, data)
            assert status == 503 and "not done" in str(text)
        tenant = depot.tenants.tenants["yard"]
        assert list(depot.tenants.tenants) == ["yard"] and tenant.quota.per_s == 5
        assert [z.data.get_soa().serial for z in tenant.zones.values()] == [1]
        assert depot.core.endpoints.is_ready("c0")

    asyncio.run(play())


@pytest.mark.parametrize("seed", range(12))
def test_power_lost_in_the_middle_of_calls_leaves_each_done_or_not(seed: int) -> None:
    from tests.faulty_files import Crash

    async def play() -> None:
        rng, files = random.Random(seed), FaultyFiles()
        depot, acknowledged = Depot(files), set[str]()
        files.crash_at = files.calls + rng.randrange(2, 40)
        trying = ""
        try:
            for n in range(20):
                trying = f"t{n}"
                task = depot.call("POST", "/tenants", {"name": trying, "token": f"token-of-tenant-{n:03d}"})
                done = await asyncio.wait_for(task, 5)
                if done[0] == 503 and files.calls >= files.crash_at:
                    break  # the power went in the call: it is refused, and nothing after it is acknowledged
                assert done[0] == 201
                acknowledged.add(trying)
        except (Crash, TimeoutError, StoreFailedError, StoreFullError):
            pass
        again = Depot(files.after_crash(rng))
        found = set(again.tenants.tenants)
        assert acknowledged <= found <= acknowledged | {trying}
        assert all(t.token for t in again.tenants.tenants.values()), "whole, with its token"

    asyncio.run(play())


def test_a_second_kill_before_the_feed_is_heard_forgets_no_drain() -> None:
    """The list of a start is old: it must neither lift what is recorded nor put the feed's number back."""

    async def play() -> None:
        depot = Depot(FaultyFiles())
        depot.core.feed.record_feed_index(9)
        drained = EndpointsChanged(EndpointListKind.CHANGE, (replace(CACHES[0], state=MemberState.DRAINING),))
        depot.core.feed.apply_endpoints(drained, ADDRESSES)
        await asyncio.gather(*depot.durable.background_commits)
        for seed in range(3):  # each time up with the old list, in which all are ready, and killed again
            depot = Depot(depot.files.after_crash(random.Random(seed)))
            depot.core.feed.record_feed_index(1)
            await asyncio.gather(*depot.durable.background_commits)
            assert depot.durable.recovery.last_feed_number == 9
            assert not depot.core.endpoints.is_ready("c0") and depot.core.endpoints.is_ready("c1")
        depot.core.feed.record_feed_index(10)
        assert depot.core.endpoints.is_ready("c0"), "the feed is past it and has not drained it again"
        await asyncio.gather(*depot.durable.background_commits)
        assert not list(depot.durable.engine.keys("drain/"))

    asyncio.run(play())


# ---- bookings -------------------------------------------------------------------------------------------


def test_a_bookings_intent_is_durable_before_it_is_sent_and_it_is_never_sent_again() -> None:
    sent: list[str] = []

    async def play() -> None:
        files = FaultyFiles()
        depot = Depot(files, bookings=True)

        class Origin:
            async def run(self, order: AttemptSpec) -> AttemptOutcome:
                kept = files.after_crash(random.Random(1))
                intents = [k for k in _durable(kept).engine.keys("booking/")]
                assert intents == [f"booking/{order.request.request_id}"], "durable before the first byte"
                sent.append(order.request.request_id)
                return AttemptOutcome(AttemptStatus.OK, body=b"done")

        depot.core.context.transport = Origin()
        request = ClientRequest("b" * 16, "save", "0" * 16, 0, None, depot.core.now(), 3 * S)
        answers: list[FinalAnswer] = []
        await depot.core.serve(request, answers.append)
        assert [a.status for a in answers] == [AnswerStatus.SERVED] and sent == ["b" * 16]
        await depot.durable.close()
        assert not list(_durable(files.copy()).engine.keys("booking/")), "ended, so forgotten"

        open_ = FaultyFiles()
        before = Depot(open_, bookings=True)
        await before.durable.record_intent("c" * 16, 1)
        again = Depot(open_.after_crash(random.Random(3)), bookings=True)
        answers.clear()
        twice = ClientRequest("c" * 16, "save", "0" * 16, 0, None, again.core.now(), 3 * S)
        await again.core.serve(twice, answers.append)
        assert [a.status for a in answers] == [AnswerStatus.FAILED] and sent == ["b" * 16]

    asyncio.run(play())
