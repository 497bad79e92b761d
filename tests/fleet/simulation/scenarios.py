"""Scenarios with one fault at full fleet size, measuring quota left unused, quota exceeded, and the recovery time."""

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

FAULT_AT_US = 60 * SECOND
"""True time of the fault. The time before it lets the fleet start and the zones and dispatchers acquire leases."""
OBSERVATION_US = 30 * SECOND
"""Time simulated after the last fault has ended."""
FULL_USAGE_SHARE = 0.95
"""Share of the usage before the fault at or above which the quota counts as fully used."""
WINDOW_S = 3
"""Seconds over which usage is averaged, because a single second has too few requests to judge recovery."""
DEMAND_FACTOR = 2.0
"""Request rate of each team as a multiple of its quota."""


@dataclass
class Usage:
    """Counts requests admitted within quota, by second and shard and by second and zone."""

    world: World
    by_shard: defaultdict[tuple[int, int], int] = field(default_factory=lambda: defaultdict(int))
    by_zone: defaultdict[tuple[int, str], int] = field(default_factory=lambda: defaultdict(int))
    teams: dict[int, str] = field(default_factory=dict)

    def requested(self, node: Node, request: int, team: str) -> None:
        self.teams[request] = team

    def canceled(self, node: Node, request: int) -> None:
        self.teams.pop(request, None)

    def decided(self, node: Node, request: int, over_quota: bool) -> None:
        team = self.teams.pop(request)
        if not over_quota:
            second = self.world.now // SECOND
            self.by_shard[second, self.world.setup.settings.shard_of(team)] += 1
            self.by_zone[second, node.zone] += 1

    def sent(self, node: Node, to: str, message: Any) -> None:
        """Do nothing, because only decisions on requests are counted."""

    def delivered(self, node: Node, parcel: Parcel) -> None:
        """Do nothing, because only decisions on requests are counted."""

    def stepped(self, node: Node) -> None:
        """Do nothing, because only decisions on requests are counted."""

    def died(self, node: Node) -> None:
        """Do nothing, because only decisions on requests are counted."""

    def handed_over(self, node: Node, successor: Node, exported: LeaseExport) -> None:
        """Do nothing, because only decisions on requests are counted."""

    def quotas_changed(self, quotas: dict[str, float]) -> None:
        """Do nothing, because only decisions on requests are counted."""


@dataclass(frozen=True)
class Scenario:
    """One fault scenario.

    `duration`: time from the first fault's start to the last fault's end, in microseconds. `faults` is called when the
    first fault begins, so that it can name the shard's owner at that time. `measured_shards` returns the shards whose
    quota usage is measured.
    """

    name: str
    duration: int
    faults: Callable[[World, OwnersOracle], list[Fault]]
    measured_shards: Callable[[World, OwnersOracle], list[int]]


@dataclass(frozen=True)
class Figures:
    """Measurements of one scenario, over the shards that the fault affects."""

    name: str
    shards: int
    before: float
    """Share of the quota used in the ten seconds before the fault."""
    lowest: float
    """Lowest usage in any second after the fault, as a share of `before`."""
    unused_seconds: float
    """Usage lost compared with `before`, in seconds of usage at that level."""
    full_again_after: float | None
    """Seconds from the fault's start until usage first recovers; None if it does not recover during the run."""
    full_for_good_after: float | None
    """Seconds from the fault's start until usage recovers for the last time; None if it is low at the end of the run.

    Random dips and dips while shards are handed back to a restarted controller count as well.
    """
    max_meter_ratio: float
    """Highest ratio of a team's quota meter to its bound, over all teams."""
    violations: int


def run_scenario(scenario: Scenario, setup: Setup | None = None, seed: int = 1) -> tuple[Figures, Findings]:
    """Run one scenario, checked by the oracle, and return its measurements and violations."""
    setup = setup or large_setup()
    random = Random(seed)
    world = World(setup, random)
    findings = Findings()
    requests = RequestsOracle(world, findings)
    owners = OwnersOracle(world, findings, requests.reserve_zones.add)
    usage = Usage(world)
    world.watchers += [requests, owners, usage]
    end = FAULT_AT_US + scenario.duration + OBSERVATION_US
    demand = {team: DEMAND_FACTOR * quota for team, quota in setup.quotas.items()}
    Traffic(world, random, even=True).add(Phase(5 * SECOND, end, demand))
    world.start_all()
    world.run_until(FAULT_AT_US)
    shards = scenario.measured_shards(world, owners)
    for fault in scenario.faults(world, owners):
        fault.apply(world)
    world.run_until(end)
    requests.finish()
    max_meter_ratio = max(
        meter.max_level / (meter.depth + requests.reserve_stock(t)) for t, meter in requests.meters.items()
    )
    return _figures(scenario, setup, usage, shards, max_meter_ratio, sum(findings.counts.values())), findings


