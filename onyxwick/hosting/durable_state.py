"""Opens the store of a director and restores its tenants, plan of cells and operator commands for sites."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

from onyxwick import logs
from onyxwick.config import ConfigError
from onyxwick.config.service import ServiceConfig, StoreConfig
from onyxwick.hosting.routers import RouterFactory
from onyxwick.store.durable_state import DurableState
from onyxwick.store.encryption import read_key_file
from onyxwick.store.engine import StoreLimits
from onyxwick.store.files import DiskFiles

if TYPE_CHECKING:
    from onyxwick.core import RequestEngine
    from onyxwick.sites.operator_commands import SiteCommand

log = logs.get()
INSTALLATION_DIGEST_BYTES = 16


def open_durable_state(
    engine: RequestEngine, service_config: ServiceConfig, store_config: StoreConfig, routers: RouterFactory
) -> DurableState:
    """Open the store and restore its state; called before the first routing decision.

    Raises StoreError if the store cannot be read completely, instead of restoring a part of the state.
    """
    installation = store_config.installation.encode()
    durable = DurableState(
        DiskFiles(store_config.folder),
        read_key_file(store_config.key_file),
        blake2b(installation, digest_size=INSTALLATION_DIGEST_BYTES).digest(),
        engine.now(),
        engine.settings.rules.purge_retention_us,
        store_config.persists_bookings,
        StoreLimits(log_bytes=store_config.max_log_bytes, total_bytes=store_config.max_total_bytes),
    )
    durable.load_tenants(service_config.tenants)
    _restore_cell_plan(engine, durable, routers)
    if routers.sites is not None:
        routers.sites.monitor.restore_commands(_stored_site_commands(durable))
    return durable


def _stored_site_commands(durable: DurableState) -> list[SiteCommand]:
    """Return the stored operator commands for sites; one that is invalid is logged and left out."""
    from onyxwick.sites.operator_commands import SiteCommandError, command_from_row

    commands = []
    for row in durable.site_command_rows():
        try:
            commands.append(command_from_row(row))
        except SiteCommandError as error:
            log.error("stored row not used", row=f"command for site {row.get('site')}", error=str(error))
    return commands


def _restore_cell_plan(engine: RequestEngine, durable: DurableState, routers: RouterFactory) -> None:
    """Apply the stored plan of cells, if there is one and it can be used.

    A plan that was changed by an administration call takes precedence over the file's plan, on which it is
    based. A plan that cannot be used is logged, and the file's plan applies.
    """
    stored = durable.cell_plan()
    if stored is None or routers.cells is None:
        return
    from onyxwick.cells import CellPlanError
    from onyxwick.config.cells import plan_of_json

    try:
        routers.cells.apply_plan(engine.now(), plan_of_json(stored.plan, stored.version))
    except (ConfigError, CellPlanError) as error:
        log.error("stored row not used", row="the plan of cells", error=str(error))
        return
    log.info("plan of cells restored from store", version=routers.cells.plan.version)
