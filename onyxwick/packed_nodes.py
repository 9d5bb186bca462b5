"""The records of a zone, packed into one bytes object for each name.

As objects, the records of a large zone take five times the memory, and each garbage collection examines them
in the event loop. They are unpacked by type, when a query or an update needs them. This module does no I/O.
"""

from __future__ import annotations

import random
import struct
from collections.abc import Iterator, Mapping, MutableMapping
from functools import lru_cache
from typing import Any, BinaryIO, NamedTuple

import dns.name
import dns.node
import dns.rdata
import dns.rdataclass
import dns.rdataset
import dns.rdatatype
import dns.rrset

from onyxwick.giving_way import give_way

Labels = tuple[bytes, ...]
"""A name's labels in lower case, without those of the zone, the leftmost first."""
IN = dns.rdataclass.IN
NO_TYPE = dns.rdatatype.NONE
MAX_KEPT_RECORDS = 2048
"""Maximum number of unpacked records that are kept for later answers, of all zones."""
_OWNER_LENGTH = struct.Struct(">H")
_SET_HEAD = struct.Struct(">HHIHI")
"""Type, covered type, TTL in seconds, number of records, and the length of the records in bytes."""
_RECORD_LENGTH = struct.Struct(">H")
_RECORD_HEAD = struct.Struct(">HHI")
"""A record in an answer between its owner and its length: type, class and TTL in seconds (RFC 1035)."""
COMPRESSED_TYPES = frozenset(
    (dns.rdatatype.NS, dns.rdatatype.CNAME, dns.rdatatype.SOA, dns.rdatatype.PTR, dns.rdatatype.MX)
)
"""Types whose data may have compressed names in an answer (RFC 3597, section 4)."""


class RecordSet(NamedTuple):
    """The records of one type of a name, in wire form without compression (RFC 1035)."""

    rdtype: int
    covers: int
    ttl_s: int
    records: list[bytes]


class _SetHead(NamedTuple):
    """The head of a set of records of one type."""

    rdtype: int
    covers: int
    ttl_s: int
    records: int
    begin: int
    """Offset of the first record."""


@lru_cache(MAX_KEPT_RECORDS)
def _unpack_record(rdtype: dns.rdatatype.RdataType, wire: bytes) -> dns.rdata.Rdata:
    """Return a record, which cannot be changed; those of recent answers are kept."""
    return dns.rdata.from_wire(IN, rdtype, wire, 0, len(wire))


class PackedRRset(dns.rrset.RRset):
    """Records of one name and type, which are written to an answer as they are and unpacked one by one."""

    def __init__(
        self, name: dns.name.Name, rdtype: dns.rdatatype.RdataType, ttl_s: int, wires: list[bytes]
    ) -> None:
        super().__init__(name, IN, rdtype)
        self.ttl = ttl_s
        self._wires = wires

    def __len__(self) -> int:
        return len(self._wires)

    def __iter__(self) -> Iterator[dns.rdata.Rdata]:
        return (_unpack_record(self.rdtype, wire) for wire in self._wires)

    def __getitem__(self, index: int) -> dns.rdata.Rdata:
        return _unpack_record(self.rdtype, self._wires[index])

    def to_wire(  # type: ignore[override]
        self,
        file: BinaryIO,
        compress: dns.name.CompressType | None = None,
        origin: dns.name.Name | None = None,
        **_: Any,
    ) -> int:
        """Write the records to an answer in random order, as the library does; returns their number."""
        for wire in random.sample(self._wires, len(self._wires)):
            self.name.to_wire(file, compress, origin)
            file.write(_RECORD_HEAD.pack(self.rdtype, IN, self.ttl))
            length_at = file.tell()
            file.write(_RECORD_LENGTH.pack(len(wire)))
            if self.rdtype not in COMPRESSED_TYPES:
                file.write(wire)
                continue
            _unpack_record(self.rdtype, wire).to_wire(file, compress, origin)
            end = file.tell()
            file.seek(length_at)
            file.write(_RECORD_LENGTH.pack(end - length_at - _RECORD_LENGTH.size))
            file.seek(end)
        return len(self._wires)


class PackedNode:
    """The sets of records of one name."""

    __slots__ = ("_packed",)

    def __init__(self, packed: bytes) -> None:
        self._packed = packed

    def _heads(self) -> Iterator[_SetHead]:
        at = _OWNER_LENGTH.size + _OWNER_LENGTH.unpack_from(self._packed)[0]
        while at < len(self._packed):
            rdtype, covers, ttl_s, count, size = _SET_HEAD.unpack_from(self._packed, at)
            at += _SET_HEAD.size
            yield _SetHead(rdtype, covers, ttl_s, count, at)
            at += size

    def types(self) -> list[dns.rdatatype.RdataType]:
        """Return the types of all sets of records."""
        return [dns.rdatatype.RdataType.make(head.rdtype) for head in self._heads()]

    def rrset(self, name: dns.name.Name, rdtype: dns.rdatatype.RdataType) -> PackedRRset | None:
        """Return the records of a type for an answer with the given owner; None if there are none."""
        for head in self._heads():
            if head.rdtype == rdtype and head.covers == NO_TYPE:
                return PackedRRset(name, rdtype, head.ttl_s, self._wires(head))
        return None

    def node(self) -> dns.node.Node:
        """Return all records."""
        node = dns.node.Node()  # type: ignore[no-untyped-call]
        node.rdatasets = [self._unpack(head) for head in self._heads()]
        return node

    def _unpack(self, head: _SetHead) -> dns.rdataset.Rdataset:
        rdtype = dns.rdatatype.RdataType.make(head.rdtype)
        covers = dns.rdatatype.RdataType.make(head.covers)
        rdataset = dns.rdataset.Rdataset(IN, rdtype, covers, head.ttl_s)
        for wire in self._wires(head):
            rdataset.items[dns.rdata.from_wire(IN, rdtype, wire, 0, len(wire))] = None
        return rdataset

    def _wires(self, head: _SetHead) -> list[bytes]:
        wires = list[bytes]()
        at = head.begin
        for _ in range(head.records):
            begin = at + _RECORD_LENGTH.size
            at = begin + _RECORD_LENGTH.unpack_from(self._packed, at)[0]
            wires.append(self._packed[begin:at])
        return wires


