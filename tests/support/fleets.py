"""Fleets of dispatchers and workers in virtual time, without sockets."""

import random
from typing import NamedTuple

from badgerroad.load_balancing import interface
from tests.support.policy_driver import MS, SEC, Driver, sends

WITH_IDEMPOTENCY_KEY = interface.RequestClass(
    "k", interface.RetrySemantics.IDEMPOTENCY_KEY, 400 * MS, 6 * SEC, 2.0, interface.DeduplicationScope.CELL, 5 * SEC
)


def endpoint_list(count, started_at=0, machine_type=0, **fields):
    """Return `count` ready endpoints, four to a cell."""
    return tuple(
        interface.Endpoint(
            f"w{number}", interface.WorkerState.READY, started_at, machine_type, 0, number // 4, **fields
        )
        for number in range(count)
    )


def fleet_driver(dispatcher_index=0, dispatcher_count=100, workers=60, seed=1, fleet=None, **overrides):
    """Return a driver for the policy of one of many dispatchers; `overrides` are settings."""
    return Driver(
        endpoints=fleet or endpoint_list(workers),
        dispatcher_count=dispatcher_count,
        dispatcher_index=dispatcher_index,
        seed=seed,
        **overrides,
    )


class SentAttempt(NamedTuple):
    """An attempt sent to a worker, with the work of its request in microseconds."""

    sent_at: int
    worker: str
    worker_started_at: int
    work: int


class Deployment:
    """Drives the policies of all dispatchers on one fleet of workers, and records the attempts they send."""

    def __init__(self, dispatcher_count, seed, fleet, work_hints, **overrides):
        self.rng = random.Random(seed)
        self.drivers = [
            fleet_driver(n, dispatcher_count, seed=seed + n, fleet=fleet, **overrides) for n in range(dispatcher_count)
        ]
        self.started_at = {endpoint.worker: endpoint.started_at for endpoint in fleet}
        self.work_hints = work_hints
        self.sent_attempts = []
        self.work_by_request = {}  # request number -> microseconds
        self.outcomes = []  # (due time, request, worker, method of the driver that reports it)

    def notify(self, driver, entries):
        self.record(driver, driver.handle(interface.EndpointList(interface.ListScope.INCREMENTAL, 2, entries)))

    def record(self, driver, actions):
        for request, worker in sends(actions):
            work = self.work_by_request[request]
            self.sent_attempts.append(SentAttempt(driver.now, worker, self.started_at[worker], work))
            self.outcomes.append((driver.now, request, worker, driver.start))
            self.outcomes.append((driver.now + work, request, worker, driver.end))

    def run(self, seconds, per_second=8):
        step = 20 * MS
        for _ in range(int(seconds * SEC / step)):
            for driver in self.drivers:
                self.record(driver, driver.advance(step))
                if self.rng.random() < per_second * step / SEC:
                    number = len(self.work_by_request) + 1
                    self.work_by_request[number] = self.rng.choice(self.work_hints)
                    self.record(driver, driver.request(number, self.work_by_request[number]))
            self.report_outcomes(self.drivers[0].now)

    def report_outcomes(self, now):
        pending = []
        for due_at, request, worker, report in self.outcomes:  # `record` adds to the list during the loop
            if due_at > now:
                pending.append((due_at, request, worker, report))
            else:
                self.record(report.__self__, report(request, 0, worker))
        self.outcomes = pending

    def max_share_of_slow_start_bound(self, capacity, settings):
        """Return the greatest ratio of the work sent to a worker in slow start to the bound of this work.

        It is taken over all starts of workers and all overload windows.

        The bound counts requests of mean work: those that the settings allow during slow start, plus a margin for random
        variation.
        """
        mean_work = sum(self.work_hints) / len(self.work_hints)
        greatest = 0.0
        for start in {(sent.worker, sent.worker_started_at) for sent in self.sent_attempts if sent.worker_started_at}:
            _, started_at = start
            log = [
                sent
                for sent in self.sent_attempts
                if (sent.worker, sent.worker_started_at) == start
                and sent.sent_at - started_at < settings.slow_start_duration
            ]
            for window_end in {sent.sent_at for sent in log}:
                window_start = window_end - settings.overload_window
                work = sum(sent.work for sent in log if window_start < sent.sent_at <= window_end)
                initial = settings.slow_start_share
                share = initial + (1 - initial) * (window_start - started_at) / settings.slow_start_duration
                allowed_work = settings.overload_threshold * capacity * max(share, initial) * settings.overload_window
                allowed = allowed_work / mean_work
                greatest = max(greatest, work / mean_work / (allowed + 2 * allowed**0.5 + 2))
        return greatest


def two_zone_driver(workers_per_zone=30, **overrides):
    """Return a driver with half of the workers in the local zone 0 and half in zone 1.

    Health checks and hedged requests are allowed, and requests to the other zone have an extra cost.
    """
    fleet = tuple(worker._replace(zone=n % 2) for n, worker in enumerate(endpoint_list(2 * workers_per_zone)))
    idempotent = interface.RequestClass("job", interface.RetrySemantics.IDEMPOTENT, 4 * SEC, 6 * SEC, 2.0)
    return fleet_driver(
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
        **overrides,
    )
