"""Statistics of work hints and of client time-outs."""

from collections import deque
from collections.abc import Iterable

from . import interface

LONG_SHARE = 0.03
"""Share of requests that count as long, those with the largest hints: 3 percent, as in the LC* paper."""
SAMPLE_SIZE = 512
"""Number of recent hints that are kept to compute the cutoff and the mean."""
RECOMPUTE_EVERY = 64
"""Number of new hints after which the cutoff and the mean are recomputed.

During the first hints, up to this number, they are recomputed with each hint."""


class HintStatistics:
    """Cutoff of long requests, and mean work, computed from the hints (microseconds) of recent requests that ran."""

    def __init__(self, classes: tuple[interface.RequestClass, ...]) -> None:
        """The mean latency objective of the classes is used as the mean work until the first hint."""
        self.sample: deque[int] = deque(maxlen=SAMPLE_SIZE)
        self.count = 0
        self.cutoff = 0
        self.mean = sum(request_class.latency_objective for request_class in classes) / max(len(classes), 1)

    def add(self, hint: int) -> None:
        """Add the hint of a request that a worker ran."""
        self.sample.append(hint)
        if self.count % RECOMPUTE_EVERY == 0 or self.count < RECOMPUTE_EVERY:
            self.cutoff = sorted(self.sample)[int(len(self.sample) * (1 - LONG_SHARE))]
            self.mean = sum(self.sample) / len(self.sample)
        self.count += 1

    def is_long(self, hint: int) -> bool:
        """Return whether the hint is above the cutoff; always False before the first hint."""
        return hint > self.cutoff > 0


class ClientTimeouts:
    """Estimated client time-outs by request class (microseconds), taken from the first tries of requests."""

    def __init__(self) -> None:
        """Starts without estimates."""
        self.longest_timeout: dict[str, int] = {}

    def retain(self, class_names: Iterable[str]) -> None:
        """Remove the estimates of all classes except these."""
        names = set(class_names)
        self.longest_timeout = {name: longest for name, longest in self.longest_timeout.items() if name in names}

    def time_waited(self, request: interface.Request, request_class: interface.RequestClass, marks_retry: bool) -> int:
        """Return the time since the client first sent the request, from which its latency objective counts.

        If clients mark their retries, a request without the mark has not waited.
        """
        name = request_class.name
        timeout = min(request.time_left, request_class.deadline)
        if not marks_retry:
            timeout = max(self.longest_timeout.get(name, 0), timeout)
        elif request.client_retry:
            timeout = self.longest_timeout.get(name, timeout)
        self.longest_timeout[name] = timeout
        return max(timeout - request.time_left, 0)
