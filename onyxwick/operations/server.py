"""The operators' door: HTTP/1.1 on an address of its own, one call a connection, in a thread of its own.

Design. The door runs its own event loop in its own thread, so that it answers within its second however busy
the director's loop is: a burst of thousands of connections takes that loop for longer than a caller waits.
What a call changes takes effect in this thread before the yes (`Director.ordered`), and the director's loop
is told after it. Rejected: the door as one more task of the director's loop, which is simpler but answers
only as soon as that loop comes round to it.
"""

from __future__ import annotations

import asyncio
import socket
import threading
import time
from collections.abc import Callable
from functools import partial
from typing import Protocol

import uvloop

from onyxwick import logs
from onyxwick.admin.http_messages import HttpError, HttpRequest
from onyxwick.admin.http_server import HttpServer
from onyxwick.counters import Counters
from onyxwick.operations import operator_commands as o
from onyxwick.operations.persisted_commands import PersistedCommands
from onyxwick.operations.routes import OperatorCall, OperatorCallKind, OperatorCallRejectedError, route

log = logs.get()
PLACES = 32  # callers at once; a newcomer displaces the one open longest
PATIENCE_S = 1.0  # a caller waits 1 s for its answer: one that has not finished its call by then waits none
LOOK_S = 0.1  # between two looks at the file that the other process may have written
STOP_S = 1.0  # the longest wait for the thread at the end
LOOKS = frozenset(
    {OperatorCallKind.READY, OperatorCallKind.METRICS}
)  # calls that change nothing, some ten times a second


class DirectorControl(Protocol):
    """What the door needs of the director; each may be called from the door's thread."""

    def ready_word(self) -> str: ...

    def figures(self) -> dict[str, dict[str, object]]: ...

    def ordered(self, orders: o.OperatorCommands, known: list[str]) -> None: ...

    def written(self, ordered: int, written: int) -> None: ...


Answer = tuple[int, object]


