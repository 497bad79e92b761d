"""Many dispatchers with zones of their own and away, probes and second copies, and how they share discovery."""

import random

import pytest

from badgerroad.discovery.watch_schedule import WatchSchedule
from badgerroad.load_balancing import interface
from tests.support.fleets import zoned
from tests.support.policy_driver import MS, SEC, Driver, sends


def first_sends(d, jobs, starts, number=1):
    """Jobs one by one; those sent to a zone of `starts` start at once. The zones of the first attempts."""
    zones = []
    for rid in range(number, number + jobs):
        d.ask(rid)
        sent = []
        for _ in range(50):
            for _, worker in sends(d.later(20 * MS)):
                sent.append((worker, d.d.workers[worker].info.zone))
                if sent[-1][1] in starts:
                    d.start(rid, len(sent) - 1, worker)
        zones.append(sent[0][1])
        for n, (worker, zone) in enumerate(sent):
            d.end(rid, n, worker, interface.AttemptResult.OK if zone in starts else interface.AttemptResult.CANCELLED)
    return zones


def test_first_attempts_stay_at_home_until_jobs_start_at_once_only_away():
    d = zoned()
    calm = first_sends(d, 60, starts={0, 1})
    assert calm.count(1) == 0
    busy = first_sends(zoned(seed=2), 120, starts={1})
    assert 0.3 < busy[60:].count(1) / 60 < 0.9  # never all: home must show when it is better again


def test_a_job_is_copied_at_growing_intervals_not_all_at_once():
    d = zoned()
    d.ask(1)
    sent = [d.now for _ in range(1500) for _ in sends(d.later(2 * MS))]
    assert len(sent) == 4
    gaps = [b - a for a, b in zip(sent, sent[1:], strict=False)]
    assert gaps[1] >= 3 * gaps[0]
    assert gaps[2] >= 3 * gaps[1]


def test_one_sick_worker_does_not_make_its_kind_look_slow():
    """A run twenty times its hint, weighed by its length, had jobs with ample time refused without an attempt."""
    d = zoned()
    for rid, slow in ((1, 20), (2, 1), (3, 1)):
        (_, worker), *_ = sends([*d.ask(rid, 2 * SEC, 200 * SEC), *d.later(50 * MS)])
        d.start(rid, 0, worker)
        d.later(slow * 2 * SEC)
        d.end(rid, 0, worker)
    assert sends([*d.ask(9, 3 * SEC, 20 * SEC), *d.later(50 * MS)])  # aim 4 s and twice its hint
    assert min(k.speed() for k in d.d.subsets.roster.machine_types.values()) > 0.5


def test_where_own_traffic_is_not_thin_a_long_run_counts_in_full():
    """Clipped there too, days of two dispatchers on real sockets came out lower in each of five pairs."""
    d = Driver(
        workers=2, cls=interface.RequestClass("job", interface.RetrySemantics.IDEMPOTENT, 4 * SEC, 60 * SEC, 2.0)
    )
    ((_, worker),) = sends(d.ask(1, 2 * SEC, 60 * SEC))
    d.start(1, 0, worker)
    d.later(40 * SEC)
    d.end(1, 0, worker)
    assert d.d.subsets.uses_whole_fleet
    assert d.d.subsets.roster.machine_types[0].speed() == pytest.approx(0.05)


def test_one_join_moves_few_of_the_hosts_that_dispatchers_keep_to():
    moved = []
    for n in range(40):
        d = zoned(dispatcher_index=n)
        before = {w.id for w in d.d.subsets.local + d.d.subsets.remote}
        d.feed(interface.EndpointList(interface.ListScope.INCREMENTAL, 2, (interface.Endpoint("new", zone=0, cell=3),)))
        moved.append(len({w.id for w in d.d.subsets.local + d.d.subsets.remote} - before))
    assert max(moved) <= 3
    assert sum(moved) <= 100


def test_dispatchers_that_failed_together_do_not_ask_together_again():
    """A failed call costs discovery as much as another: 24 that asked anew within half a second all failed again."""
    for many_of in (40, 200):
        asked = []
        for n in range(many_of):
            p, at = WatchSchedule(many_of, n, random.Random(n)), 0
            for _ in range(4):  # two looks, after which it is out, and two more, all of them without an answer
                call = p.call()
                at += call.patience + p.failed(call, call.patience)
            assert p.out
            assert at < 4 * 3_500 * MS
            asked.append(at)
        assert max(sum(a <= x < a + 500 * MS for x in asked) for a in asked) <= 0.35 * many_of  # as before: 14 of 40


@pytest.mark.parametrize(
    ("home", "away", "least", "most"),
    [(0.55, 0.5, 0.0, 0.0), (0.6, 0.4, 0.12, 0.28), (1.0, 0.0, 0.65, 0.75), (0.3, 0.6, 0.0, 0.0)],
)
def test_the_part_that_leaves_home_grows_with_the_difference_and_has_a_cap(home, away, least, most):
    d = zoned()
    d.d.estimates.queueing_share = {False: home, True: away}
    assert least <= sum(d.d.selection.goes_remote() for _ in range(2000)) / 2000 <= most


def test_copies_leave_home_too_when_jobs_start_only_away():
    d = zoned(seed=3)
    first_sends(d, 60, starts={1})
    d.said.clear()
    first_sends(d, 60, starts={1}, number=100)
    zones = [d.d.workers[a.worker].info.zone for a in d.said if isinstance(a, interface.Send)]
    assert zones.count(1) > zones.count(0)


def test_a_fresh_dispatcher_gives_probes_and_starts_the_time_of_a_connection():
    """It waited 4 ms, in which no new connection comes up: no probe counted, and the first job was copied at once."""
    d = zoned()
    assert not sends([*d.ask(1), *d.later(20 * MS)])
    assert len(sends(d.later(35 * MS))) == 1


def test_no_host_is_probed_twice_for_one_job():
    d = zoned()
    for rid in range(1, 60):
        probed = [a.worker for a in d.ask(rid) if isinstance(a, interface.HealthCheck)]
        assert len(set(probed)) == len(probed) > 0
        d.later(SEC)


def test_a_copy_goes_rather_to_a_host_that_was_asked_before():
    """Each to a host never asked opens a connection for one job."""
    d, new, copies = zoned(), 0, 0
    for rid in range(1, 81):
        d.ask(rid)
        sent = sends(d.later(110 * MS))
        copies += len(sent) - 1
        new += sum(not d.d.workers[w].last_report_at for _, w in sent[1:])
        d.start(rid, 0, sent[0][1])
        for n, (_, worker) in enumerate(sent):
            d.end(rid, n, worker, interface.AttemptResult.CANCELLED if n else interface.AttemptResult.OK)
        d.later(5 * SEC)  # what was heard of the others' load is old by then
    assert copies > 20
    assert new < copies / 4
