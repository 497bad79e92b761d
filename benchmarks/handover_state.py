"""Size, time and memory of the state sent in a hot restart's grant, encoded as JSON and as MessagePack.

PYTHONPATH=. .venv/bin/python benchmarks/handover_state.py
"""

import json
import random
import time
import tracemalloc

import msgspec

from badgerroad.load_balancing import interface, state
from badgerroad.load_balancing.policy import DispatchPolicy


def busy_policy(workers: int) -> DispatchPolicy:
    """Return a dispatch policy that has completed a few requests on each worker and has some open."""
    rng = random.Random(workers)
    policy = DispatchPolicy(
        interface.Settings(
            (interface.RequestClass("s", deadline=60_000_000, latency_objective=30_000_000),),
            reports_start=True,
            max_attempts=4,
            slow_start_share=0.2,
            slow_start_duration=30_000_000,
            overload_threshold=3.0,
        ),
        1,
    )
    policy.handle(
        1_000_000,
        interface.EndpointList(
            interface.ListScope.COMPLETE,
            1,
            tuple(
                interface.Endpoint(f"s-{rng.getrandbits(32):08x}", started_at=900_000 * (n % 4 == 0))
                for n in range(workers)
            ),
        ),
    )
    in_flight = []
    for n in range(1, 3 * min(workers, 200)):
        now = 1_000_000 + n * 2_000
        for action in policy.handle(
            now, interface.Request(n, time_left=60_000_000, work_hint=rng.randrange(1_000, 400_000))
        ):
            if isinstance(action, interface.Send):
                in_flight.append((action.request, action.worker))
                policy.handle(now + 500, interface.AttemptStarted(action.request, 0, action.worker))
        while len(in_flight) > workers // 2:
            request, worker = in_flight.pop(0)
            policy.handle(
                now + 1_000, interface.AttemptEnded(request, 0, worker, interface.AttemptResult.OK, finished=True)
            )
    return policy


def measure(encode, decode, value):
    """Return the encoded size in bytes, the shortest and longest time in ms, and the peak memory in KB."""
    tracemalloc.start()
    encoded = encode(value)
    decode(encoded)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    times = []
    for _ in range(20):
        started = time.perf_counter()
        decode(encode(value))
        times.append(time.perf_counter() - started)
    return len(encoded), min(times) * 1e3, max(times) * 1e3, peak / 1024


print("workers  encoding      KB   ms (min, max of 20)      peak KB   save ms       restore ms")
for workers in (15, 200, 1_000):
    policy = busy_policy(workers)
    started = time.perf_counter()
    grant = {
        "state": state.export_learned_state(policy),
        "attempts": state.export_attempts(policy, lambda r, n: f"1.{r}.{n}"),
    }
    save_ms = (time.perf_counter() - started) * 1e3
    started = time.perf_counter()
    state.import_learned_state(busy_policy(workers), json.loads(json.dumps(grant["state"])))
    fresh_policy = busy_policy(workers)
    started = time.perf_counter()
    state.import_learned_state(fresh_policy, grant["state"])
    restore_ms = (time.perf_counter() - started) * 1e3
    for name, encode, decode in (
        ("json", lambda v: json.dumps(v, separators=(",", ":")).encode(), json.loads),
        ("msgpack", msgspec.msgpack.encode, msgspec.msgpack.decode),
    ):
        size, min_ms, max_ms, peak = measure(encode, decode, grant)
        print(
            f"{workers:7}  {name:8} {size / 1024:7.1f} {min_ms:10.2f} {max_ms:8.2f} {peak:16.0f} "
            f"{save_ms:12.2f} {restore_ms:12.2f}"
        )
