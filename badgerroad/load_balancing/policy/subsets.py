"""Rule 3: the workers that are ready by the endpoint list, and the subset of them that this dispatcher uses."""

from .. import interface
from ..decision_context import DecisionContext
from ..endpoint_roster import EndpointRoster
from ..workers import Worker
from .warm_up import WarmUp

MIN_SUBSET = 3
"""Workers that a dispatcher uses, at least."""
MIN_DISPATCHERS = 4
"""Dispatchers that use a worker, at least."""
SLOW_START_DISPATCHERS = 32
"""Dispatchers that use a warming-up worker because they may have a part of its budget."""


class WorkerSubsets:
    """The listed workers, and this dispatcher's subsets of its own and of other zones."""

    def __init__(self, context: DecisionContext, warm_up: WarmUp) -> None:
        """Without workers; `update` takes in the lists."""
        self._context = context
        self._warm_up = warm_up
        self.roster = EndpointRoster(self.is_remote, warm_up.is_warming_up)
        self.ready: list[Worker] = self.roster.ready
        self.local: list[Worker] = []
        """Those of its own zone that this dispatcher uses; all ready workers where it uses the whole fleet."""
        self.remote: list[Worker] = []
        """Those of other zones, where crossing has a price."""
        self.uses_whole_fleet = True
        """Own traffic is a fair part of each worker's."""

    def update(self, endpoint_list: interface.EndpointList) -> None:
        """Take in an endpoint list and choose the subsets anew."""
        # A warming-up worker that is gone may be listed again; what was sent to it still counts in its budget.
        self.roster.update(endpoint_list)
        fleet_size = len(self.ready)
        size = max(MIN_SUBSET, -(-MIN_DISPATCHERS * fleet_size // self._context.settings.dispatcher_count))
        self.uses_whole_fleet = size >= fleet_size
        self.remote = self._subset_of(self.roster.remote, size)
        if self.uses_whole_fleet:
            self.local = self.ready
            return
        subset = self._subset_of(self.roster.local or self.ready, size)
        self.local = subset + self._warming_up_beyond(subset)

    def is_remote(self, worker: Worker) -> bool:
        """Is it in another zone, at a price?"""
        settings = self._context.settings
        return settings.cross_zone_cost > 0 and worker.info.zone != settings.zone

    def _warming_up_beyond(self, subset: list[Worker]) -> list[Worker]:
        return [
            worker
            for worker in self.roster.warming_up
            if self._warm_up.dispatcher_rank(worker) < SLOW_START_DISPATCHERS and worker not in subset
        ]

    def _subset_of(self, workers: list[Worker], size: int) -> list[Worker]:
        """This dispatcher's own consecutive `size` of the workers."""
        if size >= len(workers):
            return workers
        settings = self._context.settings
        start = settings.dispatcher_index * len(workers) // settings.dispatcher_count
        beyond_end = max(start + size - len(workers), 0)
        return workers[start : start + size] + workers[:beyond_end]
