"""Detects workers that have stopped sending progress reports, and cancels their attempts so they can be retried."""

from ..decision_context import DecisionContext
from ..pending_requests import Attempt, PendingRequest, PendingRequests
from ..workers import Worker
from .cancellation import cancel_attempts
from .estimates import LoadEstimates
from .selection import WorkerSelection

MAX_MISSING_REPORTS = 3
"""Number of consecutive missing progress reports after which a worker counts as failed."""


class AttemptMonitor:
    """Checks that each running attempt is reported on in every `progress_interval`.

    A slow worker sends progress reports as well, so missing progress reports indicate a failed worker.
    """

    def __init__(
        self,
        context: DecisionContext,
        requests: PendingRequests,
        estimates: LoadEstimates,
        selection: WorkerSelection,
    ) -> None:
        """`selection` is asked whether another worker could take a request."""
        self._context = context
        self._requests = requests
        self._estimates = estimates
        self._selection = selection

    def watch(self, request: PendingRequest, attempt: Attempt) -> None:
        """Record a fault of the worker once `MAX_MISSING_REPORTS` reports of the attempt are missing."""
        interval = self._context.settings.progress_interval
        if attempt.result or not interval:
            return
        overdue_at = attempt.last_report_at + MAX_MISSING_REPORTS * interval
        if self._context.now < overdue_at:
            self._context.schedule(overdue_at, lambda: self.watch(request, attempt), request)
        else:
            self._estimates.record_fault(attempt.worker)
            self.cancel_silent_attempts(attempt.worker)

    def cancel_silent_attempts(self, worker: Worker) -> None:
        """Cancel attempts that the worker no longer reports on, if another worker may meet the request's objective."""
        settings = self._context.settings
        if not settings.progress_interval or not settings.cancel_allowed:
            return
        silent_since = self._context.now - (MAX_MISSING_REPORTS - 1) * settings.progress_interval
        for request in self._requests.values():
            silent = request.silent_attempts(worker, silent_since)
            if silent and not request.finished and self._selection.has_alternative(request, worker):
                cancel_attempts(self._context, request, silent)
