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
from onyxwick.admin.http import HttpError, HttpRequest, HttpServer
from onyxwick.counters import Counters
from onyxwick.operations import operator_commands as o
from onyxwick.operations.persisted_commands import PersistedCommands
from onyxwick.operations.routes import OperatorCall, OperatorCallKind, OperatorCallRejectedError, parse_call

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

    def readiness(self) -> str: ...

    def metrics(self) -> dict[str, dict[str, object]]: ...

    def apply_commands(self, orders: o.OperatorCommands, known: list[str]) -> None: ...

    def commands_written(self, ordered: int, written: int) -> None: ...


Answer = tuple[int, object]


class OperationsServer:
    """The calls, the thread and the file. `clock`: Unix microseconds."""

    def __init__(
        self,
        listening_socket: socket.socket,
        address: tuple[str, int],
        director: DirectorControl,
        commands: o.OperatorCommands,
        known_caches: o.KnownCaches,
        persisted: PersistedCommands | None,
        clock: Callable[[], int],
    ) -> None:
        self.listening_socket, self.director, self.commands, self.known_caches = (
            listening_socket,
            director,
            commands,
            known_caches,
        )
        self.persisted, self.clock = persisted, clock
        self.unwritten_changes: dict[
            str, o.CommandChange
        ] = {}  # ordered here, not in the file yet; by cache, "" the drain
        self.counters = Counters()  # of this thread alone: the director's are written by its own
        self.server = HttpServer(
            address, self, self.counters, PLACES, PATIENCE_S, one_call=True, name="door", counted="door"
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
            await self.server.run(self.listening_socket)
        finally:
            looking.cancel()

    # ---- calls ----------------------------------------------------------------------------------------

    def __call__(self, request: HttpRequest) -> Answer:
        try:
            call = parse_call(request.method, request.path)
        except OperatorCallRejectedError as refused:
            self.counters.add("door.refused")
            log.warning("a call that the door does not take", path=request.path[:64], reason=refused.reason)
            headers = {"Allow": refused.allowed_method} if refused.allowed_method else None
            raise HttpError(refused.status, refused.reason, headers) from None
        answer = self._carry_out(call, time.monotonic() - request.waited_s)
        if call.kind not in LOOKS:
            log.info(
                "operators' call answered",
                call=call.kind.value,
                cache=call.cache,
                status=answer[0],
                version=self.commands.version,
                drained=self.commands.is_drained,
                waited_s=round(request.waited_s, 3),
            )
        return answer

    def _carry_out(self, call: OperatorCall, called_at: float) -> Answer:
        if call.kind is OperatorCallKind.READY:
            word = self.director.readiness()
            return (200 if word == "YES" else 503), {"ready": word}
        if call.kind is OperatorCallKind.METRICS:
            return 200, self.director.metrics()
        if call.kind in (OperatorCallKind.DRAIN, OperatorCallKind.UNDRAIN):
            self._apply(
                "",
                partial(
                    o.set_drained, is_drained=call.kind is OperatorCallKind.DRAIN, requested_at_s=called_at
                ),
            )
            return 200, {"drained": self.commands.is_drained, **self._unkept()}
        if call.cache not in self.known_caches:
            self.counters.add("door.unknown")
            log.warning("a call for a cache never listed", cache=call.cache)
            raise HttpError(404, f"cache {call.cache!r} was never listed")
        now, change = (
            self.clock(),
            o.disable_cache if call.kind is OperatorCallKind.DISABLE else o.enable_cache,
        )
        try:
            self._apply(call.cache, partial(change, cache=call.cache, now_us=now))
        except o.OperatorCommandError as error:
            raise HttpError(409, str(error)) from None
        return 200, {
            "cache": call.cache,
            "disabled": call.cache in self.commands.disabled_caches,
            **self._unkept(),
        }

    def _unkept(self) -> dict[str, bool]:
        """Told beside the answer while the folder takes no write: a successor would not know of the call."""
        return {"kept": False} if self.unwritten_changes else {}

    def _apply(self, what: str, change: o.CommandChange) -> None:
        """A change that binds from now on: in this process at once, in the file as soon as the folder takes
        it. `what`: the cache, or "" for the drain; of two changes of the same the later one is enough."""
        orders = change(self.commands)
        if orders is not self.commands:
            self.commands = orders
            self.director.apply_commands(orders, [])
            self.counters.add("door.ordered")
            if self.persisted is not None:
                self.unwritten_changes.pop(what, None)
                self.unwritten_changes[what] = change
        self._synchronise()

    def _synchronise(self) -> None:
        """Take up what the other process of an upgrade has written, and write what this one was ordered.

        Nothing is written over a file that could not be read: another process's orders may stand in it.
        """
        if self.persisted is None:
            return
        try:
            if self.unwritten_changes:
                self._write(self.persisted)
            else:
                self._take_over(self.persisted)
        except OSError as error:
            self.counters.add("door.unsaved" if self.unwritten_changes else "door.unreadable")
            log.warning("the door's file fails, and is tried again", error=str(error))

    def _write(self, persisted: PersistedCommands) -> None:
        """This one's commands on top of what the other process wrote, which can write nothing meanwhile."""
        with persisted.locked():
            self._take_over(persisted)
            written = persisted.write(self.commands, self.known_caches)
        self.unwritten_changes.clear()
        self.director.commands_written(self.commands.version, written)

    def _take_over(self, persisted: PersistedCommands) -> None:
        try:
            read = persisted.read()
        except ValueError as error:  # no file of orders: there is nothing in it to keep
            self.counters.add("door.unreadable")
            log.warning("the door's file cannot be used", error=str(error))
            return
        if read is None or (read[0].version <= self.commands.version and not self.unwritten_changes):
            return
        self.commands = o.rebase(read[0], self.unwritten_changes.values())
        self.director.apply_commands(self.commands, read[1])
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
