"""Policies of many dispatchers with zones, health checks and hedging, and how they spread their polls of discovery."""

import random

import pytest

from badgerroad.discovery.watch_schedule import WatchSchedule
from badgerroad.load_balancing import interface
from tests.support.fleets import two_zone_driver
from tests.support.policy_driver import MS, SEC, Driver, sends


def first_sends(driver, count, starting_zones, first_request=1):
    """Play `count` requests one after the other, and return the zones of their first attempts.

    Attempts in `starting_zones` start at once; the others wait and are cancelled in the end.
    """
    zones = []
    for request in range(first_request, first_request + count):
        driver.request(request)
        sent = []
        for _ in range(50):
            for _, worker in sends(driver.advance(20 * MS)):
                sent.append((worker, driver.policy.workers[worker].info.zone))
                if sent[-1][1] in starting_zones:
                    driver.start(request, len(sent) - 1, worker)
        zones.append(sent[0][1])
        for attempt, (worker, zone) in enumerate(sent):
            driver.end(
                request,
                attempt,
                worker,
                interface.AttemptResult.OK if zone in starting_zones else interface.AttemptResult.CANCELLED,
            )
    return zones


def test_first_attempts_stay_local_until_requests_start_at_once_only_remotely():
    driver = two_zone_driver()
    all_start = first_sends(driver, 60, starting_zones={0, 1})
    assert all_start.count(1) == 0
    local_zone_waits = first_sends(two_zone_driver(seed=2), 120, starting_zones={1})
    assert 0.3 < local_zone_waits[60:].count(1) / 60 < 0.9  # some stay, so that a local recovery is noticed


def test_requests_are_hedged_at_growing_intervals():
    driver = two_zone_driver()
    driver.request(1)
    sent = [driver.now for _ in range(1500) for _ in sends(driver.advance(2 * MS))]
    assert len(sent) == 4
    gaps = [later - earlier for earlier, later in zip(sent, sent[1:], strict=False)]
    assert gaps[1] >= 3 * gaps[0]
    assert gaps[2] >= 3 * gaps[1]


def test_one_slow_outlier_does_not_slow_its_machine_type():
    """An uncapped run of twenty times its hint lowered the estimated speed of the machine type so far that requests
    were rejected unsent."""
    driver = two_zone_driver()
    for request, slowdown in ((1, 20), (2, 1), (3, 1)):
        (_, worker), *_ = sends([*driver.request(request, 2 * SEC, 200 * SEC), *driver.advance(50 * MS)])
        driver.start(request, 0, worker)
        driver.advance(slowdown * 2 * SEC)
        driver.end(request, 0, worker)
    assert sends(
        [*driver.request(9, 3 * SEC, 20 * SEC), *driver.advance(50 * MS)]
    )  # the latency objective of the request is 4 s plus twice its hint
    assert min(machine_type.speed() for machine_type in driver.policy.subsets.roster.machine_types.values()) > 0.5


def test_slow_run_counts_in_full_where_the_whole_fleet_is_used():
    """Capping runs where the whole fleet is used lowered the score of two dispatchers on real sockets in each of five
    paired runs."""
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
    for index in range(40):
        driver = two_zone_driver(dispatcher_index=index)
        before = {worker.id for worker in driver.policy.subsets.local + driver.policy.subsets.remote}
        driver.handle(
            interface.EndpointList(interface.ListScope.INCREMENTAL, 2, (interface.Endpoint("new", zone=0, cell=3),))
        )
        moved.append(len({worker.id for worker in driver.policy.subsets.local + driver.policy.subsets.remote} - before))
    assert max(moved) <= 3
    assert sum(moved) <= 100


def test_dispatchers_whose_polls_failed_together_spread_their_retries():
    """Failed calls cost discovery as much time as other calls: 24 retries within half a second all failed again."""
    for dispatcher_count in (40, 200):
        retry_times = []
        for index in range(dispatcher_count):
            schedule, elapsed = WatchSchedule(dispatcher_count, index, random.Random(index)), 0
            for _ in range(4):  # all calls fail; discovery counts as unavailable after the second
                call = schedule.next_call()
                elapsed += call.timeout_us + schedule.call_failed(call, call.timeout_us)
            assert schedule.discovery_unavailable
            assert elapsed < 4 * 3_500 * MS
            retry_times.append(elapsed)
        assert (
            max(sum(begin <= time < begin + 500 * MS for time in retry_times) for begin in retry_times)
            <= 0.35 * dispatcher_count
        )  # that is, 14 of 40 dispatchers


@pytest.mark.parametrize(
    ("local_share", "remote_share", "min_share", "max_share"),
    [(0.55, 0.5, 0.0, 0.0), (0.6, 0.4, 0.12, 0.28), (1.0, 0.0, 0.65, 0.75), (0.3, 0.6, 0.0, 0.0)],
    ids=["nearly_equal", "local_waits_more", "only_local_waits", "remote_waits_more"],
)
def test_remote_share_grows_with_the_difference_of_queueing_and_is_capped(
    local_share, remote_share, min_share, max_share
):
    driver = two_zone_driver()
    driver.policy.estimates.queueing_share = {False: local_share, True: remote_share}
    assert min_share <= sum(driver.policy.selection.chooses_remote_zone() for _ in range(2000)) / 2000 <= max_share


def test_hedged_requests_go_remote_when_requests_start_only_there():
    driver = two_zone_driver(seed=3)
    first_sends(driver, 60, starting_zones={1})
    driver.actions.clear()
    first_sends(driver, 60, starting_zones={1}, first_request=100)
    zones = [
        driver.policy.workers[action.worker].info.zone
        for action in driver.actions
        if isinstance(action, interface.Send)
    ]
    assert zones.count(1) > zones.count(0)


def test_new_dispatcher_allows_health_checks_and_starts_the_time_to_connect():
    """With a time-out of 4 ms, too short to open a connection, no health check counted and the first request was
    hedged."""
    driver = two_zone_driver()
    assert not sends([*driver.request(1), *driver.advance(20 * MS)])
    assert len(sends(driver.advance(35 * MS))) == 1


def test_no_worker_is_health_checked_twice_for_one_request():
    driver = two_zone_driver()
    for request in range(1, 60):
        checked = [action.worker for action in driver.request(request) if isinstance(action, interface.HealthCheck)]
        assert len(set(checked)) == len(checked) > 0
        driver.advance(SEC)


def test_hedged_requests_prefer_workers_with_an_open_connection():
    """A hedged request to a worker without an open connection opens a connection for that request alone."""
    driver = two_zone_driver()
    hedged_without_connection = hedged = 0
    for request in range(1, 81):
        driver.request(request)
        sent = sends(driver.advance(110 * MS))
        hedged += len(sent) - 1
        hedged_without_connection += sum(not driver.policy.workers[worker].last_report_at for _, worker in sent[1:])
        driver.start(request, 0, sent[0][1])
        for attempt, (_, worker) in enumerate(sent):
            driver.end(
                request, attempt, worker, interface.AttemptResult.CANCELLED if attempt else interface.AttemptResult.OK
            )
        driver.advance(5 * SEC)  # the load reports are stale by then
    assert hedged > 20
    assert hedged_without_connection < hedged / 4
