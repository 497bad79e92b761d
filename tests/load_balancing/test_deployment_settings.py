"""Settings of other customers: tenants that move, jobs without hints, cancels that stop nothing, any number of dispatchers."""

import random

import pytest

from badgerroad.load_balancing import interface
from tests.support.fleets import KEYED, Group, infos, many, zoned
from tests.support.policy_driver import MS, SEC, Driver, finals, sends

TENANTS = (interface.Tenant("a", 4.0, 0.5), interface.Tenant("b", 4.0, 0.3), interface.Tenant("c", 4.0, 0.2))


@pytest.mark.parametrize("seed", range(8))
def test_a_tenant_keeps_its_record_wherever_its_name_stands_after_a_reload(seed):
    """By place in the list, a reload gave each the record of another, or all a new one."""
    r = random.Random(seed)
    d = Driver(workers=1, tenants=TENANTS, over_quota_priority=0.1)
    names, rid = [t.name for t in TENANTS], 0
    spent = r.choice(names)
    for _ in range(10):
        rid += 1
        d.ask(rid, tenant=names.index(spent))  # its quota of a second, and more
    for _ in range(3):
        tenants = [t for t in TENANTS if t.name == spent or r.random() < 0.7]
        r.shuffle(tenants)
        names = [t.name for t in tenants]
        d.feed(interface.SettingsChanged(d.d.settings._replace(tenants=tuple(tenants))))
        rid += 1
        over = d.ask(rid, tenant=names.index(spent))
        assert [a.request for a in finals(over)] == [rid]  # it yields while others are held
        for n, name in enumerate(names):
            if name != spent and name not in d.d.quota.buckets:
                rid += 1
                assert not finals(d.ask(rid, tenant=n))


def test_a_job_without_a_hint_weighs_what_its_class_has_run_of_late():
    """It weighed nothing: all that could not start within its aim was hopeless, and cold workers bore any number."""
    d = Driver(workers=1)
    ((_, w),) = sends(d.ask(1, hint=0))
    d.start(1, 0, w)
    d.later(800 * MS)
    d.end(1, 0, w)
    d.ask(2, hint=0)
    assert d.d.requests[2].expected_work == 800 * MS
    assert d.d.requests[2].objective_deadline == d.now + 400 * MS + 2 * 800 * MS  # aim, and its stretch of that


@pytest.mark.parametrize("dispatcher_count", [2, 20, 30, 200])
@pytest.mark.parametrize("hinted", [True, False])
def test_all_dispatchers_together_keep_a_cold_workers_budget_however_many_they_are(dispatcher_count, hinted):
    start = 100 * SEC
    fleet = tuple(w._replace(started_at=start) if n < 20 else w for n, w in enumerate(infos(60)))
    g = Group(dispatcher_count, 3, fleet, [20 * MS, 50 * MS, 100 * MS, 250 * MS])
    if not hinted:
        for d in g.ds:
            d.ask = lambda rid, hint, ask=d.ask: ask(rid, 0)
    g.run(4, per_second=400 / dispatcher_count)
    # What a worker can do is what one was seen to do: here each runs whatever comes.
    slots = max(max(k.max_slots_seen, k.slots) for d in g.ds for k in d.d.subsets.roster.machine_types.values())
    assert slots <= 4
    assert g.most_of_the_bound(slots, g.ds[0].d.settings) <= 1.0
    assert dispatcher_count < 5 or any(started_at for _, _, started_at, _ in g.log)  # few have warm workers enough


def test_a_restarted_dispatcher_does_not_spend_its_part_of_a_cold_worker_twice():
    fleet = infos(60, started_at=99 * SEC)
    for number in range(100):
        d = many(number, fleet=fleet, overload_window=3 * SEC)
        assert not sends(d.ask(1))
        assert d.d.context.first_event_at == d.now


def test_where_most_jobs_wait_on_both_sides_copies_become_rare_and_then_more_again():
    """Nothing tells whether workers drop what is cancelled: where they do not, copies filled all queues."""
    d = zoned()
    made = []
    for rid in range(1, 61):
        d.ask(rid)
        made.append(len(sends(d.later(SEC))) - 1)
        d.feed(interface.ClientDisconnected(rid))
        for n, a in enumerate(d.d.requests[rid].attempts):
            d.end(rid, n, a.worker.id, interface.AttemptResult.CANCELLED)
    assert sum(made[:10]) > 10
    assert sum(made[-30:]) <= 6
    for rid in range(101, 161):
        d.ask(rid)
        for _, w in sends(d.later(50 * MS))[:1]:
            d.start(rid, 0, w)
            d.later(100 * MS)
            d.end(rid, 0, w)
    assert d.d.hedging.budget.tokens_per_request > 0.5


def test_a_job_whose_cost_nobody_tells_allows_fewer_copies():
    made = []
    for hint in (10 * MS, 0):
        d = many(cls=KEYED, hedging_allowed=True, cancel_allowed=True, seed=4)
        d.d.hedging.budget.tokens, d.d.hedging.budget.tokens_per_request = 0.0, 1.0
        for rid in range(1, 21):
            d.ask(rid, hint=hint)
            d.d.estimates.queueing_share = {False: 0.5, True: 0.5}
            made.append((hint, len(sends(d.later(SEC)))))
    assert sum(n for h, n in made if not h) * 3 < sum(n for h, n in made if h)
