"""Running sums give the answer that sums over each job and worker give, to the microsecond."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgerroad.load_balancing import interface
from badgerroad.load_balancing.pending_requests import PendingRequest, PendingRequests
from badgerroad.load_balancing.retry_after import Backlog
from tests.support.policy_driver import MS, SEC, Driver, sends

CLASS = interface.RequestClass("c", latency_objective=60 * SEC, deadline=120 * SEC)


def plain_sums(policy):
    """The answer by its definition: a look at each open job and each ready worker."""
    mean, now = policy.hints.mean, policy.context.now
    work = sum(max(job.expected_work, mean) for job in policy.requests.values() if not job.finished)
    pace = (
        sum(w.machine_type.slots * policy.estimates.speed(w) for w in policy.subsets.ready if w.ejected_until <= now)
        / policy.settings.dispatcher_count
    )
    most = policy.settings.max_retry_after
    return int(min(max(work / pace, 50_000), most)) if pace else most


@given(st.randoms(use_true_random=False))
def test_retry_after_equals_sums_over_each_request_and_worker(rng):
    infos = tuple(
        interface.Endpoint(f"w{n}", machine_type=n % 2, started_at=rng.choice((0, 95 * SEC))) for n in range(12)
    )
    driver = Driver(
        infos=infos,
        cls=CLASS,
        retry_after_allowed=True,
        max_retry_after=600 * SEC,
        slow_start_duration=20 * SEC,
        dispatcher_count=2,
    )
    open_attempts = []
    for number in range(60):
        open_attempts += [
            (r, 0, w) for r, w in sends(driver.request(number, hint=rng.choice((0, 7, 100)) * MS, left=100 * SEC))
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
        assert driver.policy.answers.retry_after() == plain_sums(driver.policy)


@given(st.lists(st.tuples(st.integers(0, 10**7), st.booleans()), max_size=40), st.floats(1.0, 1e7))
def test_total_work_equals_the_sum_over_pending_requests(history, mean):
    jobs = PendingRequests()
    for number, (hint, ends) in enumerate(history):
        jobs.add(PendingRequest(interface.Request(number), CLASS, False, 0, hint))
        if ends:
            jobs.finish(jobs[next(iter(jobs))])
    assert jobs.total_work(mean) == pytest.approx(sum(max(job.expected_work, mean) for job in jobs.values()), rel=1e-12)


def test_a_time_close_to_a_whole_microsecond_is_not_certain():
    assert not Backlog(300_000.0, 1.0).is_certain(SEC, terms=10)
    assert Backlog(300_000.5, 1.0).is_certain(SEC, terms=10_000)
    assert Backlog(10.0, 1.0).is_certain(SEC, terms=10_000)  # the least that an answer says
    assert Backlog(10.0, 0.0).is_certain(SEC, terms=10_000)
