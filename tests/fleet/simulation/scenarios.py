"""Single scenarios at full size: what a fault leaves unused of the quotas, what goes over them, and for how long."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from badgerroad.fleet.rules.lease_transfer import LeaseExport
from tests.fleet.simulation import faults
from tests.fleet.simulation.clock import SECOND
from tests.fleet.simulation.faults import Fault
from tests.fleet.simulation.network import Parcel
from tests.fleet.simulation.nodes import Node
from tests.fleet.simulation.owners_oracle import OwnersOracle
from tests.fleet.simulation.requests_oracle import RequestsOracle
from tests.fleet.simulation.setups import Setup, large_setup
from tests.fleet.simulation.traffic import Phase, Traffic
from tests.fleet.simulation.violations import Findings
from tests.fleet.simulation.world import World

FAULT_AT = 60 * SECOND
"""Before it the fleet starts and fills its stocks."""
AFTER = 30 * SECOND
"""How long a scenario goes on after its last fault."""
FULL = 0.95
"""Share of what was used in a second before the fault from which on the quota counts as fully used again."""
WINDOW = 3
"""Seconds over which use is averaged to tell whether it is full again: a single one has too few requests."""
DEMAND = 2.0
"""Requests as a multiple of the quota."""


@dataclass
class Usage:
    """Requests let through, by second and shard or zone."""

    world: World
    by_shard: defaultdict[tuple[int, int], int] = field(default_factory=lambda: defaultdict(int))
    by_zone: defaultdict[tuple[int, str], int] = field(default_factory=lambda: defaultdict(int))
    teams: dict[int, str] = field(default_factory=dict)

    def requested(self, node: Node, request: int, team: str) -> None:
        self.teams[request] = team

    def forgotten(self, node: Node, request: int) -> None:
        self.teams.pop(request, None)

    def decided(self, node: Node, request: int, over_quota: bool) -> None:
        team = self.teams.pop(request)
        if not over_quota:
            second = self.world.now // SECOND
            self.by_shard[second, self.world.setup.settings.shard_of(team)] += 1
            self.by_zone[second, node.zone] += 1

    def sent(self, node: Node, to: str, message: Any) -> None:
        """Not counted."""

    def delivered(self, node: Node, parcel: Parcel) -> None:
        """Not counted."""

    def stepped(self, node: Node) -> None:
        """Not counted."""

    def died(self, node: Node) -> None:
        """Not counted."""

    def handed_over(self, node: Node, successor: Node, exported: LeaseExport) -> None:
        """Not counted."""

    def quotas_changed(self, quotas: dict[str, float]) -> None:
        """Not counted."""


@dataclass(frozen=True)
class Scenario:
    """`faults`: drawn up when the fault begins, so that they can name the owner of that time."""

    name: str
    lasts: int
    faults: Callable[[World, OwnersOracle], list[Fault]]
    only_shards: Callable[[World, OwnersOracle], list[int]]


@dataclass(frozen=True)
class Figures:
    """What a scenario showed, of the shards that the fault concerns."""

    name: str
    shards: int
    before: float
    """Share of the quota that was used in the ten seconds before the fault."""
    least: float
    """The least that was used in a second since, as a share of what was used before."""
    unused_seconds: float
    """What was used less than before, as seconds of what was used before."""
    full_again_after: float | None
    """Seconds from the fault's begin till as much is used as before for the first time since; None: never."""
    full_for_good_after: float | None
    """The same for the last time: chance and shards handed back count too. None: not within the scenario."""
    most_over: float
    """The largest ratio of any team's meter to its bound."""
    violations: int


def run_scenario(scenario: Scenario, setup: Setup | None = None, seed: int = 1) -> tuple[Figures, Findings]:
    """Runs one scenario under the oracle."""
    setup = setup or large_setup()
    random = Random(seed)
    world = World(setup, random)
    findings = Findings()
    requests = RequestsOracle(world, findings)
    owners = OwnersOracle(world, findings, requests.reserve_zones.add)
    usage = Usage(world)
    world.watchers += [requests, owners, usage]
    end = FAULT_AT + scenario.lasts + AFTER
    demand = {team: DEMAND * quota for team, quota in setup.quotas.items()}
    Traffic(world, random, even=True).add(Phase(5 * SECOND, end, demand))
    world.start_all()
    world.run_until(FAULT_AT)
    shards = scenario.only_shards(world, owners)
    for fault in scenario.faults(world, owners):
        fault.apply(world)
    world.run_until(end)
    requests.finish()
    most_over = max(meter.most / (meter.depth + requests.reserve_stock(t)) for t, meter in requests.meters.items())
    return _figures(scenario, setup, usage, shards, most_over, sum(findings.counts.values())), findings


