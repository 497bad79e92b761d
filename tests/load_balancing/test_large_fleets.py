"""Policies of many dispatchers, where the traffic of each is a small part of a worker's load."""

import random
import subprocess
import sys

import pytest

from badgerroad.load_balancing import interface
from badgerroad.load_balancing.policy.selection import WorkerSelection
from tests.support.fleets import WITH_IDEMPOTENCY_KEY, Deployment, endpoint_list, fleet_driver
from tests.support.policy_driver import MS, SEC, Driver, finals, sends


@pytest.mark.parametrize("warming_up", [1, 50])
def test_all_dispatchers_together_keep_the_slow_start_budget_and_use_it(warming_up):
    # Of 100 dispatchers, each has an even share of a worker's slow start budget that is below one request. With even
    # shares, workers therefore got no requests until they were warmed up.
    start = 100 * SEC
    fleet = tuple(
        worker._replace(started_at=start) if n < warming_up else worker for n, worker in enumerate(endpoint_list(60))
    )
    deployment = Deployment(100, 5, fleet, [5 * MS, 20 * MS, 20 * MS, 40 * MS, 300 * MS])
    settings = deployment.drivers[0].policy.settings
    deployment.run(3)
    # Worker w0 restarts under the same id, and each dispatcher learns of the restart separately. For a third of the
    # dispatchers, the worker is also removed from the list and listed again.
    restarted = fleet[0]._replace(started_at=deployment.drivers[0].now)
    deployment.started_at["w0"] = restarted.started_at
    for n, driver in enumerate(deployment.drivers):
        deployment.notify(driver, (restarted,))
        if n % 3 == 0:
            deployment.notify(driver, (restarted._replace(state=interface.WorkerState.GONE),))
            deployment.notify(driver, (restarted,))
    deployment.run(3)
    assert (
        0.4 < deployment.max_share_of_slow_start_bound(1.0, settings) <= 1.0
    )  # 1.0, as each worker has at least the capacity of one slot at speed 1
    slow_start_sends = [sent.worker for sent in deployment.sent_attempts if sent.worker_started_at]
    assert len({*slow_start_sends}) == warming_up
    assert len(slow_start_sends) > 5 * warming_up


def test_worker_listed_again_gets_no_new_slow_start_budget():
    driver = fleet_driver(dispatcher_count=1, workers=1, fleet=endpoint_list(1, started_at=99 * SEC), max_attempts=9)
    for n in range(1, 31):
        actions = driver.request(n, 100 * MS)
        for request, worker in sends(actions):
            driver.start(request, 0, worker)
            driver.end(request, 0, worker)
        driver.handle(
            interface.EndpointList(
                interface.ListScope.INCREMENTAL,
                2,
                (driver.policy.workers["w0"].info._replace(state=interface.WorkerState.GONE, started_at=0),),
            )
        )
        driver.handle(interface.EndpointList(interface.ListScope.INCREMENTAL, 3, endpoint_list(1, started_at=99 * SEC)))
    assert 0 < len(sends(driver.actions)) <= 3.0 * (0.2 + 0.8 * 0.1) * SEC / (100 * MS)


def test_subsets_spread_workers_evenly_over_dispatchers():
    use_counts = {}
    for n in range(100):
        subset = fleet_driver(n).policy.subsets.local
        assert 3 <= len(subset) <= 4
        for worker in subset:
            use_counts[worker.id] = use_counts.get(worker.id, 0) + 1
    assert len(use_counts) == 60
    assert max(use_counts.values()) - min(use_counts.values()) <= 2


def test_subset_changes_little_when_one_worker_joins_or_leaves():
    before = [{worker.id for worker in fleet_driver(n).policy.subsets.local} for n in range(0, 100, 9)]
    for workers in (59, 61):
        after = [
            {worker.id for worker in fleet_driver(n, workers=workers).policy.subsets.local} for n in range(0, 100, 9)
        ]
        assert max(len(old - new) for old, new in zip(before, after, strict=False)) <= 2


@pytest.mark.parametrize("dispatcher_count", [1, 2, 3])
def test_few_dispatchers_use_the_whole_fleet(dispatcher_count):
    driver = fleet_driver(dispatcher_count - 1, dispatcher_count, workers=15)
    assert driver.policy.subsets.uses_whole_fleet
    assert len(driver.policy.subsets.local) == 15


