"""The retry budget as an extension of a dispatcher."""

from __future__ import annotations

from badgerroad.backend.attempts import Attempt
from badgerroad.extension import DispatcherExtension
from badgerroad.net import logs
from badgerroad.net.timer_wheel import Clock
from badgerroad.operator.schema import Limits
from badgerroad.requests import OpenRequest
from badgerroad.retry_budget.rules import RetryBudget

log = logs.get("badgerroad")

MICROSECONDS_PER_SECOND = 1_000_000


class RetryBudgetExtension(DispatcherExtension):
    """Rejects retries that exceed the budget in the operator's file."""

    def __init__(self, clock: Clock, limits: Limits) -> None:
        """`limits`: from the operator's file."""
        self.limits = limits
        self._clock = clock
        window_us = int(limits.retry_window_s * MICROSECONDS_PER_SECOND)
        self._budget = RetryBudget(limits.retry_share, limits.retry_least, window_us)

    def may_send(self, request: OpenRequest, attempt: Attempt) -> bool:
        """Count the attempt and return True, or return False if it is a retry that exceeds the budget."""
        now = self._clock.now()
        request_class = request.request_class.name
        if not attempt.number:
            self._budget.count_first(request_class, now)
            return True
        hedged = request.open_attempts > 1  # `open_attempts` includes this attempt
        if self._budget.allow_retry(request_class, now, hedged):
            return True
        if self._budget.should_report_exhausted(request_class, now):
            counts = self._budget.counts(request_class, now)
            log.warning("retry_budget_exhausted", cls=request_class, first=counts.first, retries=counts.retries)
        return False
