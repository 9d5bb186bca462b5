"""Applies dynamic updates: to a copy of the zone, in a thread, made durable and then visible.

The updates of one tenant are applied one after the other. The processor time that they take is charged to the
tenant's updates, apart from its queries and calls.
"""

from __future__ import annotations

import asyncio
import weakref
from functools import partial
from typing import TYPE_CHECKING

import dns.rcode
import dns.update

from onyxwick import logs
from onyxwick.background_work import BackgroundWork, Price
from onyxwick.counters import Counters
from onyxwick.dns.update import UpdateError, apply_update
from onyxwick.store.errors import StoreError
from onyxwick.tenants import Tenants
from onyxwick.work_quota import WorkQuota
from onyxwick.zones import MAX_STORED_CHARACTERS, TenantZone

if TYPE_CHECKING:
    from onyxwick.store.durable_state import DurableState

log = logs.get()
EXPECTED_MS_PER_NAME = 0.002
"""Expected processor time for each name of an updated zone."""


class ZoneUpdates:
    """Applies updates to the zones of all tenants. Without `durable` they last as long as the process."""

    def __init__(
        self, tenants: Tenants, counters: Counters, durable: DurableState | None, work: BackgroundWork
    ) -> None:
        self.tenants = tenants
        self.counters = counters
        self.durable = durable
        self.work = work
        self._locks: weakref.WeakValueDictionary[str, asyncio.Lock] = weakref.WeakValueDictionary()
        """By tenant; entries last as long as an update uses them."""

    async def apply(self, zone: TenantZone, message: dns.update.UpdateMessage) -> dns.rcode.Rcode:
        """Apply an update and return its result. Raises TooManyCallsError if too many are waiting."""
        tenant = self.tenants.tenants[zone.tenant]
        if message.question[0].name != zone.name:
            return dns.rcode.NOTAUTH
        if not message.had_tsig or message.keyname not in tenant.keys:
            self.counters.add("dns.update.refused")
            return dns.rcode.REFUSED
        lock = self._locks.setdefault(zone.tenant, asyncio.Lock())
        try:
            async with lock:
                await self._apply_once(tenant.update_quota, zone, message)
        except StoreError as error:
            self.counters.add("dns.update.failed")
            log.error("DNS update not durable, rolled back", error=str(error))
            return dns.rcode.SERVFAIL
        except UpdateError as error:
            self.counters.add("dns.update.failed")
            return error.rcode
        self.counters.add("dns.update.done")
        return dns.rcode.NOERROR

    async def _apply_once(
        self, quota: WorkQuota, zone: TenantZone, message: dns.update.UpdateMessage
    ) -> None:
        """Apply an update, make it durable, and then let queries see it.

        Raises UpdateError if it is rejected, StoreError if it could not be made durable.
        """
        price = Price(quota, str(zone.name), len(zone.nodes) * EXPECTED_MS_PER_NAME)
        changed = await self.work.do(zone.tenant, partial(_changed_copy, zone, message), price)
        if self.durable is None:
            self._require_current(zone)
            zone.replace_content(changed)
            return
        async with self.durable.change_lock:
            self._require_current(zone)
            tenant = self.tenants.tenants[zone.tenant]
            # A restart never lowers the serial that a client has been answered.
            await self.durable.commit(self.durable.zone_operations(tenant, changed), "update")
            zone.replace_content(changed)

    def _require_current(self, zone: TenantZone) -> None:
        """Raise UpdateError if a call has deleted or replaced the zone meanwhile."""
        if self.tenants.zones.get(zone.name) is not zone:
            raise UpdateError(dns.rcode.NOTAUTH)


def _changed_copy(zone: TenantZone, message: dns.update.UpdateMessage) -> TenantZone:
    """Return a copy of the zone with an update applied. Raises UpdateError if the update is rejected."""
    changed = zone.copy()
    apply_update(changed, message)
    if len(changed.text) > MAX_STORED_CHARACTERS:
        raise UpdateError(dns.rcode.REFUSED)
    return changed
