"""The retry budget beside a dispatcher."""

from __future__ import annotations

from badgerroad.companion import Companion
from badgerroad.issuer.http import Leg
from badgerroad.limits.budget import RetryBudget
from badgerroad.net import logs
from badgerroad.net.wheel import Clock
from badgerroad.operator.schema import Limits
from badgerroad.requests import OpenRequest

log = logs.get("badgerroad")


class Retries(Companion):
    def __init__(self, clock: Clock, limits: Limits) -> None:
        self.clock, self.limits = clock, limits
        self.budget = RetryBudget(limits.retry_share, limits.retry_least, int(limits.retry_window_s * 1e6))

    def may_send(self, request: OpenRequest, leg: Leg) -> bool:
        """Counts the leg, or says that it is one resend too many."""
        now, cls = self.clock.now(), request.cls.name
        if not leg.number:
            self.budget.first(cls, now)
        elif not self.budget.again(cls, now, request.out > 1):
            if self.budget.tell(cls, now):
                first, again = self.budget.used(cls, now)
                log.warning("retry budget spent", cls=cls, first=first, again=again)
            return False
        return True
