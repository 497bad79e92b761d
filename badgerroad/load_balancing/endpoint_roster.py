"""The listed workers and their states, as the endpoint lists gave them. Which of them get requests is the policy's."""

from bisect import bisect_left, insort
from collections.abc import Callable

from . import interface
from .fleet_capacity import FleetCapacity
from .workers import MachineType, Worker, sort_key_of

GONE = interface.WorkerState.GONE
MIN_WEIGHT = 1e-6
Predicate = Callable[[Worker], bool]


class SortedWorkers(list[Worker]):
    """Workers in the one order that all dispatchers share. Adding or removing one does not examine all of them."""

    def add(self, worker: Worker) -> None:
        """Put the worker in its position."""
        insort(self, worker, key=sort_key_of)

    def discard(self, worker: Worker) -> None:
        """Take it out if it is in."""
        index = bisect_left(self, worker.sort_key, key=sort_key_of)
        if index < len(self) and self[index] is worker:
            del self[index]


class EndpointRoster:
    """All listed workers by id, machine types by number, and the ready workers in order.

    A worker that is gone while it warms up stays, as it may be listed again. A worker may cease to warm up as time
    passes, all else changes with a list only; after other settings a list that is not incremental must follow.
    """

    def __init__(self, is_remote: Predicate, is_warming_up: Predicate) -> None:
        """`is_remote` says which workers are in other zones, `is_warming_up` which have just started."""
        self.workers: dict[interface.WorkerId, Worker] = {}
        self.machine_types: dict[int, MachineType] = {}
        self.ready = SortedWorkers()
        self.local = SortedWorkers()
        """Ready and not remote."""
        self.remote = SortedWorkers()
        """Ready and remote."""
        self.warming_up = SortedWorkers()
        """Ready and, when the last list came, warming up."""
        self.capacity = FleetCapacity(is_warming_up)
        """Of the ready ones."""
        self._is_remote = is_remote
        self._is_warming_up = is_warming_up
        self._gone: set[Worker] = set()
        self._ids_listed = 0  # equal sort keys are in the order in which their ids came

    def update(self, endpoint_list: interface.EndpointList) -> None:
        """Take in a list. An incremental one takes time by its entries, the others by all workers."""
        entries = {info.worker: info for info in endpoint_list.entries}
        if endpoint_list.scope == interface.ListScope.INCREMENTAL:
            for info in entries.values():
                self._change(info)
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

    def _change(self, info: interface.Endpoint) -> None:
        """Record the entry of one worker and put it in its positions."""
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
        """Record what an entry says of its worker: of this run of it, or of a new one."""
        worker = self.workers.get(info.worker)
        if worker is None:
            self._ids_listed += 1
            worker = self._new(info, self._ids_listed)
        elif info.started_at != worker.info.started_at and info.state != GONE:
            worker.info = worker.info._replace(state=GONE)
            self._gone.discard(worker)
            worker = self._new(info, worker.listing_number)
        worker.info = info._replace(started_at=worker.info.started_at)
        worker.draw_weight = max(info.weight, MIN_WEIGHT) ** 2
        if info.state == GONE:
            self._gone.add(worker)
        else:
            self._gone.discard(worker)
        return worker

    def _new(self, info: interface.Endpoint, listing_number: int) -> Worker:
        machine_type = self.machine_types.setdefault(info.machine_type, MachineType())
        worker = Worker(info, machine_type, listing_number)
        self.workers[info.worker] = worker
        return worker
