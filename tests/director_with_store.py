"""A director's core, administration API and store on in-memory files, for tests of restarts."""

from __future__ import annotations

import asyncio
import json
from concurrent.futures import ThreadPoolExecutor

from onyxwick.admin.api import AdminApi
from onyxwick.admin.durable_api import DurableApi
from onyxwick.admin.http_messages import HttpError, HttpRequest
from onyxwick.background_work import BackgroundWork
from onyxwick.core import AttemptOutcome, AttemptSpec, RequestEngine
from onyxwick.core.endpoints import EndpointTable
from onyxwick.counters import Counters
from onyxwick.hosting.zone_reading import ZoneReader
from onyxwick.interface import (
    AnswerDetail,
    AttemptStatus,
    EndpointListKind,
    EndpointsChanged,
)
from onyxwick.store.durable_state import DurableState
from onyxwick.store.encryption import SecretCipher, generate_key
from onyxwick.tenants import Tenants
from tests.faulty_files import FaultyFiles
from tests.router_harness import CACHES, ORIGIN, PARENTS, SETTINGS, US_PER_S

KEY = generate_key()
ROWS = (*CACHES, *PARENTS, ORIGIN)
ADDRESSES = {m.address: ("127.0.0.1", 9) for m in ROWS}


def open_state(files: FaultyFiles, bookings: bool = False) -> DurableState:
    return DurableState(
        files, SecretCipher([KEY]), b"installation-one", 100 * US_PER_S, 6 * US_PER_S, bookings
    )


def load_tenants(state: DurableState, tenants: Tenants) -> int:
    """Load all stored tenants, and read their zones in a loop of its own before this returns."""
    count = state.load_tenants(tenants)
    reader = ZoneReader(tenants, state, BackgroundWork())
    with ThreadPoolExecutor(1) as pool:
        pool.submit(asyncio.run, reader.run()).result()
    assert not tenants.unread
    return count


class ImmediateTransport:
    async def run(self, spec: AttemptSpec) -> AttemptOutcome:
        return AttemptOutcome(AttemptStatus.OK, AnswerDetail.HIT)


class DirectorWithStore:
    """A core, the administration API and a store, on files that survive a restart."""

    def __init__(self, files: FaultyFiles, bookings: bool = False) -> None:
        self.files = files
        self.durable = open_state(files, bookings)
        self.durable.start()
        self.core = RequestEngine(SETTINGS, 7, ImmediateTransport(), EndpointTable(), Counters())
        self.core.context.durable = self.durable
        self.tenants = Tenants()
        load_tenants(self.durable, self.tenants)
        self.core.feed.apply_endpoints(EndpointsChanged(EndpointListKind.SNAPSHOT, ROWS), ADDRESSES)
        self.api = DurableApi(
            AdminApi(self.tenants, Counters(), "operator-token-1", dict), self.durable, self.core
        )

    async def call(self, method: str, path: str, data: object = None, key: str = "") -> tuple[int, object]:
        head = {"authorization": "Bearer operator-token-1"} | ({"idempotency-key": key} if key else {})
        body = json.dumps(data).encode() if data is not None else b""
        try:
            return await self.api(HttpRequest(method, path, head, body))
        except HttpError as error:
            return error.status, error.text
