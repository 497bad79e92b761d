"""Slow start: limits the work sent to a recently started worker to a budget in any rolling window."""

from ..decision_context import DecisionContext
from ..hint_statistics import HintStatistics
from ..workers import Worker
from .subsets import WorkerSubsets
from .warm_up import WarmUp

BUDGET_USED_SHARE = 0.6
"""Share of a warming-up worker's budget that is used; the rest is a safety margin."""
BUDGET_SPREAD_FACTOR = 1.2
"""Addition to a worker's budget, as a multiple of the square root of the budget (both in requests of mean work).

The addition applies where dispatchers use subsets, as few dispatchers then share the budget of the worker."""
MAX_REQUEST_IN_MEANS = 3
"""Maximum size, in requests of mean work, of the single request that a small share of the budget allows.

With a lower limit, such a share would allow only small requests."""


class SlowStartBudget:
    """Tracks how much work this dispatcher may still send to a worker that is warming up."""

    def __init__(
        self, context: DecisionContext, warm_up: WarmUp, subsets: WorkerSubsets, hints: HintStatistics
    ) -> None:
        """`hints` provides the mean work of a request."""
        self._context = context
        self._warm_up = warm_up
        self._subsets = subsets
        self._hints = hints

    def record_send(self, worker: Worker, work: float) -> None:
        """Record work sent to the worker (microseconds), if it is warming up.

        A request below the mean work counts as the mean work, so that many small requests cannot overload the worker.
        """
        if self._warm_up.is_warming_up(worker):
            worker.slow_start_sends.append((self._context.now, max(work, self._hints.mean)))

    def remaining(self, worker: Worker) -> float:
        """Return the work that this dispatcher may still send to the worker now (microseconds)."""
        settings = self._context.settings
        window = settings.overload_window
        sends = worker.slow_start_sends
        while sends and sends[0][0] <= self._context.now - window:
            sends.popleft()
        allowed = settings.overload_threshold * self._capacity(worker) * window
        mean_request = self._hints.mean + 1.0
        spread = 0 if self._subsets.uses_whole_fleet else BUDGET_SPREAD_FACTOR
        budget: float = BUDGET_USED_SHARE * allowed + spread * (allowed * mean_request) ** 0.5
        if budget >= mean_request * settings.dispatcher_count:
            return budget / settings.dispatcher_count - sum(work for _, work in sends)
        # An even share would be below one request, so that no dispatcher could send any. Instead, the first few
        # dispatchers in the order that belongs to this worker may send one request each. A recently started
        # dispatcher sends none, as it does not know what it sent before its restart.
        has_share = (self._warm_up.dispatcher_rank(worker) + 1) * mean_request <= budget
        recently_started = self._context.now - self._context.first_event_at < window
        return MAX_REQUEST_IN_MEANS * mean_request * (has_share and not sends and not recently_started)

    def _capacity(self, worker: Worker) -> float:
        machine_type = worker.machine_type
        slots = max(machine_type.slots, machine_type.max_slots_seen)
        return slots * machine_type.speed() * self._warm_up.speed_share(worker)
