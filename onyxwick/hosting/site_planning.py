"""Provides the site router with a plan for site losses, read from a file or computed in a worker thread."""

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


class _PlanningResult(NamedTuple):
    plan: SitePlan
    findings: list[str]
    """Descriptions of site losses for which there is no feasible plan."""


async def install_site_plan(engine: RequestEngine, sites: SiteRouter, config: SitesConfig) -> None:
    """Compute or read the plan for site losses and install it.

    Without a plan, the load of a lost site is distributed to the other sites by their capacity.
    """
    try:
        result = await asyncio.to_thread(_make_plan, config)
    except Exception as error:  # the director can serve without a plan
        engine.counters.add("error.sites.plan")
        log.error("no plan for site losses", error=str(error))
        return
    sites.replace_plan(engine.now(), result.plan)
    engine.handle()
    log.info("plan for site losses installed", losses=len(result.plan.rows), topology=result.plan.digest)
    for finding in result.findings[:MAX_LOGGED_FINDINGS]:
        log.warning("no feasible plan for site loss", finding=finding)


def _make_plan(config: SitesConfig) -> _PlanningResult:
    """Return the plan for site losses. Runs in a worker thread."""
    if config.plan_file is not None:
        from onyxwick.config.sites import read_plan

        return _PlanningResult(read_plan(config.topology, config.plan_file), [])
    from onyxwick.sites.loss_study import study_losses

    study = study_losses(config.topology)
    return _PlanningResult(study.plan(), study.findings())
