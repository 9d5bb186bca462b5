"""The operations endpoint: HTTP/1.1 on its own address and in its own thread, one call per connection.

The thread has its own event loop, so that a call is answered within a second even if the director's loop is
busy. The change that a call makes takes effect in this thread before the answer
(`DirectorControl.apply_commands`); the director's loop is notified afterwards. See docs/design/operations.md.
"""

from __future__ import annotations

import asyncio
import socket
import threading
import time
from collections.abc import Callable
from functools import partial
from typing import NamedTuple, Protocol

import uvloop

from onyxwick import logs
from onyxwick.admin.http_messages import HttpError, HttpRequest
from onyxwick.admin.http_server import HttpServer
from onyxwick.core.phase import Readiness
from onyxwick.counters import Counters
from onyxwick.operations.errors import CommandFileError, OperatorCallRejectedError, OperatorCommandError
from onyxwick.operations.metrics import MetricsSnapshot, metrics_document
from onyxwick.operations.operator_commands import (
    CommandChange,
    KnownCaches,
    OperatorCommands,
    disable_cache,
    enable_cache,
    is_newer,
    rebase,
    set_drained,
)
from onyxwick.operations.persisted_commands import PersistedCommands
from onyxwick.operations.routes import OperatorCall, OperatorCallKind, parse_call

log = logs.get()
MAX_CONNECTIONS = 32
"""Maximum number of open connections; a new one displaces the one that has been open longest."""
MAX_CALL_BODY_BYTES = 1024
"""No call has a body; one of this size is discarded, a longer one rejected."""
CALL_TIMEOUT_S = 1.0
"""A caller waits 1 s for its answer, so a connection that has not sent its call by then is not useful."""
FILE_CHECK_INTERVAL_S = 0.1
STOP_TIMEOUT_S = 1.0
"""Longest time that `stop` waits for the thread to end."""
MAX_LOGGED_PATH_CHARS = 64
DRAIN_TARGET = ""
"""The target of a drain, the director itself. All other targets of commands are cache ids."""
READ_ONLY_CALLS = frozenset({OperatorCallKind.READY, OperatorCallKind.METRICS})
"""Calls that change nothing. They arrive about ten times per second and are not logged."""


class DirectorControl(Protocol):
    """The director as seen by the endpoint; each method may be called from the endpoint's thread."""

    def readiness(self) -> Readiness:
        """Return whether the director accepts new clients."""
        ...

    def metrics(self) -> MetricsSnapshot:
        """Return the latest metrics snapshot."""
        ...

    def apply_commands(self, commands: OperatorCommands, known_caches: list[str]) -> None:
        """Apply commands immediately in this thread. `known_caches` are ids that another process knew."""
        ...

    def commands_written(self, issued_version: int, written_version: int) -> None:
        """Report a write of the command file: the issued version, and the version read back from it."""
        ...


class OperatorAnswer(NamedTuple):
    """An HTTP status and the JSON document of the body."""

    status: int
    document: object


