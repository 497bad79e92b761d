"""Every use of the program's own modules by the capacity measurements; all else speaks to `serve` over sockets."""

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
    """The decision module with a whole list, as discovery writes it."""
    policy = DispatchPolicy(settings_from(settings), seed=1)
    worker_list, _addresses = EndpointListReader([], []).read({"seq": 1, "whole": True, "hosts": entries})
    policy.handle(1, worker_list)
    return policy


def hold_jobs(policy: DispatchPolicy, jobs: int, time_left_us: int) -> None:
    """Open `jobs` requests at one moment."""
    for number in range(jobs):
        policy.handle(2, interface.Request(1_000_000 + number, time_left=time_left_us))


def seconds_of_refusal(policy: DispatchPolicy, number: int, hint_us: int, time_left_us: int) -> float:
    """Wall time in which the module, which doesn't probe, refuses a request that can't be in time anywhere."""
    request = interface.Request(number, time_left=time_left_us, work_hint=hint_us)
    began = time.perf_counter()
    actions = policy.handle(SECOND, request)
    took = time.perf_counter() - began
    if not any(isinstance(action, interface.Reject) for action in actions):
        raise RuntimeError("the module didn't refuse a request that can't be in time")
    return took


def over_quota_share(settings: bytes, arrivals: list[tuple[int, int]]) -> float:
    """The share of `arrivals` (microseconds, tenant) that the module's own bucket counts as over quota."""
    read = settings_from(settings)
    buckets = QuotaBuckets()
    over = 0
    for now, tenant in arrivals:
        over += buckets.is_over(read, interface.Request(0, tenant=tenant), now)
    return over / len(arrivals)


class VirtualCalls:
    """The calls at discovery of many dispatchers that start together, by the rules of `WatchSchedule`, each answered at once."""

    def __init__(self, dispatchers: int, seconds: float, holds_list: bool) -> None:
        self.times: list[float] = []
        self.first: list[float] = []
        for number in range(dispatchers):
            self._play(WatchSchedule(dispatchers, number, random.Random(number)), seconds * SECOND, holds_list)

    def _play(self, schedule: WatchSchedule, until: float, holds_list: bool) -> None:
        now = schedule.first_call_delay(holds_list)
        self.first.append(now / SECOND)
        while now < until:
            self.times.append(now / SECOND)
            now += max(schedule.next_call().wait_us, 1)
            schedule.call_answered()
