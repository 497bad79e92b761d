"""Whether a request may be sent again after an attempt has ended, and to which workers."""

import pytest

from badgerroad.load_balancing import interface
from tests.support.policy_driver import MS, SEC, Driver, finals, sends

IDEMPOTENT_CLASS = interface.RequestClass("s", interface.RetrySemantics.IDEMPOTENT, 400 * MS, 6 * SEC, 2.0)


def with_idempotency_key(deduplication_scope, deduplication_window=5 * SEC):
    return interface.RequestClass(
        "k", interface.RetrySemantics.IDEMPOTENCY_KEY, 400 * MS, 6 * SEC, 2.0, deduplication_scope, deduplication_window
    )


@pytest.mark.parametrize(
    "result",
    [
        interface.AttemptResult.ERROR,
        interface.AttemptResult.QUEUE_FULL,
        interface.AttemptResult.CONNECT_FAILED,
        interface.AttemptResult.RESET,
    ],
)
def test_fault_ejects_the_worker_which_then_gets_one_trial_request(result):
    # Workers that reject or fail attempts at once have few requests in flight. They therefore attracted more traffic.
    driver = Driver(workers=1, cls=IDEMPOTENT_CLASS)
    driver.request(1)
    driver.end(1, 0, "w0", result)
    assert not sends(driver.request(2))
    assert len(sends(driver.advance(300 * MS))) == 1


def test_rejection_of_more_slots_than_any_worker_has_is_no_fault():
    driver = Driver(workers=1, cls=IDEMPOTENT_CLASS)
    driver.request(1, slots=1e5)
    driver.end(1, 0, "w0", interface.AttemptResult.QUEUE_FULL)
    assert sends(driver.request(2)) == [(2, "w0")]


@pytest.mark.parametrize(
    "result",
    [interface.AttemptResult.QUEUE_FULL, interface.AttemptResult.CONNECT_FAILED, interface.AttemptResult.NOT_NEEDED],
)
def test_non_idempotent_request_is_retried_when_it_never_ran(result):
    driver = Driver(workers=2)
    ((_, worker),) = sends(driver.request(1))
    other = {"w0": "w1", "w1": "w0"}[worker]
    assert sends(driver.end(1, 0, worker, result)) == [(1, other)]


@pytest.mark.parametrize(
    "result",
    [
        interface.AttemptResult.ERROR,
        interface.AttemptResult.TIMEOUT,
        interface.AttemptResult.RESET,
        interface.AttemptResult.CANCELLED,
    ],
)
def test_non_idempotent_request_fails_once_it_may_have_run(result):
    driver = Driver(workers=2)
    ((_, worker),) = sends(driver.request(1))
    actions = driver.end(1, 0, worker, result)
    assert finals(actions) == [interface.Fail(1)]
    assert not sends(actions)


@pytest.mark.parametrize(
    "result",
    [
        interface.AttemptResult.ERROR,
        interface.AttemptResult.TIMEOUT,
        interface.AttemptResult.RESET,
        interface.AttemptResult.CANCELLED,
        interface.AttemptResult.QUEUE_FULL,
        interface.AttemptResult.CONNECT_FAILED,
    ],
)
def test_idempotent_request_is_retried_on_another_worker(result):
    driver = Driver(workers=2, cls=IDEMPOTENT_CLASS)
    ((_, worker),) = sends(driver.request(1))
    actions = driver.end(1, 0, worker, result)
    assert [send[1] for send in sends(actions)] == [{"w0": "w1", "w1": "w0"}[worker]]
    assert not finals(actions)


@pytest.mark.parametrize(
    ("deduplication_scope", "allowed"),
    [
        (interface.DeduplicationScope.ALL, {"b", "c", "d"}),
        (interface.DeduplicationScope.ZONE, {"b", "c"}),
        (interface.DeduplicationScope.CELL, {"b"}),
    ],
)
def test_request_with_an_idempotency_key_stays_in_its_deduplication_scope(deduplication_scope, allowed):
    rows = (("b", 0, 0), ("c", 0, 1), ("d", 1, 2))
    for seed in range(12):
        driver = Driver(
            cls=with_idempotency_key(deduplication_scope),
            seed=seed,
            endpoints=(interface.Endpoint("a", zone=0, cell=0),),
        )
        assert sends(driver.request(1)) == [(1, "a")]
        driver.handle(
            interface.EndpointList(
                interface.ListScope.INCREMENTAL,
                2,
                tuple(interface.Endpoint(worker, zone=z, cell=c) for worker, z, c in rows),
            )
        )
        assert {worker for _, worker in sends(driver.end(1, 0, "a", interface.AttemptResult.ERROR))} <= allowed


