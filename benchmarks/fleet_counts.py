"""Counts the load that many dispatchers put on one discovery service and one fleet, in virtual time.

python benchmarks/fleet_counts.py examples/fleet.toml 1 2 3
"""

from __future__ import annotations

import sys
from pathlib import Path

from badgerroad.emulator import counts, scenario


def main() -> None:
    path = Path(sys.argv[1])
    day = scenario.load(path)
    print("| seed | " + " | ".join(counts.Counts._fields) + " |")
    print("| ---: |" + " ---: |" * len(counts.Counts._fields))
    for seed in [int(text) for text in sys.argv[2:]] or [day.seed]:
        row = counts.count(day, seed, path.parent)
        print(f"| {seed} | " + " | ".join(f"{x:.2f}" if isinstance(x, float) else str(x) for x in row) + " |")


if __name__ == "__main__":
    main()
