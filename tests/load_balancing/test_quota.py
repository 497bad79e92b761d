"""The buckets of a tenant's quota: what they may let through, and whom they call over."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgerroad.load_balancing import interface
from badgerroad.load_balancing.quota import QuotaBuckets
from benchmarks.quota_buckets import share_over
from tests.support.policy_driver import MS, SEC, Driver, finals, settings

ASK = interface.Request(1)


def with_quota(dispatcher_count, quota, priority_weight=0.1):
    return settings(
        dispatcher_count=dispatcher_count,
        tenants=(interface.Tenant("team", quota),),
        over_quota_priority=priority_weight,
    )


QUOTAS = st.floats(0.01, 500.0)
GAPS = st.integers(0, 3 * SEC) | st.integers(0, 20 * MS)


@given(st.integers(1, 8), QUOTAS, st.lists(st.tuples(GAPS, st.integers(0, 7)), max_size=60))
def test_all_dispatchers_together_admit_no_more_than_the_bound_in_any_window(dispatcher_count, quota, traffic):
    tier = [QuotaBuckets() for _ in range(dispatcher_count)]
    now, within = SEC, []
    for gap, place in traffic:
        now += gap
        if not tier[place % dispatcher_count].is_over(with_quota(dispatcher_count, quota), ASK, now):
            within.append(now)
    slack = dispatcher_count * max(1.0, quota / dispatcher_count)
    for first, begin in enumerate(within):
        for last in range(first, len(within)):
            assert last - first + 1 <= quota * (within[last] - begin) / SEC + slack + 1e-6


@given(QUOTAS, st.lists(GAPS, max_size=60))
def test_requests_as_far_apart_as_the_quota_share_allows_are_never_over(quota, more):
    buckets, now = QuotaBuckets(), SEC
    for gap in more:
        assert not buckets.is_over(with_quota(3, quota), ASK, now)
        now += int(3 * SEC / quota) + 1 + gap


@given(QUOTAS, st.integers(2, 40), st.integers(30, 200))
def test_steady_excess_does_not_use_up_the_quota(quota, times, count):
    """Requests over the quota once took the rest of the bucket with them: a steady excess got nothing at all."""
    buckets, gap = QuotaBuckets(), max(int(SEC / quota / times), 1)
    over = sum(buckets.is_over(with_quota(1, quota), ASK, SEC + n * gap) for n in range(count))
    assert count - over >= count // (times + 1)  # one flows in during `times` gaps, or just after where these are cut


def test_bucket_starts_full_and_holds_at_least_one_request():
    buckets = QuotaBuckets()
    asked = [buckets.is_over(with_quota(200, 20.0), ASK, at) for at in (SEC, 2 * SEC, 10 * SEC, 11 * SEC + 1)]
    assert asked == [False, True, True, False]


@pytest.mark.parametrize(("dispatcher_count", "quota"), [(3, 1.0), (20, 20.0), (200, 20.0)])
def test_at_half_the_quota_spread_evenly_a_third_is_over(dispatcher_count, quota):
    assert share_over(dispatcher_count, quota, at=dispatcher_count, seed=1) == pytest.approx(1 / 3, abs=0.03)


def test_fewer_are_over_where_the_share_exceeds_one_request_a_second():
    assert share_over(200, 450.0, at=200, seed=1) < 0.2


def test_external_quota_decision_replaces_the_bucket():
    def answers(decided, priority_weight=0.1):
        driver = Driver(workers=1, tenants=(interface.Tenant("team", 1.0),), over_quota_priority=priority_weight)
        driver.request(1, tenant=9)
        driver.request(2, tenant=9)  # held: who is over now yields
        return [
            bool(finals(driver.request(n, tenant=0, over_quota=decided))) for n in (3, 4)
        ], driver.policy.quota.buckets

    assert answers(None)[0] == [False, True]
    assert answers(True) == ([True, True], {})
    assert answers(False) == ([False, False], {})
    assert answers(True, priority_weight=1.0)[0] == [False, False]  # what is over is worth as much as the rest
