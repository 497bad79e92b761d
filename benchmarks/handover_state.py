"""What a handover tells of the decisions' state: bytes, time and memory, as JSON and in a compact encoding.

PYTHONPATH=. .venv/bin/python benchmarks/handover_state.py
"""

import json
import random
import time
import tracemalloc

import msgspec

from badgerroad.load_balancing import interface, state
from badgerroad.load_balancing.policy import DispatchPolicy


def busy(workers: int) -> DispatchPolicy:
    """A module that has served a few jobs at each worker and has some open."""
    rng = random.Random(workers)
    d = DispatchPolicy(
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
    d.handle(
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
    sent = []
    for n in range(1, 3 * min(workers, 200)):
        now = 1_000_000 + n * 2_000
        for a in d.handle(now, interface.Request(n, time_left=60_000_000, work_hint=rng.randrange(1_000, 400_000))):
            if isinstance(a, interface.Send):
                sent.append((a.request, a.worker))
                d.handle(now + 500, interface.AttemptStarted(a.request, 0, a.worker))
        while len(sent) > workers // 2:
            request, worker = sent.pop(0)
            d.handle(now + 1_000, interface.AttemptEnded(request, 0, worker, interface.AttemptResult.OK, finished=True))
    return d


def measure(encode, decode, value):
    tracemalloc.start()
    text = encode(value)
    decode(text)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    times = []
    for _ in range(20):
        begun = time.perf_counter()
        decode(encode(value))
        times.append(time.perf_counter() - begun)
    return len(text), min(times) * 1e3, max(times) * 1e3, peak / 1024


print("workers  encoding      KB   ms (least, most of 20)   peak KB   copy out ms   copy in ms")
for workers in (15, 200, 1_000):
    d = busy(workers)
    begun = time.perf_counter()
    told = {"state": state.export_learned_state(d), "attempts": state.export_attempts(d, lambda r, n: f"1.{r}.{n}")}
    out = (time.perf_counter() - begun) * 1e3
    begun = time.perf_counter()
    state.import_learned_state(busy(workers), json.loads(json.dumps(told["state"])))
    fresh = busy(workers)
    begun = time.perf_counter()
    state.import_learned_state(fresh, told["state"])
    into = (time.perf_counter() - begun) * 1e3
    for name, encode, decode in (
        ("json", lambda v: json.dumps(v, separators=(",", ":")).encode(), json.loads),
        ("msgpack", msgspec.msgpack.encode, msgspec.msgpack.decode),
    ):
        size, least, most, peak = measure(encode, decode, told)
        print(
            f"{workers:7}  {name:8} {size / 1024:7.1f} {least:10.2f} {most:8.2f} {peak:16.0f} {out:12.2f} {into:12.2f}"
        )
