"""The hosted service's configuration: an HCL file of its own. Without it both its fronts are off."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from onyxwick.config import hcl
from onyxwick.config.address import Address
from onyxwick.config.errors import ConfigError
from onyxwick.config.fields import Fields
from onyxwick.tenants import QUOTA_PER_S, Tenant, TenantError, Tenants, read_key, read_quota, read_zone_file

if TYPE_CHECKING:
    from onyxwick.cells import CellPlan
    from onyxwick.cells import TenantSpec as CellTenant
    from onyxwick.config.distribution import FeedConfig
    from onyxwick.sites.model import Topology

DEADLINE_US = 1_000_000
CELL_BLOCKS = ("cells", "cell", "move")
SITE_BLOCKS = ("sites", "site", "hub", "archive", "path", "load")
TOKEN_LEAST = 16


@dataclass(slots=True)
class ServiceConfig:
    """Where the DNS front and the administration API listen (None: off), and for whom."""

    tenants: Tenants
    dns: Address | None = None
    deadline_us: int = DEADLINE_US
    admin: Address | None = None
    token: str = ""
    plan: CellPlan | None = None  # of cells; None: one router for all
    trace: TraceConfig | None = None
    store: StoreConfig | None = None
    sites: SitesConfig | None = None  # None: nothing is known of other sites
    feed: FeedConfig | None = None  # None: the coordinator is followed directly


@dataclass(frozen=True, slots=True)
class SitesConfig:
    """The topology, and the file with its plan; without one the director makes the plan as it starts."""

    topology: Topology
    plan_file: Path | None
    file: str  # where the topology stands, for messages


@dataclass(frozen=True, slots=True)
class StoreConfig:
    """Where what must last is kept. `installation`: a store of another one is refused."""

    folder: Path
    key_file: Path
    installation: str
    bookings: bool  # the intent of each booking is durable before it is sent
    log_bytes: int
    total_bytes: int


@dataclass(frozen=True, slots=True)
class TraceConfig:
    """Where a trace is written, and how much of it is kept. `on`: from the start; else by SIGUSR2."""

    folder: Path
    on: bool
    for_us: int  # how long SIGUSR2 switches it on
    file_bytes: int
    file_us: int
    total_bytes: int


def _tenant(row: Fields, folder: Path, tenants: Tenants) -> None:
    quota = read_quota(row.number("quota_per_s", 0, 1e6, QUOTA_PER_S))
    tenant = Tenant(row.label, quota, row.text("token", ""))
    tenants.add(tenant)
    for key in row.blocks("key", labels=1):
        tenant.add_key(*read_key(key.label, key.text("secret")))
        key.done()
    for zone in row.blocks("zone", labels=1):
        path, routed = folder / zone.text("file"), zone.text("routed", "")
        try:
            tenants.add_zone(read_zone_file(tenant.name, zone.label, path, routed or None))
        except TenantError as error:
            raise zone.error("file", str(error)) from None
        zone.done()


def _token(row: Fields, folder: Path) -> str:
    path = folder / row.text("token_file")
    try:
        token = path.read_text().strip()
    except OSError as error:
        raise row.error("token_file", f"{path.name}: {error.strerror}") from None
    if len(token) < TOKEN_LEAST:
        raise row.error("token_file", f"{path.name} holds no token of {TOKEN_LEAST} characters or more")
    return token


def _store(row: Fields, folder: Path) -> StoreConfig:
    out = StoreConfig(
        folder / row.text("folder"),
        folder / row.text("key_file"),
        row.name("installation"),
        row.flag("bookings", False),
        row.whole("log_mb", 1, 65_536, 64) << 20,
        row.whole("total_mb", 2, 1_000_000, 512) << 20,
    )
    if not out.key_file.exists():
        raise row.error(
            "key_file", f"{out.key_file.name} is not there; `onyxwick store new-key` prints a key"
        )
    if out.total_bytes < 2 * out.log_bytes:
        raise row.error(
            "total_mb", f"is under twice log_mb ({out.log_bytes >> 20}): no room for a compaction"
        )
    row.done()
    return out


def _trace(row: Fields, folder: Path) -> TraceConfig:
    out = TraceConfig(
        folder / row.text("folder"),
        row.flag("on", False),
        row.duration("signal_for", 1_000_000, 86_400_000_000, 60_000_000),
        row.whole("file_mb", 1, 4096, 64) << 20,
        row.duration("file_for", 1_000_000, 86_400_000_000, 3_600_000_000),
        row.whole("total_mb", 2, 1_000_000, 1024) << 20,
    )
    if out.total_bytes < 2 * out.file_bytes:
        raise row.error(
            "total_mb", f"holds no two files of {out.file_bytes >> 20} MB; did you mean 'file_mb'?"
        )
    row.done()
    return out


def read(top: Fields, folder: Path) -> ServiceConfig:
    out = ServiceConfig(Tenants())
    tenant_of_plan: Callable[[Fields], CellTenant] | None = None
    if dns := top.block_of("dns"):
        out.dns = dns.address("listen")
        out.deadline_us = dns.duration("deadline", 10_000, 60_000_000, DEADLINE_US)
        dns.done()
    if admin := top.block_of("admin"):
        out.admin = admin.address("listen", loopback=True)
        out.token = _token(admin, folder)
        admin.done()
    if row := top.block_of("store"):
        out.store = _store(row, folder)
    if row := top.block_of("trace"):
        out.trace = _trace(row, folder)
    if row := top.block_of("distribution"):
        from onyxwick.config.distribution import read_feed

        out.feed = read_feed(row)
    if any(block.type in CELL_BLOCKS for block in top.block.blocks):
        from onyxwick.config.cells import read_plan, tenant

        out.plan, tenant_of_plan = read_plan(top), tenant
    if any(block.type in SITE_BLOCKS for block in top.block.blocks):
        from onyxwick.config.sites import read_sites

        if (found := read_sites(top, folder)) is not None:
            out.sites = SitesConfig(*found, top.file)
    for row in top.blocks("tenant", labels=1):
        if tenant_of_plan is not None:
            tenant_of_plan(row)  # read above; asked again so that its fields count as known
        try:
            _tenant(row, folder, out.tenants)
        except TenantError as error:
            raise ConfigError(f"{row.file}:{row.block.line}: {row.where}: {error}") from None
        row.done()
    top.done()
    return out


def load(path: Path) -> ServiceConfig:
    """The service that a file asks for; ConfigError names file, line and field."""
    return read(Fields(hcl.read(path), path.name), path.parent)
