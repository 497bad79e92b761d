"""The requests that wait here for a worker, in order. Who waits and who goes where is decided by the policy."""

from bisect import bisect_left, insort

from .pending_requests import PendingRequest

RECHECK_US = 50_000
"""The queue is examined this often at least."""


class WaitingQueue:
    """Queued requests by the latest start that still meets the objective, the most urgent first."""

    def __init__(self) -> None:
        """An empty queue."""
        self._entries: list[tuple[int, int, PendingRequest]] = []

    def __len__(self) -> int:
        """The number of queued requests."""
        return len(self._entries)

    def __getitem__(self, position: int) -> PendingRequest:
        """The request at a position, 0 the most urgent."""
        return self._entries[position][2]

    def add(self, request: PendingRequest) -> None:
        """Queue the request by its `latest_start`."""
        request.queued = True
        insort(self._entries, (request.latest_start, request.id, request))

    def remove(self, request: PendingRequest) -> None:
        """Take it out, if it is queued."""
        if request.queued:
            request.queued = False
            del self._entries[bisect_left(self._entries, (request.latest_start, request.id))]
