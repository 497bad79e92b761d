"""Compares two variants, paired by seed, with a bootstrap confidence interval of the mean difference."""

from __future__ import annotations

from typing import NamedTuple

import numpy as np

from badgerroad.emulator.report import Report
from badgerroad.errors import ArgumentError

RESAMPLES, CONFIDENCE_LEVEL = 10_000, 0.95


class Comparison(NamedTuple):
    """Result of a comparison: `difference` is the mean of A - B over the common seeds, `low` to `high` its interval."""

    seeds: int
    mean_a: float
    mean_b: float
    difference: float
    low: float
    high: float

    @property
    def verdict(self) -> str:
        """Which variant is better, or that no difference is shown, in one phrase."""
        if self.low > 0:
            return "A is better"
        return "B is better" if self.high < 0 else "no difference shown"


def interval(values: list[float], seed: int = 1) -> tuple[float, float]:
    """Return the percentile bootstrap interval of the mean at CONFIDENCE_LEVEL (Efron 1979).

    `seed` determines the resampling, so equal values give equal intervals. Without values the interval is (0, 0).
    """
    if not values:
        return 0.0, 0.0
    data = np.asarray(values)
    draws = np.random.default_rng(seed).integers(0, len(data), size=(RESAMPLES, len(data)))
    low, high = np.quantile(data[draws].mean(axis=1), [(1 - CONFIDENCE_LEVEL) / 2, (1 + CONFIDENCE_LEVEL) / 2])
    return float(low), float(high)


def compare(a: dict[int, Report], b: dict[int, Report], measure: str = "figure") -> Comparison:
    """Compare the reports of two variants, given by seed.

    Raises ArgumentError, a ValueError, if the measure is unknown or the variants have no common seed.
    """
    if measure not in ("figure", "worth", "worst_class", "worst_window"):
        raise ArgumentError(f"--measure: unknown: {measure!r}")
    seeds = sorted(set(a) & set(b))
    if not seeds:
        raise ArgumentError("the two variants have no seed in common")
    pairs = [(float(getattr(a[s], measure)), float(getattr(b[s], measure))) for s in seeds]
    differences = [x - y for x, y in pairs]
    low, high = interval(differences)
    return Comparison(
        len(seeds),
        sum(x for x, _ in pairs) / len(pairs),
        sum(y for _, y in pairs) / len(pairs),
        sum(differences) / len(pairs),
        low,
        high,
    )
