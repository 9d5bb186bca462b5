"""The hash that decides which cell or slice an object belongs to: equal at every director and after every
restart."""

from __future__ import annotations

from hashlib import blake2b

HASH_BYTES = 8
HASH_RANGE = 1 << (8 * HASH_BYTES)


def stable_hash(text: str, namespace: bytes = b"") -> int:
    """64 bits for a name. Hashes of different namespaces (at most 16 bytes) are independent of each other."""
    digest = blake2b(text.encode(), digest_size=HASH_BYTES, person=namespace).digest()
    return int.from_bytes(digest, "big")
