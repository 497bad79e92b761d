"""Measures what grows with the workers on the endpoint list.

This is the start, the memory, and CPU time and longest pause of the event loop for changes, reloads and rejections.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence
from pathlib import Path

from benchmarks.capacity.bench import Bench
from benchmarks.capacity.configuration import configuration, settings, worker_entry
from benchmarks.capacity.server import cpu_of, holds_of
from benchmarks.capacity.stand_ins import Workers

DISPATCHERS = 587
DISPATCHER_INDEX = 295
TITLES = {
    "list_bytes": ("a whole list, body", "B"),
    "change_bytes": ("a change of one worker, body", "B"),
    "ready_ms": ("start with nothing to /-/ready", "ms"),
    "first_job_ms": ("start with nothing to the first job at a worker", "ms"),
    "known_ready_ms": ("start with the list known to /-/ready", "ms"),
    "known_first_job_ms": ("start with the list known to the first job at a worker", "ms"),
    "start_cpu_ms": ("CPU of a start with nothing", "ms"),
    "memory_mb": ("memory of `serve`, after the start", "MB"),
    "peak_mb": ("memory of `serve`, at most", "MB"),
    "quiet_watch_cpu_ms": ("CPU of a watch's answer without news", "ms"),
    "change_cpu_ms": ("CPU of a change of one worker", "ms"),
    "change_hold_ms": ("longest hold, change of one worker", "ms"),
    "whole_cpu_ms": ("CPU of a whole list", "ms"),
    "whole_hold_ms": ("longest hold, whole list", "ms"),
    "reload_cpu_ms": ("CPU of a reload, list not in the file", "ms"),
    "reload_hold_ms": ("longest hold, reload", "ms"),
    "reload_list_cpu_ms": ("CPU of a reload, list in the file", "ms"),
    "reload_list_hold_ms": ("longest hold, reload with the list in the file", "ms"),
    "refusal_cpu_ms": ("CPU of a refusal with advice, no job open", "ms"),
    "refusal_hold_ms": ("longest hold, refusal", "ms"),
}


async def starts(
    folder: Path, workers: int, shared_workers: Workers, repeats: int, number: int, known: bool
) -> dict[str, list[float]]:
    """Measure starts without an endpoint list, or with it in the configuration if `known`.

    A client sends a job as soon as the process accepts connections.
    """
    measured: dict[str, list[float]] = {name: [] for name in ("ready_ms", "first_job_ms", "start_cpu_ms")}
    for _ in range(repeats):
        bench = Bench(folder, workers, settings(DISPATCHERS, number), known=known, shared_workers=shared_workers)
        first_job = asyncio.ensure_future(_first_job(bench, len(shared_workers.jobs)))
        async with bench:
            measured["ready_ms"].append(bench.ready_s * 1000)
            measured["first_job_ms"].append((await first_job - bench.server.started_at) * 1000)
            measured["start_cpu_ms"].append(bench.server.cpu_s() * 1000)
    return measured


async def _first_job(bench: Bench, jobs_before: int) -> float:
    """Send a job as soon as the process accepts connections, and return the time at which a worker receives it."""
    while True:
        try:
            client = await bench.client()
            break
        except (OSError, AttributeError):  # the process does not accept connections yet, or has not been started
            await asyncio.sleep(0.002)
    response = client.begin(bench.request())
    while len(bench.workers.jobs) == jobs_before:
        await asyncio.sleep(0.001)
    received_at = time.perf_counter()
    await response
    client.close()
    return received_at


async def updates(
    folder: Path, workers: int, shared_workers: Workers, repeats: int, number: int
) -> dict[str, list[float]]:
    """Measure list updates, reloads and rejections at one process."""
    measured: dict[str, list[float]] = {}
    async with Bench(folder, workers, settings(DISPATCHERS, number), shared_workers=shared_workers) as bench:
        server, discovery = bench.server, bench.discovery
        await discovery.watched()
        await server.settled()
        measured["memory_mb"] = [server.memory_mb()]
        measured["list_bytes"] = [float(len(discovery.complete_list))]
        measured["change_bytes"] = [float(len(discovery.change([worker_entry(workers - 1, "draining")])))]

        async def unchanged() -> None:
            await discovery.send_update(discovery.change([]))

        async def change() -> None:
            discovery.version += 1
            health = "draining" if discovery.version % 2 else "ready"
            await discovery.send_update(discovery.change([worker_entry(workers - 1, health)]))

        async def complete() -> None:
            discovery.version += 1
            await discovery.send_update(discovery.complete_list)

        for name, action in (("quiet_watch", unchanged), ("change", change), ("whole", complete)):
            await action()
            measured[f"{name}_cpu_ms"] = await cpu_of(server, action, repeats)
            if name != "quiet_watch":
                measured[f"{name}_hold_ms"] = await holds_of(server, action, repeats)
        client = await bench.client()
        await _reloads(bench, measured, repeats)
        await bench.refusal(client)
        measured["refusal_cpu_ms"] = await cpu_of(server, lambda: bench.refusal(client), repeats)
        measured["refusal_hold_ms"] = await holds_of(server, lambda: bench.refusal(client), repeats)
        measured["peak_mb"] = [server.peak_mb()]
    return measured


async def _reloads(bench: Bench, measured: dict[str, list[float]], repeats: int) -> None:
    client = await bench.client()
    server = bench.server
    for name, known in (("reload", []), ("reload_list", bench.entries)):
        server.write(
            configuration(server.config["listen"], server.config["discovery"], bench.dispatcher_settings, known)
        )
        await bench.reload(client)
        measured[f"{name}_cpu_ms"] = await cpu_of(server, lambda: bench.reload(client), repeats)
        measured[f"{name}_hold_ms"] = await holds_of(server, lambda: bench.reload(client), repeats)
    client.close()


async def measure(folder: Path, workers: int, repeats: int, number: int) -> dict[str, list[float]]:
    """Measure all quantities in TITLES with one number of workers.

    `number` is the index of the dispatcher, on which the delay of its first call to discovery depends.
    """
    shared_workers = await Workers(workers).open()
    try:
        known = await starts(folder, workers, shared_workers, repeats, number, known=True)
        return {
            **{f"known_{name}": values for name, values in known.items()},
            **await starts(folder, workers, shared_workers, repeats, number, known=False),
            **await updates(folder, workers, shared_workers, repeats, number),
        }
    finally:
        shared_workers.close()


def sizes(quick: bool) -> Sequence[int]:
    """Return the numbers of workers to measure with."""
    return (15, 50, 100, 200) if quick else (15, 200, 1_000, 3_300, 6_600)
