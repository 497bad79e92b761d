"""Upgrades of real processes under load between two versions of the program, in both directions.

A last upgrade is undone: the new process ends, and the old one resumes.

    PYTHONPATH=. .venv/bin/python benchmarks/upgrade_between_versions.py OLD NEW

OLD and NEW are checkouts; both run on this interpreter. The exit code is 1 if a request was lost or run twice, or if its
connection was closed.
"""

import asyncio
import os
import pathlib
import sys
import tempfile
from collections import Counter

from tests.support.service import Service

CLIENTS = 4
REQUESTS = 60  # number of requests that each client sends


class VersionedService(Service):
    """A Service whose next process runs the checkout `tree`."""

    tree = "."

    async def run(self, log, ops, *more):
        environment = {
            **os.environ,
            "PROXY_CONFIG": str(self.folder / "c.json"),
            "PROXY_OPS": f"127.0.0.1:{ops}",
            "TMPDIR": str(self.folder),
            "PYTHONPATH": str(self.tree),
        }
        with open(self.folder / log, "w") as stderr:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "badgerroad", "serve", *more, env=environment, stderr=stderr, cwd=self.tree
            )
        self.processes.append((process, ops))
        return process


async def end(process):
    process.terminate()
    return await asyncio.wait_for(process.wait(), 10)


async def upgrades(service, old, new):
    """Upgrade from old to new, back to old, and to new again, where the new process ends and the old one resumes.

    Returns the exit codes of the processes that ended, and the failures of the clients.
    """
    service.tree = old
    running = await service.start()
    load = [asyncio.ensure_future(service.client(f"c{n}", REQUESTS)) for n in range(CLIENTS)]
    codes = []
    for tree in (new, old):
        service.tree = tree
        successor = await service.start()
        codes.append(await end(running))
        running = successor
    service.tree = new
    codes.append(await end(await service.start()))
    failures = [result for result in await asyncio.gather(*load, return_exceptions=True) if result is not None]
    return codes, failures


async def main(old, new):
    with tempfile.TemporaryDirectory() as folder:
        async with VersionedService(pathlib.Path(folder)) as service:
            codes, failures = await upgrades(service, old.resolve(), new.resolve())
            answers = Counter(service.responses)
            runs = Counter(service.attempt_counts.values())
    print(f"exit codes {codes}; answers {dict(answers)}; runs of each request {dict(runs)}; failures {failures}")
    expected = CLIENTS * REQUESTS
    return 0 if answers == {(200, b"made"): expected} and runs == {1: expected} and codes == [0, 0, 0] else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(main(pathlib.Path(sys.argv[1]), pathlib.Path(sys.argv[2]))))
