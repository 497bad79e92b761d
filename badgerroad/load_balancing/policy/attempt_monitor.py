"""Detects workers that report nothing more of a running attempt, and moves requests away from them."""

from ..decision_context import DecisionContext
from ..pending_requests import Attempt, PendingRequest, PendingRequests
from ..workers import Worker
from .cancellation import cancel_attempts
from .estimates import LoadEstimates
from .selection import WorkerSelection

MISSING_REPORTS = 3
"""Progress reports missing in a row after which a worker counts as failed."""


class AttemptMonitor:
    """Expects a progress report of each running attempt in each `progress_interval`; a slow worker sends them too."""

    def __init__(
        self,
        context: DecisionContext,
        requests: PendingRequests,
        estimates: LoadEstimates,
        selection: WorkerSelection,
    ) -> None:
        """`selection` says whether a request could go to another worker."""
        self._context = context
        self._requests = requests
        self._estimates = estimates
        self._selection = selection

    def watch(self, request: PendingRequest, attempt: Attempt) -> None:
        """Record a fault of the worker once too many reports are missing."""
        interval = self._context.settings.progress_interval
        if attempt.result or not interval:
            return
        overdue_at = attempt.last_report_at + MISSING_REPORTS * interval
        if self._context.now < overdue_at:
            self._context.schedule(overdue_at, lambda: self.watch(request, attempt), request)
        else:
            self._estimates.record_fault(attempt.worker)
            self.leave(attempt.worker)

    def leave(self, worker: Worker) -> None:
        """Cancel the worker's attempts of which it reports nothing, where another worker may meet the objective."""
        settings = self._context.settings
        if not settings.progress_interval or not settings.cancel_allowed:
            return
        before = self._context.now - (MISSING_REPORTS - 1) * settings.progress_interval
        for request in self._requests.values():
            silent = request.silent_attempts(worker, before)
            if silent and not request.finished and self._selection.has_alternative(request, worker):
                cancel_attempts(self._context, request, silent)
