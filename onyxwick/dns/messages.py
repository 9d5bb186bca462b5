"""DNS messages as bytes: reading queries, bare errors, and responses within the size that a client takes."""

from __future__ import annotations

import struct

import dns.exception
import dns.flags
import dns.message
import dns.opcode
import dns.rcode

PLAIN_UDP_BYTES = 512
"""Longest answer over UDP without EDNS."""
MAX_UDP_BYTES = 1232
"""Longest answer over UDP with EDNS."""
MAX_TCP_BYTES = 65_535
HEADER = struct.Struct(">HHHHHH")
RESPONSE_FLAG = 0x8000
COPIED_FLAGS = 0x7900
"""Opcode and recursion desired, which a response repeats."""


def is_query(wire: bytes) -> bool:
    """Has a message a complete header, and is it no response?"""
    return len(wire) >= HEADER.size and not wire[2] & (RESPONSE_FLAG >> 8)


def opcode_of(wire: bytes) -> dns.opcode.Opcode:
    """The opcode of a message that `is_query`."""
    return dns.opcode.from_flags(HEADER.unpack_from(wire)[1])


def error_response(wire: bytes, rcode: dns.rcode.Rcode) -> bytes:
    """A bare error: the answer to a message that cannot be read."""
    message_id, flags, *_ = HEADER.unpack_from(wire)
    return HEADER.pack(message_id, RESPONSE_FLAG | (flags & COPIED_FLAGS) | rcode, 0, 0, 0, 0)


def encode_response(query: dns.message.Message, response: dns.message.Message, over_udp: bool) -> bytes:
    """A response's bytes; truncated, so that the client repeats the query by TCP, where it is too long."""
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