class OperationsServer:
    """Answers calls in its own thread and maintains the command file. `clock` returns steady microseconds."""

    def __init__(
        self,
        listening_socket: socket.socket,
        address: tuple[str, int],
        director: DirectorControl,
        commands: OperatorCommands,
        known_caches: KnownCaches,
        persisted: PersistedCommands | None,
        clock: Callable[[], int],
    ) -> None:
        self.listening_socket = listening_socket
        self.director = director
        self.commands = commands
        self.known_caches = known_caches
        self.persisted = persisted
        self.clock = clock
        self.unwritten_changes: dict[str, CommandChange] = {}
        """Changes made by this process that are not in the file yet, by cache id or `DRAIN_TARGET`."""
        self.counters = Counters()  # only of this thread: the director's thread writes its own counters
        self.server = HttpServer(
            address,
            self.answer,
            self.counters,
            MAX_CONNECTIONS,
            CALL_TIMEOUT_S,
            one_call_per_connection=True,
            name="operations endpoint",
            counter_prefix="door",
            max_body_bytes=MAX_CALL_BODY_BYTES,
        )
        self.thread = threading.Thread(target=self._run, name="operations", daemon=True)
        self.loop: asyncio.AbstractEventLoop | None = None
        self.task: asyncio.Task[None] | None = None
        self.started = threading.Event()

    def start(self) -> None:
        """Start the thread and return when its event loop runs."""
        self.thread.start()
        self.started.wait()

    def stop(self) -> None:
        """Stop the thread and return when it has ended, or after `STOP_TIMEOUT_S`."""
        if self.loop is not None and self.task is not None:
            self.loop.call_soon_threadsafe(self.task.cancel)
        self.thread.join(STOP_TIMEOUT_S)

    def _run(self) -> None:
        loop = uvloop.new_event_loop()
        self.loop = loop
        try:
            self.task = loop.create_task(self._serve())
            loop.call_soon(self.started.set)
            loop.run_until_complete(asyncio.gather(self.task, return_exceptions=True))
        finally:
            self.started.set()
            loop.close()

    async def _serve(self) -> None:
        file_checks = asyncio.get_running_loop().create_task(self._check_file())
        try:
            await self.server.run(self.listening_socket)
        finally:
            file_checks.cancel()

    # ---- calls ----------------------------------------------------------------------------------------

    def answer(self, request: HttpRequest) -> OperatorAnswer:
        """Execute a call. Raises HttpError if the request is not a valid call or cannot be executed."""
        try:
            call = parse_call(request.method, request.path)
        except OperatorCallRejectedError as error:
            self.counters.add("door.refused")
            path = request.path[:MAX_LOGGED_PATH_CHARS]
            log.warning("operator call rejected", path=path, reason=error.reason)
            headers = {"Allow": error.allowed_method} if error.allowed_method else None
            raise HttpError(error.status, error.reason, headers) from None
        answer = self._carry_out(call, time.monotonic() - request.queued_s)
        if call.kind not in READ_ONLY_CALLS:
            log.info(
                "operator call answered",
                call=call.kind.value,
                cache=call.cache,
                status=answer.status,
                version=self.commands.version,
                drained=self.commands.is_drained,
                waited_s=round(request.queued_s, 3),
            )
        return answer

    def _carry_out(self, call: OperatorCall, requested_at_s: float) -> OperatorAnswer:
        match call.kind:
            case OperatorCallKind.READY:
                readiness = self.director.readiness()
                status = 200 if readiness is Readiness.READY else 503
                return OperatorAnswer(status, {"ready": readiness.value})
            case OperatorCallKind.METRICS:
                return OperatorAnswer(200, metrics_document(self.director.metrics()))
            case OperatorCallKind.DRAIN | OperatorCallKind.UNDRAIN:
                is_drained = call.kind is OperatorCallKind.DRAIN
                change = partial(set_drained, is_drained=is_drained, requested_at_s=requested_at_s)
                self._apply(DRAIN_TARGET, change)
                return OperatorAnswer(200, {"drained": self.commands.is_drained, **self._unwritten_field()})
            case OperatorCallKind.DISABLE | OperatorCallKind.ENABLE:
                return self._change_cache(call)

    def _change_cache(self, call: OperatorCall) -> OperatorAnswer:
        if call.cache not in self.known_caches:
            self.counters.add("door.unknown")
            log.warning("operator call for unknown cache", cache=call.cache)
            raise HttpError(404, f"cache {call.cache!r} was never listed")
        change = disable_cache if call.kind is OperatorCallKind.DISABLE else enable_cache
        try:
            self._apply(call.cache, partial(change, cache=call.cache, now_us=self.clock()))
        except OperatorCommandError as error:
            raise HttpError(409, str(error)) from None
        is_disabled = call.cache in self.commands.disabled_caches
        return OperatorAnswer(200, {"cache": call.cache, "disabled": is_disabled, **self._unwritten_field()})

    def _unwritten_field(self) -> dict[str, bool]:
        """Return an answer field while the command file cannot be written. It tells the caller that a
        successor process would not know of the call."""
        return {"kept": False} if self.unwritten_changes else {}

    # ---- commands and their file ----------------------------------------------------------------------

    def _apply(self, target: str, change: CommandChange) -> None:
        """Apply a change to this process immediately and to the file as soon as it can be written.

        Of two changes of the same target, only the later one has to be written.
        """
        commands = change(self.commands)
        if commands is not self.commands:
            self.commands = commands
            self.director.apply_commands(commands, [])
            self.counters.add("door.ordered")
            if self.persisted is not None:
                self.unwritten_changes.pop(target, None)
                self.unwritten_changes[target] = change
        self._synchronise()

    def _synchronise(self) -> None:
        """Take over commands written by the other process of an upgrade, and write those of this process.

        A file that could not be read is not overwritten: it may contain the commands of another process.
        """
        if self.persisted is None:
            return
        try:
            if self.unwritten_changes:
                self._write(self.persisted)
            else:
                self._take_over(self.persisted)
        except OSError as error:
            if self.unwritten_changes:
                self.counters.add("door.unsaved")
                log.warning("operator command file write failed, retrying", error=str(error))
            else:
                self.counters.add("door.unreadable")
                log.warning("operator command file read failed, retrying", error=str(error))

    def _write(self, persisted: PersistedCommands) -> None:
        """Write the changes on top of those of the other process, while the lock keeps it from writing."""
        with persisted.locked():
            self._take_over(persisted)
            written_version = persisted.write(self.commands, self.known_caches)
        self.unwritten_changes.clear()
        self.director.commands_written(self.commands.version, written_version)

    def _take_over(self, persisted: PersistedCommands) -> None:
        try:
            stored = persisted.read()
        except CommandFileError as error:  # such a file has no commands that could be lost
            self.counters.add("door.unreadable")
            log.warning("operator command file invalid", error=str(error))
            return
        if stored is not None and (is_newer(stored.commands, self.commands) or self.unwritten_changes):
            self.commands = rebase(stored.commands, self.unwritten_changes.values())
            self.director.apply_commands(self.commands, stored.known_caches)
            log.info("operator commands taken over", version=stored.commands.version)

    async def _check_file(self) -> None:
        """Read the file when another process has written it, and retry failed writes."""
        while self.persisted is not None:
            await asyncio.sleep(FILE_CHECK_INTERVAL_S)
            try:
                self._synchronise()
            except Exception:  # an error must not end the periodic checks
                self.counters.add("error.door")
                log.exception("error in operator command file check")
