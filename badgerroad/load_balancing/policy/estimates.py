"""Estimates worker speed, start delay and queueing from load reports and this dispatcher's requests; ejects workers."""

from .. import interface
from ..decision_context import DecisionContext
from ..hint_statistics import HintStatistics
from ..load_reports import free_slots
from ..pending_requests import Attempt, PendingRequest
from ..run_statistics import FORGET_AFTER_US, ClassRuns
from ..workers import Worker
from .subsets import WorkerSubsets
from .warm_up import WarmUp

MACHINE_TYPE_DECAY = 0.99
"""Factor by which each new run reduces the weight of earlier runs in the throughput of a machine type."""
UNKNOWN_QUEUE_LEVEL = 0.5
"""Queue level assumed for a worker of unknown load: 0 means that it has a free slot, 1 that it has none."""
OUTLIER_RUN_FACTOR = 3.0
"""Maximum run time, as a multiple of the expected work, that a run counts for in the statistics of its machine type.

Applies where this dispatcher uses a subset of the workers. A longer run reflects a problem of the single worker."""
BASE_EJECTION_US = 100_000
"""Duration of a worker's ejection after a fault; doubled with each consecutive fault, up to FORGET_AFTER_US.

The duration is multiplied by a third of the number of dispatchers, rounded down, where that is above 1."""
DEFAULT_CONNECT_TIMEOUT_US = 100_000
START_DELAY_WEIGHT = 0.1
"""Weight of the newest start delay in the mean start delay, where this dispatcher uses the whole fleet."""
START_DELAY_WEIGHT_IN_SUBSET = 0.25
"""Weight of the newest start delay in the mean start delay, where this dispatcher uses a subset of the workers.

The weight is higher, as each dispatcher then sees few starts."""
QUEUEING_WEIGHT = 0.1
"""Weight of the newest request in the share of requests that do not start at once."""
FASTEST_START_DRIFT = 1.02
"""Factor by which the estimate of the shortest start delay grows with each start, up to the delay of that start.

The estimate thus follows a lasting slowdown."""
QUEUE_FULL = interface.AttemptResult.QUEUE_FULL
TIMEOUT = interface.AttemptResult.TIMEOUT
FAULTS = frozenset(
    (
        interface.AttemptResult.ERROR,
        interface.AttemptResult.QUEUE_FULL,
        interface.AttemptResult.CONNECT_FAILED,
        interface.AttemptResult.RESET,
    )
)


