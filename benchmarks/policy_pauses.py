"""Measures how long the policy blocks the event loop for a change of one worker and for a rejection.

    python -m benchmarks.policy_pauses [--workers 15 200 1000 3300 6600] [--jobs 1000] [--repeat 60]

Uses virtual time and no sockets, with 200 dispatchers. Changes: one worker drains, becomes ready again, or restarts.
Rejection: a request that cannot meet its objective while many are pending, with a Retry-After. Prints the median and the
maximum of the repeats in milliseconds.
"""

import argparse
import gc
import time
from statistics import median

from badgerroad.load_balancing import interface as events

try:
    from badgerroad.load_balancing.policy import DispatchPolicy
except ImportError:  # the Python path has an older version of the program, to compare with
    from badgerroad.load_balancing.brain import Dispatcher as DispatchPolicy

SEC = 1_000_000


def loaded_policy(workers, request_count):
    """Return the policy of one of 200 dispatchers with listed workers and pending requests, most of them queued."""
    settings = events.Settings(
        (events.RequestClass("c", latency_objective=3_600 * SEC, deadline=7_200 * SEC),),
        dispatcher_count=200,
        dispatcher_index=7,
        max_attempts=3,
        slow_start_share=0.2,
        slow_start_duration=30 * SEC,
        overload_threshold=3.0,
        reports_start=True,
        retry_after_allowed=True,
        max_retry_after=60 * SEC,
    )
    policy = DispatchPolicy(settings, 1)
    endpoints = [events.Endpoint(f"worker-{n}", cell=n // 40, machine_type=n % 3) for n in range(workers)]
    now = 1_000 * SEC
    policy.handle(now, events.EndpointList(events.ListScope.COMPLETE, 1, tuple(endpoints)))
    for number in range(request_count):
        policy.handle(now, events.Request(number, time_left=7_200 * SEC, work_hint=100_000 + number))
    return policy, endpoints, now


def timed_handle(policy, now, event):
    """Handle an event, and return its actions and the time that it took in milliseconds."""
    begin = time.perf_counter()
    actions = policy.handle(now, event)
    return actions, (time.perf_counter() - begin) * 1e3


def change_durations(workers, repeat):
    policy, endpoints, now = loaded_policy(workers, 0)
    durations = []
    for n in range(repeat):
        now += 1_000
        endpoint = endpoints[(n * 7919) % workers]
        for changed in (
            endpoint._replace(state=events.WorkerState.DRAINING),
            endpoint,
            endpoint._replace(started_at=now - 60 * SEC),
        ):
            event = events.EndpointList(events.ListScope.INCREMENTAL, n, (changed,))
            durations.append(timed_handle(policy, now, event)[1])
    return durations


def rejection_durations(workers, request_count, repeat):
    policy, _, now = loaded_policy(workers, request_count)
    durations = []
    for n in range(repeat):
        event = events.Request(request_count + n, time_left=1, work_hint=3_000 * SEC)
        actions, milliseconds = timed_handle(policy, now, event)
        durations.append(milliseconds)
        assert any(isinstance(action, events.Reject) for action in actions), actions
    return durations


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--workers", type=int, nargs="*", default=[15, 200, 1000, 3300, 6600])
    parser.add_argument("--jobs", type=int, default=1000)
    parser.add_argument("--repeat", type=int, default=60)
    options = parser.parse_args()
    print(
        f"| workers | change of one, median | maximum | rejection with {options.jobs} pending requests, median | maximum |"
    )
    print("| --- | --- | --- | --- | --- |")
    for workers in options.workers:
        cells = []
        for durations in (
            change_durations(workers, options.repeat),
            rejection_durations(workers, options.jobs, options.repeat),
        ):
            cells += [f"{median(durations):.3f}", f"{max(durations):.3f}"]
        print(f"| {workers} | " + " | ".join(cells) + " |", flush=True)


if __name__ == "__main__":
    gc.disable()
    main()
