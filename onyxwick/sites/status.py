"""What operators are shown of sites, and the reasons for where an object goes."""

from __future__ import annotations

from typing import Any

from onyxwick.sites.lifecycle import SitePhase
from onyxwick.sites.router import SiteRouter
from onyxwick.sites.traffic_slices import slice_of, turn_of


def show(sites: SiteRouter, now: int) -> dict[str, Any]:
    """All of the state that an operator can act on."""
    return {
        "home": sites.home,
        "topology": sites.watch.homes.plan.digest,
        "planned_losses": len(sites.watch.homes.plan.rows),
        "calm": sites.watch.calm,
        "cut_off": sites.watch.cut_off,
        "sites": {name: _place(sites, name, now) for name in sites.top.sites},
        "hubs": {name: _place(sites, name, now) for name in sites.top.hubs},
        "orders": sites.watch.orders.shown(),
        "open": len(sites.requests),
        "counts": dict(sorted(sites.counts.items())),
    }


def _place(sites: SiteRouter, name: str, now: int) -> dict[str, Any]:
    life, seen, standing = (
        sites.watch.lives[name],
        sites.watch.evidence.seen(now, name),
        sites.watch.roster.standing(name, now),
    )
    unit = sites.units.get(name)
    out: dict[str, Any] = {
        "state": life.phase.value,
        "since_s": round((now - life.since) / 1e6, 1),
        "why": life.why,
        "away": round(life.share, 4),
        "flaps": life.flaps,
        "hold_s": round(life.hold_us / 1e6, 1),
        "boxes": {"tried": seen.tried, "dark": seen.dark, "listed": round(standing.listed, 3)},
        "cause": seen.cause(),
        "capacity": {"room": round(standing.room, 3), "warmth": round(standing.warmth, 3)},
    }
    if unit is not None:
        out |= {
            "open": unit.open,
            "pressure": round(unit.ladder.pressure, 3),
            "step": unit.ladder.level,
            "reserve": round(unit.reserve, 3),
            "limit": round(unit.ladder.gate.adaptive.limit, 1),
        }
    return out


def explain(sites: SiteRouter, site: str, kind: str, name: str) -> list[str]:
    """Why an object of a site's clients goes where it goes at this instant. KeyError for what is unknown."""
    life, told = sites.watch.lives[site], sites.classes[kind]
    if site not in sites.top.sites:
        raise KeyError(site)
    out = [f"Site '{site}' is {life.phase.value}: {life.why}."]
    if told.is_write and sites.set.cache_bypass:
        return [
            *out,
            f"A '{kind}' runs at the archive and is sent there from here, whatever boxes there are.",
        ]
    if sites.watch.homes.lost:
        out.append(f"Held to be lost: {', '.join(sorted(sites.watch.homes.lost))}.")
    if not sites.watch.homes.kept(site, kind, "", name, 1.0):
        return [*out, "The plan has no room for this object in that loss: it is refused at once."]
    if life.phase is SitePhase.STEADY:
        return [*out, f"It is served by the boxes of '{site}'."]
    new, turn = sites.watch.homes.new_home(site, kind, name), turn_of(site, name)
    out.append(
        f"Its slice is {slice_of(name)}, whose new home is {repr(new) if new else 'nowhere'}; its turn is"
        f" {turn:.3f}, and {life.share:.3f} of the objects are away."
    )
    way = sites.watch.homes.way(life, kind, name, site == sites.home, may_try=False)
    return [*out, f"It goes to '{way.site}'." if way.site else f"It is refused at once: {way.why}."]