def test_no_retry_after_the_deduplication_window():
    driver = Driver(workers=2, cls=with_idempotency_key(interface.DeduplicationScope.CELL, 100 * MS))
    ((_, worker),) = sends(driver.request(1))
    driver.advance(150 * MS)
    actions = driver.end(1, 0, worker, interface.AttemptResult.ERROR)
    assert finals(actions) == [interface.Fail(1)]
    assert not sends(actions)


def test_request_gets_no_more_than_max_attempts():
    driver = Driver(workers=9, cls=IDEMPOTENT_CLASS, max_attempts=2)
    ((_, worker),) = sends(driver.request(1))
    ((_, worker),) = sends(driver.end(1, 0, worker, interface.AttemptResult.ERROR))
    assert finals(driver.end(1, 1, worker, interface.AttemptResult.ERROR)) == [interface.Reject(1)]


def test_request_that_cannot_meet_its_objective_fails_if_a_rejection_is_not_safe():
    driver = Driver(workers=2, cls=with_idempotency_key(interface.DeduplicationScope.CELL))
    ((_, worker),) = sends(driver.request(1, hint=10 * MS))
    driver.now += 450 * MS  # past the latest start with which request 1 can meet its objective
    assert finals(driver.end(1, 0, worker, interface.AttemptResult.ERROR)) == [interface.Fail(1)]
    assert not driver.policy.queue
    assert not driver.policy.requests


def test_timeout_counts_as_a_fault_of_the_worker():
    driver = Driver(workers=2, cls=IDEMPOTENT_CLASS)
    ((_, worker),) = sends(driver.request(1))
    assert sends(driver.end(1, 0, worker, interface.AttemptResult.TIMEOUT))
    assert driver.policy.workers[worker].consecutive_failures == 1


def test_silent_worker_keeps_a_request_that_no_other_may_run():
    driver = Driver(
        cls=with_idempotency_key(interface.DeduplicationScope.CELL),
        endpoints=(interface.Endpoint("a", cell=0), interface.Endpoint("b", cell=1)),
        progress_interval=SEC,
        cancel_allowed=True,
        hedging_allowed=True,
    )
    ((_, worker),) = sends(driver.request(1, hint=3 * SEC))
    driver.start(1, 0, worker)
    assert not [a for a in driver.advance(5 * SEC) if isinstance(a, interface.Cancel)]
    assert driver.policy.workers[worker].consecutive_failures == 1


@pytest.mark.parametrize(
    "result",
    [interface.AttemptResult.CANCELLED, interface.AttemptResult.TIMEOUT, interface.AttemptResult.RESET],
)
@pytest.mark.parametrize("seed", range(10))
def test_a_retry_avoids_workers_that_may_still_run_an_earlier_attempt_if_there_are_others(result, seed):
    """A further attempt at such a worker waits until the worker has confirmed a cancel."""
    driver = Driver(workers=4, cls=IDEMPOTENT_CLASS, seed=seed, max_attempts=4)
    tried = []
    actions = driver.request(1)
    for attempt in range(4):
        ((_, worker),) = sends(actions)
        tried.append(worker)
        actions = driver.end(1, attempt, worker, result)
    assert sorted(tried) == ["w0", "w1", "w2", "w3"]


def test_a_retry_goes_to_a_worker_that_may_still_run_an_earlier_attempt_if_there_is_no_other():
    driver = Driver(workers=2, cls=IDEMPOTENT_CLASS, max_attempts=3)
    ((_, first),) = sends(driver.request(1))
    ((_, second),) = sends(driver.end(1, 0, first, interface.AttemptResult.CANCELLED))
    assert sends(driver.end(1, 1, second, interface.AttemptResult.CANCELLED)) == [(1, first)]
