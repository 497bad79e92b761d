"""Seeded random feeds of legal events; a checker of its own watches rules 1 to 3 and the budget of rule 4."""

import random

import pytest

from badgerroad.load_balancing import interface
from badgerroad.load_balancing.policy import DispatchPolicy
from tests.support.policy_driver import MS, SEC, settings

CLASSES = (
    interface.RequestClass("u", interface.RetrySemantics.NON_IDEMPOTENT, 400 * MS, 3 * SEC, 2.0),
    interface.RequestClass("s", interface.RetrySemantics.IDEMPOTENT, 200 * MS, 2 * SEC, 1.0),
    interface.RequestClass(
        "ka", interface.RetrySemantics.IDEMPOTENCY_KEY, 200 * MS, 2 * SEC, 1.0, interface.DeduplicationScope.ALL, SEC
    ),
    interface.RequestClass(
        "kz", interface.RetrySemantics.IDEMPOTENCY_KEY, 200 * MS, 2 * SEC, 1.0, interface.DeduplicationScope.ZONE, SEC
    ),
    interface.RequestClass(
        "kc", interface.RetrySemantics.IDEMPOTENCY_KEY, 200 * MS, 2 * SEC, 1.0, interface.DeduplicationScope.CELL, SEC
    ),
)

ANSWER_SLACK = 20 * MS  # that the deployment allows after a deadline
SLOTS = 2  # of each worker, each of speed 1: its true capacity


