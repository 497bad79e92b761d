"""Schedules of a set-up, faults and traffic, all drawn from one seed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from tests.fleet.simulation import faults
from tests.fleet.simulation.clock import MILLISECOND, SECOND
from tests.fleet.simulation.faults import Fault
from tests.fleet.simulation.network import Conditions
from tests.fleet.simulation.setups import Setup, small_setup
from tests.fleet.simulation.traffic import CANCELED_SHARE, Phase

FAULTS_FROM = 2 * SECOND
FAULTS_TO = 7 * SECOND
MIN_FAULTS, MAX_FAULTS = 2, 7


@dataclass(frozen=True)
class Schedule:
    """Input of one run.

    All times are true time in microseconds. `calm_at`: time from which no fault is in effect. `measure_at`: time from
    which requests over quota count for the check at the end of the run; the load is then at most half the quota.
    """

    seed: int
    setup: Setup
    faults: tuple[Fault, ...]
    phases: tuple[Phase, ...]
    calm_at: int
    measure_at: int
    end: int


def settling_time(setup: Setup) -> int:
    """Return the time after the last fault within which shards have owners and zones have leases, in microseconds.

    It covers the abstention of a voter after its start, the expiry of an ownership lease, the back-offs of an
    election, a dispatcher's next attempt to reach its own controller (5 s) and a few renewals.
    """
    settings = setup.settings
    milliseconds = 2.5 * settings.ownership_lease_ms + 4 * settings.renew_ms + 4_000
    return int(milliseconds * MILLISECOND)


def draw_schedule(seed: int) -> Schedule:
    """Draw the schedule of a seed; equal seeds give equal schedules."""
    random = Random(seed)
    setup = small_setup(random)
    drawn = tuple(_draw_fault(random, setup) for _ in range(random.randint(MIN_FAULTS, MAX_FAULTS)))
    ordered = tuple(sorted(drawn, key=lambda fault: fault.at))
    calm_at = max(FAULTS_TO, *(fault.end for fault in ordered))
    measure_at = calm_at + settling_time(setup)
    final = setup.quotas
    for fault in ordered:
        if isinstance(fault, faults.QuotaChange):
            final = dict(fault.quotas)
    busy = {team: quota * random.choice((0.5, 1.0, 2.0, 4.0)) for team, quota in setup.quotas.items()}
    half = {team: quota / 2 for team, quota in final.items()}
    end = measure_at + 3 * SECOND
    at_half = Phase(calm_at + (measure_at - calm_at) // 2, end, half, steady=True)
    phases = (Phase(0, calm_at, busy, CANCELED_SHARE), at_half)
    return Schedule(seed, setup, ordered, phases, calm_at, measure_at, end)


def _draw_fault(random: Random, setup: Setup) -> Fault:
    at = random.randrange(FAULTS_FROM, FAULTS_TO)
    return random.choice(FAULT_DRAWS)(random, setup, at)


def _draw_duration(random: Random, setup: Setup) -> int:
    lease = setup.settings.ownership_lease_ms * MILLISECOND
    return int(lease * random.choice((0.1, 0.3, 0.7, 1.0, 1.02, 1.5, 2.5)))


def _draw_cut(random: Random, setup: Setup, at: int) -> Fault:
    if random.random() < 0.5:
        inside = set(setup.zones_of_region(random.choice(setup.regions)))
    else:
        inside = set(random.sample(setup.zones, random.randint(1, len(setup.zones) - 1)))
    outside = set(setup.zones) - inside
    outward = {(one, other) for one in inside for other in outside}
    inward = {(other, one) for one in inside for other in outside}
    pairs = random.choice((outward | inward, outward | inward, outward, inward))
    if random.random() < 0.2:
        zone = random.choice(setup.zones)
        pairs = {(zone, zone)}
    return faults.Cut(at, at + _draw_duration(random, setup), frozenset(pairs))


def _draw_network(random: Random, setup: Setup, at: int) -> Fault:
    conditions = Conditions(
        min_delay=random.choice((100, 1_000)),
        max_delay=random.choice((2_000, 20_000, 100_000)),
        loss=random.choice((0.0, 0.05, 0.3)),
        repeated=random.choice((0.0, 0.1, 0.5)),
        late=random.choice((0.0, 0.05, 0.3)),
        late_delay=random.choice((500, 1_500)) * MILLISECOND,
    )
    end = at + _draw_duration(random, setup)
    return faults.BadNetwork(at, end + conditions.late_delay, conditions, holding=random.random() < 0.5)


def _draw_connection_loss(random: Random, setup: Setup, at: int) -> Fault:
    names = [controller.name for controller in setup.settings.controllers]
    one = random.choice(names)
    other = random.choice([name for name in (*names, *setup.dispatchers) if name != one])
    return faults.ConnectionLoss(at, at, one, other)


def _draw_stop(random: Random, setup: Setup, at: int) -> Fault:
    names = [controller.name for controller in setup.settings.controllers]
    if random.random() < 0.3:
        return faults.Stop(at, at + _draw_duration(random, setup), random.choice(sorted(setup.dispatchers)))
    return faults.Stop(at, at + _draw_duration(random, setup), random.choice(names), random.random() < 0.5)


def _draw_kill(random: Random, setup: Setup, at: int) -> Fault:
    names = [controller.name for controller in setup.settings.controllers]
    kind = random.choice(("one", "one", "zone", "dispatchers", "controllers"))
    if kind == "one":
        killed = [random.choice(names)]
    elif kind == "zone":
        zone = random.choice(setup.zones)
        killed = [c.name for c in setup.settings.controllers if c.zone == zone]
        killed += [name for name, place in setup.dispatchers.items() if place == zone]
    elif kind == "dispatchers":
        dispatchers = sorted(setup.dispatchers)
        killed = random.sample(dispatchers, max(1, len(dispatchers) * 7 // 10))
    else:
        killed = random.sample(names, random.randint(1, len(names)))
    downtime = random.choice((20 * MILLISECOND, 200 * MILLISECOND, _draw_duration(random, setup)))
    return faults.Kill(at, at + downtime, tuple(killed), random.random() < 0.3)


def _draw_drain(random: Random, setup: Setup, at: int) -> Fault:
    limit = int(setup.settings.ownership_lease_ms * 2.5 * MILLISECOND)
    return faults.Drain(at, at + limit, random.choice(setup.settings.controllers).name)


def _draw_release(random: Random, setup: Setup, at: int) -> Fault:
    return faults.Release(at, at + 200 * MILLISECOND, random.choice(sorted(setup.dispatchers)))


def _draw_handover(random: Random, setup: Setup, at: int) -> Fault:
    overlap = random.choice((50, 500, 1_500)) * MILLISECOND
    return faults.Handover(at, at + overlap, random.choice(sorted(setup.dispatchers)))


def _draw_quota_change(random: Random, setup: Setup, at: int) -> Fault:
    quotas = tuple((team, quota * random.choice((0.25, 0.5, 1.0, 2.0))) for team, quota in setup.quotas.items())
    return faults.QuotaChange(at, at + random.choice((1, 200, 1_000)) * MILLISECOND, quotas)


def _draw_flood(random: Random, setup: Setup, at: int) -> Fault:
    team = random.choice(sorted(setup.quotas))
    count = int(2 * setup.depth(setup.quotas[team]))
    chosen = random.sample(sorted(setup.dispatchers), random.randint(1, len(setup.dispatchers)))
    return faults.Flood(at, at + faults.FLOOD_TIME, team, count, tuple(chosen))


FAULT_DRAWS: tuple[Callable[[Random, Setup, int], Fault], ...] = (
    _draw_cut,
    _draw_cut,
    _draw_network,
    _draw_connection_loss,
    _draw_stop,
    _draw_stop,
    _draw_kill,
    _draw_kill,
    _draw_drain,
    _draw_release,
    _draw_handover,
    _draw_quota_change,
    _draw_flood,
    _draw_flood,
)
