"""The cell plan that operators state: cells, tenants, migrations and policy. Types only; the check is
`plan_check`."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from onyxwick.errors import OnyxwickError

MICROSECONDS_PER_SECOND = 1_000_000
DEFAULT_WARM_UP_US = 20 * MICROSECONDS_PER_SECOND
DEFAULT_SOAK_US = 5 * MICROSECONDS_PER_SECOND
DEFAULT_SEAT_RETENTION_US = 120 * MICROSECONDS_PER_SECOND
DEFAULT_TENANT_FIELD = "X-Tenant"
DEFAULT_RESERVED_SHARE = 0.7
KEY_PREFIX_COUNT = 256  # key ranges are stated by the first byte of an object's hash


class CellsError(OnyxwickError):
    """Base of the errors of this package."""


class CellPlanError(CellsError, ValueError):
    """A plan that cannot be used: `kind` and `name` of the row, its `field`, and the `reason`."""

    def __init__(self, kind: str, name: str, field_name: str, reason: str) -> None:
        super().__init__(f"{kind} '{name}': {field_name}: {reason}")
        self.kind = kind
        self.name = name
        self.field = field_name
        self.reason = reason


@dataclass(frozen=True, slots=True)
class Cell:
    """A part of the fleet. Without members of its own it shares, by weight, those that no cell names."""

    name: str
    members: tuple[str, ...] = ()
    weight: float = 1.0
    fallback: str | None = None  # the cell that admits its requests, within limits, when no cache is ready


@dataclass(frozen=True, slots=True)
class KeyRange:
    """Objects of a tenant whose hash begins with a byte from `first` to `last`, and their cells."""

    first: int
    last: int
    cells: tuple[str, ...]

    def overlaps(self, other: KeyRange | MigrationSpec) -> bool:
        """Whether some key is in both ranges."""
        return self.first <= other.last and other.first <= self.last


@dataclass(frozen=True, slots=True)
class TenantSpec:
    """A tenant. Its cells are named, or `span` of them are chosen by shuffle sharding."""

    name: str
    weight: float = 1.0
    span: int = 1
    cells: tuple[str, ...] = ()
    ranges: tuple[KeyRange, ...] = ()
    rate_per_s: float = 0.0  # requests a second at one director; 0: not limited
    max_in_flight: int = 0  # requests at once at one director; 0: what its cell allows


@dataclass(frozen=True, slots=True)
class MigrationSpec:
    """A tenant, or a key range of it, is to be served by other cells."""

    name: str
    tenant: str
    target_cells: tuple[str, ...]
    first: int = 0
    last: int = KEY_PREFIX_COUNT - 1
    starts_at_us: int = 0  # Unix time; 0: at once
    warm_up_us: int = (
        DEFAULT_WARM_UP_US  # in which the share of the target cells grows to all, at the fastest
    )
    soak_us: int = DEFAULT_SOAK_US  # after the cut-over, before the source cells are released

    def overlaps(self, other: KeyRange | MigrationSpec) -> bool:
        """Whether some key is in both ranges."""
        return self.first <= other.last and other.first <= self.last


@dataclass(frozen=True, slots=True)
class CellPolicy:
    """What applies to all cells of a director."""

    tenant_field: str = DEFAULT_TENANT_FIELD  # the request field that names the tenant
    default_tenant: str | None = None  # the tenant of a request that names none
    seat_retention_us: int = (
        DEFAULT_SEAT_RETENTION_US  # for which a departed cache stays assigned to its cell
    )
    reserved_share: float = DEFAULT_RESERVED_SHARE  # of each bound, divided among cells for good


@dataclass(frozen=True, slots=True)
class CellPlan:
    """The rows by name. Checked by `plan_check.check_plan`."""

    cells: Mapping[str, Cell]
    tenants: Mapping[str, TenantSpec] = field(default_factory=dict)
    migrations: Mapping[str, MigrationSpec] = field(default_factory=dict)
    policy: CellPolicy = field(default_factory=CellPolicy)
    version: int = 1

    def equals_except_version(self, other: CellPlan) -> bool:
        """Whether all rows are the same."""
        mine = (self.cells, self.tenants, self.migrations, self.policy)
        return mine == (other.cells, other.tenants, other.migrations, other.policy)
