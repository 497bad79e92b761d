"""Which worker gets a job, and what no worker gets."""

import pytest

from badgerroad.load_balancing import interface
from tests.support.policy_driver import MS, SEC, Driver, finals, sends

SAFE = interface.RequestClass("s", interface.RetrySemantics.IDEMPOTENT, 400 * MS, 6 * SEC, 2.0)


def test_cutoff_follows_the_hints_of_jobs_that_ran():
    d = Driver(workers=1)

    def run(numbers, unit):
        for n in numbers:
            d.ask(n, hint=(n % 100 + 1) * unit)
            d.start(n, 0, "w0")
            d.end(n, 0, "w0")

    run(range(300), MS)
    assert 95 * MS <= d.d.hints.cutoff <= 99 * MS
    run(range(300, 1000), 10 * MS)
    assert 950 * MS <= d.d.hints.cutoff <= 990 * MS
    known = d.d.hints.cutoff, d.d.hints.mean
    for n in range(1000, 1600):  # what clients merely claim must not bend what others get
        d.ask(n, hint=5000 * SEC if n % 2 else MS)
        d.end(n, 0, "w0", interface.AttemptResult.INVALID_REQUEST, finished=True)
    assert (d.d.hints.cutoff, d.d.hints.mean) == known
    assert not d.d.requests


def test_short_job_to_the_fewest_in_flight():
    d = Driver(workers=3)
    used = []
    for n in range(3):
        used += [w for _, w in sends(d.ask(n))]
    assert sorted(used) == ["w0", "w1", "w2"]


def test_ties_are_random_by_seed_and_repeatable():
    def first(seed):
        return sends(Driver(workers=8, seed=seed).ask(1))[0][1]

    assert first(3) == first(3)
    assert len({first(s) for s in range(30)}) > 3


def test_one_own_long_job_a_worker_and_release():
    d = Driver(workers=1)
    for n in range(200):
        for a in sends(d.ask(n, hint=(n % 50 + 1) * MS)):
            d.start(n, 0, "w0")
            d.end(n, 0, "w0")
    assert sends(d.ask(900, hint=300 * MS)) == [(900, "w0")]
    d.start(900, 0, "w0")
    assert sends(d.ask(901, hint=300 * MS)) == []
    assert (901, "w0") in sends(d.end(900, 0, "w0"))


def test_held_while_an_own_job_waits():
    # Binding a second job behind a waiting one made most answers late under load.
    d = Driver(workers=1)
    assert sends(d.ask(1))
    assert not sends(d.ask(2))
    assert sends(d.start(1, 0, "w0")) == [(2, "w0")]


def test_urgent_misfits_do_not_stop_the_line():
    # Held jobs too urgent for an open worker once kept it idle while later ones would have fitted.
    d = Driver(workers=1)
    d.ask(0)
    for n in range(1, 4):
        d.ask(n, hint=200 * MS)
    d.ask(9, hint=300 * MS, left=6 * SEC)
    d.d.subsets.roster.machine_types[0].start_delays.by_in_flight[1] = 325.0 * MS, d.now
    assert sends(d.start(0, 0, "w0")) == [(9, "w0")]


@pytest.mark.parametrize("state", [interface.WorkerState.DRAINING, interface.WorkerState.GONE])
def test_nothing_to_a_worker_that_drains_or_is_gone(state):
    d = Driver(workers=2)
    d.feed(interface.EndpointList(interface.ListScope.INCREMENTAL, 2, (interface.Endpoint("w0", state),)))
    assert {w for n in range(5) for _, w in sends(d.ask(n))} == {"w1"}


def test_missing_in_a_whole_list_is_gone_and_a_restart_starts_anew():
    d = Driver(workers=2)
    d.ask(1)
    d.ask(2)
    d.feed(
        interface.EndpointList(
            interface.ListScope.COMPLETE, 2, (interface.Endpoint("w0", started_at=d.now - 60 * SEC),)
        )
    )
    assert list(d.d.workers) == ["w0"]
    assert d.d.workers["w0"].in_flight_slots == 0
    d.end(1, 0, d.said[-1].worker if isinstance(d.said[-1], interface.Send) else "w0")
    d.end(2, 0, "w1")
    assert d.d.workers["w0"].in_flight_slots == 0


