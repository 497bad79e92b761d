"""The listed workers and their states according to the endpoint lists. The policy decides which of them are used."""

from bisect import bisect_left, insort
from collections.abc import Callable

from . import interface
from .fleet_capacity import FleetCapacity
from .workers import MachineType, Worker, sort_key_of

GONE = interface.WorkerState.GONE
MIN_WEIGHT = 1e-6
Predicate = Callable[[Worker], bool]


class SortedWorkers(list[Worker]):
    """Workers in the order that all dispatchers share. Adding or removing a worker uses a binary search."""

    def add(self, worker: Worker) -> None:
        """Insert the worker in its position."""
        insort(self, worker, key=sort_key_of)

    def discard(self, worker: Worker) -> None:
        """Remove the worker if it is contained."""
        index = bisect_left(self, worker.sort_key, key=sort_key_of)
        if index < len(self) and self[index] is worker:
            del self[index]


class EndpointRoster:
    """All listed workers by id, machine types by number, and the ready workers in the order that all dispatchers share.

    A worker that is removed while it is warming up stays until the end of its warm-up, as it may be listed again. The
    end of a warm-up depends on the time; all other changes come with an endpoint list. After a change of settings, the
    caller must pass an endpoint list that contains all workers, not only changes.
    """

    def __init__(
        self,
        is_remote: Predicate,
        is_warming_up: Predicate,
        warm_up_began_at: Callable[[interface.Endpoint], int] = lambda info: info.started_at,
    ) -> None:
        """`is_remote` tests whether a worker is in another zone, `is_warming_up` whether it has just started.

        `warm_up_began_at` returns when a newly listed worker started.
        """
        self.workers: dict[interface.WorkerId, Worker] = {}
        self.machine_types: dict[int, MachineType] = {}
        self.ready = SortedWorkers()
        self.local = SortedWorkers()
        """The ready workers that are not remote."""
        self.remote = SortedWorkers()
        """The ready workers that are remote."""
        self.warming_up = SortedWorkers()
        """The ready workers that were warming up when the last endpoint list was applied."""
        self.capacity = FleetCapacity(is_warming_up)
        """Total capacity of the ready workers."""
        self._is_remote = is_remote
        self._is_warming_up = is_warming_up
        self._warm_up_began_at = warm_up_began_at
        self._gone: set[Worker] = set()
        self._ids_listed = 0  # number of ids listed so far; among equal sort keys, earlier listed ids come first

    def update(self, endpoint_list: interface.EndpointList) -> None:
        """Apply a list. The cost is proportional to its entries if it is incremental, else to the number of workers."""
        entries = {info.worker: info for info in endpoint_list.entries}
        if endpoint_list.scope == interface.ListScope.INCREMENTAL:
            for info in entries.values():
                self._apply_change(info)
            self.warming_up[:] = [worker for worker in self.warming_up if self._is_warming_up(worker)]
        else:
            for known in self.workers.values():
                entries.setdefault(known.id, known.info._replace(state=GONE))
            for info in entries.values():
                self._record(info)
            self._sort()
        for worker in [worker for worker in self._gone if not self._is_warming_up(worker)]:
            self._gone.remove(worker)
            del self.workers[worker.id]

    def _apply_change(self, info: interface.Endpoint) -> None:
        """Record the entry of one worker and update its positions in the sorted lists."""
        known = self.workers.get(info.worker)
        if known:
            for workers in (self.ready, self.local, self.remote, self.warming_up):
                workers.discard(known)
            self.capacity.discard(known)
        worker = self._record(info)
        if worker.is_ready():
            self.ready.add(worker)
            self.capacity.add(worker)
            (self.remote if self._is_remote(worker) else self.local).add(worker)
            if self._is_warming_up(worker):
                self.warming_up.add(worker)

    def _sort(self) -> None:
        self.ready[:] = sorted((worker for worker in self.workers.values() if worker.is_ready()), key=sort_key_of)
        self.capacity.reset(self.ready)
        self.local[:] = [worker for worker in self.ready if not self._is_remote(worker)]
        self.remote[:] = [worker for worker in self.ready if self._is_remote(worker)]
        self.warming_up[:] = [worker for worker in self.ready if self._is_warming_up(worker)]

    def _record(self, info: interface.Endpoint) -> Worker:
        """Record an entry in its worker's record, or in a new one if the worker has restarted."""
        worker = self.workers.get(info.worker)
        if worker is None:
            self._ids_listed += 1
            worker = self._add_worker(info, self._ids_listed)
        elif info.started_at != worker.info.started_at and info.state != GONE:
            worker.info = worker.info._replace(state=GONE)
            self._gone.discard(worker)
            worker = self._add_worker(info, worker.listing_number)
        worker.info = info._replace(started_at=worker.info.started_at)
        worker.draw_weight = max(info.weight, MIN_WEIGHT) ** 2
        if info.state == GONE:
            self._gone.add(worker)
        else:
            self._gone.discard(worker)
        return worker

    def _add_worker(self, info: interface.Endpoint, listing_number: int) -> Worker:
        machine_type = self.machine_types.setdefault(info.machine_type, MachineType())
        worker = Worker(info, machine_type, listing_number)
        worker.warm_up_began_at = self._warm_up_began_at(info)
        self.workers[info.worker] = worker
        return worker
