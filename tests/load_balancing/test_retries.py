"""What may be sent again after an attempt has ended, and where (rule 2)."""

import pytest

from badgerroad.load_balancing import interface
from tests.support.policy_driver import MS, SEC, Driver, finals, sends

SAFE = interface.RequestClass("s", interface.RetrySemantics.IDEMPOTENT, 400 * MS, 6 * SEC, 2.0)


def keyed(deduplication_scope, deduplication_window=5 * SEC):
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
def test_bad_ending_shuns_the_worker_then_one_trial(result):
    # 'Full' and instant errors drain the tally and drew traffic.
    d = Driver(workers=1, cls=SAFE)
    d.ask(1)
    d.end(1, 0, "w0", result)
    assert not sends(d.ask(2))
    assert len(sends(d.later(300 * MS))) == 1


def test_full_for_more_slots_than_any_such_worker_showed_speaks_of_the_job():
    d = Driver(workers=1, cls=SAFE)
    d.ask(1, slots=1e5)
    d.end(1, 0, "w0", interface.AttemptResult.QUEUE_FULL)
    assert sends(d.ask(2)) == [(2, "w0")]


@pytest.mark.parametrize(
    "result",
    [interface.AttemptResult.QUEUE_FULL, interface.AttemptResult.CONNECT_FAILED, interface.AttemptResult.NOT_NEEDED],
)
def test_proof_that_it_never_ran_frees_an_unsafe_job(result):
    d = Driver(workers=2)
    ((_, w),) = sends(d.ask(1))
    other = {"w0": "w1", "w1": "w0"}[w]
    assert sends(d.end(1, 0, w, result)) == [(1, other)]


@pytest.mark.parametrize(
    "result",
    [
        interface.AttemptResult.ERROR,
        interface.AttemptResult.TIMEOUT,
        interface.AttemptResult.RESET,
        interface.AttemptResult.CANCELLED,
    ],
)
def test_unsafe_is_failed_once_it_may_have_run(result):
    d = Driver(workers=2)
    ((_, w),) = sends(d.ask(1))
    out = d.end(1, 0, w, result)
    assert finals(out) == [interface.Fail(1)]
    assert not sends(out)


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
def test_safe_goes_elsewhere(result):
    d = Driver(workers=2, cls=SAFE)
    ((_, w),) = sends(d.ask(1))
    out = d.end(1, 0, w, result)
    assert [s[1] for s in sends(out)] == [{"w0": "w1", "w1": "w0"}[w]]
    assert not finals(out)


@pytest.mark.parametrize(
    ("deduplication_scope", "allowed"),
    [
        (interface.DeduplicationScope.ALL, {"b", "c", "d"}),
        (interface.DeduplicationScope.ZONE, {"b", "c"}),
        (interface.DeduplicationScope.CELL, {"b"}),
    ],
)
def test_keyed_stays_in_its_group(deduplication_scope, allowed):
    rows = (("b", 0, 0), ("c", 0, 1), ("d", 1, 2))
    for seed in range(12):
        d = Driver(cls=keyed(deduplication_scope), seed=seed, infos=(interface.Endpoint("a", zone=0, cell=0),))
        assert sends(d.ask(1)) == [(1, "a")]
        d.feed(
            interface.EndpointList(
                interface.ListScope.INCREMENTAL, 2, tuple(interface.Endpoint(w, zone=z, cell=c) for w, z, c in rows)
            )
        )
        assert {w for _, w in sends(d.end(1, 0, "a", interface.AttemptResult.ERROR))} <= allowed


def test_keyed_window_ends():
    d = Driver(workers=2, cls=keyed(interface.DeduplicationScope.CELL, 100 * MS))
    ((_, w),) = sends(d.ask(1))
    d.later(150 * MS)
    out = d.end(1, 0, w, interface.AttemptResult.ERROR)
    assert finals(out) == [interface.Fail(1)]
    assert not sends(out)


def test_attempt_limit():
    d = Driver(workers=9, cls=SAFE, max_attempts=2)
    ((_, w),) = sends(d.ask(1))
    ((_, w),) = sends(d.end(1, 0, w, interface.AttemptResult.ERROR))
    assert finals(d.end(1, 1, w, interface.AttemptResult.ERROR)) == [interface.Reject(1)]


def test_job_past_hope_that_may_not_be_refused_fails_at_once():
    d = Driver(workers=2, cls=keyed(interface.DeduplicationScope.CELL))
    ((_, w),) = sends(d.ask(1, hint=10 * MS))
    d.now += 450 * MS  # more than its aim and its work allow
    assert finals(d.end(1, 0, w, interface.AttemptResult.ERROR)) == [interface.Fail(1)]
    assert not d.d.queue
    assert not d.d.requests


def test_an_attempt_given_up_before_its_time_strikes_the_worker():
    d = Driver(workers=2, cls=SAFE)
    ((_, w),) = sends(d.ask(1))
    assert sends(d.end(1, 0, w, interface.AttemptResult.TIMEOUT))
    assert d.d.workers[w].consecutive_failures == 1


def test_a_silent_worker_keeps_what_no_other_may_take():
    d = Driver(
        cls=keyed(interface.DeduplicationScope.CELL),
        infos=(interface.Endpoint("a", cell=0), interface.Endpoint("b", cell=1)),
        progress_interval=SEC,
        cancel_allowed=True,
        hedging_allowed=True,
    )
    ((_, w),) = sends(d.ask(1, hint=3 * SEC))
    d.start(1, 0, w)
    assert not [a for a in d.later(5 * SEC) if isinstance(a, interface.Cancel)]
    assert d.d.workers[w].consecutive_failures == 1
