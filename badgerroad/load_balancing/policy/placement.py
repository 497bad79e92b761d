"""Sends a request to a worker, or queues it until one is available."""

from .. import interface
from ..decision_context import DecisionContext
from ..pending_requests import Attempt, PendingRequest
from ..waiting_queue import QUEUE_CHECK_INTERVAL_US, WaitingQueue
from ..workers import Worker
from .answers import FinalAnswers
from .estimates import LoadEstimates
from .hedging import Hedging
from .selection import WorkerSelection
from .slow_start import SlowStartBudget
from .subsets import WorkerSubsets

MAX_SKIPPED_REQUESTS = 6
"""Maximum number of queued requests that one pass through the queue skips because no available worker suits them."""
ASSUMED_QUEUE_LEVEL = 9.0
"""Queue level of a worker until it answers its health check: higher than any reported level."""


class RequestPlacement:
    """Sends requests to workers, and queues those for which no worker is available."""

    def __init__(
        self,
        context: DecisionContext,
        queue: WaitingQueue,
        subsets: WorkerSubsets,
        budget: SlowStartBudget,
        estimates: LoadEstimates,
        selection: WorkerSelection,
        answers: FinalAnswers,
        hedging: Hedging,
    ) -> None:
        """`queue` must be empty; only this object adds requests to it."""
        self._context = context
        self._queue = queue
        self._subsets = subsets
        self._budget = budget
        self._estimates = estimates
        self._selection = selection
        self._answers = answers
        self._hedging = hedging
        self._recheck_scheduled = False

    def check_and_place(self, request: PendingRequest) -> None:
        """Send health checks to a few workers, and place the request after the time that the workers need to answer."""
        request.prefers_remote = bool(self._subsets.remote) and self._selection.chooses_remote_zone()
        now = self._context.now
        for worker in dict.fromkeys(self._selection.sample(self._selection.candidates(request))):
            worker.set_queue_level(ASSUMED_QUEUE_LEVEL, now)
            self._context.actions.append(interface.HealthCheck(worker.id))
        when = now + self._estimates.start_timeout()
        self._context.schedule(when, lambda: self.place_or_queue(request), request)

    def place_or_queue(self, request: PendingRequest) -> None:
        """Send the request, or queue it, or reject or fail it if it can no longer meet its objective."""
        if self.place(request):
            return
        fastest = max([machine_type.speed() for machine_type in self._subsets.roster.machine_types.values()] or [1.0])
        request.latest_start = request.objective_deadline - int(request.expected_work / fastest)
        if request.latest_start < self._context.now:
            self._answers.reject_or_fail(request)
            return
        self._queue.add(request)
        if not self._recheck_scheduled:
            self._recheck()

    def place(self, request: PendingRequest) -> bool:
        """Send the request if some worker could start it now and meet its objective; return whether it was sent."""
        sample: list[Worker] = []
        if not self._subsets.uses_whole_fleet and not request.first_possibly_run:
            sample = self._selection.sample(self._subsets.ready)
        for candidates in (self._selection.candidates(request), sample):
            worker = self._selection.choose(request, self._available(candidates))
            if worker:
                self.send(request, worker)
                return True
        return False

    def dispatch_queued(self, worker: Worker | None = None) -> None:
        """Send queued requests to `worker`, which may have become available (None: to any), the most urgent first.

        Queued requests that can no longer meet their objective are rejected or failed.
        """
        queue = self._queue
        while queue and queue[0].latest_start < self._context.now:
            self._answers.reject_or_fail(queue[0])
        if not queue:
            return
        workers = self._available([worker] if worker else self._subsets.local)
        position = 0
        while workers and position < min(len(queue), MAX_SKIPPED_REQUESTS):
            request = queue[position]
            chosen = self._selection.choose(request, workers)
            if chosen is None:
                position += 1
                continue
            queue.remove(request)
            self.send(request, chosen)
            workers = self._available(workers)

    def send(self, request: PendingRequest, worker: Worker) -> None:
        """Send an attempt of the request to the worker."""
        attempt = Attempt(worker, self._context.now)
        if not request.attempt_count:
            self._hedging.budget.add_request(request.without_hint)
        request.add_attempt(attempt)
        self._budget.record_send(worker, request.expected_work)
        self._context.actions.append(interface.Send(request.id, worker.id))
        self._hedging.watch(request, attempt, self.place)

    def _available(self, workers: list[Worker]) -> list[Worker]:
        is_available = self._selection.is_available
        return [worker for worker in workers if is_available(worker)]

    def _recheck(self) -> None:
        """Process the queue now, and again every `QUEUE_CHECK_INTERVAL_US` while it is not empty."""
        self.dispatch_queued()
        self._recheck_scheduled = bool(self._queue)
        if self._queue:
            self._context.schedule(self._context.now + QUEUE_CHECK_INTERVAL_US, self._recheck)
