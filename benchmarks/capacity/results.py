"""The results file, from which every number on the page is computed."""

from __future__ import annotations

import statistics
from collections.abc import Iterable, Sequence
from pathlib import Path

import msgspec

from benchmarks.capacity.fit import Line, Point, line_through


class Series(msgspec.Struct):
    """A quantity measured at several sizes of `by`, with the fitted line."""

    name: str
    title: str
    unit: str
    by: str
    points: list[Point]
    line: Line


class Count(msgspec.Struct):
    """A single measured value."""

    name: str
    title: str
    unit: str
    value: float


class Results(msgspec.Struct):
    measured_at: str
    quick: bool
    machine: str
    commit: str
    before: str
    series: dict[str, Series] = {}
    counts: dict[str, Count] = {}

    def slope(self, name: str) -> float:
        return self.series[name].line.slope

    def at(self, name: str, size: float) -> float:
        """Return the value at `size` of the line fitted to a series."""
        return self.series[name].line.at(size)

    def count(self, name: str) -> float:
        return self.counts[name].value


def point_of(size: float, values: Sequence[float]) -> Point:
    """Return the point with the median of the repeats."""
    return Point(size, statistics.median(values), min(values), max(values), len(values))


def series_of(name: str, title: str, unit: str, by: str, points: Iterable[Point]) -> Series:
    """Return a series, with its points in the order of size. Raises fit.TooFewSizesError."""
    ordered = sorted(points, key=lambda point: point.size)
    return Series(name, title, unit, by, ordered, line_through(ordered))


def save(results: Results, path: Path) -> None:
    path.write_bytes(msgspec.json.format(msgspec.json.encode(results), indent=1) + b"\n")


def load(path: Path) -> Results:
    return msgspec.json.decode(path.read_bytes(), type=Results)
