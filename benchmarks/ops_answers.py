"""Measures the response times of `/ready` and `/metrics` while clients saturate a dispatcher and others stay idle.

    PYTHONPATH=. .venv/bin/python benchmarks/ops_answers.py [SECONDS]

Runs one dispatcher process on loopback, with workers that finish each job at once and 64 clients that send requests
without a pause. Another 150 connections send a part of a request, and 40 connections to the admin listener send nothing;
both are opened again whenever the dispatcher closes them.
"""

import asyncio
import pathlib
import sys
import tempfile
import time

from tests.support.loopback import job, read_message
from tests.support.service import Service

DURATION_S = float(sys.argv[1]) if len(sys.argv) > 1 else 10.0


async def hold_idle_connection(port, data, until):
    """Keep a connection open that sends `data` and nothing more, and open another one when it is closed."""
    while time.monotonic() < until:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(data)
            await asyncio.wait_for(reader.read(), 4)
            writer.close()
        except (TimeoutError, OSError):
            await asyncio.sleep(0.01)


async def run_client(service, name, until, statuses):
    """Send requests without a pause until `until`, and record the status of each response."""
    number = 0
    while time.monotonic() < until:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", service.port)
            while time.monotonic() < until:
                number += 1
                writer.write(job(f"{name}.{number}", "preview", 6000))
                statuses.append((await read_message(reader))[0].split()[1])
            writer.close()
        except (OSError, asyncio.IncompleteReadError):
            await asyncio.sleep(0.01)


async def probe(ops_port, path, until, durations_s):
    """Request `path` of the admin listener every 50 ms, and record the response times."""
    while time.monotonic() < until:
        started = time.monotonic()
        reader, writer = await asyncio.open_connection("127.0.0.1", ops_port)
        writer.write(b"GET %s HTTP/1.1\r\n\r\n" % path)
        head, _ = await read_message(reader)
        assert b" 200 " in head
        durations_s.append(time.monotonic() - started)
        writer.close()
        await asyncio.sleep(0.05)


async def main():
    with tempfile.TemporaryDirectory() as folder:
        async with Service(pathlib.Path(folder), job_duration_s=0.0) as service:
            await service.upgrade()
            ops_port, until, statuses, durations_s = (
                service.processes[0][1],
                time.monotonic() + DURATION_S,
                [],
                {b"/ready": [], b"/metrics": []},
            )
            idle = [
                asyncio.ensure_future(hold_idle_connection(service.port, b"POST /preview/x HT", until))
                for _ in range(150)
            ]
            idle += [asyncio.ensure_future(hold_idle_connection(ops_port, b"", until)) for _ in range(40)]
            await asyncio.gather(
                *(run_client(service, f"c{n}", until, statuses) for n in range(64)),
                *(probe(ops_port, path, until, durations_s[path]) for path in durations_s),
            )
            for task in idle:
                task.cancel()
            print(
                f"{len(statuses) / DURATION_S:.0f} responses per second, {statuses.count(b'200')} of {len(statuses)} with status 200"
            )
            for path, durations in durations_s.items():
                durations.sort()
                print(
                    f"{path.decode():9} {len(durations)} calls: median {durations[len(durations) // 2] * 1e3:.0f} ms, "
                    f"maximum {durations[-1] * 1e3:.0f} ms"
                )


asyncio.run(main())
