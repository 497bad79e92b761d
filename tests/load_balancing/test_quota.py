"""The quota buckets: how many requests they admit, and which requests are over quota."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgerroad.load_balancing import interface
from badgerroad.load_balancing.quota import QuotaBuckets
from benchmarks.quota_buckets import share_over
from tests.support.policy_driver import MS, SEC, Driver, finals, settings

REQUEST = interface.Request(1)


def with_quota(dispatcher_count, quota, over_quota_priority=0.1):
    return settings(
        dispatcher_count=dispatcher_count,
        tenants=(interface.Tenant("team", quota),),
        over_quota_priority=over_quota_priority,
    )


QUOTAS = st.floats(0.01, 500.0)
GAPS = st.integers(0, 3 * SEC) | st.integers(0, 20 * MS)


@given(st.integers(1, 8), QUOTAS, st.lists(st.tuples(GAPS, st.integers(0, 7)), max_size=60))
def test_all_dispatchers_together_admit_no_more_than_the_bound_in_any_window(dispatcher_count, quota, traffic):
    buckets = [QuotaBuckets() for _ in range(dispatcher_count)]
    now, admitted_at = SEC, []
    for gap, dispatcher in traffic:
        now += gap
        if not buckets[dispatcher % dispatcher_count].is_over(with_quota(dispatcher_count, quota), REQUEST, now):
            admitted_at.append(now)
    burst = dispatcher_count * max(1.0, quota / dispatcher_count)
    for first, begin in enumerate(admitted_at):
        for last in range(first, len(admitted_at)):
            assert last - first + 1 <= quota * (admitted_at[last] - begin) / SEC + burst + 1e-6


@given(QUOTAS, st.lists(GAPS, max_size=60))
def test_requests_as_far_apart_as_the_quota_share_allows_are_never_over(quota, extra_gaps):
    buckets, now = QuotaBuckets(), SEC
    for gap in extra_gaps:
        assert not buckets.is_over(with_quota(3, quota), REQUEST, now)
        now += int(3 * SEC / quota) + 1 + gap


@given(QUOTAS, st.integers(2, 40), st.integers(30, 200))
def test_steady_excess_does_not_use_up_the_quota(quota, excess_factor, count):
    """Requests over quota used to empty the bucket, so that a tenant with steady excess was admitted nothing."""
    buckets, gap = QuotaBuckets(), max(int(SEC / quota / excess_factor), 1)
    over = sum(buckets.is_over(with_quota(1, quota), REQUEST, SEC + n * gap) for n in range(count))
    assert count - over >= count // (
        excess_factor + 1
    )  # the refill of a token takes excess_factor gaps, or slightly more as gaps are truncated


def test_bucket_starts_full_and_holds_at_least_one_request():
    buckets = QuotaBuckets()
    over = [buckets.is_over(with_quota(200, 20.0), REQUEST, at) for at in (SEC, 2 * SEC, 10 * SEC, 11 * SEC + 1)]
    assert over == [False, True, True, False]


@pytest.mark.parametrize(("dispatcher_count", "quota"), [(3, 1.0), (20, 20.0), (200, 20.0)])
def test_a_third_of_evenly_spread_traffic_at_half_the_quota_is_over(dispatcher_count, quota):
    assert share_over(dispatcher_count, quota, receiving=dispatcher_count, seed=1) == pytest.approx(1 / 3, abs=0.03)


def test_fewer_requests_are_over_if_the_dispatcher_share_exceeds_one_request_a_second():
    assert share_over(200, 450.0, receiving=200, seed=1) < 0.2


def test_external_quota_decision_replaces_the_bucket():
    def rejected_and_buckets(over_quota_decision, over_quota_priority=0.1):
        driver = Driver(workers=1, tenants=(interface.Tenant("team", 1.0),), over_quota_priority=over_quota_priority)
        driver.request(1, tenant=9)
        driver.request(2, tenant=9)  # queued, so that requests over quota are rejected
        return [
            bool(finals(driver.request(n, tenant=0, over_quota=over_quota_decision))) for n in (3, 4)
        ], driver.policy.quota.buckets

    assert rejected_and_buckets(None)[0] == [False, True]
    assert rejected_and_buckets(True) == ([True, True], {})
    assert rejected_and_buckets(False) == ([False, False], {})
    # With equal priority, requests over quota are not rejected.
    assert rejected_and_buckets(True, over_quota_priority=1.0)[0] == [False, False]
