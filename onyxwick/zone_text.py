"""Zone files with all names written out: a line for each record, in the order of RFC 4034.

The length of a text is a tenant's choice, so the functions give way to the event loop. They do no I/O.
"""

from __future__ import annotations

import bisect
import io
from collections.abc import Mapping

import dns.name
import dns.zone

from onyxwick.giving_way import give_way

SortKey = tuple[bytes, ...]
"""A name's labels in lower case, the rightmost first."""


class _GivingWayText(io.StringIO):
    """A text in memory whose writer gives way to the event loop at each line."""

    def write(self, text: str) -> int:
        give_way()
        return super().write(text)


def write_out(data: dns.zone.Zone) -> str:
    """Return the zone file of a zone's records."""
    text = _GivingWayText()
    data.to_file(text, relativize=False, nl="\n")
    return text.getvalue()


def replace_lines(text: str, records: Mapping[dns.name.Name, str]) -> str:
    """Return a text in which the records of some names are replaced by others, or removed."""
    owners = {str(name).lower() for name in records}
    lines = list[str]()
    for line in text.splitlines(keepends=True):
        give_way()
        if _owner(line) not in owners:
            lines.append(line)
    for name, own_text in records.items():
        if own_text:
            at = bisect.bisect_left(lines, _sort_key(name), key=_sort_key_of_line)
            lines[at:at] = own_text.splitlines(keepends=True)
            lines[at + len(own_text.splitlines()) - 1] += "\n"
    return "".join(lines)


def _owner(line: str) -> str:
    owner = line.partition(" ")[0].lower()
    return str(dns.name.from_text(owner)).lower() if "\\" in owner else owner


def _sort_key(name: dns.name.Name) -> SortKey:
    return tuple([label.lower() for label in reversed(name.labels)])


def _sort_key_of_line(line: str) -> SortKey:
    return _sort_key(dns.name.from_text(line.partition(" ")[0]))
