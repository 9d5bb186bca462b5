"""Reads `distribution` blocks: a node of the distribution tree, or the nodes that a director follows."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from zlib import crc32

from onyxwick.config import hcl
from onyxwick.config.address import Address, AddressError, read_address
from onyxwick.config.errors import ConfigError
from onyxwick.config.fields import Fields
from onyxwick.distribution.admission import AdmissionLimits

S_US = 1_000_000
US_PER_MS = 1_000
MIN_RETENTION_US = 5 * S_US
DEFAULT_RETENTION_US = 60 * S_US
MAX_RETENTION_US = 3_600 * S_US
DEFAULT_STALE_AFTER_US = 3 * S_US
MAX_STALE_AFTER_US = 60 * S_US
MAX_WIDTH = 4096
DEFAULT_WIDTH = 256
MAX_PARENTS = 8


class Role(Enum):
    """The role of a node in the distribution tree."""

    PUBLISHER = "publisher"
    RELAY = "relay"


@dataclass(frozen=True, slots=True)
class DocumentFile:
    """A document that the publisher reads from a file and distributes."""

    name: str
    file: Path


@dataclass(frozen=True, slots=True)
class NodeConfig:
    """The configuration of one node of the distribution tree."""

    name: str
    role: Role
    listen: Address
    parents: tuple[Address, ...]
    """The nodes that a relay follows; for the publisher, its coordinator if it has one."""
    width: int
    """Limit on concurrent subscribers."""
    admission: AdmissionLimits
    retention_ms: int
    bulk_bytes_per_s: float
    store: Path | None
    documents: tuple[DocumentFile, ...]

    @property
    def seed(self) -> int:
        """Return the seed of the delays between reconnects, which differs from node to node."""
        return crc32(self.name.encode())


@dataclass(frozen=True, slots=True)
class FeedConfig:
    """The nodes that a director follows instead of the coordinator."""

    parents: tuple[Address, ...]
    stale_after_us: int


def read_parents(row: Fields) -> tuple[Address, ...]:
    """Read the field `parents`: addresses in order of preference."""
    texts = row.strings("parents")
    if not 1 <= len(texts) <= MAX_PARENTS:
        raise row.error("parents", f"has {len(texts)} addresses, expected 1 to {MAX_PARENTS}")
    addresses = []
    for text in texts:
        try:
            addresses.append(read_address(text))
        except AddressError as error:
            raise row.error("parents", f"{error}; did you mean HOST:PORT?") from None
    return tuple(addresses)


def read_feed(row: Fields) -> FeedConfig:
    """Read the block `distribution` of a director's service file."""
    feed = FeedConfig(
        parents=read_parents(row),
        stale_after_us=row.duration("stale_after", S_US, MAX_STALE_AFTER_US, DEFAULT_STALE_AFTER_US),
    )
    row.reject_unknown()
    return feed


def _read_documents(row: Fields, folder: Path) -> tuple[DocumentFile, ...]:
    documents = []
    for block in row.blocks("document", labels=1):
        documents.append(DocumentFile(block.label, folder / block.string("file")))
        block.reject_unknown()
    return tuple(documents)


def _read_sources(row: Fields, role: Role) -> tuple[Address, ...]:
    """Return the nodes that a relay follows, or the publisher's coordinator if it has one."""
    if role is Role.RELAY:
        return read_parents(row)
    return (row.address("coordinator"),) if row.string("coordinator", "") else ()


def _read_retention_us(row: Fields) -> int:
    return row.duration("purge_retention", MIN_RETENTION_US, MAX_RETENTION_US, DEFAULT_RETENTION_US)


def _read_node(row: Fields, folder: Path) -> NodeConfig:
    role = Role(row.choice("role", [each.value for each in Role]))
    is_publisher = role is Role.PUBLISHER
    parents = _read_sources(row, role)
    store = row.string("store", "") if is_publisher else ""
    node = NodeConfig(
        name=row.name("name"),
        role=role,
        listen=row.address("listen"),
        parents=parents,
        width=row.integer("width", 1, MAX_WIDTH, DEFAULT_WIDTH),
        admission=AdmissionLimits(per_s=row.number("admitted_per_s", 1, 10_000, 100)),
        retention_ms=_read_retention_us(row) // US_PER_MS,
        bulk_bytes_per_s=row.number("bulk_bytes_per_s", 100, 1e9, 8_000) if is_publisher else 0.0,
        store=folder / store if store else None,
        documents=_read_documents(row, folder) if is_publisher else (),
    )
    row.reject_unknown()
    return node


def load_node(path: Path) -> NodeConfig:
    """Load a node's configuration from a file. Raises ConfigError, which names file, line and field."""
    top = Fields(hcl.read(path), path.name)
    row = top.single_block("distribution")
    if row is None:
        raise ConfigError(f"{path.name}: block 'distribution' is missing", file=path.name)
    node = _read_node(row, path.parent)
    top.reject_unknown()
    return node
