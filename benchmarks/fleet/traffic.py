"""Teams, their quotas and seeded open-loop arrivals. No clock and no I/O.

Quotas follow Zipf's law (the quota of rank r is proportional to 1/r), and each team's traffic is the same multiple of
its quota. Arrivals are Poisson at each dispatcher; open loop means that an arrival never waits for the response to an
earlier one.
"""

from __future__ import annotations

import random
from collections.abc import Iterator, Sequence
from itertools import accumulate
from typing import NamedTuple

TEAMS = 510
TOTAL_QUOTA = 450.0  # requests a second, over all teams


class Arrival(NamedTuple):
    """One request. `at`: seconds since the start of the traffic; `team`: index of its team."""

    at: float
    team: int


def team_names(teams: int = TEAMS) -> list[str]:
    """Return the names of the teams; index 0 has the largest quota."""
    return [f"team-{index:03}" for index in range(teams)]


def quotas(teams: int = TEAMS, total: float = TOTAL_QUOTA) -> list[float]:
    """Return the quota of each team, in requests per second, rounded to a thousandth."""
    weights = [1 / (rank + 1) for rank in range(teams)]
    scale = total / sum(weights)
    return [round(weight * scale, 3) for weight in weights]


def busy_dispatchers(dispatchers: int, share: float, seed: int) -> list[int]:
    """Return the dispatchers that get traffic: all of them, or a seeded sample of the given share."""
    if share >= 1:
        return list(range(dispatchers))
    count = max(1, round(dispatchers * share))
    return sorted(random.Random(f"busy {seed}").sample(range(dispatchers), count))


def arrivals(rates: Sequence[float], rate: float, seed: int, dispatcher: int) -> Iterator[Arrival]:
    """Yield endless arrivals at one dispatcher, `rate` requests per second, of teams drawn in proportion to `rates`."""
    draw = random.Random(f"arrivals {seed} {dispatcher}")
    cumulative = list(accumulate(rates))
    indices = range(len(rates))
    at = 0.0
    while True:
        at += draw.expovariate(rate)
        yield Arrival(at, draw.choices(indices, cum_weights=cumulative)[0])
