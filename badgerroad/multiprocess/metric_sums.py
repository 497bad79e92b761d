"""Sums the metrics that the server processes report. No I/O.

The sums keep the counters of a server process that has ended, except for what it counted after its last report, which
is at most 0.2 s old.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

COUNTERS_BY_CLASS = ("answered", "deferred", "errored")
COUNTERS = ("sends",)
# Metrics that are summed over the running processes.
GAUGES = ("current", "clients", "resident_kb", "memory_limit_kb", "messages_kb", "messages_limit_kb")
# All server processes see the same fleet, so the largest value that any of them reports is shown.
LARGEST_GAUGES = ("cluster_size", "cluster_unhealthy")

MetricValues = dict[str, Any]


class MetricSums:
    """The latest metrics of each server process, and the counters of the processes that have ended."""

    def __init__(self, size: int) -> None:
        """`size`: the number of server processes."""
        self._running: list[MetricValues] = [{} for _ in range(size)]
        self._ended: MetricValues = {name: {} for name in COUNTERS_BY_CLASS}

    def add_classes(self, request_classes: Iterable[str]) -> None:
        """Add request classes of the settings, so that their counters are shown even while they are zero."""
        for request_class in request_classes:
            for name in COUNTERS_BY_CLASS:
                self._ended[name].setdefault(request_class, 0)

    def update(self, number: int, metrics: MetricValues) -> None:
        """Replace the metrics of the server process `number`."""
        self._running[number] = metrics

    def process_ended(self, number: int) -> None:
        """Add the counters of a server process that has ended to those of all ended processes, and drop its gauges."""
        self._ended = _summed_counters([self._ended, self._running[number]])
        self._running[number] = {}

    def totals(self) -> MetricValues:
        """Return the metrics over all server processes."""
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
