"""All losses that a plan answers: nothing, each site, each hub, and the pairs of sites that share a
survivor."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import combinations

from onyxwick.sites.linear_program import (
    MAX_SURVIVORS,
    LossOutcome,
    Resource,
    ResourceUse,
    SiteLoss,
    resource_name,
    solve_loss,
)
from onyxwick.sites.model import Topology
from onyxwick.sites.plan import LossKey, LossPlanRow, SitePlan, loss_key

MAX_PAIRS = 2_000
SAME = 1e-3  # shares nearer than this are the same


@dataclass(slots=True)
class LossStudy:
    """Every loss that was looked at, with what became of it, and the plan made of them."""

    topology: Topology
    outcomes: dict[LossKey, LossOutcome] = field(default_factory=dict)
    omitted_pairs: int = 0  # pairs that share a survivor and were over the bound
    independent_pairs: int = 0  # pairs that share none: what each loses is what it loses alone

    def plan(self) -> SitePlan:
        return SitePlan(self.topology, {key: _row(self.topology, out) for key, out in self.outcomes.items()})

    def findings(self) -> list[str]:
        """What cannot be borne, in words with figures; the steady state and single losses first."""
        out = []
        for outcome in self.outcomes.values():
            if outcome.is_feasible:
                continue
            lost = str(outcome.loss)
            head = "With nothing lost" if lost == "nothing" else f"The loss of {lost}"
            refused = max(0.0, 1 - outcome.served_value / outcome.offered_value)
            need = ", ".join(
                f"{more:.1f} transfers more of {resource_name(r)}"
                for r, more in sorted(outcome.missing_capacity.items())
            )
            text = f"{head} cannot be borne: {refused:.1%} of the worth asked for is refused"
            out.append(
                text + (f"; it would need {need}." if need else "; no capacity stated here would help.")
            )
        return out


def _row(top: Topology, outcome: LossOutcome) -> LossPlanRow:
    guests = {}
    for name in top.sites:
        use: ResourceUse | None = outcome.resource_use.get(("boxes", name))
        if name not in outcome.loss.sites | outcome.loss.cache_sites and use is not None:
            guests[name] = use.share
    own = {load.site: 0.0 for load in top.loads}
    for load in top.loads:
        kind = top.classes[load.class_name]
        kept = outcome.served_shares.get((load.site, load.class_name, load.tenant), 1.0)
        own[load.site] += 0.0 if kind.is_write else load.rate_per_s * kind.work * kept
    for name, share in guests.items():
        guests[name] = max(0.0, share - own.get(name, 0.0) / max(1e-9, top.sites[name].capacity))
    return LossPlanRow(
        outcome.serving_shares,
        outcome.served_shares,
        {name: round(share, 6) for name, share in guests.items()},
    )


def _near(top: Topology, site: str) -> set[str]:
    return set(top.nearest(site, top.sites)[:MAX_SURVIVORS])


def _pairs(study: LossStudy) -> list[tuple[str, str]]:
    """Those whose survivors meet, the ones with the least room left between them first."""
    top = study.topology
    near = {site: _near(top, site) for site in top.sites}
    meeting = []
    for one, other in combinations(top.sites, 2):
        if other not in near[one] and one not in near[other] and not near[one] & near[other]:
            study.independent_pairs += 1
            continue
        rooms = [_room(study, one, s) + _room(study, other, s) for s in near[one] & near[other]]
        meeting.append((sum(rooms), one, other))
    meeting.sort()
    study.omitted_pairs = max(0, len(meeting) - MAX_PAIRS)
    return [(one, other) for _, one, other in meeting[:MAX_PAIRS]]


def _room(study: LossStudy, lost: str, survivor: str) -> float:
    """Of a survivor's boxes that one loss leaves free, in transfers."""
    outcome = study.outcomes.get(loss_key([lost]))
    use = outcome.resource_use.get(("boxes", survivor)) if outcome is not None else None
    capacity = study.topology.sites[survivor].capacity
    return capacity - use.used if use is not None else capacity


def losses_to_solve(study: LossStudy, pairs: bool) -> Iterator[SiteLoss]:
    """In the order of solving: pairs are chosen by what the single losses left."""
    yield SiteLoss()
    for site in study.topology.sites:
        yield SiteLoss(frozenset([site]))
    for hub in study.topology.hubs:
        yield SiteLoss(hubs=frozenset([hub]))
    for site in study.topology.sites:
        yield SiteLoss(cache_sites=frozenset([site]))
    if pairs and len(study.topology.sites) > 2:
        for one, other in _pairs(study):
            yield SiteLoss(frozenset([one, other]))


def study_losses(top: Topology, pairs: bool = True) -> LossStudy:
    """Every loss solved; `programme.Unsolved` where HiGHS gives no answer."""
    out = LossStudy(top)
    for loss in losses_to_solve(out, pairs):
        out.outcomes[loss_key(loss.sites, loss.hubs, loss.cache_sites)] = solve_loss(top, loss)
    return out


def compared(one: LossOutcome, other: LossOutcome) -> dict[Resource, float]:
    """Resources by how much more of their capacity the second loss uses than the first."""
    return {
        r: use.share - one.resource_use[r].share
        for r, use in other.resource_use.items()
        if r in one.resource_use and abs(use.share - one.resource_use[r].share) > SAME
    }
