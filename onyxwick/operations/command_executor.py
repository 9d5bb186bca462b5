"""The director's side of the operations endpoint: passes operator commands to the director's event loop.

A disabled cache is in `EndpointTable.excluded`, which every send checks, before the endpoint answers the
call. Likewise, a drained director is not ready from then on. The router is notified in the director's loop
afterwards.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from pathlib import Path

from onyxwick import logs
from onyxwick.core import RequestEngine
from onyxwick.core.endpoints import EndpointTable
from onyxwick.core.phase import Readiness
from onyxwick.counters import Counters
from onyxwick.interface import EndpointsChanged
from onyxwick.operations.command_codec import StoredCommands
from onyxwick.operations.errors import CommandFileError
from onyxwick.operations.metrics import MetricsSnapshot
from onyxwick.operations.operator_commands import (
    KnownCaches,
    OperatorCommands,
    changed_caches,
    endpoints_under_commands,
    is_new_drain_state,
)
from onyxwick.operations.persisted_commands import PersistedCommands

log = logs.get()
RESTORE_TIMEOUT_S = 2.0
RESTORE_RETRY_S = 0.05
"""How long a starting process tries to read a predecessor's file, and the pause between two attempts."""
MAX_LOGGED_CACHES = 16


class CommandExecutor:
    """Commands, metrics and readiness, which the endpoint's thread may safely read or pass on.

    `on_drain_changed` is called in the director's loop when a drain starts or ends.
    """

    def __init__(
        self,
        engine: RequestEngine,
        endpoints: EndpointTable,
        counters: Counters,
        readiness: Callable[[], Readiness],
        on_drain_changed: Callable[[OperatorCommands], None],
        persisted: PersistedCommands | None,
    ) -> None:
        self.engine = engine
        self.endpoints = endpoints
        self.counters = counters
        self.persisted = persisted
        self.readiness = readiness
        self.on_drain_changed = on_drain_changed
        self.known_caches = KnownCaches()
        self.commands = OperatorCommands()
        """The latest commands, including those that the director's loop has not processed yet."""
        self.notified_commands = self.commands
        """The latest commands that the director's loop has processed."""
        self.loop: asyncio.AbstractEventLoop | None = None
        self._metrics = MetricsSnapshot()

    def restore(self) -> None:
        """Restore a predecessor's commands before any cache is listed or any request is sent.

        Reading the file is retried for `RESTORE_TIMEOUT_S`. If it still fails, the program starts without the
        file, and the endpoint continues to retry.
        """
        if self.persisted is None:
            return
        try:
            stored = _read_with_retries(self.persisted)
        except (OSError, CommandFileError) as error:
            log.error("operator command file of predecessor unreadable", error=str(error))
            return
        if stored is not None:
            commands = stored.commands
            self.commands = commands
            self.notified_commands = commands
            self.endpoints.excluded = commands.disabled_caches
            self.known_caches.add(stored.known_caches)
            log.info(
                "operator commands of predecessor restored",
                version=commands.version,
                held=len(commands.disabled_caches),
            )

    def adjust_endpoints(self, event: EndpointsChanged, now_us: int) -> EndpointsChanged:
        """Return the endpoint list as the router receives it under the commands, and remember its caches'
        ids."""
        self.known_caches.add([member.address for member in event.members])
        return endpoints_under_commands(event, self.commands, now_us)

    # ---- from the endpoint's thread ------------------------------------------------------------------------

    def metrics(self) -> MetricsSnapshot:
        """Return the latest metrics snapshot taken in the director's loop."""
        return self._metrics

    def apply_commands(self, commands: OperatorCommands, known_caches: list[str]) -> None:
        """Apply commands: nothing is sent to a disabled cache from here on. Then notify the director's
        loop."""
        self.commands = commands
        self.endpoints.excluded = commands.disabled_caches
        if self.loop is not None:
            self.loop.call_soon_threadsafe(self._on_commands, known_caches)

    def commands_written(self, issued_version: int, written_version: int) -> None:
        """Check a write of the command file: the issued version against the version read back from it."""
        if self.loop is not None:
            check = self.engine.invariants.commands_written
            self.loop.call_soon_threadsafe(check, issued_version, written_version)

    # ---- in the director's loop ----------------------------------------------------------------------------

    def _on_commands(self, known_caches: list[str]) -> None:
        self.known_caches.add(known_caches)
        before = self.notified_commands
        after = self.commands
        self.notified_commands = after
        changed = changed_caches(before, after)
        if changed:
            self.engine.feed.reapply_members(*changed)
            log.info(
                "disabled caches changed",
                held=sorted(after.disabled_caches)[:MAX_LOGGED_CACHES],
                changed=sorted(changed)[:MAX_LOGGED_CACHES],
            )
        if is_new_drain_state(before, after):
            self.on_drain_changed(after)

    def publish_metrics(self) -> None:
        """Take a metrics snapshot for the endpoint."""
        self._metrics = MetricsSnapshot(
            self.counters.counts.copy(),
            len(self.engine.lifecycles),
            len(self.endpoints.listed),
            self.engine.router.ejected_count(),
            self.engine.memory.by_kind(),
            self.engine.memory.limit_bytes,
            self.engine.memory.process_bytes,
            self.engine.feed_gauges(),
        )


def _read_with_retries(persisted: PersistedCommands) -> StoredCommands | None:
    """Read the file with retries. Raises OSError after `RESTORE_TIMEOUT_S` of failures.

    The call blocks, which is harmless because nothing is served yet.
    """
    give_up_at_s = time.monotonic() + RESTORE_TIMEOUT_S
    while True:
        try:
            return persisted.read()
        except OSError:
            if time.monotonic() > give_up_at_s:
                raise
            time.sleep(RESTORE_RETRY_S)


def persisted_commands(folder: str | None, name: str) -> PersistedCommands | None:
    """Return the command file in the folder that the platform gives a process and its successor (`$TMPDIR`).

    Returns None if no folder is given: a folder used for other purposes may contain the file of another
    director.
    """
    return PersistedCommands(Path(folder), name) if folder else None