def test_cold_worker_gets_no_more_than_its_budget():
    # A small job counts as a mean one: a push of small jobs felled cold workers too.
    d = Driver(workers=1, dispatcher_count=2)
    for n in range(100):
        for _ in sends(d.ask(n, hint=100 * MS)):
            d.start(n, 0, "w0")
            d.now += 100 * MS
            d.end(n, 0, "w0")
        d.now += 500 * MS
    d.feed(interface.EndpointList(interface.ListScope.COMPLETE, 2, (interface.Endpoint("new", started_at=d.now),)))
    count = 0
    for n in range(1000, 1100):
        for _ in sends(d.ask(n, hint=10 * MS)):
            count += 1
            d.start(n, 0, "new")
            d.end(n, 0, "new")
    capacity = d.d.subsets.roster.machine_types[0].slots * d.d.subsets.roster.machine_types[0].speed() * 0.2
    assert count * 100 * MS <= 3.0 * capacity * SEC / 2 + 1


def test_without_hints_all_jobs_are_short_and_served():
    d = Driver(workers=1)
    for n in range(5):
        assert sends(d.ask(n, hint=0)) == [(n, "w0")]
        d.start(n, 0, "w0")
        d.end(n, 0, "w0")
    assert d.d.hints.cutoff == 0


def test_all_workers_cold_at_once_still_answers_every_request():
    infos = tuple(interface.Endpoint(f"w{n}", started_at=99_900_000) for n in range(3))
    d = Driver(infos=infos, dispatcher_count=2)
    said = []
    for n in range(20):
        said += d.ask(n, hint=100 * MS)
    said += d.later(7 * SEC)
    sent = {r for r, _ in sends(said)}
    assert len(finals(said)) == 20
    assert len(sent) < 20


def test_a_job_that_has_failed_is_not_the_one_to_try_a_struck_worker_with():
    # An idle struck worker ranked before busy ones: such jobs went to and fro between two of them, four attempts long.
    for seed in range(8):
        d = Driver(workers=3, cls=SAFE, seed=seed)
        for w in d.d.workers.values():
            w.machine_type.slots = 4.0
        d.d.workers["w0"].consecutive_failures = 1
        d.d.workers["w1"].in_flight_slots = d.d.workers["w1"].running_slots = d.d.workers[
            "w2"
        ].in_flight_slots = d.d.workers["w2"].running_slots = 2.0
        ((_, first),) = sends(d.ask(1))
        assert first == "w0"  # the trial that it needs
        ((_, second),) = sends(d.end(1, 0, "w0", interface.AttemptResult.ERROR))
        d.d.workers["w0"].ejected_until = 0  # it may be tried again
        ((_, third),) = sends(d.end(1, 1, second, interface.AttemptResult.ERROR))
        assert {second, third} == {"w1", "w2"}


def test_own_load_settles_the_pick_and_pace_only_among_near_equals():
    def pick(own, hint=10 * MS):
        d = Driver(infos=(interface.Endpoint("fast", machine_type=0), interface.Endpoint("slow", machine_type=1)))
        for n, pace in enumerate((1.0, 0.4)):
            kind = d.d.subsets.roster.machine_types[n]
            kind.slots, kind.throughput.work, kind.throughput.elapsed = 4.0, pace * SEC, SEC
        d.d.workers["fast"].in_flight_slots = d.d.workers["fast"].running_slots = own
        return sends(d.ask(1, hint=hint))[0][1]

    assert pick(own=0.0) == "fast"
    assert pick(own=1.0) == "slow"
    assert pick(own=1.0, hint=500 * MS) == "fast"  # 1250 of 1400 ms on the slow one: hints are not that exact