def _figures(
    scenario: Scenario, setup: Setup, usage: Usage, shards: list[int], most_over: float, violations: int
) -> Figures:
    quota = sum(rate for team, rate in setup.quotas.items() if setup.settings.shard_of(team) in shards)
    begin = FAULT_AT // SECOND
    last = (FAULT_AT + scenario.lasts + AFTER) // SECOND
    shares = [sum(usage.by_shard[second, shard] for shard in shards) / quota for second in range(last)]
    before = sum(shares[begin - 10 : begin]) / 10
    relative = [share / before for share in shares]
    means = [sum(relative[second - WINDOW + 1 : second + 1]) / WINDOW for second in range(begin, last)]
    return Figures(
        scenario.name,
        len(shards),
        before,
        min(relative[begin:]),
        sum(1 - mean for mean in means if mean < FULL),
        _full_again_after(means),
        _full_for_good_after(means),
        most_over,
        violations,
    )


def _full_again_after(means: list[float]) -> float | None:
    """Seconds till the first full window after the first that isn't."""
    low = next((second for second, mean in enumerate(means) if mean < FULL), None)
    if low is None:
        return 0.0
    return next((float(second) for second in range(low, len(means)) if means[second] >= FULL), None)


def _full_for_good_after(means: list[float]) -> float | None:
    """Seconds till the last window that isn't full is over."""
    low = [second for second, mean in enumerate(means) if mean < FULL]
    if not low:
        return 0.0
    return float(low[-1] + 1) if low[-1] + 1 < len(means) else None


def all_shards(world: World, owners: OwnersOracle) -> list[int]:
    """Every shard."""
    return list(range(world.setup.settings.shards))


def shards_of_first_owner(world: World, owners: OwnersOracle) -> list[int]:
    """The shards of the owner of shard 0."""
    name = _owner_name(owners)
    return [shard for shard in all_shards(world, owners) if (o := owners.owner_of(shard)) and o.name == name]


def _owner_name(owners: OwnersOracle) -> str:
    owner = owners.owner_of(0)
    assert owner is not None, "shard 0 has no owner before the fault"
    return owner.name


def region_cut(minutes: int) -> Scenario:
    """The zones of one region hear nobody outside of it."""
    lasts = minutes * 60 * SECOND

    def draw(world: World, owners: OwnersOracle) -> list[Fault]:
        inside = set(world.setup.zones_of_region(world.setup.regions[1]))
        outside = set(world.setup.zones) - inside
        pairs = {(one, other) for one in inside for other in outside}
        pairs |= {(other, one) for one, other in pairs}
        return [faults.Cut(world.now, world.now + lasts, frozenset(pairs))]

    return Scenario(f"a region cut off for {minutes} min", lasts, draw, all_shards)


def zone_lost() -> Scenario:
    """A zone's controller and dispatchers die, and come back after half a minute."""
    lasts = 30 * SECOND

    def draw(world: World, owners: OwnersOracle) -> list[Fault]:
        zone = world.nodes[_owner_name(owners)].zone
        names = tuple(name for name, node in world.nodes.items() if node.zone == zone)
        return [faults.Kill(world.now, world.now + lasts, names, silent=True)]

    return Scenario("a zone lost for 30 s", lasts, draw, all_shards)


def owner_killed() -> Scenario:
    """An owner dies for good."""

    def draw(world: World, owners: OwnersOracle) -> list[Fault]:
        return [faults.Kill(world.now, world.now + 600 * SECOND, (_owner_name(owners),))]

    return Scenario("an owner killed (its shards)", 0, draw, shards_of_first_owner)


def owner_stopped() -> Scenario:
    """An owner is stopped for longer than its lease, and goes on."""
    lasts = 8 * SECOND

    def draw(world: World, owners: OwnersOracle) -> list[Fault]:
        return [faults.Stop(world.now, world.now + lasts, _owner_name(owners), between_clock_and_send=True)]

    return Scenario("an owner stopped for 8 s (its shards)", lasts, draw, shards_of_first_owner)


def dispatchers_restarted() -> Scenario:
    """Seven in ten dispatchers die at once and come back after a second."""

    def draw(world: World, owners: OwnersOracle) -> list[Fault]:
        names = [node.name for node in world.dispatchers]
        chosen = Random(1).sample(names, len(names) * 7 // 10)
        return [faults.Kill(world.now, world.now + SECOND, tuple(chosen))]

    return Scenario("seven in ten dispatchers restarted", SECOND, draw, all_shards)


def rolling_restart() -> Scenario:
    """Each controller ends gracefully in its turn and is back half a second later."""
    step = 3 * SECOND

    def draw(world: World, owners: OwnersOracle) -> list[Fault]:
        return [
            faults.Drain(world.now + number * step, world.now + number * step + 10 * SECOND, node.name, SECOND // 2)
            for number, node in enumerate(world.controllers)
        ]

    return Scenario("rolling restart of the controllers, one in 3 s", 19 * step + 10 * SECOND, draw, all_shards)


def no_fault() -> Scenario:
    """Nothing happens: what the others are compared with."""
    return Scenario("no fault", 30 * SECOND, lambda world, owners: [], all_shards)


SCENARIOS: tuple[Callable[[], Scenario], ...] = (
    no_fault,
    lambda: region_cut(2),
    zone_lost,
    owner_killed,
    owner_stopped,
    dispatchers_restarted,
    rolling_restart,
)
