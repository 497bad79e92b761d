"""Runs the fleet's rules under random faults in virtual time: many seeds, or one seed with a trace of the run.

python -m benchmarks.fleet_schedules --seeds 10000 --jobs 4
python -m benchmarks.fleet_schedules --seed 17 --verbose
"""

from __future__ import annotations

import argparse
import sys
import time
from collections import Counter
from multiprocessing import Pool

from tests.fleet.simulation.run import Result, run_seed
from tests.fleet.simulation.schedule import draw_schedule

CHUNK = 20


def replay_command(seed: int) -> str:
    """Return the command that replays a seed."""
    return f"python -m benchmarks.fleet_schedules --seed {seed} --verbose"


def report(result: Result) -> str:
    """Format the violations of a seed with the command that replays it."""
    lines = [f"seed {result.seed}: {replay_command(result.seed)}"]
    lines += [f"  {violation} (x{result.findings.counts[kind]})" for kind, violation in result.findings.first.items()]
    return "\n".join(lines)


def run_one(seed: int, verbose: bool) -> int:
    """Replay one seed; return the exit code."""
    schedule = draw_schedule(seed)
    print(f"{schedule.setup}\n" + "\n".join(str(fault) for fault in schedule.faults))
    print(
        f"no faults from {schedule.calm_at / 1e6} s, measured from {schedule.measure_at / 1e6} to {schedule.end / 1e6} s"
    )
    result = run_seed(seed, sys.stdout if verbose else None)
    print(report(result))
    return 1 if result.findings else 0


def run_many(first: int, seeds: int, jobs: int) -> int:
    """Run seeds in parallel processes, print the failing ones and a summary, and return the exit code."""
    started = time.perf_counter()
    failed, steps, decisions, half, over_half = 0, 0, 0, 0, 0
    kinds: Counter[str] = Counter()
    with Pool(jobs) as pool:
        for result in pool.imap_unordered(run_seed, range(first, first + seeds), chunksize=CHUNK):
            steps += result.steps
            decisions += result.decisions
            half += result.decisions_at_half
            over_half += result.over_at_half
            if result.findings:
                failed += 1
                kinds.update(kind.value for kind in result.findings.first)
                print(report(result), flush=True)
    taken = time.perf_counter() - started
    print(f"seeds {first} to {first + seeds - 1}: {failed} failed; {steps} steps, {decisions} requests, {taken:.0f} s")
    print(f"at half the quota after the faults: {over_half} of {half} requests marked over quota")
    for kind, count in kinds.most_common():
        print(f"  {count} seeds: {kind}")
    return 1 if failed else 0


def main() -> int:
    """Run one seed or many, and return the exit code: 1 if a property was violated."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", type=int, default=200, help="number of seeds to run")
    parser.add_argument("--first", type=int, default=0, help="first seed")
    parser.add_argument("--jobs", type=int, default=1, help="number of parallel processes")
    parser.add_argument("--seed", type=int, help="replay this seed only")
    parser.add_argument("--verbose", action="store_true", help="with --seed: print every message and decision")
    arguments = parser.parse_args()
    if arguments.seed is not None:
        return run_one(arguments.seed, arguments.verbose)
    return run_many(arguments.first, arguments.seeds, arguments.jobs)


if __name__ == "__main__":
    sys.exit(main())
