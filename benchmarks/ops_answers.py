"""How long `/ready` and `/metrics` take while clients saturate a dispatcher and callers say nothing.

    PYTHONPATH=. .venv/bin/python benchmarks/ops_answers.py [SECONDS]

One real process on loopback, with stand-ins that finish each job at once, 64 clients without a pause, 150 connections that
say half a request, and 40 callers at the second address that say nothing, all made anew as they are closed.
"""

import asyncio
import pathlib
import sys
import tempfile
import time

from tests.support.loopback import job, read_message
from tests.support.service import Service

SECONDS = float(sys.argv[1]) if len(sys.argv) > 1 else 10.0


async def keep_silent(port, text, until):
    while time.monotonic() < until:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(text)
            await asyncio.wait_for(reader.read(), 4)
            writer.close()
        except (TimeoutError, OSError):
            await asyncio.sleep(0.01)


async def client(service, name, until, served):
    n = 0
    while time.monotonic() < until:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", service.port)
            while time.monotonic() < until:
                n += 1
                writer.write(job(f"{name}.{n}", "preview", 6000))
                served.append((await read_message(reader))[0].split()[1])
            writer.close()
        except (OSError, asyncio.IncompleteReadError):
            await asyncio.sleep(0.01)


async def ask(ops, path, until, times):
    while time.monotonic() < until:
        begun = time.monotonic()
        reader, writer = await asyncio.open_connection("127.0.0.1", ops)
        writer.write(b"GET %s HTTP/1.1\r\n\r\n" % path)
        head, _ = await read_message(reader)
        assert b" 200 " in head
        times.append(time.monotonic() - begun)
        writer.close()
        await asyncio.sleep(0.05)


async def main():
    with tempfile.TemporaryDirectory() as folder:
        async with Service(pathlib.Path(folder), job_duration_s=0.0) as s:
            await s.upgrade()
            ops, until, served, times = (
                s.processes[0][1],
                time.monotonic() + SECONDS,
                [],
                {b"/ready": [], b"/metrics": []},
            )
            crowd = [asyncio.ensure_future(keep_silent(s.port, b"POST /preview/x HT", until)) for _ in range(150)]
            crowd += [asyncio.ensure_future(keep_silent(ops, b"", until)) for _ in range(40)]
            await asyncio.gather(
                *(client(s, f"c{n}", until, served) for n in range(64)),
                *(ask(ops, path, until, times[path]) for path in times),
            )
            for task in crowd:
                task.cancel()
            print(f"{len(served) / SECONDS:.0f} answers a second, {served.count(b'200')} of {len(served)} served")
            for path, took in times.items():
                took.sort()
                print(
                    f"{path.decode():9} {len(took)} calls: median {took[len(took) // 2] * 1e3:.0f} ms, "
                    f"worst {took[-1] * 1e3:.0f} ms"
                )


asyncio.run(main())
