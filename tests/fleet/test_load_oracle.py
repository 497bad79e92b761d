"""The oracle of the load benchmark, which judges by the times of requests and detects violations."""

import itertools

import pytest

from benchmarks.fleet import oracle, traffic
from benchmarks.fleet.oracle import Decision, RateChange


def worst_by_hand(times, rate):
    """Return the overshoot computed over all pairs of requests."""
    pairs = itertools.combinations_with_replacement(range(len(times)), 2)
    return max(last - first + 1 - rate * (times[last] - times[first]) for first, last in pairs)


def test_overshoot_is_the_largest_over_all_windows():
    times = [0.0, 0.1, 0.2, 5.0, 5.1, 5.15, 5.2, 9.0]
    assert oracle.overshoot(times, [RateChange(0.0, 1.0)]) == pytest.approx(worst_by_hand(times, 1.0))


def test_overshoot_of_requests_at_the_quota_is_one():
    times = [n / 4 for n in range(100)]
    assert oracle.overshoot(times, [RateChange(0.0, 4.0)]) == pytest.approx(1.0)


def test_overshoot_applies_a_lowered_quota_from_its_time():
    times = [n / 4 for n in range(80)]  # 4 requests per second for 20 s
    assert oracle.overshoot(times, [RateChange(0.0, 4.0), RateChange(10.0, 2.0)]) == pytest.approx(1 + 2 * 9.75)


def test_worst_overshoot_finds_the_team_that_exceeded_its_bound():
    decisions = [Decision(n / 10, 0, False) for n in range(100)]
    decisions += [Decision(n / 100, 1, False) for n in range(100)]
    decisions += [Decision(n / 100, 2, True) for n in range(1000)]
    times = oracle.times_within(decisions, 3)
    worst = oracle.worst_overshoot(times, [[RateChange(0.0, 10.0)]] * 3, [20.0] * 3)
    assert (worst.team, worst.requests > 20) == (1, True)
    assert worst.beyond == pytest.approx(100 - 9.9 - 20)


def test_over_share_counts_only_requests_in_the_window():
    decisions = [Decision(1.0, 0, True), Decision(2.0, 0, True), Decision(3.0, 0, False), Decision(9.0, 0, True)]
    assert oracle.over_share(decisions, 2.0, 9.0) == 0.5


def test_time_to_full_use_lasts_from_the_fault_to_the_end_of_the_gap():
    times = [n / 50 for n in range(2000) if not 10 <= n / 50 < 16]
    found = oracle.time_to_full_use(times, 10.0, 40.0, 50.0)
    assert 5.75 <= found <= 6.0


def test_time_to_full_use_is_none_where_use_stays_low():
    times = [n / 25 for n in range(1000)]
    assert oracle.time_to_full_use(times, 10.0, 40.0, 50.0) is None


def test_time_to_full_use_is_zero_without_a_gap():
    times = [n / 50 for n in range(2000)]
    assert oracle.time_to_full_use(times, 10.0, 39.0, 50.0) == 0.0


def test_time_to_use_at_most_ends_with_the_last_excess():
    times = [n / 50 for n in range(500)] + [10 + n / 25 for n in range(500)]
    assert 6.5 <= oracle.time_to_use_at_most(times, 3.0, 30.0, 25.0 * 1.05) <= 7.0


def test_quotas_add_up_and_are_skewed():
    quotas = traffic.quotas()
    assert len(quotas) == 510
    assert sum(quotas) == pytest.approx(450, rel=1e-3)
    assert quotas[0] > 50
    assert 0 < quotas[-1] < 0.2


def test_arrivals_repeat_with_their_seed_and_follow_their_rate():
    def first(seed):
        return list(itertools.islice(traffic.arrivals(traffic.quotas(), 100.0, seed, 3), 5000))

    assert first(1) == first(1)
    assert first(1) != first(2)
    assert 45 < first(1)[-1].at < 55
    assert sum(arrival.team == 0 for arrival in first(1)) == pytest.approx(5000 * traffic.quotas()[0] / 450, rel=0.15)


def test_busy_dispatchers_are_a_seeded_sample():
    assert len(traffic.busy_dispatchers(200, 0.1, 1)) == 20
    assert traffic.busy_dispatchers(200, 0.1, 1) != traffic.busy_dispatchers(200, 0.1, 2)
