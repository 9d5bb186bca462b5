"""Reads the zone files that `zone_text.write_out` writes, which a start does for each stored zone.

Each line has an absolute owner, a TTL, a class, a type and data, separated by single spaces, and the lines of
an owner are together. That takes a tenth of the time of a general zone file. A text of another form is left
to the general reader. This module does no I/O.
"""

from __future__ import annotations

import re
import socket
from collections.abc import Callable, Iterator
from itertools import groupby
from typing import NamedTuple

import dns.exception
import dns.name
import dns.rdata
import dns.rdataclass
import dns.rdatatype

from onyxwick.giving_way import give_way
from onyxwick.packed_nodes import Labels, PackedNodes, RecordSet

IN = dns.rdataclass.IN
MAX_TTL_S = 2**31 - 1
MAX_LABEL_BYTES = 63
MAX_NAME_BYTES = 255
WITH_COVERED_TYPE = frozenset({"SIG", "RRSIG"})
"""Types whose records form a set for each type that they cover."""
_is_plain_name = re.compile(r"([!-\[\]-~]+\.)+").fullmatch
"""Whether a text is an absolute name of printable ASCII without escapes."""


class OtherFormError(Exception):
    """The text is not of the form that `write_out` gives it."""


class _Line(NamedTuple):
    """One record; `data` is its text."""

    owner: str
    ttl: str
    rdtype: str
    data: str


def read_written_out(origin: dns.name.Name, text: str) -> PackedNodes:
    """Return the records of a zone. Raises OtherFormError if the text has to be read in general."""
    nodes = PackedNodes(origin)
    read = 0
    for owner, lines in groupby(_lines(text), key=lambda line: line.owner):
        give_way()
        nodes.put_sets(_own_labels(owner, origin), _sets(lines))
        read += 1
    if read != len(nodes):
        raise OtherFormError("the lines of an owner are not together")
    apex = nodes.find(origin)
    if apex is None or not {dns.rdatatype.SOA, dns.rdatatype.NS} <= set(apex.types()):
        raise OtherFormError("no SOA or NS at the apex")
    return nodes


def _lines(text: str) -> Iterator[_Line]:
    for line in text.split("\n"):
        if not line:
            continue
        fields = line.split(" ", 4)
        if len(fields) != 5 or fields[2] != "IN" or "\t" in line or "\r" in line:
            raise OtherFormError(line)
        yield _Line(fields[0], fields[1], fields[3], fields[4])


def _sets(lines: Iterator[_Line]) -> list[RecordSet]:
    """Return the records of one owner by type."""
    sets = list[RecordSet]()
    for (rdtype, ttl), of_type in groupby(lines, key=lambda line: (line.rdtype, line.ttl)):
        if rdtype in WITH_COVERED_TYPE or not (ttl.isascii() and ttl.isdecimal()) or int(ttl) > MAX_TTL_S:
            raise OtherFormError(f"{ttl} {rdtype}")
        to_wire = _WIRE_OF_DATA.get(rdtype)
        if to_wire is None:
            records = [_general_wire(rdtype, line.data) for line in of_type]
        else:
            records = [to_wire(line.data) for line in of_type]
        sets.append(RecordSet(_type_number(rdtype), dns.rdatatype.NONE, int(ttl), records))
    if len({record_set.rdtype for record_set in sets}) != len(sets):
        raise OtherFormError("the records of a type are not together, or have several TTLs")
    return sets


def _own_labels(owner: str, origin: dns.name.Name) -> Labels:
    """Return an owner's labels without those of the origin."""
    labels = _labels(owner)
    own_count = len(labels) - len(origin.labels)
    if own_count < 0 or tuple([label.lower() for label in labels[own_count:]]) != origin.labels:
        raise OtherFormError(owner)
    return labels[:own_count]


def _labels(name: str) -> Labels:
    """Return the labels of an absolute name, with the root's."""
    if _is_plain_name(name) is None:
        try:
            return dns.name.from_text(name, None).labels
        except dns.exception.DNSException:
            raise OtherFormError(name) from None
    labels = tuple([label.encode() for label in name.split(".")])
    if len(name) >= MAX_NAME_BYTES or max(map(len, labels)) > MAX_LABEL_BYTES or not all(labels[:-1]):
        raise OtherFormError(name)
    return labels


def _name_wire(name: str) -> bytes:
    return b"".join([bytes([len(label)]) + label for label in _labels(name)])


def _address_wire(family: socket.AddressFamily) -> Callable[[str], bytes]:
    def wire(address: str) -> bytes:
        try:
            return socket.inet_pton(family, address)
        except OSError:
            raise OtherFormError(address) from None

    return wire


_WIRE_OF_DATA: dict[str, Callable[[str], bytes]] = {
    "A": _address_wire(socket.AF_INET),
    "AAAA": _address_wire(socket.AF_INET6),
    "CNAME": _name_wire,
    "NS": _name_wire,
    "PTR": _name_wire,
}
"""The wire form of the data of types of which zones have many records."""


def _type_number(rdtype: str) -> int:
    try:
        return dns.rdatatype.from_text(rdtype)
    except dns.exception.DNSException:
        raise OtherFormError(rdtype) from None


def _general_wire(rdtype: str, data: str) -> bytes:
    try:
        rdata = dns.rdata.from_text(IN, rdtype, data, relativize=False)
        return rdata.to_wire() or b""
    except (dns.exception.DNSException, ValueError):
        raise OtherFormError(data) from None
