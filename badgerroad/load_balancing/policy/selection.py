"""Selects the worker for a request by the LC* algorithm with the changes listed in docs/design.md."""

from .. import interface
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
"""Number of workers that are health-checked for a request, or considered for it outside the subset.

With a larger sample, the dispatchers would all choose the same few best workers."""
SAFE_TIME_SHARE = 0.8
"""Share of the time to the objective deadline; a request expected to take longer may miss it, as hints are inexact."""
MIN_REMOTE_ADVANTAGE = 0.2
"""Minimum of twice the difference of the queueing shares of the local and the remote zones.

If twice the difference is less, all first attempts go to the local zone."""
MAX_REMOTE_SHARE = 0.7
"""Maximum share of first attempts sent to remote zones; the other first attempts show when the local zone recovers."""
PREFER_BUSY_SHARE = 0.05
"""Share of requests that prefer workers with requests of this dispatcher in flight.

If workers had only one request of this dispatcher at a time, the number of their slots would never be observed."""
REMOTE_QUEUE_COST = 0.2
"""Cost of choosing a worker in a remote zone, as a fraction of the cost of a full queue."""
NEW_CONNECTION_COST = 0.2
"""Cost of opening a connection for a single retry or hedged request, as a fraction of the cost of a full queue."""
REMOTE_REQUESTS_COST = 0.3
"""Cost of a worker in a remote zone where the whole fleet is used, in requests of this dispatcher in flight."""
DEADLINE_RISK_COST = 0.3
"""Cost of an expected time above SAFE_TIME_SHARE, in requests of this dispatcher in flight for each slot."""
TRIAL_COST = 5.0
"""Cost of a worker whose last attempt failed, in requests of this dispatcher in flight for each slot.

The cost applies only to a request that was attempted before. Other requests serve as the trial of such a worker."""
SPEED_COST = 0.05
"""Cost of a worker at speed 1, in requests of this dispatcher in flight for each slot.

The cost is inversely proportional to the speed of the worker."""
MAX_DELAYED_EXCESS_SENDS = 3
"""Number of requests beyond the known slots of a machine type that had to wait, after which no more are sent to it."""

MAY_STILL_RUN = frozenset(
    (interface.AttemptResult.CANCELLED, interface.AttemptResult.TIMEOUT, interface.AttemptResult.RESET)
)
"""Results after which the worker may not have ended the attempt."""

Rank = tuple[float, float]


