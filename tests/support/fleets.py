"""Fleets of dispatchers and workers in virtual time, without sockets."""

import random

from badgerroad.load_balancing import interface
from tests.support.policy_driver import MS, SEC, Driver, sends

WITH_IDEMPOTENCY_KEY = interface.RequestClass(
    "k", interface.RetrySemantics.IDEMPOTENCY_KEY, 400 * MS, 6 * SEC, 2.0, interface.DeduplicationScope.CELL, 5 * SEC
)


def infos(n, started_at=0, machine_type=0, **more):
    return tuple(
        interface.Endpoint(f"w{k}", interface.WorkerState.READY, started_at, machine_type, 0, k // 4, **more)
        for k in range(n)
    )


def many(dispatcher_index=0, dispatcher_count=100, workers=60, seed=1, fleet=None, **over):
    return Driver(
        infos=fleet or infos(workers),
        dispatcher_count=dispatcher_count,
        dispatcher_index=dispatcher_index,
        seed=seed,
        **over,
    )


class Group:
    """All dispatchers of a deployment and a log of their sends: (time, worker, start, work)."""

    def __init__(self, dispatcher_count, seed, fleet, hints, **over):
        self.rng = random.Random(seed)
        self.drivers = [many(n, dispatcher_count, seed=seed + n, fleet=fleet, **over) for n in range(dispatcher_count)]
        self.started_at = {w.worker: w.started_at for w in fleet}
        self.hints, self.log, self.next, self.outcomes = hints, [], 0, []

    def notify(self, driver, entries):
        self.record(driver, driver.handle(interface.EndpointList(interface.ListScope.INCREMENTAL, 2, entries)))

    def record(self, driver, actions):
        for request, worker in sends(actions):
            self.log.append((driver.now, worker, self.started_at[worker], self.work[request]))
            self.outcomes += [
                (driver.now, request, worker, driver.start),
                (driver.now + self.work[request], request, worker, driver.end),
            ]

    def run(self, seconds, per_second=8):
        self.work = getattr(self, "work", {})
        step = 20 * MS
        for _ in range(int(seconds * SEC / step)):
            for driver in self.drivers:
                self.record(driver, driver.advance(step))
                if self.rng.random() < per_second * step / SEC:
                    self.next += 1
                    self.work[self.next] = self.rng.choice(self.hints)
                    self.record(driver, driver.request(self.next, self.work[self.next]))
            now, rest = self.drivers[0].now, []
            for when, request, worker, happens in self.outcomes:
                if when > now:
                    rest.append((when, request, worker, happens))
                else:
                    self.record(happens.__self__, happens(request, 0, worker))
            self.outcomes = rest

    def most_of_the_bound(self, capacity, s):
        """The greatest share that any start of a worker was sent in any window of what it bears: in jobs of mean work,
        what the settings allow then and what chance may add."""
        worst, mean = 0.0, sum(self.hints) / len(self.hints)
        for key in {(w, started_at) for _, w, started_at, _ in self.log if started_at}:
            sent = [
                (t, work)
                for t, w, started_at, work in self.log
                if (w, started_at) == key and t - started_at < s.slow_start_duration
            ]
            for t, _ in sent:
                work = sum(x for at, x in sent if t - s.overload_window < at <= t)
                share = (
                    s.slow_start_share
                    + (1 - s.slow_start_share) * (t - s.overload_window - key[1]) / s.slow_start_duration
                )
                n = s.overload_threshold * capacity * max(share, s.slow_start_share) * s.overload_window / mean
                worst = max(worst, work / mean / (n + 2 * n**0.5 + 2))
        return worst


def zoned(hosts=30, **over):
    """Half of the hosts at home (zone 0), half away; probes, copies and a price for crossing."""
    fleet = tuple(w._replace(zone=n % 2) for n, w in enumerate(infos(2 * hosts)))
    safe = interface.RequestClass("job", interface.RetrySemantics.IDEMPOTENT, 4 * SEC, 6 * SEC, 2.0)
    return many(
        dispatcher_count=40,
        fleet=fleet,
        cls=safe,
        zone=0,
        cross_zone_cost=0.03,
        health_checks_allowed=True,
        hedging_allowed=True,
        cancel_allowed=True,
        reports_start=True,
        connect_timeout=150 * MS,
        **over,
    )
