"""Which workers have just started, and how fast they are by now."""

from ..decision_context import DecisionContext
from ..workers import Worker


class WarmUp:
    """A worker warms up for `slow_start_duration` from its start."""

    def __init__(self, context: DecisionContext) -> None:
        """`context` gives clock and settings."""
        self._context = context

    def is_warming_up(self, worker: Worker) -> bool:
        """Has it started less than the slow start's duration ago?"""
        started_at = worker.info.started_at
        if started_at <= 0:
            return False
        context = self._context
        return context.now - started_at < context.settings.slow_start_duration

    def speed_share(self, worker: Worker) -> float:
        """The part of its full speed that a warming-up worker has by now."""
        settings = self._context.settings
        initial = settings.slow_start_share
        age = max(self._context.now - worker.info.started_at, 0)
        return initial + (1 - initial) * age / settings.slow_start_duration

    def dispatcher_rank(self, worker: Worker) -> int:
        """This dispatcher's position in the worker's own order of dispatchers: another rotation for each start."""
        settings = self._context.settings
        return (worker.start_hash + settings.dispatcher_index) % settings.dispatcher_count
