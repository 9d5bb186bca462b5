"""All losses that a plan answers: nothing, each site, each hub, and the pairs of sites that share a
survivor."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import combinations

from onyxwick.sites.linear_program import (
    NEAREST,
    LossOutcome,
    Resource,
    ResourceUse,
    SiteLoss,
    solve,
    spelled,
)
from onyxwick.sites.model import Topology
from onyxwick.sites.plan import Key, LossPlanRow, SitePlan, key_of

MOST_PAIRS = 2_000
SAME = 1e-3  # shares nearer than this are the same


@dataclass(slots=True)
class LossStudy:
    """Every loss that was looked at, with what became of it, and the plan made of them."""

    top: Topology
    outcomes: dict[Key, LossOutcome] = field(default_factory=dict)
    left_out: int = 0  # pairs that share a survivor and were over the bound
    apart: int = 0  # pairs that share none: what each loses is what it loses alone

    def plan(self) -> SitePlan:
        return SitePlan(self.top, {key: _row(self.top, out) for key, out in self.outcomes.items()})

    def findings(self) -> list[str]:
        """What cannot be borne, in words with figures; the steady state and single losses first."""
        out = []
        for outcome in self.outcomes.values():
            if outcome.borne:
                continue
            lost = str(outcome.loss)
            head = "With nothing lost" if lost == "nothing" else f"The loss of {lost}"
            refused = max(0.0, 1 - outcome.worth / outcome.asked)
            need = ", ".join(
                f"{more:.1f} transfers more of {spelled(r)}" for r, more in sorted(outcome.need.items())
            )
            text = f"{head} cannot be borne: {refused:.1%} of the worth asked for is refused"
            out.append(
                text + (f"; it would need {need}." if need else "; no capacity stated here would help.")
            )
        return out


def _row(top: Topology, outcome: LossOutcome) -> LossPlanRow:
    guests = {}
    for name in top.sites:
        use: ResourceUse | None = outcome.use.get(("boxes", name))
        if name not in outcome.loss.sites | outcome.loss.boxes and use is not None:
            guests[name] = use.share
    own = {load.site: 0.0 for load in top.loads}
    for load in top.loads:
        kind = top.kinds[load.kind]
        kept = outcome.kept.get((load.site, load.kind, load.tenant), 1.0)
        own[load.site] += 0.0 if kind.write else load.rate_per_s * kind.work * kept
    for name, share in guests.items():
        guests[name] = max(0.0, share - own.get(name, 0.0) / max(1e-9, top.sites[name].capacity))
    return LossPlanRow(outcome.homes, outcome.kept, {name: round(share, 6) for name, share in guests.items()})


def _near(top: Topology, site: str) -> set[str]:
    return set(top.near(site, top.sites)[:NEAREST])


def _pairs(study: LossStudy) -> list[tuple[str, str]]:
    """Those whose survivors meet, the ones with the least room left between them first."""
    top = study.top
    near = {site: _near(top, site) for site in top.sites}
    meeting = []
    for one, other in combinations(top.sites, 2):
        if other not in near[one] and one not in near[other] and not near[one] & near[other]:
            study.apart += 1
            continue
        rooms = [_room(study, one, s) + _room(study, other, s) for s in near[one] & near[other]]
        meeting.append((sum(rooms), one, other))
    meeting.sort()
    study.left_out = max(0, len(meeting) - MOST_PAIRS)
    return [(one, other) for _, one, other in meeting[:MOST_PAIRS]]


def _room(study: LossStudy, lost: str, survivor: str) -> float:
    """Of a survivor's boxes that one loss leaves free, in transfers."""
    outcome = study.outcomes.get(key_of([lost]))
    use = outcome.use.get(("boxes", survivor)) if outcome is not None else None
    capacity = study.top.sites[survivor].capacity
    return capacity - use.used if use is not None else capacity


def losses(study: LossStudy, pairs: bool) -> Iterator[SiteLoss]:
    """In the order of solving: pairs are chosen by what the single losses left."""
    yield SiteLoss()
    for site in study.top.sites:
        yield SiteLoss(frozenset([site]))
    for hub in study.top.hubs:
        yield SiteLoss(hubs=frozenset([hub]))
    for site in study.top.sites:
        yield SiteLoss(boxes=frozenset([site]))
    if pairs and len(study.top.sites) > 2:
        for one, other in _pairs(study):
            yield SiteLoss(frozenset([one, other]))


def study(top: Topology, pairs: bool = True) -> LossStudy:
    """Every loss solved; `programme.Unsolved` where HiGHS gives no answer."""
    out = LossStudy(top)
    for loss in losses(out, pairs):
        out.outcomes[key_of(loss.sites, loss.hubs, loss.boxes)] = solve(top, loss)
    return out


def compared(one: LossOutcome, other: LossOutcome) -> dict[Resource, float]:
    """Resources by how much more of their capacity the second loss uses than the first."""
    return {
        r: use.share - one.use[r].share
        for r, use in other.use.items()
        if r in one.use and abs(use.share - one.use[r].share) > SAME
    }
