"""The status report of a site router, and an explanation of how an object is routed.

The keys of `router_status` are those of the administration API.
"""

from __future__ import annotations

from typing import Any

from onyxwick.sites.lifecycle import SitePhase
from onyxwick.sites.model import MICROSECONDS_PER_SECOND
from onyxwick.sites.router import SiteRouter
from onyxwick.sites.serving_sites import SiteRoute
from onyxwick.sites.traffic_slices import move_position, slice_of


def router_status(router: SiteRouter, now: int) -> dict[str, Any]:
    """Return the administration API's document on sites at `now` (us)."""
    monitor = router.monitor
    plan = monitor.serving_sites.plan
    return {
        "home": router.local_site,
        "topology": plan.digest,
        "planned_losses": len(plan.rows),
        "calm": monitor.all_steady,
        "cut_off": monitor.is_cut_off,
        "sites": {name: _place_status(router, name, now) for name in router.topology.sites},
        "hubs": {name: _place_status(router, name, now) for name in router.topology.hubs},
        "orders": monitor.commands.status(),
        "open": len(router.requests),
        "counts": dict(sorted(router.counts.items())),
    }


def _place_status(router: SiteRouter, name: str, now: int) -> dict[str, Any]:
    lifecycle = router.monitor.lifecycles[name]
    observation = router.monitor.evidence.observe(now, name)
    availability = router.monitor.membership.availability(name, now)
    status: dict[str, Any] = {
        "state": lifecycle.phase.value,
        "since_s": round((now - lifecycle.phase_started_us) / MICROSECONDS_PER_SECOND, 1),
        "why": lifecycle.reason,
        "away": round(lifecycle.moved_share, 4),
        "flaps": lifecycle.flaps,
        "hold_s": round(lifecycle.hold_us / MICROSECONDS_PER_SECOND, 1),
        "boxes": {
            "tried": observation.tried,
            "dark": observation.unreachable,
            "listed": round(availability.listed_share, 3),
        },
        "cause": observation.cause(),
        "capacity": {
            "room": round(availability.capacity_share, 3),
            "warmth": round(availability.warm_share, 3),
        },
    }
    return status | _usage_status(router, name)


def _usage_status(router: SiteRouter, name: str) -> dict[str, Any]:
    """Return how this director uses a site's caches; empty if it does not use them."""
    site = router.sites.get(name)
    if site is None:
        return {}
    return {
        "open": site.in_flight,
        "pressure": round(site.shedding.pressure, 3),
        "step": site.shedding.level,
        "reserve": round(site.retry_reserve, 3),
        "limit": round(site.shedding.gate.adaptive_limit.limit, 1),
    }


def explain(router: SiteRouter, site: str, class_name: str, object_name: str) -> list[str]:
    """Explain how requests of a site's clients for an object are routed now, one sentence per step.

    Raises KeyError for an unknown site or class."""
    monitor = router.monitor
    lifecycle = monitor.lifecycles[site]
    request_class = router.classes[class_name]
    if site not in router.topology.sites:
        raise KeyError(site)
    sentences = [f"Site '{site}' is {lifecycle.phase.value}: {lifecycle.reason}."]
    if request_class.is_write and router.settings.cache_bypass:
        runs_at_origin = f"A '{class_name}' request runs at the origin (archive) and is sent there directly"
        return [*sentences, f"{runs_at_origin}, whichever caches are available."]
    if monitor.serving_sites.lost_sites:
        sentences.append(f"Sites considered lost: {', '.join(sorted(monitor.serving_sites.lost_sites))}.")
    if not monitor.serving_sites.is_served(site, class_name, "", object_name, 1.0):
        return [
            *sentences,
            "The plan has no capacity for this object in this loss: its requests are rejected immediately.",
        ]
    if lifecycle.phase is SitePhase.STEADY:
        return [*sentences, f"It is served by the caches of '{site}'."]
    return [*sentences, *_explain_route(router, site, class_name, object_name)]


def _explain_route(router: SiteRouter, site: str, class_name: str, object_name: str) -> list[str]:
    serving_sites = router.monitor.serving_sites
    lifecycle = router.monitor.lifecycles[site]
    serving_site = serving_sites.serving_site_for(site, class_name, object_name)
    position = move_position(site, object_name)
    is_local = site == router.local_site
    route = serving_sites.route(lifecycle, class_name, object_name, is_local, may_try=False)
    destination = f"'{serving_site}'" if serving_site else "nowhere"
    return [
        f"Its slice is {slice_of(object_name)}, which moves to {destination}; its position in the move is"
        f" {position:.3f}, and {lifecycle.moved_share:.3f} of the objects are moved.",
        f"It goes to '{route.site}'."
        if isinstance(route, SiteRoute)
        else f"It is rejected immediately: {route}.",
    ]
