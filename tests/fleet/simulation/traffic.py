"""Request arrivals per team: Poisson or nearly even, distributed over the dispatchers with a skew drawn per team."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from functools import partial
from itertools import accumulate
from random import Random

from tests.fleet.simulation.clock import MILLISECOND, SECOND
from tests.fleet.simulation.nodes import Node
from tests.fleet.simulation.world import World

STEADY_GAPS = (0.75, 1.25)
"""Bounds of the gaps between arrivals in a steady phase, as multiples of the mean gap."""
CANCELED_SHARE = 0.02
MAX_CANCEL_DELAY_US = 5 * MILLISECOND


@dataclass(frozen=True)
class Phase:
    """A period in which each team has a constant mean request rate, in requests per second."""

    start: int
    end: int
    rates: Mapping[str, float]
    canceled_share: float = 0.0
    """Share of requests whose client disconnects within `MAX_CANCEL_DELAY_US`."""
    steady: bool = False
    """Whether arrivals are nearly even instead of Poisson: then requests over quota cannot come from random bursts."""


def skewed_weights(random: Random, count: int) -> list[float]:
    """Draw the weights by which the requests of a team are distributed over `count` dispatchers.

    All weights are equal, only one is above zero, or the weights of a tenth of the dispatchers (at least one) or of all
    of them are 1 / rank.
    """
    kind = random.choice(("even", "one", "tenth", "falling"))
    if kind == "even":
        return [1.0] * count
    order = random.sample(range(count), count)
    busy = {"one": 1, "tenth": max(1, count // 10), "falling": count}[kind]
    return [1 / (1 + order[number]) if order[number] < busy else 0.0 for number in range(count)]


class Traffic:
    """Schedules arrivals in a world's queue, one at a time per team and phase."""

    def __init__(self, world: World, random: Random, even: bool = False) -> None:
        self._world = world
        self._random = random
        count = len(world.dispatchers)
        self._cumulative = {
            team: list(accumulate([1.0] * count if even else skewed_weights(random, count)))
            for team in sorted(world.setup.quotas)
        }

    def add(self, phase: Phase) -> None:
        """Schedule the arrivals of a phase from its start to its end."""
        for team, rate in sorted(phase.rates.items()):
            if rate > 0:
                self._schedule_next(phase, team, rate, phase.start)

    def _schedule_next(self, phase: Phase, team: str, rate: float, after: int) -> None:
        gap = self._random.uniform(*STEADY_GAPS) if phase.steady else self._random.expovariate(1.0)
        time = after + int(gap / rate * SECOND)
        if time < phase.end:
            self._world.at(time, partial(self._arrive, phase, team, rate))

    def _arrive(self, phase: Phase, team: str, rate: float) -> None:
        world, random = self._world, self._random
        node: Node = random.choices(world.dispatchers, cum_weights=self._cumulative[team])[0]
        request = world.request(node, team)
        if request is not None and phase.canceled_share and random.random() < phase.canceled_share:
            world.at(world.now + random.randrange(MAX_CANCEL_DELAY_US), partial(world.cancel, node, request))
        self._schedule_next(phase, team, rate, world.now)
