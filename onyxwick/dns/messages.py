"""DNS messages as bytes: headers, error responses, and responses within the size that the client accepts."""

from __future__ import annotations

import struct
from dataclasses import dataclass

import dns.exception
import dns.flags
import dns.message
import dns.opcode
import dns.rcode

PLAIN_UDP_BYTES = 512
"""Limit on an answer over UDP without EDNS."""
MAX_UDP_BYTES = 1232
"""Limit on an answer over UDP with EDNS."""
MAX_TCP_BYTES = 65_535
HEADER = struct.Struct(">HHHHHH")
QUESTION_COUNT = 5
"""The offset of the low byte of the number of questions in a header."""
RESPONSE_FLAG = 0x8000
MAX_LABEL_BYTES = 63
TYPE_AND_CLASS_BYTES = 4
COPIED_FLAGS = 0x7900
"""The opcode and the flag "recursion desired", which a response copies from its query."""


def is_query(wire: bytes) -> bool:
    """Return whether a message has a complete header and is not a response."""
    return len(wire) >= HEADER.size and not wire[2] & (RESPONSE_FLAG >> 8)


def opcode_of(wire: bytes) -> dns.opcode.Opcode:
    """Return the opcode of a message, for which `is_query` must hold."""
    return dns.opcode.from_flags(HEADER.unpack_from(wire)[1])


def error_response(wire: bytes, rcode: dns.rcode.Rcode) -> bytes:
    """Return an error response without a body, which answers a message that cannot be parsed."""
    message_id, flags, *_ = HEADER.unpack_from(wire)
    return HEADER.pack(message_id, RESPONSE_FLAG | (flags & COPIED_FLAGS) | rcode, 0, 0, 0, 0)


@dataclass(frozen=True, slots=True)
class RawQuestion:
    """The question of a message as it stands on the wire, read without parsing the message."""

    labels: tuple[bytes, ...]
    """The labels of its name in lower case, with the empty one of the root at the end."""
    wire: bytes

    def error_response(self, query: bytes, rcode: dns.rcode.Rcode) -> bytes:
        """Return an error response to `query`, the message, with its question and nothing else."""
        header = bytearray(error_response(query, rcode))
        header[QUESTION_COUNT] = 1
        return bytes(header) + self.wire


def read_question(wire: bytes) -> RawQuestion | None:
    """Read the question of a message with exactly one; None if there is none or it is malformed."""
    if HEADER.unpack_from(wire)[2] != 1:
        return None
    labels = list[bytes]()
    at = HEADER.size
    while at < len(wire) and (size := wire[at]):
        if size > MAX_LABEL_BYTES:  # a compressed name; there is nothing before it to refer to
            return None
        labels.append(wire[at + 1 : at + 1 + size].lower())
        at += 1 + size
    end = at + 1 + TYPE_AND_CLASS_BYTES
    return RawQuestion((*labels, b""), wire[HEADER.size : end]) if end <= len(wire) else None


def encode_response(query: dns.message.Message, response: dns.message.Message, over_udp: bool) -> bytes:
    """Encode a response. One that is too long is truncated, so that the client repeats the query by TCP."""
    max_bytes = MAX_TCP_BYTES
    if over_udp:
        has_edns = query.edns >= 0
        max_bytes = min(max(PLAIN_UDP_BYTES, query.payload), MAX_UDP_BYTES) if has_edns else PLAIN_UDP_BYTES
    try:
        return response.to_wire(max_size=max_bytes)
    except dns.exception.TooBig:
        truncated = dns.message.make_response(query, our_payload=MAX_UDP_BYTES)
        truncated.flags |= dns.flags.TC | (response.flags & dns.flags.AA)
        return truncated.to_wire(max_size=max_bytes)
