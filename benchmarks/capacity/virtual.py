"""Measures the policy and the watch schedule without processes: Retry-After values, quotas, calls after a common start."""

from __future__ import annotations

import json
import random
from collections.abc import Sequence

from benchmarks.capacity import subjects
from benchmarks.capacity.by_workers import DISPATCHER_INDEX, DISPATCHERS
from benchmarks.capacity.configuration import TASK_S, settings, worker_entries

ADVICE_TITLES = {"advice_ms": ("the module's advice alone, 1,000 jobs open", "ms")}
ADVICE_JOB_TITLES = {"advice_job_ms": ("the module's advice alone, by jobs open", "ms")}
QUOTA_TITLES = {"over_quota": ("requests counted as over quota, teams at nine tenths of theirs", "share")}
FEW_TEAMS = 10  # this few tenants share all starts, with quotas 51 times as large
TURN_TITLES = {
    "turn_calls": ("calls in the busiest 0.1 s after a common start, list known", "calls"),
    "turn_wait_s": ("longest pause before the first call, list known", "s"),
}
QUOTA_SECONDS = 20.0
JOBS_OPEN = 1_000


def advice(workers: int, jobs: int, repeats: int) -> list[float]:
    """Return how many milliseconds longer a rejection takes in the policy with a Retry-After value than without."""
    measured = []
    entries = worker_entries(workers)
    policies = []
    for retry_after in (True, False):
        text = json.dumps(settings(DISPATCHERS, DISPATCHER_INDEX, retry_after=retry_after, probes=False)).encode()
        policies.append(subjects.policy_with_list(text, entries))
        subjects.open_requests(policies[-1], jobs, TASK_S * 1_000_000)
    for number in range(repeats):
        hint, left = 2 * TASK_S * 1_000_000, TASK_S * 1_000_000
        with_advice_s, without_advice_s = (
            subjects.rejection_duration_s(policy, number + 1, hint, left) for policy in policies
        )
        measured.append((with_advice_s - without_advice_s) * 1000)
    return measured


def over_quota(dispatchers: int, teams: int, starts_per_s: float, seconds: float = QUOTA_SECONDS) -> list[float]:
    """Return the share over quota at one of `dispatchers`, with requests at 0.9 of each tenant's quota, as a list."""
    quota = starts_per_s / teams
    text = json.dumps(settings(dispatchers, teams=teams, quota_per_s=quota)).encode()
    draws = random.Random(dispatchers)
    rate = 0.9 * starts_per_s / dispatchers
    duration_s = max(seconds, 2_000 / rate)
    arrivals: list[tuple[int, int]] = []
    now = 1.0
    while now < duration_s:
        now += draws.expovariate(rate)
        arrivals.append((int(now * subjects.SECOND), draws.randrange(teams)))
    return [subjects.over_quota_share(text, arrivals)]


def turns(dispatchers: int) -> dict[str, list[float]]:
    """Simulate the calls to discovery of dispatchers that start at once with the last known endpoint list."""
    calls = subjects.VirtualCalls(dispatchers, 6.0, holds_list=True)
    return {"turn_calls": [float(busiest(calls.call_times_s, 0.1))], "turn_wait_s": [max(calls.first_call_times_s)]}


def busiest(times: Sequence[float], width: float) -> int:
    """Return the greatest number of `times` in one slot of `width` seconds."""
    slots: dict[int, int] = {}
    for moment in times:
        slot = int(moment / width)
        slots[slot] = slots.get(slot, 0) + 1
    return max(slots.values())
