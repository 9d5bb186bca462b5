"""Gives the router of sites its plan for site losses, read from a file or computed in a worker thread."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from onyxwick import logs
from onyxwick.config.service import SitesConfig

if TYPE_CHECKING:
    from onyxwick.core import RequestEngine
    from onyxwick.sites import SitePlan, SiteRouter

log = logs.get()
MAX_LOGGED_FINDINGS = 16


class _Planned(NamedTuple):
    plan: SitePlan
    findings: list[str]
    """Losses that no plan can serve, as text."""


async def plan_sites(engine: RequestEngine, sites: SiteRouter, config: SitesConfig) -> None:
    """Install the plan. Without one, the load of a lost site goes to the others by their capacity."""
    try:
        planned = await asyncio.to_thread(_plan, config)
    except Exception as error:  # the director serves without a plan
        engine.counters.add("error.sites.plan")
        log.error("no plan for site losses", error=str(error))
        return
    sites.replace_plan(engine.now(), planned.plan)
    engine.handle()
    log.info("plan for site losses installed", losses=len(planned.plan.rows), topology=planned.plan.digest)
    for finding in planned.findings[:MAX_LOGGED_FINDINGS]:
        log.warning("no feasible plan for site loss", finding=finding)


def _plan(config: SitesConfig) -> _Planned:
    """Runs in a worker thread."""
    if config.plan_file is not None:
        from onyxwick.config.sites import read_plan

        return _Planned(read_plan(config.topology, config.plan_file), [])
    from onyxwick.sites.loss_study import study_losses

    result = study_losses(config.topology)
    return _Planned(result.plan(), result.findings())
