"""Plays the same random histories to two versions of the policy and compares every action.

    python benchmarks/policy_traces.py OLD NEW [--seeds 400] [--first 0] [--events 1200] [--jobs 2]

OLD and NEW are checkouts; versions from before `badgerroad.load_balancing` are imported by their earlier name. A history
is a legal sequence of events whose settings, workers, clock, results and timers are determined by its seed. At some
points learned state and open requests are exported and imported again, as in a hot restart. The actions are compared
event by event. If any differ, the first difference is printed and the exit code is 1.
"""

import argparse
import hashlib
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path


class Package:
    """The policy of the checkout on the Python path."""

    def __init__(self):
        from policy_vocabulary import adapt, add_present_functions

        try:
            from badgerroad.load_balancing import interface, state
            from badgerroad.load_balancing.policy import DispatchPolicy
        except ImportError:
            from heathcrank import interface, state
            from heathcrank.policy import DispatchPolicy

            adapt(interface)
        add_present_functions(state)
        self.events, self.state, self.make = interface, state, DispatchPolicy


def play(seeds, count, digest, with_tenants):
    """Print the lines of each seed's history or, with `digest`, their number and hash."""
    from policy_history import History  # in the folder of this script, which Python puts on the path

    package = Package()
    for seed in seeds:
        history = History(seed, package, with_tenants)
        history.play(count)
        if digest:
            text = "\n".join(history.lines).encode()
            print(seed, history.actions, len(history.lines), hashlib.sha256(text).hexdigest(), flush=True)
        else:
            print("\n".join(history.lines))


def run(folder, seeds, count, *more):
    command = [sys.executable, __file__, "--play", f"{seeds.start}:{seeds.stop}", "--events", str(count), *more]
    done = subprocess.run(
        command, env={"PYTHONPATH": str(Path(folder).resolve())}, capture_output=True, text=True, check=False
    )
    if done.returncode:
        sys.exit(f"{folder}: {done.stderr}")
    return done.stdout.splitlines()


def compare(old, new, seeds, count, jobs, *more):
    size = max(len(seeds) // (4 * jobs), 1)
    parts = [range(n, min(n + size, seeds.stop)) for n in range(seeds.start, seeds.stop, size)]
    with ThreadPoolExecutor(jobs) as pool:
        before = [line for lines in pool.map(lambda part: run(old, part, count, *more), parts) for line in lines]
        after = [line for lines in pool.map(lambda part: run(new, part, count, *more), parts) for line in lines]
    different = [int(a.split()[0]) for a, b in zip(before, after, strict=True) if a != b]
    actions, lines = (sum(int(line.split()[k]) for line in before) for k in (1, 2))
    print(f"{len(seeds) - len(different)} of {len(seeds)} histories identical; {actions} actions in {lines} answers")
    if different:
        seed = range(different[0], different[0] + 1)
        for n, (a, b) in enumerate(
            zip(run(old, seed, count, "--lines", *more), run(new, seed, count, "--lines", *more), strict=False)
        ):
            if a != b:
                print(f"seed {seed.start}, line {n}:\n old {a[:2000]}\n new {b[:2000]}")
                break
    return 1 if different else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("folders", nargs="*")
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--seeds", type=int, default=400)
    parser.add_argument("--events", type=int, default=1200)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument(
        "--without-tenants",
        action="store_true",
        help="play without quotas, to compare versions that differ in the quota rule",
    )
    parser.add_argument("--play", help=argparse.SUPPRESS)
    parser.add_argument("--lines", action="store_true", help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.play:
        first, last = options.play.split(":")
        play(range(int(first), int(last)), options.events, not options.lines, not options.without_tenants)
        return 0
    old, new = options.folders
    more = ["--without-tenants"] if options.without_tenants else []
    seeds = range(options.first, options.first + options.seeds)
    return compare(old, new, seeds, options.events, options.jobs, *more)


if __name__ == "__main__":
    sys.exit(main())
