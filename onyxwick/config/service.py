"""The hosted service's configuration, a separate HCL file. Without it the DNS front and the API are off.

Sizes here are in bytes and durations in microseconds; the file gives sizes in megabytes (2**20 bytes) and
durations with their units.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from onyxwick.config import hcl
from onyxwick.config.address import Address
from onyxwick.config.fields import Fields
from onyxwick.tenant_errors import TenantError
from onyxwick.tenants import DEFAULT_QUOTA_PER_S, Tenant, Tenants, read_key, read_quota
from onyxwick.zones import read_zone_file

if TYPE_CHECKING:
    from onyxwick.cells import CellPlan
    from onyxwick.cells import TenantSpec as CellTenant
    from onyxwick.config.distribution import FeedConfig
    from onyxwick.sites.model import Topology

S_US = 1_000_000
DAY_US = 86_400 * S_US
DEFAULT_DNS_DEADLINE_US = S_US
MIN_DNS_DEADLINE_US = 10_000
MAX_DNS_DEADLINE_US = 60 * S_US
DEFAULT_SIGNAL_DURATION_US = 60 * S_US
DEFAULT_FILE_AGE_US = 3_600 * S_US
MAX_QUOTA_PER_S = 1e6
MIN_TOKEN_CHARACTERS = 16
MB_SHIFT = 20
"""Shifting megabytes left by this many bits gives bytes."""
CELL_BLOCKS = ("cells", "cell", "move")
SITE_BLOCKS = ("sites", "site", "hub", "archive", "path", "load")


@dataclass(slots=True)
class ServiceConfig:
    """Where the DNS front and the administration API listen (None: off), and the optional parts."""

    tenants: Tenants
    dns_address: Address | None = None
    dns_deadline_us: int = DEFAULT_DNS_DEADLINE_US
    admin_address: Address | None = None
    admin_token: str = ""
    cell_plan: CellPlan | None = None
    """None means one router for all tenants."""
    trace: TraceConfig | None = None
    store: StoreConfig | None = None
    sites: SitesConfig | None = None
    """None means that this director knows no other sites."""
    feed: FeedConfig | None = None
    """None means that the director follows the coordinator directly."""


@dataclass(frozen=True, slots=True)
class SitesConfig:
    """The topology and its plan file; without a plan file the director computes the plan at its start."""

    topology: Topology
    plan_file: Path | None
    source_file: str
    """The name of the file that contains the topology, for messages."""


@dataclass(frozen=True, slots=True)
class StoreConfig:
    """Where durable data is stored. A store that belongs to another `installation` is rejected."""

    folder: Path
    key_file: Path
    installation: str
    persists_bookings: bool
    """Whether each non-idempotent request is recorded durably before it is sent (field `bookings`)."""
    max_log_bytes: int
    max_total_bytes: int


@dataclass(frozen=True, slots=True)
class TraceConfig:
    """Where traces are written, and how much trace data is retained."""

    folder: Path
    starts_enabled: bool
    """Whether tracing is on from the start; otherwise SIGUSR2 turns it on."""
    signal_duration_us: int
    """How long tracing stays on after SIGUSR2."""
    max_file_bytes: int
    max_file_age_us: int
    max_total_bytes: int


def _read_tenant(row: Fields, folder: Path, tenants: Tenants) -> None:
    """Add one tenant with its keys and zones. Raises ConfigError or TenantError if the row is invalid."""
    quota = read_quota(row.number("quota_per_s", 0, MAX_QUOTA_PER_S, DEFAULT_QUOTA_PER_S))
    tenant = Tenant(row.label, quota, row.string("token", ""))
    tenants.add(tenant)
    for key in row.blocks("key", labels=1):
        tenants.add_key(tenant, *read_key(key.label, key.string("secret")))
        key.reject_unknown()
    for zone in row.blocks("zone", labels=1):
        path = folder / zone.string("file")
        routed = zone.string("routed", "") or None
        try:
            tenants.add_zone(read_zone_file(tenant.name, zone.label, path, routed))
        except TenantError as error:
            raise zone.error("file", str(error)) from None
        zone.reject_unknown()


def _read_token(row: Fields, folder: Path) -> str:
    path = folder / row.string("token_file")
    try:
        token = path.read_text().strip()
    except OSError as error:
        raise row.error("token_file", f"{path.name}: {error.strerror}") from None
    if len(token) < MIN_TOKEN_CHARACTERS:
        problem = f"{path.name} holds no token of at least {MIN_TOKEN_CHARACTERS} characters"
        raise row.error("token_file", problem)
    return token


def _read_store(row: Fields, folder: Path) -> StoreConfig:
    store = StoreConfig(
        folder=folder / row.string("folder"),
        key_file=folder / row.string("key_file"),
        installation=row.name("installation"),
        persists_bookings=row.flag("bookings", False),
        max_log_bytes=row.integer("log_mb", 1, 65_536, 64) << MB_SHIFT,
        max_total_bytes=row.integer("total_mb", 2, 1_000_000, 512) << MB_SHIFT,
    )
    if not store.key_file.exists():
        problem = f"{store.key_file.name} does not exist; `onyxwick store new-key` prints a key"
        raise row.error("key_file", problem)
    if store.max_total_bytes < 2 * store.max_log_bytes:
        log_mb = store.max_log_bytes >> MB_SHIFT
        raise row.error("total_mb", f"is less than twice log_mb ({log_mb}): no room for a compaction")
    row.reject_unknown()
    return store


def _read_trace(row: Fields, folder: Path) -> TraceConfig:
    trace = TraceConfig(
        folder=folder / row.string("folder"),
        starts_enabled=row.flag("on", False),
        signal_duration_us=row.duration("signal_for", S_US, DAY_US, DEFAULT_SIGNAL_DURATION_US),
        max_file_bytes=row.integer("file_mb", 1, 4096, 64) << MB_SHIFT,
        max_file_age_us=row.duration("file_for", S_US, DAY_US, DEFAULT_FILE_AGE_US),
        max_total_bytes=row.integer("total_mb", 2, 1_000_000, 1024) << MB_SHIFT,
    )
    if trace.max_total_bytes < 2 * trace.max_file_bytes:
        file_mb = trace.max_file_bytes >> MB_SHIFT
        raise row.error("total_mb", f"is less than two files of {file_mb} MB; did you mean 'file_mb'?")
    row.reject_unknown()
    return trace


def _read_fronts(top: Fields, folder: Path, config: ServiceConfig) -> None:
    if dns := top.single_block("dns"):
        config.dns_address = dns.address("listen")
        config.dns_deadline_us = dns.duration(
            "deadline", MIN_DNS_DEADLINE_US, MAX_DNS_DEADLINE_US, DEFAULT_DNS_DEADLINE_US
        )
        dns.reject_unknown()
    if admin := top.single_block("admin"):
        config.admin_address = admin.address("listen", loopback=True)
        config.admin_token = _read_token(admin, folder)
        admin.reject_unknown()


def _read_cells(top: Fields, config: ServiceConfig) -> Callable[[Fields], CellTenant] | None:
    """Read the cell plan, if there is one, and return the reader of a tenant's cell fields; else None."""
    if not any(block.type in CELL_BLOCKS for block in top.block.blocks):
        return None
    from onyxwick.config.cells import read_plan, read_tenant

    config.cell_plan = read_plan(top)
    return read_tenant


