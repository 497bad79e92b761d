"""Wraps the modules of the program that are measured directly; all other measurements use `serve` over sockets."""

from __future__ import annotations

import random
import time
from typing import Any

from badgerroad.discovery.reader import EndpointListReader
from badgerroad.discovery.watch_schedule import WatchSchedule
from badgerroad.load_balancing import interface
from badgerroad.load_balancing.policy import DispatchPolicy
from badgerroad.load_balancing.quota import QuotaBuckets
from badgerroad.load_balancing.settings_decoder import settings_from

SECOND = 1_000_000  # microseconds


def policy_with_list(settings: bytes, entries: list[dict[str, Any]]) -> DispatchPolicy:
    """Return the load-balancing policy with a complete endpoint list, given as discovery sends it."""
    policy = DispatchPolicy(settings_from(settings), seed=1)
    worker_list, _addresses = EndpointListReader([], []).read({"seq": 1, "whole": True, "hosts": entries})
    policy.handle(1, worker_list)
    return policy


def open_requests(policy: DispatchPolicy, jobs: int, time_left_us: int) -> None:
    """Open `jobs` requests at the same time."""
    for number in range(jobs):
        policy.handle(2, interface.Request(1_000_000 + number, time_left=time_left_us))


def rejection_duration_s(policy: DispatchPolicy, number: int, hint_us: int, time_left_us: int) -> float:
    """Return the wall time to reject a request that no worker can finish in time, by a policy without health checks."""
    request = interface.Request(number, time_left=time_left_us, work_hint=hint_us)
    started = time.perf_counter()
    actions = policy.handle(SECOND, request)
    duration_s = time.perf_counter() - started
    if not any(isinstance(action, interface.Reject) for action in actions):
        raise RuntimeError("the policy did not reject a request that cannot be finished in time")
    return duration_s


def over_quota_share(settings: bytes, arrivals: list[tuple[int, int]]) -> float:
    """Return the share of `arrivals` (microseconds, tenant) that the quota buckets count as over quota."""
    decoded = settings_from(settings)
    buckets = QuotaBuckets()
    over = 0
    for now, tenant in arrivals:
        over += buckets.is_over(decoded, interface.Request(0, tenant=tenant), now)
    return over / len(arrivals)


class VirtualCalls:
    """Times of the calls that dispatchers send to discovery after a common start, by `WatchSchedule`, with instant answers."""

    def __init__(self, dispatchers: int, seconds: float, holds_list: bool) -> None:
        self.call_times_s: list[float] = []
        self.first_call_times_s: list[float] = []
        for number in range(dispatchers):
            self._simulate(WatchSchedule(dispatchers, number, random.Random(number)), seconds * SECOND, holds_list)

    def _simulate(self, schedule: WatchSchedule, until: float, holds_list: bool) -> None:
        now = schedule.first_call_delay(holds_list)
        self.first_call_times_s.append(now / SECOND)
        while now < until:
            self.call_times_s.append(now / SECOND)
            now += max(schedule.next_call().wait_us, 1)
            schedule.call_answered()
