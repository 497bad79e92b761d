"""What own requests and load reports say of workers: speeds, waits, queues, and which are ejected for a while."""

from .. import interface
from ..decision_context import DecisionContext
from ..hint_statistics import HintStatistics
from ..load_reports import free_slots
from ..pending_requests import Attempt, PendingRequest
from ..run_statistics import FORGET_AFTER_US, ClassRuns
from ..workers import Worker
from .subsets import WorkerSubsets
from .warm_up import WarmUp

MACHINE_TYPE_FADE = 0.99
"""Part of the weight of a machine type's older runs that stays with each run."""
UNKNOWN_QUEUE_LEVEL = 0.5
"""A worker of unknown load: between one with a free slot, 0, and one without, 1."""
OUTLIER_RUN_FACTOR = 3.0
"""A run of so many times its expected work or more says something of its worker, not of its machine type."""
EJECTION_US = 100_000
"""How long a worker is ejected after a fault; doubled with each consecutive one, up to FORGET_AFTER_US."""
DEFAULT_CONNECT_TIMEOUT_US = 100_000
START_DELAY_WEIGHT = 0.1
"""Weight of the newest start delay where the whole fleet is used,"""
START_DELAY_WEIGHT_IN_SUBSET = 0.25
"""and where own traffic is thin and few starts are seen."""
QUEUEING_WEIGHT = 0.1
"""Weight of the newest start, in time or not, in the share of requests that wait."""
FASTEST_START_DRIFT = 1.02
"""The fastest start rises by this factor with each slower one, as it may not be reached any more."""
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
    """Expected speeds and waits of the workers, learned from attempts and load reports."""

    def __init__(
        self, context: DecisionContext, warm_up: WarmUp, subsets: WorkerSubsets, hints: HintStatistics
    ) -> None:
        """`hints` gives the mean work of a request, and learns from requests that a worker runs."""
        self._context = context
        self._warm_up = warm_up
        self._subsets = subsets
        self._hints = hints
        self.class_runs = ClassRuns()
        self.fastest_start = (context.settings.connect_timeout or DEFAULT_CONNECT_TIMEOUT_US) / 10
        """How soon a start is reported at best (microseconds)."""
        self.queueing_share = {False: UNKNOWN_QUEUE_LEVEL, True: UNKNOWN_QUEUE_LEVEL}
        """By whether the zone is remote: part of the requests of late that did not start at once."""

    def speed(self, worker: Worker) -> float:
        """Work per run time; less while it is warming up."""
        speed = worker.speed(self._context.now, prior=self._hints.mean + 1.0)
        return speed * self._warm_up.speed_share(worker) if self._warm_up.is_warming_up(worker) else speed

    def expected_wait(self, worker: Worker) -> float:
        """How long a request sent now would wait there (microseconds).

        Starts that are reported late show the load of other dispatchers.
        """
        whole_fleet = self._subsets.uses_whole_fleet
        if not whole_fleet and self._warm_up.is_warming_up(worker):
            return self.fastest_start  # only dispatchers with a part of its budget may send there
        factor = 2 if whole_fleet else 1
        return worker.machine_type.start_delays.expected(int(worker.in_flight_slots), factor, self._context.now)

    def start_patience(self) -> int:
        """The time within which an idle worker would have reported a start (microseconds)."""
        return int(2 * self.fastest_start) + 2 * self._context.settings.tick

    def confirm_work(self, request: PendingRequest) -> None:
        """Let the work that the client claims count in the statistics: a worker runs it."""
        if request.expected_work and not request.work_confirmed:
            request.work_confirmed = True
            self._hints.add(request.expected_work)

    def learn_start(self, request: PendingRequest, attempt: Attempt) -> None:
        """An attempt has started now."""
        worker = attempt.worker
        machine_type = worker.machine_type
        now = self._context.now
        delay = now - attempt.sent_at
        worker.running_slots += request.slots
        worker.set_queue_level(min(delay / (self.start_patience() + request.expected_work), 1.0), now)
        self.fastest_start = min(delay, self.fastest_start * FASTEST_START_DRIFT)
        self._learn_start_delay(attempt, delay)
        machine_type.max_slots_seen = max(machine_type.max_slots_seen, worker.running_slots)
        if worker.running_slots > machine_type.slots and self._subsets.uses_whole_fleet:
            machine_type.slots = worker.running_slots
            machine_type.delayed_excess_sends = 0
        elif attempt.in_flight_before >= machine_type.slots and delay > self.start_patience():
            machine_type.delayed_excess_sends += 1

    def _learn_start_delay(self, attempt: Attempt, delay: float) -> None:
        """An attempt started `delay` microseconds after it was sent, or would have waited that long."""
        weight = START_DELAY_WEIGHT if self._subsets.uses_whole_fleet else START_DELAY_WEIGHT_IN_SUBSET
        delays = attempt.worker.machine_type.start_delays
        delays.add(attempt.in_flight_before, delay, weight, self._context.now)

    def learn_queueing(self, attempt: Attempt) -> None:
        """Note whether an attempt has started by the time when an idle worker would have reported it."""
        is_remote = self._subsets.is_remote(attempt.worker)
        shares = self.queueing_share
        shares[is_remote] += (float(not attempt.started_at) - shares[is_remote]) * QUEUEING_WEIGHT

    def learn_success(self, request: PendingRequest, attempt: Attempt) -> None:
        """An attempt has ended with an answer now."""
        if attempt.started_at:
            self._learn_run(attempt.worker, request, self._context.now - attempt.started_at)
        attempt.worker.consecutive_failures = 0
        self.confirm_work(request)

    def learn_fault(self, request: PendingRequest, attempt: Attempt) -> None:
        """An attempt has ended now in a way that counts against its worker."""
        self.record_fault(attempt.worker)
        if attempt.result == QUEUE_FULL and not self._subsets.uses_whole_fleet:
            # It would never have started there: a wait as well.
            self._learn_start_delay(attempt, max(request.objective_deadline - attempt.sent_at, 0))

    def _learn_run(self, worker: Worker, request: PendingRequest, elapsed: float) -> None:
        """The worker ran the request within `elapsed` microseconds."""
        work = float(request.expected_work or elapsed)
        if self._warm_up.is_warming_up(worker):
            elapsed *= self._warm_up.speed_share(worker)
        else:
            # Where own traffic is thin, one run of an outlier would weigh as much as dozens.
            capped = elapsed if self._subsets.uses_whole_fleet else min(elapsed, OUTLIER_RUN_FACTOR * work)
            worker.machine_type.throughput.add(work, capped, MACHINE_TYPE_FADE)
            self.class_runs.add(request.request_class.name, elapsed)
        worker.learn_run(work, elapsed, self._context.now)
        self._subsets.roster.capacity.mark_changed(worker)

    def learn_load_report(self, event: interface.AttemptEnded | interface.HealthCheckResult) -> None:
        """Take in the load report that came with an event, if there is one."""
        worker = self._subsets.roster.workers.get(event.worker)
        free = free_slots(event, self._context.settings.load_report_fields)
        if worker and free is not None:
            worker.learn_load_report(free, isinstance(event, interface.AttemptEnded), self._context.now)

    def record_fault(self, worker: Worker) -> None:
        """Eject the worker for a while, longer with each consecutive fault.

        Rejections and instant errors leave it with few requests in flight, which would draw more traffic to it.
        """
        first_pause = EJECTION_US * max(self._context.settings.dispatcher_count // 3, 1)
        pause = first_pause << worker.consecutive_failures
        worker.ejected_until = self._context.now + min(pause, FORGET_AFTER_US)
        worker.consecutive_failures += 1
        self._subsets.roster.capacity.mark_changed(worker)


def is_fault(result: str, request: PendingRequest, worker: Worker) -> bool:
    """Does this result of an attempt count against the worker?"""
    if result == TIMEOUT:
        return not request.finished  # given up before its time: the worker did not even accept the request
    if result == QUEUE_FULL and request.slots > worker.machine_type.max_slots_seen:
        return False  # it claims more slots than any such worker was seen to have
    return result in FAULTS
