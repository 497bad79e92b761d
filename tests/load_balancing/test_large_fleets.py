"""Many dispatchers, many workers, little own traffic: what growth once broke."""

import random
import subprocess
import sys

import pytest

from badgerroad.load_balancing import interface
from badgerroad.load_balancing.policy.selection import WorkerSelection
from tests.support.fleets import KEYED, Group, infos, many
from tests.support.policy_driver import MS, SEC, Driver, finals, sends


@pytest.mark.parametrize("cold", [1, 50])
def test_all_dispatchers_together_keep_a_cold_workers_budget_and_use_it(cold):
    # A hundredth of a budget is less than one job: cold workers once got nothing until they were warm.
    start = 100 * SEC
    fleet = tuple(w._replace(started_at=start) if n < cold else w for n, w in enumerate(infos(60)))
    g = Group(100, 5, fleet, [5 * MS, 20 * MS, 20 * MS, 40 * MS, 300 * MS])
    s = g.ds[0].d.settings
    g.run(3)
    # A restart under the same id, told to each at another time; and one that is gone and comes back.
    again = fleet[0]._replace(started_at=g.ds[0].now)
    g.started_at["w0"] = again.started_at
    for n, d in enumerate(g.ds):
        g.tell(d, (again,))
        if n % 3 == 0:
            g.tell(d, (again._replace(state=interface.WorkerState.GONE),))
            g.tell(d, (again,))
    g.run(3)
    assert 0.4 < g.most_of_the_bound(1.0, s) <= 1.0  # a worker does at least what one slot at speed 1 does
    cold_sends = [w for _, w, started_at, _ in g.log if started_at]
    assert len({*cold_sends}) == cold
    assert len(cold_sends) > 5 * cold


def test_a_worker_listed_again_has_no_new_budget():
    d = many(dispatcher_count=1, workers=1, fleet=infos(1, started_at=99 * SEC), max_attempts=9)
    n = 0
    for _ in range(30):
        n += 1
        out = d.ask(n, 100 * MS)
        for request, worker in sends(out):
            d.start(request, 0, worker)
            d.end(request, 0, worker)
        d.feed(
            interface.EndpointList(
                interface.ListScope.INCREMENTAL,
                2,
                (d.d.workers["w0"].info._replace(state=interface.WorkerState.GONE, started_at=0),),
            )
        )
        d.feed(interface.EndpointList(interface.ListScope.INCREMENTAL, 3, infos(1, started_at=99 * SEC)))
    assert 0 < len(sends(d.said)) <= 3.0 * (0.2 + 0.8 * 0.1) * SEC / (100 * MS)


def test_workers_are_spread_evenly_over_dispatchers():
    uses = {}
    for n in range(100):
        near = many(n).d.subsets.local
        assert 3 <= len(near) <= 4
        for w in near:
            uses[w.id] = uses.get(w.id, 0) + 1
    assert len(uses) == 60
    assert max(uses.values()) - min(uses.values()) <= 2


def test_the_near_workers_move_little_when_one_comes_or_goes():
    before = [{w.id for w in many(n).d.subsets.local} for n in range(0, 100, 9)]
    for workers in (59, 61):
        after = [{w.id for w in many(n, workers=workers).d.subsets.local} for n in range(0, 100, 9)]
        assert max(len(b - a) for b, a in zip(before, after, strict=False)) <= 2


@pytest.mark.parametrize("dispatcher_count", [1, 2, 3])
def test_few_dispatchers_choose_from_all(dispatcher_count):
    d = many(dispatcher_count - 1, dispatcher_count, workers=15)
    assert d.d.subsets.uses_whole_fleet
    assert len(d.d.subsets.local) == 15


