"""Effects of settings: tenants that move, requests without hints, cancels that stop nothing, numbers of dispatchers."""

import random

import pytest

from badgerroad.load_balancing import interface
from tests.support.fleets import WITH_IDEMPOTENCY_KEY, Deployment, infos, many, zoned
from tests.support.policy_driver import MS, SEC, Driver, finals, sends

TENANTS = (interface.Tenant("a", 4.0, 0.5), interface.Tenant("b", 4.0, 0.3), interface.Tenant("c", 4.0, 0.2))


@pytest.mark.parametrize("seed", range(8))
def test_tenant_keeps_its_quota_bucket_wherever_its_name_stands_after_a_reload(seed):
    """By place in the list, a reload gave each the record of another, or all a new one."""
    r = random.Random(seed)
    driver = Driver(workers=1, tenants=TENANTS, over_quota_priority=0.1)
    names, rid = [t.name for t in TENANTS], 0
    spent = r.choice(names)
    for _ in range(10):
        rid += 1
        driver.request(rid, tenant=names.index(spent))  # its quota of a second, and more
    for _ in range(3):
        tenants = [t for t in TENANTS if t.name == spent or r.random() < 0.7]
        r.shuffle(tenants)
        names = [t.name for t in tenants]
        driver.handle(interface.SettingsChanged(driver.policy.settings._replace(tenants=tuple(tenants))))
        rid += 1
        over = driver.request(rid, tenant=names.index(spent))
        assert [a.request for a in finals(over)] == [rid]  # it is rejected while others are queued
        for n, name in enumerate(names):
            if name != spent and name not in driver.policy.quota.buckets:
                rid += 1
                assert not finals(driver.request(rid, tenant=n))


def test_request_without_hint_counts_as_the_recent_run_time_of_its_class():
    """It counted nothing: what could not start within its objective was rejected, and slow start had no limit."""
    driver = Driver(workers=1)
    ((_, w),) = sends(driver.request(1, hint=0))
    driver.start(1, 0, w)
    driver.advance(800 * MS)
    driver.end(1, 0, w)
    driver.request(2, hint=0)
    assert driver.policy.requests[2].expected_work == 800 * MS
    assert (
        driver.policy.requests[2].objective_deadline == driver.now + 400 * MS + 2 * 800 * MS
    )  # objective, and its part in proportion to work


@pytest.mark.parametrize("dispatcher_count", [2, 20, 30, 200])
@pytest.mark.parametrize("hinted", [True, False], ids=["with_hints", "without_hints"])
def test_all_dispatchers_together_keep_the_slow_start_budget_however_many_they_are(dispatcher_count, hinted):
    start = 100 * SEC
    fleet = tuple(w._replace(started_at=start) if n < 20 else w for n, w in enumerate(infos(60)))
    deployment = Deployment(dispatcher_count, 3, fleet, [20 * MS, 50 * MS, 100 * MS, 250 * MS])
    if not hinted:
        for driver in deployment.drivers:
            driver.request = lambda rid, hint, ask=driver.request: ask(rid, 0)
    deployment.run(4, per_second=400 / dispatcher_count)
    # What a worker can do is what one was seen to do: here each runs whatever comes.
    slots = max(
        max(k.max_slots_seen, k.slots)
        for driver in deployment.drivers
        for k in driver.policy.subsets.roster.machine_types.values()
    )
    assert slots <= 4
    assert deployment.max_share_of_slow_start_bound(slots, deployment.drivers[0].policy.settings) <= 1.0
    assert dispatcher_count < 5 or any(
        sent.worker_started_at for sent in deployment.log
    )  # few have warm workers enough


def test_restarted_dispatcher_does_not_spend_its_slow_start_budget_twice():
    fleet = infos(60, started_at=99 * SEC)
    for number in range(100):
        driver = many(number, fleet=fleet, overload_window=3 * SEC)
        assert not sends(driver.request(1))
        assert driver.policy.context.first_event_at == driver.now


def test_hedging_becomes_rare_while_most_requests_wait_in_all_zones_and_recovers():
    """Nothing reports whether workers drop what is cancelled: where they do not, hedging filled all queues."""
    driver = zoned()
    made = []
    for rid in range(1, 61):
        driver.request(rid)
        made.append(len(sends(driver.advance(SEC))) - 1)
        driver.handle(interface.ClientDisconnected(rid))
        for n, a in enumerate(driver.policy.requests[rid].attempts):
            driver.end(rid, n, a.worker.id, interface.AttemptResult.CANCELLED)
    assert sum(made[:10]) > 10
    assert sum(made[-30:]) <= 6
    for rid in range(101, 161):
        driver.request(rid)
        for _, w in sends(driver.advance(50 * MS))[:1]:
            driver.start(rid, 0, w)
            driver.advance(100 * MS)
            driver.end(rid, 0, w)
    assert driver.policy.hedging.budget.tokens_per_request > 0.5


def test_request_without_hint_earns_less_hedging_budget():
    made = []
    for hint in (10 * MS, 0):
        driver = many(cls=WITH_IDEMPOTENCY_KEY, hedging_allowed=True, cancel_allowed=True, seed=4)
        driver.policy.hedging.budget.tokens, driver.policy.hedging.budget.tokens_per_request = 0.0, 1.0
        for rid in range(1, 21):
            driver.request(rid, hint=hint)
            driver.policy.estimates.queueing_share = {False: 0.5, True: 0.5}
            made.append((hint, len(sends(driver.advance(SEC)))))
    assert sum(n for h, n in made if not h) * 3 < sum(n for h, n in made if h)
