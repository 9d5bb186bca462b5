"""The configuration of a distribution node, and of a director that follows one: blocks `distribution`."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from zlib import crc32

from onyxwick.config import hcl
from onyxwick.config.address import Address, read_address
from onyxwick.config.errors import ConfigError
from onyxwick.config.fields import Fields
from onyxwick.distribution.admission import AdmissionLimits

S_US = 1_000_000
LEAST_RETENTION_US, DEFAULT_RETENTION_US, MOST_RETENTION_US = 5 * S_US, 60 * S_US, 3_600 * S_US
MOST_PARENTS = 8


class Role(Enum):
    """What a node of the tree does."""

    PUBLISHER = "publisher"
    RELAY = "relay"


@dataclass(frozen=True, slots=True)
class DocumentFile:
    """A document that the publisher sends from a file."""

    name: str
    file: Path


@dataclass(frozen=True, slots=True)
class NodeConfig:
    """One node. `parents`: of a relay the nodes it follows, of the publisher the coordinator, if any."""

    name: str
    role: Role
    listen: Address
    parents: tuple[Address, ...]
    width: int
    admission: AdmissionLimits
    retention_ms: int
    bulk_bytes_per_s: float
    store: Path | None
    documents: tuple[DocumentFile, ...]

    @property
    def seed(self) -> int:
        """For the waits between reconnects: of each node its own."""
        return crc32(self.name.encode())


@dataclass(frozen=True, slots=True)
class FeedConfig:
    """What a director follows in place of the coordinator."""

    parents: tuple[Address, ...]
    stale_after_us: int


def read_parents(row: Fields) -> tuple[Address, ...]:
    """The field `parents`: addresses, the preferred one first."""
    texts = row.texts("parents")
    if not 1 <= len(texts) <= MOST_PARENTS:
        raise row.error("parents", f"has {len(texts)} addresses, expected 1 to {MOST_PARENTS}")
    out = []
    for text in texts:
        try:
            out.append(read_address(text))
        except ValueError as error:
            raise row.error("parents", f"{error}; did you mean HOST:PORT?") from None
    return tuple(out)


def read_feed(row: Fields) -> FeedConfig:
    """The block `distribution` of a director's service file."""
    out = FeedConfig(read_parents(row), row.duration("stale_after", S_US, 60 * S_US, 3 * S_US))
    row.done()
    return out


def _documents(row: Fields, folder: Path) -> tuple[DocumentFile, ...]:
    out = []
    for block in row.blocks("document", labels=1):
        out.append(DocumentFile(block.label, folder / block.text("file")))
        block.done()
    return tuple(out)


def _read_node(row: Fields, folder: Path) -> NodeConfig:
    role = Role(row.choice("role", [each.value for each in Role]))
    publisher = role is Role.PUBLISHER
    parents: tuple[Address, ...] = ()
    if not publisher:
        parents = read_parents(row)
    elif row.text("coordinator", ""):
        parents = (row.address("coordinator"),)
    store = row.text("store", "") if publisher else ""
    out = NodeConfig(
        name=row.name("name"),
        role=role,
        listen=row.address("listen"),
        parents=parents,
        width=row.whole("width", 1, 4096, 256),
        admission=AdmissionLimits(per_s=row.number("admitted_per_s", 1, 10_000, 100)),
        retention_ms=row.duration(
            "purge_retention", LEAST_RETENTION_US, MOST_RETENTION_US, DEFAULT_RETENTION_US
        )
        // 1000,
        bulk_bytes_per_s=row.number("bulk_bytes_per_s", 100, 1e9, 8_000) if publisher else 0.0,
        store=folder / store if store else None,
        documents=_documents(row, folder) if publisher else (),
    )
    row.done()
    return out


def load_node(path: Path) -> NodeConfig:
    """The node that a file asks for; ConfigError names file, line and field."""
    top = Fields(hcl.read(path), path.name)
    row = top.block_of("distribution")
    if row is None:
        raise ConfigError(f"{path.name}: block 'distribution' is missing")
    node = _read_node(row, path.parent)
    top.done()
    return node