class LoadEstimates:
    """Expected speeds and start delays of the workers, learned from attempts and load reports."""

    def __init__(
        self, context: DecisionContext, warm_up: WarmUp, subsets: WorkerSubsets, hints: HintStatistics
    ) -> None:
        """`hints` provides the mean work of a request, and is updated with the hints of requests that ran."""
        self._context = context
        self._warm_up = warm_up
        self._subsets = subsets
        self._hints = hints
        self.class_runs = ClassRuns()
        self.fastest_start = (context.settings.connect_timeout or DEFAULT_CONNECT_TIMEOUT_US) / 10
        """Estimate of the shortest time from a send to the report of the start (microseconds) in recent attempts."""
        self.queueing_share = {False: UNKNOWN_QUEUE_LEVEL, True: UNKNOWN_QUEUE_LEVEL}
        """Share of recent requests that did not start at once, in the local zone (False) and in remote ones (True)."""

    def speed(self, worker: Worker) -> float:
        """Return the expected work per run time of the worker, reduced while it is warming up."""
        speed = worker.speed(self._context.now, prior=self._hints.mean + 1.0)
        return speed * self._warm_up.speed_share(worker) if self._warm_up.is_warming_up(worker) else speed

    def expected_wait(self, worker: Worker) -> float:
        """Return how long a request sent to the worker now is expected to wait for its start (microseconds).

        The estimate is based on reported start delays, which also include the load of other dispatchers.
        """
        whole_fleet = self._subsets.uses_whole_fleet
        if not whole_fleet and self._warm_up.is_warming_up(worker):
            return self.fastest_start  # only dispatchers with a share of the worker's slow start budget send to it
        factor = 2 if whole_fleet else 1
        return worker.machine_type.start_delays.expected(int(worker.in_flight_slots), factor, self._context.now)

    def start_timeout(self) -> int:
        """Return the time within which an idle worker would have reported a start (microseconds)."""
        return int(2 * self.fastest_start) + 2 * self._context.settings.tick

    def confirm_work(self, request: PendingRequest) -> None:
        """Add the request's expected work to the hint statistics, unless it was added already.

        Called only after a worker has run the request, because clients may claim any work hint.
        """
        if request.expected_work and not request.work_confirmed:
            request.work_confirmed = True
            self._hints.add(request.expected_work)

    def learn_start(self, request: PendingRequest, attempt: Attempt) -> None:
        """Update the estimates with the start of an attempt at the current time."""
        worker = attempt.worker
        machine_type = worker.machine_type
        now = self._context.now
        delay = now - attempt.sent_at
        worker.running_slots += request.slots
        worker.set_queue_level(min(delay / (self.start_timeout() + request.expected_work), 1.0), now)
        self.fastest_start = min(delay, self.fastest_start * FASTEST_START_DRIFT)
        self._learn_start_delay(attempt, delay)
        machine_type.max_slots_seen = max(machine_type.max_slots_seen, worker.running_slots)
        if worker.running_slots > machine_type.slots and self._subsets.uses_whole_fleet:
            machine_type.slots = worker.running_slots
            machine_type.delayed_excess_sends = 0
        elif attempt.in_flight_before >= machine_type.slots and delay > self.start_timeout():
            machine_type.delayed_excess_sends += 1

    def _learn_start_delay(self, attempt: Attempt, delay: float) -> None:
        """Record that an attempt started `delay` microseconds after it was sent, or would have waited that long."""
        weight = START_DELAY_WEIGHT if self._subsets.uses_whole_fleet else START_DELAY_WEIGHT_IN_SUBSET
        delays = attempt.worker.machine_type.start_delays
        delays.add(attempt.in_flight_before, delay, weight, self._context.now)

    def learn_queueing(self, attempt: Attempt) -> None:
        """Update the queueing share with whether an attempt has started by now.

        Called after the time within which an idle worker would have started it.
        """
        is_remote = self._subsets.is_remote(attempt.worker)
        shares = self.queueing_share
        shares[is_remote] += (float(not attempt.started_at) - shares[is_remote]) * QUEUEING_WEIGHT

    def learn_success(self, request: PendingRequest, attempt: Attempt) -> None:
        """Update the estimates with an attempt that has just succeeded."""
        if attempt.started_at:
            self._learn_run(attempt.worker, request, self._context.now - attempt.started_at)
        attempt.worker.consecutive_failures = 0
        self.confirm_work(request)

    def learn_fault(self, request: PendingRequest, attempt: Attempt) -> None:
        """Update the estimates with an attempt that has just ended with a fault of its worker."""
        self.record_fault(attempt.worker)
        if attempt.result == QUEUE_FULL and not self._subsets.uses_whole_fleet:
            # A full queue is recorded as a start at the objective deadline: the attempt would not have started earlier.
            self._learn_start_delay(attempt, max(request.objective_deadline - attempt.sent_at, 0))

    def _learn_run(self, worker: Worker, request: PendingRequest, elapsed: float) -> None:
        """Update the statistics with a run of the request on the worker that took `elapsed` microseconds."""
        work = float(request.expected_work or elapsed)
        if self._warm_up.is_warming_up(worker):
            elapsed *= self._warm_up.speed_share(worker)
        else:
            # If this dispatcher sends the worker little traffic, one outlier would weigh as much as dozens of runs.
            capped = elapsed if self._subsets.uses_whole_fleet else min(elapsed, OUTLIER_RUN_FACTOR * work)
            worker.machine_type.throughput.add(work, capped, MACHINE_TYPE_DECAY)
            self.class_runs.add(request.request_class.name, elapsed)
        worker.learn_run(work, elapsed, self._context.now)
        self._subsets.roster.capacity.mark_changed(worker)

    def learn_load_report(self, event: interface.AttemptEnded | interface.HealthCheckResult) -> None:
        """Update the worker with the load report of an event, if there is one."""
        worker = self._subsets.roster.workers.get(event.worker)
        free = free_slots(event, self._context.settings.load_report_fields)
        if worker and free is not None:
            worker.learn_load_report(free, isinstance(event, interface.AttemptEnded), self._context.now)

    def record_fault(self, worker: Worker) -> None:
        """Eject the worker temporarily, longer with each consecutive fault.

        Without the ejection, a worker that rejects or fails its attempts at once would have few requests in flight, and
        so attract more traffic.
        """
        base_ejection = BASE_EJECTION_US * max(self._context.settings.dispatcher_count // 3, 1)
        ejection = base_ejection << worker.consecutive_failures
        worker.ejected_until = self._context.now + min(ejection, FORGET_AFTER_US)
        worker.consecutive_failures += 1
        self._subsets.roster.capacity.mark_changed(worker)


def is_fault(result: str, request: PendingRequest, worker: Worker) -> bool:
    """Return whether this result of an attempt counts as a fault of the worker."""
    if result == TIMEOUT:
        # While the request has no final answer, a time-out means that the worker did not accept the attempt in time.
        return not request.finished
    if result == QUEUE_FULL and request.slots > worker.machine_type.max_slots_seen:
        return False  # the request needs more slots than any worker of this machine type is known to have
    return result in FAULTS
