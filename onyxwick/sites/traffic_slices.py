"""Maps objects to slices, and slices to the sites that serve them.

A slice is one of 1,024 groups into which objects are hashed. The mapping is identical at every director with
the same plan.

Uses weighted rendezvous hashing (Thaler and Ravishankar 1998, with weights as in Schindelhauer and
Schomaker 2005): a slice is served by the site with the smallest exponential draw divided by its weight. If
a weight falls to zero, only the slices of that site are reassigned. With 1,024 slices, a share of one half
is met within 1.6% (one standard deviation, the square root of p(1-p)/1024).
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from functools import lru_cache

from onyxwick.subrouters.hashing import HASH_RANGE, stable_hash

SLICE_COUNT = 1024
CACHED_OBJECTS = 1 << 14
CACHED_DRAWS = 1 << 16


@lru_cache(maxsize=CACHED_OBJECTS)
def slice_of(object_name: str) -> int:
    """Return the slice of an object; the same for all its segments."""
    return stable_hash(object_name) % SLICE_COUNT


@lru_cache(maxsize=CACHED_DRAWS)
def _draw(origin_site: str, slice_number: int, site: str) -> float:
    return -math.log((stable_hash(f"{origin_site}/{slice_number}/{site}") + 1) / (HASH_RANGE + 1))


def serving_site_of_slice(origin_site: str, slice_number: int, weights: Mapping[str, float]) -> str | None:
    """Return the site that serves one slice of a lost site's objects; None if no weight is above zero."""
    candidates = [site for site, weight in weights.items() if weight > 0]
    return min(
        candidates,
        key=lambda site: (_draw(origin_site, slice_number, site) / weights[site], site),
        default=None,
    )


def serving_site_table(origin_site: str, weights: Mapping[str, float]) -> list[str | None]:
    """Return the site that serves each slice of a lost site's objects, by slice number."""
    return [serving_site_of_slice(origin_site, slice_number, weights) for slice_number in range(SLICE_COUNT)]


@lru_cache(maxsize=CACHED_OBJECTS)
def move_position(origin_site: str, object_name: str) -> float:
    """Return the position of an object in a move away from a site: from 0 for the first to just under 1 for
    the last.

    The position is independent of the site that serves the slice, so that each step moves a part of the
    slices of every serving site."""
    return stable_hash(f"turn/{origin_site}/{slice_of(object_name)}") / HASH_RANGE


@lru_cache(maxsize=CACHED_OBJECTS)
def shed_position(object_name: str) -> float:
    """Return the position of an object in the order of shedding: 0 is shed last, just under 1 is shed
    first."""
    return stable_hash(f"kept/{object_name}") / HASH_RANGE
