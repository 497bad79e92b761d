"""Draws the chart of the page: the measured points of the main series, with the fitted lines."""

from __future__ import annotations

from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot as plt
from matplotlib.axes import Axes

from benchmarks.capacity.results import Results, Series

SERIES_SHOWN = (
    "list_bytes",
    "memory_mb",
    "running_memory_mb",
    "running_descriptors",
    "quiet_watch_cpu_ms",
    "change_cpu_ms",
    "whole_cpu_ms",
    "whole_hold_ms",
    "reload_cpu_ms",
    "advice_ms",
    "open_refusal_cpu_ms",
    "first_job_ms",
    "job_cpu_ms_many",
    "callback_cpu_ms",
    "loss_cpu_ms",
    "discovery_calls",
)
COLUMNS = 4


def draw(results: Results, path: Path) -> None:
    """Write the chart to `path`, as a PNG file."""
    rows = -(-len(SERIES_SHOWN) // COLUMNS)
    figure, axes = plt.subplots(rows, COLUMNS, figsize=(4 * COLUMNS, 3 * rows), constrained_layout=True)
    for axis, name in zip(axes.flat, SERIES_SHOWN, strict=False):
        _panel(axis, results.series[name])
    figure.savefig(path, dpi=80)
    plt.close(figure)


def _panel(axis: Axes, series: Series) -> None:
    sizes = [point.size for point in series.points]
    values = [point.value for point in series.points]
    errors = [[p.value - p.low for p in series.points], [p.high - p.value for p in series.points]]
    axis.errorbar(sizes, values, yerr=errors, fmt="o", markersize=4)
    line_ends = [min(sizes), max(sizes)]
    axis.plot(line_ends, [series.line.at(size) for size in line_ends])
    axis.set_title(f"{series.title}\nr² {series.line.r2:.4f}", fontsize=8)
    axis.set_xlabel(series.by, fontsize=8)
    axis.set_ylabel(series.unit, fontsize=8)
    axis.tick_params(labelsize=7)
    axis.set_ylim(bottom=0)
