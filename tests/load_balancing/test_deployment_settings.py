"""Effects of settings on the policy: changed tenants, requests without hints, slow start by number of dispatchers,
hedging."""

import random

import pytest

from badgerroad.load_balancing import interface
from tests.support.fleets import WITH_IDEMPOTENCY_KEY, Deployment, endpoint_list, fleet_driver, two_zone_driver
from tests.support.policy_driver import MS, SEC, Driver, finals, sends

TENANTS = (interface.Tenant("a", 4.0, 0.5), interface.Tenant("b", 4.0, 0.3), interface.Tenant("c", 4.0, 0.2))


@pytest.mark.parametrize("seed", range(8))
def test_tenant_keeps_its_quota_bucket_when_a_reload_reorders_the_tenants(seed):
    """With quota buckets by list index, a reload gave a tenant another tenant's bucket, or all tenants new buckets."""
    rng = random.Random(seed)
    driver = Driver(workers=1, tenants=TENANTS, over_quota_priority=0.1)
    names, request = [tenant.name for tenant in TENANTS], 0
    exhausted = rng.choice(names)
    for _ in range(10):
        request += 1
        driver.request(request, tenant=names.index(exhausted))  # more requests than the tenant's quota for a second
    for _ in range(3):
        tenants = [tenant for tenant in TENANTS if tenant.name == exhausted or rng.random() < 0.7]
        rng.shuffle(tenants)
        names = [tenant.name for tenant in tenants]
        driver.handle(interface.SettingsChanged(driver.policy.settings._replace(tenants=tuple(tenants))))
        request += 1
        actions = driver.request(request, tenant=names.index(exhausted))
        assert [answer.request for answer in finals(actions)] == [request]  # rejected, as other requests are queued
        for n, name in enumerate(names):
            if name != exhausted and name not in driver.policy.quota.buckets:
                request += 1
                assert not finals(driver.request(request, tenant=n))


def test_request_without_hint_counts_as_the_recent_run_time_of_its_class():
    """Requests that counted as no work were rejected if they could not start within the objective, and slow start did
    not limit them."""
    driver = Driver(workers=1)
    ((_, worker),) = sends(driver.request(1, hint=0))
    driver.start(1, 0, worker)
    driver.advance(800 * MS)
    driver.end(1, 0, worker)
    driver.request(2, hint=0)
    assert driver.policy.requests[2].expected_work == 800 * MS
    assert (
        driver.policy.requests[2].objective_deadline == driver.now + 400 * MS + 2 * 800 * MS
    )  # latency objective plus objective_per_work times the work


@pytest.mark.parametrize("dispatcher_count", [2, 20, 30, 200])
@pytest.mark.parametrize("with_hints", [True, False], ids=["with_hints", "without_hints"])
def test_all_dispatchers_together_keep_the_slow_start_budget_for_any_number_of_them(dispatcher_count, with_hints):
    start = 100 * SEC
    fleet = tuple(worker._replace(started_at=start) if n < 20 else worker for n, worker in enumerate(endpoint_list(60)))
    deployment = Deployment(dispatcher_count, 3, fleet, [20 * MS, 50 * MS, 100 * MS, 250 * MS])
    if not with_hints:
        for driver in deployment.drivers:
            driver.request = lambda request, hint, send_request=driver.request: send_request(request, 0)
    deployment.run(4, per_second=400 / dispatcher_count)
    # The capacity is taken from the observed slots, as the workers of this test run everything at once.
    slots = max(
        max(machine_type.max_slots_seen, machine_type.slots)
        for driver in deployment.drivers
        for machine_type in driver.policy.subsets.roster.machine_types.values()
    )
    assert slots <= 4
    assert deployment.max_share_of_slow_start_bound(slots, deployment.drivers[0].policy.settings) <= 1.0
    assert dispatcher_count < 5 or any(
        sent.worker_started_at for sent in deployment.sent_attempts
    )  # fewer than 5 dispatchers have enough workers that are not warming up


def test_restarted_dispatcher_does_not_spend_its_slow_start_budget_twice():
    fleet = endpoint_list(60, started_at=99 * SEC)
    for number in range(100):
        driver = fleet_driver(number, fleet=fleet, overload_window=3 * SEC)
        assert not sends(driver.request(1))
        assert driver.policy.context.first_event_at == driver.now


def test_hedging_becomes_rare_while_most_requests_wait_in_all_zones_and_recovers():
    """Some workers run cancelled attempts anyway without reporting this; unlimited hedging then filled all queues."""
    driver = two_zone_driver()
    hedged = []
    for request in range(1, 61):
        driver.request(request)
        hedged.append(len(sends(driver.advance(SEC))) - 1)
        driver.handle(interface.ClientDisconnected(request))
        for n, attempt in enumerate(driver.policy.requests[request].attempts):
            driver.end(request, n, attempt.worker.id, interface.AttemptResult.CANCELLED)
    assert sum(hedged[:10]) > 10
    assert sum(hedged[-30:]) <= 6
    for request in range(101, 161):
        driver.request(request)
        for _, worker in sends(driver.advance(50 * MS))[:1]:
            driver.start(request, 0, worker)
            driver.advance(100 * MS)
            driver.end(request, 0, worker)
    assert driver.policy.hedging.budget.tokens_per_request > 0.5


def test_request_without_hint_earns_less_hedging_budget():
    hedged = []
    for hint in (10 * MS, 0):
        driver = fleet_driver(cls=WITH_IDEMPOTENCY_KEY, hedging_allowed=True, cancel_allowed=True, seed=4)
        driver.policy.hedging.budget.tokens, driver.policy.hedging.budget.tokens_per_request = 0.0, 1.0
        for request in range(1, 21):
            driver.request(request, hint=hint)
            driver.policy.estimates.queueing_share = {False: 0.5, True: 0.5}
            hedged.append((hint, len(sends(driver.advance(SEC)))))
    assert sum(n for h, n in hedged if not h) * 3 < sum(n for h, n in hedged if h)
