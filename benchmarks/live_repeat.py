"""Compares the request counts of several live runs of a scenario with those of one virtual run.

Usage: python benchmarks/live_repeat.py [SCENARIO] [RUNS]
"""

import asyncio
import sys
from pathlib import Path

from badgerroad.emulator import report, scenario, virtual
from badgerroad.emulator.live.run import play


def main():
    path = Path(sys.argv[1] if len(sys.argv) > 1 else "examples/incident.toml")
    runs, loaded = int(sys.argv[2]) if len(sys.argv) > 2 else 5, scenario.load(path)
    rows = [("virtual", virtual.run(loaded, loaded.seed, path.parent))]
    for number in range(runs):
        rows.append((f"live {number + 1}", report.create(asyncio.run(play(loaded, loaded.seed, path.parent)), 0.0)))
    print("| run | jobs | served | refused | failed | worth | figure | rules broken |")
    print("| --- " + "| ---: " * 7 + "|")
    for name, result in rows:
        print(
            f"| {name} | {result.jobs} | {result.served} | {result.refused} | {result.failed} | {result.worth:.3f} | {result.figure:.3f} | "
            f"{len(result.breaches)} |"
        )
    live_results = [result for _, result in rows[1:]]
    spread = {
        count: (
            max(getattr(result, count) for result in live_results)
            - min(getattr(result, count) for result in live_results)
        )
        / live_results[0].jobs
        for count in ("served", "refused", "failed")
    }
    difference = {
        count: abs(
            getattr(rows[0][1], count) - sum(getattr(result, count) for result in live_results) / len(live_results)
        )
        / live_results[0].jobs
        for count in spread
    }
    print(
        f"\nRange of the live runs, as a share of the jobs: {', '.join(f'{count} {share:.1%}' for count, share in spread.items())}."
    )
    print(
        f"Difference of the virtual run from their mean: {', '.join(f'{count} {share:.1%}' for count, share in difference.items())}."
    )


if __name__ == "__main__":
    main()
