"""One scripted incident, live several times and virtual once: how far do the service counts lie apart?

Usage: python benchmarks/live_repeat.py [SCENARIO] [RUNS]
"""

import asyncio
import sys
from pathlib import Path

from badgerroad.emulator import report, scenario, virtual
from badgerroad.emulator.live.run import play


def main():
    path = Path(sys.argv[1] if len(sys.argv) > 1 else "examples/incident.toml")
    runs, s = int(sys.argv[2]) if len(sys.argv) > 2 else 5, scenario.load(path)
    rows = [("virtual", virtual.run(s, s.seed, path.parent))]
    for n in range(runs):
        rows.append((f"live {n + 1}", report.create(asyncio.run(play(s, s.seed, path.parent)), 0.0)))
    print("| run | jobs | served | refused | failed | worth | figure | rules broken |")
    print("| --- " + "| ---: " * 7 + "|")
    for name, r in rows:
        print(
            f"| {name} | {r.jobs} | {r.served} | {r.refused} | {r.failed} | {r.worth:.3f} | {r.figure:.3f} | "
            f"{len(r.breaches)} |"
        )
    lives = [r for _, r in rows[1:]]
    spread = {
        k: (max(getattr(r, k) for r in lives) - min(getattr(r, k) for r in lives)) / lives[0].jobs
        for k in ("served", "refused", "failed")
    }
    apart = {
        k: abs(getattr(rows[0][1], k) - sum(getattr(r, k) for r in lives) / len(lives)) / lives[0].jobs for k in spread
    }
    print(
        f"\nSpread among the live runs, as a share of the jobs: {', '.join(f'{k} {v:.1%}' for k, v in spread.items())}."
    )
    print(f"The virtual run from their mean: {', '.join(f'{k} {v:.1%}' for k, v in apart.items())}.")


if __name__ == "__main__":
    main()
