"""A picture of every loss before it happens: how much of each place it would use."""

from __future__ import annotations

from pathlib import Path

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot

from onyxwick.sites.linear_program import resource_name
from onyxwick.sites.loss_study import LossStudy

MOST_ROWS, MOST_COLUMNS = 60, 40  # the fullest ones; more would be no picture


def draw_losses(study: LossStudy, path: Path) -> None:
    """Losses by places, the share used as colour and figure; what is refused stands beside each loss."""
    outcomes = sorted(
        study.outcomes.values(), key=lambda o: -max((u.share for u in o.resource_use.values()), default=0)
    )
    rows = outcomes[:MOST_ROWS]
    places = sorted(
        {r for o in rows for r in o.resource_use if r[0] != "link"},
        key=lambda r: -max(o.resource_use[r].share for o in rows if r in o.resource_use),
    )[:MOST_COLUMNS]
    table = [[o.resource_use[p].share if p in o.resource_use else 0.0 for p in places] for o in rows]
    width, height = 3 + 0.55 * len(places), 1.6 + 0.32 * len(rows)
    figure, axes = pyplot.subplots(figsize=(max(6, width), max(3, height)), layout="constrained")
    shown = axes.imshow(table, vmin=0, vmax=1.1, cmap="YlOrRd", aspect="auto")
    axes.set_xticks(
        range(len(places)), [resource_name(p) for p in places], rotation=60, ha="right", fontsize=7
    )
    labels = [
        f"{o.loss} ({1 - o.served_value / o.offered_value:.0%} refused)" if o.offered_value else str(o.loss)
        for o in rows
    ]
    axes.set_yticks(range(len(rows)), labels, fontsize=7)
    for y, line in enumerate(table):
        for x, share in enumerate(line):
            axes.text(x, y, f"{share:.0%}", ha="center", va="center", fontsize=6)
    figure.colorbar(shown, label="share of capacity used")
    figure.savefig(path, dpi=120)
    pyplot.close(figure)
