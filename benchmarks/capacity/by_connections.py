"""Measures what grows with client connections, idle or with a running task: memory, descriptors, rejections."""

from __future__ import annotations

import json
from collections.abc import Sequence
from functools import partial
from pathlib import Path
from typing import Any

from benchmarks.capacity.bench import Bench
from benchmarks.capacity.by_workers import DISPATCHER_INDEX, DISPATCHERS
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

Measured = dict[int, dict[str, list[float]]]  # by size: the measured values of each quantity


async def idle(folder: Path, steps: Sequence[int]) -> Measured:
    """Measure with connections that sent one request and have been idle since then."""
    measured: Measured = {}
    async with Bench(folder, 15, settings(DISPATCHERS, DISPATCHER_INDEX)) as bench:
        clients: list[Call] = []
        for step in steps:
            while len(clients) < step:
                clients.append(await bench.client())
                await clients[-1].get(b"/-/ready")
            await bench.server.settled()
            measured[step] = {"idle_memory_mb": [bench.server.memory_mb()]}
        for client in clients:
            client.close()
    return measured


async def running(folder: Path, workers: int, steps: Sequence[int], repeats: int) -> Measured:
    """Measure with tasks that never end, each with its client connection; workers keep connections for job events."""
    measured: Measured = {}
    shared_workers = await Workers(workers, hold=True).open()
    async with Bench(folder, workers, settings(DISPATCHERS, DISPATCHER_INDEX), shared_workers=shared_workers) as bench:
        clients: list[Call] = []
        refused_client = await bench.client()
        await bench.refusal(refused_client)
        for step in steps:
            clients += await bench.start_tasks(step - len(clients))
            measured[step] = {
                "running_memory_mb": [bench.server.memory_mb()],
                "running_descriptors": [float(bench.server.descriptors())],
                "open_refusal_cpu_ms": await cpu_of(bench.server, lambda: bench.refusal(refused_client), repeats),
                "open_refusal_hold_ms": await holds_of(bench.server, lambda: bench.refusal(refused_client), repeats),
            }
        for client in clients:
            client.close()
    shared_workers.close()
    return measured


async def closed(folder: Path, workers: int, steps: Sequence[int]) -> Measured:
    """Measure like `running`, but with a new connection for each job event."""
    measured: Measured = {}
    shared_workers = await Workers(workers, hold=True, keep=False).open()
    async with Bench(folder, workers, settings(DISPATCHERS, DISPATCHER_INDEX), shared_workers=shared_workers) as bench:
        clients: list[Call] = []
        for step in steps:
            clients += await bench.start_tasks(step - len(clients))
            measured[step] = {"closed_descriptors": [float(bench.server.descriptors())]}
        for client in clients:
            client.close()
    shared_workers.close()
    return measured


async def most_running(folder: Path, workers: int, attempted: int) -> dict[str, float]:
    """Measure how many tasks a dispatcher runs before it rejects requests, and its memory and descriptors at that point."""
    shared_workers = await Workers(workers, hold=True).open()
    async with Bench(folder, workers, settings(DISPATCHERS, DISPATCHER_INDEX), shared_workers=shared_workers) as bench:
        clients = await bench.start_tasks(attempted)
        open_clients = [client for client in clients if client.waiting is not None and not client.waiting.done()]
        counts = {
            "most_running": float(len(open_clients)),
            "most_running_mb": bench.server.memory_mb(),
            "most_running_descriptors": float(bench.server.descriptors()),
        }
        for client in clients:
            client.close()
    shared_workers.close()
    return counts


async def callbacks(folder: Path, steps: Sequence[int]) -> Measured:
    """Measure progress reports of one running task, sent one after another over one connection."""
    measured: Measured = {}
    shared_workers = await Workers(15, hold=True).open()
    async with Bench(folder, 15, settings(DISPATCHERS, DISPATCHER_INDEX), shared_workers=shared_workers) as bench:
        client = (await bench.start_tasks(1))[0]
        request, number = shared_workers.jobs[0]
        worker_name: Any = bench.entries[number]["host"]
        event = json.dumps({"id": request, "from": worker_name, "state": "running", "share": 0.5}).encode()
        worker = await bench.client()

        async def report_progress(count: int) -> None:
            for _ in range(count):
                await worker.begin(post(b"/v1/job-events", event))

        await report_progress(50)
        for step in steps:
            traffic = Traffic()
            cpu = await cpu_of(bench.server, partial(report_progress, step), CALLBACK_REPEATS)
            measured[step] = {
                "callback_cpu_ms": cpu,
                "callback_bytes_in": [traffic.bytes_in / CALLBACK_REPEATS],
                "callback_bytes_out": [traffic.bytes_out / CALLBACK_REPEATS],
            }
        worker.close()
        client.close()
    shared_workers.close()
    return measured
