"""What the policy answers to each event, and when."""

import pytest

from badgerroad.load_balancing import interface
from badgerroad.load_balancing.policy import DispatchPolicy
from tests.support.policy_driver import MS, SEC, Driver, finals, sends, settings

SAFE = interface.RequestClass("s", interface.RetrySemantics.IDEMPOTENT, 400 * MS, 6 * SEC, 2.0)


def test_held_job_is_answered_in_time():
    d = Driver(infos=())
    d.ask(1, hint=0)
    out = d.later(7 * SEC)
    assert finals(out) == [interface.Reject(1)]
    assert not d.d.requests
    assert not d.d.queue


def test_job_past_hope_is_refused_before_it_is_late():
    d = Driver(infos=())
    d.ask(1, hint=100 * MS)
    out = d.later(600 * MS)
    assert finals(out) == [interface.Reject(1)]


def test_subscribes_and_renews_with_bounded_backoff():
    d = Driver()
    assert d.said.count(interface.Subscribe()) == 1
    times = []
    for _ in range(10):
        d.feed(interface.EndpointList(interface.ListScope.FAILED))
        begin = d.now
        while interface.Subscribe() not in d.later(10 * MS):
            assert d.now - begin < 40 * SEC
        times.append(d.now - begin)
    assert times[0] >= 400 * MS
    assert max(times) <= 25 * SEC
    assert times[-1] > times[0]


def test_client_gone_before_and_after_its_answer():
    d = Driver(workers=1)
    d.ask(1)
    assert not finals(d.feed(interface.ClientDisconnected(1)))
    d.end(1, 0, "w0", interface.AttemptResult.OK)
    d.feed(interface.ClientDisconnected(1))
    assert not d.d.requests
    assert d.d.workers["w0"].in_flight_slots == 0


def test_outcome_after_the_final_answer():
    d = Driver(workers=1)
    d.ask(1, left=SEC)
    assert finals(d.later(2 * SEC)) == [interface.Fail(1)]
    assert not finals(d.end(1, 0, "w0", interface.AttemptResult.TIMEOUT, False))
    assert not d.d.requests


def test_unknown_things_are_ignored():
    d = Driver(workers=1)
    before = len(d.d.context.timers)
    out = d.feed(
        interface.AttemptStarted(7, 0, "x"),
        interface.AttemptProgressed(7, 0, "x", 0.5),
        interface.AttemptEnded(7, 3, "x", interface.AttemptResult.OK),
        interface.ClientDisconnected(7),
        interface.StreamStarted(7, 0, "x"),
        interface.HealthCheckResult("x", interface.AttemptResult.OK),
        interface.PeerMessage(1, b""),
        interface.Timer(12345),
    )
    assert out == []
    assert not d.d.requests
    assert len(d.d.context.timers) == before


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("dispatchers", 0),
        ("tick", 0),
        ("max_attempts", 0),
        ("cold_from", 0.0),
        ("fall_multiple", 0.0),
        ("overload_for", 0),
        ("classes", ()),
    ],
)
def test_impossible_settings_name_the_field(field, value):
    with pytest.raises(ValueError, match=field):
        DispatchPolicy(settings()._replace(**{field: value}), 1)


def test_memory_is_bounded():
    d = Driver(workers=2)
    for n in range(20_000):
        for _, w in sends(d.ask(n, hint=(n % 90 + 1) * MS)):
            d.start(n, 0, w)
            d.end(n, 0, w)
        d.later(MS)
    d.later(10 * SEC)
    assert not d.d.requests
    assert not d.d.queue
    assert len(d.d.context.timers) < 50


def test_a_repeat_is_late_by_what_its_client_has_waited():
    # Repeats of refused jobs, served as if new, made most answers late under overload.
    d = Driver(workers=1)
    d.ask(1, left=6 * SEC)
    out = d.ask(2, left=5 * SEC, hint=100 * MS)
    assert finals(out) == [interface.Reject(2)]


def test_a_client_that_gives_up_sooner_has_not_waited_where_repeats_are_marked():
    # One claim of a long wait had all later first tries of the class refused at once, though workers stood idle.
    d = Driver(workers=1, clients_mark_retries=True)
    d.ask(1, left=6 * SEC)
    d.start(1, 0, "w0")
    d.end(1, 0, "w0")
    assert sends(d.ask(2, left=3 * SEC)) == [(2, "w0")]
    d.start(2, 0, "w0")
    d.end(2, 0, "w0")
    assert finals(d.ask(3, left=2 * SEC, hint=100 * MS, client_retry=True)) == [
        interface.Reject(3)
    ]  # a second of its aim is gone
    assert sends(d.ask(4, left=2900 * MS, hint=100 * MS, client_retry=True)) == [(4, "w0")]


