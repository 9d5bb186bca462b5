"""Case 2: purged copies are served after the coordinator broke off in the middle of the purge's event."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
sys.dont_write_bytecode = True

import standins as s  # noqa: E402

TOLD_AFTER_BREAK_S = 2.0
PURGE_GRACE_S = 1.0
SLACK_S = 0.05
READING_MARGIN_S = 0.1  # a request may reach the stand-in a little after its first byte was sent
COPIES_LEFT_S = 5.9  # caches drop older copies in their own time, within 6 s
OUTAGE_S = 8.0
PURGED_GROUPS = 64  # of 256, 25%
OBJECTS = 48


def group_of(name: str) -> int:
    """Return the group of an object: of 48 objects, 24 are in groups that are purged."""
    return int(name, 16) % OBJECTS * 128 // OBJECTS


class Copies:
    """What one cache holds: the origin's date of its copy by object, and its own time to drop purged ones."""

    def __init__(self) -> None:
        self.dated: dict[tuple[str, str], int] = {}


async def case(record: s.Record, folder: Path, directors: list[s.Director]) -> bool:
    purged = [0.0]
    answers: list[tuple[s.Received, int]] = []

    def cache(name: str) -> s.Server:
        server = s.Server(name, "edge-1", "box", record)
        copies = Copies()

        async def answer(request: s.Received) -> s.Answer:
            """Serve a copy no older than `accept`, else fill from the source that is named."""
            await asyncio.sleep(0.01)
            now = time.time()
            key = (request.fields["k"], request.fields["p"])
            if purged[0] and now >= purged[0] + COPIES_LEFT_S:
                copies.dated = {
                    k: d
                    for k, d in copies.dated.items()
                    if d >= purged[0] * 1000 or group_of(k[0]) >= PURGED_GROUPS
                }
            dated = copies.dated.get(key)
            accept = int(request.fields.get("accept", 0))
            if dated is not None and (not accept or now * 1000 - dated <= accept):
                answers.append((request, dated))
                return s.data_answer(b"part", dated, "HIT")
            if "parent" not in request.fields:
                return b"absent", "note=MISS", b""
            await asyncio.sleep(0.03)
            dated = int(time.time() * 1000)
            copies.dated[key] = dated
            answers.append((request, dated))
            return s.data_answer(b"part", dated, "MISS_ORIGIN")

        server.answer = answer
        return server

    servers = [cache(f"c{n}") for n in range(6)]
    servers += [s.Server(f"p{n}", "hub", "parent", record) for n in range(2)]
    servers.append(s.Server("o0", "hub", "origin", record))
    for server in servers:
        await server.start()
    coordinator = s.Coordinator(record)
    await coordinator.start()
    director = s.Director(record, servers, coordinator, folder)
    directors.append(director)
    director.start()
    await director.ready()
    front = await s.FrontConnection(record).connect(director.port)
    requests: list[s.Request] = []

    async def ask_for(seconds: float) -> None:
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            nonlocal front
            if front.is_closed:
                front = await s.FrontConnection(record).connect(director.port)
            if len(front.open) < 32:
                name = f"{0x7F3A9C21E0B40000 + len(requests) % OBJECTS:016x}"
                requests.append(s.send_call(front, "site-video", name, 5.0, group_of(name)))
            await asyncio.sleep(0.02)

    await ask_for(2.0)  # the caches fill
    if s.TROUBLE:
        coordinator.breaks_off_at = coordinator.last_index + 1
    purged[0] = time.time()
    for group in range(PURGED_GROUPS):
        coordinator.add(evict={"shard": group, "unix_ms": int(purged[0] * 1000)})
    await ask_for(OUTAGE_S)
    if s.TROUBLE:
        await coordinator.start()
        record("coordinator is back")
    await ask_for(1.5)
    await asyncio.sleep(0.3)
    if s.TROUBLE and not coordinator.broke_off:
        raise s.NotRunError("the coordinator did not break off")
    return check(record, answers, requests, purged[0], coordinator.broke_off)


def check(
    record: s.Record,
    answers: list[tuple[s.Received, int]],
    requests: list[s.Request],
    purged: float,
    broke_off: float,
) -> bool:
    """Check that no request sent over 1 s after the director was told is answered from an older copy."""
    told = broke_off + TOLD_AFTER_BREAK_S if s.TROUBLE else purged
    binds = told + PURGE_GRACE_S + SLACK_S + READING_MARGIN_S
    record(f"purged at {record.at(purged)}, told at {record.at(told)}, binds from {record.at(binds)}")
    by_id = {request.request_id: request for request in requests}
    old = 0
    for request, dated in answers:
        client = by_id[request.request_id]
        is_purged = group_of(request.fields["k"]) < PURGED_GROUPS
        if is_purged and request.at > binds and dated < int(purged * 1000) and client.outcome == "served":
            old += 1
            record(
                f"OLD COPY {request.request_id} object {request.fields['k']}: sent to {request.server} at "
                f"{record.at(request.at)} with accept={request.fields.get('accept', '-')}, served from a copy "
                f"of {record.at(dated / 1000)}, {purged - dated / 1000:.3f} s older than the purge"
            )
    served = sum(request.outcome == "served" for request in requests)
    record(f"{len(requests)} requests, {served} served, {old} of them from a purged copy after the limit")
    if served < len(requests) / 4:
        raise s.NotRunError("too few requests were served")
    return not old


if __name__ == "__main__":
    s.main(FOLDER, case, 100.0)
