"""Total capacity of all ready workers, computed without examining all of them.

A worker that has not run a request of this dispatcher recently counts with the speed of its machine type, so such
workers are only counted by type. Workers that recently ran a request of this dispatcher, are warming up or are ejected
are examined individually.
"""

from collections.abc import Callable, Iterable

from .run_statistics import FORGET_AFTER_US, Throughput
from .workers import MachineType, Worker


class FleetCapacity:
    """Sum of slots times speed over the ready workers that are not ejected."""

    def __init__(self, is_warming_up: Callable[[Worker], bool]) -> None:
        """Starts without workers; `is_warming_up` is called when the total is computed."""
        self._is_warming_up = is_warming_up
        self._individual: dict[Worker, None] = {}  # in insertion order, so that sums are reproducible
        self._typical: set[Worker] = set()
        self._typical_counts: dict[MachineType, int] = {}

    def reset(self, ready: Iterable[Worker]) -> None:
        """Set the ready workers."""
        self._individual = dict.fromkeys(ready)
        self._typical.clear()
        self._typical_counts.clear()

    def add(self, worker: Worker) -> None:
        """Add a worker that has become ready."""
        self._individual[worker] = None

    def discard(self, worker: Worker) -> None:
        """Remove a worker that is no longer ready."""
        self.mark_changed(worker)
        self._individual.pop(worker, None)

    def mark_changed(self, worker: Worker) -> None:
        """Examine the worker individually again; called when its statistics have changed or it is ejected."""
        if worker in self._typical:
            self._typical.remove(worker)
            self._typical_counts[worker.machine_type] -= 1
            self._individual[worker] = None

    def total(self, now: int, prior: float, speed: Callable[[Worker], float]) -> float:
        """Return the total capacity at time `now` (microseconds).

        `speed` gives a worker's speed, in which `prior` microseconds at the speed of its machine type are included.
        """
        total = 0.0
        for worker in list(self._individual):
            if worker.ejected_until > now:
                continue
            if now - worker.last_run_at >= FORGET_AFTER_US and not self._is_warming_up(worker):
                self._become_typical(worker)
            else:
                total += worker.machine_type.slots * speed(worker)
        for machine_type, count in self._typical_counts.items():
            typical_speed = Throughput().blended_speed(machine_type.throughput, 0.0, prior)
            total += count * (machine_type.slots * typical_speed)
        return total

    def _become_typical(self, worker: Worker) -> None:
        del self._individual[worker]
        self._typical.add(worker)
        self._typical_counts[worker.machine_type] = self._typical_counts.get(worker.machine_type, 0) + 1
