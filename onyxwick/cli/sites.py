"""`onyxwick sites`: plans for the loss of a site, shows site states, and orders evacuations and exercises."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

import click

from onyxwick.cli import FINDING_EXIT_CODE, UnusableInputError
from onyxwick.cli.remote import admin_option, json_option, remote_director, token_option

if TYPE_CHECKING:
    from onyxwick.sites.loss_outcome import LossOutcome
    from onyxwick.sites.loss_study import LossStudy
    from onyxwick.sites.model import Topology

POLL_INTERVAL_S = 0.5
"""Time between two polls of a failover exercise."""
file_argument = click.argument("file", type=click.Path(path_type=Path))
pairs_option = click.option(
    "--pairs/--no-pairs", default=True, help="Include simultaneous losses of two sites."
)


@click.group()
@admin_option
@token_option
@click.pass_context
def sites(ctx: click.Context, admin: str, token_file: Path | None) -> None:
    """Plan for, observe and rehearse the loss of a whole site."""
    ctx.obj = (admin, token_file)


def _study_file(file: Path, pairs: bool) -> LossStudy:
    from onyxwick.sites import loss_study

    return loss_study.study_losses(_topology(file), pairs)


def _topology(file: Path) -> Topology:
    from onyxwick.config import hcl
    from onyxwick.config.fields import Fields
    from onyxwick.config.sites import read_sites

    found = read_sites(Fields(hcl.read(file), file.name), file.parent)
    if found is None:
        raise UnusableInputError(f"{file.name}: block 'site' is missing")
    return found.topology


def _loss_as_json(outcome: LossOutcome) -> dict[str, Any]:
    from onyxwick.sites.loss_outcome import resource_name

    bottleneck_resource = outcome.bottleneck
    return {
        "lost": str(outcome.loss),
        "refused": max(0.0, round(1 - outcome.served_value / outcome.offered_value, 6))
        if outcome.offered_value
        else 0.0,
        "breaks_first": resource_name(bottleneck_resource) if bottleneck_resource else "",
        "used": round(outcome.resource_use[bottleneck_resource].share, 4) if bottleneck_resource else 0.0,
        "homes": [
            [*demand, {site: round(site_share, 4) for site, site_share in shares.items()}]
            for demand, shares in outcome.serving_shares.items()
        ],
        "kept": [[*demand, round(share, 4)] for demand, share in outcome.served_shares.items()],
        "use": {
            resource_name(resource): [round(use.used, 3), round(use.capacity, 3)]
            for resource, use in sorted(outcome.resource_use.items())
        },
        "need": {
            resource_name(resource): round(missing, 3)
            for resource, missing in sorted(outcome.missing_capacity.items())
        },
    }


@sites.command()
@file_argument
@click.option("--out", type=click.Path(path_type=Path), help="File to write the plan to, for directors.")
@click.option(
    "--plots",
    type=click.Path(path_type=Path),
    help="Folder for a plot of the capacity used at each location in each loss.",
)
@pairs_option
@json_option
def plan(file: Path, out: Path | None, plots: Path | None, pairs: bool, as_json: bool) -> None:
    """Show the effect of each loss on the sites in FILE; exit 1 if a single loss exceeds the capacity."""
    from onyxwick.sites.plan_document import plan_to_json

    study = _study_file(file, pairs)
    rows = [_loss_as_json(outcome) for outcome in study.outcomes.values()]
    if out is not None:
        out.write_text(json.dumps(plan_to_json(study.plan()), indent=1) + "\n")
    if plots is not None:
        from onyxwick.sites.views import draw_losses

        plots.mkdir(parents=True, exist_ok=True)
        draw_losses(study, plots / "losses.png")
    if as_json:
        document = {"losses": rows, "findings": study.findings(), "pairs_left_out": study.omitted_pairs}
        click.echo(json.dumps(document))
    else:
        _print_plan(study, rows)
    _exit_if_infeasible(study)


def _print_plan(study: LossStudy, rows: list[dict[str, Any]]) -> None:
    click.echo(f"{'lost':<32} {'refused':>8}  {'used':>6}  breaks first")
    for row in rows:
        click.echo(f"{row['lost']:<32} {row['refused']:>8.1%}  {row['used']:>6.0%}  {row['breaks_first']}")
    for outcome in study.outcomes.values():
        for (site, kind), shares in sorted(outcome.serving_shares.items()):
            where = ", ".join(f"{share:.0%} to {home}" for home, share in sorted(shares.items()))
            if len(outcome.loss.sites) == 1:
                click.echo(f"  {outcome.loss}: {kind} of {site}: {where or 'nowhere'}")
    if study.omitted_pairs:
        click.echo(f"{study.omitted_pairs} pairs of sites were left out, those with the most spare capacity")
    for text in study.findings():
        click.echo(f"finding: {text}")


def _exit_if_infeasible(study: LossStudy) -> None:
    """Exit with code 1 if the loss of a single site, of a hub, or of one site's caches exceeds the
    capacity."""
    for outcome in study.outcomes.values():
        lost_locations = outcome.loss.sites | outcome.loss.hubs | outcome.loss.cache_sites
        if not outcome.is_feasible and len(lost_locations) < 2:
            raise click.exceptions.Exit(FINDING_EXIT_CODE)


@sites.command()
@file_argument
@json_option
def check(file: Path, as_json: bool) -> None:
    """Check FILE against the loss of each site and each hub; exit 1 if a loss exceeds the capacity."""
    study = _study_file(file, pairs=False)
    findings = study.findings()
    if as_json:
        click.echo(json.dumps({"findings": findings}))
    else:
        click.echo("\n".join(findings) or f"{len(study.outcomes) - 1} single losses are within the capacity")
    _exit_if_infeasible(study)


@sites.command()
@json_option
@click.pass_context
def show(ctx: click.Context, as_json: bool) -> None:
    """Show the states of the sites as a running director observes them."""
    answer = remote_director(ctx, "sites").call("GET", "/sites")
    if as_json:
        click.echo(json.dumps(answer))
        return
    isolated = ", CUT OFF from everything outside" if answer["cut_off"] else ""
    planned = f"{answer['planned_losses']} losses planned{isolated}"
    click.echo(f"site {answer['home']}, topology {answer['topology']}, {planned}")
    for kind in ("sites", "hubs"):
        for name, row in answer[kind].items():
            _print_status(kind[:-1], name, row)
    for site, row in answer["orders"].items():
        drill = " (a drill)" if row["drill"] else ""
        click.echo(
            f"order {site}: {row['word']}{drill}: {row['reason'] or 'no reason given'} {row['turned']}"
        )
    for name, count in answer["counts"].items():
        click.echo(f"{name} {count}")


def _print_status(kind: str, name: str, row: dict[str, Any]) -> None:
    caches = row["boxes"]
    capacity = row["capacity"]
    click.echo(
        f"{kind} {name}: {row['state']} for {row['since_s']:.0f} s, {row['away']:.0%} away: {row['why']};"
        f" {caches['dark']} of {caches['tried']} tried dark, {caches['listed']:.0%} listed,"
        f" room {capacity['room']:.0%}, warm {capacity['warmth']:.0%}"
        + (
            f", step {row['step']}, pressure {row['pressure']:.0%}, open {row['open']}"
            if "step" in row
            else ""
        )
    )


@sites.command()
@click.argument("site")
@click.argument("class_name", metavar="CLASS")
@click.argument("object_name", metavar="OBJECT")
@json_option
@click.pass_context
def explain(ctx: click.Context, site: str, class_name: str, object_name: str, as_json: bool) -> None:
    """Explain where an OBJECT of a CLASS that clients of SITE request is served, and why."""
    path = "/".join(quote(part, "") for part in (site, class_name, object_name))
    answer = remote_director(ctx, "sites").call("GET", f"/sites/explain/{path}")
    click.echo(json.dumps(answer) if as_json else "\n".join(answer["because"]))


@sites.command()
@click.argument("site")
@click.argument("word", type=click.Choice(["evacuate", "return", "hold", "auto"]))
@click.option("--reason", default="", help="Reason that is shown with the order.")
@json_option
@click.pass_context
def order(ctx: click.Context, site: str, word: str, reason: str, as_json: bool) -> None:
    """Order SITE to be evacuated, returned to or held, whatever is observed; `auto` withdraws the order."""
    row = {"word": word, "reason": reason}
    answer = remote_director(ctx, "sites").call("PUT", f"/sites/orders/{quote(site, '')}", row)
    click.echo(json.dumps(answer) if as_json else f"site {site}: {answer['word']}")


@sites.command()
@click.argument("site")
@click.option(
    "--stay", "stay_s", default=30.0, show_default=True, help="Seconds that the site stays evacuated."
)
@click.option("--reason", default="a drill", show_default=True)
@click.option(
    "--follow/--no-follow", default=True, help="Print the site's states until the exercise has ended."
)
@json_option
@click.pass_context
def drill(ctx: click.Context, site: str, stay_s: float, reason: str, follow: bool, as_json: bool) -> None:
    """Evacuate SITE in steps and return to it, as an exercise; exit 1 if a check ended it early."""
    from onyxwick.sites.operator_commands import EXERCISE_COMPLETED

    remote = remote_director(ctx, "sites")
    row = {"word": "evacuate", "reason": reason, "stay_s": stay_s}
    remote.call("PUT", f"/sites/orders/{quote(site, '')}", row)
    turned = ""
    last_text = ""
    while follow:
        answer = remote.call("GET", "/sites")
        site_status = answer["sites"][site]
        order_row = answer["orders"].get(site)
        text = f"{site_status['state']}, {site_status['away']:.0%} away: {site_status['why']}"
        if text != last_text:
            click.echo(json.dumps({"site": site, **site_status}) if as_json else f"site {site}: {text}")
            last_text = text
        if order_row is None:
            break
        turned = order_row["turned"] or turned
        time.sleep(POLL_INTERVAL_S)
    if turned and turned != EXERCISE_COMPLETED:
        click.echo(f"turned back: {turned}")
        raise click.exceptions.Exit(FINDING_EXIT_CODE)
