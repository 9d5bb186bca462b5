"""Objects to slices, slices to their new homes: the same at every director that holds the same plan.

Weighted rendezvous hashing (Thaler and Ravishankar 1998, with weights as in Schindelhauer and Schomaker
2005): a slice's home is the site with the least exponential draw over its weight. Where a weight falls to
nothing only the slices of that site get another home; with 1,024 slices a share of one half is met within
1.6% (one standard deviation, the root of p(1-p)/1024).
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from functools import lru_cache
from hashlib import blake2b

SLICES = 1024


def stable_hash(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


@lru_cache(maxsize=1 << 14)
def slice_of(name: str) -> int:
    """The slice of an object, all its parts alike."""
    return stable_hash(name) % SLICES


@lru_cache(maxsize=1 << 16)
def _draw(origin: str, number: int, site: str) -> float:
    return -math.log((stable_hash(f"{origin}/{number}/{site}") + 1) / (2**64 + 1))


def serving_site_of_slice(origin: str, number: int, weights: Mapping[str, float]) -> str | None:
    """The site that one slice of a lost site's objects goes to; None where no weight is over nothing."""
    left = [site for site, weight in weights.items() if weight > 0]
    return min(left, key=lambda site: (_draw(origin, number, site) / weights[site], site), default=None)


def serving_site_table(origin: str, weights: Mapping[str, float]) -> list[str | None]:
    """The home of every slice."""
    return [serving_site_of_slice(origin, number, weights) for number in range(SLICES)]


@lru_cache(maxsize=1 << 14)
def move_position(origin: str, name: str) -> float:
    """When an object's turn comes in a move away from a site: 0 among the first, just under 1 among the last.
    Not by the bits that choose its slice's home: each step moves a part of every home's slices."""
    return stable_hash(f"turn/{origin}/{slice_of(name)}") / 2**64


@lru_cache(maxsize=1 << 14)
def shed_position(name: str) -> float:
    """Where an object stands among those that are refused last (0) and first (just under 1)."""
    return stable_hash(f"kept/{name}") / 2**64
