"""Chooses the parents of each node of the distribution tree, with bounded depth and width.

Each child has two or more parents. The choice uses rendezvous hashing (Thaler and Ravishankar 1998) with a
bound on load (Mirrokni et al. 2016): the order in which a node prefers its parents does not depend on other
nodes, but a parent at its load bound is skipped. The children of a lost parent are spread over all other
parents, and no other child moves.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from hashlib import blake2b

from onyxwick.distribution.model import DistributionError

SCORE_BYTES = 8


class TreeError(DistributionError):
    """No tree satisfies the limits; the message names the limit and what would satisfy it."""


@dataclass(frozen=True, slots=True)
class TreeLimits:
    """Limits of the tree.

    `max_children` limits the children of one node, counted as if the children of one lost parent were spread
    over the others. `parents` is the number of parents of each child. `load_slack` is the maximum load of a
    parent as a multiple of the mean load.
    """

    max_children: int = 256
    parents: int = 2
    load_slack: float = 1.1


def plan_tree(
    root: str,
    relays: Sequence[str],
    leaves: Sequence[str],
    limits: TreeLimits | None = None,
    domains: Mapping[str, str] | None = None,
) -> Mapping[str, tuple[str, ...]]:
    """Return the parents of each relay and leaf, the preferred parent first.

    Raises TreeError if no tree satisfies the limits. `domains` gives the failure domain (a rack) of each
    relay; the parents of a leaf are in different domains as long as there are enough of them. Relays follow
    the root and, as further parents, relays before them in the given order, so that no cycle can form. Leaves
    follow relays and are two hops below the root.
    """
    limits = limits or TreeLimits()
    _check_bounds(relays, leaves, limits)
    parents = {relay: _relay_parents(root, relays, position, limits) for position, relay in enumerate(relays)}
    return parents | _leaf_parents(relays, leaves, limits, domains or {})


def _check_bounds(relays: Sequence[str], leaves: Sequence[str], limits: TreeLimits) -> None:
    if len(set(relays)) != len(relays) or len(set(leaves)) != len(leaves):
        raise TreeError("a relay or a leaf is listed twice")
    if len(relays) < limits.parents:
        raise TreeError(f"{len(relays)} relays are too few for {limits.parents} parents of each leaf")
    if len(relays) > limits.max_children:
        raise TreeError(f"{len(relays)} relays follow the root, at most {limits.max_children} are allowed")
    children_after_loss = math.ceil(len(leaves) / max(1, len(relays) - 1))
    if children_after_loss > limits.max_children:
        enough = math.ceil(len(leaves) / limits.max_children) + 1
        raise TreeError(
            f"{children_after_loss} leaves per relay after the loss of one, at most {limits.max_children}:"
            f" {enough} relays would be enough"
        )


def _relay_parents(root: str, relays: Sequence[str], position: int, limits: TreeLimits) -> tuple[str, ...]:
    earlier = sorted(relays[:position], key=lambda name: _rendezvous_score(relays[position], name))
    return (root, *earlier[: limits.parents - 1])


def _leaf_parents(
    relays: Sequence[str], leaves: Sequence[str], limits: TreeLimits, domains: Mapping[str, str]
) -> dict[str, tuple[str, ...]]:
    max_load = math.ceil(limits.load_slack * len(leaves) / len(relays))
    loads_by_rank = [dict.fromkeys(relays, 0) for _ in range(limits.parents)]
    parents = {}
    for leaf in leaves:
        order = sorted(relays, key=lambda name: _rendezvous_score(leaf, name))
        chosen: list[str] = []
        for load in loads_by_rank:
            candidates = _outside_failure_domains(
                [name for name in order if name not in chosen], chosen, domains
            )
            least_loaded = min(candidates, key=load.__getitem__)
            parent = next((name for name in candidates if load[name] < max_load), least_loaded)
            load[parent] += 1
            chosen.append(parent)
        parents[leaf] = tuple(chosen)
    return parents


def _outside_failure_domains(
    names: list[str], chosen: Sequence[str], domains: Mapping[str, str]
) -> list[str]:
    """Return the names outside the failure domains of the parents chosen so far, or all names if none is."""
    taken = {domains[name] for name in chosen if name in domains}
    outside = [name for name in names if domains.get(name) not in taken]
    return outside or names


def _rendezvous_score(child: str, parent: str) -> bytes:
    return blake2b(f"{child}|{parent}".encode(), digest_size=SCORE_BYTES).digest()
