"""When a rejected client should come back.

The sums are kept running, so they round in another order than a sum over each request and worker. Where that might show
in the whole microseconds of the answer, the sums are taken one by one: the answer is the same as if they always were.
"""

from collections.abc import Callable
from typing import NamedTuple

from . import interface
from .endpoint_roster import EndpointRoster
from .pending_requests import PendingRequests
from .waiting_queue import RECHECK_US
from .workers import Worker

ROUNDING = 2.0**-52
"""The relative difference that one more term can make between two orders of a sum of terms that are not negative: each
rounds by half of this at most."""
EXTRA_TERMS = 16
"""More than enough for the few roundings beside the two sums: products, divisions."""


class Backlog(NamedTuple):
    """Open work (microseconds) and the capacity of this dispatcher's part of the workers."""

    work: float
    capacity: float

    def time(self, at_most: int, factor: float = 1.0) -> int:
        """Microseconds until the work is done, times a factor; within what an answer may say."""
        if not self.capacity:
            return at_most
        return int(min(max(self.work / self.capacity * factor, RECHECK_US), at_most))

    def is_certain(self, at_most: int, terms: int) -> bool:
        """Is the time the same in whole microseconds, in whatever order these terms are summed?"""
        margin = (terms + EXTRA_TERMS) * ROUNDING
        return self.time(at_most, 1 - margin) == self.time(at_most, 1 + margin)


def retry_after(
    requests: PendingRequests,
    roster: EndpointRoster,
    settings: interface.Settings,
    now: int,
    mean_work: float,
    speed: Callable[[Worker], float],
) -> int:
    """Microseconds until a dispatcher's part of the workers is through with the work that it has.

    `mean_work`: of the hints, the least that a request counts; `speed`: of a worker now.
    """
    at_most = settings.max_retry_after
    capacity = roster.capacity.total(now, mean_work + 1.0, speed) / settings.dispatcher_count
    backlog = Backlog(requests.total_work(mean_work), capacity)
    if not backlog.is_certain(at_most, len(requests) + len(roster.ready)):
        exact = sum(w.machine_type.slots * speed(w) for w in roster.ready if w.ejected_until <= now)
        backlog = Backlog(requests.total_work_in_order(mean_work), exact / settings.dispatcher_count)
    return backlog.time(at_most)
