"""Which worker a request is sent to, and when it is queued or rejected instead."""

import pytest

from badgerroad.load_balancing import interface
from tests.support.policy_driver import MS, SEC, Driver, finals, sends

IDEMPOTENT_CLASS = interface.RequestClass("s", interface.RetrySemantics.IDEMPOTENT, 400 * MS, 6 * SEC, 2.0)


def test_cutoff_of_long_requests_follows_the_hints_of_requests_that_ran():
    driver = Driver(workers=1)

    def run(numbers, unit):
        for n in numbers:
            driver.request(n, hint=(n % 100 + 1) * unit)
            driver.start(n, 0, "w0")
            driver.end(n, 0, "w0")

    run(range(300), MS)
    assert 95 * MS <= driver.policy.hints.cutoff <= 99 * MS
    run(range(300, 1000), 10 * MS)
    assert 950 * MS <= driver.policy.hints.cutoff <= 990 * MS
    before = driver.policy.hints.cutoff, driver.policy.hints.mean
    for n in range(1000, 1600):  # hints of requests that never ran must not affect other clients
        driver.request(n, hint=5000 * SEC if n % 2 else MS)
        driver.end(n, 0, "w0", interface.AttemptResult.INVALID_REQUEST, finished=True)
    assert (driver.policy.hints.cutoff, driver.policy.hints.mean) == before
    assert not driver.policy.requests


def test_short_request_goes_to_the_worker_with_fewest_in_flight():
    driver = Driver(workers=3)
    used = []
    for n in range(3):
        used += [worker for _, worker in sends(driver.request(n))]
    assert sorted(used) == ["w0", "w1", "w2"]


def test_ties_are_random_by_seed_and_repeatable():
    def first(seed):
        return sends(Driver(workers=8, seed=seed).request(1))[0][1]

    assert first(3) == first(3)
    assert len({first(seed) for seed in range(30)}) > 3


def test_worker_gets_one_long_request_at_a_time():
    driver = Driver(workers=1)
    for n in range(200):
        for _ in sends(driver.request(n, hint=(n % 50 + 1) * MS)):
            driver.start(n, 0, "w0")
            driver.end(n, 0, "w0")
    assert sends(driver.request(900, hint=300 * MS)) == [(900, "w0")]
    driver.start(900, 0, "w0")
    assert sends(driver.request(901, hint=300 * MS)) == []
    assert (901, "w0") in sends(driver.end(900, 0, "w0"))


def test_request_is_queued_while_an_earlier_one_waits_at_the_worker():
    # Sending further requests behind a waiting one made most answers late under load.
    driver = Driver(workers=1)
    assert sends(driver.request(1))
    assert not sends(driver.request(2))
    assert sends(driver.start(1, 0, "w0")) == [(2, "w0")]


def test_queued_requests_too_urgent_for_the_worker_do_not_block_later_ones():
    # Such requests kept an available worker idle, although it could have met the objectives of later requests.
    driver = Driver(workers=1)
    driver.request(0)
    for n in range(1, 4):
        driver.request(n, hint=200 * MS)
    driver.request(9, hint=300 * MS, left=6 * SEC)
    driver.policy.subsets.roster.machine_types[0].start_delays.by_in_flight[1] = 325.0 * MS, driver.now
    assert sends(driver.start(0, 0, "w0")) == [(9, "w0")]


@pytest.mark.parametrize("state", [interface.WorkerState.DRAINING, interface.WorkerState.GONE])
def test_no_request_to_a_draining_or_gone_worker(state):
    driver = Driver(workers=2)
    driver.handle(interface.EndpointList(interface.ListScope.INCREMENTAL, 2, (interface.Endpoint("w0", state),)))
    assert {worker for n in range(5) for _, worker in sends(driver.request(n))} == {"w1"}


def test_worker_missing_in_a_complete_list_is_removed_and_a_restarted_one_starts_without_attempts():
    driver = Driver(workers=2)
    driver.request(1)
    driver.request(2)
    driver.handle(
        interface.EndpointList(
            interface.ListScope.COMPLETE, 2, (interface.Endpoint("w0", started_at=driver.now - 60 * SEC),)
        )
    )
    assert list(driver.policy.workers) == ["w0"]
    assert driver.policy.workers["w0"].in_flight_slots == 0
    driver.end(1, 0, driver.actions[-1].worker if isinstance(driver.actions[-1], interface.Send) else "w0")
    driver.end(2, 0, "w1")
    assert driver.policy.workers["w0"].in_flight_slots == 0


