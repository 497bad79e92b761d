"""Rule 4: a worker that has just started gets no more work than a budget in any rolling window."""

from ..decision_context import DecisionContext
from ..hint_statistics import HintStatistics
from ..workers import Worker
from .subsets import WorkerSubsets
from .warm_up import WarmUp

BUDGET_USED = 0.6
"""Part of a warming-up worker's budget that is spent."""
BUDGET_SPREAD = 1.2
"""How many square roots of the budget may be spent beyond that while few dispatchers have a part."""
MAX_REQUEST = 3
"""Mean requests that the one request of a small part may be; with less, only small ones would qualify."""


class SlowStartBudget:
    """How much work this dispatcher may still send to a worker that is warming up."""

    def __init__(
        self, context: DecisionContext, warm_up: WarmUp, subsets: WorkerSubsets, hints: HintStatistics
    ) -> None:
        """`hints` gives the mean work of a request."""
        self._context = context
        self._warm_up = warm_up
        self._subsets = subsets
        self._hints = hints

    def record_send(self, worker: Worker, work: float) -> None:
        """Count work sent to the worker (microseconds), if it is warming up. A small request counts as a mean one."""
        if self._warm_up.is_warming_up(worker):
            worker.slow_start_sends.append((self._context.now, max(work, self._hints.mean)))

    def remaining(self, worker: Worker) -> float:
        """The work that this dispatcher may still send now (microseconds)."""
        settings = self._context.settings
        window = settings.overload_window
        sends = worker.slow_start_sends
        while sends and sends[0][0] <= self._context.now - window:
            sends.popleft()
        allowed = settings.overload_threshold * self._capacity(worker) * window
        mean_request = self._hints.mean + 1.0
        spread = 0 if self._subsets.uses_whole_fleet else BUDGET_SPREAD
        budget: float = BUDGET_USED * allowed + spread * (allowed * mean_request) ** 0.5
        if budget >= mean_request * settings.dispatcher_count:
            return budget / settings.dispatcher_count - sum(work for _, work in sends)
        # Split evenly, a part would often be below one request and nobody could send any: then the first few in the
        # worker's own order of dispatchers have one each. What one sent before its own restart it does not know.
        has_part = (self._warm_up.dispatcher_rank(worker) + 1) * mean_request <= budget
        just_began = self._context.now - self._context.first_event_at < window
        return MAX_REQUEST * mean_request * (has_part and not sends and not just_began)

    def _capacity(self, worker: Worker) -> float:
        machine_type = worker.machine_type
        slots = max(machine_type.slots, machine_type.max_slots_seen)
        return slots * machine_type.speed() * self._warm_up.speed_share(worker)
