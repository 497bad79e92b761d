"""The metrics of several server processes together, from what each reports. No I/O.

What an ended server process had counted stays; what it had not reported yet, 0.2 s of it at most, is lost.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

COUNTERS_BY_CLASS = ("answered", "deferred", "errored")
COUNTERS = ("sends",)
GAUGES = ("current",)  # summed over the processes that run
LARGEST_GAUGES = ("cluster_size", "cluster_unhealthy")  # of one fleet, as the server process sees it that sees most

MetricValues = dict[str, Any]


class MetricSums:
    """The latest metrics of each server process, and the counters of those that have ended."""

    def __init__(self, size: int) -> None:
        """`size`: how many server processes there are."""
        self._running: list[MetricValues] = [{} for _ in range(size)]
        self._ended: MetricValues = {name: {} for name in COUNTERS_BY_CLASS}

    def add_classes(self, request_classes: Iterable[str]) -> None:
        """Every class of the settings is shown from the first moment on, at zero too."""
        for request_class in request_classes:
            for name in COUNTERS_BY_CLASS:
                self._ended[name].setdefault(request_class, 0)

    def report(self, number: int, metrics: MetricValues) -> None:
        """A server process's metrics, in place of its earlier ones."""
        self._running[number] = metrics

    def ended(self, number: int) -> None:
        """A server process has ended: its counters stay."""
        self._ended = _summed_counters([self._ended, self._running[number]])
        self._running[number] = {}

    def totals(self) -> MetricValues:
        """The metrics of all together."""
        total = _summed_counters([self._ended, *self._running])
        for name in GAUGES:
            total[name] = sum(metrics.get(name, 0) for metrics in self._running)
        for name in LARGEST_GAUGES:
            total[name] = max(metrics.get(name, 0) for metrics in self._running)
        return total


def _summed_counters(all_metrics: list[MetricValues]) -> MetricValues:
    total: MetricValues = {name: {} for name in COUNTERS_BY_CLASS}
    for metrics in all_metrics:
        for name in COUNTERS_BY_CLASS:
            for request_class, count in metrics.get(name, {}).items():
                total[name][request_class] = total[name].get(request_class, 0) + count
    for name in COUNTERS:
        total[name] = sum(metrics.get(name, 0) for metrics in all_metrics)
    return total
