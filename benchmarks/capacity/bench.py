"""Runs a dispatcher process with simulated discovery, workers and clients."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Any

from benchmarks.capacity.configuration import TASK_S, configuration, worker_entries
from benchmarks.capacity.http import Call, post
from benchmarks.capacity.server import Serve, free_port
from benchmarks.capacity.stand_ins import Discovery, Workers

ACCEPT_TIMEOUT_S = 1.0
MAX_CONSECUTIVE_MISSES = 3
LONG_HINT_US = 2 * TASK_S * 1_000_000  # longer than the deadline, so that the dispatcher rejects the request


def task(request: str, hint_us: int = 0, body: bytes = b"x" * 200, team: str = "") -> bytes:
    """Return the bytes of a request with the id `request`."""
    headers = [b"Request-Id: " + request.encode(), b"Request-Timeout-Ms: %d" % (TASK_S * 1000)]
    headers += [b"Work-Hint: %d" % hint_us] if hint_us else []
    headers += [b"Tenant: " + team.encode()] if team else []
    return post(b"/task/frames", body, *headers)


class Bench:
    """A dispatcher process with discovery and workers; `async with` starts them and waits until the process is ready."""

    def __init__(
        self,
        folder: Path,
        workers: int,
        dispatcher_settings: dict[str, Any],
        known: bool = False,
        shared_workers: Workers | None = None,
    ) -> None:
        """Prepare the processes; `known` puts the endpoint list into the configuration.

        `shared_workers` are at least `workers` workers, which keep running after this bench.
        """
        self.folder, self.count, self.dispatcher_settings, self.known = folder, workers, dispatcher_settings, known
        self.workers = shared_workers or Workers(workers)
        self._own_workers = shared_workers is None
        self._requests = 0

    async def __aenter__(self) -> Bench:
        self.entries = worker_entries(self.count)
        self.discovery = await Discovery(self.entries).open()
        if self._own_workers:
            await self.workers.open()
        config = configuration(
            f"127.0.0.1:{free_port()}",
            f"127.0.0.1:{self.discovery.port}",
            self.dispatcher_settings,
            self.entries if self.known else [],
        )
        self.server = Serve(self.folder, config)
        self.workers.call_back_to(self.server.port)
        await self.server.start()
        self.ready_s = await self.server.ready()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.server.stop()
        self.discovery.close()
        if self._own_workers:
            self.workers.close()

    async def client(self) -> Call:
        """Open a client's connection."""
        return await Call().open("127.0.0.1", self.server.port)

    def request(self, hint_us: int = 0) -> bytes:
        """Return the bytes of a request with a new id."""
        self._requests += 1
        return task(f"r{self.server.port}-{self._requests}", hint_us)

    async def refusal(self, client: Call) -> None:
        """Send a request that the dispatcher rejects. Raises RuntimeError if it is not rejected."""
        status, _ = await client.begin(self.request(LONG_HINT_US))
        if status != 503:
            raise RuntimeError(f"the dispatcher answered {status}; 503 is expected")

    async def reload(self, client: Call) -> None:
        """Send SIGHUP, and wait until the dispatcher has read its file: it answers later requests after that."""
        self.server.reload()
        for _ in range(2):
            await client.get(b"/-/ready")

    async def start_tasks(self, count: int) -> list[Call]:
        """Start up to `count` tasks, and return the connections of the clients whose task is at a worker.

        The tasks are started one after another: many at once delay the reports of starts, from which the policy would
        learn that its workers are full. Ends early after MAX_CONSECUTIVE_MISSES tasks in a row that reach no worker.
        """
        accepted: list[Call] = []
        missed = 0
        for _ in range(count):
            client = await self.client()
            if await self._reaches_worker(client):
                accepted.append(client)
                missed = 0
            else:
                client.close()
                missed += 1
            if missed == MAX_CONSECUTIVE_MISSES:
                break
        await self.server.settled()
        return accepted

    async def _reaches_worker(self, client: Call) -> bool:
        """Send a task, and return whether it reaches a worker within ACCEPT_TIMEOUT_S and before its final response."""
        data = self.request()
        request = f"r{self.server.port}-{self._requests}"
        response = client.begin(data)
        deadline = time.perf_counter() + ACCEPT_TIMEOUT_S
        while not response.done() and time.perf_counter() < deadline:
            if request in self.workers.held:
                return True
            await asyncio.sleep(0.001)
        return False

    async def jobs(self, count: int, clients: int = 8) -> None:
        """Run `count` jobs to their end over `clients` connections. Raises RuntimeError if one fails."""

        async def one_client(share: int) -> None:
            client = await self.client()
            for _ in range(share):
                status, _ = await client.begin(self.request())
                if status != 200:
                    raise RuntimeError(f"a job was answered with {status}; 200 is expected")
            client.close()

        await asyncio.gather(*(one_client(count // clients) for _ in range(clients)))
