"""Event queue in whole microseconds, and named random number streams."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from math import exp, log
from typing import Any
from zlib import crc32

import numpy as np

SEC = 1_000_000
BLOCK_SIZE = 512  # random numbers drawn at once, because one scalar numpy draw takes longer than the rest of an event


class ScheduledCall:
    """A call scheduled in the event queue; a cancelled call stays in the queue until its time but does nothing."""

    __slots__ = ("when", "call", "args")

    def __init__(self, when: int, call: Callable[..., Any], args: tuple[Any, ...]) -> None:
        """Schedule `call(*args)` at `when` (microseconds)."""
        self.when, self.call, self.args = when, call, args

    def cancel(self) -> None:
        """Prevent the call."""
        self.call = _do_nothing
        self.args = ()


def _do_nothing() -> None:
    """Replace the call of a cancelled ScheduledCall."""


class Kernel:
    """Runs events by time, and in order of scheduling for equal times, so that runs are reproducible."""

    def __init__(self, now: int = 0) -> None:
        """`now`: start time in microseconds."""
        self.now, self.executed = now, 0
        self._queue: list[tuple[int, int, ScheduledCall]] = []
        self._scheduled = 0

    def at(self, when: int, call: Callable[..., Any], *args: Any) -> ScheduledCall:
        """Schedule `call(*args)` at `when` (microseconds); a time in the past means now."""
        entry = ScheduledCall(when if when > self.now else self.now, call, args)
        self._scheduled += 1
        heappush(self._queue, (entry.when, self._scheduled, entry))
        return entry

    def after(self, delay: float, call: Callable[..., Any], *args: Any) -> ScheduledCall:
        """Schedule `call(*args)` after `delay` microseconds."""
        return self.at(self.now + int(delay), call, *args)

    @property
    def next(self) -> int:
        """Time of the next event, or -1 if there is none."""
        return self._queue[0][0] if self._queue else -1

    def run(self, until: int) -> None:
        """Run all events due up to `until` and set the time to `until`."""
        queue = self._queue
        while queue and queue[0][0] <= until:
            when, _, entry = heappop(queue)
            self.now = when
            if entry.call is not _do_nothing:
                self.executed += 1
                entry.call(*entry.args)
        self.now = max(self.now, until)


class Draws:
    """A named random number stream of a run, derived from the seed by numpy SeedSequence spawn keys.

    Streams are independent: additional draws from one do not change the others. Paired comparisons of runs therefore
    differ only in what was changed.
    """

    def __init__(self, seed: int, name: str) -> None:
        """Create the stream `name` of a run with this seed."""
        sequence = np.random.SeedSequence(seed, spawn_key=(crc32(name.encode()),))
        self.generator = np.random.Generator(np.random.PCG64(sequence))
        self._block: list[float] = []

    def random(self) -> float:
        """Draw uniformly from [0, 1)."""
        if not self._block:
            self._block = self.generator.random(BLOCK_SIZE).tolist()
        return self._block.pop()

    def uniform(self, low: float, high: float) -> float:
        """Draw uniformly from `low` to `high`."""
        return low + (high - low) * self.random()

    def exponential(self, mean: float) -> float:
        """Draw from the exponential distribution with this mean."""
        return -mean * log(1.0 - self.random())

    def lognormal(self, mean: float, cv: float) -> float:
        """Draw from the lognormal distribution; `cv` is the coefficient of variation (standard deviation / mean)."""
        if cv <= 0:
            return mean
        variance = log(1 + cv * cv)
        return mean * exp(float(self.generator.normal(-variance / 2, variance**0.5)))

    def index(self, weights: list[float]) -> int:
        """Draw a list index with probability proportional to its weight."""
        position = self.random() * sum(weights)
        for index, weight in enumerate(weights):
            position -= weight
            if position < 0:
                return index
        return len(weights) - 1

    def choose(self, count: int, population: int) -> list[int]:
        """Draw `count` distinct indices below `population`, sorted."""
        return sorted(
            int(index) for index in self.generator.choice(population, size=min(count, population), replace=False)
        )
