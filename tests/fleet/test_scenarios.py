"""Single faults with the default settings, in a small fleet with load at twice its quota."""

import pytest

from badgerroad.fleet.settings import FleetSettings
from tests.fleet.simulation.scenarios import Scenario, no_fault, owner_killed, run_scenario
from tests.fleet.simulation.setups import Setup, controllers

TEAMS = 6
QUOTA = 40.0
DISPATCHERS = 6


def small_fleet() -> Setup:
    """Three zones and two shards; all other settings are the defaults."""
    settings = FleetSettings(controllers=controllers(3, 3), shards=2)
    quotas = {f"team-{number}": QUOTA for number in range(TEAMS)}
    return Setup(settings, quotas, {f"dispatcher-{number}": f"zone-{number % 3}" for number in range(DISPATCHERS)})


@pytest.mark.parametrize(
    ("scenario", "within_s"), [(no_fault(), 0), (owner_killed(), 10)], ids=("no fault", "owner killed")
)
def test_quota_is_fully_used_again_within_the_stated_time(scenario: Scenario, within_s: int) -> None:
    figures, findings = run_scenario(scenario, small_fleet())
    assert not findings, "\n".join(str(violation) for violation in findings.first.values())
    assert figures.before > 0.9
    assert figures.full_again_after is not None
    assert figures.full_again_after <= within_s
