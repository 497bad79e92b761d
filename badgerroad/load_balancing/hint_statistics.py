"""Statistics of work hints and of clients' waits. They choose nothing."""

from collections import deque
from collections.abc import Iterable

from . import interface

LONG_SHARE = 0.03
"""The largest 3 percent of the hints seen are long, as in the LC* paper."""
SAMPLE_SIZE = 512
"""Hints kept for the cutoff."""
RENEW_EVERY = 64
"""Cutoff and mean are computed anew after so many hints; after each of the first ones."""


class HintStatistics:
    """Cutoff between short and long, and mean, of the hints (microseconds) of the last requests that a worker ran."""

    def __init__(self, classes: tuple[interface.RequestClass, ...]) -> None:
        """The mean of the classes' latency objectives stands in until the first hint."""
        self.sample: deque[int] = deque(maxlen=SAMPLE_SIZE)
        self.count = 0
        self.cutoff = 0
        self.mean = sum(request_class.latency_objective for request_class in classes) / max(len(classes), 1)

    def add(self, hint: int) -> None:
        """Count the hint of a request that a worker ran."""
        self.sample.append(hint)
        if self.count % RENEW_EVERY == 0 or self.count < RENEW_EVERY:
            self.cutoff = sorted(self.sample)[int(len(self.sample) * (1 - LONG_SHARE))]
            self.mean = sum(self.sample) / len(self.sample)
        self.count += 1

    def is_long(self, hint: int) -> bool:
        """Is it beyond the cutoff? Never before the first hint."""
        return hint > self.cutoff > 0


class ClientPatience:
    """How long clients of each class wait in all, as their first tries show (microseconds)."""

    def __init__(self) -> None:
        """Nothing is known of any class."""
        self.longest_wait: dict[str, int] = {}

    def keep(self, class_names: Iterable[str]) -> None:
        """Forget all classes but these."""
        names = set(class_names)
        self.longest_wait = {name: longest for name, longest in self.longest_wait.items() if name in names}

    def waited(self, request: interface.Request, request_class: interface.RequestClass, marks_retry: bool) -> int:
        """How long ago the client first sent this request: its latency objective counts from then.

        Where clients mark their retries, a request without the mark has not waited.
        """
        name = request_class.name
        first = min(request.time_left, request_class.deadline)
        if not marks_retry:
            first = max(self.longest_wait.get(name, 0), first)
        elif request.client_retry:
            first = self.longest_wait.get(name, first)
        self.longest_wait[name] = first
        return max(first - request.time_left, 0)
