"""Clients that read slowly get a final answer to each request, also when memory is short."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from onyxwick.core import AnswerStatus, FinalAnswer
from onyxwick.core.memory_account import HeldBytes
from onyxwick.lab.soak.hoarding import encode_begin
from onyxwick.net import fastcgi, resp
from onyxwick.net.connection_memory import LARGE_ANSWER_BYTES, failure_in_place_of
from onyxwick.net.connection_release import releasable
from onyxwick.net.peer_progress import PeerProgress
from onyxwick.net.socket_state import unread_bytes
from onyxwick.net.write_queue import PendingWrite, WriteQueue
from tests.director_harness import DirectorHarness, run_scenario
from tests.limited_director import (
    SERVED_FIELDS,
    LimitedDirector,
    count_served,
    encode_call,
    limited_director,
    served,
)

LARGE_OBJECT = "00000000000000bb"
BODY = b"x" * 238_000
READ_BYTES = 65_536
MAX_PLAY_S = 30.0
CLIENT_INTERVAL_S = 0.1
"""Between two clients, so that memory runs short while the answers of earlier ones wait."""


def _reply(connection: socket.socket, words: list[bytes]) -> None:
    if words[0] == b"REQ" and LARGE_OBJECT.encode() in words[2]:
        connection.sendall(resp.encode_command(words[1], b"data", SERVED_FIELDS, BODY))
    else:
        served(connection, words)


@dataclass
class _SlowClient:
    """Sends requests at once and reads at a rate until each has its END_REQUEST, or the connection ends."""

    sock: socket.socket
    requests: int
    bytes_per_s: float
    pause_s: float = 0.0  # at first, in which it reads nothing
    answered: set[int] = field(default_factory=set)
    is_ended: bool = False

    def play(self) -> None:
        params = {"HTTP_X_OBJECT": LARGE_OBJECT, "HTTP_X_TIMEOUT_MS": "5000"}
        numbers = range(1, self.requests + 1)
        self.sock.sendall(b"".join(encode_call(number, params=params) for number in numbers))
        time.sleep(self.pause_s)
        began_s = time.monotonic()
        buffer = bytearray()
        read_bytes = 0
        with contextlib.suppress(OSError):
            while len(self.answered) < self.requests and time.monotonic() - began_s < MAX_PLAY_S:
                data = self.sock.recv(READ_BYTES)
                if not data:
                    break
                buffer += data
                read_bytes += len(data)
                self._take_records(buffer)
                time.sleep(max(0.0, began_s + read_bytes / self.bytes_per_s - time.monotonic()))
        self.is_ended = len(self.answered) < self.requests

    def _take_records(self, buffer: bytearray) -> None:
        header = fastcgi.HEADER
        at = 0
        while len(buffer) - at >= header.size:
            _, kind, number, size, padding = header.unpack_from(buffer, at)
            if len(buffer) - at < header.size + size + padding:
                break
            if kind == fastcgi.RecordType.END:
                self.answered.add(number)
            at += header.size + size + padding
        del buffer[:at]


def _connect(director: LimitedDirector, receive_buffer: int) -> socket.socket:
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    sock.settimeout(MAX_PLAY_S)
    sock.connect(director.address)
    return sock


# Guards against: connections of clients that read slowly ended for want of memory, with requests that were
# taken and never answered (review/6).
@pytest.mark.parametrize(
    ("clients", "requests", "bytes_per_s", "receive_buffer", "pause_s"),
    [
        (16, 32, 1_000_000.0, 65_536, 0.0),
        (24, 16, 500_000.0, 65_536, 0.0),
        (12, 32, 1_000_000.0, 2_000_000, 0.0),
        (12, 32, 1_000_000.0, 65_536, 0.5),
    ],
    ids=["as-reviewed", "slower", "large-receive-buffer", "pause-at-first"],
)
def test_slow_readers_get_a_final_answer_to_each_request(
    clients: int, requests: int, bytes_per_s: float, receive_buffer: int, pause_s: float, tmp_path: Path
) -> None:
    with limited_director(tmp_path, reply=_reply, memory_mb=96) as director, contextlib.ExitStack() as stack:
        playing = []
        for _ in range(clients):
            sock = stack.enter_context(_connect(director, receive_buffer))
            client = _SlowClient(sock, requests, bytes_per_s, pause_s)
            thread = threading.Thread(target=client.play)
            thread.start()
            playing.append((client, thread))
            time.sleep(CLIENT_INTERVAL_S)
        served_calls = count_served(director, 10, 0.1)
        for _, thread in playing:
            thread.join()
        unanswered = [requests - len(client.answered) for client, _ in playing]
        assert unanswered == [0] * clients, director.log.read_text()[-2000:]
        assert served_calls == 10


async def _blocked_queue(answers: int, make_substitutes: bool) -> tuple[WriteQueue, socket.socket]:
    near, far = socket.socketpair()
    near.setblocking(False)
    queue = WriteQueue(near, HeldBytes())
    failure = failure_in_place_of(7, FinalAnswer(AnswerStatus.SERVED, body=BODY))
    for _ in range(answers):
        queue.post(PendingWrite(BODY, make_substitute=failure if make_substitutes else None))
    return queue, far


# Guards against: an answer of which bytes are written being replaced, which the client could not read.
def test_only_answers_of_which_nothing_is_written_are_shortened() -> None:
    async def scenario() -> None:
        queue, far = await _blocked_queue(12, True)
        task = asyncio.create_task(queue.run())
        await asyncio.sleep(0.05)
        waiting = len(queue.queue)
        assert 0 < waiting < 12
        assert queue.substitutable_bytes() == waiting * len(BODY)
        assert queue.substitute() == waiting
        assert queue.substitutable_bytes() == 0
        assert queue.budget.held_bytes == queue.held_bytes < 2 * len(BODY)
        received = bytearray()
        far.setblocking(False)
        while queue.held_bytes:
            with contextlib.suppress(BlockingIOError):
                received += far.recv(1 << 20)
            await asyncio.sleep(0)
        with contextlib.suppress(BlockingIOError):
            while data := far.recv(1 << 20):
                received += data
        assert received.count(b"x") // len(BODY) == 12 - waiting
        assert received.count(fastcgi.encode_end_request(7)) == waiting
        task.cancel()
        far.close()

    asyncio.run(scenario())


def test_small_answers_and_rejections_have_no_substitute() -> None:
    small = FinalAnswer(AnswerStatus.SERVED, body=b"x" * LARGE_ANSWER_BYTES)
    assert failure_in_place_of(1, small) is None
    assert failure_in_place_of(1, FinalAnswer(AnswerStatus.REJECTED)) is None


# Guards against: a peer that reads, though the socket accepts nothing, being taken for one that has stopped.
def test_a_peer_that_acknowledges_bytes_has_not_stopped() -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:
        near = socket.create_connection(server.getsockname())
        far, _ = server.accept()
    near.setblocking(False)
    with contextlib.suppress(BlockingIOError):
        while True:
            near.send(bytes(1 << 20))
    time.sleep(0.1)
    progress = PeerProgress(near)
    assert progress.stopped_s(50.0) == 0.0  # no write waits
    progress.mark(100.0)
    assert progress.stopped_s(101.5) == pytest.approx(1.5)
    for _ in range(16):
        far.recv(1 << 18)
    time.sleep(0.3)
    assert progress.stopped_s(102.0) == 0.0
    assert progress.stopped_s(103.0) == pytest.approx(1.0)
    near.close()
    far.close()


# Guards against: a connection closed for want of memory behind a complete request that is not read yet.
def test_rejecting_partial_calls_keeps_a_connection_with_unread_input() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        sock = await harness.connect_client()
        sock.send(encode_begin(1) + fastcgi.encode_record(fastcgi.RecordType.PARAMS, 1, bytes(8_000)))
        await harness.wait_until(lambda: any(each.parser.partial for each in harness.front.connections))
        (connection,) = harness.front.connections
        sock.send(encode_call(2, "/ping"))
        while not unread_bytes(connection.sock):  # the event loop reads nothing meanwhile
            time.sleep(0.001)
        offers = releasable(connection, time.monotonic())
        assert offers
        for offer in offers:
            offer.release(time.monotonic())
        received = await harness.read_until(sock, fastcgi.encode_end_request(2))
        assert fastcgi.encode_end_request(1, fastcgi.ProtocolStatus.OVERLOADED) in received

    run_scenario(scenario)
