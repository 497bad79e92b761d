"""The results file: every figure of the page comes out of it."""

from __future__ import annotations

import statistics
from collections.abc import Iterable, Sequence
from pathlib import Path

import msgspec

from benchmarks.capacity.fit import Line, Point, line_through


class Series(msgspec.Struct):
    """One measured quantity over sizes of one thing, with the line through it."""

    name: str
    title: str
    unit: str
    by: str
    points: list[Point]
    line: Line


class Count(msgspec.Struct):
    """One measured figure that isn't a slope."""

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
        """The line of a series at a size."""
        return self.series[name].line.at(size)

    def count(self, name: str) -> float:
        return self.counts[name].value


def point_of(size: float, values: Sequence[float]) -> Point:
    """The median of the repeats."""
    return Point(size, statistics.median(values), min(values), max(values), len(values))


def series_of(name: str, title: str, unit: str, by: str, points: Iterable[Point]) -> Series:
    """Raises fit.TooFewSizesError."""
    kept = sorted(points, key=lambda point: point.size)
    return Series(name, title, unit, by, kept, line_through(kept))


def save(results: Results, path: Path) -> None:
    path.write_bytes(msgspec.json.format(msgspec.json.encode(results), indent=1) + b"\n")


def load(path: Path) -> Results:
    return msgspec.json.decode(path.read_bytes(), type=Results)
