"""Fleets of dispatchers and workers in virtual time, without sockets."""

import random
from typing import NamedTuple

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


class SentWork(NamedTuple):
    """One send to a worker, in the log of a deployment."""

    sent_at: int
    worker: str
    worker_started_at: int
    work: int


class Deployment:
    """All dispatchers of a deployment on one fleet, and a log of their sends."""

    def __init__(self, dispatcher_count, seed, fleet, hints, **over):
        self.rng = random.Random(seed)
        self.drivers = [many(n, dispatcher_count, seed=seed + n, fleet=fleet, **over) for n in range(dispatcher_count)]
        self.started_at = {endpoint.worker: endpoint.started_at for endpoint in fleet}
        self.hints = hints
        self.log = []
        self.work_of = {}  # by request number
        self.outcomes = []  # (when, request, worker, the driver's method that reports it)

    def notify(self, driver, entries):
        self.record(driver, driver.handle(interface.EndpointList(interface.ListScope.INCREMENTAL, 2, entries)))

    def record(self, driver, actions):
        for request, worker in sends(actions):
            work = self.work_of[request]
            self.log.append(SentWork(driver.now, worker, self.started_at[worker], work))
            self.outcomes.append((driver.now, request, worker, driver.start))
            self.outcomes.append((driver.now + work, request, worker, driver.end))

    def run(self, seconds, per_second=8):
        step = 20 * MS
        for _ in range(int(seconds * SEC / step)):
            for driver in self.drivers:
                self.record(driver, driver.advance(step))
                if self.rng.random() < per_second * step / SEC:
                    number = len(self.work_of) + 1
                    self.work_of[number] = self.rng.choice(self.hints)
                    self.record(driver, driver.request(number, self.work_of[number]))
            self.report_outcomes(self.drivers[0].now)

    def report_outcomes(self, now):
        later = []
        for when, request, worker, report in self.outcomes:  # which grows as sends are recorded
            if when > now:
                later.append((when, request, worker, report))
            else:
                self.record(report.__self__, report(request, 0, worker))
        self.outcomes = later

    def max_share_of_slow_start_bound(self, capacity, settings):
        """The greatest share of its bound that any start of a worker was sent in any window.

        The bound, in requests of mean work: what the settings allow then and what chance may add.
        """
        mean = sum(self.hints) / len(self.hints)
        greatest = 0.0
        for start in {(sent.worker, sent.worker_started_at) for sent in self.log if sent.worker_started_at}:
            _, started_at = start
            log = [
                sent
                for sent in self.log
                if (sent.worker, sent.worker_started_at) == start
                and sent.sent_at - started_at < settings.slow_start_duration
            ]
            for window_end in {sent.sent_at for sent in log}:
                window_start = window_end - settings.overload_window
                work = sum(sent.work for sent in log if window_start < sent.sent_at <= window_end)
                initial = settings.slow_start_share
                share = initial + (1 - initial) * (window_start - started_at) / settings.slow_start_duration
                allowed_work = settings.overload_threshold * capacity * max(share, initial) * settings.overload_window
                allowed = allowed_work / mean
                greatest = max(greatest, work / mean / (allowed + 2 * allowed**0.5 + 2))
        return greatest


def zoned(workers_per_zone=30, **over):
    """Half of the workers in the local zone 0, half in another; health checks, hedging and a cost of crossing."""
    fleet = tuple(w._replace(zone=n % 2) for n, w in enumerate(infos(2 * workers_per_zone)))
    idempotent = interface.RequestClass("job", interface.RetrySemantics.IDEMPOTENT, 4 * SEC, 6 * SEC, 2.0)
    return many(
        dispatcher_count=40,
        fleet=fleet,
        cls=idempotent,
        zone=0,
        cross_zone_cost=0.03,
        health_checks_allowed=True,
        hedging_allowed=True,
        cancel_allowed=True,
        reports_start=True,
        connect_timeout=150 * MS,
        **over,
    )
