"""Queue of the requests that wait for a worker. The policy decides which requests are queued and sent."""

from bisect import bisect_left, insort

from .pending_requests import PendingRequest

QUEUE_CHECK_INTERVAL_US = 50_000
"""Interval at which the queue is processed while it is not empty."""


class WaitingQueue:
    """Queued requests in order of the latest start that still meets the objective, the most urgent first."""

    def __init__(self) -> None:
        """Starts empty."""
        self._entries: list[tuple[int, int, PendingRequest]] = []

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._entries)

    def __getitem__(self, position: int) -> PendingRequest:
        """Return the request at a position; 0 is the most urgent."""
        return self._entries[position][2]

    def add(self, request: PendingRequest) -> None:
        """Insert the request by its `latest_start`."""
        request.queued = True
        insort(self._entries, (request.latest_start, request.id, request))

    def remove(self, request: PendingRequest) -> None:
        """Remove the request if it is queued."""
        if request.queued:
            request.queued = False
            del self._entries[bisect_left(self._entries, (request.latest_start, request.id))]
