"""Monotonic clocks of the simulated machines, each with its own offset and rate. All times are in microseconds."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

MILLISECOND = 1_000
SECOND = 1_000_000
RATE_ERROR = 0.01
"""Maximum relative error of a machine's clock rate."""
MAX_OFFSET = 10_000 * SECOND


@dataclass(frozen=True)
class Clock:
    """A clock that reads `offset + rate * true time`. A restarted process keeps its machine's clock."""

    offset: int
    rate: float

    def read(self, true_time: int) -> int:
        """Return this clock's reading at `true_time`."""
        return self.offset + int(true_time * self.rate)

    def when(self, reading: int) -> float:
        """Return the true time at which this clock reads `reading`."""
        return (reading - self.offset) / self.rate


def draw_clock(random: Random) -> Clock:
    """Draw a clock: its rate is at a bound in half of the cases, exact in a quarter and in between in a quarter."""
    rate = 1 + random.choice((-RATE_ERROR, RATE_ERROR, random.uniform(-RATE_ERROR, RATE_ERROR), 0.0))
    return Clock(random.randrange(MAX_OFFSET), rate)
