"""Determines which workers are warming up after a start, and their current speed."""

from ..decision_context import DecisionContext
from ..workers import Worker


class WarmUp:
    """Warm-up state of workers; a worker warms up for `slow_start_duration` from its start on."""

    def __init__(self, context: DecisionContext) -> None:
        """`context` provides the clock and the settings."""
        self._context = context

    def is_warming_up(self, worker: Worker) -> bool:
        """Return whether the worker started less than `slow_start_duration` ago."""
        started_at = worker.info.started_at
        if started_at <= 0:
            return False
        context = self._context
        return context.now - started_at < context.settings.slow_start_duration

    def speed_share(self, worker: Worker) -> float:
        """Return the share of its full speed that a warming-up worker has reached; it grows linearly with its age."""
        settings = self._context.settings
        initial = settings.slow_start_share
        age = max(self._context.now - worker.info.started_at, 0)
        return initial + (1 - initial) * age / settings.slow_start_duration

    def dispatcher_rank(self, worker: Worker) -> int:
        """Return this dispatcher's position in the order of dispatchers that belongs to this start of the worker.

        Each such order is a rotation of the order by dispatcher index.
        """
        settings = self._context.settings
        return (worker.start_hash + settings.dispatcher_index) % settings.dispatcher_count