class Feed:
    def __init__(self, seed, copies):
        self.r = random.Random(seed)
        self.s = settings(hedging_allowed=copies, cancel_allowed=True, dispatcher_count=2)._replace(classes=CLASSES)
        self.d, self.now, self.next = DispatchPolicy(self.s, seed), 50 * SEC, 0
        self.info = {
            n: interface.Endpoint(n, interface.WorkerState.READY, 0, n % 2, n % 2, n % 4, 1.0) for n in range(6)
        }
        self.req, self.open, self.timers, self.cold, self.start = {}, {}, [], {}, {}
        self.give(interface.EndpointList(interface.ListScope.CACHED, 1, tuple(self.info.values())))

    def give(self, event):
        for a in self.d.handle(self.now, event):
            self.check(a)

    def check(self, a):
        if isinstance(a, interface.SetTimer):
            self.timers.append((self.now + a.delay, a.token))
        elif isinstance(a, interface.Send):
            q = self.req[a.request]
            assert not q["done"], "a send after the final answer"
            assert self.info[a.worker].state == interface.WorkerState.READY, "a send to a worker that is not ready"
            assert len(q["tries"]) < self.s.max_attempts
            cls = CLASSES[q["cls"]]
            maybe = [t for t in q["tries"] if t["result"] not in interface.NEVER_RAN]
            if any(t["result"] is None for t in q["tries"]):
                assert self.s.hedging_allowed
                assert cls.semantics != interface.RetrySemantics.NON_IDEMPOTENT
            if maybe and cls.semantics == interface.RetrySemantics.NON_IDEMPOTENT:
                raise AssertionError("an unsafe request was sent again")
            if maybe and cls.semantics == interface.RetrySemantics.IDEMPOTENCY_KEY:
                old, new = maybe[0]["info"], self.info[a.worker]
                assert self.now < maybe[0]["at"] + cls.deduplication_window
                assert cls.deduplication_scope != interface.DeduplicationScope.ZONE or old.zone == new.zone
                assert cls.deduplication_scope != interface.DeduplicationScope.CELL or old.cell == new.cell
            started_at = self.info[a.worker].started_at
            if started_at and self.now - started_at < self.s.slow_start_duration:
                sent = self.cold.setdefault((a.worker, started_at), [])
                sent.append((self.now, q["hint"]))
                share = 0.2 + 0.8 * (self.now - started_at) / self.s.slow_start_duration
                work = sum(h for t, h in sent if t > self.now - self.s.overload_window)
                # Of both dispatchers together test_scale.py sees to it; one alone must stay within the whole.
                assert work <= 3.0 * share * SLOTS * self.s.overload_window
            n = len(q["tries"])
            q["tries"].append({"at": self.now, "info": self.info[a.worker], "result": None})
            self.open[a.request, n] = a.worker
        elif isinstance(a, interface.Reject | interface.Fail):
            q = self.req[a.request]
            assert not q["done"], "a second final answer"
            assert self.now <= q["deadline"] + ANSWER_SLACK
            cls = CLASSES[q["cls"]]
            if isinstance(a, interface.Reject) and any(t["result"] not in interface.NEVER_RAN for t in q["tries"]):
                assert (
                    cls.semantics == interface.RetrySemantics.IDEMPOTENT
                    or cls.semantics == interface.RetrySemantics.IDEMPOTENCY_KEY
                    and cls.deduplication_scope == interface.DeduplicationScope.ALL
                )
            q["done"] = True

    def step(self):
        self.now += self.r.choice((0, 0, 5 * MS, 5 * MS, 20 * MS))
        for when, token in sorted(self.timers):
            if when <= self.now:
                self.timers.remove((when, token))
                self.give(interface.Timer(token))
        for rid, q in self.req.items():
            assert q["done"] or self.now <= q["deadline"] + ANSWER_SLACK + 20 * MS, "a request was lost"
        roll = self.r.random()
        if roll < 0.4:
            cls = self.r.randrange(len(CLASSES))
            rid, self.next = self.next, self.next + 1
            hint = self.r.choice((0, self.r.randrange(1, 200) * MS, self.r.randrange(1, 30) * MS))
            left = self.r.choice((CLASSES[cls].deadline, 300 * MS, 60 * MS))
            self.req[rid] = {"cls": cls, "deadline": self.now + left, "done": False, "tries": [], "hint": hint}
            self.give(interface.Request(rid, cls, 0, 0, left, hint))
        elif roll < 0.9 and self.open:
            (rid, n), worker = self.r.choice(list(self.open.items()))
            q = self.req[rid]
            started = self.start.get((rid, n))
            if started is None and sum(self.open.get(k) == worker for k in self.start) < SLOTS:
                self.start[rid, n] = self.now
                self.give(interface.AttemptStarted(rid, n, worker))
                return
            if (started is None or self.now - started < q["hint"]) and self.r.random() < 0.7:
                return  # it still runs or waits: a worker does as much as SLOTS at speed 1, and no more
            del self.open[rid, n]
            self.start.pop((rid, n), None)
            served = started is not None and self.now - started >= q["hint"]
            bad = self.r.choice(
                (
                    interface.AttemptResult.ERROR,
                    interface.AttemptResult.QUEUE_FULL,
                    interface.AttemptResult.TIMEOUT,
                    interface.AttemptResult.CONNECT_FAILED,
                    interface.AttemptResult.RESET,
                )
            )
            result = interface.AttemptResult.OK if served and self.r.random() < 0.7 else bad
            q["tries"][n]["result"] = result
            q["done"] = q["done"] or result == interface.AttemptResult.OK
            self.give(interface.AttemptEnded(rid, n, worker, result, 0, q["done"]))
        elif roll < 0.93 and self.req:
            rid = self.r.choice(list(self.req))
            self.req[rid]["done"] = True
            self.give(interface.ClientDisconnected(rid))
        elif roll < 0.97:
            n = self.r.randrange(6)
            state = self.r.choice(
                (
                    interface.WorkerState.READY,
                    interface.WorkerState.READY,
                    interface.WorkerState.DRAINING,
                    interface.WorkerState.GONE,
                )
            )
            started_at = self.now if self.info[n].state != interface.WorkerState.READY else self.info[n].started_at
            self.info[n] = self.info[n]._replace(state=state, started_at=started_at)
            self.give(interface.EndpointList(interface.ListScope.INCREMENTAL, 2, (self.info[n],)))
        elif roll < 0.98:
            self.give(interface.EndpointList(interface.ListScope.FAILED))
        done = [r for r, q in self.req.items() if q["done"] and not any(k[0] == r for k in self.open)]
        for r in done[:-20]:
            del self.req[r]


@pytest.mark.parametrize("copies", [False, True])
@pytest.mark.parametrize("seed", range(12))
def test_rules_hold_on_a_random_feed(seed, copies):
    feed = Feed(seed, copies)
    for _ in range(2500):
        feed.step()
    assert feed.next > 500
