"""Runs soaks from the command line; the exit code is 1 if a rule was broken."""

import argparse
import asyncio
import pathlib
import sys
import tempfile

from badgerroad.net import logs
from benchmarks.soak.run import run


def seeds_from(text):
    """Return the seeds that `FIRST-LAST` or a single number names."""
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


async def run_all(seeds, parallel, log_folder):
    """Run the soaks of all seeds, `parallel` at a time; returns the number of seeds with a broken rule."""
    slots = asyncio.Semaphore(parallel)

    async def run_one(seed):
        async with slots:
            command = [sys.executable, "-m", "benchmarks.soak", "--seeds", str(seed), "--logs", str(log_folder)]
            process = await asyncio.create_subprocess_exec(*command, stdout=asyncio.subprocess.PIPE)
            output, _ = await process.communicate()
            print(output.decode(), end="", flush=True)
            return process.returncode != 0

    return sum(await asyncio.gather(*(run_one(seed) for seed in seeds)))


def main():
    """Parse the command line and run the soaks."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.soak")
    parser.add_argument("--seeds", default="1", help="a seed, or FIRST-LAST")
    parser.add_argument("--parallel", type=int, default=1, help="number of soaks at a time")
    parser.add_argument("--logs", default="", help="folder for the logs of the dispatchers")
    options = parser.parse_args()
    seeds = seeds_from(options.seeds)
    logs.configure()
    folder = pathlib.Path(options.logs or tempfile.mkdtemp(prefix="soak-"))
    if len(seeds) > 1:
        failed = asyncio.run(run_all(seeds, options.parallel, folder))
        print(f"{len(seeds)} seeds, {failed} with a broken rule; logs in {folder}")
        return 1 if failed else 0
    folder = (folder / str(seeds[0])).resolve()
    folder.mkdir(parents=True, exist_ok=True)
    result = asyncio.run(run(seeds[0], folder))
    print(result)
    return 1 if result.violations else 0


if __name__ == "__main__":
    sys.exit(main())