def test_warming_up_worker_gets_no_more_than_its_budget():
    # A request below the mean work counts as the mean work, as many small requests overloaded warming-up workers too.
    driver = Driver(workers=1, dispatcher_count=2)
    for n in range(100):
        for _ in sends(driver.request(n, hint=100 * MS)):
            driver.start(n, 0, "w0")
            driver.now += 100 * MS
            driver.end(n, 0, "w0")
        driver.now += 500 * MS
    driver.handle(
        interface.EndpointList(interface.ListScope.COMPLETE, 2, (interface.Endpoint("new", started_at=driver.now),))
    )
    count = 0
    for n in range(1000, 1100):
        for _ in sends(driver.request(n, hint=10 * MS)):
            count += 1
            driver.start(n, 0, "new")
            driver.end(n, 0, "new")
    capacity = (
        driver.policy.subsets.roster.machine_types[0].slots
        * driver.policy.subsets.roster.machine_types[0].speed()
        * 0.2
    )
    assert count * 100 * MS <= 3.0 * capacity * SEC / 2 + 1


def test_requests_without_hints_count_as_short_and_are_sent():
    driver = Driver(workers=1)
    for n in range(5):
        assert sends(driver.request(n, hint=0)) == [(n, "w0")]
        driver.start(n, 0, "w0")
        driver.end(n, 0, "w0")
    assert driver.policy.hints.cutoff == 0


def test_every_request_is_answered_while_all_workers_warm_up():
    infos = tuple(interface.Endpoint(f"w{n}", started_at=99_900_000) for n in range(3))
    driver = Driver(endpoints=infos, dispatcher_count=2)
    actions = []
    for n in range(20):
        actions += driver.request(n, hint=100 * MS)
    actions += driver.advance(7 * SEC)
    sent = {request for request, _ in sends(actions)}
    assert len(finals(actions)) == 20
    assert len(sent) < 20


def test_retried_request_is_not_used_as_the_trial_of_a_worker_with_failures():
    # Idle workers with failures ranked before busy workers. A retried request thus spent its four attempts on two idle
    # workers with failures.
    for seed in range(8):
        driver = Driver(workers=3, cls=IDEMPOTENT_CLASS, seed=seed)
        for worker in driver.policy.workers.values():
            worker.machine_type.slots = 4.0
        driver.policy.workers["w0"].consecutive_failures = 1
        driver.policy.workers["w1"].in_flight_slots = driver.policy.workers["w1"].running_slots = driver.policy.workers[
            "w2"
        ].in_flight_slots = driver.policy.workers["w2"].running_slots = 2.0
        ((_, first),) = sends(driver.request(1))
        assert first == "w0"  # a first attempt may be the trial of a worker with failures
        ((_, second),) = sends(driver.end(1, 0, "w0", interface.AttemptResult.ERROR))
        driver.policy.workers["w0"].ejected_until = 0  # ends the ejection of w0
        ((_, third),) = sends(driver.end(1, 1, second, interface.AttemptResult.ERROR))
        assert {second, third} == {"w1", "w2"}


def test_speed_decides_only_between_workers_with_nearly_equal_own_load():
    def chosen_worker(in_flight, hint=10 * MS):
        driver = Driver(
            endpoints=(interface.Endpoint("fast", machine_type=0), interface.Endpoint("slow", machine_type=1))
        )
        for n, speed in enumerate((1.0, 0.4)):
            machine_type = driver.policy.subsets.roster.machine_types[n]
            machine_type.slots, machine_type.throughput.work, machine_type.throughput.elapsed = 4.0, speed * SEC, SEC
        driver.policy.workers["fast"].in_flight_slots = driver.policy.workers["fast"].running_slots = in_flight
        return sends(driver.request(1, hint=hint))[0][1]

    assert chosen_worker(in_flight=0.0) == "fast"
    assert chosen_worker(in_flight=1.0) == "slow"
    assert (
        chosen_worker(in_flight=1.0, hint=500 * MS) == "fast"
    )  # on the slow worker it would take 1250 of 1400 ms, too close to the objective as hints are inexact
