"""Parses the stored zones in the background after a start, while the director already serves.

The tenants take turns, and of each one the shortest zones come first. Until a zone is parsed its name is
taken, and nothing is answered from it. Times are in seconds.
"""

from __future__ import annotations

import time
from collections import Counter, deque
from functools import partial
from typing import TYPE_CHECKING

from onyxwick import logs
from onyxwick.background_work import BackgroundWork
from onyxwick.store.durable_state import DurableState
from onyxwick.store.tenant_rows import part_name
from onyxwick.tenant_errors import TenantError
from onyxwick.tenants import Tenants
from onyxwick.zones import UnreadZone, read_stored_zone

if TYPE_CHECKING:
    from onyxwick.zones import TenantZone

log = logs.get()
OWNER = "stored zones"
"""The owner of the work. It is no tenant's name, as it has a space."""
EXPECTED_BYTES_PER_S = 500_000
"""How fast rows are read, until it is known."""
RETRY_MARGIN = 2.0
"""A caller is told to wait this many times as long as expected, as other work takes turns."""
MIN_RETRY_S = 1.0


class ZoneReader:
    """Reads the zones that a start has added as unread, one after the other."""

    def __init__(self, tenants: Tenants, durable: DurableState, work: BackgroundWork) -> None:
        self.tenants = tenants
        self.durable = durable
        self.work = work
        self._queue = deque(_in_order(tenants, durable))
        self._end_bytes: dict[str, int] = {}
        """By the key of a zone's row, the bytes of all rows up to its own in the order of reading."""
        self._read_bytes = 0
        self._began_s = 0.0
        self._count_bytes()

    def _count_bytes(self) -> None:
        end_bytes = 0
        for zone in self._queue:
            end_bytes += self.durable.stored_bytes(zone)
            self._end_bytes[zone.row_key] = end_bytes

    async def run(self) -> None:
        """Read all zones."""
        self._began_s = time.monotonic()
        count = len(self._queue)
        while self._queue:
            zone = self._queue[0]
            await self._read(zone)
            self._queue.popleft()
            self._read_bytes = self._end_bytes.pop(zone.row_key)
        if count:
            log.info("stored zones read", zones=count, seconds=round(time.monotonic() - self._began_s, 3))

    async def _read(self, unread: UnreadZone) -> None:
        """Parse one zone and let it be served, unless it was deleted meanwhile."""
        async with self.durable.change_lock:  # a change that fails puts back what it removed
            if self.tenants.unread.get(unread.name) is not unread:
                return
        result = await self._parse(unread)
        async with self.durable.change_lock:
            if self.tenants.unread.get(unread.name) is unread:
                self._replace(unread, result)

    async def _parse(self, unread: UnreadZone) -> TenantZone | TenantError:
        """Return the parsed zone, or why it cannot be used."""
        try:
            row = self.durable.stored_zone(unread)
            name = part_name(unread.row_key)
            parse = partial(read_stored_zone, unread.tenant, name, row["text"], row["routed"])
            return await self.work.do(OWNER, parse)
        except TenantError as error:
            return error
        except Exception as error:  # one zone must not keep the others from being read
            return TenantError(f"{type(error).__name__}: {error}")

    def _replace(self, unread: UnreadZone, result: TenantZone | TenantError) -> None:
        if isinstance(result, TenantError):
            self.tenants.remove_zone(unread)
            self.durable.on_zone_unusable(unread, result)
        else:
            self.tenants.add_accepted_zone(result)
            self.durable.on_zone_read(unread, result)

    def retry_after_s(self, zone: UnreadZone) -> float:
        """Return the seconds after which an unread zone is expected to be read."""
        to_read_bytes = self._end_bytes.get(zone.row_key, 0) - self._read_bytes
        seconds_per_byte = 1 / EXPECTED_BYTES_PER_S
        if self._read_bytes:
            seconds_per_byte = (time.monotonic() - self._began_s) / self._read_bytes
        return MIN_RETRY_S + RETRY_MARGIN * to_read_bytes * seconds_per_byte


def _in_order(tenants: Tenants, durable: DurableState) -> list[UnreadZone]:
    """Return the unread zones in the order of reading: all tenants' shortest first, then their next ones."""
    by_length = sorted(tenants.unread.values(), key=durable.stored_bytes)
    of_tenant = Counter[str]()
    ranked = list[tuple[int, UnreadZone]]()
    for zone in by_length:
        ranked.append((of_tenant[zone.tenant], zone))
        of_tenant[zone.tenant] += 1
    return [zone for _, zone in sorted(ranked, key=lambda pair: pair[0])]
