"""Rendezvous hashing (highest random weight, Thaler and Ravishankar 1998), weighted by capacity.

Input: a key and the members. Output: the members in an order that every router computes alike, and of which
only the places of a member that comes or goes change. Each member draws an exponential variate from the
hash of key and address; divided by its capacity, the least comes first with a probability in proportion to
the capacity.
"""

from __future__ import annotations

import math
from functools import lru_cache
from hashlib import blake2b

from onyxwick.interface import RouterSettings, WeightSource
from onyxwick.routing.capacity import CapacityModel
from onyxwick.routing.state import MemberRecord

DRAW_CACHE_SIZE = 4096
DRAW_BYTES = 8


@lru_cache(maxsize=DRAW_CACHE_SIZE)
def exponential_draw(key: str, address: str) -> float:
    """A draw from the standard exponential distribution, fixed for a key at an address."""
    digest = blake2b(f"{key}|{address}".encode(), digest_size=DRAW_BYTES).digest()
    return -math.log((int.from_bytes(digest, "big") + 1) / (2**64 + 1))


class RendezvousHash:
    """Orders members by key, weighted where the listed weights are the same for every router."""

    def __init__(self, settings: RouterSettings, capacity: CapacityModel) -> None:
        self.capacity = capacity
        self.weighted = settings.weight_source is WeightSource.NOMINAL

    def order(self, key: str, members: list[MemberRecord]) -> list[MemberRecord]:
        """The members, the first choice for this key first."""
        if not self.weighted:
            return sorted(members, key=lambda member: exponential_draw(key, member.info.address))
        transfers = self.capacity.transfers
        return sorted(
            members, key=lambda member: exponential_draw(key, member.info.address) / transfers(member)
        )
