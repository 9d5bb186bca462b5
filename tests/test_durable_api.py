"""Tests that changes acknowledged by the administration API survive a restart, and that others are undone."""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace

import pytest

from onyxwick.core import AttemptOutcome, AttemptSpec, ClientRequest
from onyxwick.core.model import AnswerStatus, FinalAnswer
from onyxwick.interface import (
    AttemptStatus,
    EndpointListKind,
    EndpointsChanged,
    MemberState,
)
from onyxwick.store import StoreFailedError, StoreFullError
from tests.director_with_store import ADDRESSES, DirectorWithStore, open_state
from tests.faulty_files import FaultyFiles
from tests.router_harness import CACHES, US_PER_S

ZONE = "@ 60 IN SOA ns. a. {} 1 1 1 60\n@ 60 IN NS ns.\n"


def test_what_the_api_acknowledged_is_there_after_a_restart() -> None:
    async def scenario() -> None:
        director = DirectorWithStore(FaultyFiles())
        assert (
            await director.call("POST", "/tenants", {"name": "yard", "quota_per_s": 5, "token": "t" * 16})
        )[0] == 201
        zone = {"text": ZONE.format(7)}
        assert (await director.call("PUT", "/tenants/yard/zones/yard.test.", zone))[0] == 201
        assert (
            await director.call("PUT", "/tenants/yard/keys/k.test.", {"secret": "b255eHdpY2stdGVzdC1rZXk="})
        )[0] == 201
        assert (await director.call("PUT", "/drains/c1", {"reason": "disk"}))[0] == 200
        assert (await director.call("POST", "/tenants", {"name": "gone"}))[0] == 201
        assert (await director.call("DELETE", "/tenants/gone"))[0] == 204
        assert not director.core.endpoints.is_ready("c1") and director.core.endpoints.is_ready("c0")
        assert b"onyxwick-test-key" not in b"".join(director.files.read(n) for n in director.files.names())
        again = DirectorWithStore(director.files.after_crash(random.Random(1)))
        tenant = again.tenants.tenants["yard"]
        assert (
            set(again.tenants.tenants) == {"yard"}
            and tenant.quota.tokens_per_s == 5
            and tenant.token == "t" * 16
        )
        assert [z.data.get_soa().serial for z in tenant.zones.values()] == [7]
        assert list(tenant.keys.values()) == [b"onyxwick-test-key"]
        assert not again.core.endpoints.is_ready("c1"), "the drain is in force before the first request"
        assert (await again.call("DELETE", "/drains/c1"))[1] == {"member": "c1", "lifted": True}
        assert again.core.endpoints.is_ready("c1")

    asyncio.run(scenario())


def test_an_idempotent_call_is_done_once_and_repeats_its_first_outcome() -> None:
    async def scenario() -> None:
        director = DirectorWithStore(FaultyFiles())
        first = await director.call("POST", "/tenants", {"name": "yard"}, key="k1")
        again = DirectorWithStore(director.files.after_crash(random.Random(2)))
        assert await again.call("POST", "/tenants", {"name": "yard"}, key="k1") == first and first[0] == 201
        assert (await again.call("POST", "/tenants", {"name": "yard"}, key="k2"))[0] == 409
        assert (await again.call("POST", "/tenants", {"name": "other"}, key="k1"))[0] == 409
        assert list(again.tenants.tenants) == ["yard"]

    asyncio.run(scenario())


def test_a_change_that_cannot_be_made_durable_is_rolled_back() -> None:
    async def scenario() -> None:
        director = DirectorWithStore(FaultyFiles())
        await director.call("POST", "/tenants", {"name": "yard", "quota_per_s": 5})
        await director.call("PUT", "/tenants/yard/zones/yard.test.", {"text": ZONE.format(1)})
        director.files.failing_calls.add("sync")
        for method, path, data in (
            ("PATCH", "/tenants/yard", {"quota_per_s": 9}),
            ("PUT", "/tenants/yard/zones/yard.test.", {"text": ZONE.format(2)}),
            ("DELETE", "/tenants/yard", None),
            ("POST", "/tenants", {"name": "new"}),
            ("PUT", "/drains/c0", {}),
        ):
            status, text = await director.call(method, path, data)
            assert status == 503 and "not done" in str(text)
        tenant = director.tenants.tenants["yard"]
        assert list(director.tenants.tenants) == ["yard"] and tenant.quota.tokens_per_s == 5
        assert [z.data.get_soa().serial for z in tenant.zones.values()] == [1]
        assert director.core.endpoints.is_ready("c0")

    asyncio.run(scenario())


