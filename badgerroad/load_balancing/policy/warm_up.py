"""Determines which workers are warming up after a start, and their current speed."""

from .. import interface
from ..decision_context import DecisionContext
from ..workers import Worker

MAX_LISTING_DELAY_US = 5_000_000
"""How long after its start a worker may be missing from the endpoint list."""


class WarmUp:
    """Warm-up state of workers; a worker warms up for `slow_start_duration` from its start on."""

    def __init__(self, context: DecisionContext) -> None:
        """`context` provides the clock and the settings."""
        self._context = context
        self._last_list_at = 0

    def began_at(self, info: interface.Endpoint) -> int:
        """Return when the warm-up of a newly listed worker began; 0 if it has none.

        The start that the list gives is a wall-clock time of another machine, and wall clocks may be stepped. A worker
        that the last list did not name has started since then, but for the delay of the list, and not in the future.
        """
        if info.started_at <= 0:
            return 0
        earliest = self._last_list_at - MAX_LISTING_DELAY_US if self._last_list_at else 0
        return min(max(info.started_at, earliest), self._context.now)

    def list_applied(self, scope: str) -> None:
        """Note that an endpoint list has been applied; a cached list tells nothing of the present."""
        if scope != interface.ListScope.CACHED:
            self._last_list_at = self._context.now

    def is_warming_up(self, worker: Worker) -> bool:
        """Return whether the worker started less than `slow_start_duration` ago."""
        began_at = worker.warm_up_began_at
        if began_at <= 0:
            return False
        context = self._context
        return context.now - began_at < context.settings.slow_start_duration

    def speed_share(self, worker: Worker) -> float:
        """Return the share of its full speed that a warming-up worker has reached; it grows linearly with its age."""
        settings = self._context.settings
        initial = settings.slow_start_share
        age = max(self._context.now - worker.warm_up_began_at, 0)
        return initial + (1 - initial) * age / settings.slow_start_duration

    def dispatcher_rank(self, worker: Worker) -> int:
        """Return this dispatcher's position in the order of dispatchers that belongs to this start of the worker.

        Each such order is a rotation of the order by dispatcher index.
        """
        settings = self._context.settings
        return (worker.start_hash + settings.dispatcher_index) % settings.dispatcher_count