def test_choices_do_not_depend_on_the_hash_seed_of_the_process():
    code = (
        "import sys; from tests.support.fleets import *; from tests.support.policy_driver import *; driver = fleet_driver(7, fleet=tuple(w._replace("
        "worker=w.worker.encode()) for w in endpoint_list(60, started_at=99 * SEC)));"
        "print([w.id for w in driver.policy.subsets.local], [driver.policy.warm_up.dispatcher_rank(w) for w in driver.policy.subsets.local], driver.request(1))"
    )
    outputs = {
        subprocess.run(
            [sys.executable, "-c", code],
            env={"PYTHONHASHSEED": seed, "PYTHONPATH": "."},
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        for seed in ("1", "2")
    }
    assert len(outputs) == 1
    assert "w" in outputs.pop()


@pytest.mark.parametrize("fault", ["silent", "draining", "gone", "error", "full"])
def test_requests_go_outside_the_subset_when_all_its_workers_fail(fault):
    driver = fleet_driver()
    subset = [worker.id for worker in driver.policy.subsets.local]
    if fault in ("draining", "gone"):
        state = interface.WorkerState.DRAINING if fault == "draining" else interface.WorkerState.GONE
        driver.handle(
            interface.EndpointList(
                interface.ListScope.INCREMENTAL,
                2,
                tuple(worker._replace(state=state) for worker in endpoint_list(60) if worker.worker in subset),
            )
        )
    sent_elsewhere = []
    for number in range(1, 81):
        for request, worker in sends(driver.request(number)):
            if worker not in subset:
                sent_elsewhere.append(request)
                driver.start(request, 0, worker)
                driver.end(request, 0, worker)
            elif fault in ("error", "full"):
                driver.end(
                    request,
                    0,
                    worker,
                    interface.AttemptResult.ERROR if fault == "error" else interface.AttemptResult.QUEUE_FULL,
                )
        driver.advance(20 * MS)
    assert len(sent_elsewhere) > 40, "requests were sent only to failing workers"
    if fault in ("draining", "gone"):
        assert not any(worker in subset for _, worker in sends(driver.actions))
    driver.advance(7 * SEC)
    answered = {action.request for action in finals(driver.actions)} | set(sent_elsewhere)
    assert answered == set(range(1, 81)), "a request was not answered"


def hedged_request(**settings_changes):
    driver = fleet_driver(cls=WITH_IDEMPOTENCY_KEY, hedging_allowed=True, cancel_allowed=True, **settings_changes)
    ((_, first),) = sends(driver.request(1))
    actions = driver.advance(50 * MS)
    return driver, first, sends(actions)


def test_waiting_request_with_an_idempotency_key_is_hedged_in_its_cell_and_other_attempts_are_cancelled():
    driver, first, hedged = hedged_request()
    cell = {worker.worker: worker.cell for worker in endpoint_list(60)}
    assert hedged
    assert all(cell[worker] == cell[first] and worker != first for _, worker in hedged)
    assert interface.Cancel(1, 0) in driver.start(1, 1, hedged[0][1])


def test_started_request_is_not_hedged():
    driver = fleet_driver(cls=WITH_IDEMPOTENCY_KEY, hedging_allowed=True, cancel_allowed=True)
    ((_, first),) = sends(driver.request(1))
    driver.start(1, 0, first)
    assert not sends(driver.advance(SEC))


@pytest.mark.parametrize(
    "settings_changes",
    [dict(dispatcher_count=1), dict(cancel_allowed=False), dict(reports_start=False)],
    ids=["whole_fleet", "no_cancel", "no_start_reports"],
)
def test_no_hedging_without_a_subset_cancels_or_start_reports(settings_changes):
    driver = fleet_driver(
        **{**dict(cls=WITH_IDEMPOTENCY_KEY, hedging_allowed=True, cancel_allowed=True), **settings_changes}
    )
    driver.request(1)
    assert not sends(driver.advance(SEC))


def test_no_hedging_where_a_class_is_not_idempotent():
    driver = Driver(
        endpoints=endpoint_list(60),
        dispatcher_count=100,
        hedging_allowed=True,
        cancel_allowed=True,
        reports_start=True,
        classes=(
            WITH_IDEMPOTENCY_KEY,
            interface.RequestClass("u", interface.RetrySemantics.NON_IDEMPOTENT, 400 * MS, 6 * SEC),
        ),
    )
    driver.request(1)
    assert not sends(driver.advance(SEC))


@pytest.mark.parametrize("workers", [60, 600])
def test_workers_examined_for_a_request_do_not_grow_with_the_fleet(workers, monkeypatch):
    # Ranking all workers for each request used too much CPU time in large fleets.
    examined = []
    original = WorkerSelection.is_available
    monkeypatch.setattr(
        WorkerSelection, "is_available", lambda self, worker: examined.append(worker) or original(self, worker)
    )
    driver = fleet_driver(dispatcher_count=workers * 2, workers=workers)
    examined.clear()
    for number in range(50):
        for request, worker in sends(driver.request(number)):
            driver.start(request, 0, worker)
            driver.end(request, 0, worker)
    assert 0 < len(examined) <= 50 * 20


def test_state_stays_bounded_while_workers_come_and_go():
    driver = fleet_driver(workers=20)
    for n in range(400):
        driver.advance(SEC)
        fresh = tuple(
            interface.Endpoint(f"n{n}-{index}", interface.WorkerState.READY, driver.now, 0, 0, index // 4)
            for index in range(20)
        )
        driver.handle(interface.EndpointList(interface.ListScope.COMPLETE, n + 2, fresh))
        for request, worker in sends(driver.request(n, left=SEC)):
            driver.advance(2 * SEC)
            driver.end(request, 0, worker, interface.AttemptResult.TIMEOUT)
    driver.advance(20 * SEC)
    assert len(driver.policy.workers) <= 20 * 12
    assert len(driver.policy.requests) <= 20
    assert len(driver.policy.context.timers) < 50


def test_failed_subscriptions_are_retried_at_spread_times_within_the_interval():
    times = set()
    for n in range(60):
        driver = fleet_driver(n, seed=1000 + n)
        driver.handle(interface.EndpointList(interface.ListScope.FAILED))
        last = began = driver.now
        for _ in range(6):
            while not any(isinstance(action, interface.Subscribe) for action in driver.advance(5 * MS)):
                assert driver.now - last < 4 * 10 * SEC
            last = driver.now
            driver.handle(interface.EndpointList(interface.ListScope.FAILED))
        times.add((driver.now - began) // (50 * MS))
    assert len(times) > 30


@pytest.mark.parametrize("weight", [1.0, 0.0, "live"])
def test_all_workers_of_the_subset_are_used_with_any_weights(weight):
    driver, rng = fleet_driver(), random.Random(3)
    for n in range(200):
        if n % 10 == 0:
            driver.handle(
                interface.EndpointList(
                    interface.ListScope.COMPLETE,
                    n + 2,
                    tuple(
                        worker._replace(weight=rng.random() * 4 if weight == "live" else weight)
                        for worker in endpoint_list(60)
                    ),
                )
            )
        for request, worker in sends(driver.request(n)):
            driver.start(request, 0, worker)
            driver.end(request, 0, worker)
        driver.advance(5 * SEC)
    assert {worker for _, worker in sends(driver.actions)} >= {worker.id for worker in driver.policy.subsets.local}


def report(driver, number, worker, free):
    driver.start(number, 0, worker)
    driver.handle(interface.AttemptEnded(number, 0, worker, interface.AttemptResult.OK, 0, True, (free,)))


def test_reported_free_slots_break_ties_until_stale():
    driver = fleet_driver(load_report_fields=("x0",), seed=4)
    subset = [worker.id for worker in driver.policy.subsets.local]
    for n in range(300):
        actions = sends(driver.request(n))
        report(driver, n, actions[0][1], 1.0 if actions[0][1] == subset[1] else 0.0)
    chosen = [sends(driver.request(1000))[0][1]]
    assert chosen == [subset[1]], "the worker with a free slot must be chosen"
    report(driver, 1000, subset[1], 1.0)
    seen = set()
    for n in range(2000, 2100):
        driver.advance(10 * SEC)  # all reports are stale by then
        actions = sends(driver.request(n))
        seen.add(actions[0][1])
        report(driver, n, actions[0][1], 0.0)
    assert seen == set(subset)


def test_health_checks_are_sent_only_if_allowed_and_own_traffic_is_small():
    for checks_allowed, dispatcher_count, expected in ((True, 100, 2), (True, 1, 0), (False, 100, 0)):
        driver = fleet_driver(
            dispatcher_count=dispatcher_count, health_checks_allowed=checks_allowed, load_report_fields=("x0",)
        )
        actions = driver.request(1)
        checked = [action.worker for action in actions if isinstance(action, interface.HealthCheck)]
        assert len(checked) == expected
        if checks_allowed and dispatcher_count == 100:
            driver.handle(
                interface.HealthCheckResult(checked[0], interface.AttemptResult.OK, 900, (2.0,)),
                interface.HealthCheckResult("unknown", interface.AttemptResult.OK, 900, (2.0,)),
            )
            assert sends(driver.advance(50 * MS)) == [(1, checked[0])]


def test_worker_whose_last_start_was_late_loses_ties():
    driver = fleet_driver(seed=8)
    ((_, slow),) = sends(driver.request(1))
    driver.advance(300 * MS)
    driver.start(1, 0, slow)
    driver.end(1, 0, slow)
    for n in range(2, 200):
        ((_, worker),) = sends(driver.request(n))
        assert worker != slow
        driver.start(n, 0, worker)
        driver.end(n, 0, worker)


def test_start_delay_is_learned_from_few_starts_if_own_traffic_is_small():
    # With many dispatchers, each of them sees few starts. With a weight of 0.1 for the newest start delay, they
    # continued to send to workers with full queues for seconds.
    for dispatcher_count, weight in ((100, 0.25), (1, 0.1)):
        driver = fleet_driver(dispatcher_count=dispatcher_count)
        ((_, worker),) = sends(driver.request(1))
        driver.advance(200 * MS)
        driver.start(1, 0, worker)
        assert driver.policy.subsets.roster.machine_types[0].start_delays.by_in_flight[0][0] == weight * 200 * MS
