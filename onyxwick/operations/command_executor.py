"""The director's side of the operators' door: orders taken from the door's thread into the director's loop.

What must hold at the yes holds in the door's thread already: a cache left out is in `Members.held`, which
every send looks at, and a drained director says no. The module is told in the director's loop right after:
a cache left out is shown to it as draining, one let back in as started at that moment, so it comes back cold.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from pathlib import Path

from onyxwick import logs
from onyxwick.core import RequestEngine
from onyxwick.core.endpoints import EndpointTable
from onyxwick.counters import Counters
from onyxwick.interface import EndpointsChanged
from onyxwick.operations import operator_commands as o
from onyxwick.operations.metrics import metrics_document
from onyxwick.operations.persisted_commands import PersistedCommands

log = logs.get()
RECALL_S, RECALL_RETRY_S = 2.0, 0.05  # how long a start waits for a predecessor's file, and between two tries


class CommandExecutor:
    """Orders, figures and readiness, each safe to read or hand over from the door's thread."""

    def __init__(
        self,
        core: RequestEngine,
        members: EndpointTable,
        counters: Counters,
        readiness: Callable[[], str],
        on_drain_changed: Callable[[o.OperatorCommands], None],
        persisted: PersistedCommands | None,
    ) -> None:
        self.core, self.members, self.counters, self.persisted = core, members, counters, persisted
        self.readiness, self.on_drain_changed = readiness, on_drain_changed
        self.known_caches = o.KnownCaches()
        self.commands = self.applied = (
            o.OperatorCommands()
        )  # the latest; those the director's loop has taken up
        self.published: dict[str, dict[str, object]] = metrics_document({}, 0, 0, 0)
        self.loop: asyncio.AbstractEventLoop | None = None

    def restore(self) -> None:
        """What a predecessor was ordered, before anything is listed or sent. A file that cannot be read is
        tried again for `RECALL_S`; after that the program starts, and the door goes on trying."""
        if self.persisted is None:
            return
        try:
            read = _read_patiently(self.persisted)
        except (OSError, ValueError) as error:
            log.error("the door's file of a predecessor cannot be read", error=str(error))
            return
        if read is not None:
            self.commands = self.applied = read[0]
            self.members.excluded = read[0].disabled_caches
            self.known_caches.add(read[1])
            log.info("orders of a predecessor", version=read[0].version, held=len(read[0].disabled_caches))

    def adjust_endpoints(self, event: EndpointsChanged, now: int) -> EndpointsChanged:
        """The list as the module is to see it: every id is known from now on, the orders bind."""
        self.known_caches.add([member.address for member in event.members])
        return o.endpoints_under_commands(event, self.commands, now)

    # ---- from the door's thread --------------------------------------------------------------------------

    def metrics(self) -> dict[str, dict[str, object]]:
        return self.published

    def apply_commands(self, orders: o.OperatorCommands, known: list[str]) -> None:
        self.commands = orders
        self.members.excluded = orders.disabled_caches  # from here on, no send to a cache left out
        if self.loop is not None:
            self.loop.call_soon_threadsafe(self._take_up, known)

    def commands_written(self, ordered: int, written: int) -> None:
        """The file holds this version of what was ordered."""
        if self.loop is not None:
            self.loop.call_soon_threadsafe(self.core.invariants.commands_written, ordered, written)

    # ---- in the director's loop ----------------------------------------------------------------------------

    def _take_up(self, known: list[str]) -> None:
        self.known_caches.add(known)
        before, after = self.applied, self.commands
        self.applied = after
        names = o.changed_caches(before, after)
        if names:
            self.core.feed.reapply_members(*names)
            log.info("caches left out", held=sorted(after.disabled_caches)[:16], changed=sorted(names)[:16])
        if o.is_new_drain_state(before, after):
            self.on_drain_changed(after)

    def publish(self) -> None:
        """The figures as they are now, for the door to show."""
        decider = self.core.router
        self.published = metrics_document(
            self.counters.counts.copy(),
            len(self.core.lifecycles),
            len(self.members.listed),
            decider.ejected_count(),
        )


def _read_patiently(persisted: PersistedCommands) -> tuple[o.OperatorCommands, list[str]] | None:
    """The file's orders; OSError where it could not be read for so long. Blocks: nothing is served yet."""
    end = time.monotonic() + RECALL_S
    while True:
        try:
            return persisted.read()
        except OSError:
            if time.monotonic() > end:
                raise
            time.sleep(RECALL_RETRY_S)


def persisted_commands(folder: str | None, name: str) -> PersistedCommands | None:
    """The file shared with a successor, in the folder that the platform gives both (`$TMPDIR`); None where
    no such folder is given, as a folder of some other use may hold what another director left."""
    return PersistedCommands(Path(folder), name) if folder else None