def test_a_claim_beyond_the_class_does_not_count_where_repeats_are_not_marked():
    d = Driver(workers=1)
    d.ask(1, left=3600 * SEC)
    assert not finals(d.ask(2, left=6 * SEC, hint=100 * MS))


def test_over_quota_yields_while_others_are_held():
    # A tenant's traffic beyond its share took slots from what is worth ten times as much.
    d = Driver(workers=1, tenants=(interface.Tenant("a", 2.0), interface.Tenant("b", 100.0)), over_quota_priority=0.1)
    d.ask(1, tenant=1)
    d.ask(2, tenant=1)
    assert not finals(d.ask(3, tenant=0))
    assert not finals(d.ask(4, tenant=0))
    assert finals(d.ask(5, tenant=0)) == [interface.Reject(5)]
    assert not finals(d.ask(6, tenant=1))


def test_changes_that_come_unprompted_need_no_subscription():
    d = Driver(must_subscribe=False)
    assert interface.Subscribe() not in d.said


def test_a_refusal_says_when_to_come_back_where_the_settings_allow_it():
    def advice(workers, max_retry_after=2 * SEC, **over):
        d = Driver(workers=workers, cls=SAFE, max_retry_after=max_retry_after, **over)
        for n in range(9):
            d.ask(n, hint=300 * MS)  # 3 or 1 each; none of them starts
        return finals(d.later(900 * MS) + d.ask(99, hint=300 * MS, left=100 * MS))[0].retry_after

    assert advice(3) == 0
    few, many = advice(1, retry_after_allowed=True), advice(3, retry_after_allowed=True)
    assert 0 < many < few <= 2 * SEC
    assert advice(0, retry_after_allowed=True) == 2 * SEC
    assert advice(1, MS, retry_after_allowed=True) == MS


def test_a_refusal_does_not_call_a_client_back_to_workers_that_are_left_alone():
    d = Driver(workers=1, cls=SAFE, retry_after_allowed=True, max_retry_after=2 * SEC)
    d.ask(1, hint=0)
    d.end(1, 0, "w0", interface.AttemptResult.CONNECT_FAILED)
    assert finals(d.feed(interface.Request(2, time_left=MS)) + d.later(MS))[0].retry_after >= 50 * MS


def test_what_a_client_has_left_behind_is_cancelled_where_that_is_allowed():
    for allowed in (True, False):
        d = Driver(workers=1, cancel_allowed=allowed)
        d.ask(1)
        assert d.feed(interface.ClientDisconnected(1)) == ([interface.Cancel(1, 0)] if allowed else [])
        d.end(1, 0, "w0", interface.AttemptResult.CANCELLED, finished=True)
        assert not d.d.requests
        assert d.d.workers["w0"].in_flight_slots == 0


def test_a_worker_that_tells_nothing_more_of_a_running_job_is_left_and_one_that_does_is_not():
    # A host that fell silent kept its jobs until their clients gave up.
    long = interface.RequestClass("s", interface.RetrySemantics.IDEMPOTENT, 20 * SEC, 30 * SEC, 2.0)
    d = Driver(workers=2, cls=long, progress_interval=SEC, cancel_allowed=True, hedging_allowed=True)
    for n in (1, 2):
        ((_, w),) = sends(d.ask(n, hint=SEC, left=30 * SEC))
        d.start(n, 0, w)
    silent = sends(d.said)[0][1]
    other = sends(d.said)[1][1]
    said = []
    for _ in range(4):
        said += d.later(SEC) + d.feed(interface.AttemptProgressed(2, 0, other, 0.1))
    assert [a for a in said if isinstance(a, interface.Cancel)] == [interface.Cancel(1, 0)]
    assert d.d.workers[silent].consecutive_failures == 1
    assert d.d.workers[other].consecutive_failures == 0
    d.end(2, 0, other)
    assert sends(d.end(1, 0, silent, interface.AttemptResult.CANCELLED)) == [(1, other)]
