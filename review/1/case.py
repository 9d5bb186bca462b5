"""Case 1: a booking that was accepted is dropped when a drained director is told to end."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
sys.dont_write_bytecode = True

import standins as s  # noqa: E402

BOOKING_S = 3.0
ORIGIN_STOP_S = 4.0
TERM_AFTER_DRAIN_S = 2.0
KILL_AFTER_TERM_S = 3.0 + 0.7
ANSWER_GRACE_S = 0.5
CROSSING_S = 0.05
"""A request that crosses the close of its connection within this time is sent again, once."""


async def case(record: s.Record, folder: Path, directors: list[s.Director]) -> bool:
    servers = [s.Server(f"c{n}", "edge-1", "box", record) for n in range(6)]
    servers += [s.Server(f"p{n}", "hub", "parent", record) for n in range(2)]
    origin = s.Server("o0", "hub", "origin", record)
    servers.append(origin)
    for server in servers:
        await server.start()
    stopped_until = 0.0

    async def origin_answer(request: s.Received) -> s.Answer:
        await asyncio.sleep(max(0.05, stopped_until - time.time()))
        return s.data_answer(b"booked", int(time.time() * 1000), "MISS")

    origin.answer = origin_answer
    coordinator = s.Coordinator(record)
    await coordinator.start()
    director = s.Director(record, servers, coordinator, folder)
    directors.append(director)
    director.start()
    await director.ready()

    # The front keeps two connections and has up to 32 requests open on each.
    connections = [await s.FrontConnection(record).connect(director.port) for _ in range(2)]
    requests: list[s.Request] = []
    repeats: list[asyncio.Task[None]] = []

    def ask(number: int) -> None:
        """Send a booking, and now and then a read, on an open connection."""
        usable = [each for each in connections if not each.is_closed and len(each.open) < 32]
        if not usable:
            return
        name = "site-video" if number % 3 == 2 else "booking"
        limit_s = 5.0 if name == "site-video" else BOOKING_S
        body = b"skip 4 m3" if name == "booking" else b""
        request = s.send_call(usable[number % len(usable)], name, f"{number % 8:016x}", limit_s, body=body)
        requests.append(request)
        repeats.append(asyncio.create_task(send_again_if_crossed(request, body)))

    async def send_again_if_crossed(request: s.Request, body: bytes) -> None:
        """Send a request that crossed the close of its connection again, once, on a new connection."""
        await request.done.wait()
        if request.outcome != "closed" or request.ended - request.sent > CROSSING_S:
            return
        record(f"client: {request.request_id} crossed the close of its connection")
        requests.remove(request)
        with contextlib.suppress(OSError):
            connection = await s.FrontConnection(record).connect(director.port)
            again = s.send_call(connection, request.class_name, request.object_id, request.timeout_s, body=body)
            requests.append(again)

    for number in range(20):
        ask(number)
        await asyncio.sleep(0.05)
    if s.TROUBLE:
        stopped_until = time.time() + ORIGIN_STOP_S
        record(f"the origin stops until {record.at(stopped_until)}")
        for number in range(6):
            ask(number)
            await asyncio.sleep(0.05)
        record("operators: POST /drain ->", await s.operator_call(director.admin_port, "POST", "/drain"))
    drained = time.time()
    for number in range(18):  # clients go on using open connections for 0.9 s
        ask(number)
        await asyncio.sleep(0.05)
    await asyncio.sleep(max(0.0, drained + TERM_AFTER_DRAIN_S - time.time()))
    terminated = time.time()
    if s.TROUBLE:
        director.signal(signal.SIGTERM)
    # SIGKILL comes no sooner than this; the director may end earlier, and must have answered then.
    await asyncio.sleep(max(0.0, terminated + KILL_AFTER_TERM_S - time.time()))
    assert director.process is not None
    record("director ended with", director.process.poll())
    await asyncio.sleep(0.2)
    for task in repeats:
        task.cancel()
    return check(record, requests)


def check(record: s.Record, requests: list[s.Request]) -> bool:
    lost = []
    for request in requests:
        answered = request.outcome in ("served", "refused", "failed")
        if not answered or request.ended > request.deadline + ANSWER_GRACE_S:
            lost.append(request)
            record(
                f"LOST {request.class_name} {request.request_id}: sent {record.at(request.sent)}, its time ends "
                f"{record.at(request.deadline)}, {request.outcome or 'no answer'} at {record.at(request.ended)}"
            )
    served = sum(request.outcome == "served" for request in requests)
    record(f"{len(requests)} requests, {served} served, {len(lost)} lost")
    if len(requests) < 20 or (not s.TROUBLE and served < len(requests) * 0.8):
        raise s.NotRunError("too few requests were served before the trouble")
    return not lost


if __name__ == "__main__":
    s.main(FOLDER, case, 100.0)
