"""Hedged requests: another attempt while one waits behind others' requests."""

from collections.abc import Callable

from .. import interface
from ..decision_context import DecisionContext
from ..hedging_budget import HedgingBudget
from ..pending_requests import Attempt, PendingRequest
from .cancellation import cancel_attempts
from .estimates import LoadEstimates
from .subsets import WorkerSubsets

CROWDED_SHARE = 0.75
"""Share of requests that do not start at once beyond which hedged requests are made rarer."""

Place = Callable[[PendingRequest], bool]


class Hedging:
    """Sends a hedged request when a start is not reported in time, and cancels the others when one has started."""

    def __init__(self, context: DecisionContext, subsets: WorkerSubsets, estimates: LoadEstimates) -> None:
        """Disabled until `configure` has seen settings that allow it."""
        self._context = context
        self._subsets = subsets
        self._estimates = estimates
        self.budget = HedgingBudget()
        self.enabled = False

    def configure(self, settings: interface.Settings) -> None:
        """Hedge only where all classes may be repeated, starts are reported and attempts can be cancelled."""
        repeatable = all(
            request_class.semantics != interface.RetrySemantics.NON_IDEMPOTENT for request_class in settings.classes
        )
        self.enabled = settings.reports_start and settings.hedging_allowed and settings.cancel_allowed and repeatable

    def watch(self, request: PendingRequest, attempt: Attempt, place: Place) -> None:
        """Have `place` send another attempt if this one, just sent, does not start in time.

        The time is four times as long with each attempt.
        """
        if self.enabled and not self._subsets.uses_whole_fleet:
            patience = self._estimates.start_patience() << 2 * len(request.attempts) - 2
            self._context.schedule(
                self._context.now + patience, lambda: self._start_overdue(request, attempt, place), request
            )

    def cancel_all_but_first(self, request: PendingRequest) -> None:
        """Where hedging is on, keep only the attempt that started first: one has just started."""
        if self.enabled:
            first = min(request.running_attempts(), key=lambda attempt: attempt.started_at)
            others = [attempt for attempt in request.attempts if attempt is not first]
            cancel_attempts(self._context, request, others)

    def _start_overdue(self, request: PendingRequest, attempt: Attempt, place: Place) -> None:
        self._estimates.learn_queueing(attempt)
        self.budget.adapt(self._is_crowded())
        if self.budget.tokens >= 1 and not attempt.result and not request.running_attempts():
            self.budget.tokens -= place(request)

    def _is_crowded(self) -> bool:
        """Do most requests wait, in all zones that this dispatcher uses?"""
        shares = self._estimates.queueing_share
        if shares[False] <= CROWDED_SHARE:
            return False
        return not self._subsets.remote or shares[True] > CROWDED_SHARE