@pytest.mark.parametrize("seed", range(12))
def test_power_lost_in_the_middle_of_calls_leaves_each_done_or_not(seed: int) -> None:
    from tests.faulty_files import PowerLoss

    async def scenario() -> None:
        rng, files = random.Random(seed), FaultyFiles()
        director, acknowledged = DirectorWithStore(files), set[str]()
        files.crash_at_call = files.calls + rng.randrange(2, 40)
        trying = ""
        try:
            for n in range(20):
                trying = f"t{n}"
                task = director.call(
                    "POST", "/tenants", {"name": trying, "token": f"token-of-tenant-{n:03d}"}
                )
                done = await asyncio.wait_for(task, 5)
                if done[0] == 503 and files.calls >= files.crash_at_call:
                    break  # power was lost during the call: it is rejected, and no later call is acknowledged
                assert done[0] == 201
                acknowledged.add(trying)
        except (PowerLoss, TimeoutError, StoreFailedError, StoreFullError):
            pass
        again = DirectorWithStore(files.after_crash(rng))
        found = set(again.tenants.tenants)
        assert acknowledged <= found <= acknowledged | {trying}
        assert all(t.token for t in again.tenants.tenants.values()), "each tenant is complete, with its token"

    asyncio.run(scenario())


def test_a_second_kill_before_the_feed_is_received_loses_no_drain() -> None:
    """The list at start may be outdated: it must not lift a recorded drain or reset the feed number."""

    async def scenario() -> None:
        director = DirectorWithStore(FaultyFiles())
        director.core.feed.record_feed_index(9)
        drained = EndpointsChanged(EndpointListKind.CHANGE, (replace(CACHES[0], state=MemberState.DRAINING),))
        director.core.feed.apply_endpoints(drained, ADDRESSES)
        await asyncio.gather(*director.durable.background_commits)
        for seed in range(3):  # restart with the old list, in which all members are ready, then crash again
            director = DirectorWithStore(director.files.after_crash(random.Random(seed)))
            director.core.feed.record_feed_index(1)
            await asyncio.gather(*director.durable.background_commits)
            assert director.durable.recovery.last_feed_number == 9
            assert not director.core.endpoints.is_ready("c0") and director.core.endpoints.is_ready("c1")
        director.core.feed.record_feed_index(10)
        assert director.core.endpoints.is_ready("c0"), (
            "the feed has passed the recorded number without draining c0 again"
        )
        await asyncio.gather(*director.durable.background_commits)
        assert not list(director.durable.engine.keys("drain/"))

    asyncio.run(scenario())


# ---- write-ahead intents ---------------------------------------------------------------------------------


def test_a_write_ahead_intent_is_durable_before_its_request_is_sent_and_it_is_never_sent_again() -> None:
    sent: list[str] = []

    async def scenario() -> None:
        files = FaultyFiles()
        director = DirectorWithStore(files, bookings=True)

        class Origin:
            async def run(self, spec: AttemptSpec) -> AttemptOutcome:
                kept = files.after_crash(random.Random(1))
                intents = [k for k in open_state(kept).engine.keys("booking/")]
                assert intents == [f"booking/{spec.request.request_id}"], (
                    "the intent is durable before the first byte is sent"
                )
                sent.append(spec.request.request_id)
                return AttemptOutcome(AttemptStatus.OK, body=b"done")

        director.core.context.transport = Origin()
        request = ClientRequest("b" * 16, "save", "0" * 16, 0, None, director.core.now(), 3 * US_PER_S)
        answers: list[FinalAnswer] = []
        await director.core.serve(request, answers.append)
        assert [a.status for a in answers] == [AnswerStatus.SERVED] and sent == ["b" * 16]
        await director.durable.close()
        assert not list(open_state(files.copy()).engine.keys("booking/")), (
            "the intent is removed after the request has ended"
        )

        open_ = FaultyFiles()
        before = DirectorWithStore(open_, bookings=True)
        await before.durable.record_intent("c" * 16, 1)
        again = DirectorWithStore(open_.after_crash(random.Random(3)), bookings=True)
        answers.clear()
        twice = ClientRequest("c" * 16, "save", "0" * 16, 0, None, again.core.now(), 3 * US_PER_S)
        await again.core.serve(twice, answers.append)
        assert [a.status for a in answers] == [AnswerStatus.FAILED] and sent == ["b" * 16]

    asyncio.run(scenario())
