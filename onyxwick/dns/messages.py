"""DNS messages as bytes: headers, error responses, and responses within the size that the client accepts."""

from __future__ import annotations

import struct

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
RESPONSE_FLAG = 0x8000
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
