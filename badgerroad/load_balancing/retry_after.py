"""Computes the Retry-After of a rejected request.

Backlog and capacity are running totals, so their rounding depends on the order of the updates. If the rounding could
change the Retry-After in whole microseconds, both totals are summed again over all requests and workers in a fixed
order. The Retry-After is thus always the same as with sums in the fixed order.
"""

from collections.abc import Callable
from typing import NamedTuple

from . import interface
from .endpoint_roster import EndpointRoster
from .pending_requests import PendingRequests
from .waiting_queue import QUEUE_CHECK_INTERVAL_US
from .workers import Worker

RELATIVE_ROUNDING_ERROR = 2.0**-52
"""Maximum relative difference per term between two summation orders of non-negative terms.

Each addition rounds by at most half of this relative difference."""
EXTRA_ROUNDINGS = 16
"""Number of roundings that the margin allows for in the products and divisions outside the two sums.

The actual number of these roundings is lower."""


class Backlog(NamedTuple):
    """Work of unfinished requests (microseconds), and the capacity of this dispatcher's share of the workers."""

    work: float
    capacity: float

    def drain_time(self, max_retry_after: int, factor: float = 1.0) -> int:
        """Return `factor` times the time until the work is done (microseconds), limited to the allowed range."""
        if not self.capacity:
            return max_retry_after
        return int(min(max(self.work / self.capacity * factor, QUEUE_CHECK_INTERVAL_US), max_retry_after))

    def is_order_independent(self, max_retry_after: int, terms: int) -> bool:
        """Return whether the drain time in whole microseconds is the same for every summation order of the terms."""
        margin = (terms + EXTRA_ROUNDINGS) * RELATIVE_ROUNDING_ERROR
        return self.drain_time(max_retry_after, 1 - margin) == self.drain_time(max_retry_after, 1 + margin)


def retry_after(
    requests: PendingRequests,
    roster: EndpointRoster,
    settings: interface.Settings,
    now: int,
    mean_work: float,
    speed: Callable[[Worker], float],
) -> int:
    """Return the time until this dispatcher's share of the workers has finished its backlog (microseconds).

    `mean_work` is the mean of the work hints (microseconds); each request counts with at least this work. `speed`
    gives the current speed of a worker.
    """
    max_retry_after = settings.max_retry_after
    capacity = roster.capacity.total(now, mean_work + 1.0, speed) / settings.dispatcher_count
    backlog = Backlog(requests.total_work(mean_work), capacity)
    if not backlog.is_order_independent(max_retry_after, len(requests) + len(roster.ready)):
        exact = sum(w.machine_type.slots * speed(w) for w in roster.ready if w.ejected_until <= now)
        backlog = Backlog(requests.total_work_in_order(mean_work), exact / settings.dispatcher_count)
    return backlog.drain_time(max_retry_after)
