"""What a plan for the loss of sites costs to make: seconds and memory, by the number of sites."""

from __future__ import annotations

import math
import resource
import time
from typing import Any

from onyxwick.sites.loss_study import study_losses
from onyxwick.sites.model import Hub, NetworkLink, OfferedLoad, PlannedClass, Site, Topology
from onyxwick.sites.topology_check import check_topology

SITES_A_HUB, NEAR = 20, 6
BOXES, BOX_CAPACITY, RATE_PER_S = 6, 6.0, 120.0


def topology(count: int) -> Topology:
    """Sites on a ring, each linked to its neighbours and to the hubs, at about half of their boxes' room."""
    hubs = max(2, math.ceil(count / SITES_A_HUB))
    kinds = {
        "video": PlannedClass("video", 140_000, 56_000, 0.25, 0.3, 2.0, shared_object_share=0.8),
        "sheet": PlannedClass("sheet", 70_000, 28_000, 0.35, 0.5, 1.0, shared_object_share=0.8),
        "booking": PlannedClass("booking", 20_000, 8_000, 0.0, 0.0, 3.0, is_write=True),
    }
    mix = {"video": 0.3, "sheet": 0.6, "booking": 0.1}
    names = [f"s{n:03d}" for n in range(count)]
    beside = {n: _beside(names, k) for k, n in enumerate(names)}
    sites = {n: Site(n, n, BOXES * BOX_CAPACITY, 2, BOXES, dict.fromkeys(beside[n], 0.25)) for n in names}
    loads = tuple(OfferedLoad(k, n, RATE_PER_S * share) for n in names for k, share in mix.items())
    paths: dict[frozenset[str], NetworkLink] = {}

    def way(one: str, other: str, capacity: float, delay_us: int) -> None:
        paths[frozenset((one, other))] = NetworkLink((one, other), capacity, delay_us)

    for n, name in enumerate(names):
        for step in range(1, min(NEAR, count - 1) // 2 + 1):
            way(name, names[(n + step) % count], 40.0, 4_000 * step)
        for hub in range(hubs):
            way(name, f"h{hub}", 20.0, 5_000 + 1_000 * abs(hub - n % hubs))
    each = 4.0 * count / hubs
    stores = {f"h{n}": Hub(f"h{n}", f"h{n}", each) for n in range(hubs)}
    return check_topology(Topology(sites, stores, Hub("archive", "h0", 6.0 * count), kinds, loads, paths))


def _beside(names: list[str], at: int) -> list[str]:
    """The two neighbours on either side, to whom a site's clients go."""
    steps = [step for step in (-2, -1, 1, 2) if step % len(names)]
    return list(dict.fromkeys(names[(at + step) % len(names)] for step in steps))


def measure(count: int, pairs: bool) -> dict[str, Any]:
    """One plan in this process: what was solved, the seconds, the peak of resident memory."""
    top = topology(count)
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    begin = time.perf_counter()
    done = study_losses(top, pairs)
    seconds = time.perf_counter() - begin
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    return {
        "sites": count,
        "losses": len(done.outcomes),
        "pairs_left_out": done.omitted_pairs,
        "pairs_apart": done.independent_pairs,
        "not_borne": sum(not outcome.is_feasible for outcome in done.outcomes.values()),
        "seconds": round(seconds, 2),
        "ms_a_loss": round(1000 * seconds / len(done.outcomes), 2),
        "peak_mb": round(peak / 1024, 1),
        "peak_mb_before": round(before / 1024, 1),
    }
