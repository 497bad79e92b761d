"""Many dispatchers with local and remote zones, health checks and hedging, and how they share discovery."""

import random

import pytest

from badgerroad.discovery.watch_schedule import WatchSchedule
from badgerroad.load_balancing import interface
from tests.support.fleets import zoned
from tests.support.policy_driver import MS, SEC, Driver, sends


def first_sends(driver, jobs, starts, number=1):
    """Requests one by one; those sent to a zone of `starts` start at once. The zones of the first attempts."""
    zones = []
    for rid in range(number, number + jobs):
        driver.request(rid)
        sent = []
        for _ in range(50):
            for _, worker in sends(driver.advance(20 * MS)):
                sent.append((worker, driver.policy.workers[worker].info.zone))
                if sent[-1][1] in starts:
                    driver.start(rid, len(sent) - 1, worker)
        zones.append(sent[0][1])
        for n, (worker, zone) in enumerate(sent):
            driver.end(
                rid, n, worker, interface.AttemptResult.OK if zone in starts else interface.AttemptResult.CANCELLED
            )
    return zones


def test_first_attempts_stay_local_until_requests_start_at_once_only_remotely():
    driver = zoned()
    calm = first_sends(driver, 60, starts={0, 1})
    assert calm.count(1) == 0
    busy = first_sends(zoned(seed=2), 120, starts={1})
    assert 0.3 < busy[60:].count(1) / 60 < 0.9  # never all: the local zone must show when it is better again


def test_requests_are_hedged_at_growing_intervals():
    driver = zoned()
    driver.request(1)
    sent = [driver.now for _ in range(1500) for _ in sends(driver.advance(2 * MS))]
    assert len(sent) == 4
    gaps = [b - a for a, b in zip(sent, sent[1:], strict=False)]
    assert gaps[1] >= 3 * gaps[0]
    assert gaps[2] >= 3 * gaps[1]


def test_one_slow_outlier_does_not_slow_its_machine_type():
    """A run twenty times its hint, weighed by its length, had requests with ample time rejected without an attempt."""
    driver = zoned()
    for rid, slow in ((1, 20), (2, 1), (3, 1)):
        (_, worker), *_ = sends([*driver.request(rid, 2 * SEC, 200 * SEC), *driver.advance(50 * MS)])
        driver.start(rid, 0, worker)
        driver.advance(slow * 2 * SEC)
        driver.end(rid, 0, worker)
    assert sends([*driver.request(9, 3 * SEC, 20 * SEC), *driver.advance(50 * MS)])  # aim 4 s and twice its hint
    assert min(k.speed() for k in driver.policy.subsets.roster.machine_types.values()) > 0.5


def test_long_run_counts_in_full_where_the_whole_fleet_is_used():
    """Clipped there too, days of two dispatchers on real sockets came out lower in each of five pairs."""
    driver = Driver(
        workers=2, cls=interface.RequestClass("job", interface.RetrySemantics.IDEMPOTENT, 4 * SEC, 60 * SEC, 2.0)
    )
    ((_, worker),) = sends(driver.request(1, 2 * SEC, 60 * SEC))
    driver.start(1, 0, worker)
    driver.advance(40 * SEC)
    driver.end(1, 0, worker)
    assert driver.policy.subsets.uses_whole_fleet
    assert driver.policy.subsets.roster.machine_types[0].speed() == pytest.approx(0.05)


def test_one_join_changes_few_workers_of_the_subsets():
    moved = []
    for n in range(40):
        driver = zoned(dispatcher_index=n)
        before = {w.id for w in driver.policy.subsets.local + driver.policy.subsets.remote}
        driver.handle(
            interface.EndpointList(interface.ListScope.INCREMENTAL, 2, (interface.Endpoint("new", zone=0, cell=3),))
        )
        moved.append(len({w.id for w in driver.policy.subsets.local + driver.policy.subsets.remote} - before))
    assert max(moved) <= 3
    assert sum(moved) <= 100


def test_dispatchers_that_failed_together_do_not_poll_together_again():
    """A failed call costs discovery as much as another: 24 that asked anew within half a second all failed again."""
    for many_of in (40, 200):
        asked = []
        for n in range(many_of):
            p, at = WatchSchedule(many_of, n, random.Random(n)), 0
            for _ in range(4):  # two looks, after which it is out, and two more, all of them without an answer
                call = p.next_call()
                at += call.timeout_us + p.call_failed(call, call.timeout_us)
            assert p.discovery_unavailable
            assert at < 4 * 3_500 * MS
            asked.append(at)
        assert max(sum(a <= x < a + 500 * MS for x in asked) for a in asked) <= 0.35 * many_of  # as before: 14 of 40


@pytest.mark.parametrize(
    ("local_share", "remote_share", "least", "most"),
    [(0.55, 0.5, 0.0, 0.0), (0.6, 0.4, 0.12, 0.28), (1.0, 0.0, 0.65, 0.75), (0.3, 0.6, 0.0, 0.0)],
    ids=["nearly_equal", "local_waits_more", "only_local_waits", "remote_waits_more"],
)
def test_remote_share_grows_with_the_difference_and_has_a_cap(local_share, remote_share, least, most):
    driver = zoned()
    driver.policy.estimates.queueing_share = {False: local_share, True: remote_share}
    assert least <= sum(driver.policy.selection.goes_remote() for _ in range(2000)) / 2000 <= most


def test_hedged_requests_go_remote_when_requests_start_only_there():
    driver = zoned(seed=3)
    first_sends(driver, 60, starts={1})
    driver.actions.clear()
    first_sends(driver, 60, starts={1}, number=100)
    zones = [driver.policy.workers[a.worker].info.zone for a in driver.actions if isinstance(a, interface.Send)]
    assert zones.count(1) > zones.count(0)


def test_new_dispatcher_gives_health_checks_and_starts_the_time_of_a_connection():
    """It waited 4 ms, in which no new connection comes up: no health check counted, and the first request was hedged at once."""
    driver = zoned()
    assert not sends([*driver.request(1), *driver.advance(20 * MS)])
    assert len(sends(driver.advance(35 * MS))) == 1


def test_no_worker_is_health_checked_twice_for_one_request():
    driver = zoned()
    for rid in range(1, 60):
        checked = [a.worker for a in driver.request(rid) if isinstance(a, interface.HealthCheck)]
        assert len(set(checked)) == len(checked) > 0
        driver.advance(SEC)


def test_hedged_request_prefers_a_worker_with_a_known_connection():
    """Each to a worker without a connection opens one for one request."""
    driver = zoned()
    without_connection = hedged = 0
    for rid in range(1, 81):
        driver.request(rid)
        sent = sends(driver.advance(110 * MS))
        hedged += len(sent) - 1
        without_connection += sum(not driver.policy.workers[w].last_report_at for _, w in sent[1:])
        driver.start(rid, 0, sent[0][1])
        for n, (_, worker) in enumerate(sent):
            driver.end(rid, n, worker, interface.AttemptResult.CANCELLED if n else interface.AttemptResult.OK)
        driver.advance(5 * SEC)  # what was reported of the others' load is old by then
    assert hedged > 20
    assert without_connection < hedged / 4
