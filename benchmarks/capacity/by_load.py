"""Measures what grows with jobs, configured tenants, workers in one change of the list, and dispatchers."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from functools import partial
from pathlib import Path

from benchmarks.capacity.bench import Bench
from benchmarks.capacity.by_workers import DISPATCHER_INDEX, DISPATCHERS
from benchmarks.capacity.configuration import configuration, settings, worker_entries, worker_entry
from benchmarks.capacity.http import Traffic
from benchmarks.capacity.server import Serve, cpu_of, free_port, holds_of
from benchmarks.capacity.stand_ins import Discovery

FIRST_CALLS_S = 0.2  # time from the readiness of the last process until all processes hold a watch
Measured = dict[int, dict[str, list[float]]]  # by size: the measured values of each quantity

JOB_TITLES = {
    "job_cpu_ms": ("CPU of so many jobs, from request to answer", "ms"),
    "job_bytes_in": ("bytes to the dispatcher for so many jobs of 200 B", "B"),
    "job_bytes_out": ("bytes from the dispatcher for so many jobs of 200 B", "B"),
}
TEAM_TITLES = {
    "team_bytes": ("a configuration without a list", "B"),
    "team_reload_cpu_ms": ("CPU of a reload, 15 workers", "ms"),
}
LOSS_TITLES = {
    "loss_bytes": ("a change of so many workers at once, body", "B"),
    "loss_cpu_ms": ("CPU of a change of so many workers at once", "ms"),
    "loss_hold_ms": ("longest hold, change of so many workers at once", "ms"),
}
DISCOVERY_TITLES = {
    "discovery_calls": ("calls a second at discovery", "calls/s"),
    "discovery_in": ("bytes a second that discovery gets", "B/s"),
    "discovery_out": ("bytes a second that discovery sends", "B/s"),
}


async def jobs(folder: Path, workers: int, steps: Sequence[int], repeats: int) -> Measured:
    """Measure jobs that workers finish at once; each takes two health checks, one attempt and two job events."""
    measured: Measured = {}
    async with Bench(folder, workers, settings(DISPATCHERS, DISPATCHER_INDEX)) as bench:
        await bench.jobs(80)
        for step in steps:
            traffic = Traffic()
            cpu = await cpu_of(bench.server, partial(bench.jobs, step), repeats)
            measured[step] = {
                "job_cpu_ms": cpu,
                "job_bytes_in": [traffic.bytes_in / repeats],
                "job_bytes_out": [traffic.bytes_out / repeats],
            }
    return measured


async def teams(folder: Path, steps: Sequence[int], repeats: int) -> Measured:
    """Measure the size and the reload of configurations with different numbers of tenants."""
    measured: Measured = {}
    async with Bench(folder, 15, settings(DISPATCHERS, DISPATCHER_INDEX)) as bench:
        client = await bench.client()
        for step in steps:
            dispatcher_settings = settings(DISPATCHERS, DISPATCHER_INDEX, teams=step, quota_per_s=0.88)
            config = configuration(
                bench.server.config["listen"], bench.server.config["discovery"], dispatcher_settings, []
            )
            size = bench.server.write(config)
            await bench.reload(client)
            measured[step] = {
                "team_bytes": [float(size)],
                "team_reload_cpu_ms": await cpu_of(bench.server, lambda: bench.reload(client), repeats),
            }
    return measured


async def losses(folder: Path, workers: int, steps: Sequence[int], repeats: int) -> Measured:
    """Measure changes that remove several workers at once; the workers are added again before the next change."""
    measured: Measured = {}
    async with Bench(folder, workers, settings(DISPATCHERS, DISPATCHER_INDEX)) as bench:
        discovery = bench.discovery
        await discovery.watched()
        for step in steps:
            gone = [worker_entry(number, "gone") for number in range(step)]
            ready = [worker_entry(number) for number in range(step)]

            async def send_change(entries: list[dict[str, object]]) -> None:
                discovery.version += 1
                await discovery.send_update(discovery.change(entries))

            cpu, holds = [], []
            for _ in range(repeats):
                cpu += await cpu_of(bench.server, partial(send_change, gone), 1)
                await send_change(ready)
                holds += await holds_of(bench.server, partial(send_change, gone), 1)
                await send_change(ready)
            measured[step] = {
                "loss_bytes": [float(len(discovery.change(gone)))],
                "loss_cpu_ms": cpu,
                "loss_hold_ms": holds,
            }
    return measured


async def discovery_load(folder: Path, dispatchers: int, workers: int, seconds: float) -> dict[str, list[float]]:
    """Measure the load of several dispatchers on one discovery service while nothing changes."""
    discovery = await Discovery(worker_entries(workers)).open()
    servers = []
    for number in range(dispatchers):
        dispatcher_settings = settings(dispatchers, number)
        listen = f"127.0.0.1:{free_port()}"
        servers.append(
            Serve(
                folder, configuration(listen, f"127.0.0.1:{discovery.port}", dispatcher_settings, [], seed=number + 1)
            )
        )
        await servers[-1].start()
    await asyncio.gather(*(server.ready() for server in servers))
    await asyncio.sleep(FIRST_CALLS_S)
    calls, bytes_in, bytes_out = discovery.calls, discovery.bytes_in, discovery.bytes_out
    await asyncio.sleep(seconds)
    measured = {
        "discovery_calls": [(discovery.calls - calls) / seconds],
        "discovery_in": [(discovery.bytes_in - bytes_in) / seconds],
        "discovery_out": [(discovery.bytes_out - bytes_out) / seconds],
    }
    for server in servers:
        await server.stop()
    discovery.close()
    return measured