EMPTY_NODE = PackedNode(_OWNER_LENGTH.pack(0))


class PackedNodes(Mapping[dns.name.Name, dns.node.Node]):
    """The nodes of one zone by their absolute names, whose case does not matter.

    A name exists if it has records, or if a name below it has (an empty non-terminal, RFC 8020).
    """

    def __init__(self, origin: dns.name.Name) -> None:
        self._origin = origin
        self._packed: dict[Labels, bytes] = {}
        self._below: dict[Labels, int] = {}
        """For each name between the origin and names with records, how many of them are below it."""

    def exists(self, labels: Labels) -> bool:
        """Return whether a name exists; the zone's own name always does."""
        return not labels or labels in self._packed or labels in self._below

    def find(self, name: dns.name.Name) -> PackedNode | None:
        """Return the records of a name; None if it has none."""
        packed = self._packed.get(self.labels_of(name)) if name.is_subdomain(self._origin) else None
        return PackedNode(packed) if packed is not None else None

    def __getitem__(self, name: dns.name.Name) -> dns.node.Node:
        found = self.find(name)
        if found is None:
            raise KeyError(name)
        return found.node()

    def __contains__(self, name: object) -> bool:
        return isinstance(name, dns.name.Name) and self.find(name) is not None

    def __len__(self) -> int:
        return len(self._packed)

    def __iter__(self) -> Iterator[dns.name.Name]:
        for labels, packed in self._packed.items():
            yield dns.name.Name((_owner_labels(packed) or labels) + self._origin.labels)

    def put(self, name: dns.name.Name, node: dns.node.Node) -> None:
        """Add or replace the records of a name; a node without records removes them."""
        sets = [
            RecordSet(
                rdataset.rdtype, rdataset.covers, rdataset.ttl, [rdata.to_wire() or b"" for rdata in rdataset]
            )
            for rdataset in node.rdatasets
        ]
        self.put_sets(name.labels[: len(name.labels) - len(self._origin.labels)], sets)

    def put_sets(self, own_labels: Labels, sets: list[RecordSet]) -> None:
        """Add or replace the records of a name, which is given by its labels without those of the origin."""
        labels = tuple([label.lower() for label in own_labels])
        had_records = labels in self._packed
        if sets:
            self._packed[labels] = _pack(own_labels, labels, sets)
        else:
            self._packed.pop(labels, None)
        if had_records != bool(sets):
            self._count_above(labels, -1 if had_records else 1)

    def copy(self) -> PackedNodes:
        """Return a copy, which changes independently."""
        nodes = PackedNodes(self._origin)
        nodes._packed = self._packed.copy()
        nodes._below = self._below.copy()
        return nodes

    def labels_of(self, name: dns.name.Name) -> Labels:
        """Return the labels of a name at or below the zone's."""
        own_labels = name.labels[: len(name.labels) - len(self._origin.labels)]
        return tuple([label.lower() for label in own_labels])

    def _count_above(self, labels: Labels, change: int) -> None:
        for start in range(1, len(labels)):
            name = labels[start:]
            count = self._below.get(name, 0) + change
            if count:
                self._below[name] = count
            else:
                del self._below[name]


def take_nodes(origin: dns.name.Name, nodes: MutableMapping[dns.name.Name, dns.node.Node]) -> PackedNodes:
    """Pack the nodes of a parsed zone, each of which is removed from `nodes`, and give way after each."""
    packed = PackedNodes(origin)
    for name in list(nodes):
        packed.put(name, nodes.pop(name))
        give_way()
    return packed


def _pack(owner: Labels, labels: Labels, sets: list[RecordSet]) -> bytes:
    """Pack a name's records; `owner` is written out only where its case differs from that of `labels`."""
    name = b"".join(bytes([len(label)]) + label for label in owner) if owner != labels else b""
    parts = [_OWNER_LENGTH.pack(len(name)), name]
    for rdtype, covers, ttl_s, records in sets:
        size = sum(map(len, records)) + _RECORD_LENGTH.size * len(records)
        parts.append(_SET_HEAD.pack(rdtype, covers, ttl_s, len(records), size))
        for record in records:
            parts += (_RECORD_LENGTH.pack(len(record)), record)
    return b"".join(parts)


def _owner_labels(packed: bytes) -> Labels:
    """Return the labels of an owner whose case was kept; empty if it is in lower case."""
    end = _OWNER_LENGTH.size + _OWNER_LENGTH.unpack_from(packed)[0]
    at = _OWNER_LENGTH.size
    labels = list[bytes]()
    while at < end:
        size = packed[at]
        labels.append(packed[at + 1 : at + 1 + size])
        at += 1 + size
    return tuple(labels)
