"""Scenarios of the load benchmark: traffic and faults. Times of faults are in seconds after the warm-up."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from .relay import Noise


class KillOwner(NamedTuple):
    """Kill the owner of the shard of the largest quota, without a restart."""

    at: float


class StopOwner(NamedTuple):
    """Pause the owner of the shard of the largest quota (SIGSTOP) beyond its lease, then resume it (SIGCONT)."""

    at: float
    seconds: float


class CutRegion(NamedTuple):
    """Partition a region from the others. At the end, buffered frames are delivered late or connections are reset."""

    at: float
    seconds: float
    region: str


class RestartDispatchers(NamedTuple):
    """Kill a share of the dispatchers at once and restart them after `pause_s`."""

    at: float
    share: float
    pause_s: float


class LoseZone(NamedTuple):
    """Kill a zone's controller and dispatchers, without a restart."""

    at: float
    zone: str


class RollingRestart(NamedTuple):
    """Restart the controllers one after another with SIGTERM.

    The next voter follows `voter_pause_s` after the previous voter's restart, when that one votes again. The other
    controllers are restarted in between, `pause_s` apart.
    """

    at: float
    pause_s: float
    voter_pause_s: float


class ChangeQuotas(NamedTuple):
    """Multiply the quotas of the first `teams` teams by `factor` (SIGHUP to controllers); restore them after `seconds`."""

    at: float
    seconds: float
    teams: int
    factor: float


FILLING_S = 10.0
REQUESTS_PER_ZONE = 2  # the fleet's default: requests per zone in a bucket's depth
BURST_S = 2.0  # the fleet's default: seconds of the quota in a bucket's depth
COLD = "cold"

Fault = KillOwner | StopOwner | CutRegion | RestartDispatchers | LoseZone | RollingRestart | ChangeQuotas


class Scenario(NamedTuple):
    """One scenario. `load`: traffic as a multiple of the quotas; `share`: share of dispatchers that get all traffic.

    Quotas are raised in the first FILLING_S of the warm-up (`filling_quotas`), so that the run starts with the bucket
    levels and leases of a long run: a team with 0.13 requests per second would need minutes to reach them. That time
    is not evaluated.
    """

    name: str
    what: str
    load: float
    share: float = 1.0
    fault: Fault | None = None
    noise: Noise = Noise()
    warm_s: float = 20.0
    seconds: float = 40.0

    def filling_quotas(self, quotas: Sequence[float], zones: int) -> list[float]:
        """Return the quotas that apply until FILLING_S.

        In a long run, buckets are full at a load below the quota. At twice the quota they are empty and the zone
        controllers hold about half a request each (more requests are admitted while they are being filled).
        """
        if self.name == COLD:
            return list(quotas)
        if self.load < 1:
            stocks = [REQUESTS_PER_ZONE * zones + BURST_S * quota for quota in quotas]
        else:
            stocks = [zones / 4 for _ in quotas]
        return [round(self.load * quota + stock / FILLING_S, 3) for quota, stock in zip(quotas, stocks, strict=False)]


SCENARIOS = (
    Scenario("half", "even traffic at half the quota", 0.5),
    Scenario("half-tenth", "half the quota, all of it at a tenth of the dispatchers", 0.5, share=0.1),
    Scenario("double", "even traffic at twice the quota", 2.0),
    Scenario("cold", "half the quota, from the first owner on, with empty buckets", 0.5),
    Scenario("owner-killed", "twice the quota; an owner is killed", 2.0, fault=KillOwner(8)),
    Scenario("owner-killed-at-half", "half the quota; an owner is killed", 0.5, fault=KillOwner(8)),
    Scenario("owner-stopped", "twice the quota; an owner is stopped for 12 s", 2.0, fault=StopOwner(8, 12)),
    Scenario(
        "region-cut", "twice the quota; a region is cut off for 20 s", 2.0, fault=CutRegion(8, 20, "r2"), seconds=45
    ),
    Scenario(
        "dispatchers-restarted",
        "half the quota; seven dispatchers in ten are killed at once and start again a second later",
        0.5,
        fault=RestartDispatchers(8, 0.7, 1.0),
    ),
    Scenario(
        "zone-lost", "twice the quota; a zone's controller and dispatchers are killed", 2.0, fault=LoseZone(8, "r3b")
    ),
    Scenario(
        "rolling-restart",
        "half the quota; each controller in turn ends and starts again",
        0.5,
        fault=RollingRestart(3, 1.0, 5.5),
        seconds=54,
    ),
    Scenario(
        "quotas-changed",
        "twice the quota; the quotas of ten teams are halved, and 20 s later restored",
        2.0,
        fault=ChangeQuotas(5, 20, 10, 0.5),
        seconds=45,
    ),
    Scenario(
        "noise",
        "half the quota; frames doubled and late, connections dropped",
        0.5,
        noise=Noise(twice=0.01, late=0.02, late_ms=200, dropped=0.0005),
    ),
)
BY_NAME = {scenario.name: scenario for scenario in SCENARIOS}
