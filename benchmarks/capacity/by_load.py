"""What grows with jobs, with teams in the configuration, with the workers in one change, and with the dispatchers."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from functools import partial
from pathlib import Path

from benchmarks.capacity.bench import Bench
from benchmarks.capacity.by_workers import DISPATCHERS, NUMBER
from benchmarks.capacity.configuration import configuration, settings, worker_entries, worker_entry
from benchmarks.capacity.http import Traffic
from benchmarks.capacity.server import Serve, cpu_of, free_port, holds_of
from benchmarks.capacity.stand_ins import Discovery

FIRST_CALLS_S = 0.2  # after the last process is ready: until all watch
Taken = dict[int, dict[str, list[float]]]

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


async def jobs(folder: Path, workers: int, steps: Sequence[int], repeats: int) -> Taken:
    """Jobs that workers finish at once: two probes, one attempt, two call-backs each."""
    taken: Taken = {}
    async with Bench(folder, workers, settings(DISPATCHERS, NUMBER)) as bench:
        await bench.jobs(80)
        for step in steps:
            traffic = Traffic()
            cpu = await cpu_of(bench.server, partial(bench.jobs, step), repeats)
            taken[step] = {
                "job_cpu_ms": cpu,
                "job_bytes_in": [traffic.bytes_in / repeats],
                "job_bytes_out": [traffic.bytes_out / repeats],
            }
    return taken


async def teams(folder: Path, steps: Sequence[int], repeats: int) -> Taken:
    """Configurations with so many teams."""
    taken: Taken = {}
    async with Bench(folder, 15, settings(DISPATCHERS, NUMBER)) as bench:
        client = await bench.client()
        for step in steps:
            told = settings(DISPATCHERS, NUMBER, teams=step, quota_per_s=0.88)
            config = configuration(bench.server.config["listen"], bench.server.config["discovery"], told, [])
            size = bench.server.write(config)
            await bench.reload(client)
            taken[step] = {
                "team_bytes": [float(size)],
                "team_reload_cpu_ms": await cpu_of(bench.server, lambda: bench.reload(client), repeats),
            }
    return taken


async def losses(folder: Path, workers: int, steps: Sequence[int], repeats: int) -> Taken:
    """So many workers go in one change; they come back before the next one."""
    taken: Taken = {}
    async with Bench(folder, workers, settings(DISPATCHERS, NUMBER)) as bench:
        discovery = bench.discovery
        await discovery.watched()
        for step in steps:
            gone = [worker_entry(number, "gone") for number in range(step)]
            back = [worker_entry(number) for number in range(step)]

            async def tell(entries: list[dict[str, object]]) -> None:
                discovery.version += 1
                await discovery.tell(discovery.change(entries))

            cpu, holds = [], []
            for _ in range(repeats):
                cpu += await cpu_of(bench.server, partial(tell, gone), 1)
                await tell(back)
                holds += await holds_of(bench.server, partial(tell, gone), 1)
                await tell(back)
            taken[step] = {
                "loss_bytes": [float(len(discovery.change(gone)))],
                "loss_cpu_ms": cpu,
                "loss_hold_ms": holds,
            }
    return taken


async def discovery_load(folder: Path, dispatchers: int, workers: int, seconds: float) -> dict[str, list[float]]:
    """What so many processes ask of one discovery when nothing changes."""
    discovery = await Discovery(worker_entries(workers)).open()
    servers = []
    for number in range(dispatchers):
        told = settings(dispatchers, number)
        listen = f"127.0.0.1:{free_port()}"
        servers.append(Serve(folder, configuration(listen, f"127.0.0.1:{discovery.port}", told, [], seed=number + 1)))
        await servers[-1].start()
    await asyncio.gather(*(server.ready() for server in servers))
    await asyncio.sleep(FIRST_CALLS_S)
    calls, came, went = discovery.calls, discovery.bytes_in, discovery.bytes_out
    await asyncio.sleep(seconds)
    taken = {
        "discovery_calls": [(discovery.calls - calls) / seconds],
        "discovery_in": [(discovery.bytes_in - came) / seconds],
        "discovery_out": [(discovery.bytes_out - went) / seconds],
    }
    for server in servers:
        await server.stop()
    discovery.close()
    return taken
