"""Handwritten schedules for rules whose violation random faults seldom reveal."""

from __future__ import annotations

from collections.abc import Callable

from badgerroad.fleet.settings import FleetSettings
from tests.fleet.simulation import faults
from tests.fleet.simulation.clock import MILLISECOND, SECOND
from tests.fleet.simulation.network import Conditions, SlowMessages
from tests.fleet.simulation.schedule import Schedule, settling_time
from tests.fleet.simulation.setups import Setup, controllers
from tests.fleet.simulation.traffic import Phase

LEASE_MS = 2_000


def _settings(zones: int, requests_per_zone: int) -> FleetSettings:
    settings = FleetSettings(
        controllers=controllers(zones, 3),
        shards=1,
        ownership_lease_ms=LEASE_MS,
        renew_ms=400,
        quota_lease_ms=1_200,
        dispatcher_lease_ms=800,
        lending_ms=2_000,
        requests_per_zone=requests_per_zone,
        burst_s=0.5,
    )
    settings.check()
    return settings


def _schedule(
    setup: Setup, events: tuple[faults.Fault, ...], phases: tuple[Phase, ...], calm_at: int, seed: int
) -> Schedule:
    measure_at = calm_at + settling_time(setup)
    return Schedule(seed, setup, events, phases, calm_at, measure_at, measure_at + SECOND)


def voters_forget(seed: int) -> Schedule:
    """Restart two of three voters while the owner is partitioned.

    One candidate can learn of the owner only through those voters, so it stands for election at once. Only the
    abstention of voters after their start prevents it from becoming a second owner.
    """
    setup = Setup(_settings(4, 2), {"team-a": 5.0}, {"dispatcher-0": "zone-0", "dispatcher-3": "zone-3"})
    cut_at, end = 6 * SECOND, 9 * SECOND
    others = ("zone-1", "zone-2", "zone-3")
    around_owner = {("zone-0", zone) for zone in others} | {(zone, "zone-0") for zone in others}
    events = (
        faults.Cut(0, end, frozenset({("zone-0", "zone-3")})),
        faults.Cut(cut_at, end, frozenset(around_owner)),
        faults.Kill(cut_at, cut_at + 20 * MILLISECOND, ("control-1", "control-2")),
    )
    return _schedule(setup, events, (Phase(0, end, {"team-a": 10.0}),), end, seed)


def late_release(seed: int) -> Schedule:
    """Deliver the release of an abandoned claim after the same candidate has won its next claim.

    The votes for the first claim arrive too late, so the candidate gives it up. When the delayed release arrives,
    another candidate, which is partitioned from the owner, stands for election.
    """
    setup = Setup(_settings(4, 2), {"team-a": 5.0}, {"dispatcher-0": "zone-0", "dispatcher-3": "zone-3"})
    slow_until, end = 3 * SECOND, 9 * SECOND
    events = (
        faults.Cut(0, end, frozenset({("zone-0", "zone-3")})),
        faults.Slow(0, slow_until, SlowMessages("VoteReply", "", "control-0", 500 * MILLISECOND)),
        faults.Slow(0, slow_until, SlowMessages("VoteRelease", "control-0", "", 2 * SECOND)),
    )
    return _schedule(setup, events, (Phase(0, end, {"team-a": 10.0}),), end, seed)


def carried_twice(seed: int) -> Schedule:
    """Duplicate every message from the drain of the owner on, to provoke a double count of carried-over credit.

    First, 600 requests arrive in zone-5 within 4 s, so that this zone uses all credit that the other zones do not hold.
    They start only at 60 s, when the bucket of the owner's first term is full. Then the owner drains. From 2 s after
    the start of the drain, 900 requests arrive in the other nine zones within 3 s. They use the credit that these zones
    have carried over to the new owner's term.
    """
    zones = 10
    dispatchers = {f"dispatcher-{number}": f"zone-{number}" for number in range(zones)}
    quota = 2.0
    setup = Setup(_settings(zones, 10), {"team-a": quota}, dispatchers)
    flood_at, drain_at, second_at, end = 60 * SECOND, 64 * SECOND, 66 * SECOND, 69 * SECOND
    first = faults.Flood(flood_at, drain_at, "team-a", 600, ("dispatcher-5",), length=drain_at - flood_at)
    rest = tuple(name for name in dispatchers if name != "dispatcher-5")
    second = faults.Flood(second_at, end, "team-a", 900, rest, length=end - second_at)
    events = (
        first,
        faults.BadNetwork(drain_at, end, Conditions(repeated=1.0)),
        faults.Drain(drain_at, end, "control-0", downtime=SECOND),
        second,
    )
    return _schedule(setup, events, (), end, seed)


DIRECTED: dict[str, Callable[[int], Schedule]] = {
    "voters forget": voters_forget,
    "late release": late_release,
    "carried twice": carried_twice,
}
