"""Gives each request exactly one final answer before its deadline.

A timer is set when a request is accepted. If the request has no final answer when the timer fires, it is rejected or
failed.
"""

from .. import interface
from ..decision_context import DecisionContext
from ..hint_statistics import HintStatistics
from ..pending_requests import PendingRequest, PendingRequests
from ..retry_after import retry_after
from ..waiting_queue import WaitingQueue
from .estimates import LoadEstimates
from .retries import may_reject
from .subsets import WorkerSubsets

ANSWER_MARGIN_TICKS = 2
"""Number of ticks before its deadline by which a request must have been answered."""


class FinalAnswers:
    """Rejects or fails requests, and removes finished ones from the queue and the table of pending requests."""

    def __init__(
        self,
        context: DecisionContext,
        requests: PendingRequests,
        queue: WaitingQueue,
        subsets: WorkerSubsets,
        estimates: LoadEstimates,
        hints: HintStatistics,
    ) -> None:
        """Finished requests are removed from `requests` and `queue`; the other arguments are read for Retry-After."""
        self._context = context
        self._requests = requests
        self._queue = queue
        self._subsets = subsets
        self._estimates = estimates
        self._hints = hints

    def latest_answer_time(self, request: PendingRequest) -> int:
        """Return the latest time at which the request is answered (microseconds)."""
        return request.deadline - ANSWER_MARGIN_TICKS * self._context.settings.tick

    def schedule_answer(self, request: PendingRequest) -> None:
        """Schedule a final answer shortly before the request's deadline, dropped if the request is finished by then."""
        when = max(self.latest_answer_time(request), self._context.now)
        self._context.schedule(when, lambda: self.reject_or_fail(request), request)

    def reject_or_fail(self, request: PendingRequest) -> None:
        """Reject the request, or fail it if it may have run and a repeat by the client could have a second effect."""
        if request.finished:
            return
        if may_reject(request):
            self._context.actions.append(interface.Reject(request.id, self.retry_after()))
        else:
            self._context.actions.append(interface.Fail(request.id))
        self.finish(request)

    def finish(self, request: PendingRequest) -> None:
        """Remove the request from the queue; its record stays until its last attempt in flight has ended."""
        self._queue.remove(request)
        self._requests.finish(request)

    def retry_after(self) -> int:
        """Return the Retry-After of a rejection (microseconds); 0 if the settings do not allow one."""
        context = self._context
        if not context.settings.retry_after_allowed:
            return 0
        return retry_after(
            self._requests,
            self._subsets.roster,
            context.settings,
            context.now,
            self._hints.mean,
            self._estimates.speed,
        )
