"""The short form of the load benchmark: real processes, an unreliable network and a killed owner.

It runs 19 controllers and 38 hollow dispatchers. The bound on requests within quota is asserted exactly. Use of
the quotas and recovery are asserted only with wide margins, because a busy machine is slow without being wrong.
"""

import os
from pathlib import Path

import pytest

from benchmarks.fleet import hollow, run
from benchmarks.fleet.relay import Noise
from benchmarks.fleet.scenarios import KillOwner, Scenario

DISPATCHERS = 38


def children_of_this_process():
    found = set()
    for path in Path("/proc").glob("[0-9]*/stat"):
        try:
            fields = path.read_text().rpartition(")")[2].split()
        except OSError:
            continue
        if int(fields[1]) == os.getpid() and fields[0] != "Z":
            found.add(int(path.parent.name))
    return found


@pytest.fixture(scope="module")
def result():
    """One run at twice the quota, during which the owner of the largest quotas is killed."""
    noise = Noise(twice=0.02, late=0.02, late_ms=100, dropped=0.0005)
    scenario = Scenario("short", "the short form", 2.0, fault=KillOwner(4), noise=noise, warm_s=4, seconds=14)
    before = children_of_this_process()
    found = run.play(scenario, DISPATCHERS, seed=1, topology=hollow.OWN_ZONE)
    assert children_of_this_process() <= before, "a process was left behind"
    return found


def test_no_team_exceeds_its_quota_and_bucket(result):
    assert result.requests > 1000
    assert result.overshoot <= result.bound, f"{result.overshoot_team}: {result.overshoot} beyond its rate"


def test_most_of_the_quotas_is_used_although_an_owner_was_killed(result):
    assert result.use_share > 0.4


def test_relay_duplicated_and_delayed_frames(result):
    assert result.frames_doubled > 10
    assert result.frames_delayed > 10


def test_every_request_was_decided(result):
    assert result.undecided == 0
