"""Draws the planned losses: the share of the capacity of each place that every loss would use."""

from __future__ import annotations

from pathlib import Path

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot

from onyxwick.sites.loss_outcome import LINK, LossOutcome, Resource, resource_name
from onyxwick.sites.loss_study import LossStudy

MAX_ROWS = 60  # losses drawn: those with the highest used share of a place
MAX_COLUMNS = 40  # places drawn: those with the highest used share
MIN_SIZE_INCHES = (6.0, 3.0)
COLOR_SCALE_MAX_SHARE = 1.1
DOTS_PER_INCH = 120


def draw_losses(study: LossStudy, path: Path) -> None:
    """Draw losses by places into a file, with the used share as color and number.

    The label of each loss states the rejected share."""
    rows = sorted(study.outcomes.values(), key=lambda outcome: -_highest_used_share(outcome))[:MAX_ROWS]
    columns = _most_used_places(rows)
    shares = [[_share(outcome, place) for place in columns] for outcome in rows]
    size = (max(MIN_SIZE_INCHES[0], 3 + 0.55 * len(columns)), max(MIN_SIZE_INCHES[1], 1.6 + 0.32 * len(rows)))
    figure, axes = pyplot.subplots(figsize=size, layout="constrained")
    image = axes.imshow(shares, vmin=0, vmax=COLOR_SCALE_MAX_SHARE, cmap="YlOrRd", aspect="auto")
    names = [resource_name(place) for place in columns]
    axes.set_xticks(range(len(columns)), names, rotation=60, ha="right", fontsize=7)
    axes.set_yticks(range(len(rows)), [_label(outcome) for outcome in rows], fontsize=7)
    for row, line in enumerate(shares):
        for column, share in enumerate(line):
            axes.text(column, row, f"{share:.0%}", ha="center", va="center", fontsize=6)
    figure.colorbar(image, label="share of capacity used")
    figure.savefig(path, dpi=DOTS_PER_INCH)
    pyplot.close(figure)


def _share(outcome: LossOutcome, place: Resource) -> float:
    use = outcome.resource_use.get(place)
    return use.share if use is not None else 0.0


def _highest_used_share(outcome: LossOutcome) -> float:
    return max((use.share for use in outcome.resource_use.values()), default=0)


def _most_used_places(outcomes: list[LossOutcome]) -> list[Resource]:
    places = {place for outcome in outcomes for place in outcome.resource_use if place[0] != LINK}
    return sorted(places, key=lambda place: -max(_share(outcome, place) for outcome in outcomes))[
        :MAX_COLUMNS
    ]


def _label(outcome: LossOutcome) -> str:
    if not outcome.offered_value:
        return str(outcome.loss)
    return f"{outcome.loss} ({1 - outcome.served_value / outcome.offered_value:.0%} rejected)"
