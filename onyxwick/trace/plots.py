"""Plots a summary as PNG files and one HTML page in which the plots and tables are embedded."""

from __future__ import annotations

import base64
import html
import io
import json
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")  # The machine may have no display.
import matplotlib.pyplot as plt
import numpy as np
from matplotlib.figure import Figure

from onyxwick.trace.summary import Summary

COLOURS = {
    "served": "#2b7a4b",
    "refused": "#d08c1d",
    "failed": "#b03030",
    "left": "#7a7a7a",
    "open": "#404040",
}


def _service(summary: Summary) -> Figure:
    """Plot requested and served priority weight per second and mark the worst ten seconds."""
    figure, axis = plt.subplots(figsize=(9, 3.2))
    begin = min(summary.seconds, default=0)
    times = np.array(sorted(summary.seconds)) - begin
    rows = np.array([summary.seconds[t + begin] for t in times]) if len(times) else np.zeros((0, 2))
    width = max(1, len(times) // 600)  # Average adjacent seconds to plot fewer than 1200 points.
    if len(times):
        cut = len(times) // width * width
        means = rows[:cut].reshape(-1, width, 2).mean(axis=1)
        axis.plot(times[:cut:width], means[:, 0], color="#9aa5b1", label="requested weight")
        axis.plot(times[:cut:width], means[:, 1], color=COLOURS["served"], label="served")
    if worst := summary.worst():
        at = worst["begin_unix"] - begin
        axis.axvspan(at, at + worst["seconds"], color=COLOURS["failed"], alpha=0.2, label="worst ten seconds")
    axis.set(xlabel="seconds", ylabel="priority weight per second", ylim=(0, None))
    axis.legend(loc="lower left", fontsize=8)
    return figure


def _verdicts(summary: Summary, kind: str) -> Figure:
    """Plot the share of each verdict by class, tenant, cell or member."""
    groups = {n or "(none)": g.as_document() for n, g in sorted(summary.groups[kind].items())}
    names = sorted(groups, key=lambda n: -groups[n]["requests"])[:20]
    figure, axis = plt.subplots(figsize=(9, 0.9 + 0.32 * max(1, len(names))))
    left = np.zeros(len(names))
    for verdict, colour in COLOURS.items():
        part = np.array([groups[n][verdict] / max(1, groups[n]["requests"]) for n in names])
        axis.barh(names, part, left=left, color=colour, label=verdict)
        left += part
    axis.set(xlabel="share of requests", xlim=(0, 1))
    axis.invert_yaxis()
    axis.legend(ncols=5, fontsize=8, loc="lower left")
    return figure


def _latency(summary: Summary) -> Figure:
    figure, axis = plt.subplots(figsize=(9, 3.2))
    shares = np.concatenate((np.linspace(1, 99, 99), [99.5, 99.9, 99.99]))
    for name, group in sorted(summary.groups["class"].items()):
        if group.counts[1]:
            values = [group.latency.get_value_at_percentile(s) / 1000 for s in shares]
            axis.plot(values, shares, label=name)
    axis.set(xlabel="time from arrival to answer of served requests, in ms", ylabel="per cent", xscale="log")
    if axis.get_legend_handles_labels()[0]:
        axis.legend(fontsize=8)
    return figure


def figures(summary: Summary) -> dict[str, Figure]:
    """Return the plots by name."""
    plots = {"service": _service(summary), "latency": _latency(summary)}
    for kind in summary.groups:
        if summary.groups[kind]:
            plots[kind] = _verdicts(summary, kind)
    return plots


def _png(figure: Figure) -> bytes:
    stream = io.BytesIO()
    figure.tight_layout()
    figure.savefig(stream, format="png", dpi=110)
    plt.close(figure)
    return stream.getvalue()


def write(summary: Summary, folder: Path, title: str) -> list[Path]:
    """Write PNG files and `summary.html` to a folder and return their paths."""
    folder.mkdir(parents=True, exist_ok=True)
    plots = {name: _png(figure) for name, figure in figures(summary).items()}
    written = []
    for name, data in plots.items():
        path = folder / f"{name}.png"
        path.write_bytes(data)
        written.append(path)
    page = folder / "summary.html"
    page.write_text(_page(title, summary.as_document(), plots), encoding="utf-8")
    return [*written, page]


def _table(rows: dict[str, dict[str, Any]]) -> str:
    if not rows:
        return ""
    columns = list(next(iter(rows.values())))
    head = "".join(f"<th>{html.escape(c)}</th>" for c in ("", *columns))
    lines = [
        f"<tr><th>{html.escape(name or '(none)')}</th>"
        + "".join(f"<td>{row[c]}</td>" for c in columns)
        + "</tr>"
        for name, row in rows.items()
    ]
    return f"<table><tr>{head}</tr>{''.join(lines)}</table>"


def _page(title: str, summary: dict[str, Any], plots: dict[str, bytes]) -> str:
    images = "".join(
        f'<h2>{html.escape(name)}</h2><img alt="{html.escape(name)}" '
        f'src="data:image/png;base64,{base64.b64encode(data).decode()}">'
        for name, data in plots.items()
    )
    tables = "".join(f"<h2>by {k}</h2>{_table(summary[k])}" for k in ("class", "tenant", "cell", "member"))
    head = {k: summary[k] for k in ("requests", "dropped", "worst", "answers", "fill_bytes")}
    style = "body{font-family:sans-serif;max-width:70em}td,th{padding:2px 8px;text-align:right}"
    style += "img{max-width:100%}"
    return (
        f'<!doctype html><meta charset="utf-8"><title>{html.escape(title)}</title><style>{style}</style>'
        f"<h1>{html.escape(title)}</h1><pre>{html.escape(json.dumps(head, indent=1))}</pre>"
        f"{_table({'all': summary['all']})}{images}{tables}"
    )