class WorkerSelection:
    """Selects workers for requests. Sends nothing, and changes no state except that of the random number generator."""

    def __init__(
        self,
        context: DecisionContext,
        warm_up: WarmUp,
        subsets: WorkerSubsets,
        budget: SlowStartBudget,
        estimates: LoadEstimates,
        hints: HintStatistics,
    ) -> None:
        """All arguments are only read; the object has no state of its own."""
        self._context = context
        self._warm_up = warm_up
        self._subsets = subsets
        self._budget = budget
        self._estimates = estimates
        self._hints = hints

    def chooses_remote_zone(self) -> bool:
        """Decide at random whether a first attempt goes to a remote zone.

        The probability grows with the queueing share of the local zone compared with that of the remote zones.
        """
        shares = self._estimates.queueing_share
        advantage = 2 * (shares[False] - shares[True]) - MIN_REMOTE_ADVANTAGE
        return self._context.random.random() < min(advantage, MAX_REMOTE_SHARE)

    def sample(self, workers: list[Worker]) -> list[Worker]:
        """Draw `SAMPLE_SIZE` workers at random by their weights, with replacement."""
        if not workers:
            return []
        return self._context.random.choices(workers, [worker.draw_weight for worker in workers], k=SAMPLE_SIZE)

    def candidates(self, request: PendingRequest) -> list[Worker]:
        """Return the workers to consider for the request's next attempt."""
        if request.first_possibly_run:
            return [worker for worker in self._subsets.ready if self.may_send(request, worker)]
        return self._subsets.remote if request.prefers_remote else self._subsets.local

    def may_send(self, request: PendingRequest, worker: Worker | None) -> bool:
        """Return whether another attempt may be sent to the worker (None: to any worker)."""
        settings = self._context.settings
        if request.finished or request.attempt_count >= settings.max_attempts:
            return False
        if request.attempts_in_flight and not settings.hedging_allowed:
            return False
        return may_repeat(request, worker, self._context.now)

    def has_alternative(self, request: PendingRequest, worker: Worker) -> bool:
        """Return whether another worker is allowed for the request and expected to meet its objective."""
        now = self._context.now
        return any(
            other is not worker
            and other.ejected_until <= now
            and self.may_send(request, other)
            and now + request.expected_work / self._estimates.speed(other) <= request.objective_deadline
            for other in self._subsets.ready
        )

    def is_available(self, worker: Worker) -> bool:
        """Return whether the worker could start one more request now, judging by the requests of this dispatcher.

        A worker whose last attempt failed gets one trial request at a time.
        """
        if not worker.is_ready() or worker.ejected_until > self._context.now:
            return False
        in_flight = worker.in_flight_slots
        if in_flight > worker.running_slots and self._context.settings.reports_start:
            return False  # a request of this dispatcher is waiting in the worker's queue
        if worker.consecutive_failures and in_flight:
            return False
        machine_type = worker.machine_type
        return in_flight < machine_type.slots or machine_type.delayed_excess_sends < MAX_DELAYED_EXCESS_SENDS

    def choose(self, request: PendingRequest, workers: list[Worker]) -> Worker | None:
        """Return the worker with the lowest rank, ties broken at random; None if no worker is suitable."""
        random = self._context.random.random
        whole_fleet = self._subsets.uses_whole_fleet
        prefers_busy = not whole_fleet and random() < PREFER_BUSY_SHARE
        best: Worker | None = None
        lowest_rank: Rank = (0.0, 0.0)
        weight_of_equals = 0.0
        for worker in self._eligible(request, workers):
            rank = self._rank(request, worker, prefers_busy)
            if rank is None or (best is not None and rank > lowest_rank) or not self.may_send(request, worker):
                continue
            weight = 1.0 if whole_fleet else worker.draw_weight
            is_equal = best is not None and rank >= lowest_rank
            weight_of_equals = weight + (weight_of_equals if is_equal else 0.0)
            if random() * weight_of_equals < weight:
                best = worker
            lowest_rank = rank
        return best

    @staticmethod
    def _eligible(request: PendingRequest, workers: list[Worker]) -> list[Worker]:
        """Return the workers of the required machine type, without those of the last attempt and of attempts in flight.

        A worker with a long request of this dispatcher in flight gets no second long request. Workers that may still
        run an earlier attempt are left out if there are others, since a further attempt there has to wait for a cancel.
        """
        attempts = request.attempts
        tried = [attempt.worker for attempt in attempts if not attempt.result or attempt is attempts[-1]]
        machine_type = request.request_class.machine_type
        eligible = [
            worker
            for worker in workers
            if machine_type in (-1, worker.info.machine_type)
            and worker not in tried
            and not (request.is_long and worker.long_in_flight)
        ]
        if len(attempts) < 2:
            return eligible
        unconfirmed = [attempt.worker for attempt in attempts if attempt.result in MAY_STILL_RUN]
        return [worker for worker in eligible if worker not in unconfirmed] or eligible

    def _rank(self, request: PendingRequest, worker: Worker, prefers_busy: bool) -> Rank | None:
        """Return the worker's rank for the request, lower is better; None if the worker must not get it."""
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
            first = worker.in_flight_slots * (-1 if prefers_busy else 1) / worker.machine_type.slots
            second = self._rank_by_queue(request, worker)
        # Warming-up workers come first in a tie: few other dispatchers may send to them.
        return first, -1.0 if is_warming_up else second

    def _rank_by_requests(self, request: PendingRequest, worker: Worker, speed: float, expected_time: float) -> float:
        """Rank by the requests of this dispatcher in flight for each slot; if nearly equal, the faster worker wins."""
        time_left = request.objective_deadline - self._context.now
        deadline_risk = DEADLINE_RISK_COST * (expected_time > SAFE_TIME_SHARE * time_left)
        trial = TRIAL_COST if worker.consecutive_failures and request.attempts else 0.0
        in_flight = worker.in_flight_slots + REMOTE_REQUESTS_COST * self._subsets.is_remote(worker)
        return in_flight / worker.machine_type.slots + SPEED_COST / speed + deadline_risk + trial

    def _rank_by_queue(self, request: PendingRequest, worker: Worker) -> float:
        """Rank by the worker's last reported queue level.

        Used with subsets, where the requests of this dispatcher are too few to rank the workers by.
        """
        is_remote = self._subsets.is_remote(worker)
        cost = REMOTE_QUEUE_COST * is_remote
        cost += NEW_CONNECTION_COST * (not worker.last_report_at and bool(request.attempts))
        is_fresh = self._context.now - worker.last_report_at < FORGET_AFTER_US
        level = worker.queue_level if is_fresh else self._estimates.queueing_share[is_remote]
        return cost + worker.consecutive_failures + level
