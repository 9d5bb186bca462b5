"""The types of the cell plan that operators write: cells, tenants, migrations and policy.

`plan_check` checks a plan."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from onyxwick.errors import OnyxwickError

MICROSECONDS_PER_SECOND = 1_000_000
DEFAULT_WARM_UP_US = 20 * MICROSECONDS_PER_SECOND
DEFAULT_SOAK_US = 5 * MICROSECONDS_PER_SECOND
DEFAULT_ASSIGNMENT_RETENTION_US = 120 * MICROSECONDS_PER_SECOND
DEFAULT_TENANT_FIELD = "X-Tenant"
DEFAULT_RESERVED_SHARE = 0.7
KEY_PREFIX_COUNT = 256  # number of values of the first byte of an object's hash, which key ranges refer to


class CellsError(OnyxwickError):
    """Base class of the errors of this package."""


class CellPlanError(CellsError, ValueError):
    """A plan that cannot be used, with the `kind` and `name` of the row, its `field` and the `reason`."""

    def __init__(self, kind: str, name: str, field_name: str, reason: str) -> None:
        super().__init__(f"{kind} '{name}': {field_name}: {reason}")
        self.kind = kind
        self.name = name
        self.field = field_name
        self.reason = reason


@dataclass(frozen=True, slots=True)
class Cell:
    """A part of the fleet.

    Cells without `members` divide among themselves, by weight, the caches that no cell names."""

    name: str
    members: tuple[str, ...] = ()
    weight: float = 1.0
    fallback: str | None = None  # the cell that admits its requests, up to a limit, if no cache is ready


@dataclass(frozen=True, slots=True)
class KeyRange:
    """The cells for objects of a tenant whose hash begins with a byte from `first` to `last` (inclusive)."""

    first: int
    last: int
    cells: tuple[str, ...]

    def overlaps(self, other: KeyRange | MigrationSpec) -> bool:
        """Return whether at least one key is in both ranges."""
        return self.first <= other.last and other.first <= self.last


@dataclass(frozen=True, slots=True)
class TenantSpec:
    """A tenant. It uses the named `cells`, or else `span` cells chosen by shuffle sharding."""

    name: str
    weight: float = 1.0
    span: int = 1
    cells: tuple[str, ...] = ()
    ranges: tuple[KeyRange, ...] = ()
    rate_per_s: float = 0.0  # requests per second at one director; 0 means unlimited
    max_in_flight: int = 0  # concurrent requests at one director; 0 means limited only by the cell


@dataclass(frozen=True, slots=True)
class MigrationSpec:
    """A planned migration of a tenant, or of one of its key ranges, to other cells."""

    name: str
    tenant: str
    target_cells: tuple[str, ...]
    first: int = 0
    last: int = KEY_PREFIX_COUNT - 1
    starts_at_us: int = 0  # Unix time; 0 means immediately
    warm_up_us: int = DEFAULT_WARM_UP_US  # minimum time for the target cells' share to grow to 1
    soak_us: int = DEFAULT_SOAK_US  # time from the cut-over until the source cells are released

    def overlaps(self, other: KeyRange | MigrationSpec) -> bool:
        """Return whether at least one key is in both ranges."""
        return self.first <= other.last and other.first <= self.last


@dataclass(frozen=True, slots=True)
class CellPolicy:
    """The settings that apply to all cells of a director."""

    tenant_field: str = DEFAULT_TENANT_FIELD  # the request field that names the tenant
    default_tenant: str | None = None  # the tenant of a request that names no tenant
    assignment_retention_us: int = DEFAULT_ASSIGNMENT_RETENTION_US  # how long a departed cache stays assigned
    reserved_share: float = DEFAULT_RESERVED_SHARE  # share of each limit permanently reserved for the cells


@dataclass(frozen=True, slots=True)
class CellPlan:
    """The cells, tenants and migrations by name. Checked by `plan_check.check_plan`."""

    cells: Mapping[str, Cell]
    tenants: Mapping[str, TenantSpec] = field(default_factory=dict)
    migrations: Mapping[str, MigrationSpec] = field(default_factory=dict)
    policy: CellPolicy = field(default_factory=CellPolicy)
    version: int = 1

    def equals_except_version(self, other: CellPlan) -> bool:
        """Return whether both plans have the same rows and policy, whatever their versions."""
        mine = (self.cells, self.tenants, self.migrations, self.policy)
        return mine == (other.cells, other.tenants, other.migrations, other.policy)