def test_choices_do_not_hang_on_the_process():
    code = (
        "import sys; from tests.support.fleets import *; from tests.support.policy_driver import *; d = many(7, fleet=tuple(w._replace("
        "worker=w.worker.encode()) for w in infos(60, started_at=99 * SEC)));"
        "print([w.id for w in d.d.subsets.local], [d.d.warm_up.dispatcher_rank(w) for w in d.d.subsets.local], d.ask(1))"
    )
    outs = {
        subprocess.run(
            [sys.executable, "-c", code],
            env={"PYTHONHASHSEED": seed, "PYTHONPATH": "."},
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        for seed in ("1", "2")
    }
    assert len(outs) == 1
    assert "w" in outs.pop()


@pytest.mark.parametrize("trouble", ["silent", "draining", "gone", "error", "full"])
def test_jobs_go_elsewhere_when_all_near_workers_fail(trouble):
    d = many()
    near = [w.id for w in d.d.subsets.local]
    if trouble in ("draining", "gone"):
        state = interface.WorkerState.DRAINING if trouble == "draining" else interface.WorkerState.GONE
        d.feed(
            interface.EndpointList(
                interface.ListScope.INCREMENTAL,
                2,
                tuple(w._replace(state=state) for w in infos(60) if w.worker in near),
            )
        )
    late, rid = [], 0
    for _ in range(80):
        rid += 1
        for request, worker in sends(d.ask(rid)):
            if worker not in near:
                late.append(request)
                d.start(request, 0, worker)
                d.end(request, 0, worker)
            elif trouble in ("error", "full"):
                d.end(
                    request,
                    0,
                    worker,
                    interface.AttemptResult.ERROR if trouble == "error" else interface.AttemptResult.QUEUE_FULL,
                )
        d.later(20 * MS)
    assert len(late) > 40, "jobs stuck to workers that do not serve"
    if trouble in ("draining", "gone"):
        assert not any(w in near for _, w in sends(d.said))
    d.later(7 * SEC)
    answered = {a.request for a in finals(d.said)} | set(late)
    assert answered == set(range(1, rid + 1)), "a job without an answer"


def started_copy(**over):
    d = many(cls=KEYED, hedging_allowed=True, cancel_allowed=True, **over)
    ((_, first),) = sends(d.ask(1))
    out = d.later(50 * MS)
    return d, first, sends(out)


def test_a_keyed_job_that_does_not_start_gets_a_copy_in_its_cell_and_the_rest_is_cancelled():
    d, first, copies = started_copy()
    cell = {w.worker: w.cell for w in infos(60)}
    assert copies
    assert all(cell[w] == cell[first] and w != first for _, w in copies)
    assert interface.Cancel(1, 0) in d.start(1, 1, copies[0][1])


def test_a_job_that_has_started_gets_no_copy():
    d = many(cls=KEYED, hedging_allowed=True, cancel_allowed=True)
    ((_, first),) = sends(d.ask(1))
    d.start(1, 0, first)
    assert not sends(d.later(SEC))


@pytest.mark.parametrize("over", [dict(dispatcher_count=1), dict(cancel_allowed=False), dict(reports_start=False)])
def test_no_copies_without_their_condition(over):
    d = many(**{**dict(cls=KEYED, hedging_allowed=True, cancel_allowed=True), **over})
    d.ask(1)
    assert not sends(d.later(SEC))


def test_no_copies_where_jobs_that_may_not_be_copied_would_pay():
    d = Driver(
        infos=infos(60),
        dispatcher_count=100,
        hedging_allowed=True,
        cancel_allowed=True,
        reports_start=True,
        classes=(KEYED, interface.RequestClass("u", interface.RetrySemantics.NON_IDEMPOTENT, 400 * MS, 6 * SEC)),
    )
    d.ask(1)
    assert not sends(d.later(SEC))


@pytest.mark.parametrize("workers", [60, 600])
def test_the_workers_looked_at_for_a_job_do_not_grow_with_the_fleet(workers, monkeypatch):
    # Ranking all workers for each request once had large fleets cut off for their CPU.
    looked = []
    plain = WorkerSelection.is_available
    monkeypatch.setattr(WorkerSelection, "is_available", lambda self, w: looked.append(w) or plain(self, w))
    d = many(dispatcher_count=workers * 2, workers=workers)
    looked.clear()
    for rid in range(50):
        for request, worker in sends(d.ask(rid)):
            d.start(request, 0, worker)
            d.end(request, 0, worker)
    assert 0 < len(looked) <= 50 * 20


def test_memory_stays_bounded_while_workers_come_and_go():
    d = many(workers=20)
    for n in range(400):
        d.later(SEC)
        fresh = tuple(
            interface.Endpoint(f"n{n}-{k}", interface.WorkerState.READY, d.now, 0, 0, k // 4) for k in range(20)
        )
        d.feed(interface.EndpointList(interface.ListScope.COMPLETE, n + 2, fresh))
        for request, worker in sends(d.ask(n, left=SEC)):
            d.later(2 * SEC)
            d.end(request, 0, worker, interface.AttemptResult.TIMEOUT)
    d.later(20 * SEC)
    assert len(d.d.workers) <= 20 * 12
    assert len(d.d.requests) <= 20
    assert len(d.d.context.timers) < 50


def test_failed_subscriptions_are_not_retried_in_step_and_within_the_interval():
    times = set()
    for n in range(60):
        d = many(n, seed=1000 + n)
        d.feed(interface.EndpointList(interface.ListScope.FAILED))
        last = began = d.now
        for _ in range(6):
            while not any(isinstance(a, interface.Subscribe) for a in d.later(5 * MS)):
                assert d.now - last < 4 * 10 * SEC
            last = d.now
            d.feed(interface.EndpointList(interface.ListScope.FAILED))
        times.add((d.now - began) // (50 * MS))
    assert len(times) > 30


@pytest.mark.parametrize("weight", [1.0, 0.0, "live"])
def test_any_kind_of_weight_leaves_all_near_workers_in_use(weight):
    d, r = many(), random.Random(3)
    for n in range(200):
        if n % 10 == 0:
            d.feed(
                interface.EndpointList(
                    interface.ListScope.COMPLETE,
                    n + 2,
                    tuple(w._replace(weight=r.random() * 4 if weight == "live" else weight) for w in infos(60)),
                )
            )
        for request, worker in sends(d.ask(n)):
            d.start(request, 0, worker)
            d.end(request, 0, worker)
        d.later(5 * SEC)
    assert {w for _, w in sends(d.said)} >= {w.id for w in d.d.subsets.local}


def report(d, rid, worker, free):
    d.start(rid, 0, worker)
    d.feed(interface.AttemptEnded(rid, 0, worker, interface.AttemptResult.OK, 0, True, (free,)))


def test_reported_free_slots_settle_ties_until_stale():
    d = many(load_report_fields=("x0",), seed=4)
    near = [w.id for w in d.d.subsets.local]
    for n in range(300):
        out = sends(d.ask(n))
        report(d, n, out[0][1], 1.0 if out[0][1] == near[1] else 0.0)
    picks = [sends(d.ask(1000))[0][1]]
    assert picks == [near[1]], "a worker with a free slot comes first"
    report(d, 1000, near[1], 1.0)
    seen = set()
    for n in range(2000, 2100):
        d.later(10 * SEC)  # all reports are stale each time
        out = sends(d.ask(n))
        seen.add(out[0][1])
        report(d, n, out[0][1], 0.0)
    assert seen == set(near)


def test_workers_are_probed_only_where_allowed_and_own_traffic_is_small():
    for probe, dispatcher_count, expected in ((True, 100, 2), (True, 1, 0), (False, 100, 0)):
        d = many(dispatcher_count=dispatcher_count, health_checks_allowed=probe, load_report_fields=("x0",))
        out = d.ask(1)
        probed = [a.worker for a in out if isinstance(a, interface.HealthCheck)]
        assert len(probed) == expected
        if probe and dispatcher_count == 100:
            d.feed(
                interface.HealthCheckResult(probed[0], interface.AttemptResult.OK, 900, (2.0,)),
                interface.HealthCheckResult("unknown", interface.AttemptResult.OK, 900, (2.0,)),
            )
            assert sends(d.later(50 * MS)) == [(1, probed[0])]


def test_a_worker_whose_last_start_was_late_comes_last_at_ties():
    d = many(seed=8)
    ((_, slow),) = sends(d.ask(1))
    d.later(300 * MS)
    d.start(1, 0, slow)
    d.end(1, 0, slow)
    for n in range(2, 200):
        ((_, w),) = sends(d.ask(n))
        assert w != slow
        d.start(n, 0, w)
        d.end(n, 0, w)


def test_a_wait_is_learned_from_few_starts_where_own_traffic_is_small():
    # Each dispatcher of many sees few starts: at a tenth a start it sent on into full queues for seconds.
    for dispatcher_count, part in ((100, 0.25), (1, 0.1)):
        d = many(dispatcher_count=dispatcher_count)
        ((_, w),) = sends(d.ask(1))
        d.later(200 * MS)
        d.start(1, 0, w)
        assert d.d.subsets.roster.machine_types[0].start_delays.by_in_flight[0][0] == part * 200 * MS
