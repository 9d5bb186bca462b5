"""`onyxwick sites`: the loss of a site, planned ahead, observed, ordered, or as a failover exercise."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

import click

from onyxwick.cli import FINDING_EXIT_CODE, UnusableInputError
from onyxwick.cli.remote import admin_option, json_option, remote_of, token_option

if TYPE_CHECKING:
    from onyxwick.sites.loss_outcome import LossOutcome
    from onyxwick.sites.loss_study import LossStudy
    from onyxwick.sites.model import Topology

POLL_INTERVAL_S = 0.5
"""Between two polls of a failover exercise."""
file_argument = click.argument("file", type=click.Path(path_type=Path))
pairs_option = click.option("--pairs/--no-pairs", default=True, help="The losses of two sites at once, too.")


@click.group()
@admin_option
@token_option
@click.pass_context
def sites(ctx: click.Context, admin: str, token_file: Path | None) -> None:
    """The loss of a whole site: plans, states, drills."""
    ctx.obj = (admin, token_file)


def _study(file: Path, pairs: bool) -> LossStudy:
    from onyxwick.sites import loss_study

    return loss_study.study_losses(_topology(file), pairs)


def _topology(file: Path) -> Topology:
    from onyxwick.config import hcl
    from onyxwick.config.fields import Fields
    from onyxwick.config.sites import read_sites

    found = read_sites(Fields(hcl.read(file), file.name), file.parent)
    if found is None:
        raise UnusableInputError(f"{file.name}: has no block 'site'")
    return found.topology


def _loss_row(outcome: LossOutcome) -> dict[str, Any]:
    from onyxwick.sites.loss_outcome import resource_name

    first = outcome.bottleneck
    return {
        "lost": str(outcome.loss),
        "refused": max(0.0, round(1 - outcome.served_value / outcome.offered_value, 6))
        if outcome.offered_value
        else 0.0,
        "breaks_first": resource_name(first) if first else "",
        "used": round(outcome.resource_use[first].share, 4) if first else 0.0,
        "homes": [
            [*at, {s: round(w, 4) for s, w in shares.items()}]
            for at, shares in outcome.serving_shares.items()
        ],
        "kept": [[*at, round(share, 4)] for at, share in outcome.served_shares.items()],
        "use": {
            resource_name(r): [round(u.used, 3), round(u.capacity, 3)]
            for r, u in sorted(outcome.resource_use.items())
        },
        "need": {resource_name(r): round(more, 3) for r, more in sorted(outcome.missing_capacity.items())},
    }


@sites.command()
@file_argument
@click.option("--out", type=click.Path(path_type=Path), help="Write the plan that directors read.")
@click.option("--plots", type=click.Path(path_type=Path), help="A picture of each place's use in each loss.")
@pairs_option
@json_option
def plan(file: Path, out: Path | None, plots: Path | None, pairs: bool, as_json: bool) -> None:
    """What each loss would do to the sites in FILE; exit 1 where one site's cannot be borne."""
    from onyxwick.sites.plan_document import plan_to_json

    study = _study(file, pairs)
    rows = [_loss_row(outcome) for outcome in study.outcomes.values()]
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
    _exit(study)


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
        click.echo(f"{study.omitted_pairs} pairs of sites were left out, those with the most room")
    for text in study.findings():
        click.echo(f"finding: {text}")


def _exit(study: LossStudy) -> None:
    """Exit 1 where the loss of one place cannot be borne."""
    for outcome in study.outcomes.values():
        lost = outcome.loss.sites | outcome.loss.hubs | outcome.loss.cache_sites
        if not outcome.is_feasible and len(lost) < 2:
            raise click.exceptions.Exit(FINDING_EXIT_CODE)


@sites.command()
@file_argument
@json_option
def check(file: Path, as_json: bool) -> None:
    """Whether the sites in FILE bear the loss of each one and of each hub; exit 1 where they do not."""
    study = _study(file, pairs=False)
    findings = study.findings()
    if as_json:
        click.echo(json.dumps({"findings": findings}))
    else:
        click.echo("\n".join(findings) or f"{len(study.outcomes) - 1} single losses can be borne")
    _exit(study)


@sites.command()
@json_option
@click.pass_context
def show(ctx: click.Context, as_json: bool) -> None:
    """The sites as a running director sees them."""
    answer = remote_of(ctx, "sites").call("GET", "/sites")
    if as_json:
        click.echo(json.dumps(answer))
        return
    isolated = ", CUT OFF from everything outside" if answer["cut_off"] else ""
    planned = f"{answer['planned_losses']} losses planned{isolated}"
    click.echo(f"site {answer['home']}, topology {answer['topology']}, {planned}")
    for kind in ("sites", "hubs"):
        for name, row in answer[kind].items():
            _print_place(kind[:-1], name, row)
    for site, row in answer["orders"].items():
        drill = " (a drill)" if row["drill"] else ""
        click.echo(
            f"order {site}: {row['word']}{drill}: {row['reason'] or 'no reason given'} {row['turned']}"
        )
    for name, count in answer["counts"].items():
        click.echo(f"{name} {count}")


def _print_place(kind: str, name: str, row: dict[str, Any]) -> None:
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
    """Why an OBJECT of a CLASS, asked for by clients of SITE, goes where it goes."""
    path = "/".join(quote(part, "") for part in (site, class_name, object_name))
    answer = remote_of(ctx, "sites").call("GET", f"/sites/explain/{path}")
    click.echo(json.dumps(answer) if as_json else "\n".join(answer["because"]))


@sites.command()
@click.argument("site")
@click.argument("word", type=click.Choice(["evacuate", "return", "hold", "auto"]))
@click.option("--reason", default="", help="Shown to whoever looks.")
@json_option
@click.pass_context
def order(ctx: click.Context, site: str, word: str, reason: str, as_json: bool) -> None:
    """Order a SITE left, returned to or held, before all evidence; `auto` takes an order back."""
    row = {"word": word, "reason": reason}
    answer = remote_of(ctx, "sites").call("PUT", f"/sites/orders/{quote(site, '')}", row)
    click.echo(json.dumps(answer) if as_json else f"site {site}: {answer['word']}")


@sites.command()
@click.argument("site")
@click.option("--stay", "stay_s", default=30.0, show_default=True, help="Seconds that it stays away.")
@click.option("--reason", default="a drill", show_default=True)
@click.option("--follow/--no-follow", default=True, help="Print its states until it has ended.")
@json_option
@click.pass_context
def drill(ctx: click.Context, site: str, stay_s: float, reason: str, follow: bool, as_json: bool) -> None:
    """Leave a SITE by steps and return to it; exit 1 where a gate turned it back."""
    from onyxwick.sites.operator_commands import EXERCISE_COMPLETED

    remote = remote_of(ctx, "sites")
    row = {"word": "evacuate", "reason": reason, "stay_s": stay_s}
    remote.call("PUT", f"/sites/orders/{quote(site, '')}", row)
    turned = ""
    last_text = ""
    while follow:
        answer = remote.call("GET", "/sites")
        place = answer["sites"][site]
        order_row = answer["orders"].get(site)
        text = f"{place['state']}, {place['away']:.0%} away: {place['why']}"
        if text != last_text:
            click.echo(json.dumps({"site": site, **place}) if as_json else f"site {site}: {text}")
            last_text = text
        if order_row is None:
            break
        turned = order_row["turned"] or turned
        time.sleep(POLL_INTERVAL_S)
    if turned and turned != EXERCISE_COMPLETED:
        click.echo(f"turned back: {turned}")
        raise click.exceptions.Exit(FINDING_EXIT_CODE)
