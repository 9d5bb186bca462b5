"""Bounds of one line of the coordinator's feed, and the parts of a line that are read before it is parsed.

Sizes are bytes.
"""

from __future__ import annotations

import re
from typing import Any

from onyxwick.net.feed_wire import INDEX

MAX_LINE_BYTES = 4_194_304
LINE_SHARE = 1 / 4
"""A line may take this share of the memory account, if that is less than `MAX_LINE_BYTES`."""
PARSED_SHARE = 1 / 2
"""The objects that a line is parsed to may take this share of the memory account."""
CONTAINER_BYTES = 72
"""Memory of an empty list or object of JSON and its place in another."""
VALUE_BYTES = 64
"""Memory of a short string or a number and its place."""
MAX_INDEX = 2**53
"""Indices are exact in JSON up to this number."""
QUOTED_LINE_BYTES = 64
_match_index = re.compile(rb'\s*\{\s*"index"\s*:\s*(\d{1,16})\b').match


def max_line_bytes(limit_bytes: int) -> int:
    """Return the size limit of a line under a memory account of this size."""
    return min(MAX_LINE_BYTES, int(limit_bytes * LINE_SHARE))


def max_parsed_bytes(limit_bytes: int) -> int:
    """Return the size limit of a parsed line under a memory account of this size."""
    return int(limit_bytes * PARSED_SHARE)


def parsed_bytes(text: bytes) -> int:
    """Return an upper estimate of the memory of the objects that a line of JSON is parsed to."""
    containers = text.count(b"{") + text.count(b"[")
    return len(text) + CONTAINER_BYTES * containers + VALUE_BYTES * text.count(b",")


def read_index(value: Any) -> int:
    """Return the index of an event. Raises OverflowError, TypeError or ValueError if it is none."""
    index = int(value)
    if not 0 <= index <= MAX_INDEX:
        raise ValueError(f"index {index!r:.32}, expected 0 to {MAX_INDEX}")
    return index


def is_last_index_alone(document: object) -> bool:
    """Return whether a line has the feed's last index and no event: a number, or an object of it alone."""
    if isinstance(document, dict):
        return document.keys() == {INDEX}
    return isinstance(document, int)


def read_last_index(document: Any) -> int:
    """Return the index of a line that has the last index alone. Raises as `read_index`."""
    return read_index(document[INDEX] if isinstance(document, dict) else document)


def peek_index(head: bytes) -> int | None:
    """Return the index of an event from the first bytes of its line; None if they do not have it."""
    match = _match_index(head)
    return None if match is None else int(match[1])
