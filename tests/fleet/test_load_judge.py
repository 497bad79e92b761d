"""The verdicts of the load benchmark: bounds per scenario, recoveries, aims and the page."""

import msgspec
import pytest

from benchmarks.fleet import aims, layout, oracle, page, slopes, traffic
from benchmarks.fleet.installation import Ended
from benchmarks.fleet.judge import Judge, Outcome
from benchmarks.fleet.results import Cost, Document, Recovery, Result
from benchmarks.fleet.scenarios import BY_NAME, COLD, SCENARIOS

QUOTAS = traffic.quotas()


def judge(scenario, records=(), changed=None):
    """Return a judge of `records`: (seconds after the warm-up, team, over quota)."""
    warm = scenario.warm_s
    return Judge(
        Outcome(
            scenario=scenario,
            dispatchers=200,
            seed=1,
            topology="zone",
            places=layout.places(),
            quotas=QUOTAS,
            changed_quotas=changed,
            epoch=1000.0,
            owners={shard: f"control-{shard}" for shard in range(19)},
            first_owner="control-0",
            controller_marks=[],
            ended=Ended([], []),
            records=[(1000.0 + warm + at, team, 0, over, 100) for at, team, over in records],
            memory=0,
            notes=[],
        )
    )


def result(scenario="half", **changes):
    cost = Cost(0.001, 0.002, 100.0, 3.0, 0.1, 0.2)
    values = dict(
        scenario=scenario,
        what="it",
        dispatchers=200,
        seed=1,
        warm_s=1.0,
        seconds=10.0,
        requests=100,
        undecided=0,
        offered=0.5,
        over_share=0.001,
        use_share=0.99,
        use_window_least=0.9,
        use_window_most=1.1,
        over_share_small=0.0,
        over_share_large=0.0,
        overshoot_team="team-001",
        overshoot=10.0,
        bound=40.0,
        bound_broken=False,
        wait_ms_median=1.0,
        wait_ms_p99=2.0,
        wait_ms_most=3.0,
        recoveries=[],
        dispatcher=cost,
        controller=cost,
        late_arrival_ms=1.0,
        frames_doubled=0,
        frames_delayed=0,
        connections_dropped=0,
        memory_mib=900,
    )
    return Result(**{**values, **changes})


def test_bound_is_the_bucket_and_the_reserves_of_partitioned_zones():
    assert judge(BY_NAME["half"]).depth(10.0) == 2 * 19 + 2 * 10.0
    assert judge(BY_NAME["region-cut"]).depth(10.0) == pytest.approx(2 * 19 + 2 * 10.0 + 3 * (1 + 2 * 2.0 / 19))


def test_burst_above_the_bucket_is_reported_with_its_team():
    records = [(1.0 + n / 1000, 5, False) for n in range(200)]
    worst = judge(BY_NAME["half"], records).worst()
    assert (worst.team, worst.beyond > 0) == (5, True)


def test_burst_decided_as_over_quota_does_not_exceed_the_bound():
    records = [(1.0 + n / 1000, 5, True) for n in range(200)]
    assert judge(BY_NAME["half"], records).worst().beyond < 0


def test_requests_during_the_warm_up_are_not_judged():
    records = [(-5.0 + n / 1000, 5, False) for n in range(200)]
    assert judge(BY_NAME["half"], records).worst().beyond < 0


def test_lowered_quota_is_enforced_after_fifteen_seconds():
    scenario = BY_NAME["quotas-changed"]
    changed = [quota / 2 for quota in QUOTAS]
    gap = 1 / QUOTAS[0]
    early = [(n * gap, 0, False) for n in range(int(20 / gap))]
    assert judge(scenario, early, changed).worst().beyond < 0
    late = [(n * gap, 0, False) for n in range(int(45 / gap))]
    found = judge(scenario, late, changed)
    assert found.worst().requests == pytest.approx(5 * QUOTAS[0] / 2, rel=0.1)


def test_killed_owner_is_judged_by_the_teams_of_its_shards_only():
    found = judge(BY_NAME["owner-killed"])
    teams = found.teams_of("control-0")
    names = traffic.team_names()
    assert teams
    assert {found.settings.shard_of(names[team]) for team in teams} == {0}


def test_recovery_of_lowered_quotas_ends_with_the_last_excess():
    scenario = BY_NAME["quotas-changed"]
    changed = [quota / 2 if team < 10 else quota for team, quota in enumerate(QUOTAS)]
    records = []
    for team in range(10):
        high = int((5 + 3) * QUOTAS[team])
        records += [(n / QUOTAS[team], team, False) for n in range(high)]
        records += [(8 + n / (QUOTAS[team] / 2), team, False) for n in range(int(17 * QUOTAS[team] / 2))]
    lowered = judge(scenario, sorted(records), changed).lowered(scenario.fault)
    assert 2.5 <= lowered.seconds <= 3.25


def test_filling_keeps_the_quotas_of_a_cold_start():
    assert BY_NAME[COLD].filling_quotas(QUOTAS, 19) == QUOTAS
    assert BY_NAME["half"].filling_quotas([1.0], 19) == [0.5 + (38 + 2) / 10]


def test_missed_aims_and_aims_without_a_run_are_reported_as_such():
    judged = {aim.name: aim for aim in aims.judged([result(over_share=0.02), result("double", use_share=0.94)])}
    assert judged["called over at half the quota, even traffic"].reached is False
    assert judged["used at twice the quota"].reached is False
    assert judged["full use of an owner's teams after its death"].reached is None
    assert judged["a dispatcher's CPU"].reached is True


def test_broken_bound_is_reported_with_its_scenario():
    judged = aims.judged([result(bound_broken=True), result("double")])
    assert judged[-1].reached is False
    assert "half" in judged[-1].figure


def test_teams_of_a_killed_owner_that_never_recover_miss_their_aim():
    recovery = Recovery("teams", "the fault", None, 1.0, 0.0)
    judged = {aim.name: aim for aim in aims.judged([result("owner-killed", recoveries=[recovery])])}
    assert judged["full use of an owner's teams after its death"].reached is False


def test_page_lists_every_result_and_is_equal_after_a_json_round_trip():
    other = result(topology="owners")
    document = Document([result(), other, result("double", dispatchers=600, bound_broken=True)])
    copy = msgspec.json.decode(msgspec.json.encode(document), type=Document)
    text = page.page(copy)
    assert text == page.page(document)
    assert "## 200 dispatchers" in text
    assert "## 600 dispatchers" in text
    assert "BROKEN" in text
    assert "| owners |" in text


def test_scenario_names_are_unique():
    assert len(BY_NAME) == len(SCENARIOS)


def test_line_is_fitted_through_points():
    fitted = slopes.line("it", "s", [(50, 1.5), (100, 2.0), (200, 3.0)])
    assert (fitted.base, fitted.slope, fitted.furthest) == pytest.approx((1.0, 0.01, 0.0))


def test_overshoot_without_requests_is_zero():
    assert oracle.worst_overshoot([[], []], [[], []], [3.0, 3.0]).requests == 0.0
