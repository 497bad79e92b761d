"""Set-ups of the simulated fleet: controllers in zones and regions, dispatchers, teams and their quotas."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from badgerroad.fleet.settings import Controller, FleetSettings

FIRST_PORT = 7_000


@dataclass(frozen=True)
class Setup:
    """Settings, quotas and dispatchers of a simulated fleet."""

    settings: FleetSettings
    quotas: dict[str, float]
    dispatchers: dict[str, str]
    """Dispatcher's name -> its zone."""

    def zones_of_region(self, region: str) -> list[str]:
        """Return the zones in a region."""
        return [controller.zone for controller in self.settings.controllers if controller.region == region]

    @property
    def zones(self) -> list[str]:
        """All zones; each has one controller."""
        return [controller.zone for controller in self.settings.controllers]

    @property
    def regions(self) -> list[str]:
        """All regions, sorted."""
        return sorted({controller.region for controller in self.settings.controllers})

    def depth(self, quota: float) -> float:
        """Return the depth of an owner's bucket for this quota, in requests."""
        return self.settings.requests_per_zone * len(self.zones) + self.settings.burst_s * quota


def controllers(zones: int, regions: int) -> tuple[Controller, ...]:
    """Return one controller per zone; zones are assigned to regions round-robin, and the first of each region votes."""
    return tuple(
        Controller(
            name=f"control-{number}",
            zone=f"zone-{number}",
            region=f"region-{number % regions}",
            host="127.0.0.1",
            port=FIRST_PORT + number,
            voter=number < regions,
        )
        for number in range(zones)
    )


def small_setup(random: Random) -> Setup:
    """Draw 3 to 5 controllers, 3 voters, 4 to 8 dispatchers, 2 to 4 shards and 3 to 6 teams, with short leases."""
    zones = random.randint(3, 5)
    ownership_ms = random.choice((1_000, 1_500, 2_000))
    settings = FleetSettings(
        controllers=controllers(zones, 3),
        shards=random.randint(2, 4),
        ownership_lease_ms=ownership_ms,
        renew_ms=ownership_ms // 5,
        quota_lease_ms=ownership_ms * 3 // 5,
        dispatcher_lease_ms=ownership_ms * 2 // 5,
        lending_ms=random.choice((ownership_ms, ownership_ms // 2)),
        reserve_share=random.choice((0.2, 0.5)),
        requests_per_zone=random.choice((1, 2)),
        burst_s=random.choice((0.5, 1.0, 2.0)),
    )
    teams = random.randint(3, 6)
    quotas = {f"team-{number}": random.choice((2.0, 5.0, 10.0, 20.0)) for number in range(teams)}
    dispatchers = {f"dispatcher-{number}": f"zone-{number % zones}" for number in range(random.randint(4, 8))}
    return Setup(settings, quotas, dispatchers)


def large_setup(dispatchers: int = 200, teams: int = 510, quota_sum: float = 1_000.0) -> Setup:
    """Return 19 controllers in 7 regions with default settings; the teams' quotas are proportional to 1 / rank."""
    zones = 19
    settings = FleetSettings(controllers=controllers(zones, 7))
    weight = sum(1 / rank for rank in range(1, teams + 1))
    quotas = {f"team-{rank}": round(max(0.2, quota_sum / weight / rank), 3) for rank in range(1, teams + 1)}
    return Setup(settings, quotas, {f"dispatcher-{number}": f"zone-{number % zones}" for number in range(dispatchers)})
