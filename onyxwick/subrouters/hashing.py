"""The hash that decides to which cell or slice an object belongs.

It is the same at every director and after every restart."""

from __future__ import annotations

from hashlib import blake2b

HASH_BYTES = 8
HASH_RANGE = 1 << (8 * HASH_BYTES)


def stable_hash(text: str, namespace: bytes = b"") -> int:
    """Return a 64-bit hash of a name. Different namespaces (at most 16 bytes) give independent hashes."""
    digest = blake2b(text.encode(), digest_size=HASH_BYTES, person=namespace).digest()
    return int.from_bytes(digest, "big")