class OperationsServer:
    """The calls, the thread and the file. `clock`: Unix microseconds."""

    def __init__(
        self,
        bound: socket.socket,
        address: tuple[str, int],
        director: DirectorControl,
        orders: o.OperatorCommands,
        known: o.KnownCaches,
        persisted: PersistedCommands | None,
        clock: Callable[[], int],
    ) -> None:
        self.bound, self.director, self.orders, self.known = bound, director, orders, known
        self.persisted, self.clock = persisted, clock
        self.unwritten: dict[str, o.Change] = {}  # ordered here, not in the file yet; by cache, "" the drain
        self.counters = Counters()  # of this thread alone: the director's are written by its own
        self.server = HttpServer(
            address,
            self,
            self.counters,
            PLACES,
            PATIENCE_S,
            one_call_per_connection=True,
            name="door",
            counter_prefix="door",
        )
        self.thread = threading.Thread(target=self._run, name="door", daemon=True)
        self.loop: asyncio.AbstractEventLoop | None = None
        self.task: asyncio.Task[None] | None = None
        self.started = threading.Event()

    def start(self) -> None:
        self.thread.start()
        self.started.wait()

    def stop(self) -> None:
        if self.loop is not None and self.task is not None:
            self.loop.call_soon_threadsafe(self.task.cancel)
        self.thread.join(STOP_S)

    def _run(self) -> None:
        loop = self.loop = uvloop.new_event_loop()
        try:
            self.task = loop.create_task(self._serve())
            loop.call_soon(self.started.set)
            loop.run_until_complete(asyncio.gather(self.task, return_exceptions=True))
        finally:
            self.started.set()
            loop.close()

    async def _serve(self) -> None:
        looking = asyncio.get_running_loop().create_task(self._look())
        try:
            await self.server.run(self.bound)
        finally:
            looking.cancel()

    # ---- calls ----------------------------------------------------------------------------------------

    def __call__(self, request: HttpRequest) -> Answer:
        try:
            call = route(request.method, request.path)
        except OperatorCallRejectedError as refused:
            self.counters.add("door.refused")
            log.warning("a call that the door does not take", path=request.path[:64], reason=refused.text)
            headers = {"Allow": refused.allow} if refused.allow else None
            raise HttpError(refused.status, refused.text, headers) from None
        answer = self._carry_out(call, time.monotonic() - request.queued_s)
        if call.kind not in LOOKS:
            log.info(
                "operators' call answered",
                call=call.kind.value,
                cache=call.cache,
                status=answer[0],
                version=self.orders.version,
                drained=self.orders.drained,
                waited_s=round(request.queued_s, 3),
            )
        return answer

    def _carry_out(self, call: OperatorCall, called_at: float) -> Answer:
        if call.kind is OperatorCallKind.READY:
            word = self.director.ready_word()
            return (200 if word == "YES" else 503), {"ready": word}
        if call.kind is OperatorCallKind.METRICS:
            return 200, self.director.figures()
        if call.kind in (OperatorCallKind.DRAIN, OperatorCallKind.UNDRAIN):
            self._order(
                "", partial(o.drain, drained=call.kind is OperatorCallKind.DRAIN, called_at=called_at)
            )
            return 200, {"drained": self.orders.drained, **self._unkept()}
        if call.cache not in self.known:
            self.counters.add("door.unknown")
            log.warning("a call for a cache never listed", cache=call.cache)
            raise HttpError(404, f"cache {call.cache!r} was never listed")
        now, change = self.clock(), o.disable if call.kind is OperatorCallKind.DISABLE else o.enable
        try:
            self._order(call.cache, partial(change, cache=call.cache, now=now))
        except o.OperatorCommandError as error:
            raise HttpError(409, str(error)) from None
        return 200, {"cache": call.cache, "disabled": call.cache in self.orders.held, **self._unkept()}

    def _unkept(self) -> dict[str, bool]:
        """Told beside the answer while the folder takes no write: a successor would not know of the call."""
        return {"kept": False} if self.unwritten else {}

    def _order(self, what: str, change: o.Change) -> None:
        """A change that binds from now on: in this process at once, in the file as soon as the folder takes
        it. `what`: the cache, or "" for the drain; of two changes of the same the later one is enough."""
        orders = change(self.orders)
        if orders is not self.orders:
            self.orders = orders
            self.director.ordered(orders, [])
            self.counters.add("door.ordered")
            if self.persisted is not None:
                self.unwritten.pop(what, None)
                self.unwritten[what] = change
        self._synchronise()

    def _synchronise(self) -> None:
        """Take up what the other process of an upgrade has written, and write what this one was ordered.

        Nothing is written over a file that could not be read: another process's orders may stand in it.
        """
        if self.persisted is None:
            return
        try:
            if self.unwritten:
                self._write(self.persisted)
            else:
                self._take_over(self.persisted)
        except OSError as error:
            self.counters.add("door.unsaved" if self.unwritten else "door.unreadable")
            log.warning("the door's file fails, and is tried again", error=str(error))

    def _write(self, persisted: PersistedCommands) -> None:
        """This one's commands on top of what the other process wrote, which can write nothing meanwhile."""
        with persisted.locked():
            self._take_over(persisted)
            written = persisted.write(self.orders, self.known)
        self.unwritten.clear()
        self.director.written(self.orders.version, written)

    def _take_over(self, persisted: PersistedCommands) -> None:
        try:
            read = persisted.read()
        except ValueError as error:  # no file of orders: there is nothing in it to keep
            self.counters.add("door.unreadable")
            log.warning("the door's file cannot be used", error=str(error))
            return
        if read is None or (read[0].version <= self.orders.version and not self.unwritten):
            return
        self.orders = o.rebased(read[0], self.unwritten.values())
        self.director.ordered(self.orders, read[1])
        log.info("orders taken from the other process", version=read[0].version)

    async def _look(self) -> None:
        """Look at the file again and again: what another process wrote, and whether it takes what is owed."""
        while self.persisted is not None:
            await asyncio.sleep(LOOK_S)
            try:
                self._synchronise()
            except Exception:
                self.counters.add("error.door")
                log.exception("error in the door's look at its file")
