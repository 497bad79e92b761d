"""Short runs of the crowds that drove a process over its memory limit, on a platform that kills it there.

The long run is started by hand: `python -m benchmarks.memory_pressure`, the same with `--memory-mb 192 --descriptors
1024` and with `--upgrade`, and `--kinds random:1,random:2,...`.
"""

import asyncio

import pytest

from benchmarks.memory_pressure.platform import Limits
from benchmarks.memory_pressure.random_crowds import draw_waves
from benchmarks.memory_pressure.run import play

LIMITS = Limits(memory_mb=96, descriptors=512)  # half of those of scored days
MOST_KEPT_MB = 15  # of the memory that a crowd has taken
SETTLE_S = 3.0
SCALE = 0.4
# The plays of a group run at the same time, each with a dispatcher of its own.
GROUPS = [
    ("many_fields", "half_written", "small_chunks"),
    ("slow_body", "unread_answer", "waiting_request"),
    ("job_events", "unsound", "again"),
    ("again_third", "three_in_chunks", "unread_result"),
    ("again_fields+again_unsound+third", "random:1", "random:2", "random:3"),
]


async def play_all(group, folder, **options):
    """Play each disturbance of a group, or several ones in a row that `+` joins, and return the outcomes."""
    plays = []
    for kinds in group:
        own_folder = folder / kinds.replace(":", "_")
        own_folder.mkdir()
        plays.append(play(kinds.split("+"), LIMITS, own_folder, settle_s=SETTLE_S, **options))
    return await asyncio.gather(*plays)


def assert_within_limits(outcomes):
    for outcome in outcomes:
        assert not outcome.killed_at_mb, str(outcome)
        assert not outcome.lost, str(outcome)
        assert outcome.after_mb <= outcome.before_mb + MOST_KEPT_MB, str(outcome)


@pytest.mark.parametrize("group", GROUPS, ids=" ".join)
def test_no_limit_is_passed_and_no_usual_request_is_lost(group, tmp_path):
    assert_within_limits(asyncio.run(play_all(group, tmp_path, scale=SCALE)))


def test_both_processes_of_an_upgrade_together_stay_within_the_limit(tmp_path):
    group = ("again_few", "three_at_once", "random:4")
    assert_within_limits(asyncio.run(play_all(group, tmp_path, upgrades=True)))


def test_a_seed_always_gives_the_same_crowd():
    assert draw_waves(7) == draw_waves(7)
    assert draw_waves(7) != draw_waves(8)
