"""Final answers of the policy, and the events and settings that lead to them."""

import pytest

from badgerroad.load_balancing import interface
from badgerroad.load_balancing.policy import DispatchPolicy
from tests.support.policy_driver import MS, SEC, Driver, finals, sends, settings

IDEMPOTENT_CLASS = interface.RequestClass("s", interface.RetrySemantics.IDEMPOTENT, 400 * MS, 6 * SEC, 2.0)


def test_queued_request_is_answered_before_its_deadline():
    driver = Driver(endpoints=())
    driver.request(1, hint=0)
    actions = driver.advance(7 * SEC)
    assert finals(actions) == [interface.Reject(1)]
    assert not driver.policy.requests
    assert not driver.policy.queue


def test_request_that_cannot_meet_its_objective_is_rejected_early():
    driver = Driver(endpoints=())
    driver.request(1, hint=100 * MS)
    actions = driver.advance(600 * MS)
    assert finals(actions) == [interface.Reject(1)]


def test_subscription_is_renewed_with_bounded_backoff():
    driver = Driver()
    assert driver.actions.count(interface.Subscribe()) == 1
    times = []
    for _ in range(10):
        driver.handle(interface.EndpointList(interface.ListScope.FAILED))
        begin = driver.now
        while interface.Subscribe() not in driver.advance(10 * MS):
            assert driver.now - begin < 40 * SEC
        times.append(driver.now - begin)
    assert times[0] >= 400 * MS
    assert max(times) <= 25 * SEC
    assert times[-1] > times[0]


def test_client_disconnect_before_and_after_the_answer_leaves_nothing_in_flight():
    driver = Driver(workers=1)
    driver.request(1)
    assert not finals(driver.handle(interface.ClientDisconnected(1)))
    driver.end(1, 0, "w0", interface.AttemptResult.OK)
    driver.handle(interface.ClientDisconnected(1))
    assert not driver.policy.requests
    assert driver.policy.workers["w0"].in_flight_slots == 0


def test_attempt_end_after_the_final_answer_gives_no_second_answer():
    driver = Driver(workers=1)
    driver.request(1, left=SEC)
    assert finals(driver.advance(2 * SEC)) == [interface.Fail(1)]
    assert not finals(driver.end(1, 0, "w0", interface.AttemptResult.TIMEOUT, False))
    assert not driver.policy.requests


def test_events_about_unknown_requests_and_workers_are_ignored():
    driver = Driver(workers=1)
    before = len(driver.policy.context.timers)
    actions = driver.handle(
        interface.AttemptStarted(7, 0, "x"),
        interface.AttemptProgressed(7, 0, "x", 0.5),
        interface.AttemptEnded(7, 3, "x", interface.AttemptResult.OK),
        interface.ClientDisconnected(7),
        interface.StreamStarted(7, 0, "x"),
        interface.HealthCheckResult("x", interface.AttemptResult.OK),
        interface.PeerMessage(1, b""),
        interface.Timer(12345),
    )
    assert actions == []
    assert not driver.policy.requests
    assert len(driver.policy.context.timers) == before


@pytest.mark.parametrize(
    ("field", "value", "name"),
    [
        ("dispatcher_count", 0, "dispatchers"),
        ("tick", 0, "tick"),
        ("max_attempts", 0, "max_attempts"),
        ("slow_start_share", 0.0, "cold_from"),
        ("overload_threshold", 0.0, "fall_multiple"),
        ("overload_window", 0, "overload_for"),
        ("classes", (), "classes"),
    ],
)
def test_invalid_settings_raise_an_error_that_names_the_field(field, value, name):
    invalid = settings()._replace(**{field: value})
    with pytest.raises(ValueError, match=f"^{name}: "):
        DispatchPolicy(invalid, 1)


def test_finished_requests_leave_no_state():
    driver = Driver(workers=2)
    for n in range(20_000):
        for _, worker in sends(driver.request(n, hint=(n % 90 + 1) * MS)):
            driver.start(n, 0, worker)
            driver.end(n, 0, worker)
        driver.advance(MS)
    driver.advance(10 * SEC)
    assert not driver.policy.requests
    assert not driver.policy.queue
    assert len(driver.policy.context.timers) < 50


def test_latency_objective_of_a_client_retry_counts_from_the_first_try():
    # Treating retries of rejected requests as new ones made most answers late under overload.
    driver = Driver(workers=1)
    driver.request(1, left=6 * SEC)
    actions = driver.request(2, left=5 * SEC, hint=100 * MS)
    assert finals(actions) == [interface.Reject(2)]


