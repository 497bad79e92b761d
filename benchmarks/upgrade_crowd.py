"""Upgrades of real processes while many connections are opened that send nothing or an incomplete request.

Usage: python benchmarks/upgrade_crowd.py [ROUNDS] [CONNECTIONS]

Each round, four clients send 60 requests on one connection each, during three upgrades in sequence, with a limit of 1,024
descriptors. Prints a line for each round: clients whose connection broke, requests served, the longest stall that a
dispatcher logged, and the seconds that each upgrade took.
"""

import asyncio
import pathlib
import re
import resource
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))
from tests.support.service import Service  # noqa: E402


async def run_round(connection_count):
    with tempfile.TemporaryDirectory() as folder:
        service = Service(pathlib.Path(folder))
        service.limits = 1024
        async with service as s:
            await s.upgrade()
            connections, upgrade_times = [], []

            async def open_connections():
                for n in range(connection_count):
                    connections.append(await s.connect())
                    if n % 2:
                        connections[-1][1].write(b"POST /preview/x HTT")
                    if n % 100 == 0:
                        await asyncio.sleep(0.05)

            opening = asyncio.ensure_future(open_connections())
            clients = [asyncio.ensure_future(s.client(f"c{n}", 60)) for n in range(4)]
            for _ in range(3):
                started = time.monotonic()
                await s.upgrade()
                upgrade_times.append(round(time.monotonic() - started, 2))
                await asyncio.sleep(0.3)
            await opening
            await asyncio.wait(clients)
            broken = sum(c.exception() is not None for c in clients)
            logs = "".join(p.read_text() for p in pathlib.Path(folder).glob("*.log"))
            stalls = [int(ms) for ms in re.findall(r"stalled ms=(\d+)", logs)]
            assert set(s.attempt_counts.values()) == {1}
            print(
                f"broken {broken} of 4, served {len(s.responses)}, stall ms {max(stalls, default=0)}, "
                f"upgrades s {upgrade_times}"
            )
            for _, writer in connections:
                writer.close()


def main():
    resource.setrlimit(resource.RLIMIT_NOFILE, (8192, 8192))
    for _ in range(int(sys.argv[1]) if len(sys.argv) > 1 else 4):
        asyncio.run(asyncio.wait_for(run_round(int(sys.argv[2]) if len(sys.argv) > 2 else 2000), 60))


if __name__ == "__main__":
    main()
