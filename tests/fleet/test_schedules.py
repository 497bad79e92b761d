"""Random fault schedules in virtual time violate no property of the quota leases. Each seed can be replayed."""

import pytest

from benchmarks.fleet_schedules import report
from tests.fleet.simulation.run import run_seed

SEEDS = 200
SEEDS_PER_TEST = 10


@pytest.mark.parametrize("first", range(0, SEEDS, SEEDS_PER_TEST))
def test_random_faults_violate_no_property_of_the_quota_leases(first: int) -> None:
    results = [run_seed(seed) for seed in range(first, first + SEEDS_PER_TEST)]
    failed = [report(result) for result in results if result.findings]
    assert not failed, "\n".join(failed)
