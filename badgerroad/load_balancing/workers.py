"""What is known of workers and their machine types. Records and statistics: the policy chooses."""

from collections import deque
from zlib import crc32

from . import interface
from .run_statistics import FORGET_AFTER_US, StartDelays, Throughput

RUN_FADE = 0.8
"""Part of the weight of a worker's older runs that stays with each run."""
MIN_FREE_SLOTS = 0.5
"""Free slots in a load report below which none is free."""
READY = interface.WorkerState.READY


class MachineType:
    """What has been learned of all workers of one machine type."""

    def __init__(self) -> None:
        """Nothing is known yet: one slot at speed 1."""
        self.throughput = Throughput()
        """Of workers that are not warming up."""
        self.max_slots_seen = 1.0
        """Slots ever seen on one, free or with own requests."""
        self.start_delays = StartDelays()
        self.slots = 1.0
        """Most own slots seen running on one."""
        self.delayed_excess_sends = 0
        """Sends beyond `slots` that had to wait."""

    def speed(self) -> float:
        """Work per run time."""
        return self.throughput.speed()


class Worker:
    """One run of a worker's process; attempts from before a restart count for the earlier run. Times: microseconds."""

    def __init__(self, info: interface.Endpoint, machine_type: MachineType, listing_number: int = 0) -> None:
        """`listing_number`: of its id in the order in which ids were first listed."""
        self.info = info
        self.id = info.worker
        self.machine_type = machine_type
        self.draw_weight = 1.0
        self.listing_number = listing_number
        self.sort_key = crc32(repr(info.cell).encode()), crc32(repr(info.worker).encode()), listing_number
        """Its position in the fleet: cells together, each in any order that is the same for all dispatchers."""
        self.start_hash = crc32(repr((info.worker, info.started_at)).encode())
        """Stands for this start of it, the same number at each dispatcher."""
        self.in_flight_slots = 0.0
        """Slots of own requests in flight."""
        self.long_in_flight = 0
        """Own long requests in flight."""
        self.running_slots = 0.0
        """Slots of own requests that have started."""
        self.throughput = Throughput()
        self.last_run_at = 0
        """When an own run last ended."""
        self.queue_level = 0.0
        """How far from a free slot it was at its last report; from 0, with one, to 1."""
        self.last_report_at = 0
        self.consecutive_failures = 0
        self.ejected_until = 0
        """Nothing is sent before this."""
        self.slow_start_sends: deque[tuple[int, float]] = deque()
        """While it is warming up: time and work of each send in the rolling window."""

    def is_ready(self) -> bool:
        """Does the endpoint list say so?"""
        return self.info.state == READY

    def add_attempt(self, slots: float, is_long: bool) -> None:
        """An own attempt is in flight there."""
        self.in_flight_slots += slots
        self.long_in_flight += is_long

    def remove_attempt(self, slots: float, is_long: bool, started: bool) -> None:
        """An own attempt there has ended."""
        self.in_flight_slots -= slots
        self.long_in_flight -= is_long
        self.running_slots -= slots if started else 0.0

    def speed(self, now: int, prior: float) -> float:
        """Its own speed of late and, the less that says, its machine type's, by which `prior` microseconds count."""
        share = max(1 - (now - self.last_run_at) / FORGET_AFTER_US, 0.0)
        return self.throughput.blended_speed(self.machine_type.throughput, share, prior)

    def learn_run(self, work: float, elapsed: float, now: int) -> None:
        """An own run has ended there; work and run time in microseconds."""
        self.throughput.add(work, elapsed, RUN_FADE)
        self.last_run_at = now

    def set_queue_level(self, level: float, now: int) -> None:
        """Note how far it is from a free slot, by what was received at `now`."""
        self.queue_level = level
        self.last_report_at = now

    def learn_load_report(self, free: float, with_answer: bool, now: int) -> None:
        """A load report gave its free slots. One with an answer is older than one asked for: it counts half."""
        is_full = free < MIN_FREE_SLOTS
        self.machine_type.max_slots_seen = max(self.machine_type.max_slots_seen, float(round(free)))
        old = self.queue_level if with_answer else float(is_full)
        self.set_queue_level((old + is_full) / 2, now)


def sort_key_of(worker: Worker) -> tuple[int, int, int]:
    """The key that gives the one order of workers that all dispatchers share."""
    return worker.sort_key
