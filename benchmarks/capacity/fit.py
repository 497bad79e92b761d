"""Fits a straight line to measured points by least squares."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

MIN_SIZES = 4


class Point(msgspec.Struct, frozen=True):
    """A value measured at one size: the median of its repeats, with minimum `low` and maximum `high`."""

    size: float
    value: float
    low: float
    high: float
    repeats: int = 1


class Line(msgspec.Struct, frozen=True):
    """The line `value = slope x size + fixed`; `r2` is the share of the variance that it explains."""

    slope: float
    fixed: float
    r2: float
    largest_residual: float

    def at(self, size: float) -> float:
        """Return the value of the line at `size`."""
        return self.slope * size + self.fixed


class TooFewSizesError(ValueError):
    """There are points of fewer than MIN_SIZES different sizes, too few for a slope."""


def line_through(points: Sequence[Point]) -> Line:
    """Return the least-squares line through `points`. Raises TooFewSizesError."""
    sizes = [point.size for point in points]
    values = [point.value for point in points]
    if len(set(sizes)) < MIN_SIZES:
        raise TooFewSizesError(f"{len(set(sizes))} different sizes, at least {MIN_SIZES} are needed")
    mean_size = sum(sizes) / len(sizes)
    mean_value = sum(values) / len(values)
    spread = sum((size - mean_size) ** 2 for size in sizes)
    slope = sum((s - mean_size) * (v - mean_value) for s, v in zip(sizes, values, strict=False)) / spread
    fixed = mean_value - slope * mean_size
    residuals = [v - (slope * s + fixed) for s, v in zip(sizes, values, strict=False)]
    variance = sum((v - mean_value) ** 2 for v in values)
    r2 = 1 - sum(r * r for r in residuals) / variance if variance > 0 else 1.0
    return Line(slope, fixed, r2, max(abs(r) for r in residuals))
