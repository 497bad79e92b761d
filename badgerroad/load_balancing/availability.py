"""Counts the workers that are unavailable, for the metrics."""

from __future__ import annotations

from collections.abc import Iterable

from . import interface
from .workers import Worker

GONE = interface.WorkerState.GONE
READY = interface.WorkerState.READY


def unavailable_workers(workers: Iterable[Worker], now: int) -> int:
    """Return the number of listed workers that are draining, or ejected at time `now` (microseconds)."""
    return sum(
        worker.info.state != GONE and (worker.info.state != READY or worker.ejected_until > now) for worker in workers
    )
