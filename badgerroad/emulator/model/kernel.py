"""Time and chance of a run: an event queue over whole microseconds, and named streams of random numbers."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from math import exp, log
from typing import Any
from zlib import crc32

import numpy as np

SEC = 1_000_000
BLOCK = 512  # numbers drawn at once: a scalar draw costs numpy more than all the rest of an event


class Entry:
    """One event to come. `cancel` makes it void; it stays in the queue until its time."""

    __slots__ = ("when", "call", "args")

    def __init__(self, when: int, call: Callable[..., Any], args: tuple[Any, ...]) -> None:
        """Play `call(*args)` at `when` (microseconds)."""
        self.when, self.call, self.args = when, call, args

    def cancel(self) -> None:
        """It is not played."""
        self.call = _nothing
        self.args = ()


def _nothing() -> None:
    """Stands in for a cancelled event."""


class Kernel:
    """Events in the order of their time and, at one time, of their making: the order does not depend on hashes."""

    def __init__(self, now: int = 0) -> None:
        """`now`: the time at the start, in microseconds."""
        self.now, self.played = now, 0
        self._queue: list[tuple[int, int, Entry]] = []
        self._made = 0

    def at(self, when: int, call: Callable[..., Any], *args: Any) -> Entry:
        """Play `call(*args)` at `when` (microseconds), now at the earliest."""
        entry = Entry(when if when > self.now else self.now, call, args)
        self._made += 1
        heappush(self._queue, (entry.when, self._made, entry))
        return entry

    def after(self, delay: float, call: Callable[..., Any], *args: Any) -> Entry:
        """Play `call(*args)` after `delay` microseconds."""
        return self.at(self.now + int(delay), call, *args)

    @property
    def next(self) -> int:
        """When the next event is due, or -1 if there is none."""
        return self._queue[0][0] if self._queue else -1

    def run(self, until: int) -> None:
        """Play all that is due up to `until`, which is then the time."""
        queue = self._queue
        while queue and queue[0][0] <= until:
            when, _, entry = heappop(queue)
            self.now = when
            if entry.call is not _nothing:
                self.played += 1
                entry.call(*entry.args)
        self.now = max(self.now, until)


class Draws:
    """One named stream of a run's seed. Streams are independent: a scenario that draws more of one kind of thing
    leaves all others as they were, which is what makes paired comparisons sharp (numpy SeedSequence, spawn keys)."""

    def __init__(self, seed: int, name: str) -> None:
        """The stream called `name` of a run with this seed."""
        sequence = np.random.SeedSequence(seed, spawn_key=(crc32(name.encode()),))
        self.generator = np.random.Generator(np.random.PCG64(sequence))
        self._block: list[float] = []

    def random(self) -> float:
        """Uniform in [0, 1)."""
        if not self._block:
            self._block = self.generator.random(BLOCK).tolist()
        return self._block.pop()

    def uniform(self, low: float, high: float) -> float:
        """Uniform from `low` to `high`."""
        return low + (high - low) * self.random()

    def exponential(self, mean: float) -> float:
        """Exponential with this mean."""
        return -mean * log(1.0 - self.random())

    def lognormal(self, mean: float, cv: float) -> float:
        """Lognormal with this mean and coefficient of variation (standard deviation over mean)."""
        if cv <= 0:
            return mean
        variance = log(1 + cv * cv)
        return mean * exp(float(self.generator.normal(-variance / 2, variance**0.5)))

    def index(self, weights: list[float]) -> int:
        """A place in the list, with these odds."""
        mark = self.random() * sum(weights)
        for n, weight in enumerate(weights):
            mark -= weight
            if mark < 0:
                return n
        return len(weights) - 1

    def choose(self, count: int, of: int) -> list[int]:
        """`count` different places out of `of`, in rising order."""
        return sorted(int(n) for n in self.generator.choice(of, size=min(count, of), replace=False))
