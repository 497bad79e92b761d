"""The retry budget: retries are at most a share of first attempts, by class, over a rolling window. No I/O, no clock.

Without it, when a third of the fleet is faulty each request that meets it is retried, and the workers that are left get
the retries on top of their own load. An attempt that the budget rejects is never sent; the decisions are notified that
it is moot and continue from there. Times are microseconds.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import NamedTuple

PARTS = 10  # of a window: counts leave it by parts, so it is up to a part longer than configured
# Of the budget for hedged requests: the rest is for requests that have no attempt in flight any more.
HEDGING_SHARE = 0.5


class AttemptCounts(NamedTuple):
    """Attempts that count now."""

    first: int
    retries: int


@dataclass(slots=True)
class WindowPart:
    """The attempts in one part of a window."""

    number: int  # since the clock's zero
    first: int = 0
    retries: int = 0


class Window:
    """First attempts and retries of one class in a rolling window."""

    def __init__(self) -> None:
        """Nothing is counted yet."""
        self.first = 0
        self.retries = 0
        self._parts: deque[WindowPart] = deque()

    def advance(self, number: int) -> WindowPart:
        """Drop what has left the window; the part `number`, in which attempts count now."""
        parts = self._parts
        while parts and parts[0].number < number - PARTS:
            oldest = parts.popleft()
            self.first -= oldest.first
            self.retries -= oldest.retries
        if not parts or parts[-1].number != number:
            parts.append(WindowPart(number))
        return parts[-1]

    def count_first(self, number: int) -> None:
        """Count a first attempt in a part."""
        self.advance(number).first += 1
        self.first += 1

    def count_retry(self, number: int) -> None:
        """Count a retry in a part."""
        self.advance(number).retries += 1
        self.retries += 1


class RetryBudget:
    """The budgets of all classes."""

    def __init__(self, share: float, min_retries: int, window_us: int) -> None:
        """`share`: retries for each first attempt. `min_retries`: always allowed in a window, for low traffic."""
        self._share = share
        self._min_retries = min_retries
        self._part_us = max(window_us // PARTS, 1)
        self._windows: dict[str, Window] = {}
        self._exhausted_reported_at: dict[str, int] = {}

    def _window(self, request_class: str) -> Window:
        return self._windows.setdefault(request_class, Window())

    def count_first(self, request_class: str, now: int) -> None:
        """A request's first attempt is sent."""
        self._window(request_class).count_first(now // self._part_us)

    def allow_retry(self, request_class: str, now: int, hedged: bool) -> bool:
        """Whether a retry may be sent; if so it is counted. `hedged`: in addition to an attempt in flight."""
        window = self._window(request_class)
        number = now // self._part_us
        window.advance(number)
        budget = self._min_retries + self._share * window.first
        if window.retries + 1 > budget * (HEDGING_SHARE if hedged else 1.0):
            return False
        window.count_retry(number)
        return True

    def should_report_exhausted(self, request_class: str, now: int) -> bool:
        """Whether it is time to report that the budget is exhausted: once a window for each class."""
        window_us = PARTS * self._part_us
        due = now - self._exhausted_reported_at.get(request_class, -window_us) >= window_us
        if due:
            self._exhausted_reported_at[request_class] = now
        return due

    def counts(self, request_class: str, now: int) -> AttemptCounts:
        """The attempts that count now."""
        window = self._window(request_class)
        window.advance(now // self._part_us)
        return AttemptCounts(window.first, window.retries)
