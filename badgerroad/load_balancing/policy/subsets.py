"""Subsetting: selects the ready workers of the endpoint list that this dispatcher sends requests to."""

from .. import interface
from ..decision_context import DecisionContext
from ..endpoint_roster import EndpointRoster
from ..workers import Worker
from .warm_up import WarmUp

MIN_SUBSET_SIZE = 3
"""Minimum number of workers that a dispatcher uses."""
MIN_DISPATCHERS_PER_WORKER = 4
"""Minimum number of dispatchers that use a worker."""
MAX_SLOW_START_DISPATCHERS = 32
"""Number of dispatchers that may use a warming-up worker outside their subset.

These are the first in the order that belongs to the worker; they may have a share of its slow start budget."""


class WorkerSubsets:
    """The listed workers, and this dispatcher's subsets of the local and of remote zones."""

    def __init__(self, context: DecisionContext, warm_up: WarmUp) -> None:
        """There are no workers until the first `update`."""
        self._context = context
        self._warm_up = warm_up
        self.roster = EndpointRoster(self.is_remote, warm_up.is_warming_up, warm_up.began_at)
        self.ready: list[Worker] = self.roster.ready
        self.local: list[Worker] = []
        """The workers of the local zone in use; all ready workers if this dispatcher uses the whole fleet."""
        self.remote: list[Worker] = []
        """The workers of other zones in use, if the settings give cross-zone traffic a cost."""
        self.uses_whole_fleet = True
        """Whether this dispatcher uses all ready workers. Its requests are then a fair share of the workers' load."""

    def update(self, endpoint_list: interface.EndpointList) -> None:
        """Apply an endpoint list and recompute the subsets."""
        # The roster keeps removed workers that are warming up. If listed again, a worker keeps its earlier sends
        # in its slow start budget.
        self.roster.update(endpoint_list)
        self._warm_up.list_applied(endpoint_list.scope)
        fleet_size = len(self.ready)
        size = max(
            MIN_SUBSET_SIZE, -(-MIN_DISPATCHERS_PER_WORKER * fleet_size // self._context.settings.dispatcher_count)
        )
        self.uses_whole_fleet = size >= fleet_size
        self.remote = self._subset_of(self.roster.remote, size)
        if self.uses_whole_fleet:
            self.local = self.ready
            return
        subset = self._subset_of(self.roster.local or self.ready, size)
        self.local = subset + self._warming_up_outside(subset)

    def is_remote(self, worker: Worker) -> bool:
        """Return whether the worker is in another zone and cross-zone traffic has a cost."""
        settings = self._context.settings
        return settings.cross_zone_cost > 0 and worker.info.zone != settings.zone

    def _warming_up_outside(self, subset: list[Worker]) -> list[Worker]:
        return [
            worker
            for worker in self.roster.warming_up
            if self._warm_up.dispatcher_rank(worker) < MAX_SLOW_START_DISPATCHERS and worker not in subset
        ]

    def _subset_of(self, workers: list[Worker], size: int) -> list[Worker]:
        """Return `size` consecutive workers from this dispatcher's position in the list, wrapping around at the end."""
        if size >= len(workers):
            return workers
        settings = self._context.settings
        start = settings.dispatcher_index * len(workers) // settings.dispatcher_count
        beyond_end = max(start + size - len(workers), 0)
        return workers[start : start + size] + workers[:beyond_end]
