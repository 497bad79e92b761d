"""Hedged requests: sends another attempt while the first one waits in its worker's queue."""

from collections.abc import Callable

from .. import interface
from ..decision_context import DecisionContext
from ..hedging_budget import HedgingBudget
from ..pending_requests import Attempt, PendingRequest
from .cancellation import cancel_attempts
from .estimates import LoadEstimates
from .subsets import WorkerSubsets

MAX_QUEUEING_SHARE = 0.75
"""If the share of requests that do not start at once is above this, the hedging budget is reduced."""

Place = Callable[[PendingRequest], bool]


class Hedging:
    """Sends another attempt of a request if the last does not start in time; cancels the rest once one has started."""

    def __init__(self, context: DecisionContext, subsets: WorkerSubsets, estimates: LoadEstimates) -> None:
        """Hedging is disabled until `configure` is called with settings that allow it."""
        self._context = context
        self._subsets = subsets
        self._estimates = estimates
        self.budget = HedgingBudget()
        self.enabled = False

    def configure(self, settings: interface.Settings) -> None:
        """Enable hedging only if all classes may be repeated, starts are reported and attempts can be cancelled."""
        repeatable = all(
            request_class.semantics != interface.RetrySemantics.NON_IDEMPOTENT for request_class in settings.classes
        )
        self.enabled = settings.reports_start and settings.hedging_allowed and settings.cancel_allowed and repeatable

    def watch(self, request: PendingRequest, attempt: Attempt, place: Place) -> None:
        """Call `place` to send another attempt if `attempt`, which was just sent, does not start in time.

        Each further attempt of the request is allowed four times as long to start as the one before.
        """
        if self.enabled and not self._subsets.uses_whole_fleet:
            start_timeout = self._estimates.start_timeout() << 2 * len(request.attempts) - 2
            self._context.schedule(
                self._context.now + start_timeout, lambda: self._start_overdue(request, attempt, place), request
            )

    def cancel_all_but_first(self, request: PendingRequest) -> None:
        """Cancel all attempts of the request except the one that started first. Without hedging, do nothing.

        At least one attempt must have started.
        """
        if self.enabled:
            first = min(request.running_attempts(), key=lambda attempt: attempt.started_at)
            others = [attempt for attempt in request.attempts if attempt is not first]
            cancel_attempts(self._context, request, others)

    def _start_overdue(self, request: PendingRequest, attempt: Attempt, place: Place) -> None:
        self._estimates.learn_queueing(attempt)
        self.budget.adapt(self._most_requests_queue())
        if self.budget.tokens >= 1 and not attempt.result and not request.running_attempts():
            self.budget.tokens -= place(request)

    def _most_requests_queue(self) -> bool:
        """Return whether most requests have to wait for a slot, in all zones that this dispatcher uses."""
        shares = self._estimates.queueing_share
        if shares[False] <= MAX_QUEUEING_SHARE:
            return False
        return not self._subsets.remote or shares[True] > MAX_QUEUEING_SHARE
