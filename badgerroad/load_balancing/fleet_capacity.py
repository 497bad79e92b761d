"""The capacity of all ready workers together, kept as running counts. Statistics only.

A worker of which nothing was learned lately has the speed of its machine type: such workers are counted by type. The
others, which ran an own request of late, are warming up or are ejected, are examined one by one.
"""

from collections.abc import Callable, Iterable

from .run_statistics import FORGET_AFTER_US, Throughput
from .workers import MachineType, Worker


class FleetCapacity:
    """Slots times speed, summed over the ready workers that are not ejected."""

    def __init__(self, is_warming_up: Callable[[Worker], bool]) -> None:
        """Without workers; `is_warming_up` is asked at the time of the sum."""
        self._is_warming_up = is_warming_up
        self._individual: dict[Worker, None] = {}  # in the order in which they came: sums are the same in each run
        self._typical: set[Worker] = set()
        self._typical_counts: dict[MachineType, int] = {}

    def reset(self, ready: Iterable[Worker]) -> None:
        """These are the ready workers."""
        self._individual = dict.fromkeys(ready)
        self._typical.clear()
        self._typical_counts.clear()

    def add(self, worker: Worker) -> None:
        """The worker is ready."""
        self._individual[worker] = None

    def discard(self, worker: Worker) -> None:
        """The worker is not ready."""
        self.mark_changed(worker)
        self._individual.pop(worker, None)

    def mark_changed(self, worker: Worker) -> None:
        """Something was learned of the worker, or it is ejected for a while."""
        if worker in self._typical:
            self._typical.remove(worker)
            self._typical_counts[worker.machine_type] -= 1
            self._individual[worker] = None

    def total(self, now: int, prior: float, speed: Callable[[Worker], float]) -> float:
        """The sum at `now`; `prior` microseconds at its machine type's speed count in a worker's speed."""
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