def _read_sites(top: Fields, folder: Path, config: ServiceConfig) -> None:
    if not any(block.type in SITE_BLOCKS for block in top.block.blocks):
        return
    from onyxwick.config.sites import read_sites

    if (found := read_sites(top, folder)) is not None:
        config.sites = SitesConfig(found.topology, found.plan_file, top.file)


def read(top: Fields, folder: Path) -> ServiceConfig:
    """Read the service configuration from a file's blocks; relative paths are relative to `folder`."""
    config = ServiceConfig(Tenants())
    _read_fronts(top, folder, config)
    if row := top.single_block("store"):
        config.store = _read_store(row, folder)
    if row := top.single_block("trace"):
        config.trace = _read_trace(row, folder)
    if row := top.single_block("distribution"):
        from onyxwick.config.distribution import read_feed

        config.feed = read_feed(row)
    read_cell_tenant = _read_cells(top, config)
    _read_sites(top, folder, config)
    for row in top.blocks("tenant", labels=1):
        if read_cell_tenant is not None:
            # `read_plan` has read these fields from other Fields objects. Reading them again here makes
            # them known to `reject_unknown`.
            read_cell_tenant(row)
        try:
            _read_tenant(row, folder, config.tenants)
        except TenantError as error:
            raise row.block_error(str(error)) from None
        row.reject_unknown()
    top.reject_unknown()
    return config


def load(path: Path) -> ServiceConfig:
    """Load the service configuration from a file. Raises ConfigError, which names file, line and field."""
    return read(Fields(hcl.read(path), path.name), path.parent)
