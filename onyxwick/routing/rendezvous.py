"""Rendezvous hashing (highest random weight, Thaler and Ravishankar 1998), weighted by capacity.

Input: a key and the members. Output: the members in an order that is the same at every router. When a
member is added or removed, the order of the other members does not change. The hash of key and address gives
each member an exponential variate, which is divided by the member's capacity. The member with the lowest
result is first, so that each is first with a probability in proportion to its capacity.
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
    """Return a draw from the standard exponential distribution that depends only on key and address."""
    digest = blake2b(f"{key}|{address}".encode(), digest_size=DRAW_BYTES).digest()
    return -math.log((int.from_bytes(digest, "big") + 1) / (2**64 + 1))


class RendezvousHash:
    """Orders members by key, weighted by capacity if the listed weights are the same for every router."""

    def __init__(self, settings: RouterSettings, capacity: CapacityModel) -> None:
        self.capacity = capacity
        self.weighted = settings.weight_source is WeightSource.NOMINAL

    def order(self, key: str, members: list[MemberRecord]) -> list[MemberRecord]:
        """Return the members sorted by preference for this key, the first choice first."""
        if not self.weighted:
            return sorted(members, key=lambda member: exponential_draw(key, member.info.address))
        transfers = self.capacity.transfers
        return sorted(
            members, key=lambda member: exponential_draw(key, member.info.address) / transfers(member)
        )
