"""Which worker gets a request: LC*, and its departures (docs/design.md)."""

from ..decision_context import DecisionContext
from ..hint_statistics import HintStatistics
from ..pending_requests import PendingRequest
from ..run_statistics import FORGET_AFTER_US
from ..workers import Worker
from .estimates import LoadEstimates
from .retries import may_repeat
from .slow_start import SlowStartBudget
from .subsets import WorkerSubsets
from .warm_up import WarmUp

SAMPLE_SIZE = 2
"""Workers checked for a request, or considered beyond the subset; with more, all draw the same ones."""
SAFE_SHARE = 0.8
"""Beyond this part of the time to the objective deadline, an expected run is a gamble: hints are rough."""
REMOTE_LEAD = 0.2
"""By so much less, twice, must requests start at once in the local zone before any goes to a remote one."""
MAX_REMOTE_SHARE = 0.7
"""Most first attempts that go to remote zones: the local zone must show when it is better again."""
STACKING_SHARE = 0.05
"""Share of requests sent where own ones are in flight: one at a time never shows how many slots there are."""
REMOTE_QUEUE_COST = 0.2
"""Cost of another zone, in parts of a full queue."""
NEW_CONNECTION_COST = 0.2
"""Cost of a new connection for one hedged request, in parts of a full queue."""
REMOTE_REQUESTS_COST = 0.3
"""Cost of another zone, in own requests in flight, where the whole fleet is used."""
TIGHT_COST = 0.3
"""Cost of a gamble on the objective deadline, in the same unit."""
TRIAL_COST = 5.0
"""Cost of a worker whose last attempt failed, for a request that has failed before, in the same unit."""
SPEED_COST = 0.05
"""Cost of a worker at speed 1, the less the faster it is, in the same unit."""
MAX_DELAYED_EXCESS_SENDS = 3
"""Sends beyond the known slots that had to wait, after which a machine type gets no more of them."""

Rank = tuple[float, float]