def _figures(
    scenario: Scenario, setup: Setup, usage: Usage, shards: list[int], max_meter_ratio: float, violations: int
) -> Figures:
    quota = sum(rate for team, rate in setup.quotas.items() if setup.settings.shard_of(team) in shards)
    begin = FAULT_AT_US // SECOND
    last = (FAULT_AT_US + scenario.duration + OBSERVATION_US) // SECOND
    shares = [sum(usage.by_shard[second, shard] for shard in shards) / quota for second in range(last)]
    before = sum(shares[begin - 10 : begin]) / 10
    relative = [share / before for share in shares]
    means = [sum(relative[second - WINDOW_S + 1 : second + 1]) / WINDOW_S for second in range(begin, last)]
    return Figures(
        scenario.name,
        len(shards),
        before,
        min(relative[begin:]),
        sum(1 - mean for mean in means if mean < FULL_USAGE_SHARE),
        _full_again_after(means),
        _full_for_good_after(means),
        max_meter_ratio,
        violations,
    )


def _full_again_after(means: list[float]) -> float | None:
    """Return the seconds until usage is first full after being low; 0 if it is never low, None if it stays low."""
    low = next((second for second, mean in enumerate(means) if mean < FULL_USAGE_SHARE), None)
    if low is None:
        return 0.0
    return next((float(second) for second in range(low, len(means)) if means[second] >= FULL_USAGE_SHARE), None)


def _full_for_good_after(means: list[float]) -> float | None:
    """Return the seconds after which usage is never low again; 0 if it is never low, None if it is low at the end."""
    low = [second for second, mean in enumerate(means) if mean < FULL_USAGE_SHARE]
    if not low:
        return 0.0
    return float(low[-1] + 1) if low[-1] + 1 < len(means) else None


def all_shards(world: World, owners: OwnersOracle) -> list[int]:
    """Return every shard."""
    return list(range(world.setup.settings.shards))


def shards_of_first_owner(world: World, owners: OwnersOracle) -> list[int]:
    """Return the shards owned by the owner of shard 0."""
    name = _owner_name(owners)
    return [shard for shard in all_shards(world, owners) if (o := owners.owner_of(shard)) and o.name == name]


def _owner_name(owners: OwnersOracle) -> str:
    owner = owners.owner_of(0)
    assert owner is not None, "shard 0 has no owner before the fault"
    return owner.name


def region_cut(minutes: int) -> Scenario:
    """Partition one region from all others, in both directions."""
    duration = minutes * 60 * SECOND

    def draw(world: World, owners: OwnersOracle) -> list[Fault]:
        inside = set(world.setup.zones_of_region(world.setup.regions[1]))
        outside = set(world.setup.zones) - inside
        pairs = {(one, other) for one in inside for other in outside}
        pairs |= {(other, one) for one, other in pairs}
        return [faults.Cut(world.now, world.now + duration, frozenset(pairs))]

    return Scenario(f"a region cut off for {minutes} min", duration, draw, all_shards)


def zone_lost() -> Scenario:
    """Kill a zone's controller and dispatchers with their machines, and restart them after 30 s."""
    duration = 30 * SECOND

    def draw(world: World, owners: OwnersOracle) -> list[Fault]:
        zone = world.nodes[_owner_name(owners)].zone
        names = tuple(name for name, node in world.nodes.items() if node.zone == zone)
        return [faults.Kill(world.now, world.now + duration, names, silent=True)]

    return Scenario("a zone lost for 30 s", duration, draw, all_shards)


def owner_killed() -> Scenario:
    """Kill the owner of shard 0 and do not restart it within the scenario."""

    def draw(world: World, owners: OwnersOracle) -> list[Fault]:
        return [faults.Kill(world.now, world.now + 600 * SECOND, (_owner_name(owners),))]

    return Scenario("an owner killed (its shards)", 0, draw, shards_of_first_owner)


def owner_stopped() -> Scenario:
    """Pause the owner of shard 0 for longer than its ownership lease, then resume it."""
    duration = 8 * SECOND

    def draw(world: World, owners: OwnersOracle) -> list[Fault]:
        return [faults.Stop(world.now, world.now + duration, _owner_name(owners), between_clock_and_send=True)]

    return Scenario("an owner stopped for 8 s (its shards)", duration, draw, shards_of_first_owner)


def dispatchers_restarted() -> Scenario:
    """Kill 70% of the dispatchers at once and restart them after one second."""

    def draw(world: World, owners: OwnersOracle) -> list[Fault]:
        names = [node.name for node in world.dispatchers]
        chosen = Random(1).sample(names, len(names) * 7 // 10)
        return [faults.Kill(world.now, world.now + SECOND, tuple(chosen))]

    return Scenario("seven in ten dispatchers restarted", SECOND, draw, all_shards)


def rolling_restart() -> Scenario:
    """Drain the controllers one after another; each restarts half a second after its drain."""
    step = 3 * SECOND

    def draw(world: World, owners: OwnersOracle) -> list[Fault]:
        return [
            faults.Drain(world.now + number * step, world.now + number * step + 10 * SECOND, node.name, SECOND // 2)
            for number, node in enumerate(world.controllers)
        ]

    return Scenario("rolling restart of the controllers, one in 3 s", 19 * step + 10 * SECOND, draw, all_shards)


def no_fault() -> Scenario:
    """Inject no fault: the baseline for the other scenarios."""
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
