"""Where an object of a site's clients goes at this instant: at home, to its new home, or nowhere. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from onyxwick.sites.lifecycle import AWAY_PHASES, SiteLifecycle, SitePhase
from onyxwick.sites.model import NO_TENANT
from onyxwick.sites.plan import LossKey, LossPlanRow, SitePlan, loss_key
from onyxwick.sites.traffic_slices import (
    SLICES,
    move_position,
    serving_site_of_slice,
    shed_position,
    slice_of,
)

READY = 0.5  # of a left site's boxes that the list must name for requests to try it


@dataclass(frozen=True, slots=True)
class SiteRoute:
    """`site` None: refused, for `why`. `trial`: the site is not known to answer."""

    site: str | None
    is_trial: bool = False
    reason: str = ""


class ServingSites:
    """The plan as it applies to what is lost now."""

    def __init__(self, plan: SitePlan, home: str = "") -> None:
        """`home`: the own site. While this director serves, only its boxes can be lost: its clients are
        here."""
        self.plan, self.local_site = plan, home
        self.lost_sites: frozenset[str] = frozenset()
        self.lost_hubs: frozenset[str] = frozenset()
        self.row = LossPlanRow()
        self.rows: dict[LossKey, LossPlanRow] = {}
        self.slice_tables: dict[tuple[LossKey, str, str], list[str | None]] = {}

    def set_losses(self, lost: frozenset[str], hubs: frozenset[str]) -> bool:
        """Other places are lost from now on; True where that changes anything."""
        if (lost, hubs) == (self.lost_sites, self.lost_hubs):
            return False
        self.lost_sites, self.lost_hubs = lost, hubs
        self.row = self._of(lost) if lost or hubs else LossPlanRow()
        return True

    def _of(self, lost: frozenset[str]) -> LossPlanRow:
        return self.plan.row(lost - {self.local_site}, self.lost_hubs, lost & {self.local_site})

    def _row(self, site: str) -> tuple[LossKey, LossPlanRow]:
        """The row with a site lost, whether it is held to be so already or not."""
        lost = self.lost_sites | {site}
        return loss_key(lost, self.lost_hubs), self.row if site in self.lost_sites else self._of(lost)

    def serving_site_for(self, site: str, kind: str, name: str) -> str | None:
        """Where an object of a lost site goes; None: nowhere, as no room is planned for it."""
        key, row = self._row(site)
        table = self.slice_tables.get((key, site, kind))
        if table is None:
            if len(self.slice_tables) >= 1024:
                self.slice_tables.clear()
            table = self.slice_tables[(key, site, kind)] = [None] * SLICES
        number = slice_of(name)
        found = table[number]
        if found is None:
            weights = row.serving_shares.get((site, kind)) or self._any(row, site)
            found = table[number] = serving_site_of_slice(site, number, weights) or ""
        return found or None

    def _any(self, row: LossPlanRow, site: str) -> dict[str, float]:
        """Of a class that the plan knows nothing of: as the site's other classes."""
        out: dict[str, float] = {}
        for (origin, _), shares in row.serving_shares.items():
            if origin == site:
                for home, share in shares.items():
                    out[home] = out.get(home, 0.0) + share
        if not out and not any(origin == site for origin, _ in row.serving_shares):
            rest = self.plan.topology.sites
            out = {s: rest[s].capacity for s in rest if s != site and s not in self.lost_sites}
        return out

    def is_served(self, site: str, kind: str, tenant: str, name: str, squeeze: float) -> bool:
        """Is this object served in the present loss? By object: all parts of it alike. `squeeze`: of what the
        plan would refuse, the share that has proved to be too much; it grows and shrinks by whole objects."""
        kept = self.row.served_shares
        if not kept or squeeze <= 0:
            return True
        share = kept.get((site, kind, tenant), kept.get((site, kind, NO_TENANT), 1.0))
        return share >= 1.0 or shed_position(name) < 1 - (1 - share) * squeeze

    def route(self, life: SiteLifecycle, kind: str, name: str, own: bool, may_try: bool) -> SiteRoute:
        """Where a request for an object of one site's clients goes, by that site's state. `own`: it is this
        director's site; `may_try`: one more request may try a site that is not known to answer."""
        site, phase = life.name, life.phase
        if phase is SitePhase.STEADY:
            return SiteRoute(site)
        if phase in (SitePhase.SUSPECT, SitePhase.LOST):
            if own or may_try:
                return SiteRoute(site, is_trial=not own)
            return SiteRoute(None, reason="in_doubt")
        if phase is SitePhase.EVACUATED and may_try:
            return SiteRoute(site, is_trial=True)
        if phase is SitePhase.EVACUATED or move_position(site, name) < life.moved_share:
            home = self.serving_site_for(site, kind, name)
            return SiteRoute(home, reason="" if home else "no_room")
        if phase is SitePhase.EVACUATING and life.was_unreachable and not own:
            return SiteRoute(None, reason="moving")
        return SiteRoute(
            site
        )  # not moved yet, where stores and archive are left or nothing is dark; or home again


def is_evacuated(life: SiteLifecycle) -> bool:
    """Is a site's room gone from the plan's point of view?"""
    return life.phase in AWAY_PHASES or (life.phase is SitePhase.RETURNING and life.moved_share > 0)