class WorkerSelection:
    """Chooses among workers; sends nothing."""

    def __init__(
        self,
        context: DecisionContext,
        warm_up: WarmUp,
        subsets: WorkerSubsets,
        budget: SlowStartBudget,
        estimates: LoadEstimates,
        hints: HintStatistics,
    ) -> None:
        """Reads the state of its collaborators and has none of its own."""
        self._context = context
        self._warm_up = warm_up
        self._subsets = subsets
        self._budget = budget
        self._estimates = estimates
        self._hints = hints

    def goes_remote(self) -> bool:
        """Draw whether a first attempt goes to a remote zone: more often as requests start rarer in the local one."""
        shares = self._estimates.queueing_share
        lead = 2 * (shares[False] - shares[True]) - REMOTE_LEAD
        return self._context.random.random() < min(lead, MAX_REMOTE_SHARE)

    def sample(self, workers: list[Worker]) -> list[Worker]:
        """Draw a few of the workers by their weights; one may come twice."""
        if not workers:
            return []
        return self._context.random.choices(workers, [worker.draw_weight for worker in workers], k=SAMPLE_SIZE)

    def candidates(self, request: PendingRequest) -> list[Worker]:
        """The workers among which the request's next attempt chooses."""
        if request.first_possibly_run:
            return [worker for worker in self._subsets.ready if self.may_send(request, worker)]
        return self._subsets.remote if request.prefers_remote else self._subsets.local

    def may_send(self, request: PendingRequest, worker: Worker | None) -> bool:
        """May another attempt go to the worker (None: to some worker)?"""
        settings = self._context.settings
        if request.finished or request.attempt_count >= settings.max_attempts:
            return False
        if request.attempts_in_flight and not settings.hedging_allowed:
            return False
        return may_repeat(request, worker, self._context.now)

    def has_alternative(self, request: PendingRequest, worker: Worker) -> bool:
        """Is there another worker that the request may go to and that may meet its objective?"""
        now = self._context.now
        return any(
            other is not worker
            and other.ejected_until <= now
            and self.may_send(request, other)
            and now + request.expected_work / self._estimates.speed(other) <= request.objective_deadline
            for other in self._subsets.ready
        )

    def is_available(self, worker: Worker) -> bool:
        """Could it start one more request now, as far as own traffic shows?

        One whose last attempt failed gets one trial at a time.
        """
        if not worker.is_ready() or worker.ejected_until > self._context.now:
            return False
        in_flight = worker.in_flight_slots
        if in_flight > worker.running_slots and self._context.settings.reports_start:
            return False  # an own request waits there
        if worker.consecutive_failures and in_flight:
            return False
        machine_type = worker.machine_type
        return in_flight < machine_type.slots or machine_type.delayed_excess_sends < MAX_DELAYED_EXCESS_SENDS

    def choose(self, request: PendingRequest, workers: list[Worker]) -> Worker | None:
        """The worker with the least rank, a random one among equals; None if none is fit."""
        random = self._context.random.random
        whole_fleet = self._subsets.uses_whole_fleet
        stacks = not whole_fleet and random() < STACKING_SHARE
        best: Worker | None = None
        least_rank: Rank = (0.0, 0.0)
        weight_of_equals = 0.0
        for worker in self._fitting(request, workers):
            rank = self._rank(request, worker, stacks)
            if rank is None or (best is not None and rank > least_rank) or not self.may_send(request, worker):
                continue
            weight = 1.0 if whole_fleet else worker.draw_weight
            is_equal = best is not None and rank >= least_rank
            weight_of_equals = weight + (weight_of_equals if is_equal else 0.0)
            if random() * weight_of_equals < weight:
                best = worker
            least_rank = rank
        return best

    @staticmethod
    def _fitting(request: PendingRequest, workers: list[Worker]) -> list[Worker]:
        """Those of the right machine type, not tried last or now, and without a long request if this is one."""
        attempts = request.attempts
        tried = [attempt.worker for attempt in attempts if not attempt.result or attempt is attempts[-1]]
        machine_type = request.request_class.machine_type
        return [
            worker
            for worker in workers
            if machine_type in (-1, worker.info.machine_type)
            and worker not in tried
            and not (request.is_long and worker.long_in_flight)
        ]

    def _rank(self, request: PendingRequest, worker: Worker, stacks: bool) -> Rank | None:
        """The worker's rank for the request, the least first; None: not this worker."""
        speed = self._estimates.speed(worker)
        expected_time = self._estimates.expected_wait(worker) + request.expected_work / speed
        if self._context.now + expected_time > request.objective_deadline:
            return None
        is_warming_up = self._warm_up.is_warming_up(worker)
        if is_warming_up and self._budget.remaining(worker) < max(request.expected_work, self._hints.mean, 1):
            return None
        if self._subsets.uses_whole_fleet:
            first = self._rank_by_requests(request, worker, speed, expected_time)
            second = 0.0
        else:
            first = worker.in_flight_slots * (-1 if stacks else 1) / worker.machine_type.slots
            second = self._rank_by_queue(request, worker)
        # Hardly any other dispatcher may send a warming-up worker a request.
        return first, -1.0 if is_warming_up else second

    def _rank_by_requests(self, request: PendingRequest, worker: Worker, speed: float, expected_time: float) -> float:
        """Own requests in flight for each slot; among near equals the faster one."""
        time_left = request.objective_deadline - self._context.now
        tight = TIGHT_COST * (expected_time > SAFE_SHARE * time_left)
        trial = TRIAL_COST if worker.consecutive_failures and request.attempts else 0.0
        in_flight = worker.in_flight_slots + REMOTE_REQUESTS_COST * self._subsets.is_remote(worker)
        return in_flight / worker.machine_type.slots + SPEED_COST / speed + tight + trial

    def _rank_by_queue(self, request: PendingRequest, worker: Worker) -> float:
        """Where own requests say little: the worker's queue as last reported."""
        is_remote = self._subsets.is_remote(worker)
        cost = REMOTE_QUEUE_COST * is_remote
        cost += NEW_CONNECTION_COST * (not worker.last_report_at and bool(request.attempts))
        is_fresh = self._context.now - worker.last_report_at < FORGET_AFTER_US
        level = worker.queue_level if is_fresh else self._estimates.queueing_share[is_remote]
        return cost + worker.consecutive_failures + level
