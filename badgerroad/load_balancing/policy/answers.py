"""Rule 1: one final answer to each request, armed when the request is accepted."""

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
"""Ticks before its deadline at which a request is answered at the latest."""


class FinalAnswers:
    """Rejects or fails requests, and removes those that are finished."""

    def __init__(
        self,
        context: DecisionContext,
        requests: PendingRequests,
        queue: WaitingQueue,
        subsets: WorkerSubsets,
        estimates: LoadEstimates,
        hints: HintStatistics,
    ) -> None:
        """`requests` and `queue` lose what is finished; the others say when a client should come back."""
        self._context = context
        self._requests = requests
        self._queue = queue
        self._subsets = subsets
        self._estimates = estimates
        self._hints = hints

    def latest_answer(self, request: PendingRequest) -> int:
        """When the request is answered at the latest (microseconds)."""
        return request.deadline - ANSWER_MARGIN_TICKS * self._context.settings.tick

    def arm(self, request: PendingRequest) -> None:
        """Answer the request shortly before its deadline, unless it is finished by then."""
        when = max(self.latest_answer(request), self._context.now)
        self._context.schedule(when, lambda: self.give_up(request), request)

    def give_up(self, request: PendingRequest) -> None:
        """Reject the request; fail it where asking again might do harm."""
        if request.finished:
            return
        if may_reject(request):
            self._context.actions.append(interface.Reject(request.id, self.retry_after()))
        else:
            self._context.actions.append(interface.Fail(request.id))
        self.finish(request)

    def finish(self, request: PendingRequest) -> None:
        """Forget the request, except for its attempts in flight."""
        self._queue.remove(request)
        self._requests.finish(request)

    def retry_after(self) -> int:
        """When a rejected client should come back (microseconds); 0 where the settings allow no such advice."""
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
