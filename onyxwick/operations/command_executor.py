"""The director's side of the operations endpoint: carries the operators' commands into the director's loop.

A disabled cache is in `EndpointTable.excluded`, which every send checks, before the endpoint answers; a
drained director is not ready from then on. The router is notified in the director's loop right after.
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
"""How long a start tries to read a predecessor's file, and the pause between two attempts."""
MAX_LOGGED_CACHES = 16


class CommandExecutor:
    """Commands, metrics and readiness, each safe to read or hand over from the endpoint's thread.

    `on_drain_changed`: called in the director's loop when a drain begins or ends.
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
        """The latest."""
        self.notified_commands = self.commands
        """Those that the director's loop has taken up."""
        self.loop: asyncio.AbstractEventLoop | None = None
        self._metrics = MetricsSnapshot()

    def restore(self) -> None:
        """Take over a predecessor's commands, before anything is listed or sent.

        A file that cannot be read is retried for `RESTORE_TIMEOUT_S`; then the program starts without it, and
        the endpoint goes on trying.
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
        """The list as the router gets it under the commands; its ids are known from now on."""
        self.known_caches.add([member.address for member in event.members])
        return endpoints_under_commands(event, self.commands, now_us)

    # ---- from the endpoint's thread ------------------------------------------------------------------------

    def metrics(self) -> MetricsSnapshot:
        """The latest snapshot of the director's loop."""
        return self._metrics

    def apply_commands(self, commands: OperatorCommands, known_caches: list[str]) -> None:
        """Put commands into force: no send to a disabled cache from here on; then notify the loop."""
        self.commands = commands
        self.endpoints.excluded = commands.disabled_caches
        if self.loop is not None:
            self.loop.call_soon_threadsafe(self._on_commands, known_caches)

    def commands_written(self, issued_version: int, written_version: int) -> None:
        """The command file was written: the version issued, and the version read back from it."""
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
        """Take a snapshot for the endpoint."""
        self._metrics = MetricsSnapshot(
            self.counters.counts.copy(),
            len(self.engine.lifecycles),
            len(self.endpoints.listed),
            self.engine.router.ejected_count(),
        )


def _read_with_retries(persisted: PersistedCommands) -> StoredCommands | None:
    """Read the file; OSError where it fails for too long. Blocks: nothing is served yet."""
    give_up_at_s = time.monotonic() + RESTORE_TIMEOUT_S
    while True:
        try:
            return persisted.read()
        except OSError:
            if time.monotonic() > give_up_at_s:
                raise
            time.sleep(RESTORE_RETRY_S)


def persisted_commands(folder: str | None, name: str) -> PersistedCommands | None:
    """The command file in the folder that the platform gives a process and its successor (`$TMPDIR`).

    None where no folder is given: one of another use may hold what another director has left.
    """
    return PersistedCommands(Path(folder), name) if folder else None
