"""The Retry-After from running totals equals that from full sums over requests and workers, to the microsecond."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgerroad.load_balancing import interface
from badgerroad.load_balancing.pending_requests import PendingRequest, PendingRequests
from badgerroad.load_balancing.retry_after import Backlog
from tests.support.policy_driver import MS, SEC, Driver, sends

CLASS = interface.RequestClass("c", latency_objective=60 * SEC, deadline=120 * SEC)


def full_sums(policy):
    """Compute Retry-After by its definition, from each unfinished request and each ready worker."""
    mean, now = policy.hints.mean, policy.context.now
    work = sum(max(request.expected_work, mean) for request in policy.requests.values() if not request.finished)
    capacity = (
        sum(
            worker.machine_type.slots * policy.estimates.speed(worker)
            for worker in policy.subsets.ready
            if worker.ejected_until <= now
        )
        / policy.settings.dispatcher_count
    )
    max_retry_after = policy.settings.max_retry_after
    return int(min(max(work / capacity, 50_000), max_retry_after)) if capacity else max_retry_after


@given(st.randoms(use_true_random=False))
def test_retry_after_equals_sums_over_each_request_and_worker(rng):
    infos = tuple(
        interface.Endpoint(f"w{n}", machine_type=n % 2, started_at=rng.choice((0, 95 * SEC))) for n in range(12)
    )
    driver = Driver(
        endpoints=infos,
        cls=CLASS,
        retry_after_allowed=True,
        max_retry_after=600 * SEC,
        slow_start_duration=20 * SEC,
        dispatcher_count=2,
    )
    open_attempts = []
    for number in range(60):
        open_attempts += [
            (request, 0, worker)
            for request, worker in sends(driver.request(number, hint=rng.choice((0, 7, 100)) * MS, left=100 * SEC))
        ]
        if rng.random() < 0.2:
            info = rng.choice(infos)._replace(
                state=rng.choice(
                    (interface.WorkerState.READY, interface.WorkerState.DRAINING, interface.WorkerState.GONE)
                )
            )
            driver.handle(interface.EndpointList(interface.ListScope.INCREMENTAL, number, (info,)))
        if open_attempts and rng.random() < 0.7:
            attempt = open_attempts.pop(rng.randrange(len(open_attempts)))
            driver.start(*attempt)
            driver.advance(rng.choice((1, 30 * MS, 2 * SEC)))
            driver.end(
                *attempt,
                result=rng.choice(
                    (interface.AttemptResult.OK, interface.AttemptResult.OK, interface.AttemptResult.ERROR)
                ),
            )
        assert driver.policy.answers.retry_after() == full_sums(driver.policy)


@given(st.lists(st.tuples(st.integers(0, 10**7), st.booleans()), max_size=40), st.floats(1.0, 1e7))
def test_total_work_equals_the_sum_over_pending_requests(history, mean):
    requests = PendingRequests()
    for number, (work, finishes) in enumerate(history):
        requests.add(PendingRequest(interface.Request(number), CLASS, False, 0, work))
        if finishes:
            requests.finish(requests[next(iter(requests))])
    assert requests.total_work(mean) == pytest.approx(
        sum(max(request.expected_work, mean) for request in requests.values()), rel=1e-12
    )


def test_a_drain_time_close_to_a_whole_microsecond_depends_on_the_summation_order():
    assert not Backlog(300_000.0, 1.0).is_order_independent(SEC, terms=10)
    assert Backlog(300_000.5, 1.0).is_order_independent(SEC, terms=10_000)
    assert Backlog(10.0, 1.0).is_order_independent(SEC, terms=10_000)  # below the minimum Retry-After
    assert Backlog(10.0, 0.0).is_order_independent(SEC, terms=10_000)
