"""What grows with clients' connections, idle or with a task running: memory, descriptors, refusals."""

from __future__ import annotations

import json
from collections.abc import Sequence
from functools import partial
from pathlib import Path
from typing import Any

from benchmarks.capacity.bench import Bench
from benchmarks.capacity.by_workers import DISPATCHERS, NUMBER
from benchmarks.capacity.configuration import settings
from benchmarks.capacity.http import Call, Traffic, post
from benchmarks.capacity.server import cpu_of, holds_of
from benchmarks.capacity.stand_ins import Workers

IDLE_TITLES = {"idle_memory_mb": ("memory, idle clients' connections", "MB")}
RUNNING_TITLES = {
    "running_memory_mb": ("memory, tasks running", "MB"),
    "running_descriptors": ("descriptors, tasks running, workers keep their call-back connections", "descriptors"),
    "open_refusal_cpu_ms": ("CPU of a refusal with advice, by tasks running", "ms"),
    "open_refusal_hold_ms": ("longest hold, refusal, by tasks running", "ms"),
}
CLOSED_TITLES = {
    "closed_descriptors": ("descriptors, tasks running, a connection for each call-back", "descriptors"),
}
CALLBACK_TITLES = {
    "callback_cpu_ms": ("CPU of so many call-backs of progress", "ms"),
    "callback_bytes_in": ("bytes to the dispatcher for so many call-backs", "B"),
    "callback_bytes_out": ("bytes from the dispatcher for so many call-backs", "B"),
}
CALLBACK_REPEATS = 3

Taken = dict[int, dict[str, list[float]]]


async def idle(folder: Path, steps: Sequence[int]) -> Taken:
    """Connections that asked once and say nothing since."""
    taken: Taken = {}
    async with Bench(folder, 15, settings(DISPATCHERS, NUMBER)) as bench:
        clients: list[Call] = []
        for step in steps:
            while len(clients) < step:
                clients.append(await bench.client())
                await clients[-1].get(b"/-/ready")
            await bench.server.settled()
            taken[step] = {"idle_memory_mb": [bench.server.memory_mb()]}
        for client in clients:
            client.close()
    return taken


async def running(folder: Path, workers: int, steps: Sequence[int], repeats: int) -> Taken:
    """Tasks that run on and on, each with its client's connection; workers keep their call-back connections."""
    taken: Taken = {}
    standing = await Workers(workers, hold=True).open()
    async with Bench(folder, workers, settings(DISPATCHERS, NUMBER), standing=standing) as bench:
        clients: list[Call] = []
        refused = await bench.client()
        await bench.refusal(refused)
        for step in steps:
            clients += await bench.start_tasks(step - len(clients))
            taken[step] = {
                "running_memory_mb": [bench.server.memory_mb()],
                "running_descriptors": [float(bench.server.descriptors())],
                "open_refusal_cpu_ms": await cpu_of(bench.server, lambda: bench.refusal(refused), repeats),
                "open_refusal_hold_ms": await holds_of(bench.server, lambda: bench.refusal(refused), repeats),
            }
        for client in clients:
            client.close()
    standing.close()
    return taken


async def closed(folder: Path, workers: int, steps: Sequence[int]) -> Taken:
    """The same, but each call-back comes over a connection of its own."""
    taken: Taken = {}
    standing = await Workers(workers, hold=True, keep=False).open()
    async with Bench(folder, workers, settings(DISPATCHERS, NUMBER), standing=standing) as bench:
        clients: list[Call] = []
        for step in steps:
            clients += await bench.start_tasks(step - len(clients))
            taken[step] = {"closed_descriptors": [float(bench.server.descriptors())]}
        for client in clients:
            client.close()
    standing.close()
    return taken


async def most_running(folder: Path, workers: int, tried: int) -> dict[str, float]:
    """How many tasks one dispatcher can have running before it refuses, and its memory then."""
    standing = await Workers(workers, hold=True).open()
    async with Bench(folder, workers, settings(DISPATCHERS, NUMBER), standing=standing) as bench:
        clients = await bench.start_tasks(tried)
        alive = [client for client in clients if client.waiting is not None and not client.waiting.done()]
        found = {
            "most_running": float(len(alive)),
            "most_running_mb": bench.server.memory_mb(),
            "most_running_descriptors": float(bench.server.descriptors()),
        }
        for client in clients:
            client.close()
    standing.close()
    return found


async def callbacks(folder: Path, steps: Sequence[int]) -> Taken:
    """Call-backs of progress, one after another on one connection, for one running task."""
    taken: Taken = {}
    standing = await Workers(15, hold=True).open()
    async with Bench(folder, 15, settings(DISPATCHERS, NUMBER), standing=standing) as bench:
        client = (await bench.start_tasks(1))[0]
        request, number = standing.jobs[0]
        name: Any = bench.entries[number]["host"]
        item = json.dumps({"id": request, "from": name, "state": "running", "share": 0.5}).encode()
        worker = await bench.client()

        async def tell(count: int) -> None:
            for _ in range(count):
                await worker.begin(post(b"/v1/job-events", item))

        await tell(50)
        for step in steps:
            traffic = Traffic()
            cpu = await cpu_of(bench.server, partial(tell, step), CALLBACK_REPEATS)
            taken[step] = {
                "callback_cpu_ms": cpu,
                "callback_bytes_in": [traffic.bytes_in / CALLBACK_REPEATS],
                "callback_bytes_out": [traffic.bytes_out / CALLBACK_REPEATS],
            }
        worker.close()
        client.close()
    standing.close()
    return taken
