"""What operators are shown of sites, and the reasons for where an object goes."""

from __future__ import annotations

from typing import Any

from onyxwick.sites.lifecycle import SitePhase
from onyxwick.sites.router import SiteRouter
from onyxwick.sites.traffic_slices import move_position, slice_of


def router_status(sites: SiteRouter, now: int) -> dict[str, Any]:
    """All of the state that an operator can act on."""
    return {
        "home": sites.local_site,
        "topology": sites.monitor.serving_sites.plan.digest,
        "planned_losses": len(sites.monitor.serving_sites.plan.rows),
        "calm": sites.monitor.all_steady,
        "cut_off": sites.monitor.is_cut_off,
        "sites": {name: _place(sites, name, now) for name in sites.topology.sites},
        "hubs": {name: _place(sites, name, now) for name in sites.topology.hubs},
        "orders": sites.monitor.commands.status(),
        "open": len(sites.requests),
        "counts": dict(sorted(sites.counts.items())),
    }


def _place(sites: SiteRouter, name: str, now: int) -> dict[str, Any]:
    life, seen, standing = (
        sites.monitor.lifecycles[name],
        sites.monitor.evidence.observe(now, name),
        sites.monitor.membership.availability(name, now),
    )
    unit = sites.sites.get(name)
    out: dict[str, Any] = {
        "state": life.phase.value,
        "since_s": round((now - life.phase_started_us) / 1e6, 1),
        "why": life.reason,
        "away": round(life.moved_share, 4),
        "flaps": life.flaps,
        "hold_s": round(life.hold_us / 1e6, 1),
        "boxes": {"tried": seen.tried, "dark": seen.unreachable, "listed": round(standing.listed_share, 3)},
        "cause": seen.cause(),
        "capacity": {"room": round(standing.capacity_share, 3), "warmth": round(standing.warm_share, 3)},
    }
    if unit is not None:
        out |= {
            "open": unit.in_flight,
            "pressure": round(unit.shedding.pressure, 3),
            "step": unit.shedding.level,
            "reserve": round(unit.retry_reserve, 3),
            "limit": round(unit.shedding.gate.adaptive_limit.limit, 1),
        }
    return out


def explain(sites: SiteRouter, site: str, kind: str, name: str) -> list[str]:
    """Why an object of a site's clients goes where it goes at this instant. KeyError for what is unknown."""
    life, told = sites.monitor.lifecycles[site], sites.classes[kind]
    if site not in sites.topology.sites:
        raise KeyError(site)
    out = [f"Site '{site}' is {life.phase.value}: {life.reason}."]
    if told.is_write and sites.settings.cache_bypass:
        return [
            *out,
            f"A '{kind}' runs at the archive and is sent there from here, whatever boxes there are.",
        ]
    if sites.monitor.serving_sites.lost_sites:
        out.append(f"Held to be lost: {', '.join(sorted(sites.monitor.serving_sites.lost_sites))}.")
    if not sites.monitor.serving_sites.is_served(site, kind, "", name, 1.0):
        return [*out, "The plan has no room for this object in that loss: it is refused at once."]
    if life.phase is SitePhase.STEADY:
        return [*out, f"It is served by the boxes of '{site}'."]
    new, turn = sites.monitor.serving_sites.serving_site_for(site, kind, name), move_position(site, name)
    out.append(
        f"Its slice is {slice_of(name)}, whose new home is {repr(new) if new else 'nowhere'}; its turn is"
        f" {turn:.3f}, and {life.moved_share:.3f} of the objects are away."
    )
    way = sites.monitor.serving_sites.route(life, kind, name, site == sites.local_site, may_try=False)
    return [*out, f"It goes to '{way.site}'." if way.site else f"It is refused at once: {way.reason}."]
