"""The platform's front: FastCGI calls in, core requests on, answers back."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import re
import socket
import time
from collections.abc import Callable

from onyxwick.core import Answer, Core, Request, Verdict
from onyxwick.counters import Counters
from onyxwick.net import fastcgi
from onyxwick.net.outbox import Outbox, Parcel, Tally

log = logging.getLogger(__name__)
STALLED_S = 10.0  # a client that takes nothing for so long is cut off
HELD_BYTES = 48_000_000  # answers waiting for slow readers, all together; over it new calls are refused
PAUSE_BYTES = 2_000_000  # waiting on one connection: nothing more is read from it meanwhile
ACCEPT_PAUSE_S = 0.05  # after an accept that failed, for want of descriptors as a rule
STATUS = {
    Verdict.SERVED: "200 OK",
    Verdict.REFUSED: "503 Service Unavailable",
    Verdict.FAILED: "502 Bad Gateway",
}


def listen(address: tuple[str, int]) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen(1024)
    sock.setblocking(False)
    return sock


_HEX16 = re.compile(rb"[0-9a-fA-F]{16}").fullmatch
_PLAIN = re.compile(rb"[^,= \r\n]*").fullmatch  # what may stand in a field of the caches' protocol
Params = dict[bytes, bytes]


def _hexadecimal(params: Params, name: bytes) -> str:
    text = params.get(name, b"")
    if not _HEX16(text):
        raise ValueError(f"bad {name.decode()}")
    return text.decode()


def _whole(params: Params, name: bytes, least: int, most: int) -> int:
    text = params.get(name, b"")
    if not text.isdigit() or not least <= int(text[:12]) <= most:
        raise ValueError(f"bad {name.decode()}")
    return int(text)


def read_request(params: Params, body: bytes, now: int) -> Request:
    """The core request that a call asks for; ValueError names the field that cannot be used."""
    class_name = params[b"SCRIPT_NAME"].removeprefix(b"/call/")
    held = params.get(b"HTTP_X_GOT", b"").strip(b'"')
    if not _PLAIN(held) or not _PLAIN(class_name):
        raise ValueError("bad X_GOT or class")
    return Request(
        id=_hexadecimal(params, b"HTTP_X_REQUEST_ID"),
        class_name=class_name.decode("latin-1"),
        object=_hexadecimal(params, b"HTTP_X_OBJECT"),
        part=_whole(params, b"HTTP_X_NTH", 0, 1 << 31) if b"HTTP_X_NTH" in params else 0,
        group=_whole(params, b"HTTP_X_BATCH", 0, 255) if b"HTTP_X_BATCH" in params else None,
        arrived_us=now,
        timeout_us=_whole(params, b"HTTP_X_TIMEOUT_MS", 1, 3_600_000) * 1000,
        repeat=params.get(b"HTTP_X_RETRY") == b"1",
        body=body,
        held_tag=held.decode("latin-1"),
    )


def answer_bytes(number: int, answer: Answer) -> bytes:
    headers = {"Content-Type": "application/octet-stream"}
    if answer.tag:
        headers["ETag"] = f'"{answer.tag}"'
    if answer.verdict is Verdict.SERVED and answer.unchanged:
        headers["X-Ok304"] = "1"
    if answer.verdict is Verdict.REFUSED and answer.retry_after_us:
        headers["Retry-After-Ms"] = str(max(1, answer.retry_after_us // 1000))
    return fastcgi.answer(number, STATUS[answer.verdict], headers, answer.body)


class Client:
    """One connection of the front's web servers."""

    def __init__(self, front: Front, sock: socket.socket) -> None:
        self.front, self.sock = front, sock
        self.parser = fastcgi.Parser()
        self.outbox = Outbox(sock, front.tally)
        self.open: dict[int, str] = {}  # FastCGI number: request id
        self.ending = False  # the client wants it closed after the answer
        self.used_at = time.monotonic()

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        writer, reader = loop.create_task(self.outbox.run()), loop.create_task(self._read())
        try:
            done, _ = await asyncio.wait({writer, reader}, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
        except fastcgi.FramingError as error:
            self.front.bad(str(error))
        except OSError:
            self.front.counters.add("client.broken")
        finally:
            writer.cancel()
            reader.cancel()
            await asyncio.gather(writer, reader, return_exceptions=True)
            self.sock.close()
            self.outbox.close()
            for request_id in self.open.values():
                self.front.core.leave(request_id)

    async def _read(self) -> None:
        loop = asyncio.get_running_loop()
        while await self.parser.buffer.receive(loop, self.sock):
            self.used_at = time.monotonic()
            for message in self.parser.messages():
                self._message(message)
            if self.outbox.pending > PAUSE_BYTES:
                await self.outbox.drained.wait()

    def _message(self, message: fastcgi.Message) -> None:
        match message:
            case fastcgi.Call():
                self._call(message)
            case fastcgi.Aborted(number):
                request_id = self.open.pop(number, None)
                self._send(number, fastcgi.end_request(number))
                if request_id is not None:
                    self.front.core.leave(request_id)
            case fastcgi.Reply(data, fault):
                if fault:
                    self.front.bad(fault)
                self.outbox.post(Parcel(data))

    def _send(self, number: int, data: bytes) -> None:
        self.parser.open.discard(number)
        self.outbox.post(Parcel(data))
        if self.ending and not self.parser.open and not self.parser.partial:
            self.front.end_after_writing(self)

    def _call(self, call: fastcgi.Call) -> None:
        self.ending |= not call.keep
        name = call.params.get(b"SCRIPT_NAME", b"")
        if name == b"/ping":
            up = self.front.ready()
            return self._send(
                call.number, fastcgi.answer(call.number, "200 OK" if up else "503 Not Ready", {}, b"")
            )
        if not name.startswith(b"/call/"):
            self.front.bad(f"path {name[:64]!r}")
            return self._send(call.number, fastcgi.answer(call.number, "404 Not Found", {}, b""))
        try:
            request = read_request(call.params, call.body, self.front.core.now())
        except ValueError as error:
            self.front.bad(str(error))
            return self._send(call.number, fastcgi.answer(call.number, "400 Bad Request", {}, b""))
        if self.front.tally.held > HELD_BYTES:
            self.front.counters.add("answer.overloaded")
            return self._send(call.number, fastcgi.end_request(call.number, fastcgi.Protocol.OVERLOADED))
        self.open[call.number] = request.id
        self.front.start(request, lambda answer: self._answer(call.number, request.id, answer))

    def _answer(self, number: int, request_id: str, answer: Answer) -> None:
        if self.open.get(number) == request_id:
            del self.open[number]
            self._send(number, answer_bytes(number, answer))


class Front:
    """Accepts clients and keeps track of what is owed to them."""

    def __init__(self, core: Core, counters: Counters, ready: Callable[[], bool]) -> None:
        self.core, self.counters, self.ready = core, counters, ready
        self.clients: dict[Client, asyncio.Task[None]] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.tally = Tally()

    def bad(self, text: str) -> None:
        self.counters.add("bad.client")
        log.warning("bad input of a client: %s", text)

    async def sweep(self) -> None:
        """Cut off clients that take nothing of what is written to them."""
        while True:
            await asyncio.sleep(1.0)
            now = time.monotonic()
            for client, task in list(self.clients.items()):
                if client.outbox.stalled(now, STALLED_S):
                    self.counters.add("client.stalled")
                    task.cancel()

    def start(self, request: Request, reply: Callable[[Answer], None]) -> None:
        # No set of tasks: the core holds each request's mailbox, and through it the task, until its end.
        asyncio.get_running_loop().create_task(self.core.serve(request, reply))

    async def accept(self, sock: socket.socket) -> None:
        """Take in clients until cancelled; being out of descriptors passes."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                conn, _ = await loop.sock_accept(sock)
            except OSError as error:
                self.counters.add("error.accept")
                log.warning("accept: %s", error)
                await asyncio.sleep(ACCEPT_PAUSE_S)
                continue
            conn.setblocking(False)
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.counters.add("client.accepted")
            client = Client(self, conn)
            task = loop.create_task(client.run())
            self.clients[client] = task
            task.add_done_callback(lambda _, client=client: self.clients.pop(client, None))  # type: ignore[misc]

    def end_after_writing(self, client: Client) -> None:
        async def end() -> None:
            await client.outbox.drained.wait()
            if task := self.clients.get(client):
                task.cancel()

        task = asyncio.get_running_loop().create_task(end())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def finish(self) -> None:
        """Wait until all that is owed is answered and written, then close every connection."""
        await self.core.idle.wait()
        for client in list(self.clients):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(STALLED_S):
                    await client.outbox.drained.wait()
        tasks = list(self.clients.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