def test_short_time_left_does_not_count_as_waiting_if_clients_mark_retries():
    # A single request with a long time left led to the rejection of all later first tries of its class, although
    # workers were idle.
    driver = Driver(workers=1, clients_mark_retries=True)
    driver.request(1, left=6 * SEC)
    driver.start(1, 0, "w0")
    driver.end(1, 0, "w0")
    assert sends(driver.request(2, left=3 * SEC)) == [(2, "w0")]
    driver.start(2, 0, "w0")
    driver.end(2, 0, "w0")
    assert finals(driver.request(3, left=2 * SEC, hint=100 * MS, client_retry=True)) == [
        interface.Reject(3)
    ]  # the client has waited for a second, longer than the latency objective
    assert sends(driver.request(4, left=2900 * MS, hint=100 * MS, client_retry=True)) == [(4, "w0")]


def test_time_left_beyond_the_class_deadline_is_ignored_if_clients_do_not_mark_retries():
    driver = Driver(workers=1)
    driver.request(1, left=3600 * SEC)
    assert not finals(driver.request(2, left=6 * SEC, hint=100 * MS))


def test_request_over_quota_is_rejected_while_others_are_queued():
    # Requests over quota took slots from requests with ten times their priority weight.
    driver = Driver(
        workers=1, tenants=(interface.Tenant("a", 2.0), interface.Tenant("b", 100.0)), over_quota_priority=0.1
    )
    driver.request(1, tenant=1)
    driver.request(2, tenant=1)
    assert not finals(driver.request(3, tenant=0))
    assert not finals(driver.request(4, tenant=0))
    assert finals(driver.request(5, tenant=0)) == [interface.Reject(5)]
    assert not finals(driver.request(6, tenant=1))


def test_no_subscription_if_list_changes_are_sent_without_one():
    driver = Driver(must_subscribe=False)
    assert interface.Subscribe() not in driver.actions


def test_rejection_carries_retry_after_if_the_settings_allow_it():
    def retry_after(workers, max_retry_after=2 * SEC, **settings_changes):
        driver = Driver(workers=workers, cls=IDEMPOTENT_CLASS, max_retry_after=max_retry_after, **settings_changes)
        for n in range(9):
            driver.request(n, hint=300 * MS)  # one request is sent to each worker, and none of them starts
        return finals(driver.advance(900 * MS) + driver.request(99, hint=300 * MS, left=100 * MS))[0].retry_after

    assert retry_after(3) == 0
    few, many = retry_after(1, retry_after_allowed=True), retry_after(3, retry_after_allowed=True)
    assert 0 < many < few <= 2 * SEC
    assert retry_after(0, retry_after_allowed=True) == 2 * SEC
    assert retry_after(1, MS, retry_after_allowed=True) == MS


def test_retry_after_does_not_count_ejected_workers():
    driver = Driver(workers=1, cls=IDEMPOTENT_CLASS, retry_after_allowed=True, max_retry_after=2 * SEC)
    driver.request(1, hint=0)
    driver.end(1, 0, "w0", interface.AttemptResult.CONNECT_FAILED)
    assert finals(driver.handle(interface.Request(2, time_left=MS)) + driver.advance(MS))[0].retry_after >= 50 * MS


def test_attempts_of_a_disconnected_client_are_cancelled_if_allowed():
    for allowed in (True, False):
        driver = Driver(workers=1, cancel_allowed=allowed)
        driver.request(1)
        assert driver.handle(interface.ClientDisconnected(1)) == ([interface.Cancel(1, 0)] if allowed else [])
        driver.end(1, 0, "w0", interface.AttemptResult.CANCELLED, finished=True)
        assert not driver.policy.requests
        assert driver.policy.workers["w0"].in_flight_slots == 0


def test_only_a_worker_with_missing_progress_reports_loses_its_request():
    # A worker that stopped responding kept its requests until their clients gave up.
    long = interface.RequestClass("s", interface.RetrySemantics.IDEMPOTENT, 20 * SEC, 30 * SEC, 2.0)
    driver = Driver(workers=2, cls=long, progress_interval=SEC, cancel_allowed=True, hedging_allowed=True)
    for n in (1, 2):
        ((_, worker),) = sends(driver.request(n, hint=SEC, left=30 * SEC))
        driver.start(n, 0, worker)
    silent = sends(driver.actions)[0][1]
    other = sends(driver.actions)[1][1]
    actions = []
    for _ in range(4):
        actions += driver.advance(SEC) + driver.handle(interface.AttemptProgressed(2, 0, other, 0.1))
    assert [a for a in actions if isinstance(a, interface.Cancel)] == [interface.Cancel(1, 0)]
    assert driver.policy.workers[silent].consecutive_failures == 1
    assert driver.policy.workers[other].consecutive_failures == 0
    driver.end(2, 0, other)
    assert sends(driver.end(1, 0, silent, interface.AttemptResult.CANCELLED)) == [(1, other)]
