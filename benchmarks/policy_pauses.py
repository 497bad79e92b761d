"""How long a dispatcher's decisions hold up everything else: a change of one worker, and a rejection.

    python -m benchmarks.policy_pauses [--workers 15 200 1000 3300 6600] [--jobs 1000] [--repeat 60]

Virtual time, no sockets; 200 dispatchers. The change: one worker drains, is ready again, or starts anew. The rejection: a
request that cannot meet its objective while many are pending, with a Retry-After. Milliseconds: median and the most of the repeats.
"""

import argparse
import gc
import time
from statistics import median

from badgerroad.load_balancing import interface as events

try:
    from badgerroad.load_balancing.policy import DispatchPolicy
except ImportError:  # a copy from before the package, on the path for comparison
    from badgerroad.load_balancing.brain import Dispatcher as DispatchPolicy

SEC = 1_000_000


def served(workers, jobs):
    """A dispatcher of 200 with the workers listed and some requests pending, most of them queued."""
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
    infos = [events.Endpoint(f"worker-{n}", cell=n // 40, machine_type=n % 3) for n in range(workers)]
    now = 1_000 * SEC
    policy.handle(now, events.EndpointList(events.ListScope.COMPLETE, 1, tuple(infos)))
    for number in range(jobs):
        policy.handle(now, events.Request(number, time_left=7_200 * SEC, work_hint=100_000 + number))
    return policy, infos, now


def timed(policy, now, event):
    """The actions and how long they took to decide (milliseconds)."""
    begin = time.perf_counter()
    actions = policy.handle(now, event)
    return actions, (time.perf_counter() - begin) * 1e3


def changes(workers, repeat):
    policy, infos, now = served(workers, 0)
    took = []
    for n in range(repeat):
        now += 1_000
        info = infos[(n * 7919) % workers]
        for changed in (
            info._replace(state=events.WorkerState.DRAINING),
            info,
            info._replace(started_at=now - 60 * SEC),
        ):
            event = events.EndpointList(events.ListScope.INCREMENTAL, n, (changed,))
            took.append(timed(policy, now, event)[1])
    return took


def rejections(workers, jobs, repeat):
    policy, _, now = served(workers, jobs)
    took = []
    for n in range(repeat):
        event = events.Request(jobs + n, time_left=1, work_hint=3_000 * SEC)
        actions, milliseconds = timed(policy, now, event)
        took.append(milliseconds)
        assert any(isinstance(action, events.Reject) for action in actions), actions
    return took


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--workers", type=int, nargs="*", default=[15, 200, 1000, 3300, 6600])
    parser.add_argument("--jobs", type=int, default=1000)
    parser.add_argument("--repeat", type=int, default=60)
    options = parser.parse_args()
    print(f"| workers | change of one, median | most | rejection with {options.jobs} pending requests, median | most |")
    print("| --- | --- | --- | --- | --- |")
    for workers in options.workers:
        cells = []
        for took in (changes(workers, options.repeat), rejections(workers, options.jobs, options.repeat)):
            cells += [f"{median(took):.3f}", f"{max(took):.3f}"]
        print(f"| {workers} | " + " | ".join(cells) + " |", flush=True)


if __name__ == "__main__":
    gc.disable()
    main()
