"""Records and statistics of workers and machine types. The policy makes the choices."""

from collections import deque
from zlib import crc32

from . import interface
from .run_statistics import FORGET_AFTER_US, StartDelays, Throughput

RUN_DECAY = 0.8
"""Factor by which each new run reduces the weight of earlier runs in the throughput of a worker."""
MIN_FREE_SLOTS = 0.5
"""Number of free slots in a load report below which the worker counts as full."""
READY = interface.WorkerState.READY


class MachineType:
    """Statistics of all workers of one machine type."""

    def __init__(self) -> None:
        """Starts with the assumption of one slot at speed 1."""
        self.throughput = Throughput()
        """Throughput of the runs on workers that are not warming up."""
        self.max_slots_seen = 1.0
        """Maximum number of slots observed on a worker, reported as free or running requests of this dispatcher."""
        self.start_delays = StartDelays()
        self.slots = 1.0
        """Maximum number of slots of this dispatcher's requests observed running at once on a worker."""
        self.delayed_excess_sends = 0
        """Number of attempts sent while `slots` or more slots were in flight at the worker, whose start was late."""

    def speed(self) -> float:
        """Return the machine type's speed: the work done per unit of run time."""
        return self.throughput.speed()


class Worker:
    """One run of a worker's process. Times are in microseconds.

    After a restart of the worker a new record is used; attempts sent before the restart count for the old record.
    """

    def __init__(self, info: interface.Endpoint, machine_type: MachineType, listing_number: int = 0) -> None:
        """`listing_number` is the position of the worker's id in the order in which ids were first listed."""
        self.info = info
        self.id = info.worker
        self.machine_type = machine_type
        self.draw_weight = 1.0
        self.listing_number = listing_number
        self.sort_key = crc32(repr(info.cell).encode()), crc32(repr(info.worker).encode()), listing_number
        """Determines the worker's position in the fleet: grouped by cell, in an order that all dispatchers share."""
        self.start_hash = crc32(repr((info.worker, info.started_at)).encode())
        """Hash of the worker's id and start time, the same at every dispatcher."""
        self.warm_up_began_at = info.started_at
        """When the worker started, by this dispatcher's clock; 0 if long ago."""
        self.in_flight_slots = 0.0
        """Slots of this dispatcher's requests in flight at the worker."""
        self.long_in_flight = 0
        """Number of this dispatcher's long requests in flight at the worker."""
        self.running_slots = 0.0
        """Slots of this dispatcher's requests that have started."""
        self.throughput = Throughput()
        self.last_run_at = 0
        """When a run of this dispatcher's requests last ended."""
        self.queue_level = 0.0
        """Last known load, from 0 (a free slot) to 1 (no free slot)."""
        self.last_report_at = 0
        self.consecutive_failures = 0
        self.ejected_until = 0
        """Time until which nothing is sent to the worker."""
        self.slow_start_sends: deque[tuple[int, float]] = deque()
        """Time and work of each send in the rolling window of the slow start, while the worker is warming up."""

    def is_ready(self) -> bool:
        """Return whether the endpoint list lists the worker as ready."""
        return self.info.state == READY

    def add_attempt(self, slots: float, is_long: bool) -> None:
        """Count an attempt of this dispatcher that is sent to the worker."""
        self.in_flight_slots += slots
        self.long_in_flight += is_long

    def remove_attempt(self, slots: float, is_long: bool, started: bool) -> None:
        """Remove an attempt of this dispatcher that has ended from the counts."""
        self.in_flight_slots -= slots
        self.long_in_flight -= is_long
        self.running_slots -= slots if started else 0.0

    def speed(self, now: int, prior: float) -> float:
        """Return the worker's speed, blended with that of its machine type.

        Runs of this dispatcher's requests count less the longer ago the last one ended. `prior` microseconds count at
        the speed of the machine type.
        """
        share = max(1 - (now - self.last_run_at) / FORGET_AFTER_US, 0.0)
        return self.throughput.blended_speed(self.machine_type.throughput, share, prior)

    def learn_run(self, work: float, elapsed: float, now: int) -> None:
        """Add a run of this dispatcher's request on the worker; work and run time are in microseconds."""
        self.throughput.add(work, elapsed, RUN_DECAY)
        self.last_run_at = now

    def set_queue_level(self, level: float, now: int) -> None:
        """Set the queue level, as reported at time `now`."""
        self.queue_level = level
        self.last_report_at = now

    def learn_load_report(self, free: float, with_answer: bool, now: int) -> None:
        """Update the worker with the free slots of a load report.

        A report that comes with an answer may be outdated, so it is averaged with the previous queue level; the result
        of a health check replaces that level.
        """
        is_full = free < MIN_FREE_SLOTS
        self.machine_type.max_slots_seen = max(self.machine_type.max_slots_seen, float(round(free)))
        old = self.queue_level if with_answer else float(is_full)
        self.set_queue_level((old + is_full) / 2, now)


def sort_key_of(worker: Worker) -> tuple[int, int, int]:
    """Return the sort key of the order of workers that all dispatchers share."""
    return worker.sort_key
