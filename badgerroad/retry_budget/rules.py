"""Limits the retries of each request class to a share of its first attempts, in a rolling window. No I/O, no clock.

Without the limit, when a third of the fleet is faulty, every request sent to a faulty worker is retried, and the
healthy workers get these retries on top of their own load. An attempt that the budget rejects is never sent; the
dispatch policy is notified that the attempt is moot and decides what happens to the request. Times are microseconds.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import NamedTuple

# Number of parts of a window. Counts leave the window one part at a time, so the window is up to one part longer than
# configured.
WINDOW_PARTS = 10
# Share of the budget that hedged requests may use; the rest is for requests that have no attempt in flight any more.
HEDGING_SHARE = 0.5


class AttemptCounts(NamedTuple):
    """The numbers of first attempts and of retries of one class in the present window."""

    first: int
    retries: int


@dataclass(slots=True)
class WindowPart:
    """The numbers of first attempts and of retries in one part of a window."""

    number: int  # consecutive number of the part, counted from the clock's zero
    first: int = 0
    retries: int = 0


class Window:
    """First attempts and retries of one class in a rolling window."""

    def __init__(self) -> None:
        """Start with an empty window."""
        self.first = 0
        self.retries = 0
        self._parts: deque[WindowPart] = deque()

    def advance(self, number: int) -> WindowPart:
        """Drop the parts that have left the window when `number` is the present part; returns the present part."""
        parts = self._parts
        while parts and parts[0].number < number - WINDOW_PARTS:
            oldest = parts.popleft()
            self.first -= oldest.first
            self.retries -= oldest.retries
        if not parts or parts[-1].number != number:
            parts.append(WindowPart(number))
        return parts[-1]

    def count_first(self, number: int) -> None:
        """Count a first attempt in the part `number`."""
        self.advance(number).first += 1
        self.first += 1

    def count_retry(self, number: int) -> None:
        """Count a retry in the part `number`."""
        self.advance(number).retries += 1
        self.retries += 1


class RetryBudget:
    """The retry budgets of all request classes."""

    def __init__(self, share: float, min_retries: int, window_us: int) -> None:
        """`share`: number of retries allowed for each first attempt; may be a fraction.

        `min_retries`: retries allowed in a window in any case, so that classes with little traffic can retry.
        """
        self._share = share
        self._min_retries = min_retries
        self._part_us = max(window_us // WINDOW_PARTS, 1)
        self._windows: dict[str, Window] = {}
        self._exhausted_reported_at: dict[str, int] = {}

    def _window(self, request_class: str) -> Window:
        return self._windows.setdefault(request_class, Window())

    def count_first(self, request_class: str, now: int) -> None:
        """Count a request's first attempt, which is sent at `now`."""
        self._window(request_class).count_first(now // self._part_us)

    def allow_retry(self, request_class: str, now: int, hedged: bool) -> bool:
        """Whether a retry may be sent; if so, it is counted.

        `hedged`: the request has another attempt in flight.
        """
        window = self._window(request_class)
        number = now // self._part_us
        window.advance(number)
        budget = self._min_retries + self._share * window.first
        if window.retries + 1 > budget * (HEDGING_SHARE if hedged else 1.0):
            return False
        window.count_retry(number)
        return True

    def should_report_exhausted(self, request_class: str, now: int) -> bool:
        """Whether to report now that the budget is exhausted, which is done once in a window for each class."""
        window_us = WINDOW_PARTS * self._part_us
        due = now - self._exhausted_reported_at.get(request_class, -window_us) >= window_us
        if due:
            self._exhausted_reported_at[request_class] = now
        return due

    def counts(self, request_class: str, now: int) -> AttemptCounts:
        """Return the numbers of first attempts and of retries of a class in the present window."""
        window = self._window(request_class)
        window.advance(now // self._part_us)
        return AttemptCounts(window.first, window.retries)
