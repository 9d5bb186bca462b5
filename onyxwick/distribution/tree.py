"""Which parents each node of the tree follows: bounded depth and width, two parents or more for each.

Rendezvous hashing (Thaler and Ravishankar 1998) with a bound on load (Mirrokni et al. 2016): a node's order
of parents does not depend on the others, but a parent that has its fill is passed over. What a lost parent
served spreads over all others, and nothing else moves.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from hashlib import blake2b

from onyxwick.distribution.model import DistributionError


class TreeError(DistributionError):
    """No tree within the bounds; the text says which bound, and what would do."""


@dataclass(frozen=True, slots=True)
class TreeLimits:
    """`width`: children of one node at most, counted as if all children of one lost parent were spread over
    the others; `parents`: of each child; `slack`: load of a parent over the mean."""

    width: int = 256
    parents: int = 2
    slack: float = 1.1


def plan(
    root: str,
    relays: Sequence[str],
    leaves: Sequence[str],
    limits: TreeLimits | None = None,
    domains: Mapping[str, str] | None = None,
) -> Mapping[str, tuple[str, ...]]:
    """The parents of each relay and leaf, the first one preferred. `domains`: the failure domain (a rack) of
    each relay; a leaf's parents are in different ones as long as there are enough of them.

    Depth is two hops below the root: relays follow the root and, as second parents, relays before them in
    the order of their names (so that no circle can form); leaves follow relays.
    """
    limits = limits or TreeLimits()
    _check(relays, leaves, limits)
    out = {relay: _relay_parents(root, relays, place, limits) for place, relay in enumerate(relays)}
    out |= _leaf_parents(relays, leaves, limits, domains or {})
    return out


def _check(relays: Sequence[str], leaves: Sequence[str], limits: TreeLimits) -> None:
    if len(set(relays)) != len(relays) or len(set(leaves)) != len(leaves):
        raise TreeError("a name stands twice")
    if len(relays) < limits.parents:
        raise TreeError(f"{len(relays)} relays, and {limits.parents} parents for each leaf")
    if len(relays) > limits.width:
        raise TreeError(f"{len(relays)} relays at the root, {limits.width} at most")
    needed = math.ceil(len(leaves) / max(1, len(relays) - 1))
    if needed > limits.width:
        enough = math.ceil(len(leaves) / limits.width) + 1
        raise TreeError(
            f"{needed} leaves at a relay when one is lost, {limits.width} at most: {enough} relays would do"
        )


def _relay_parents(root: str, relays: Sequence[str], place: int, limits: TreeLimits) -> tuple[str, ...]:
    earlier = sorted(relays[:place], key=lambda name: _draw(relays[place], name))
    return (root, *earlier[: limits.parents - 1])


def _leaf_parents(
    relays: Sequence[str], leaves: Sequence[str], limits: TreeLimits, domains: Mapping[str, str]
) -> dict[str, tuple[str, ...]]:
    most = math.ceil(limits.slack * len(leaves) / len(relays))
    loads = [dict.fromkeys(relays, 0) for _ in range(limits.parents)]
    out = {}
    for leaf in leaves:
        order = sorted(relays, key=lambda name: _draw(leaf, name))
        chosen: list[str] = []
        for load in loads:
            open_to = _elsewhere([name for name in order if name not in chosen], chosen, domains)
            parent = next((name for name in open_to if load[name] < most), min(open_to, key=load.__getitem__))
            load[parent] += 1
            chosen.append(parent)
        out[leaf] = tuple(chosen)
    return out


def _elsewhere(names: list[str], chosen: Sequence[str], domains: Mapping[str, str]) -> list[str]:
    """Those outside the failure domains of the parents chosen so far; all of them where none is."""
    taken = {domains[name] for name in chosen if name in domains}
    outside = [name for name in names if domains.get(name) not in taken]
    return outside or names


def _draw(child: str, parent: str) -> bytes:
    return blake2b(f"{child}|{parent}".encode(), digest_size=8).digest()
