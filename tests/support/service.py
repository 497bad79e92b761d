"""Runs dispatcher processes that share one address, between scripted workers and clients."""

import asyncio
import contextlib
import json
import os
import sys
from collections import Counter

from tests.support.loopback import World, id_of, job, reply
from tests.support.ports import free_port


async def run_job(service, head, _body):
    """Script of a worker of a Service: counts each attempt, and finishes the job after `job_duration_s`."""
    if head.startswith(b"DELETE"):
        return reply(200)

    async def send_events():
        for state, delay_s in (("started", 0), ("done", service.job_duration_s)):
            await asyncio.sleep(delay_s)
            await service.call_back(id_of(head), state, service.name_of(head), result="made")

    service.attempt_counts[id_of(head)] += 1
    service.begin(send_events())
    return reply(202)


class Service(World):
    """A World whose dispatchers are separate processes with the same name and address.

    `job_duration_s` is the time for which workers run each job. `attempt_counts` counts the attempts by request id,
    `processes` lists (process, port of the admin listener), and `responses` lists (status, body).
    """

    def __init__(self, folder, job_duration_s=0.05):
        super().__init__(run_job, run_job, run_job, limits=256)
        self.folder, self.job_duration_s, self.attempt_counts, self.processes, self.responses = (
            folder,
            job_duration_s,
            Counter(),
            [],
            [],
        )

    async def __aenter__(self):
        data = await self.open()
        self.port = self.free_port()
        (self.folder / "c.json").write_text(json.dumps({**data, "listen": f"127.0.0.1:{self.port}", "known": None}))
        return self

    async def __aexit__(self, *_):
        for process, _ in self.processes:
            if process.returncode is None:
                process.kill()
                await process.wait()
        await self.close()

    @staticmethod
    def free_port():
        return free_port()

    async def run(self, log, ops_port, *arguments):
        """Start a process without waiting for it; `log` names the file for its standard error."""
        environment = {
            **os.environ,
            "PROXY_CONFIG": str(self.folder / "c.json"),
            "PROXY_OPS": f"127.0.0.1:{ops_port}",
            "TMPDIR": str(self.folder),
        }
        with open(self.folder / log, "w") as stderr:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "badgerroad", "serve", *arguments, env=environment, stderr=stderr
            )
        self.processes.append((process, ops_port))
        return process

    async def start(self):
        """Start another process, and return it when it is ready."""
        ops_port = self.free_port()
        process = await self.run(f"{len(self.processes)}.log", ops_port)
        while not await self.is_ready(ops_port):
            assert process.returncode is None
            await asyncio.sleep(0.02)
        return process

    async def is_ready(self, ops_port):
        """Return whether the admin listener on `ops_port` answers `/ready` with 200; None if it cannot be reached."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            return (
                await self.ask(b"GET /ready HTTP/1.1\r\n\r\n", await asyncio.open_connection("127.0.0.1", ops_port))
            )[0] == 200

    async def upgrade(self):
        """Start a process that takes over, then stop the latest one before it, which has to exit with code 0 in 10 s."""
        old = next((p for p, _ in reversed(self.processes) if p.returncode is None), None)
        await self.start()
        if old is not None:
            old.terminate()
            assert await asyncio.wait_for(old.wait(), 10) == 0

    async def client(self, name, jobs, cls="preview"):
        """Send jobs one after another over one connection, which has to stay open, and record the responses."""
        connection = await self.connect()
        for number in range(jobs):
            status, _, body = await self.ask(job(f"{name}.{number}", cls, 6000), connection)
            self.responses.append((status, body))
