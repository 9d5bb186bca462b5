"""Objects to slices, and slices to the sites that serve them: the same at every director with the same plan.

Weighted rendezvous hashing (Thaler and Ravishankar 1998, with weights as in Schindelhauer and Schomaker
2005): a slice is served by the site with the least exponential draw over its weight. Where a weight falls to
zero only the slices of that site are reassigned; with 1,024 slices a share of one half is met within 1.6%
(one standard deviation, the root of p(1-p)/1024).
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
    """The slice of an object, all its segments alike."""
    return stable_hash(object_name) % SLICE_COUNT


@lru_cache(maxsize=CACHED_DRAWS)
def _draw(origin_site: str, slice_number: int, site: str) -> float:
    return -math.log((stable_hash(f"{origin_site}/{slice_number}/{site}") + 1) / (HASH_RANGE + 1))


def serving_site_of_slice(origin_site: str, slice_number: int, weights: Mapping[str, float]) -> str | None:
    """The site that serves one slice of a lost site's objects; None where no weight is above zero."""
    candidates = [site for site, weight in weights.items() if weight > 0]
    return min(
        candidates,
        key=lambda site: (_draw(origin_site, slice_number, site) / weights[site], site),
        default=None,
    )


def serving_site_table(origin_site: str, weights: Mapping[str, float]) -> list[str | None]:
    """The site that serves each slice of a lost site's objects."""
    return [serving_site_of_slice(origin_site, number, weights) for number in range(SLICE_COUNT)]


@lru_cache(maxsize=CACHED_OBJECTS)
def move_position(origin_site: str, object_name: str) -> float:
    """An object's position in a move away from a site: 0 among the first, just under 1 among the last.

    Independent of its slice's serving site, so that each step moves a part of every site's slices."""
    return stable_hash(f"turn/{origin_site}/{slice_of(object_name)}") / HASH_RANGE


@lru_cache(maxsize=CACHED_OBJECTS)
def shed_position(object_name: str) -> float:
    """An object's position among those that are shed: 0 for the last, just under 1 for the first."""
    return stable_hash(f"kept/{object_name}") / HASH_RANGE
